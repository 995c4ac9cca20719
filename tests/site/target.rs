//! Simulated targets: each calls the next service and answers with the path of its request.

use std::collections::HashMap;

use aspenspring::call::{AttemptId, HttpAnswer, Verdict};
use aspenspring::node::{
    Announcement, CallEnd, IncomingRequest, NodeEvent, TargetCall, TargetOutcome, Ticket,
};
use rand::Rng;
use rand::rngs::SmallRng;

use super::{FIRST_CHILD_TICKET, US_PER_MS};

/// A request running at a target.
struct Job {
    host: usize,
    call: TargetCall,
}

/// The targets of all hosts.
#[derive(Default)]
pub struct Targets {
    jobs: HashMap<AttemptId, Job>,
    /// The running attempt that made each call to the next service.
    children: HashMap<Ticket, AttemptId>,
    /// The number of runs of each path at each service.
    runs: HashMap<(&'static str, String), u32>,
    last_ticket: u64,
}

/// The announcement of a target.
pub fn announcement(index: usize, service: &str) -> Announcement {
    Announcement {
        url: format!("http://127.0.0.1:{}", 9_000 + index),
        service: service.to_owned(),
        slots: 8,
        connections: 80,
    }
}

impl Targets {
    /// Starts to run a request and returns the events that follow, with their delays. Fails if a
    /// confirmation runs twice.
    pub fn run(
        &mut self,
        host: usize,
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
        let downstream = match service {
            "front" => Some("mid"),
            "mid" => Some("deep"),
            _ => None,
        };
        let events = match downstream {
            Some(downstream) => vec![(US_PER_MS, self.child_call(attempt, &call, downstream))],
            None => vec![(
                rng.random_range(US_PER_MS..30 * US_PER_MS),
                answered_event(attempt, 200, &path),
            )],
        };
        self.jobs.insert(attempt, Job { host, call });
        Ok(events)
    }

    /// A target's call to the next service.
    fn child_call(&mut self, attempt: AttemptId, call: &TargetCall, service: &str) -> NodeEvent {
        self.last_ticket += 1;
        let ticket = Ticket(FIRST_CHILD_TICKET + self.last_ticket);
        self.children.insert(ticket, attempt);
        let incoming = IncomingRequest {
            ticket,
            service: service.to_owned(),
            request: call.request.clone(),
            deadline_ms: None,
            key: None,
            trace: None,
        };
        NodeEvent::TargetCall { incoming, token: Some(call.token.clone()) }
    }

    /// Handles the result of a target's call.
    pub fn on_child_ended(
        &mut self,
        host: usize,
        ticket: Ticket,
        end: &CallEnd,
        rng: &mut SmallRng,
    ) -> Vec<(u64, NodeEvent)> {
        let Some(attempt) = self.children.remove(&ticket) else { return Vec::new() };
        let Some(job) = self.jobs.get(&attempt).filter(|job| job.host == host) else {
            return Vec::new();
        };
        let is_complete = matches!(&end.verdict, Verdict::Answered(answer) if answer.status == 200);
        let status = if is_complete { 200 } else { 503 };
        let path = job.call.request.path.clone();
        vec![(rng.random_range(US_PER_MS..5 * US_PER_MS), answered_event(attempt, status, &path))]
    }

    /// Aborts a request.
    pub fn abort(&mut self, host: usize, attempt: AttemptId) -> Vec<(u64, NodeEvent)> {
        let Some(job) = self.jobs.remove(&attempt) else { return Vec::new() };
        if job.host != host {
            return Vec::new();
        }
        vec![(US_PER_MS, NodeEvent::TargetEnded { attempt, outcome: TargetOutcome::Aborted })]
    }

    /// Drops the requests of a host whose node process ended.
    pub fn drop_host(&mut self, host: usize) {
        self.jobs.retain(|_, job| job.host != host);
    }

    /// How often targets of `service` ran the request with this path.
    pub fn runs(&self, service: &'static str, path: &str) -> u32 {
        self.runs.get(&(service, path.to_owned())).copied().unwrap_or(0)
    }
}

fn answered_event(attempt: AttemptId, status: u16, path: &str) -> NodeEvent {
    let body = path.to_owned().into();
    let answer = HttpAnswer { status, headers: Vec::new(), body };
    NodeEvent::TargetEnded { attempt, outcome: TargetOutcome::Answered(answer) }
}
