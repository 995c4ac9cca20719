//! A short hash of a request, to notice a key that is used for two different requests.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::call::HttpRequest;

/// What the ledger remembers of a request: its method, path and body, hashed.
///
/// Headers stay out of it, because a caller that repeats a request may well renew its credentials
/// or its trace context.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of `request`.
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
