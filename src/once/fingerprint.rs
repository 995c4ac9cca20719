//! A short hash of a request, to detect a key that is reused for a different request.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::call::HttpRequest;

/// A hash of a request's method, path and body.
///
/// Headers are excluded, because a caller that repeats a request may renew its credentials or its
/// trace context.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of `request`.
    pub fn of(request: &HttpRequest) -> Self {
        let hash = Sha256::new()
            .chain_update((request.method.len() as u64).to_be_bytes())
            .chain_update(&request.method)
            .chain_update((request.path.len() as u64).to_be_bytes())
            .chain_update(&request.path)
            .chain_update(&request.body)
            .finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        Self(u64::from_be_bytes(first))
    }
}
