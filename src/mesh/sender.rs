//! The sending side: chooses a target for a request, sends it, and repeats it where that is
//! allowed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use super::directory::{Destination, PickRequest, utilization_of};
use super::fingerprint::Fingerprint;
use super::frame::{Call, CallEnd, Doubt, Header, NotRun, TargetAnswer};
use super::node::{CountGuard, Node};
use super::quarantine::Standing;
use super::receiver;
use super::site::{Route, RouteKind};
use super::trail::Trail;

/// How many targets one request is offered to at most, including those that refused it.
const OFFERS_MAX: usize = 6;
/// How long after the deadline the peer's answer is awaited: the peer knows whether the request
/// ran, and says so at the deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(30);
/// The `retry-after` for a caller when no target was available, in milliseconds.
const RETRY_AFTER_NO_TARGET_MS: u64 = 600;
/// The `retry-after` for a caller when all targets were busy, in milliseconds.
const RETRY_AFTER_BUSY_MS: u64 = 1_000;

/// A request that was read completely.
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
    /// The route of the caller's request that this one belongs to.
    pub root: Rc<str>,
    /// The rank of that route.
    pub rank: u8,
    /// Whether it was made by a run that is itself a repeat.
    pub is_repeat: bool,
    /// The team whose key admitted the caller's request; empty where no key did.
    pub team: Rc<str>,
}

impl Request {
    /// A hash that is the same whenever the request is sent again. Reads the whole body.
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
        /// When the caller may try again, in milliseconds.
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

    /// Whether the target answered with anything but a failure.
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

/// A request being sent, with the state of its attempts.
struct Dispatch<'a> {
    node: &'a Rc<Node>,
    route: &'a Route,
    service: &'a str,
    request: &'a Request,
    /// Peers it was offered to.
    tried: Vec<SocketAddr>,
    /// Whether it was offered to the target beside this node.
    tried_own: bool,
    /// The attempts, for the log.
    trail: Trail,
}

/// Sends a request until it has its final outcome, and returns its attempts with it. Dropping the
/// future cancels the request.
pub async fn send(node: &Rc<Node>, route: &Route, request: &Request) -> (Outcome, Trail) {
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
        tried_own: false,
        trail: Trail::default(),
    };
    let outcome = dispatch.run().await;
    let mut trail = dispatch.trail;
    service.clone_into(&mut trail.service);
    if matches!(outcome, Outcome::NotRun { reason: NotRun::Quarantined, .. }) {
        trail.held = Some(request.fingerprint());
    }
    (outcome, trail)
}

impl Dispatch<'_> {
    async fn run(&mut self) -> Outcome {
        if let Some(left) = self.held_for() {
            return Outcome::refused(NotRun::Quarantined, left.as_millis() as u64);
        }
        let mut last = CallEnd::NotRun(NotRun::NoTarget);
        // An earlier attempt that may have run takes precedence over a later refusal.
        let mut doubt = None;
        // So does a failure that a target has answered with.
        let mut failure = None;
        for _ in 0..OFFERS_MAX {
            let Some(destination) = self.pick().or_else(|| self.pick_tried()) else { break };
            last = self.attempt(&destination).await;
            match &last {
                CallEnd::MayHaveRun(found) => doubt = Some(*found),
                CallEnd::Answered(answer) => failure = Some(answer.clone()),
                CallEnd::NotRun(_) => {}
            }
            if !self.may_repeat(&last) {
                break;
            }
        }
        match (last, failure, doubt) {
            (CallEnd::Answered(answer), ..) | (CallEnd::NotRun(_), Some(answer), _) => {
                Outcome::Answered(answer)
            }
            (CallEnd::MayHaveRun(doubt), ..) | (CallEnd::NotRun(_), None, Some(doubt)) => {
                Outcome::MayHaveRun(doubt)
            }
            (CallEnd::NotRun(reason), None, None) => {
                let held_ms = self.held_for().map(|left| left.as_millis() as u64);
                Outcome::refused(reason, held_ms.unwrap_or_else(|| retry_after_ms(reason)))
            }
        }
    }

    /// How the quarantine lets the request run, as far as this node knows.
    fn standing(&self) -> Standing {
        let quarantine = &self.node.quarantine;
        if quarantine.is_empty() {
            return Standing::Free;
        }
        quarantine.standing(self.request.fingerprint())
    }

    /// For how long the request is held back at least, if it is.
    fn held_for(&self) -> Option<Duration> {
        match self.standing() {
            Standing::Held(left) => Some(left),
            Standing::Free | Standing::Suspect => None,
        }
    }

    /// Whether a repeat may crash the next target too: the request is a suspect, or it was running
    /// when a target crashed and the next one is the last of the service.
    fn may_crash_next_target(&self) -> bool {
        let quarantine = &self.node.quarantine;
        if quarantine.is_empty() {
            return false;
        }
        let fingerprint = self.request.fingerprint();
        quarantine.standing(fingerprint) != Standing::Free
            || quarantine.has_crashed(fingerprint) && self.targets_ready() <= 1
    }

    /// How many targets of the service are ready, as far as this node knows.
    fn targets_ready(&self) -> usize {
        let own = self.node.target.current().filter(|known| known.service == self.service);
        self.node.directory.remote_targets(self.service).1 + usize::from(own.is_some())
    }

    /// A target that was already tried, when no other is left.
    fn pick_tried(&mut self) -> Option<Destination> {
        if self.trail.arrivals == 0 {
            return None;
        }
        self.tried.clear();
        self.tried_own = false;
        self.pick()
    }

    /// The next target, if any.
    fn pick(&self) -> Option<Destination> {
        let node = self.node;
        let is_own = !self.tried_own && node.takes_calls();
        let current = node.target.current().filter(|known| known.service == self.service);
        let own_utilization = current.filter(|_| is_own).map(|known| {
            utilization_of(node.target.load(), 0, known.is_cold)
                + node.target.failing.cost(Instant::now())
        });
        let wanted = PickRequest { service: self.service, own_utilization, tried: &self.tried };
        let mut rng = node.rng.borrow_mut();
        node.directory.pick(&wanted, &mut *rng)
    }

    /// Counts `end` as an arrival if the request reached the target, and returns whether it may be
    /// sent again. Takes from the retry budget if so.
    fn may_repeat(&mut self, end: &CallEnd) -> bool {
        let has_arrived = end.has_arrived();
        self.trail.arrivals += u32::from(has_arrived);
        if self.request.deadline <= Instant::now() {
            return false;
        }
        let is_allowed = match end {
            CallEnd::NotRun(reason) => !matches!(reason, NotRun::Expired | NotRun::Quarantined),
            CallEnd::MayHaveRun(doubt) => {
                let may_crash = *doubt == Doubt::TargetBroke && self.may_crash_next_target();
                self.route.kind == RouteKind::Idempotent && !may_crash
            }
            // A failed inner call was repeated where it was made, if the budget allowed. Repeating
            // the whole request would cost many times as much.
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
        self.trail.arrivals < self.route.attempts_max
            && node.budgets.try_take(
                self.service,
                self.request.rank,
                nodes,
                &mut *node.rng.borrow_mut(),
            )
    }

    /// Sends the request to one target.
    async fn attempt(&mut self, destination: &Destination) -> CallEnd {
        match destination {
            Destination::Own => {
                self.tried_own = true;
                self.trail.offered.push(None);
                let call = self.call();
                receiver::serve(self.node, &call, self.request.deadline).await
            }
            Destination::Peer(peer) => {
                self.tried.push(peer.address);
                self.trail.offered.push(Some(peer.address));
                let Some(link) = peer.open_link() else { return CallEnd::NotRun(NotRun::Unsent) };
                let mut pending = match link.call(self.call()) {
                    Ok(pending) => pending,
                    Err(reason) => return CallEnd::NotRun(reason),
                };
                peer.in_flight.set(peer.in_flight.get() + 1);
                let _guard = InFlightGuard(&peer.in_flight);
                let end = timeout_at(self.request.deadline + ANSWER_GRACE, pending.end()).await;
                let end = end.unwrap_or(CallEnd::MayHaveRun(Doubt::Timeout));
                if suggests_unavailable(&end) {
                    peer.avoid();
                }
                peer.failing.note(end.counts_as_target_failure());
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
            is_repeat: self.request.is_repeat || self.trail.arrivals > 0,
            team: self.request.team.to_string(),
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
        }
    }
}

/// Counts a call as in flight until dropped.
struct InFlightGuard<'a>(&'a std::cell::Cell<u32>);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Whether an end suggests that the node or its target is unavailable.
fn suggests_unavailable(end: &CallEnd) -> bool {
    match end {
        CallEnd::Answered(_)
        | CallEnd::MayHaveRun(Doubt::Timeout | Doubt::TargetBroke | Doubt::Withdrawn) => false,
        CallEnd::MayHaveRun(Doubt::LinkLost) => true,
        CallEnd::NotRun(reason) => {
            !matches!(reason, NotRun::Declined | NotRun::Expired | NotRun::Quarantined)
        }
    }
}

/// When a caller may try again, in milliseconds.
fn retry_after_ms(reason: NotRun) -> u64 {
    match reason {
        NotRun::NoTarget | NotRun::Leaving | NotRun::Unreachable | NotRun::Unsent => {
            RETRY_AFTER_NO_TARGET_MS
        }
        NotRun::Shed
        | NotRun::Closing
        | NotRun::QueueFull
        | NotRun::Expired
        | NotRun::Declined
        | NotRun::NoKey
        | NotRun::OverQuota
        | NotRun::Orphaned
        | NotRun::Quarantined => RETRY_AFTER_BUSY_MS,
    }
}

/// Counts a request of a caller as in flight until dropped.
pub fn count(node: &Node) -> CountGuard<'_> {
    CountGuard::new(&node.in_flight, 1)
}
