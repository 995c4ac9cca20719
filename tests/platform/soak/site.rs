//! The nodes, targets and the store of a play, and what happens to them.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::faults::Kind;
use super::findings::Findings;
use super::spans::Spans;
use super::targets::{Ran, Runs, STEADY_KEY, beat, document, serve};
use crate::node::{self, Place, Process};
use crate::store::Store;
use crate::target::CRASHES;

/// The nodes: their failure domains and services.
const PLACES: [(&str, &str); 6] = [
    ("a", "stock"),
    ("a", "orders"),
    ("a", "stock"),
    ("b", "orders"),
    ("b", "stock"),
    ("b", "orders"),
];
/// After being left alone for this long, together with the store, a node has to keep to all bounds.
pub const CONTACT: Duration = Duration::from_secs(3);
/// How long a configuration may take to come into force.
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// A node that was told to stop may still run for this long.
const GRACE: Duration = Duration::from_secs(6);
/// Requests that come within this time after a node was told to stop are finished.
const STOP_FINISHES: Duration = Duration::from_secs(3);
/// How long an ended node stays down.
const DOWN: Duration = Duration::from_millis(500);
/// How long a probe or a heartbeat may take.
pub const PROBE_PATIENCE: Duration = Duration::from_millis(800);
/// The pause between two attempts at the request that ends targets.
const CRASH_EVERY: Duration = Duration::from_millis(250);
/// The pause between two looks at anything.
const LOOK_EVERY: Duration = Duration::from_millis(60);
/// A node with its target.
pub struct Member {
    pub ip: Ipv4Addr,
    process: Mutex<Process>,
    /// Which start of the process this is.
    life: AtomicU64,
    /// Whether the process was killed or stood still since its last start.
    is_harmed: AtomicBool,
    /// When the process was told to stop, since its last start.
    told_to_stop: Mutex<Option<Instant>>,
    /// Kills and standstills, until it runs again.
    harm: Spans,
    /// Planned stops, until it runs again.
    stops: Spans,
}

impl Member {
    /// Whether nothing happened to the node that excuses a cut: it was neither killed nor stood still, and a
    /// request that came long after it had been told to stop is not counted.
    pub fn is_undisturbed(&self, asked: Instant, ended: Instant) -> bool {
        let told = *self.told_to_stop.lock().unwrap();
        let is_late = told.is_some_and(|told| asked > told + STOP_FINISHES);
        !is_late && !self.harm.touch(asked, ended)
    }

    /// Whether the node was left alone from long enough before `asked` until `ended`.
    pub fn is_in_touch(&self, asked: Instant, ended: Instant) -> bool {
        let from = asked - CONTACT;
        !self.harm.touch(from, ended) && !self.stops.touch(from, ended)
    }

    fn signal(&self, signal: libc::c_int) {
        self.process.lock().unwrap().signal(signal);
    }

    /// How many processes of the node have said that they start.
    fn starts(&self) -> usize {
        self.process.lock().unwrap().log().matches("\"name\":\"MeshStarted\"").count()
    }

    fn ask(&self, port: u16, text: &str) -> Option<String> {
        node::ask(SocketAddr::from((self.ip, port)), text, PROBE_PATIENCE)
    }

    fn get(&self, port: u16, path: &str, attempt: &str) -> Option<String> {
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: {attempt}\r\n\
             X-Api-Key: {STEADY_KEY}\r\nConnection: close\r\n\r\n"
        );
        self.ask(port, &text)
    }

    fn version(&self) -> Option<u64> {
        node::version_in(&self.get(7005, "/metrics", "p")?).parse().ok()
    }
}

/// Everything of one play.
pub struct Site {
    pub members: Vec<Member>,
    store: Store,
    /// Whether the store is away or silent, or has just forgotten something.
    store_trouble: Spans,
    /// The versions that the store has acknowledged, and when.
    acknowledged: Mutex<Vec<(u64, Instant)>>,
    runs: Runs,
    is_stopped: Arc<AtomicBool>,
}

impl Site {
    /// Starts all of it, and waits until it is served.
    pub fn start(seed: u64) -> Self {
        let store = Store::start();
        store.put("op", "config", &document(1));
        let (runs, is_stopped) = (Arc::default(), Arc::default());
        let mut members = Vec::new();
        for (index, (failure_domain, service)) in PLACES.into_iter().enumerate() {
            let name = format!("soak-{seed}-{index}");
            let place = Place { name: &name, failure_domain, service };
            let mut process = Process::prepare(&store, &place);
            serve(process.target_address(), &name, Arc::clone(&runs));
            beat(process.ip, service, name.clone(), Arc::clone(&is_stopped));
            process.start();
            members.push(Member {
                ip: process.ip,
                process: Mutex::new(process),
                life: AtomicU64::default(),
                is_harmed: AtomicBool::default(),
                told_to_stop: Mutex::default(),
                harm: Spans::default(),
                stops: Spans::default(),
            });
        }
        let acknowledged = Mutex::new(vec![(1, Instant::now())]);
        let store_trouble = Spans::default();
        let site = Self { members, store, store_trouble, acknowledged, runs, is_stopped };
        assert!(site.wait_until_served(Duration::from_secs(30)).is_some(), "it never was served");
        site
    }

    /// Ends the play.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Whether the play has ended.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// What the targets have run.
    pub fn runs(&self) -> HashMap<String, Ran> {
        let mut runs = self.runs.lock().unwrap().clone();
        runs.retain(|attempt, _| !attempt.starts_with("probe") && attempt != CRASHES);
        runs
    }

    /// Waits until every node serves both routes; gives how long it took.
    pub fn wait_until_served(&self, patience: Duration) -> Option<Duration> {
        let began = Instant::now();
        loop {
            let mut is_served = true;
            for member in &self.members {
                for route in ["look", "book"] {
                    let answer = member.get(node::CALLERS_PORT, &format!("/{route}/x"), "probe");
                    is_served &= answer.is_some_and(|answer| answer.contains(" 200 "));
                }
            }
            if is_served {
                return Some(began.elapsed());
            }
            if began.elapsed() > patience {
                return None;
            }
            thread::sleep(LOOK_EVERY);
        }
    }

    /// Starts nodes again that have ended, as the platform does.
    ///
    /// A process that is told to stop before it has said that it starts ends by the signal: it has not
    /// listened yet, so nobody is cut off. From then on it has to end by itself, with success.
    pub fn supervise(&self, findings: &Findings) {
        let mut starts = vec![0; self.members.len()];
        while !self.is_stopped() {
            for (index, member) in self.members.iter().enumerate() {
                let Some(status) = member.process.lock().unwrap().take_end() else { continue };
                let is_harmed = member.is_harmed.load(Ordering::Relaxed);
                let had_started = starts[index];
                starts[index] = member.starts();
                if !is_harmed && !status.success() && starts[index] > had_started {
                    findings.add(format!("node {index} ended with {status}"));
                }
                thread::sleep(DOWN);
                member.is_harmed.store(false, Ordering::Relaxed);
                *member.told_to_stop.lock().unwrap() = None;
                member.life.fetch_add(1, Ordering::Relaxed);
                member.process.lock().unwrap().start();
            }
            thread::sleep(LOOK_EVERY);
        }
    }

    /// Asks all nodes which configuration is in force.
    pub fn probe(&self, findings: &Findings) {
        let mut seen = vec![(0, 0); self.members.len()];
        while !self.is_stopped() {
            for (index, member) in self.members.iter().enumerate() {
                let (asked, life) = (Instant::now(), member.life.load(Ordering::Relaxed));
                let Some(version) = member.version() else { continue };
                let until = Instant::now();
                if life != member.life.load(Ordering::Relaxed) {
                    continue;
                }
                let (seen_life, seen_version) = seen[index];
                if seen_life == life && version < seen_version {
                    findings.add(format!("node {index} went from {seen_version} to {version}"));
                }
                seen[index] = (life, version);
                let due = self.due_at(member, asked, until).unwrap_or(0);
                if version < due {
                    findings.add(format!("node {index} has {version}, {due} is due"));
                }
            }
            thread::sleep(LOOK_EVERY);
        }
    }

    /// The version that was acknowledged last.
    pub fn newest(&self) -> u64 {
        self.acknowledged.lock().unwrap().last().map_or(0, |(version, _)| *version)
    }

    /// The version that has to be in force at a node for a request of the given time, if one has to: the store
    /// and the node were left alone.
    pub fn due_at(&self, member: &Member, asked: Instant, ended: Instant) -> Option<u64> {
        let is_calm = !self.store_trouble.touch(asked - CONTACT, ended);
        (is_calm && member.is_in_touch(asked, ended)).then(|| self.due(asked))
    }

    /// The version that has to be in force.
    fn due(&self, now: Instant) -> u64 {
        let acknowledged = self.acknowledged.lock().unwrap();
        let is_due = |(_, at): &&(u64, Instant)| *at + CONFIG_APPLY <= now;
        acknowledged.iter().filter(is_due).map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// Lets a fault happen, to its end.
    pub fn suffer(&self, kind: Kind) {
        match kind {
            Kind::Stop { member } => self.stop_node(&self.members[member]),
            Kind::Kill { member } => self.harm(&self.members[member], || {}, libc::SIGKILL),
            Kind::Freeze { member, for_ms } => {
                let member = &self.members[member];
                let stand_still = || {
                    member.signal(libc::SIGSTOP);
                    thread::sleep(Duration::from_millis(for_ms));
                };
                self.harm(member, stand_still, libc::SIGCONT);
            }
            Kind::Reload { member } => self.members[member].signal(libc::SIGHUP),
            Kind::StoreAway { for_ms } => self.trouble_store(for_ms, Store::set_away),
            Kind::StoreSilent { for_ms } => self.trouble_store(for_ms, Store::set_silent),
            Kind::StoreForgets => {
                let place = self.store_trouble.begin();
                self.store.forget();
                self.store_trouble.end(place);
            }
            Kind::Configure { count, gap_ms } => {
                for _ in 0..count {
                    self.configure();
                    thread::sleep(Duration::from_millis(gap_ms));
                }
            }
            Kind::Crash { member, count } => {
                self.crash(member, count);
            }
        }
    }

    /// Sends the request that ends targets to one node after the other. Gives how many targets have run it.
    pub fn crash(&self, first: usize, count: usize) -> u32 {
        let before = self.crashes();
        for number in 0..count {
            let member = &self.members[(first + number) % self.members.len()];
            // Whatever it is answered.
            drop(member.get(node::CALLERS_PORT, &format!("/look/{CRASHES}"), CRASHES));
            thread::sleep(CRASH_EVERY);
        }
        self.crashes() - before
    }

    /// How often targets have run the request that ends them.
    fn crashes(&self) -> u32 {
        self.runs.lock().unwrap().get(CRASHES).map_or(0, |ran| ran.times)
    }

    /// Writes the next configuration.
    pub fn configure(&self) {
        let mut acknowledged = self.acknowledged.lock().unwrap();
        let version = acknowledged.last().map_or(1, |(version, _)| version + 3);
        self.store.put("op", "config", &document(version));
        acknowledged.push((version, Instant::now()));
    }

    fn trouble_store(&self, for_ms: u64, set: fn(&Store, bool)) {
        let place = self.store_trouble.begin();
        set(&self.store, true);
        thread::sleep(Duration::from_millis(for_ms));
        set(&self.store, false);
        self.store_trouble.end(place);
    }

    /// Harms a node: what `harm` does, and a signal at its end. It counts as harmed until it runs again.
    fn harm(&self, member: &Member, harm: impl FnOnce(), signal: libc::c_int) {
        let (place, life) = (member.harm.begin(), member.life.load(Ordering::Relaxed));
        member.is_harmed.store(true, Ordering::Relaxed);
        harm();
        member.signal(signal);
        if signal == libc::SIGKILL {
            self.wait_for_next_life(member, life);
        }
        member.harm.end(place);
    }

    /// Stops a node as planned, and kills it where it outlasts its grace.
    fn stop_node(&self, member: &Member) {
        let (place, life) = (member.stops.begin(), member.life.load(Ordering::Relaxed));
        member.told_to_stop.lock().unwrap().get_or_insert_with(Instant::now);
        member.signal(libc::SIGTERM);
        let until = Instant::now() + GRACE;
        while member.life.load(Ordering::Relaxed) == life && Instant::now() < until {
            thread::sleep(LOOK_EVERY);
        }
        if member.life.load(Ordering::Relaxed) == life {
            self.harm(member, || {}, libc::SIGKILL);
        }
        member.stops.end(place);
    }

    fn wait_for_next_life(&self, member: &Member, life: u64) {
        while member.life.load(Ordering::Relaxed) == life && !self.is_stopped() {
            thread::sleep(LOOK_EVERY);
        }
    }

    /// Keeps what the nodes have written.
    pub fn keep_logs(&self) {
        for member in &self.members {
            member.process.lock().unwrap().keep();
        }
    }
}
