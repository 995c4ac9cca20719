//! Works out, now and then, what a service's targets usually show and which get only probes.

use super::health::{self, Ejection};
use super::record::ArmRecord;
use super::router::Router;
use crate::clock::US_PER_MS;

/// The time after which what is usual is worked out again.
const REVIEW_US: u64 = 20 * US_PER_MS;
/// The number of settled attempts after which what is usual is worked out again.
const REVIEW_ATTEMPTS: u32 = 8;

impl Router {
    /// Works out again what is usual, and which targets get only probes, when that is due.
    pub(super) fn review_if_due(&mut self, now_us: u64, place: usize, arm: usize) {
        let state = &mut self.services[place].arms[arm];
        let old = now_us.saturating_sub(state.reviewed_us) >= REVIEW_US;
        if !old && state.unreviewed < REVIEW_ATTEMPTS {
            return;
        }
        state.reviewed_us = now_us;
        state.unreviewed = 0;
        let records = self.active_targets(&self.services[place]);
        let usual = health::usual(records.filter_map(|target| target.record(arm)));
        self.services[place].arms[arm].usual = usual;
        self.review_ejections(now_us, place, arm);
    }

    /// Ejects the worst targets, but never more than half.
    fn review_ejections(&mut self, now_us: u64, place: usize, arm: usize) {
        let service = &self.services[place];
        let usual = service.arms[arm].usual;
        let most = service.active.len() / 2;
        let mut ejected = Vec::new();
        let mut bad = Vec::new();
        for &slot in &service.active {
            let Some(record) = self.targets[slot].as_ref().and_then(|target| target.record(arm))
            else {
                continue;
            };
            let badness = health::badness(record, now_us, usual);
            if record.ejection.is_some() {
                ejected.push((badness, slot));
            } else if badness > 1.0 {
                bad.push((badness, slot));
            }
        }
        bad.sort_by(|left, right| right.0.total_cmp(&left.0));
        bad.truncate(most.saturating_sub(ejected.len()));
        for (_, slot) in bad {
            self.change_record(slot, arm, |record| record.ejection = Some(Ejection::start(now_us)));
        }
        ejected.sort_by(|left, right| right.0.total_cmp(&left.0));
        for &(_, slot) in ejected.iter().skip(most) {
            self.change_record(slot, arm, |record| health::readmit(record, now_us));
        }
    }

    /// Changes the record of the target in `slot`.
    fn change_record(&mut self, slot: usize, arm: usize, change: impl FnOnce(&mut ArmRecord)) {
        let record = self.targets[slot].as_mut().and_then(|target| target.records.get_mut(arm));
        if let Some(record) = record {
            change(record);
        }
    }
}
