//! Span records, which are independent of the OpenTelemetry SDK.

use std::borrow::Cow;

use bon::Builder;

/// The side of an exchange that a span describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpanKind {
    /// The node received a request from a caller, a target or another node.
    Server,
    /// The node sent a request to a target or another node.
    Client,
    /// An operation within the node, such as waiting in a queue.
    Internal,
}

/// The value of an attribute.
#[derive(Clone, Debug, PartialEq)]
pub enum AttributeValue {
    /// A string.
    Text(Cow<'static, str>),
    /// An integer.
    Number(i64),
    /// A boolean.
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

/// A completed span.
#[derive(Builder, Clone, Debug, PartialEq)]
pub struct SpanRecord {
    /// The trace id; not 0.
    pub trace_id: u128,
    /// The span id; not 0.
    pub span_id: u64,
    /// The id of the parent span; 0 if there is none.
    #[builder(default)]
    pub parent_span_id: u64,
    /// The name of the operation.
    #[builder(into)]
    pub name: Cow<'static, str>,
    /// The side of an exchange that it describes.
    pub kind: SpanKind,
    /// When it began, in microseconds since the Unix epoch.
    pub start_unix_us: u64,
    /// When it ended, in microseconds since the Unix epoch.
    pub end_unix_us: u64,
    /// Whether the operation failed.
    #[builder(default)]
    pub failed: bool,
    /// Further attributes.
    #[builder(default)]
    pub attributes: Vec<(&'static str, AttributeValue)>,
}
