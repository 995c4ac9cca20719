//! What the membership makes of rows of the platform's table.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::event::MembershipAction;
use super::member::{Member, MemberRow, MemberState};
use super::state::Membership;

/// How often a node puts itself after other lives it finds at its name.
const CLAIMS_MAX: u32 = 8;

impl Membership {
    pub(super) fn take_rows(
        &mut self,
        now_us: u64,
        service: &str,
        rows: &[MemberRow],
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        for row in rows {
            if row.member.service != service || !self.interests.has_service(service) {
                continue;
            }
            if row.member.same_place(&self.own) {
                self.rows.own_version = Some(row.version);
                self.rows.written_once |= row.member.node == self.own.node;
                self.meet_namesake(&row.member, out);
                continue;
            }
            // Nobody knows when the row was written, so its member is given the full time to age out.
            self.view.take(now_us, &row.member, now_us, &self.options, out);
        }
        self.delete_dead(now_us, service, rows, rng, out);
        let fresh = self.is_kept_fresh(now_us);
        let own = self.interests.own();
        let empty =
            self.interests.tags().iter().any(|tag| *tag != own && self.view.size(*tag) == 0);
        self.rows.read(now_us, service, fresh, empty, &self.options, rng);
    }

    /// Deletes one row of a member that is long dead. Many nodes see the same rows, so each of them
    /// deletes only now and then.
    fn delete_dead(
        &mut self,
        now_us: u64,
        service: &str,
        rows: &[MemberRow],
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        let sharers = u32::try_from(self.view.size(self.interests.own()) + 1).unwrap_or(u32::MAX);
        let mut dead = self.rows.dead(now_us, service, rows, &self.options);
        dead.retain(|row| self.view.get(row.member.node).is_none());
        dead.retain(|row| !row.member.same_place(&self.own));
        let Some(row) = dead.choose(rng) else { return };
        if rng.random_ratio(1, sharers) {
            let key = row.member.row_key();
            out.push(MembershipAction::DeleteRow { key, version: row.version });
        }
    }

    /// Whether peers were heard of late, so that the table is only the second source.
    fn is_kept_fresh(&self, now_us: u64) -> bool {
        let limit_us = 4 * self.options.beat_us;
        self.last_peer_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < limit_us)
    }

    pub(super) fn take_conflict(
        &mut self,
        now_us: u64,
        version: Option<u64>,
        present: Option<&Member>,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        if let Some(member) = present {
            self.rows.written_once |= member.node == self.own.node;
            self.meet_namesake(member, out);
        }
        self.rows.conflicted(now_us, version, rng);
    }

    /// Settles which of two lives with one name counts.
    ///
    /// A life that has not written its row yet finds its predecessor, whatever the clocks say, and
    /// puts itself after it. A life whose row was overwritten, or that meets a later life, has been
    /// replaced while it was paused.
    pub(super) fn meet_namesake(&mut self, other: &Member, out: &mut Vec<MembershipAction>) {
        if other.node == self.own.node || !other.supersedes(&self.own) || self.superseded {
            return;
        }
        if !self.rows.written_once && self.claims < CLAIMS_MAX {
            self.claims += 1;
            self.own.started_unix_ms = other.started_unix_ms + 1;
            self.own.revision += 1;
            self.own.beat += 1;
            return;
        }
        self.superseded = true;
        self.own.state = MemberState::Leaving;
        self.own.revision += 1;
        out.push(MembershipAction::Superseded { by: other.node });
    }
}
