//! The record of one span.

use std::borrow::Cow;

use bon::Builder;

/// Which side of an exchange a span shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpanKind {
    /// The node took a request from a caller, a target or another node.
    Server,
    /// The node sent a request to a target or another node.
    Client,
    /// Something within the node, such as waiting in a queue.
    Internal,
}

/// The value of an attribute.
#[derive(Clone, Debug, PartialEq)]
pub enum AttributeValue {
    /// A text.
    Text(Cow<'static, str>),
    /// A whole number.
    Number(i64),
    /// Yes or no.
    Flag(bool),
}

impl From<&'static str> for AttributeValue {
    fn from(text: &'static str) -> Self {
        Self::Text(Cow::Borrowed(text))
    }
}

impl From<String> for AttributeValue {
    fn from(text: String) -> Self {
        Self::Text(Cow::Owned(text))
    }
}

impl From<i64> for AttributeValue {
    fn from(number: i64) -> Self {
        Self::Number(number)
    }
}

impl From<bool> for AttributeValue {
    fn from(flag: bool) -> Self {
        Self::Flag(flag)
    }
}

/// One span, complete.
#[derive(Builder, Clone, Debug, PartialEq)]
pub struct SpanRecord {
    /// The trace; not 0.
    pub trace_id: u128,
    /// The span; not 0.
    pub span_id: u64,
    /// The span that caused this one; 0 where there is none.
    #[builder(default)]
    pub parent_span_id: u64,
    /// What was done.
    #[builder(into)]
    pub name: Cow<'static, str>,
    /// Which side of an exchange it shows.
    pub kind: SpanKind,
    /// When it began, in microseconds since the Unix epoch.
    pub start_unix_us: u64,
    /// When it ended, in microseconds since the Unix epoch.
    pub end_unix_us: u64,
    /// Whether it failed.
    #[builder(default)]
    pub failed: bool,
    /// What else is known.
    #[builder(default)]
    pub attributes: Vec<(&'static str, AttributeValue)>,
}
