//! Identifies a request across retries and nodes.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::frame::Header;

/// Hash of a request's method, host, path with query, and body. The attempt id is left out, as it
/// differs between attempts of a caller. All nodes compute the same fingerprint, whatever their
/// version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request, reading the whole body.
    pub fn of(method: &str, path: &str, headers: &[Header], body: &[u8]) -> Self {
        let mut digest = Sha256::new();
        // A line break separates the parts unambiguously, as only the body can contain one.
        for part in [method.as_bytes(), &host(headers), path.as_bytes()] {
            digest.update(part);
            digest.update(b"\n");
        }
        digest.update(body);
        let digest = digest.finalize();
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&digest[..size_of::<u64>()]);
        Self(u64::from_be_bytes(first))
    }

    /// Parses the hexadecimal form.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The host that a request names, as used by routes: in lower case and without the port.
pub fn host(headers: &[Header]) -> Vec<u8> {
    let named = headers.iter().find(|header| header.name.eq_ignore_ascii_case(b"host"));
    let Some(header) = named else { return Vec::new() };
    let end = header.value.iter().rposition(|byte| *byte == b':').unwrap_or(header.value.len());
    header.value[..end].to_ascii_lowercase()
}
