//! Periodically recomputes a service's baseline and decides which targets are ejected.

use super::health::{self, Ejection};
use super::record::ArmRecord;
use super::router::Router;
use crate::clock::US_PER_MS;

/// The time after which the baseline is recomputed.
const REVIEW_INTERVAL_US: u64 = 20 * US_PER_MS;
/// The number of settled attempts after which the baseline is recomputed.
const REVIEW_ATTEMPTS: u32 = 8;

impl Router {
    /// Recomputes the baseline and the ejections if that is due.
    pub(super) fn review_if_due(&mut self, now_us: u64, service_index: usize, arm: usize) {
        let state = &mut self.services[service_index].arms[arm];
        let is_outdated = now_us.saturating_sub(state.reviewed_us) >= REVIEW_INTERVAL_US;
        if !is_outdated && state.settled_since_review < REVIEW_ATTEMPTS {
            return;
        }
        state.reviewed_us = now_us;
        state.settled_since_review = 0;
        let records = self.active_targets(&self.services[service_index]);
        let baseline = health::baseline(records.filter_map(|target| target.record(arm)));
        self.services[service_index].arms[arm].baseline = baseline;
        self.review_ejections(now_us, service_index, arm);
    }

    /// Ejects the worst targets that exceed the threshold, so that at most half are ejected, and
    /// readmits the best ejected ones if more than half are.
    fn review_ejections(&mut self, now_us: u64, service_index: usize, arm: usize) {
        let service = &self.services[service_index];
        let baseline = service.arms[arm].baseline;
        let ejected_max = service.active.len() / 2;
        let mut ejected = Vec::new();
        let mut to_eject = Vec::new();
        for &target_index in &service.active {
            let Some(record) =
                self.targets[target_index].as_ref().and_then(|target| target.record(arm))
            else {
                continue;
            };
            let ejection_score = health::ejection_score(record, now_us, baseline);
            if record.ejection.is_some() {
                ejected.push((ejection_score, target_index));
            } else if ejection_score > 1.0 {
                to_eject.push((ejection_score, target_index));
            }
        }
        to_eject.sort_by(|left, right| right.0.total_cmp(&left.0));
        to_eject.truncate(ejected_max.saturating_sub(ejected.len()));
        for (_, target_index) in to_eject {
            self.change_record(target_index, arm, |record| {
                record.ejection = Some(Ejection::start(now_us))
            });
        }
        ejected.sort_by(|left, right| right.0.total_cmp(&left.0));
        for &(_, target_index) in ejected.iter().skip(ejected_max) {
            self.change_record(target_index, arm, |record| health::readmit(record, now_us));
        }
    }

    /// Changes the record of the target at `target_index`.
    fn change_record(
        &mut self,
        target_index: usize,
        arm: usize,
        change: impl FnOnce(&mut ArmRecord),
    ) {
        let record =
            self.targets[target_index].as_mut().and_then(|target| target.records.get_mut(arm));
        if let Some(record) = record {
            change(record);
        }
    }
}
