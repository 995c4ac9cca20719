//! The work of a target: waiting for a slot, its own time, its calls and its answer.

use rand::Rng;
use tokio::time::{Duration, Instant, sleep, sleep_until};

use super::call::Call;
use super::children::call_all;
use super::fault::{Fault, FaultMode};
use super::ledger::RunEnd;
use super::shared::Shared;
use crate::standin::answer::{Answer, Echo};
use crate::standin::exchange::{Ending, Reply};

/// How many times longer work takes while a target is cold.
const COLD_FACTOR: f64 = 4.0;
/// The least time of a call, as a share of the mean; the rest is exponentially distributed.
const LEAST_SHARE: f64 = 0.5;
/// How often a stalled call looks whether the stall is over.
const STALL_LOOK_MS: u64 = 10;
/// The header by which a target says that it did not run a call.
const VERDICT_HEADER: &str = "aspenspring-verdict";
/// Its value.
const NOT_RUN: &str = "not-run";

/// Serves one call and answers.
pub(super) async fn serve(shared: &Shared, call: Call) -> Reply {
    if shared.is_draining() {
        return not_run(shared, 503, "the target is leaving");
    }
    let lane = shared.lanes.of(call.arm());
    let Some(_place) = lane.enter() else {
        return not_run(shared, 503, "the target's queue is full");
    };
    let mut registration = shared.cancellations.register(call.handle().unwrap_or(""));
    let slot = tokio::select! {
        biased;
        () = sleep_until(call.deadline) => None,
        () = registration.cancelled() => None,
        slot = lane.slot() => slot,
    };
    let Some(_slot) = slot else {
        return not_run(shared, 504, "the call gave up before it was run");
    };
    let begun = Instant::now();
    shared.ledger().begin(call.key());
    let (end, reply) = tokio::select! {
        biased;
        () = sleep_until(call.deadline) => (RunEnd::Expired, stopped("the deadline passed")),
        () = registration.cancelled() => (RunEnd::Cancelled, stopped("the call was cancelled")),
        done = run(shared, &call) => done,
    };
    shared.ledger().end(end, begun.elapsed().as_micros() as u64);
    reply
}

/// Runs a call that has a slot.
async fn run(shared: &Shared, call: &Call) -> (RunEnd, Reply) {
    while shared.fault().mode == FaultMode::Stall {
        sleep(Duration::from_millis(STALL_LOOK_MS)).await;
    }
    let own_time = own_time(shared, shared.fault());
    if !own_time.is_zero() {
        // Even a sleep of no time at all takes the timer a millisecond.
        sleep(own_time).await;
    }
    let settings = &shared.settings;
    let children = match settings.node {
        Some(node) if !settings.calls.is_empty() => {
            let (services, parallel) = (&settings.calls, settings.parallel);
            call_all(&shared.client, node, services, parallel, call).await
        }
        _ => Ok(Vec::new()),
    };
    let children = match children {
        Ok(children) => children,
        Err(error) => {
            let title = format!("a service further down gave no answer: {}", error.told);
            let reply = Reply::problem(error.status, &title);
            return (RunEnd::ChildFailed, reply);
        }
    };
    let answer = Answer {
        service: settings.service.clone(),
        target: settings.name.clone(),
        echo: Echo::new(&call.method, &call.path, &call.body),
        children,
    };
    spoil(shared.fault().mode, Reply::json(200, &answer))
}

/// What the fault in force makes of an answer.
fn spoil(mode: FaultMode, reply: Reply) -> (RunEnd, Reply) {
    match mode {
        FaultMode::Error => (RunEnd::Faulty, Reply::problem(500, "the target failed")),
        FaultMode::Close => (RunEnd::Faulty, Reply::closed()),
        FaultMode::Truncate => (RunEnd::Faulty, Reply { ending: Ending::Truncated, ..reply }),
        _ => (RunEnd::Answered, reply),
    }
}

/// How long the target's own work for a call takes.
fn own_time(shared: &Shared, fault: Fault) -> Duration {
    let uniform = shared.random().random::<f64>();
    let exponential = -(1.0 - uniform).ln();
    let mut own_ms = shared.settings.service_ms * (LEAST_SHARE + (1.0 - LEAST_SHARE) * exponential);
    if matches!(fault.mode, FaultMode::Slow | FaultMode::Lie) {
        own_ms *= fault.factor.max(0.0);
    }
    if shared.started.elapsed() < Duration::from_millis(shared.settings.cold_ms) {
        own_ms *= COLD_FACTOR;
    }
    Duration::try_from_secs_f64(own_ms / 1_000.0).unwrap_or(Duration::MAX)
}

/// Answers a call that was not run, and says so.
fn not_run(shared: &Shared, status: u16, title: &str) -> Reply {
    shared.ledger().never_run += 1;
    Reply::problem(status, title).with(VERDICT_HEADER, NOT_RUN)
}

/// Answers a call that was stopped while it ran; nothing is said about "not run".
fn stopped(title: &str) -> Reply {
    Reply::problem(504, title)
}
