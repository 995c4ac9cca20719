//! Nodes that contact this one from services that it does not track, such as its callers.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::clock::US_PER_S;

use super::interest::ServiceTag;

/// Maximum number of contacts kept.
const CONTACTS_MAX: usize = 32;
/// How long a contact is kept after its last digest, in microseconds.
const CONTACT_TTL_US: u64 = 120 * US_PER_S;
/// Maximum number of referrals waiting to be used.
const REFERRALS_MAX: usize = 16;

/// A node that sent a digest.
#[derive(Debug)]
struct Contact {
    address: SocketAddr,
    service: ServiceTag,
    last_digest_us: u64,
}

/// Nodes that sent digests recently, and addresses that peers referred this node to.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    contacts: VecDeque<Contact>,
    referrals: VecDeque<SocketAddr>,
}

impl Contacts {
    /// Records a digest from a node of `service`.
    pub(super) fn record(&mut self, now_us: u64, address: SocketAddr, service: ServiceTag) {
        self.contacts.retain(|contact| contact.address != address);
        if self.contacts.len() >= CONTACTS_MAX {
            self.contacts.pop_front();
        }
        self.contacts.push_back(Contact { address, service, last_digest_us: now_us });
    }

    /// Removes contacts whose last digest is older than `CONTACT_TTL_US`.
    pub(super) fn expire(&mut self, now_us: u64) {
        self.contacts
            .retain(|contact| now_us.saturating_sub(contact.last_digest_us) < CONTACT_TTL_US);
    }

    /// The peer addresses of the contacts.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.contacts.iter().map(|contact| contact.address)
    }

    /// The address of a node that may know members of `service`, for `requester`: the latest
    /// contact of that service if there is one, or else the latest of any service.
    pub(super) fn referral(
        &self,
        service: ServiceTag,
        requester: SocketAddr,
    ) -> Option<SocketAddr> {
        let others = || self.contacts.iter().rev().filter(|contact| contact.address != requester);
        let of_service = others().find(|contact| contact.service == service);
        of_service.or(others().next()).map(|contact| contact.address)
    }

    /// Adds referrals received from a peer.
    pub(super) fn add_referrals(&mut self, referrals: &[SocketAddr], own: SocketAddr) {
        for referral in referrals {
            let is_known = *referral == own || self.referrals.contains(referral);
            if !is_known && self.referrals.len() < REFERRALS_MAX {
                self.referrals.push_back(*referral);
            }
        }
    }

    /// Removes and returns the oldest referral.
    pub(super) fn next_referral(&mut self) -> Option<SocketAddr> {
        self.referrals.pop_front()
    }
}
