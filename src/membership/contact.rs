//! Nodes that ask this one although it does not care about their services, such as its callers.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::clock::US_PER_S;

use super::interest::ServiceTag;

/// The most contacts that are remembered.
const CONTACTS_MAX: usize = 32;
/// How long a contact that does not ask again is remembered, in microseconds.
const CONTACT_US: u64 = 120 * US_PER_S;
/// The most leads that wait to be followed.
const LEADS_MAX: usize = 16;

/// A node that asked.
#[derive(Debug)]
struct Contact {
    address: SocketAddr,
    service: ServiceTag,
    heard_us: u64,
}

/// Nodes that asked of late, and nodes that others named as worth asking.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    contacts: VecDeque<Contact>,
    leads: VecDeque<SocketAddr>,
}

impl Contacts {
    /// Notes that a node of `service` asked.
    pub(super) fn note(&mut self, now_us: u64, address: SocketAddr, service: ServiceTag) {
        self.contacts.retain(|contact| contact.address != address);
        if self.contacts.len() >= CONTACTS_MAX {
            self.contacts.pop_front();
        }
        self.contacts.push_back(Contact { address, service, heard_us: now_us });
    }

    /// Forgets contacts that have not asked for long.
    pub(super) fn age(&mut self, now_us: u64) {
        self.contacts.retain(|contact| now_us.saturating_sub(contact.heard_us) < CONTACT_US);
    }

    /// Where the contacts are reached.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.contacts.iter().map(|contact| contact.address)
    }

    /// Whom `asker` may ask about `service`: a contact of that service, or else any other one.
    pub(super) fn lead(&self, service: ServiceTag, asker: SocketAddr) -> Option<SocketAddr> {
        let others = || self.contacts.iter().rev().filter(|contact| contact.address != asker);
        let of_service = others().find(|contact| contact.service == service);
        of_service.or(others().next()).map(|contact| contact.address)
    }

    /// Keeps leads that others gave.
    pub(super) fn follow(&mut self, leads: &[SocketAddr], own: SocketAddr) {
        for lead in leads {
            let known = *lead == own || self.leads.contains(lead);
            if !known && self.leads.len() < LEADS_MAX {
                self.leads.push_back(*lead);
            }
        }
    }

    /// The next lead to follow.
    pub(super) fn take_lead(&mut self) -> Option<SocketAddr> {
        self.leads.pop_front()
    }
}
