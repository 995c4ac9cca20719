//! Targets, made up: each calls the next service and answers with the path it was asked for.

use std::collections::HashMap;

use aspenspring::call::{AttemptId, HttpAnswer, Verdict};
use aspenspring::node::{
    Announcement, CallEnd, Intake, NodeEvent, TargetCall, TargetOutcome, Ticket,
};
use rand::Rng;
use rand::rngs::SmallRng;

use super::{CHILD_TICKETS, MS};

/// A request that a target runs.
struct Job {
    seat: usize,
    call: TargetCall,
}

/// All targets.
#[derive(Default)]
pub struct Targets {
    jobs: HashMap<AttemptId, Job>,
    children: HashMap<Ticket, AttemptId>,
    runs: HashMap<(&'static str, String), u32>,
    tickets: u64,
}

/// What a target says about itself.
pub fn announcement(index: usize, service: &str) -> Announcement {
    Announcement {
        url: format!("http://127.0.0.1:{}", 9_000 + index),
        service: service.to_owned(),
        slots: 8,
        connections: 80,
    }
}

impl Targets {
    /// Begins to run a request; a confirmation must not run twice.
    pub fn run(
        &mut self,
        seat: usize,
        service: &'static str,
        call: TargetCall,
        rng: &mut SmallRng,
    ) -> Result<Vec<(u64, NodeEvent)>, String> {
        let path = call.request.path.clone();
        let runs = self.runs.entry((service, path.clone())).or_default();
        *runs += 1;
        if path.starts_with("/confirm") && *runs > 1 {
            return Err(format!("{path} ran {runs} times at {service}"));
        }
        let attempt = call.attempt;
        let below = match service {
            "front" => Some("mid"),
            "mid" => Some("deep"),
            _ => None,
        };
        let events = match below {
            Some(below) => vec![(MS, self.child(attempt, &call, below))],
            None => vec![(rng.random_range(MS..30 * MS), ended(attempt, 200, &path))],
        };
        self.jobs.insert(attempt, Job { seat, call });
        Ok(events)
    }

    /// The call of a target to the next service.
    fn child(&mut self, attempt: AttemptId, call: &TargetCall, service: &str) -> NodeEvent {
        self.tickets += 1;
        let ticket = Ticket(CHILD_TICKETS + self.tickets);
        self.children.insert(ticket, attempt);
        let intake = Intake {
            ticket,
            service: service.to_owned(),
            request: call.request.clone(),
            deadline_ms: None,
            key: None,
            trace: None,
        };
        NodeEvent::TargetCall { intake, token: Some(call.token.clone()) }
    }

    /// A target's own call has ended.
    pub fn child_ended(
        &mut self,
        seat: usize,
        ticket: Ticket,
        end: &CallEnd,
        rng: &mut SmallRng,
    ) -> Vec<(u64, NodeEvent)> {
        let Some(attempt) = self.children.remove(&ticket) else { return Vec::new() };
        let Some(job) = self.jobs.get(&attempt).filter(|job| job.seat == seat) else {
            return Vec::new();
        };
        let whole = matches!(&end.verdict, Verdict::Answered(answer) if answer.status == 200);
        let status = if whole { 200 } else { 503 };
        let path = job.call.request.path.clone();
        vec![(rng.random_range(MS..5 * MS), ended(attempt, status, &path))]
    }

    /// A request is given up.
    pub fn abort(&mut self, seat: usize, attempt: AttemptId) -> Vec<(u64, NodeEvent)> {
        let Some(job) = self.jobs.remove(&attempt) else { return Vec::new() };
        if job.seat != seat {
            return Vec::new();
        }
        vec![(MS, NodeEvent::TargetEnded { attempt, outcome: TargetOutcome::Aborted })]
    }

    /// The target in a seat is gone with its node.
    pub fn drop_seat(&mut self, seat: usize) {
        self.jobs.retain(|_, job| job.seat != seat);
    }

    /// How often a target of `service` ran the request with this path.
    pub fn runs(&self, service: &'static str, path: &str) -> u32 {
        self.runs.get(&(service, path.to_owned())).copied().unwrap_or(0)
    }
}

fn ended(attempt: AttemptId, status: u16, path: &str) -> NodeEvent {
    let body = path.to_owned().into();
    let answer = HttpAnswer { status, headers: Vec::new(), body };
    NodeEvent::TargetEnded { attempt, outcome: TargetOutcome::Answered(answer) }
}
