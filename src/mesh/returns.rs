//! Retry times with reserved capacity: a caller that is refused because of load is told a time at
//! which it will be admitted.
//!
//! A caller comes back only once, after at most a third of its remaining time. Each root route has
//! a schedule of promises in time slots of 100 ms. A returning request is recognised by its expiry
//! and its time of arrival, so nothing has to pass through the caller but `Retry-After`.
//!
//! Switched on by the setting `overload.returns`. Takes effect for routes whose requests reach a
//! service with ready targets; all others get a random time. docs/design/returns.md has the reasons
//! and the failures.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::ops::{Range, RangeInclusive};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::site::Route;

/// Range of a random `Retry-After`, as a fraction of the route's objective.
const RANDOM_FRACTIONS: Range<f64> = 0.3..0.7;
/// Minimum objective assumed for a random `Retry-After`, in milliseconds.
const OBJECTIVE_MIN_MS: u64 = 300;

/// Length of a time slot of the schedules.
const TIME_SLOT: Duration = Duration::from_millis(100);
/// Callers come back after at most this part of their remaining time.
const REMAINING_DIVISOR: u32 = 3;
/// The longest time that is named. Capacity can't be foreseen for longer.
const DELAY_MAX: Duration = Duration::from_secs(5);
/// The shortest time that is named. A caller that comes back sooner most likely meets the load that
/// it was refused for, which is measured every 100 ms.
const DELAY_MIN: Duration = Duration::from_millis(50);
/// Maximum difference between the expiry of a returning request and that of the refused one.
const EXPIRY_TOLERANCE: Duration = Duration::from_millis(30);
/// Minimum decrease of the stated remaining time by which the same caller is told from a new one
/// before the promised time. Callers state whole milliseconds.
const DECREASE_MIN: Duration = Duration::from_millis(1);
/// How long before its time a returning request is recognised.
const EARLY_MAX: Duration = Duration::from_millis(50);
/// How long after its time a returning request is recognised.
const LATE_MAX: Duration = Duration::from_millis(400);
/// How long before the promised time capacity is kept from new requests. It must be free at that
/// time, and a slot's worth of requests ends within one slot.
const RESERVED_BEFORE: Duration = TIME_SLOT;
/// How long after the promised time capacity is kept from new requests. Most callers come back
/// within this time; some never do.
const RESERVED_AFTER: Duration = Duration::from_millis(150);

/// Fraction of a route's admission rate that may be promised.
const PROMISED_SHARE: f64 = 0.8;
/// Fraction of it that may be promised for times at which the answer would miss the objective.
/// Without this limit, lasting overload fills the far time slots first, and every promise is late.
const LATE_SHARE: f64 = 0.5;
/// Fraction of the objective that an answer is assumed to take before one is known.
const ANSWER_FRACTION: f64 = 0.5;
/// Factor on the mean time of answers for the time that an answer may take.
const ANSWER_FACTOR: f64 = 1.5;
/// Weight of one answer in the mean time of answers.
const ANSWER_WEIGHT: f64 = 0.05;
/// Number of slots over which the promises are bounded; 2 s, so that a route with one admission a
/// second has promises too.
const WINDOW_SLOTS: usize = 20;
/// Weight of the admissions since the last adjustment in the admission rate: an average over one
/// second with adjustments every 100 ms.
const RATE_WEIGHT: f64 = 0.1;
/// Relative decrease of a service's capacity at which promises are voided. The rejected share is
/// reported in steps of 0.05.
const FALL_MIN: f64 = 0.1;
/// Maximum number of promises, and of refusals without a promise that are remembered.
const RECORDS_MAX: usize = 4_096;

/// The capacity of a service with ready targets.
#[derive(Clone, Debug, Default)]
pub struct ServiceCapacity {
    /// The requests that its targets can run at once, each target weighted by the share of offers that
    /// it accepts.
    pub capacity: f64,
    /// Age of the oldest condition that this is based on.
    pub age: Duration,
    /// The root routes of the requests that reach the service.
    pub roots: Vec<String>,
}

/// Promises that were voided because the capacity of a service has fallen.
#[derive(Clone, Debug, PartialEq)]
pub struct Voided {
    /// The service.
    pub service: String,
    /// Its capacity when promises were last checked, in requests that it can run at once.
    pub capacity_before: f64,
    /// Its capacity now.
    pub capacity: f64,
    /// Age of the oldest condition that the capacity is based on.
    pub age: Duration,
    /// Number of promises that were voided.
    pub voided: usize,
    /// Number of promises of requests that reach the service and remain.
    pub kept: usize,
}

/// Numbers of promises and returns since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnTotals {
    /// Promises made.
    pub promised: u64,
    /// Promises that a returning request has used.
    pub taken: u64,
    /// Promises that were voided.
    pub voided: u64,
    /// Refusals without a promise.
    pub unpromised: u64,
    /// Returning requests that were refused again.
    pub refused_again: u64,
}

/// A request that is refused because of load.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest<'a> {
    /// Its team; empty if it has none.
    pub team: &'a Rc<str>,
    pub rank: u8,
    /// When the caller's time is over, if it has stated that.
    pub expiry: Option<Instant>,
    /// Whether it has returned, with or without a promise.
    pub has_returned: bool,
}

/// A promise that a returning request has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenPromise {
    /// Whether the capacity kept for it was included in the last result of `Returns::reserved`.
    pub is_reserved: bool,
}

/// What a returning request is recognised by, besides its route and its time of arrival.
#[derive(Clone, Debug)]
struct RequestMark {
    team: Rc<str>,
    /// When the caller's time is over.
    expiry: Instant,
}

impl RequestMark {
    /// Whether a request of `team` with `expiry` is the one that was refused.
    fn is_of(&self, team: &str, expiry: Instant) -> bool {
        *self.team == *team && distance(self.expiry, expiry) <= EXPIRY_TOLERANCE
    }
}

/// A promise to admit a request when it returns.
#[derive(Clone, Debug)]
struct Promise {
    request: RequestMark,
    /// The promised time.
    due: Instant,
    made_at: Instant,
    rank: u8,
}

impl Promise {
    /// Whether a request of `team` that states `expiry` at `now` is the one that was refused. A
    /// new request states the same remaining time; the same caller has less by the time that has
    /// passed.
    fn is_repeated_by(&self, team: &str, expiry: Instant, now: Instant) -> bool {
        let stated = self.request.expiry.saturating_duration_since(self.made_at);
        let decrease = stated.saturating_sub(expiry.saturating_duration_since(now));
        let elapsed = now.saturating_duration_since(self.made_at);
        self.request.is_of(team, expiry) && decrease >= DECREASE_MIN.max(elapsed / 2)
    }

    /// Whether capacity is kept for it at `now`.
    fn is_reserved(&self, now: Instant) -> bool {
        self.due <= now + RESERVED_BEFORE && now <= self.due + RESERVED_AFTER
    }
}

/// A refusal without a promise, or whose promise is void.
#[derive(Debug)]
struct Unpromised {
    request: RequestMark,
    /// The named time.
    due: Instant,
}

/// A time slot of a route.
#[derive(Debug, Default)]
struct TimeSlot {
    promises: Vec<Promise>,
    /// Promises that were used; they count against the rate.
    taken: usize,
    unpromised: Vec<Unpromised>,
}

/// The schedule of one root route.
#[derive(Debug, Default)]
struct Schedule {
    /// Requests admitted since the last adjustment.
    admitted: u32,
    /// Requests admitted per second, averaged.
    rate_per_s: f64,
    /// Mean time from arrival to answer of admitted requests; `None` before the first answer.
    answer_time: Option<Duration>,
    /// The time slots that are in use, by number.
    slots: BTreeMap<u64, TimeSlot>,
}

impl Schedule {
    /// The longest time until the return of a request that is answered within the objective.
    fn on_time_delay(&self, route: &Route) -> Duration {
        let objective = Duration::from_millis(route.objective_ms);
        let expected = self.answer_time.map(|mean| mean.mul_f64(ANSWER_FACTOR));
        objective.saturating_sub(expected.unwrap_or(objective.mul_f64(ANSWER_FRACTION)))
    }

    /// Number of promises made for a slot.
    fn promised_in(&self, number: u64) -> usize {
        self.slots.get(&number).map_or(0, |slot| slot.promises.len() + slot.taken)
    }

    /// The first free time slot among `numbers`. Slots from `late_from` on have less room.
    ///
    /// A promise may fill any sequence of `WINDOW_SLOTS` slots that contains its slot, so all of
    /// them are checked: they begin up to `WINDOW_SLOTS - 1` slots before it and end as many after.
    fn find_free(&self, numbers: RangeInclusive<u64>, late_from: u64) -> Option<u64> {
        let margin = WINDOW_SLOTS as u64 - 1;
        let offset = numbers.start().saturating_sub(margin);
        let counts: Vec<usize> =
            (offset..=numbers.end() + margin).map(|number| self.promised_in(number)).collect();
        let slots_per_s = 1.0 / TIME_SLOT.as_secs_f64();
        for number in numbers {
            let share = if number >= late_from { LATE_SHARE } else { 1.0 };
            let per_slot = self.rate_per_s * PROMISED_SHARE * share / slots_per_s;
            let at = (number - offset) as usize;
            if counts[at] >= per_slot.ceil() as usize {
                continue;
            }
            let per_window = (per_slot * WINDOW_SLOTS as f64) as usize;
            let first = (at + 1).saturating_sub(WINDOW_SLOTS);
            let mut windows = counts[first..at + WINDOW_SLOTS].windows(WINDOW_SLOTS);
            if windows.all(|window| window.iter().sum::<usize>() < per_window) {
                return Some(number);
            }
        }
        None
    }

    /// Number of promises for which capacity is kept at `now`.
    fn reserved(&self, now: Instant) -> usize {
        let promises = self.slots.values().flat_map(|slot| &slot.promises);
        promises.filter(|promise| promise.is_reserved(now)).count()
    }
}

/// The promises of an entry node to callers that it has refused.
#[derive(Debug)]
pub struct Returns {
    started: Instant,
    /// The schedules of the routes for which promises are made.
    schedules: RefCell<HashMap<Rc<str>, Schedule>>,
    /// The capacity of each service when promises were last checked, and the root routes of the
    /// requests that reach it.
    capacities: RefCell<HashMap<String, ServiceCapacity>>,
    /// When `reserved` was last called.
    reserved_at: Cell<Option<Instant>>,
    /// Number of promises that are neither used nor outdated.
    pending: Cell<usize>,
    /// Number of remembered refusals without a promise.
    unpromised: Cell<usize>,
    totals: Cell<ReturnTotals>,
}

impl Default for Returns {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            schedules: RefCell::default(),
            capacities: RefCell::default(),
            reserved_at: Cell::default(),
            pending: Cell::default(),
            unpromised: Cell::default(),
            totals: Cell::default(),
        }
    }
}

impl Returns {
    /// The time after which the caller of a refused request should come back. Reserves capacity for
    /// it if possible.
    pub fn retry_after(
        &self,
        route: &Route,
        refused: RefusedRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Duration {
        let mut schedules = self.schedules.borrow_mut();
        let Some(schedule) = schedules.get_mut(&route.name) else {
            return random_delay(route, rng);
        };
        let RefusedRequest { team, rank, expiry, has_returned } = refused;
        let Some(expiry) = expiry else { return random_delay(route, rng) };
        let remaining = expiry.saturating_duration_since(now);
        let longest = longest_delay(expiry, now);
        if has_returned {
            self.count(|totals| totals.refused_again += 1);
            return longest;
        }
        if let Some(due) = self.due_of_early(schedule, team, expiry, now) {
            return (due - now).min(longest);
        }
        let latest = now + longest;
        let numbers = self.slot_of(now + DELAY_MIN) + 1..=self.slot_of(latest);
        let late_from = self.slot_of(now + schedule.on_time_delay(route));
        let has_room = self.pending.get() < RECORDS_MAX && remaining > longest;
        let request = RequestMark { team: Rc::clone(team), expiry };
        let free = has_room.then(|| schedule.find_free(numbers, late_from));
        let Some(number) = free.flatten() else {
            self.count(|totals| totals.unpromised += 1);
            self.remember_unpromised(schedule, request, latest);
            return longest;
        };
        let offset = TIME_SLOT.mul_f64(rng.random::<f64>());
        let due = (self.started + TIME_SLOT * number as u32 + offset).min(latest);
        let promise = Promise { request, due, made_at: now, rank };
        schedule.slots.entry(number).or_default().promises.push(promise);
        self.pending.set(self.pending.get() + 1);
        self.count(|totals| totals.promised += 1);
        due - now
    }

    /// The promise with which a request of `team` returns, if it has one. It is used up.
    pub fn take_promise(
        &self,
        route: &Route,
        team: &str,
        expiry: Option<Instant>,
        now: Instant,
    ) -> Option<TakenPromise> {
        let expiry = expiry?;
        let mut schedules = self.schedules.borrow_mut();
        let schedule = schedules.get_mut(&route.name)?;
        let mut closest: Option<(Duration, u64, usize)> = None;
        for (number, slot) in schedule.slots.range(self.slots_due_at(now)) {
            for (index, promise) in slot.promises.iter().enumerate() {
                if !promise.request.is_of(team, expiry) || !is_due(promise.due, now) {
                    continue;
                }
                let difference = distance(promise.request.expiry, expiry);
                if closest.is_none_or(|(least, ..)| difference < least) {
                    closest = Some((difference, *number, index));
                }
            }
        }
        let (_, number, index) = closest?;
        let slot = schedule.slots.get_mut(&number)?;
        let promise = slot.promises.swap_remove(index);
        slot.taken += 1;
        self.pending.set(self.pending.get().saturating_sub(1));
        self.count(|totals| totals.taken += 1);
        let is_reserved = self
            .reserved_at
            .get()
            .is_some_and(|at| promise.made_at <= at && promise.is_reserved(at));
        Some(TakenPromise { is_reserved })
    }

    /// Whether a request of `team` returns that has no promise. Forgets the refusal, whether the
    /// request is then admitted or not: it doesn't come back again.
    pub fn take_unpromised(
        &self,
        route: &Route,
        team: &str,
        expiry: Option<Instant>,
        now: Instant,
    ) -> bool {
        let Some(expiry) = expiry else { return false };
        let mut schedules = self.schedules.borrow_mut();
        let Some(schedule) = schedules.get_mut(&route.name) else { return false };
        for (_, slot) in schedule.slots.range_mut(self.slots_due_at(now)) {
            let returns = |refusal: &Unpromised| {
                refusal.request.is_of(team, expiry) && is_due(refusal.due, now)
            };
            if let Some(index) = slot.unpromised.iter().position(returns) {
                slot.unpromised.swap_remove(index);
                self.unpromised.set(self.unpromised.get().saturating_sub(1));
                return true;
            }
        }
        false
    }

    /// Counts an admitted request of a caller.
    pub fn record_admitted(&self, route: &Route) {
        if let Some(schedule) = self.schedules.borrow_mut().get_mut(&route.name) {
            schedule.admitted += 1;
        }
    }

    /// Records how long an admitted request of a caller took until its answer.
    pub fn record_answered(&self, route: &Route, took: Duration) {
        if let Some(schedule) = self.schedules.borrow_mut().get_mut(&route.name) {
            let mean = schedule.answer_time.unwrap_or(took);
            schedule.answer_time =
                Some(mean.mul_f64(1.0 - ANSWER_WEIGHT) + took.mul_f64(ANSWER_WEIGHT));
        }
    }

    /// Periodic upkeep: applies the capacities of the services with ready targets, voids promises
    /// where they have fallen, and forgets outdated promises. Returns what was voided.
    pub fn adjust(&self, current: HashMap<String, ServiceCapacity>, now: Instant) -> Vec<Voided> {
        let mut capacities = self.capacities.borrow_mut();
        if current.is_empty() && capacities.is_empty() {
            return Vec::new();
        }
        let oldest = self.slot_of(now).saturating_sub(WINDOW_SLOTS as u64);
        let mut schedules = self.schedules.borrow_mut();
        let (mut pending, mut unpromised) = (0, 0);
        for schedule in schedules.values_mut() {
            let sample = f64::from(std::mem::take(&mut schedule.admitted))
                / super::overload::ADJUST_INTERVAL.as_secs_f64();
            schedule.rate_per_s += RATE_WEIGHT * (sample - schedule.rate_per_s);
            schedule.slots = schedule.slots.split_off(&oldest);
            for slot in schedule.slots.values_mut() {
                slot.promises.retain(|promise| now <= promise.due + LATE_MAX);
                slot.unpromised.retain(|refusal| now <= refusal.due + LATE_MAX);
                pending += slot.promises.len();
                unpromised += slot.unpromised.len();
            }
        }
        self.pending.set(pending);
        self.unpromised.set(unpromised);
        let mut voided = Vec::new();
        capacities.retain(|service, before| {
            let gone = ServiceCapacity::default();
            let capacity = current.get(service).unwrap_or(&gone);
            // Without capacity before, there is nothing that a fall could be measured by.
            let has_fallen =
                before.capacity > 0.0 && capacity.capacity <= before.capacity * (1.0 - FALL_MIN);
            if has_fallen {
                voided.extend(self.void(&mut schedules, service, before, capacity));
                before.capacity = capacity.capacity;
            } else {
                before.capacity = before.capacity.max(capacity.capacity);
            }
            current.contains_key(service)
        });
        schedules.retain(|root, _| {
            current.values().any(|capacity| capacity.roots.iter().any(|name| **name == **root))
        });
        for (service, capacity) in current {
            for root in &capacity.roots {
                if !schedules.contains_key(root.as_str()) {
                    schedules.insert(root.as_str().into(), Schedule::default());
                }
            }
            let known = capacities.entry(service).or_insert_with(|| capacity.clone());
            known.roots = capacity.roots;
        }
        voided
    }

    /// The number of returning requests of each route for which capacity is kept at `now`.
    pub fn reserved(&self, now: Instant) -> HashMap<Rc<str>, u32> {
        self.reserved_at.set(Some(now));
        let mut reserved = HashMap::new();
        for (root, schedule) in &*self.schedules.borrow() {
            let count = schedule.reserved(now);
            if count > 0 {
                reserved.insert(Rc::clone(root), count as u32);
            }
        }
        reserved
    }

    /// Number of promises that are neither used nor outdated.
    pub fn pending(&self) -> usize {
        self.pending.get()
    }

    /// Numbers of promises and returns since the start.
    pub fn totals(&self) -> ReturnTotals {
        self.totals.get()
    }

    /// Voids promises of requests that reach `service` in proportion to the decrease of its
    /// capacity: the least important rank first, and within a rank the latest first.
    fn void(
        &self,
        schedules: &mut HashMap<Rc<str>, Schedule>,
        service: &str,
        before: &ServiceCapacity,
        current: &ServiceCapacity,
    ) -> Option<Voided> {
        let kept_share = (current.capacity / before.capacity).clamp(0.0, 1.0);
        let mut promises = Vec::new();
        for root in &before.roots {
            let Some(schedule) = schedules.get_mut(root.as_str()) else { continue };
            // Follows at once; the average would take a second.
            schedule.rate_per_s *= kept_share;
            for (number, slot) in &mut schedule.slots {
                for promise in slot.promises.drain(..) {
                    promises.push((root, *number, promise));
                }
            }
        }
        promises.sort_by_key(|(_, _, promise)| (promise.rank, promise.due));
        let kept = (promises.len() as f64 * kept_share) as usize;
        let voided = promises.len() - kept;
        for (index, (root, number, promise)) in promises.into_iter().enumerate() {
            let Some(schedule) = schedules.get_mut(root.as_str()) else { continue };
            if index < kept {
                schedule.slots.entry(number).or_default().promises.push(promise);
            } else {
                self.remember_unpromised(schedule, promise.request, promise.due);
            }
        }
        self.pending.set(self.pending.get().saturating_sub(voided));
        self.count(|totals| totals.voided += voided as u64);
        (voided > 0).then(|| Voided {
            service: service.to_owned(),
            capacity_before: before.capacity,
            capacity: current.capacity,
            age: current.age,
            voided,
            kept,
        })
    }

    /// The promised time of a request that has come back before it. It gets no second promise.
    fn due_of_early(
        &self,
        schedule: &Schedule,
        team: &str,
        expiry: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let promises =
            schedule.slots.range(self.slot_of(now)..).flat_map(|(_, slot)| &slot.promises);
        let mut early = promises
            .filter(|promise| now < promise.due && promise.is_repeated_by(team, expiry, now));
        early.next().map(|promise| promise.due)
    }

    /// Remembers a refusal without a promise, so that the request is recognised when it returns.
    fn remember_unpromised(&self, schedule: &mut Schedule, request: RequestMark, due: Instant) {
        if self.unpromised.get() >= RECORDS_MAX {
            return;
        }
        let slot = schedule.slots.entry(self.slot_of(due)).or_default();
        slot.unpromised.push(Unpromised { request, due });
        self.unpromised.set(self.unpromised.get() + 1);
    }

    /// The number of the slot that contains `at`.
    fn slot_of(&self, at: Instant) -> u64 {
        (at.saturating_duration_since(self.started).as_millis() / TIME_SLOT.as_millis()) as u64
    }

    /// The slots of promises with which a request that arrives at `now` may return.
    fn slots_due_at(&self, now: Instant) -> RangeInclusive<u64> {
        let newest = self.slot_of(now + EARLY_MAX);
        let late_slots = LATE_MAX.as_millis().div_ceil(TIME_SLOT.as_millis()) as u64;
        self.slot_of(now).saturating_sub(late_slots)..=newest
    }

    fn count(&self, change: impl FnOnce(&mut ReturnTotals)) {
        let mut totals = self.totals.get();
        change(&mut totals);
        self.totals.set(totals);
    }
}

/// The longest time after which a caller still comes back.
fn longest_delay(expiry: Instant, now: Instant) -> Duration {
    let remaining = expiry.saturating_duration_since(now);
    (remaining / REMAINING_DIVISOR).clamp(DELAY_MIN, DELAY_MAX)
}

/// A `Retry-After` without a promise: short enough for the retry to be answered within the
/// objective, and randomized to spread out the retries of callers that were refused at the same
/// time.
pub fn random_delay(route: &Route, rng: &mut impl Rng) -> Duration {
    let objective_ms = route.objective_ms.max(OBJECTIVE_MIN_MS);
    let share = rng.random_range(RANDOM_FRACTIONS);
    Duration::from_millis((objective_ms as f64 * share) as u64)
}

/// Whether a request that arrives at `now` returns at the time `due`.
fn is_due(due: Instant, now: Instant) -> bool {
    due <= now + EARLY_MAX && now <= due + LATE_MAX
}

fn distance(one: Instant, other: Instant) -> Duration {
    one.saturating_duration_since(other).max(other.saturating_duration_since(one))
}
