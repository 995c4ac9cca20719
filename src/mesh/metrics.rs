//! Metrics of the call path, and their rendering for scrapers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

use super::follower::Role;
use super::node::Node;
use super::site::Site;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: &[f64] = &[0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];
/// Requests of callers and of the target, by root route and outcome.
const REQUESTS: &str = "aspenspring_mesh_requests_total";
/// Time from the request head to the answer, by root route.
const LATENCIES: &str = "aspenspring_mesh_request_seconds";
/// Calls that this node ran on its target or refused, by outcome.
const CALLS: &str = "aspenspring_mesh_calls_total";
/// Requests sent to the target, by whether they are retries or made by one.
const TARGET_REQUESTS: &str = "aspenspring_mesh_target_requests_total";
/// Calls sent to targets that were known to be slow.
const CALLS_TO_SLOW_TARGETS: &str = "aspenspring_mesh_calls_to_slow_targets_total";
/// Offers that a target rejected without running them, by whether the request was offered again.
const REJECTED_OFFERS: &str = "aspenspring_mesh_rejected_offers_total";
/// Requests whose caller disconnected before the answer, by when this was noticed.
const CALLERS_LEFT: &str = "aspenspring_mesh_callers_left_total";

/// The share of offers to a service that its targets accept.
const PASS_RATES: &str = "aspenspring_mesh_pass_rate";
/// The probability of admission by the probability that trees complete, by root route.
const COMPLETION_SHARES: &str = "aspenspring_mesh_completion_admitted_share";

/// Requests of callers by outcome and by the team whose key admitted them.
const TEAM_REQUESTS: &str = "aspenspring_mesh_team_requests_total";
/// How many teams have a series of their own. All others share one, which bounds the number of
/// series.
const TEAM_SERIES_MAX: usize = 20;
/// The label under which all other teams are counted.
const OTHER_TEAMS: &str = "(others)";

/// The metrics of one node. Handles are cached, so that an increment costs one look-up.
pub struct MeshMetrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    requests: RefCell<HashMap<(Rc<str>, &'static str), Counter>>,
    latencies: RefCell<HashMap<Rc<str>, Histogram>>,
    calls: RefCell<HashMap<&'static str, Counter>>,
    target_requests: RefCell<HashMap<bool, Counter>>,
    rejected_offers: RefCell<HashMap<bool, Counter>>,
    callers_left: RefCell<HashMap<&'static str, Counter>>,
    /// The pass rates of services that had one at the last scrape.
    pass_rates: RefCell<HashMap<String, Gauge>>,
    /// Requests per team and outcome since the last scrape.
    team_requests: RefCell<HashMap<Rc<str>, HashMap<&'static str, u64>>>,
}

impl MeshMetrics {
    /// Creates an empty recorder.
    pub fn new() -> Self {
        // `set_buckets` fails only for an empty list of buckets; the fallback keeps plain
        // summaries.
        let builder = PrometheusBuilder::new().set_buckets(LATENCY_BUCKETS_S);
        let recorder = builder.unwrap_or_else(|_| PrometheusBuilder::new()).build_recorder();
        let handle = recorder.handle();
        Self {
            recorder,
            handle,
            requests: RefCell::default(),
            latencies: RefCell::default(),
            calls: RefCell::default(),
            target_requests: RefCell::default(),
            rejected_offers: RefCell::default(),
            callers_left: RefCell::default(),
            pass_rates: RefCell::default(),
            team_requests: RefCell::default(),
        }
    }

    /// Counts a request by outcome, and records its latency in seconds.
    pub fn record_request(&self, root: &Rc<str>, end: &'static str, took_s: f64) {
        let mut requests = self.requests.borrow_mut();
        let counter = requests.entry((Rc::clone(root), end)).or_insert_with(|| {
            let root = root.to_string();
            with_local_recorder(&self.recorder, || counter!(REQUESTS, "root" => root, "end" => end))
        });
        counter.increment(1);
        let mut latencies = self.latencies.borrow_mut();
        let histogram = latencies.entry(Rc::clone(root)).or_insert_with(|| {
            let root = root.to_string();
            with_local_recorder(&self.recorder, || histogram!(LATENCIES, "root" => root))
        });
        histogram.record(took_s);
    }

    /// Counts a call for the target by outcome.
    pub fn record_call(&self, end: &'static str) {
        let mut calls = self.calls.borrow_mut();
        let counter = calls.entry(end).or_insert_with(|| {
            with_local_recorder(&self.recorder, || counter!(CALLS, "end" => end))
        });
        counter.increment(1);
    }

    /// Counts a request that is sent to the target.
    pub fn record_target_request(&self, is_repeat: bool) {
        let mut counters = self.target_requests.borrow_mut();
        let counter = counters.entry(is_repeat).or_insert_with(|| {
            let repeat = is_repeat.to_string();
            with_local_recorder(&self.recorder, || counter!(TARGET_REQUESTS, "repeat" => repeat))
        });
        counter.increment(1);
    }

    /// Counts a call that is sent to a target that is known to be slow.
    pub fn record_call_to_slow_target(&self) {
        let counter = with_local_recorder(&self.recorder, || counter!(CALLS_TO_SLOW_TARGETS));
        counter.increment(1);
    }

    /// Counts an offer that a target rejected.
    pub fn record_rejected_offer(&self, is_repeated: bool) {
        let mut counters = self.rejected_offers.borrow_mut();
        let counter = counters.entry(is_repeated).or_insert_with(|| {
            let repeated = is_repeated.to_string();
            with_local_recorder(
                &self.recorder,
                || counter!(REJECTED_OFFERS, "repeated" => repeated),
            )
        });
        counter.increment(1);
    }

    /// Counts a request whose caller has disconnected.
    pub fn record_caller_left(&self, noticed: &'static str) {
        let mut counters = self.callers_left.borrow_mut();
        let counter = counters.entry(noticed).or_insert_with(|| {
            with_local_recorder(&self.recorder, || counter!(CALLERS_LEFT, "noticed" => noticed))
        });
        counter.increment(1);
    }

    /// Counts a request of a team by outcome. A request without a team is not counted.
    pub fn record_team_request(&self, team: &Rc<str>, end: &'static str) {
        if team.is_empty() {
            return;
        }
        let mut teams = self.team_requests.borrow_mut();
        if let Some(ends) = teams.get_mut(team) {
            *ends.entry(end).or_default() += 1;
            return;
        }
        teams.insert(Rc::clone(team), HashMap::from([(end, 1)]));
    }

    /// Moves the counts per team into counters. The teams with the largest quotas have one series
    /// each, all others share one.
    fn publish_teams(&self, site: &Site) {
        let labelled = site.teams.largest(TEAM_SERIES_MAX);
        for (team, ends) in self.team_requests.borrow_mut().drain() {
            let label =
                if labelled.contains(&team) { team.to_string() } else { OTHER_TEAMS.to_owned() };
            for (end, count) in ends {
                let label = label.clone();
                let counter = with_local_recorder(
                    &self.recorder,
                    || counter!(TEAM_REQUESTS, "team" => label, "end" => end),
                );
                counter.increment(count);
            }
        }
    }

    /// Publishes the pass rates of services, and the probabilities of admission that result. There
    /// are no such series unless `overload.completion` is on.
    fn publish_completion(&self, node: &Node, site: &Site) {
        let current = node.completion.pass_rates();
        let mut gauges = self.pass_rates.borrow_mut();
        if current.is_empty() && gauges.is_empty() {
            return;
        }
        for (service, pass) in &current {
            let gauge = gauges.entry(service.clone()).or_insert_with(|| {
                let name = service.clone();
                with_local_recorder(&self.recorder, || gauge!(PASS_RATES, "service" => name))
            });
            gauge.set(pass.share);
        }
        gauges.retain(|service, gauge| {
            let is_current = current.iter().any(|(name, _)| name == service);
            if !is_current {
                gauge.set(1.0);
            }
            is_current
        });
        for route in site.routes() {
            let name = route.name.to_string();
            let admitted =
                with_local_recorder(&self.recorder, || gauge!(COMPLETION_SHARES, "root" => name));
            admitted.set(node.completion.admission_probability(&route.name));
        }
    }

    /// Renders the metrics for a scraper, with the current state of the node.
    pub fn render(&self, node: &Node) -> String {
        let load = node.target.load();
        let returns = node.returns.totals();
        for (name, value) in [
            ("aspenspring_mesh_running", f64::from(load.running)),
            ("aspenspring_mesh_waiting", f64::from(load.waiting)),
            ("aspenspring_mesh_limit", f64::from(load.limit)),
            ("aspenspring_mesh_target_limit_per_second", limit_per_s(node)),
            ("aspenspring_mesh_wait_milliseconds", f64::from(node.target.gate.wait_ms())),
            ("aspenspring_mesh_in_flight", node.in_flight.get() as f64),
            ("aspenspring_mesh_held_bytes", node.memory.held_bytes() as f64),
            ("aspenspring_mesh_site_version", node.site_version() as f64),
            ("aspenspring_mesh_store_silent_seconds", node.store_watch.silence().as_secs_f64()),
            ("aspenspring_mesh_follows_store", follows_store(node)),
            ("aspenspring_mesh_peers_linked", node.directory.linked() as f64),
            ("aspenspring_mesh_target_crashes", node.quarantine.crashes_seen() as f64),
            ("aspenspring_mesh_requests_suspected", node.quarantine.counts().0 as f64),
            ("aspenspring_mesh_requests_held", node.quarantine.counts().1 as f64),
            ("aspenspring_mesh_teams_above_share", node.shares.teams_above() as f64),
            ("aspenspring_mesh_promises_made", returns.promised as f64),
            ("aspenspring_mesh_promises_taken", returns.taken as f64),
            ("aspenspring_mesh_promises_voided", returns.voided as f64),
            ("aspenspring_mesh_refusals_without_promise", returns.unpromised as f64),
            ("aspenspring_mesh_refused_again", returns.refused_again as f64),
            ("aspenspring_mesh_log_left_out", node.log.suppressed_total() as f64),
        ] {
            self.gauge(name).set(value);
        }
        if let Some(site) = node.site() {
            self.publish_teams(&site);
            self.publish_completion(node, &site);
            for route in site.routes() {
                let name = route.name.to_string();
                let admitted = with_local_recorder(
                    &self.recorder,
                    || gauge!("aspenspring_mesh_admitted_share", "root" => name),
                );
                admitted.set(node.overload.admission_probability(&route));
            }
        }
        self.handle.run_upkeep();
        self.handle.render()
    }

    fn gauge(&self, name: &'static str) -> Gauge {
        with_local_recorder(&self.recorder, || gauge!(name))
    }
}

/// The limit that the target names, in requests per second; infinite if it names none.
fn limit_per_s(node: &Node) -> f64 {
    node.target.limit().and_then(|limit| limit.per_s).unwrap_or(f64::INFINITY)
}

/// 1 for a node that follows the store, 0 for one that receives changes from its peers.
fn follows_store(node: &Node) -> f64 {
    match node.store_watch.role() {
        Role::Follower | Role::Substitute => 1.0,
        Role::Informed => 0.0,
    }
}

impl Default for MeshMetrics {
    fn default() -> Self {
        Self::new()
    }
}
