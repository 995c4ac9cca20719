//! What is the same of a request whenever and wherever it comes again.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::frame::Header;

/// Names a request by its method, host, path with query, and body. Attempts of callers have an id of
/// their own each, and so say nothing of it; all nodes find the same fingerprint, whatever their version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request. Reads the whole body.
    pub fn of(method: &str, path: &str, headers: &[Header], body: &[u8]) -> Self {
        let mut digest = Sha256::new();
        // None of the parts before the body can hold a line break.
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

    /// The fingerprint that is written as `text`.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The host that a request names, as routes know it: without the port, in lower case.
pub fn host(headers: &[Header]) -> Vec<u8> {
    let named = headers.iter().find(|header| header.name.eq_ignore_ascii_case(b"host"));
    let Some(header) = named else { return Vec::new() };
    let end = header.value.iter().rposition(|byte| *byte == b':').unwrap_or(header.value.len());
    header.value[..end].to_ascii_lowercase()
}
