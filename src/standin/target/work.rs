//! Serves a call: waits for a slot, spends the service time, makes the child calls and answers.

use rand::Rng;
use tokio::time::{Duration, Instant, sleep, sleep_until};

use super::call::Call;
use super::children::call_services;
use super::fault::{Fault, FaultMode};
use super::run_stats::RunEnd;
use super::state::TargetState;
use crate::standin::answer::{Answer, Echo};
use crate::standin::message::{Delivery, Reply};

/// Factor by which service times are multiplied while a target is cold.
const COLD_FACTOR: f64 = 4.0;
/// Constant part of the service time as a share of its mean; the rest is exponentially distributed.
const MIN_TIME_SHARE: f64 = 0.5;
/// Interval at which a stalled call checks whether the stall is over, in milliseconds.
const STALL_POLL_MS: u64 = 10;
/// Header in which a target states that it did not run a call.
const VERDICT_HEADER: &str = "aspenspring-verdict";
/// Value of [`VERDICT_HEADER`] for a call that did not run.
const NOT_RUN: &str = "not-run";

/// Serves one call and returns its reply.
pub(super) async fn serve(state: &TargetState, call: Call) -> Reply {
    if state.is_draining() {
        return not_run_reply(state, 503, "the target is leaving");
    }
    let pool = state.slot_pools.for_arm(call.arm());
    let Some(_admission) = pool.try_admit() else {
        return not_run_reply(state, 503, "the target's queue is full");
    };
    let mut registration = state.cancellations.register(call.call_id().unwrap_or(""));
    let slot = tokio::select! {
        biased;
        () = sleep_until(call.deadline) => None,
        () = registration.cancelled() => None,
        slot = pool.acquire_slot() => slot,
    };
    let Some(_slot) = slot else {
        return not_run_reply(state, 504, "the call gave up before it was run");
    };
    let started = Instant::now();
    state.run_stats().begin(call.key());
    let (end, reply) = tokio::select! {
        biased;
        () = sleep_until(call.deadline) => (RunEnd::Expired, stopped_reply("the deadline passed")),
        () = registration.cancelled() => (RunEnd::Cancelled, stopped_reply("the call was cancelled")),
        done = run(state, &call) => done,
    };
    state.run_stats().end(end, started.elapsed().as_micros() as u64);
    reply
}

/// Runs a call that holds a slot.
async fn run(state: &TargetState, call: &Call) -> (RunEnd, Reply) {
    while state.fault().mode == FaultMode::Stall {
        sleep(Duration::from_millis(STALL_POLL_MS)).await;
    }
    let service_time = service_time(state, state.fault());
    if !service_time.is_zero() {
        // Skipped for zero, because even an empty sleep takes about a millisecond.
        sleep(service_time).await;
    }
    let settings = &state.settings;
    let children = match settings.node {
        Some(node) if !settings.calls.is_empty() => {
            let (services, parallel) = (&settings.calls, settings.parallel);
            call_services(&state.client, node, services, parallel, call).await
        }
        _ => Ok(Vec::new()),
    };
    let children = match children {
        Ok(children) => children,
        Err(error) => {
            let title = format!("a service further down gave no answer: {}", error.detail);
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
    apply_fault(state.fault().mode, Reply::json(200, &answer))
}

/// Applies the current fault to a reply.
fn apply_fault(mode: FaultMode, reply: Reply) -> (RunEnd, Reply) {
    match mode {
        FaultMode::Error => (RunEnd::Faulty, Reply::problem(500, "the target failed")),
        FaultMode::Close => (RunEnd::Faulty, Reply::closed()),
        FaultMode::Truncate => (RunEnd::Faulty, Reply { delivery: Delivery::Truncated, ..reply }),
        _ => (RunEnd::Answered, reply),
    }
}

/// Draws the service time of a call, without its child calls.
fn service_time(state: &TargetState, fault: Fault) -> Duration {
    let uniform = state.random().random::<f64>();
    let exponential = -(1.0 - uniform).ln();
    let mut service_ms =
        state.settings.service_ms * (MIN_TIME_SHARE + (1.0 - MIN_TIME_SHARE) * exponential);
    if matches!(fault.mode, FaultMode::Slow | FaultMode::Lie) {
        service_ms *= fault.factor.max(0.0);
    }
    if state.started.elapsed() < Duration::from_millis(state.settings.cold_ms) {
        service_ms *= COLD_FACTOR;
    }
    Duration::try_from_secs_f64(service_ms / 1_000.0).unwrap_or(Duration::MAX)
}

/// Counts a call that was not run and returns the reply that says so.
fn not_run_reply(state: &TargetState, status: u16, title: &str) -> Reply {
    state.run_stats().never_run += 1;
    Reply::problem(status, title).with_header(VERDICT_HEADER, NOT_RUN)
}

/// A reply to a call that was stopped while it ran. It lacks the verdict "not run", because the
/// call had started.
fn stopped_reply(title: &str) -> Reply {
    Reply::problem(504, title)
}
