//! The nodes, the targets and the store of one seed, and the injection of faults.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::faults::FaultKind;
use super::findings::Findings;
use super::intervals::Intervals;
use super::signals::{Signal, TargetState};
use super::targets::{
    RunRecord, Runs, STEADY_KEY, document, heartbeat_text, send_heartbeats, serve,
};
use crate::node::{self, NodeSpec, Process};
use crate::store::Store;
use crate::target::CRASH_PATH;

/// The failure domains and services of the nodes.
const NODES: [(&str, &str); 6] = [
    ("a", "stock"),
    ("a", "orders"),
    ("a", "stock"),
    ("b", "orders"),
    ("b", "stock"),
    ("b", "orders"),
];
/// The time without faults of a node and the store from which the node has to meet all bounds.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The longest time for a configuration to come into force.
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// The longest time from SIGTERM until the process ends.
const STOP_GRACE: Duration = Duration::from_secs(6);
/// Requests that arrive within this time after SIGTERM are still answered.
const STOP_ACCEPTS_FOR: Duration = Duration::from_secs(3);
/// The pause before an ended node is restarted.
const DOWNTIME: Duration = Duration::from_millis(500);
/// The timeout of a probe or a heartbeat.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// The interval between requests that crash their target.
const CRASH_INTERVAL: Duration = Duration::from_millis(250);
/// The polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// A node with its target.
pub struct Member {
    pub ip: Ipv4Addr,
    /// The name of the node, with which its target signs.
    pub name: String,
    pub target: Arc<TargetState>,
    process: Mutex<Process>,
    /// The number of restarts of the process.
    incarnation: AtomicU64,
    /// Whether the process was killed or paused since its last start.
    was_disrupted: AtomicBool,
    /// When SIGTERM was sent to the process, if so since its last start.
    stop_requested_at: Mutex<Option<Instant>>,
    /// Kills and pauses, each until the process runs again.
    disruptions: Intervals,
    /// Planned stops, each until the process runs again.
    planned_stops: Intervals,
}

impl Member {
    /// Whether the node gave no reason for a lost connection during a request: it was neither killed nor paused, and
    /// the request was not sent long after SIGTERM.
    pub fn is_undisturbed(&self, sent_at: Instant, ended_at: Instant) -> bool {
        let stopped_at = *self.stop_requested_at.lock().unwrap();
        let is_late = stopped_at.is_some_and(|stopped_at| sent_at > stopped_at + STOP_ACCEPTS_FOR);
        !is_late && !self.disruptions.any_overlaps(sent_at, ended_at)
    }

    /// Whether the node was restarted or paused in the given time.
    pub fn was_restarted_or_paused(&self, from: Instant, until: Instant) -> bool {
        self.disruptions.any_overlaps(from, until) || self.planned_stops.any_overlaps(from, until)
    }

    /// Whether the node had no faults or stops from [`SETTLE_TIME`] before `sent_at` until `ended_at`.
    pub fn is_settled(&self, sent_at: Instant, ended_at: Instant) -> bool {
        let from = sent_at - SETTLE_TIME;
        !self.disruptions.any_overlaps(from, ended_at)
            && !self.planned_stops.any_overlaps(from, ended_at)
    }

    fn signal(&self, signal: libc::c_int) {
        self.process.lock().unwrap().signal(signal);
    }

    /// The number of processes of the node that have logged their start.
    fn starts(&self) -> usize {
        self.process.lock().unwrap().log().matches("\"name\":\"MeshStarted\"").count()
    }

    fn send_request(&self, port: u16, text: &str) -> Option<String> {
        node::send_request(SocketAddr::from((self.ip, port)), text, PROBE_TIMEOUT)
    }

    fn get(&self, port: u16, path: &str, attempt: &str) -> Option<String> {
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: {attempt}\r\n\
             X-Api-Key: {STEADY_KEY}\r\nConnection: close\r\n\r\n"
        );
        self.send_request(port, &text)
    }

    fn version(&self) -> Option<u64> {
        node::version_in(&self.get(7005, "/metrics", "p")?).parse().ok()
    }
}

/// All parts of one seed.
pub struct Site {
    pub members: Vec<Member>,
    store: Store,
    /// The times in which the store does not answer, or has just dropped its history.
    store_faults: Intervals,
    /// The versions that the store has acknowledged, with the times.
    acknowledged: Mutex<Vec<(u64, Instant)>>,
    runs: Runs,
    is_stopped: Arc<AtomicBool>,
}

impl Site {
    /// Starts everything and waits until requests are served.
    pub fn start(seed: u64) -> Self {
        let store = Store::start();
        store.put("op", "config", &document(1));
        let (runs, is_stopped) = (Arc::default(), Arc::default());
        let mut members = Vec::new();
        for (index, (failure_domain, service)) in NODES.into_iter().enumerate() {
            let name = format!("soak-{seed}-{index}");
            let spec = NodeSpec { name: &name, failure_domain, service };
            let mut process = Process::prepare(&store, &spec);
            let target: Arc<TargetState> = Arc::default();
            serve(process.target_address(), &name, Arc::clone(&target), Arc::clone(&runs));
            let (state, until) = (Arc::clone(&target), Arc::clone(&is_stopped));
            send_heartbeats(process.ip, service, name.clone(), state, until);
            process.start();
            members.push(Member {
                ip: process.ip,
                name,
                target,
                process: Mutex::new(process),
                incarnation: AtomicU64::default(),
                was_disrupted: AtomicBool::default(),
                stop_requested_at: Mutex::default(),
                disruptions: Intervals::default(),
                planned_stops: Intervals::default(),
            });
        }
        let acknowledged = Mutex::new(vec![(1, Instant::now())]);
        let store_faults = Intervals::default();
        let site = Self { members, store, store_faults, acknowledged, runs, is_stopped };
        assert!(
            site.wait_until_served(Duration::from_secs(30)).is_some(),
            "the site was not served after its start"
        );
        site
    }

    /// Ends the run.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Whether the run has ended.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// The runs on targets by attempt, without probes and crash requests.
    pub fn runs(&self) -> HashMap<String, RunRecord> {
        let mut runs = self.runs.lock().unwrap().clone();
        runs.retain(|attempt, _| !attempt.starts_with("probe") && attempt != CRASH_PATH);
        runs
    }

    /// Waits until every node serves both routes. Returns how long it took; none after the timeout.
    pub fn wait_until_served(&self, timeout: Duration) -> Option<Duration> {
        let started_at = Instant::now();
        loop {
            let mut is_served = true;
            for member in &self.members {
                for route in ["look", "book"] {
                    let answer = member.get(node::CALLERS_PORT, &format!("/{route}/x"), "probe");
                    is_served &= answer.is_some_and(|answer| answer.contains(" 200 "));
                }
            }
            if is_served {
                return Some(started_at.elapsed());
            }
            if started_at.elapsed() > timeout {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Restarts nodes that have ended, as the platform does.
    ///
    /// A process that gets SIGTERM before it has logged its start is ended by the signal; it does not listen yet, so
    /// no connection is lost. After that, it has to exit by itself with success.
    pub fn supervise(&self, findings: &Findings) {
        let mut starts = vec![0; self.members.len()];
        while !self.is_stopped() {
            for (index, member) in self.members.iter().enumerate() {
                let Some(status) = member.process.lock().unwrap().try_wait() else { continue };
                let was_disrupted = member.was_disrupted.load(Ordering::Relaxed);
                let previous_starts = starts[index];
                starts[index] = member.starts();
                if !was_disrupted && !status.success() && starts[index] > previous_starts {
                    findings.add(format!("node {index} ended with {status}"));
                }
                thread::sleep(DOWNTIME);
                member.was_disrupted.store(false, Ordering::Relaxed);
                *member.stop_requested_at.lock().unwrap() = None;
                member.incarnation.fetch_add(1, Ordering::Relaxed);
                member.process.lock().unwrap().start();
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Repeatedly checks the version of the configuration on all nodes.
    pub fn probe(&self, findings: &Findings) {
        let mut seen = vec![(0, 0); self.members.len()];
        while !self.is_stopped() {
            for (index, member) in self.members.iter().enumerate() {
                let (sent_at, incarnation) =
                    (Instant::now(), member.incarnation.load(Ordering::Relaxed));
                let Some(version) = member.version() else { continue };
                let ended_at = Instant::now();
                if incarnation != member.incarnation.load(Ordering::Relaxed) {
                    continue;
                }
                let (seen_incarnation, seen_version) = seen[index];
                if seen_incarnation == incarnation && version < seen_version {
                    findings.add(format!(
                        "node {index} went back from version {seen_version} to {version}"
                    ));
                }
                seen[index] = (incarnation, version);
                let required = self.required_version(member, sent_at, ended_at).unwrap_or(0);
                if version < required {
                    findings
                        .add(format!("node {index} has version {version}, required is {required}"));
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// The version acknowledged last.
    pub fn newest_version(&self) -> u64 {
        self.acknowledged.lock().unwrap().last().map_or(0, |(version, _)| *version)
    }

    /// The least version that must be in force on a node for a request in the given time; none if the store or the
    /// node had faults shortly before or during that time.
    pub fn required_version(
        &self,
        member: &Member,
        sent_at: Instant,
        ended_at: Instant,
    ) -> Option<u64> {
        let is_store_settled = !self.store_faults.any_overlaps(sent_at - SETTLE_TIME, ended_at);
        (is_store_settled && member.is_settled(sent_at, ended_at))
            .then(|| self.required_at(sent_at))
    }

    /// The least version that must be in force at `now` without faults.
    fn required_at(&self, now: Instant) -> u64 {
        let acknowledged = self.acknowledged.lock().unwrap();
        let is_required = |(_, at): &&(u64, Instant)| *at + CONFIG_APPLY <= now;
        acknowledged.iter().filter(is_required).map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// Injects a fault and returns after its end.
    pub fn inject(&self, kind: FaultKind) {
        match kind {
            FaultKind::Stop { member } => self.stop_node(&self.members[member]),
            FaultKind::Kill { member } => self.disrupt(&self.members[member], || {}, libc::SIGKILL),
            FaultKind::Pause { member, for_ms } => {
                let member = &self.members[member];
                let pause = || {
                    member.signal(libc::SIGSTOP);
                    thread::sleep(Duration::from_millis(for_ms));
                };
                self.disrupt(member, pause, libc::SIGCONT);
            }
            FaultKind::Reload { member } => self.members[member].signal(libc::SIGHUP),
            FaultKind::StoreUnavailable { for_ms } => {
                self.inject_store_fault(for_ms, Store::set_unavailable)
            }
            FaultKind::StoreUnresponsive { for_ms } => {
                self.inject_store_fault(for_ms, Store::set_unresponsive)
            }
            FaultKind::StoreDropsHistory => {
                let index = self.store_faults.begin();
                self.store.drop_history();
                self.store_faults.end(index);
            }
            FaultKind::PublishConfigurations { count, gap_ms } => {
                for _ in 0..count {
                    self.publish_configuration();
                    thread::sleep(Duration::from_millis(gap_ms));
                }
            }
            FaultKind::NameLimit { member, per_s, for_ms } => {
                self.state_for(member, Signal::Limit(per_s), for_ms)
            }
            FaultKind::Leave { member, for_ms } => self.state_for(member, Signal::Leaving, for_ms),
            FaultKind::Depart { member, kills_all, late_ms, for_ms } => {
                self.depart(member, kills_all, late_ms, for_ms);
            }
            FaultKind::KillAll => self.kill_all(),
            FaultKind::StopAll { gap_ms } => thread::scope(|scope| {
                for member in &self.members {
                    scope.spawn(|| self.stop_node(member));
                    thread::sleep(Duration::from_millis(gap_ms));
                }
            }),
            FaultKind::Repeat { member, percent, for_ms } => {
                let target = &self.members[member].target;
                target.set_repeated(percent);
                thread::sleep(Duration::from_millis(for_ms));
                target.set_repeated(0);
            }
            FaultKind::BreakAnswers { member, percent, for_ms } => {
                let target = &self.members[member].target;
                target.set_broken(percent);
                thread::sleep(Duration::from_millis(for_ms));
                target.set_broken(0);
            }
            FaultKind::Reject { service, percent, for_ms } => {
                let set_rejected = |percent| {
                    for (member, (_, other)) in self.members.iter().zip(NODES) {
                        if other == service {
                            member.target.set_rejected(percent);
                        }
                    }
                };
                set_rejected(percent);
                thread::sleep(Duration::from_millis(for_ms));
                set_rejected(0);
            }
            FaultKind::SlowDown { member, percent, for_ms } => {
                let target = &self.members[member].target;
                target.set_slowness(percent);
                thread::sleep(Duration::from_millis(for_ms));
                target.set_slowness(100);
            }
            FaultKind::Crash { member, count } => {
                self.crash(member, count);
            }
        }
    }

    /// Sends the request that crashes its target to one node after the other. Returns the number of targets that ran it.
    pub fn crash(&self, first: usize, count: usize) -> u32 {
        let before = self.crashes();
        for number in 0..count {
            let member = &self.members[(first + number) % self.members.len()];
            // The answer does not matter.
            drop(member.get(node::CALLERS_PORT, &format!("/look/{CRASH_PATH}"), CRASH_PATH));
            thread::sleep(CRASH_INTERVAL);
        }
        self.crashes() - before
    }

    /// How often targets have run the request that crashes them.
    fn crashes(&self) -> u32 {
        self.runs.lock().unwrap().get(CRASH_PATH).map_or(0, |ran| ran.count)
    }

    /// Publishes the next configuration.
    pub fn publish_configuration(&self) {
        let mut acknowledged = self.acknowledged.lock().unwrap();
        let version = acknowledged.last().map_or(1, |(version, _)| version + 3);
        self.store.put("op", "config", &document(version));
        acknowledged.push((version, Instant::now()));
    }

    fn inject_store_fault(&self, for_ms: u64, set: fn(&Store, bool)) {
        let index = self.store_faults.begin();
        set(&self.store, true);
        thread::sleep(Duration::from_millis(for_ms));
        set(&self.store, false);
        self.store_faults.end(index);
    }

    /// Lets the target of a node state something in its answers for a time.
    fn state_for(&self, member: usize, signal: Signal, for_ms: u64) {
        let target = &self.members[member].target;
        if target.begin(signal) {
            thread::sleep(Duration::from_millis(for_ms));
            target.end();
        }
    }

    /// Lets the target of a node deregister and serve on. Afterwards its next incarnation takes over.
    fn depart(&self, index: usize, kills_all: bool, late_ms: u64, for_ms: u64) {
        let (member, (_, service)) = (&self.members[index], NODES[index]);
        let id = format!("{}-{}", member.name, member.target.incarnation());
        if !member.target.begin(Signal::Departed) {
            return;
        }
        let began_at = Instant::now();
        let until = began_at + Duration::from_millis(for_ms);
        let late_at = began_at + Duration::from_millis(late_ms);
        let text = node::target_report("Deregister", &id, r#"{"born":5000}"#);
        while Instant::now() < until {
            let answer = member.send_request(node::HEARTBEATS_PORT, &text);
            if answer.is_some_and(|answer| answer.contains(" 200 ")) {
                member.target.acknowledge();
                if kills_all {
                    self.kill_all();
                }
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        thread::sleep(late_at.saturating_duration_since(Instant::now()));
        // The node may be down, as for any other heartbeat.
        drop(member.send_request(node::HEARTBEATS_PORT, &heartbeat_text(service, &id, u64::MAX)));
        thread::sleep(until.saturating_duration_since(Instant::now()));
        member.target.end();
    }

    /// Kills all nodes at the same moment.
    fn kill_all(&self) {
        thread::scope(|scope| {
            for member in &self.members {
                scope.spawn(|| self.disrupt(member, || {}, libc::SIGKILL));
            }
        });
    }

    /// Whether the node `name` and the store had no faults from [`SETTLE_TIME`] before `now` on.
    pub fn is_in_touch(&self, name: &str, now: Instant) -> bool {
        let member = self.members.iter().find(|member| member.name == name);
        let is_settled = member.is_some_and(|member| member.is_settled(now, now));
        is_settled && !self.store_faults.any_overlaps(now - SETTLE_TIME, now)
    }

    /// Disrupts a node: calls `action`, then sends `signal`. The disruption lasts until the node runs again.
    fn disrupt(&self, member: &Member, action: impl FnOnce(), signal: libc::c_int) {
        let (index, incarnation) =
            (member.disruptions.begin(), member.incarnation.load(Ordering::Relaxed));
        member.was_disrupted.store(true, Ordering::Relaxed);
        action();
        member.signal(signal);
        if signal == libc::SIGKILL {
            self.wait_for_restart(member, incarnation);
        }
        member.disruptions.end(index);
    }

    /// Stops a node with SIGTERM, and kills it if it has not ended within the grace period.
    fn stop_node(&self, member: &Member) {
        let (index, incarnation) =
            (member.planned_stops.begin(), member.incarnation.load(Ordering::Relaxed));
        member.stop_requested_at.lock().unwrap().get_or_insert_with(Instant::now);
        member.signal(libc::SIGTERM);
        let until = Instant::now() + STOP_GRACE;
        while member.incarnation.load(Ordering::Relaxed) == incarnation && Instant::now() < until {
            thread::sleep(POLL_INTERVAL);
        }
        if member.incarnation.load(Ordering::Relaxed) == incarnation {
            self.disrupt(member, || {}, libc::SIGKILL);
        }
        member.planned_stops.end(index);
    }

    fn wait_for_restart(&self, member: &Member, incarnation: u64) {
        while member.incarnation.load(Ordering::Relaxed) == incarnation && !self.is_stopped() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Keeps the logs of the nodes.
    pub fn keep_logs(&self) {
        for member in &self.members {
            member.process.lock().unwrap().keep_folder();
        }
    }
}
