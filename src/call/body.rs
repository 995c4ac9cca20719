//! Serializes bodies: as raw bytes in binary formats, and in readable form in JSON.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The JSON form of bytes.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Form {
    /// Valid UTF-8.
    Text {
        /// The text.
        text: String,
    },
    /// Any other bytes.
    Base64 {
        /// The bytes in base64.
        base64: String,
    },
    /// A list of byte values. Accepted when reading, never written.
    List(Vec<u8>),
}

/// Serializes bytes, for `#[serde(with)]`.
pub(super) fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    if !serializer.is_human_readable() {
        return bytes.serialize(serializer);
    }
    let form = match std::str::from_utf8(bytes) {
        Ok(text) => Form::Text { text: text.to_owned() },
        Err(_) => Form::Base64 { base64: STANDARD.encode(bytes) },
    };
    form.serialize(serializer)
}

/// Deserializes bytes, for `#[serde(with)]`.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    if !deserializer.is_human_readable() {
        return Bytes::deserialize(deserializer);
    }
    match Form::deserialize(deserializer)? {
        Form::Text { text } => Ok(text.into()),
        Form::Base64 { base64 } => STANDARD.decode(base64).map(Bytes::from).map_err(Error::custom),
        Form::List(bytes) => Ok(bytes.into()),
    }
}
