//! Which services a node cares about.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A short name of a service on the wire. Two services with one tag would only cost bytes: records
/// carry the whole name, which is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) struct ServiceTag(pub(super) u32);

impl ServiceTag {
    /// The tag of `service`: 32 bits of FNV-1a.
    pub(super) fn new(service: &str) -> Self {
        const OFFSET: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        let mut hash = OFFSET;
        for byte in service.bytes() {
            hash = (hash ^ u32::from(byte)).wrapping_mul(PRIME);
        }
        Self(hash)
    }
}

/// The node's own service and those it calls.
#[derive(Debug)]
pub(super) struct Interests {
    own: ServiceTag,
    services: BTreeMap<ServiceTag, String>,
}

impl Interests {
    /// Cares about the own service only.
    pub(super) fn new(own: &str) -> Self {
        let tag = ServiceTag::new(own);
        Self { own: tag, services: BTreeMap::from([(tag, own.to_owned())]) }
    }

    /// Cares about `service` from now on; false if it did already.
    pub(super) fn add(&mut self, service: &str) -> bool {
        self.services.insert(ServiceTag::new(service), service.to_owned()).is_none()
    }

    /// Whether the node cares about the service with this tag.
    pub(super) fn has(&self, tag: ServiceTag) -> bool {
        self.services.contains_key(&tag)
    }

    /// Whether the node cares about `service`.
    pub(super) fn has_service(&self, service: &str) -> bool {
        self.services.get(&ServiceTag::new(service)).is_some_and(|known| known == service)
    }

    /// The tag of the own service.
    pub(super) fn own(&self) -> ServiceTag {
        self.own
    }

    /// All tags, the own one among them.
    pub(super) fn tags(&self) -> Vec<ServiceTag> {
        self.services.keys().copied().collect()
    }
}
