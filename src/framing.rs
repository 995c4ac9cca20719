//! What HTTP/1.1 allows in a final answer: its status, and how the end of its body is determined
//! (RFC 9112, section 6.3).

use std::ops::RangeInclusive;

use thiserror::Error;

/// The status codes of final answers.
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// How the end of a body is determined. Answers without a body are not considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this length, in bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// The header fields of an answer do not determine the end of its body.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The length is not a decimal number.
    #[error("invalid Content-Length {0:?}")]
    InvalidLength(String),
    /// Two fields state different lengths.
    #[error("Content-Length is {0} and {1}")]
    DifferentLengths(u64, u64),
    /// The transfer coding is not `chunked` alone.
    #[error("unsupported Transfer-Encoding {0:?}")]
    UnsupportedCoding(String),
    /// The body is chunked and has a length.
    #[error("both Content-Length and Transfer-Encoding")]
    LengthAndCoding,
}

impl Framing {
    /// Determines the framing from the header fields of an answer, as pairs of name and value.
    ///
    /// # Errors
    ///
    /// A field about the length of the body is present and invalid. It never counts as absent, as
    /// an answer without such a field lasts until the connection ends.
    pub fn of<'a>(
        fields: impl IntoIterator<Item = (&'a [u8], &'a [u8])>,
    ) -> Result<Self, FramingError> {
        let (mut length, mut is_chunked) = (None, false);
        for (name, value) in fields {
            if name.eq_ignore_ascii_case(b"content-length") {
                let invalid = || FramingError::InvalidLength(text(value));
                let stated = parse_decimal(value).ok_or_else(invalid)?;
                match length {
                    Some(other) if other != stated => {
                        return Err(FramingError::DifferentLengths(other, stated));
                    }
                    _ => length = Some(stated),
                }
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                // A coding in another field applies too, and `chunked` may be applied only once.
                if is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                    return Err(FramingError::UnsupportedCoding(text(value)));
                }
                is_chunked = true;
            }
        }
        match (is_chunked, length) {
            (true, Some(_)) => Err(FramingError::LengthAndCoding),
            (true, None) => Ok(Self::Chunked),
            (false, Some(length)) => Ok(Self::Length(length)),
            (false, None) => Ok(Self::UntilClose),
        }
    }
}

/// Parses a number that consists of digits only; `FromStr` accepts a sign too.
pub fn parse_decimal(digits: &[u8]) -> Option<u64> {
    let is_decimal = digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| is_decimal)?.parse().ok()
}

/// A value for an error message.
fn text(value: &[u8]) -> String {
    String::from_utf8_lossy(value).into_owned()
}
