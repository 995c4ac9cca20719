//! The answer of a stand-in target, by which a whole and correct answer is told from any other.

use serde::{Deserialize, Serialize};

/// What a target saw of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The method.
    pub method: String,
    /// The path below the service, with its query.
    pub path: String,
    /// The length of the body.
    pub body_bytes: u64,
    /// The digest of the body.
    pub body_digest: String,
}

impl Echo {
    /// The echo of a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            body_bytes: body.len() as u64,
            body_digest: digest(body),
        }
    }
}

/// The answer of a target, with the answers of the targets it called.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The service that answers.
    pub service: String,
    /// The target that answers.
    pub target: String,
    /// What it saw of the request.
    pub echo: Echo,
    /// The answers of the services it called, in the order of its settings.
    pub children: Vec<Answer>,
}

impl Answer {
    /// Whether this is `service`'s whole answer to `echo`, all the way down.
    ///
    /// Every target passes the method, the path and the body on, so each level has the same echo.
    pub fn is_whole(&self, service: &str, echo: &Echo) -> bool {
        if self.service != service || self.echo != *echo {
            return false;
        }
        self.children.iter().all(|child| child.is_whole(&child.service, echo))
    }

    /// How many services deep the answer is; 1 without children.
    pub fn depth(&self) -> usize {
        1 + self.children.iter().map(Self::depth).max().unwrap_or(0)
    }

    /// The targets that worked for the answer, from the top, each as `service/target`.
    pub fn targets(&self) -> Vec<String> {
        let mut targets = vec![format!("{}/{}", self.service, self.target)];
        for child in &self.children {
            targets.extend(child.targets());
        }
        targets
    }
}

/// FNV-1a in 64 bits, in hexadecimal: enough to notice a wrong or cut body, not to resist forgery.
pub fn digest(bytes: &[u8]) -> String {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    }
    format!("{hash:016x}")
}
