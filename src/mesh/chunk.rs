//! The lines of a chunked body (RFC 9112, section 7.1): those in front of the chunks, and the trailers.

use super::field::{is_text_byte, is_token_byte, is_value};

/// Parses the line in front of a chunk, without its line break, and returns the size of the chunk in
/// bytes. Its extensions are checked and ignored. `None` if the line is invalid.
pub fn parse_line(line: &[u8]) -> Option<u64> {
    let end = line.iter().position(|byte| !byte.is_ascii_hexdigit()).unwrap_or(line.len());
    let (digits, extensions) = line.split_at(end);
    // Fails without digits.
    let size = u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    are_extensions(extensions).then_some(size)
}

/// Whether this line, without its line break, is a trailer: a field with a name and a value.
pub fn is_trailer(line: &[u8]) -> bool {
    let value = skip_token(line).and_then(|after_name| after_name.strip_prefix(b":"));
    value.is_some_and(is_value)
}

/// Whether these are extensions: each a semicolon and a name, which may have a value. Blanks may
/// surround the separators.
fn are_extensions(mut rest: &[u8]) -> bool {
    while !rest.is_empty() {
        let Some(name) = skip_separator(rest, b';') else { return false };
        let Some(after_name) = skip_token(name) else { return false };
        rest = match skip_separator(after_name, b'=') {
            None => after_name,
            Some(value) => match skip_token(value).or_else(|| skip_quoted(value)) {
                Some(after_value) => after_value,
                None => return false,
            },
        };
    }
    true
}

/// What follows a separator and the blanks around it.
fn skip_separator(bytes: &[u8], separator: u8) -> Option<&[u8]> {
    skip_blanks(bytes).strip_prefix(&[separator]).map(skip_blanks)
}

fn skip_blanks(bytes: &[u8]) -> &[u8] {
    let end = bytes.iter().position(|byte| !matches!(byte, b' ' | b'\t'));
    &bytes[end.unwrap_or(bytes.len())..]
}

/// What follows a token, which is not empty.
fn skip_token(bytes: &[u8]) -> Option<&[u8]> {
    let end = bytes.iter().position(|byte| !is_token_byte(*byte)).unwrap_or(bytes.len());
    (end > 0).then(|| &bytes[end..])
}

/// What follows a quoted string.
fn skip_quoted(bytes: &[u8]) -> Option<&[u8]> {
    let mut rest = bytes.strip_prefix(b"\"")?;
    loop {
        rest = match rest {
            [b'"', after @ ..] => return Some(after),
            [b'\\', escaped, after @ ..] if is_text_byte(*escaped) => after,
            [byte, after @ ..] if *byte != b'\\' && is_text_byte(*byte) => after,
            _ => return None,
        };
    }
}
