//! Parses and formats trace contexts (W3C Trace Context, version 00).

use super::frame::TraceContext;

/// The flag of a sampled trace, whose spans are recorded.
const SAMPLED_FLAG: u8 = 1;

impl TraceContext {
    /// Parses a `traceparent` header; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.trim().split('-');
        let (version, trace_id) = (parts.next()?, parts.next()?);
        let (span_id, flags) = (parts.next()?, parts.next()?);
        if version == "ff" || (version == "00" && parts.next().is_some()) {
            return None;
        }
        u8::from_str_radix(lower_hex(version, 2)?, 16).ok()?;
        let trace_id = u128::from_str_radix(lower_hex(trace_id, 32)?, 16).ok()?;
        let parent_span_id = u64::from_str_radix(lower_hex(span_id, 16)?, 16).ok()?;
        let flags = u8::from_str_radix(lower_hex(flags, 2)?, 16).ok()?;
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

/// The text, if it consists of exactly `digits` lower-case hexadecimal digits.
fn lower_hex(text: &str, digits: usize) -> Option<&str> {
    let has_length = text.len() == digits;
    let is_lower_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    (has_length && is_lower_hex).then_some(text)
}
