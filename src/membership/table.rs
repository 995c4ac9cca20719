//! Handles the rows that are read from the platform's table service.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::event::MembershipAction;
use super::member::{Member, MemberRow, MemberState};
use super::state::Membership;

/// How often a node may move its start time past that of other incarnations with its name.
const START_TIME_MOVES_MAX: u32 = 8;

impl Membership {
    pub(super) fn handle_rows(
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
            if row.member.is_same_node(&self.own) {
                self.row_schedule.own_version = Some(row.version);
                self.row_schedule.written_once |= row.member.node == self.own.node;
                self.resolve_name_conflict(&row.member, out);
                continue;
            }
            // It is not known when the row was written, so the member gets the full time-out.
            self.view.apply_record(now_us, &row.member, now_us, &self.options, out);
        }
        self.delete_dead_row(now_us, service, rows, rng, out);
        let has_recent_gossip = self.has_recent_gossip(now_us);
        let own = self.interests.own();
        let has_empty_service =
            self.interests.tags().iter().any(|tag| *tag != own && self.view.size(*tag) == 0);
        self.row_schedule.read_succeeded(
            now_us,
            service,
            has_recent_gossip,
            has_empty_service,
            &self.options,
            rng,
        );
    }

    /// Deletes one row of a dead member. Many nodes read the same rows, so each of them deletes one
    /// only with a probability of 1 / (size of its service).
    fn delete_dead_row(
        &mut self,
        now_us: u64,
        service: &str,
        rows: &[MemberRow],
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        let service_size =
            u32::try_from(self.view.size(self.interests.own()) + 1).unwrap_or(u32::MAX);
        let mut dead = self.row_schedule.record_rows(now_us, service, rows, &self.options);
        dead.retain(|row| self.view.get(row.member.node).is_none());
        dead.retain(|row| !row.member.is_same_node(&self.own));
        let Some(row) = dead.choose(rng) else { return };
        if rng.random_ratio(1, service_size) {
            let key = row.member.row_key();
            out.push(MembershipAction::DeleteRow { key, version: row.version });
        }
    }

    /// Whether gossip arrived recently. The table service is then the secondary source and is read
    /// less often.
    fn has_recent_gossip(&self, now_us: u64) -> bool {
        let limit_us = 4 * self.options.beat_us;
        self.last_gossip_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < limit_us)
    }

    pub(super) fn handle_conflict(
        &mut self,
        now_us: u64,
        version: Option<u64>,
        present: Option<&Member>,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        if let Some(member) = present {
            self.row_schedule.written_once |= member.node == self.own.node;
            self.resolve_name_conflict(member, out);
        }
        self.row_schedule.write_conflicted(now_us, version, rng);
    }

    /// Decides which of two incarnations keeps the name that they share.
    ///
    /// For an incarnation that has not written its row yet, the other one is its predecessor
    /// whatever the clocks say, so it moves its own start time past the predecessor's. An
    /// incarnation that has written its row and then finds a later one was replaced while it was
    /// paused.
    pub(super) fn resolve_name_conflict(
        &mut self,
        other: &Member,
        out: &mut Vec<MembershipAction>,
    ) {
        if other.node == self.own.node || !other.supersedes(&self.own) || self.superseded {
            return;
        }
        if !self.row_schedule.written_once && self.start_time_moves < START_TIME_MOVES_MAX {
            self.start_time_moves += 1;
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
