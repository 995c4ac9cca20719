//! The text form of a trace context (W3C Trace Context, version 00).

use super::frame::TraceContext;

/// The flag of a trace whose spans are recorded.
const SAMPLED_FLAG: u8 = 1;

impl TraceContext {
    /// Reads a `traceparent` header, or none where it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.trim().split('-');
        let (version, trace_id) = (parts.next()?, parts.next()?);
        let (span_id, flags) = (parts.next()?, parts.next()?);
        if version == "ff" || (version == "00" && parts.next().is_some()) {
            return None;
        }
        u8::from_str_radix(hex(version, 2)?, 16).ok()?;
        let trace_id = u128::from_str_radix(hex(trace_id, 32)?, 16).ok()?;
        let parent_span_id = u64::from_str_radix(hex(span_id, 16)?, 16).ok()?;
        let flags = u8::from_str_radix(hex(flags, 2)?, 16).ok()?;
        if trace_id == 0 || parent_span_id == 0 {
            return None;
        }
        Some(Self { trace_id, parent_span_id, sampled: flags & SAMPLED_FLAG != 0 })
    }

    /// The value of a `traceparent` header.
    pub fn header(&self) -> String {
        let flags = u8::from(self.sampled);
        format!("00-{:032x}-{:016x}-{flags:02x}", self.trace_id, self.parent_span_id)
    }
}

/// The text, if it is `digits` lower-case hexadecimal digits.
fn hex(text: &str, digits: usize) -> Option<&str> {
    let fits = text.len() == digits;
    let lower = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    (fits && lower).then_some(text)
}
