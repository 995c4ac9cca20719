//! Shedding floors of downstream services: those that the target itself calls.

use std::collections::HashMap;

use crate::call::{ArmId, ClassRank, Level};

/// How long a reported floor applies in full, in microseconds.
const FULL_US: u64 = 300_000;
/// The age at which a floor that is not reported again expires, in microseconds.
const EXPIRY_US: u64 = 1_000_000;

/// The last reported floor of one service.
#[derive(Clone, Debug)]
struct ReportedFloor {
    service: String,
    floor: Level,
    /// When it was reported, in microseconds.
    at_us: u64,
}

/// Reported floors of downstream services, by arm and class.
#[derive(Clone, Debug, Default)]
pub(super) struct Downstream {
    /// Floors by the arm and class of the calls that use the service.
    reports: HashMap<(ArmId, ClassRank), Vec<ReportedFloor>>,
}

impl Downstream {
    /// Records the floor of `service`, replacing the one reported before.
    pub fn record(
        &mut self,
        now_us: u64,
        arm: ArmId,
        class: ClassRank,
        service: &str,
        floor: Level,
    ) {
        let reports = self.reports.entry((arm, class)).or_default();
        reports.retain(|report| now_us < report.at_us.saturating_add(EXPIRY_US));
        for report in reports.iter_mut() {
            if report.service == service {
                report.floor = floor;
                report.at_us = now_us;
                return;
            }
        }
        reports.push(ReportedFloor { service: service.to_owned(), floor, at_us: now_us });
    }

    /// The highest decayed floor of the downstream services that calls of this arm and class use.
    pub fn floor(&self, now_us: u64, arm: ArmId, class: ClassRank) -> Level {
        let Some(reports) = self.reports.get(&(arm, class)) else {
            return Level::LOWEST;
        };
        let mut highest = Level::LOWEST;
        for report in reports {
            highest = highest.max(decayed(report, now_us));
        }
        highest
    }
}

/// The reported floor, lowered by its age.
///
/// It decays linearly instead of ending at once: a class that is shed completely sends nothing
/// downstream that could refresh its floor, and must not be admitted again in one burst.
fn decayed(report: &ReportedFloor, now_us: u64) -> Level {
    let age_us = now_us.saturating_sub(report.at_us);
    let decaying_us = age_us.saturating_sub(FULL_US);
    let left_us = (EXPIRY_US - FULL_US).saturating_sub(decaying_us);
    let level = u64::from(report.floor.0) * left_us / (EXPIRY_US - FULL_US);
    Level(level as u16)
}
