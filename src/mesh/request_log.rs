//! The log entry and the metrics of a request, written when it has its final answer.
//!
//! On a small VM a log line costs more than the request itself. Requests that failed, were slow or
//! were retried are always logged, others only as a sample.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;
use tokio::time::Instant;

use crate::event::LogEvent;

use super::fingerprint::Fingerprint;
use super::frame::{NotRun, ServiceCalls};
use super::linger::PeerWatch;
use super::node::Node;
use super::placing::Choice;
use super::sender::Outcome;
use super::site::Route;
use super::teams::admission::QuotaState;

/// The attempts of a request and the decisions about it, for the log and the metrics.
#[derive(Clone, Debug, Default)]
pub struct RequestSummary {
    /// The service that was chosen; empty if none was.
    pub service: String,
    /// The nodes it was offered to, in order; `None` is this node.
    pub offered: Vec<Option<SocketAddr>>,
    /// How often it reached a target.
    pub arrivals: u32,
    /// How many targets rejected it without running it.
    pub rejected: u32,
    /// The fingerprint of the request, if it was refused because of a quarantine.
    pub quarantined: Option<Fingerprint>,
    /// Team whose API key admitted the root request; empty if no key was used.
    pub team: Rc<str>,
    /// State of the team's quota, if the request exceeded it.
    pub quota: Option<QuotaState>,
    /// Describes the share of the team, if the request was refused because of it.
    pub share: String,
    /// Describes the limit of the last target, if the request was refused because of it.
    pub target_limit: String,
    /// The calls of the tree by service, including the request itself; only for services whose
    /// targets have conditions.
    pub calls: Vec<ServiceCalls>,
    /// What was known of the last target, if it sends the extended load report.
    pub choice: Option<Choice>,
}

/// A request that has its final answer.
pub struct EndedRequest<'a> {
    /// The id of the caller's attempt.
    pub attempt_id: &'a str,
    /// The route of the request.
    pub route: &'a Route,
    /// The root route: that of the caller's request at the root of the call tree.
    pub root: &'a Rc<str>,
    /// When its head had been read.
    pub arrived: Instant,
    /// The status that the caller received.
    pub status: u16,
}

/// Counts a request that has its final answer, and logs it if it did not go well or is part of the
/// sample.
pub fn record_end(
    node: &Node,
    ended: &EndedRequest<'_>,
    outcome: &Outcome,
    summary: &RequestSummary,
) {
    let latency = ended.arrived.elapsed();
    let (verdict, reason) = outcome.names();
    node.metrics.record_request(ended.root, reason, latency.as_secs_f64());
    node.metrics.record_team_request(&summary.team, reason);
    let took_ms = latency.as_millis() as u64;
    let went_well = verdict == "answered"
        && ended.status < 500
        && summary.arrivals <= 1
        && took_ms <= ended.route.objective_ms;
    let one_in = node.settings.log.sampled_one_in.max(1);
    if went_well && node.rng.borrow_mut().random_range(0..one_in) > 0 {
        return;
    }
    let mut offered = Vec::new();
    for peer in &summary.offered {
        offered.push(peer.map_or_else(|| "own".to_owned(), |address| address.to_string()));
    }
    let (probability, limited_by) = if reason == NotRun::Unlikely.name() {
        let restriction = node.completion.restriction(&ended.route.name);
        (node.completion.admission_probability(&ended.route.name), restriction.service)
    } else {
        let limited_by = node.overload.limited_by(ended.route).unwrap_or_default();
        (node.overload.admission_probability(ended.route), limited_by)
    };
    node.log.emit(&LogEvent::RequestEnded {
        attempt: ended.attempt_id.to_owned(),
        root: ended.root.to_string(),
        service: summary.service.clone(),
        verdict,
        reason,
        status: u32::from(ended.status),
        offered: offered.join(" "),
        arrivals: summary.arrivals,
        rejected: summary.rejected,
        heard_ms: silent_ms(node, summary),
        admitted_percent: (probability * 100.0) as u32,
        limited_by,
        repeats_percent: (repeats_left(node, summary) * 100.0) as u32,
        config_version: node.site_version(),
        team: summary.team.to_string(),
        quota: summary.quota.as_ref().map(QuotaState::to_string).unwrap_or_default(),
        share: summary.share.clone(),
        fingerprint: summary
            .quarantined
            .map(|fingerprint| fingerprint.to_string())
            .unwrap_or_default(),
        target_limit: summary.target_limit.clone(),
        target_condition: summary.choice.map(|choice| choice.to_string()).unwrap_or_default(),
        took_ms,
    });
}

/// Retries that the node could still send to the service of a request.
fn repeats_left(node: &Node, summary: &RequestSummary) -> f64 {
    if node.completion_is_on() {
        return node.budgets.remaining_lagged(&summary.service);
    }
    node.budgets.remaining(&summary.service)
}

/// Time since the last bytes from the node that the request was last offered to, in milliseconds; 0
/// if that is this node or its link is closed.
fn silent_ms(node: &Node, summary: &RequestSummary) -> u64 {
    let Some(Some(address)) = summary.offered.last() else { return 0 };
    let link = node.directory.get(*address).and_then(|peer| peer.open_link());
    link.map_or(0, |link| link.last_received().elapsed().as_millis() as u64)
}

/// A request that is being answered. When dropped, records whether its caller has disconnected.
pub struct AnswerGuard<'a> {
    node: &'a Node,
    caller: &'a PeerWatch,
    attempt_id: &'a str,
    root: Rc<str>,
    arrived: Instant,
    had_left: bool,
    is_answered: bool,
}

impl<'a> AnswerGuard<'a> {
    /// Starts tracking a request of `caller` whose head has just been read.
    pub fn new(
        node: &'a Node,
        caller: &'a PeerWatch,
        attempt_id: &'a str,
        root: &Rc<str>,
        arrived: Instant,
    ) -> Self {
        let had_left = caller.has_closed();
        let root = Rc::clone(root);
        Self { node, caller, attempt_id, root, arrived, had_left, is_answered: false }
    }

    /// Records that the request has its final answer.
    pub fn finish(mut self) {
        self.is_answered = true;
    }
}

impl Drop for AnswerGuard<'_> {
    fn drop(&mut self) {
        if !self.caller.has_closed() {
            return;
        }
        let noticed = match (self.had_left, self.is_answered) {
            (true, _) => "reading",
            (false, false) => "waiting",
            (false, true) => "answered",
        };
        self.node.metrics.record_caller_left(noticed);
        self.node.log.emit(&LogEvent::CallerLeft {
            attempt: self.attempt_id.to_owned(),
            root: self.root.to_string(),
            noticed,
            answered: self.is_answered,
            took_ms: self.arrived.elapsed().as_millis() as u64,
        });
    }
}
