//! Floors of the services that the target's own calls need.

use std::collections::HashMap;

use crate::call::{ArmId, ClassRank, Level};

/// How long a floor is taken as told, in microseconds.
const FRESH_US: u64 = 300_000;
/// When a floor that nobody repeats is forgotten, in microseconds after it was told.
const FORGOTTEN_US: u64 = 1_000_000;

/// One service's floor as it was last told.
#[derive(Clone, Debug)]
struct Told {
    /// The service.
    service: String,
    /// Its floor.
    floor: Level,
    /// When it was told, in microseconds.
    at_us: u64,
}

/// What is known about floors further down, for each arm and class.
#[derive(Clone, Debug, Default)]
pub(super) struct Downstream {
    /// Floors by the arm and class of the calls that need the service.
    told: HashMap<(ArmId, ClassRank), Vec<Told>>,
}

impl Downstream {
    /// Takes in a floor that came with an answer.
    pub fn note(&mut self, now_us: u64, arm: ArmId, class: ClassRank, service: &str, floor: Level) {
        let told = self.told.entry((arm, class)).or_default();
        told.retain(|entry| now_us < entry.at_us.saturating_add(FORGOTTEN_US));
        for entry in told.iter_mut() {
            if entry.service == service {
                entry.floor = floor;
                entry.at_us = now_us;
                return;
            }
        }
        told.push(Told { service: service.to_owned(), floor, at_us: now_us });
    }

    /// The highest floor that calls of this arm and class meet further down.
    pub fn floor(&self, now_us: u64, arm: ArmId, class: ClassRank) -> Level {
        let Some(told) = self.told.get(&(arm, class)) else {
            return Level::LOWEST;
        };
        let mut highest = Level::LOWEST;
        for entry in told {
            highest = highest.max(faded(entry, now_us));
        }
        highest
    }
}

/// The floor less what it has lost by not being repeated.
///
/// It sinks in a straight line instead of ending at once: a class that is refused altogether sends
/// nothing down that could refresh its floor, and must not come back in one burst.
fn faded(told: &Told, now_us: u64) -> Level {
    let age_us = now_us.saturating_sub(told.at_us);
    let past_us = age_us.saturating_sub(FRESH_US);
    let left_us = (FORGOTTEN_US - FRESH_US).saturating_sub(past_us);
    let level = u64::from(told.floor.0) * left_us / (FORGOTTEN_US - FRESH_US);
    Level(level as u16)
}
