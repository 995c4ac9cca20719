//! The services whose members a node tracks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A hash of a service name, used on the wire. A collision only costs bandwidth, because records
/// carry the full name, which is checked.
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
    /// Tracks only the node's own service.
    pub(super) fn new(own: &str) -> Self {
        let tag = ServiceTag::new(own);
        Self { own: tag, services: BTreeMap::from([(tag, own.to_owned())]) }
    }

    /// Starts to track `service`; returns false if it is tracked already.
    pub(super) fn add(&mut self, service: &str) -> bool {
        self.services.insert(ServiceTag::new(service), service.to_owned()).is_none()
    }

    /// Whether the service with this tag is tracked.
    pub(super) fn contains(&self, tag: ServiceTag) -> bool {
        self.services.contains_key(&tag)
    }

    /// Whether `service` is tracked.
    pub(super) fn has_service(&self, service: &str) -> bool {
        self.services.get(&ServiceTag::new(service)).is_some_and(|tracked| tracked == service)
    }

    /// The tag of the node's own service.
    pub(super) fn own(&self) -> ServiceTag {
        self.own
    }

    /// The tags of all tracked services, including the node's own.
    pub(super) fn tags(&self) -> Vec<ServiceTag> {
        self.services.keys().copied().collect()
    }
}
