//! The syntax of header fields and of their parts (RFC 9110, sections 5.5 and 5.6.2).

/// Whether a token, such as the name of a field, may contain this byte.
pub fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether the value of a field or a quoted string may contain this byte.
pub fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}

/// Whether this is the name of a field.
pub fn is_name(name: &[u8]) -> bool {
    !name.is_empty() && name.iter().all(|byte| is_token_byte(*byte))
}

/// Whether this is the value of a field.
pub fn is_value(value: &[u8]) -> bool {
    value.iter().all(|byte| is_text_byte(*byte))
}
