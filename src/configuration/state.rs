//! The state machine of the configuration.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::clock::US_PER_S;
use crate::config::Rules;

use super::document::{Accepted, TableRow};
use super::event::{
    ConfigurationAction, ConfigurationEvent, PeerVersion, RowRead, RowWrite, Submit, SubmitOutcome,
};
use super::fetch::{Fetch, PeerMessage};
use super::submission::Submission;

/// Makes the rules of this node's site from the JSON text of a document, or says why it cannot.
pub type BuildRules = Box<dyn Fn(&str) -> Result<Rules, String> + Send>;

/// Intervals of the configuration.
#[derive(Clone, Debug, Builder)]
pub struct ConfigurationOptions {
    /// Where other nodes connect to this one.
    pub reply_to: SocketAddr,
    /// How often the row is read, in microseconds, on a small site.
    #[builder(default = 12 * US_PER_S)]
    pub poll_us: u64,
    /// How many nodes the site is expected to have; a large site reads less often per node.
    #[builder(default = 20)]
    pub site_nodes: u32,
    /// How long the node may serve with an older version than a peer has, in microseconds.
    #[builder(default = 3 * US_PER_S)]
    pub grace_us: u64,
    /// After how long a node whose peers all started as cold as itself, with the table service
    /// away, takes their common version for the accepted one, in microseconds.
    #[builder(default = 10 * US_PER_S)]
    pub cold_start_us: u64,
    /// How long a submission is tried, in microseconds.
    #[builder(default = 20 * US_PER_S)]
    pub submit_us: u64,
    /// How long a read of the row may take, in microseconds.
    #[builder(default = 10 * US_PER_S)]
    pub store_timeout_us: u64,
    /// A pause between two events that counts as a freeze of the process, in microseconds.
    #[builder(default = 5 * US_PER_S)]
    pub freeze_us: u64,
}

/// The nodes of a site up to which every node reads the row at the plain interval.
const SMALL_SITE_NODES: u64 = 20;
/// How much less often a node of a large site reads the row, at most.
const READ_STRETCH_MAX: u64 = 10;
/// The first reads a second of a whole site that starts at once; the membership makes as many.
const SITE_FIRST_READS_PER_S: u64 = 800;
/// The first backoff while the table service is away, in microseconds.
const BACKOFF_US: u64 = US_PER_S;

/// The configuration in force at one node.
pub struct Configuration {
    options: ConfigurationOptions,
    build: BuildRules,
    accepted: Option<Arc<Accepted>>,
    /// A version that is accepted but cannot be used here.
    unusable: u64,
    fetch: Fetch,
    /// Whether the table, or a peer that knows, has told the version since the start or the last
    /// freeze.
    confirmed: bool,
    /// Since when peers are heard that know no more than this node.
    cold_since_us: Option<u64>,
    ready: bool,
    next_read_us: u64,
    reading_until_us: Option<u64>,
    read_failures: u32,
    submission: Option<Submission>,
    last_event_us: u64,
}

impl fmt::Debug for Configuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Configuration")
            .field("version", &self.version())
            .field("newest", &self.fetch.newest())
            .field("confirmed", &self.confirmed)
            .field("ready", &self.ready)
            .finish_non_exhaustive()
    }
}

impl Configuration {
    /// A node that has the settings of its start, version 0, and may not serve yet.
    pub fn new(
        now_us: u64,
        options: ConfigurationOptions,
        build: BuildRules,
        rng: &mut SmallRng,
    ) -> Self {
        let spread_us = u64::from(options.site_nodes) * US_PER_S / SITE_FIRST_READS_PER_S;
        Self {
            build,
            accepted: None,
            unusable: 0,
            fetch: Fetch::default(),
            confirmed: false,
            cold_since_us: None,
            ready: false,
            next_read_us: now_us + rng.random_range(0..=spread_us),
            reading_until_us: None,
            read_failures: 0,
            submission: None,
            last_event_us: now_us,
            options,
        }
    }

    /// The version in force; 0 for the settings of the start.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |accepted| accepted.version())
    }

    /// What is in force, or none for the settings of the start.
    pub fn accepted(&self) -> Option<&Arc<Accepted>> {
        self.accepted.as_ref()
    }

    /// Whether the node knows that nothing newer was accepted before it started.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Whether the node may serve.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Takes one event and adds what is to be done to `out`.
    pub fn handle(
        &mut self,
        now_us: u64,
        event: ConfigurationEvent<'_>,
        rng: &mut SmallRng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.notice_freeze(now_us);
        match event {
            ConfigurationEvent::TableRead(read) => self.take_read(now_us, &read, rng, out),
            ConfigurationEvent::TableWritten { submission, write } => {
                self.take_write(now_us, submission, &write, out);
            }
            ConfigurationEvent::PeerHas(peer) => self.take_peer(now_us, &peer),
            ConfigurationEvent::Peer(bytes) => self.take_message(now_us, bytes, out),
            ConfigurationEvent::Submit(submit) => self.submit(now_us, submit, out),
            ConfigurationEvent::Tick => {}
        }
        self.run_timers(now_us, out);
    }

    /// When `Tick` is due next.
    pub fn next_wake_us(&self) -> u64 {
        let mut wake_us = self.next_read_us.max(self.reading_until_us.unwrap_or(0));
        // A quiet time must not be taken for a freeze of the process.
        wake_us = wake_us.min(self.last_event_us + self.options.freeze_us / 2);
        if let Some(at_us) = self.fetch.next_wake_us(self.version()) {
            wake_us = wake_us.min(at_us);
        }
        if let Some(submission) = &self.submission {
            wake_us = wake_us.min(submission.next_wake_us());
        }
        if let (false, Some(since_us)) = (self.ready, self.cold_since_us) {
            let at_us = since_us + self.options.cold_start_us;
            wake_us = if at_us > self.last_event_us { wake_us.min(at_us) } else { wake_us };
        }
        if self.ready && self.fetch.newest() > self.version() {
            let at_us = self.fetch.heard_us() + self.options.grace_us;
            wake_us = if at_us > self.last_event_us { wake_us.min(at_us) } else { wake_us };
        }
        wake_us
    }

    /// After a pause of the process, others may have gone on without this node.
    fn notice_freeze(&mut self, now_us: u64) {
        let pause_us = now_us.saturating_sub(self.last_event_us);
        self.last_event_us = now_us;
        if pause_us < self.options.freeze_us {
            return;
        }
        self.confirmed = false;
        self.cold_since_us = None;
        self.next_read_us = now_us;
    }

    fn take_read(
        &mut self,
        now_us: u64,
        read: &RowRead,
        rng: &mut SmallRng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.reading_until_us = None;
        match read {
            RowRead::Present(row) => self.take_row(now_us, row, out),
            RowRead::Absent => self.confirmed = true,
            RowRead::Failed => {}
        }
        self.plan_read(now_us, matches!(read, RowRead::Failed), rng);
        let Some(submission) = &mut self.submission else { return };
        let outcome = submission.take_read(now_us, read, self.accepted.as_deref(), out);
        self.finish(now_us, outcome, out);
    }

    fn plan_read(&mut self, now_us: u64, failed: bool, rng: &mut SmallRng) {
        if failed {
            self.read_failures = self.read_failures.saturating_add(1);
            let ceiling_us = BACKOFF_US << self.read_failures.min(6);
            self.next_read_us = now_us + rng.random_range(BACKOFF_US / 2..=ceiling_us);
            return;
        }
        self.read_failures = 0;
        let nodes = u64::from(self.options.site_nodes);
        let stretched_us = self.options.poll_us * nodes / SMALL_SITE_NODES;
        let longest_us = self.options.poll_us * READ_STRETCH_MAX;
        let wait_us = stretched_us.clamp(self.options.poll_us, longest_us);
        self.next_read_us = now_us + rng.random_range(wait_us * 3 / 4..=wait_us * 5 / 4);
    }

    fn take_row(&mut self, now_us: u64, row: &TableRow, out: &mut Vec<ConfigurationAction>) {
        self.fetch.hear(now_us, None, row.accepted.version());
        self.confirmed = true;
        self.take(&row.accepted, out);
    }

    fn take_write(
        &mut self,
        now_us: u64,
        number: u64,
        write: &RowWrite,
        out: &mut Vec<ConfigurationAction>,
    ) {
        if let RowWrite::Conflict { present: Some(row) } = write {
            self.take_row(now_us, row, out);
        }
        let submission = self.submission.as_mut().filter(|present| present.number() == number);
        let Some(submission) = submission else { return };
        let outcome = submission.take_write(now_us, write);
        self.finish(now_us, outcome, out);
    }

    fn take_peer(&mut self, now_us: u64, peer: &PeerVersion) {
        self.fetch.hear(now_us, Some(peer.peer), peer.version);
        self.confirmed |= peer.confirmed;
        self.cold_since_us.get_or_insert(now_us);
    }

    fn take_message(&mut self, now_us: u64, bytes: &[u8], out: &mut Vec<ConfigurationAction>) {
        match PeerMessage::decode(bytes) {
            Some(PeerMessage::Ask { reply_to, at_least }) => self.answer(reply_to, at_least, out),
            Some(PeerMessage::Content(accepted)) => {
                self.fetch.hear(now_us, None, accepted.version());
                self.take(&accepted, out);
            }
            None => {}
        }
    }

    fn answer(&self, reply_to: SocketAddr, at_least: u64, out: &mut Vec<ConfigurationAction>) {
        let Some(accepted) = &self.accepted else { return };
        if accepted.version() < at_least {
            return;
        }
        let bytes = PeerMessage::Content(Accepted::clone(accepted)).encode();
        out.push(ConfigurationAction::SendPeer { to: reply_to, bytes });
    }

    /// Puts a document in force if it is newer; this is the only place that does.
    fn take(&mut self, accepted: &Accepted, out: &mut Vec<ConfigurationAction>) {
        let version = accepted.version();
        if version <= self.version() || version <= self.unusable {
            return;
        }
        match (self.build)(&accepted.document) {
            Ok(rules) => {
                self.accepted = Some(Arc::new(accepted.clone()));
                out.push(ConfigurationAction::InForce { version, rules: Arc::new(rules) });
            }
            Err(cause) => {
                self.unusable = version;
                out.push(ConfigurationAction::Unusable { version, cause });
            }
        }
    }

    fn submit(&mut self, now_us: u64, submit: Submit, out: &mut Vec<ConfigurationAction>) {
        let submission = submit.submission;
        if self.submission.is_some() {
            let outcome = SubmitOutcome::Busy;
            out.push(ConfigurationAction::Submitted { submission, outcome });
            return;
        }
        let checked = (self.build)(&submit.document).and_then(|_| canonical(&submit.document));
        let submit = match checked {
            Ok(document) => Submit { document, ..submit },
            Err(cause) => {
                let outcome = SubmitOutcome::Invalid { cause };
                out.push(ConfigurationAction::Submitted { submission, outcome });
                return;
            }
        };
        self.submission = Some(Submission::new(submit, now_us + self.options.submit_us));
        out.push(ConfigurationAction::ReadTable);
    }

    fn finish(
        &mut self,
        now_us: u64,
        outcome: Option<SubmitOutcome>,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let Some(outcome) = outcome else { return };
        let Some(done) = self.submission.take() else { return };
        if let (SubmitOutcome::Accepted { version }, Some(accepted)) = (&outcome, done.accepted())
            && accepted.version() == *version
        {
            self.fetch.hear(now_us, None, *version);
            self.confirmed = true;
            self.take(accepted, out);
        }
        let submission = done.number();
        out.push(ConfigurationAction::Submitted { submission, outcome });
    }

    fn run_timers(&mut self, now_us: u64, out: &mut Vec<ConfigurationAction>) {
        if let Some(submission) = &mut self.submission {
            let outcome = submission.tick(now_us, out);
            self.finish(now_us, outcome, out);
        }
        let reading = self.reading_until_us.is_some_and(|until_us| now_us < until_us);
        if !reading && now_us >= self.next_read_us {
            self.reading_until_us = Some(now_us + self.options.store_timeout_us);
            out.push(ConfigurationAction::ReadTable);
        }
        let version = self.version().max(self.unusable);
        if let Some(peer) = self.fetch.ask(now_us, version) {
            let reply_to = self.options.reply_to;
            let bytes = PeerMessage::Ask { reply_to, at_least: self.fetch.newest() }.encode();
            out.push(ConfigurationAction::SendPeer { to: peer, bytes });
        }
        self.judge(now_us, out);
    }

    /// Decides whether the node may serve.
    fn judge(&mut self, now_us: u64, out: &mut Vec<ConfigurationAction>) {
        let ready = self.may_serve(now_us);
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        out.push(ConfigurationAction::Ready(ready));
    }

    fn may_serve(&self, now_us: u64) -> bool {
        if self.fetch.newest() > self.version() {
            let late_us = now_us.saturating_sub(self.fetch.heard_us());
            return self.ready && self.confirmed && late_us < self.options.grace_us;
        }
        if self.confirmed {
            return true;
        }
        let table_away = self.read_failures > 0;
        let cold_us = self.cold_since_us.map_or(0, |since_us| now_us.saturating_sub(since_us));
        table_away && cold_us >= self.options.cold_start_us
    }
}

/// The document as it comes back from the table, or why it is no JSON.
fn canonical(document: &str) -> Result<String, String> {
    let value: serde_json::Value = serde_json::from_str(document).map_err(|e| e.to_string())?;
    Ok(value.to_string())
}
