//! The answer of a stand-in target, which echoes the request so that a caller can verify it.

use serde::{Deserialize, Serialize};

/// The request as a target received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The HTTP method.
    pub method: String,
    /// The path without the service name, including the query.
    pub path: String,
    /// The length of the body in bytes.
    pub body_bytes: u64,
    /// The [`digest`] of the body.
    pub body_digest: String,
}

impl Echo {
    /// The echo of a request; `path` excludes the service name.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            body_bytes: body.len() as u64,
            body_digest: digest(body),
        }
    }
}

/// The answer of a target, including the answers to its child calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The service that the target belongs to.
    pub service: String,
    /// The name of the target.
    pub target: String,
    /// The request as the target received it.
    pub echo: Echo,
    /// The answers to the child calls, in the order of the target's settings.
    pub children: Vec<Answer>,
}

impl Answer {
    /// Whether this is an answer of `service` to the request of `echo`, and so are the answers to
    /// all child calls.
    ///
    /// Every target forwards the method, path and body, so all levels have the same echo.
    pub fn is_complete(&self, service: &str, echo: &Echo) -> bool {
        if self.service != service || self.echo != *echo {
            return false;
        }
        self.children.iter().all(|child| child.is_complete(&child.service, echo))
    }

    /// The number of levels in the tree of answers; 1 without children.
    pub fn depth(&self) -> usize {
        1 + self.children.iter().map(Self::depth).max().unwrap_or(0)
    }

    /// All targets in the tree of answers in pre-order, each as `service/target`.
    pub fn targets(&self) -> Vec<String> {
        let mut targets = vec![format!("{}/{}", self.service, self.target)];
        for child in &self.children {
            targets.extend(child.targets());
        }
        targets
    }
}

/// The 64-bit FNV-1a hash in hexadecimal. It detects wrong or truncated bodies, not forged ones.
pub fn digest(bytes: &[u8]) -> String {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    }
    format!("{hash:016x}")
}
