//! The sending side: chooses a target for a request, sends it, and retries it where that is
//! allowed.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, timeout_at};

use super::directory::{Destination, LIMITED_COST, PickRequest, utilisation_of};
use super::fingerprint::Fingerprint;
use super::frame::{
    Call, CallEnd, Condition, Doubt, Frame, Header, NotRun, ServiceCalls, TargetAnswer,
};
use super::limit_reports;
use super::node::{CountGuard, Node};
use super::placing;
use super::quarantine::Standing;
use super::receiver;
use super::request_log::RequestSummary;
use super::returns;
use super::site::{Route, RouteKind};
use super::tree_calls::TreeCalls;

/// Maximum number of targets that one request is offered to, including those that refuse it.
const OFFERS_MAX: usize = 6;
/// Maximum number of offers of one request, including those that targets rejected, where targets
/// have conditions. With 0.55 of all offers rejected, 12 offers leave one call in 1,300 without a
/// run.
const OFFERS_MAX_REJECTED: usize = 12;
/// Time before a request is first offered again to a target that rejected it. Multiplied by the
/// number of such offers, so that all of them together take about a fifth of a second.
const REOFFER_BACKOFF: Range<Duration> = Duration::from_millis(2)..Duration::from_millis(8);
/// Least weight of a target among those that have rejected a request, in percent: the reported
/// share of rejected offers may be outdated.
const PASS_PERCENT_MIN: u8 = 5;
/// How long after the deadline the answer of a peer is awaited: at the deadline, the peer reports
/// whether the request has run.
const ANSWER_GRACE: Duration = Duration::from_millis(30);
/// `Retry-After` when no target was available, in milliseconds.
const RETRY_AFTER_NO_TARGET_MS: u64 = 600;
/// `Retry-After` when all targets were busy, in milliseconds.
const RETRY_AFTER_BUSY_MS: u64 = 1_000;

/// `Retry-After` of a node that is about to exit, in milliseconds.
pub const RETRY_AFTER_CLOSING_MS: u64 = 300;

/// A request that has been read completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the caller's attempt.
    pub attempt_id: String,
    /// The method.
    pub method: String,
    /// The path including the query.
    pub path: String,
    /// The headers to forward, without the id of the attempt.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// When an answer is no longer of use.
    pub deadline: Instant,
    /// The root route: that of the caller's request at the root of the call tree.
    pub root: Rc<str>,
    /// Its priority rank.
    pub rank: u8,
    /// Whether it was made by a retry.
    pub is_repeat: bool,
    /// Whether it was made by a run that has already completed a call.
    pub has_progressed: bool,
    /// Team whose API key admitted the root request; empty if no key was used.
    pub team: Rc<str>,
}

impl Request {
    /// The fingerprint of the request. Reads the whole body.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&self.method, &self.path, &self.headers, &self.body)
    }
}

/// The final outcome of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The target answered.
    Answered(TargetAnswer),
    /// The request has not run and never will.
    NotRun {
        /// Why.
        reason: NotRun,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// It is unknown whether the request ran.
    MayHaveRun(Doubt),
}

impl Outcome {
    /// A refusal.
    pub fn refused(reason: NotRun, retry_after_ms: u64) -> Self {
        Self::NotRun { reason, retry_after_ms }
    }

    /// Whether the target answered with a status below 500.
    pub fn went_well(&self) -> bool {
        matches!(self, Self::Answered(answer) if !answer.is_failure())
    }

    /// The names of the verdict and of the reason in logs and metrics.
    pub fn names(&self) -> (&'static str, &'static str) {
        match self {
            Self::Answered(answer) => ("answered", answer.reason()),
            Self::NotRun { reason, .. } => ("not_run", reason.name()),
            Self::MayHaveRun(doubt) => ("may_have_run", doubt.name()),
        }
    }
}

/// A request being sent, and the state of its attempts.
struct Dispatch<'a> {
    node: &'a Rc<Node>,
    route: &'a Route,
    service: &'a str,
    request: &'a Request,
    /// Peers it was offered to.
    tried: Vec<SocketAddr>,
    /// Whether it was offered to the local target.
    tried_local: bool,
    /// The target that refused it last because of its limit.
    limited_by: Option<Destination>,
    /// Whether offers that targets reject are retried within the whole budget.
    retries_rejected: bool,
    /// The different targets that it reached.
    reached: Vec<Destination>,
    /// How often it was offered again to a target that it had reached.
    reoffers: u32,
    /// The calls made for it.
    calls: Rc<TreeCalls>,
    /// The attempts so far, for the log.
    summary: RequestSummary,
}

/// Sends a request, with retries, until it has its final outcome. Also returns a summary for the
/// log. Dropping the future cancels the request.
pub async fn send(node: &Rc<Node>, route: &Route, request: &Request) -> (Outcome, RequestSummary) {
    let service = &route.split[node.splitter.next(route)].service;
    if request.is_repeat {
        node.budgets.charge_inherited(service);
    } else {
        node.budgets.record_request(service);
    }
    let mut dispatch = Dispatch {
        node,
        route,
        service,
        request,
        tried: Vec::new(),
        tried_local: false,
        limited_by: None,
        retries_rejected: node.completion_is_on(),
        reached: Vec::new(),
        reoffers: 0,
        calls: Rc::default(),
        summary: RequestSummary::default(),
    };
    let outcome = dispatch.run().await;
    dispatch.add_own_calls();
    let mut summary = dispatch.summary;
    summary.calls = dispatch.calls.take();
    service.clone_into(&mut summary.service);
    if matches!(outcome, Outcome::NotRun { reason: NotRun::Quarantined, .. }) {
        summary.quarantined = Some(request.fingerprint());
    }
    (outcome, summary)
}

impl Dispatch<'_> {
    async fn run(&mut self) -> Outcome {
        if let Some(left) = self.quarantine_left() {
            return Outcome::refused(NotRun::Quarantined, left.as_millis() as u64);
        }
        let mut last = CallEnd::NotRun(NotRun::NoTarget);
        // An earlier attempt that may have run takes precedence over a later refusal.
        let mut doubt = None;
        // So does a failure reported by a target.
        let mut failure = None;
        while self.may_offer() {
            let Some(destination) = self.next_destination().await else { break };
            self.record_choice(&destination);
            last = self.attempt(&destination).await;
            self.record_reached(&destination, &last);
            if last == CallEnd::NotRun(NotRun::Limited) {
                self.limited_by = Some(destination);
            }
            match &last {
                CallEnd::MayHaveRun(found) => doubt = Some(*found),
                CallEnd::Answered(answer) => failure = Some(answer.clone()),
                CallEnd::NotRun(_) => {}
            }
            let may_retry = self.may_retry(&last);
            if last == CallEnd::NotRun(NotRun::Declined) {
                self.node.metrics.record_rejected_offer(may_retry);
            }
            if !may_retry {
                break;
            }
        }
        if last == CallEnd::NotRun(NotRun::Limited) {
            self.record_unmet();
        }
        match (last, failure, doubt) {
            (CallEnd::Answered(answer), ..) | (CallEnd::NotRun(_), Some(answer), _) => {
                Outcome::Answered(answer)
            }
            (CallEnd::MayHaveRun(doubt), ..) | (CallEnd::NotRun(_), None, Some(doubt)) => {
                Outcome::MayHaveRun(doubt)
            }
            (CallEnd::NotRun(reason), None, None) => {
                let quarantine_ms = self.quarantine_left().map(|left| left.as_millis() as u64);
                let retry_after_ms =
                    quarantine_ms.unwrap_or_else(|| retry_after_ms(self.node, self.route, reason));
                Outcome::refused(reason, retry_after_ms)
            }
        }
    }

    /// Reports to the target that refused the request last because of its limit that no other one
    /// could take it.
    fn record_unmet(&mut self) {
        let limit = match &self.limited_by {
            Some(Destination::Local) => {
                self.node.target.gate.pacer.record_unmet();
                limit_reports::current(self.node)
            }
            Some(Destination::Peer(peer)) => {
                if let Some(link) = peer.open_link() {
                    link.send(&Frame::Unmet);
                }
                peer.limit.reported()
            }
            None => None,
        };
        self.summary.target_limit = limit.and_then(|limit| limit.text()).unwrap_or_default();
    }

    /// Whether the quarantine lets the request run, as far as this node knows.
    fn standing(&self) -> Standing {
        let quarantine = &self.node.quarantine;
        if quarantine.is_empty() {
            return Standing::Unrestricted;
        }
        quarantine.standing(self.request.fingerprint())
    }

    /// The minimum remaining time of the request's quarantine, if it is quarantined.
    fn quarantine_left(&self) -> Option<Duration> {
        match self.standing() {
            Standing::Quarantined(left) => Some(left),
            Standing::Unrestricted | Standing::Suspect => None,
        }
    }

    /// Whether a retry might crash the next target too: the request is a suspect, or it was running
    /// when a target crashed and at most one target of the service is left.
    fn may_crash_next_target(&self) -> bool {
        let quarantine = &self.node.quarantine;
        if quarantine.is_empty() {
            return false;
        }
        let fingerprint = self.request.fingerprint();
        quarantine.standing(fingerprint) != Standing::Unrestricted
            || quarantine.has_crashed(fingerprint) && self.targets_ready() <= 1
    }

    /// How many targets of the service are ready, as far as this node knows.
    fn targets_ready(&self) -> usize {
        let own = self.node.target.current().filter(|known| known.service == self.service);
        self.node.directory.remote_targets(self.service).1 + usize::from(own.is_some())
    }

    /// Whether another offer is within the maximum number of offers.
    fn may_offer(&self) -> bool {
        let offers = self.summary.offered.len();
        offers - (self.rejected_offers() as usize) < OFFERS_MAX && offers < OFFERS_MAX_REJECTED
    }

    /// Number of offers that a target rejected and that don't count as attempts.
    fn rejected_offers(&self) -> u32 {
        if self.retries_rejected { self.summary.rejected } else { 0 }
    }

    /// The target of the next offer, if any: one that was not tried yet, or one that was. Waits
    /// before the request is offered again to a target that it has reached.
    async fn next_destination(&mut self) -> Option<Destination> {
        if !self.retries_rejected || self.summary.rejected == 0 {
            return self.pick().or_else(|| self.pick_tried());
        }
        let may_reach_another = self.reached.len() < self.route.attempts_max as usize;
        if let Some(destination) = self.pick().filter(|_| may_reach_another) {
            return Some(destination);
        }
        let backoff = self.next_backoff();
        if Instant::now() + backoff >= self.request.deadline {
            return None;
        }
        sleep(backoff).await;
        self.pick_reached().or_else(|| self.pick_tried().filter(|_| may_reach_another))
    }

    /// A randomized time to wait before the request is offered again to a target that it has
    /// reached; longer each time.
    fn next_backoff(&mut self) -> Duration {
        self.reoffers += 1;
        self.node.rng.borrow_mut().random_range(REOFFER_BACKOFF) * self.reoffers
    }

    /// A target that the request has reached. One that rejects fewer offers is more likely.
    fn pick_reached(&self) -> Option<Destination> {
        let pass_weight = |destination: &Destination| match destination {
            Destination::Local => {
                let current = self.node.target.current().filter(|now| now.service == self.service);
                let is_open = current.is_some() && self.node.accepts_calls();
                is_open.then(|| pass_percent(self.node.target.condition()))
            }
            Destination::Peer(peer) => {
                let status = peer.status.borrow();
                let is_open =
                    status.ready && status.service == self.service && peer.open_link().is_some();
                is_open.then(|| pass_percent(peer.condition.current().map(|(found, _)| found)))
            }
        };
        let mut open = Vec::new();
        for destination in &self.reached {
            if let Some(weight) = pass_weight(destination) {
                open.push((destination, weight));
            }
        }
        let mut rng = self.node.rng.borrow_mut();
        let chosen = open.choose_weighted(&mut *rng, |(_, weight)| *weight).ok()?;
        Some(chosen.0.clone())
    }

    /// Records the target that an offer reached, and whether it rejected the offer.
    fn record_reached(&mut self, destination: &Destination, end: &CallEnd) {
        self.summary.rejected += u32::from(*end == CallEnd::NotRun(NotRun::Declined));
        if !self.retries_rejected || !end.has_arrived() {
            return;
        }
        if !self.reached.iter().any(|known| is_same_target(known, destination)) {
            self.reached.push(destination.clone());
        }
    }

    /// Adds the offers of this request to the calls of the tree.
    fn add_own_calls(&self) {
        if !self.retries_rejected || self.summary.offered.is_empty() {
            return;
        }
        // A call that a retried run makes again takes from the budget like a retry.
        let requests = u32::from(!self.request.is_repeat);
        self.calls.add(&ServiceCalls {
            service: self.service.to_owned(),
            requests,
            repeats: self.summary.arrivals.saturating_sub(requests),
            rejected: self.summary.rejected,
        });
    }

    /// A target that was already tried, once all others have been tried.
    fn pick_tried(&mut self) -> Option<Destination> {
        if self.summary.arrivals == 0 {
            return None;
        }
        self.tried.clear();
        self.tried_local = false;
        self.pick()
    }

    /// The next target, if any.
    fn pick(&self) -> Option<Destination> {
        let node = self.node;
        let allows_limited = self.limited_by.is_none();
        let is_limited = !node.target.gate.pacer.has_token(self.request.rank);
        let may_use_local =
            !self.tried_local && node.accepts_calls() && (allows_limited || !is_limited);
        let current = node.target.current().filter(|known| known.service == self.service);
        let local_cost = current.filter(|_| may_use_local).map(|known| {
            let utilisation = utilisation_of(node.target.load(), 0, known.is_cold);
            let slowdown = node.directory.slowdown(self.service, node.target.condition());
            placing::cost(utilisation, slowdown)
                + node.target.failing.cost(Instant::now())
                + if is_limited { LIMITED_COST } else { 0.0 }
        });
        let wanted = PickRequest {
            service: self.service,
            local_cost,
            tried: &self.tried,
            // Offers to one target with a used-up limit after the other would multiply its calls.
            allows_limited,
        };
        let mut rng = node.rng.borrow_mut();
        node.directory.pick(&wanted, &mut *rng)
    }

    /// Records what was known of the chosen target, and counts a call to a slow one.
    fn record_choice(&mut self, destination: &Destination) {
        let node = self.node;
        let known = match destination {
            Destination::Local => node.target.condition().map(|known| (known, Duration::ZERO)),
            Destination::Peer(peer) => peer.condition.current(),
        };
        self.summary.choice = node.directory.choice(self.service, known);
        if self.summary.choice.is_some_and(|choice| placing::is_slow(choice.slowdown)) {
            node.metrics.record_call_to_slow_target();
        }
    }

    /// Counts an arrival if the request reached the target, and returns whether it may be sent
    /// again. Charges the retry budget if so.
    fn may_retry(&mut self, end: &CallEnd) -> bool {
        let has_arrived = end.has_arrived();
        self.summary.arrivals += u32::from(has_arrived);
        if self.request.deadline <= Instant::now() {
            return false;
        }
        let is_allowed = match end {
            CallEnd::NotRun(reason) => {
                !matches!(reason, NotRun::Expired | NotRun::Quarantined | NotRun::Closing)
            }
            CallEnd::MayHaveRun(doubt) => {
                let may_crash = *doubt == Doubt::TargetBroke && self.may_crash_next_target();
                self.route.kind == RouteKind::Idempotent && !may_crash
            }
            // A failed inner call has been retried by the node that made it, if the budget allowed.
            // Retrying the whole request would cost many times as much.
            CallEnd::Answered(answer) => {
                answer.is_failure()
                    && !answer.has_failed_below
                    && self.route.kind == RouteKind::Idempotent
            }
        };
        if !is_allowed || !has_arrived {
            return is_allowed;
        }
        let node = self.node;
        let nodes = node.directory.linked() + 1;
        let rank = self.request.rank;
        let rng = &mut *node.rng.borrow_mut();
        if !self.retries_rejected {
            return self.summary.arrivals < self.route.attempts_max
                && node.budgets.try_take(self.service, rank, nodes, rng);
        }
        let attempts = self.summary.arrivals - self.rejected_offers();
        if attempts >= self.route.attempts_max || !self.may_offer() {
            return false;
        }
        let has_progressed = self.request.has_progressed;
        node.budgets.try_take_lagged(self.service, rank, has_progressed, nodes, rng)
    }

    /// Sends the request to one target.
    async fn attempt(&mut self, destination: &Destination) -> CallEnd {
        match destination {
            Destination::Local => {
                self.tried_local = true;
                self.summary.offered.push(None);
                let call = self.call();
                let caller_end = &self.node.own_end;
                receiver::serve(self.node, &call, caller_end, self.request.deadline, &self.calls)
                    .await
            }
            Destination::Peer(peer) => {
                self.tried.push(peer.address);
                self.summary.offered.push(Some(peer.address));
                let Some(link) = peer.open_link() else { return CallEnd::NotRun(NotRun::Unsent) };
                let mut pending = match link.call(self.call()) {
                    Ok(pending) => pending,
                    Err(reason) => return CallEnd::NotRun(reason),
                };
                peer.in_flight.set(peer.in_flight.get() + 1);
                let _guard = InFlightGuard(&peer.in_flight);
                let end = timeout_at(self.request.deadline + ANSWER_GRACE, pending.end()).await;
                let end = end.unwrap_or(CallEnd::MayHaveRun(Doubt::Timeout));
                self.calls.add_all(&pending.take_tree_calls());
                if suggests_unavailable(&end) {
                    peer.avoid();
                }
                peer.failing.record(end.counts_as_target_failure());
                if end == CallEnd::NotRun(NotRun::Limited) {
                    peer.limit.record_refused(&mut *self.node.rng.borrow_mut());
                } else if end.has_arrived() {
                    peer.limit.record_accepted();
                }
                end
            }
        }
    }

    fn call(&self) -> Call {
        let left = self.request.deadline.saturating_duration_since(Instant::now());
        Call {
            id: 0,
            service: self.service.to_owned(),
            attempt_id: self.request.attempt_id.clone(),
            remaining_ms: left.as_millis() as u32,
            root: self.request.root.to_string(),
            rank: self.request.rank,
            // A run after a rejected offer is an arrival beyond the first too, so its calls count as
            // repeats.
            is_repeat: self.request.is_repeat || self.summary.arrivals > 0,
            team: self.request.team.to_string(),
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
        }
    }
}

/// Whether two destinations are the same target.
fn is_same_target(one: &Destination, other: &Destination) -> bool {
    match (one, other) {
        (Destination::Local, Destination::Local) => true,
        (Destination::Peer(one), Destination::Peer(other)) => one.address == other.address,
        _ => false,
    }
}

/// The share of offers that a target with this condition does not reject, in percent; at least
/// `PASS_PERCENT_MIN`.
fn pass_percent(condition: Option<Condition>) -> u8 {
    let rejected = condition.map_or(0, |condition| condition.rejected_percent);
    100_u8.saturating_sub(rejected).max(PASS_PERCENT_MIN)
}

/// Counts a call as in flight until dropped.
struct InFlightGuard<'a>(&'a std::cell::Cell<u32>);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Whether the result of a call suggests that the peer or its target is unavailable.
fn suggests_unavailable(end: &CallEnd) -> bool {
    match end {
        CallEnd::Answered(_)
        | CallEnd::MayHaveRun(
            Doubt::Timeout | Doubt::TargetBroke | Doubt::Withdrawn | Doubt::AnswerUnread,
        ) => false,
        CallEnd::MayHaveRun(Doubt::LinkLost) => true,
        CallEnd::NotRun(reason) => !matches!(
            reason,
            NotRun::Declined
                | NotRun::Expired
                | NotRun::Quarantined
                | NotRun::Limited
                | NotRun::Closing
        ),
    }
}

/// `Retry-After` for a refusal without a promise, in milliseconds.
pub fn retry_after_ms(node: &Node, route: &Route, reason: NotRun) -> u64 {
    match reason {
        NotRun::Shed | NotRun::Limited | NotRun::Unlikely | NotRun::OverShare => {
            returns::random_delay(route, &mut *node.rng.borrow_mut()).as_millis() as u64
        }
        NotRun::NoTarget | NotRun::Leaving | NotRun::Unreachable | NotRun::Unsent => {
            RETRY_AFTER_NO_TARGET_MS
        }
        NotRun::Closing => RETRY_AFTER_CLOSING_MS,
        NotRun::QueueFull
        | NotRun::Expired
        | NotRun::Declined
        | NotRun::NoKey
        | NotRun::OverQuota
        | NotRun::FleetUnknown
        | NotRun::Orphaned
        | NotRun::Quarantined => RETRY_AFTER_BUSY_MS,
    }
}

/// Counts a request of a caller as in flight until the guard is dropped.
pub fn count_in_flight(node: &Node) -> CountGuard<'_> {
    CountGuard::new(&node.in_flight, 1)
}
