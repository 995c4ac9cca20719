//! The configuration state machine.

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

/// Builds the rules of this node's site from the JSON text of a document, or returns the reason why
/// that is not possible.
pub type BuildRules = Box<dyn Fn(&str) -> Result<Rules, String> + Send>;

/// Intervals and time-outs of the configuration.
#[derive(Clone, Debug, Builder)]
pub struct ConfigurationOptions {
    /// The address that other nodes connect to.
    pub reply_to: SocketAddr,
    /// How often each node of a small site reads the row, in microseconds.
    #[builder(default = 12 * US_PER_S)]
    pub poll_us: u64,
    /// The expected number of nodes of the site. On a large site, each node reads less often.
    #[builder(default = 20)]
    pub site_nodes: u32,
    /// How long the node may serve after a newer version became known, in microseconds.
    #[builder(default = 3 * US_PER_S)]
    pub grace_us: u64,
    /// How long a node waits for a confirmed version before it serves without one, in microseconds.
    /// Applies while the table service is unavailable and no peer has a confirmed version, as after
    /// a cold start of the whole site.
    #[builder(default = 10 * US_PER_S)]
    pub cold_start_us: u64,
    /// Timeout of a submission, in microseconds.
    #[builder(default = 20 * US_PER_S)]
    pub submit_us: u64,
    /// Timeout of a read of the row, in microseconds.
    #[builder(default = 10 * US_PER_S)]
    pub store_timeout_us: u64,
    /// The shortest gap between two events that counts as a pause of the process, in microseconds.
    #[builder(default = 5 * US_PER_S)]
    pub pause_min_us: u64,
}

/// The largest number of nodes of a site at which the read interval is not scaled up.
const SMALL_SITE_NODES: u64 = 20;
/// The largest factor by which the read interval of a large site is scaled up.
const READ_INTERVAL_FACTOR_MAX: u64 = 10;
/// The rate, per second, of the first reads of a site whose nodes all start simultaneously. The
/// membership adds as many reads.
const SITE_FIRST_READS_PER_S: u64 = 800;
/// The base of the backoff while the table service is unavailable, in microseconds.
const BACKOFF_US: u64 = US_PER_S;

/// The configuration of one node: the version in force, the fetch of a newer one and the current
/// submission.
pub struct Configuration {
    options: ConfigurationOptions,
    build: BuildRules,
    accepted: Option<Arc<Accepted>>,
    /// The newest accepted version that this node cannot use; 0 if there is none.
    unusable_version: u64,
    fetch: Fetch,
    /// Whether the table service or a confirmed peer has reported the accepted version since the
    /// start or the last pause of the process.
    confirmed: bool,
    /// When the first peer reported its version after the start or the last pause.
    first_peer_report_us: Option<u64>,
    ready: bool,
    next_read_us: u64,
    read_deadline_us: Option<u64>,
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
    /// Creates the state of a starting node: version 0, which stands for its own settings. The node
    /// may not serve yet.
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
            unusable_version: 0,
            fetch: Fetch::default(),
            confirmed: false,
            first_peer_report_us: None,
            ready: false,
            next_read_us: now_us + rng.random_range(0..=spread_us),
            read_deadline_us: None,
            read_failures: 0,
            submission: None,
            last_event_us: now_us,
            options,
        }
    }

    /// The version in force; 0 for the settings the node started with.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |accepted| accepted.version())
    }

    /// The configuration in force, or none for the settings the node started with.
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

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now_us: u64,
        event: ConfigurationEvent<'_>,
        rng: &mut SmallRng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.detect_pause(now_us);
        match event {
            ConfigurationEvent::RowRead(read) => self.handle_read(now_us, &read, rng, out),
            ConfigurationEvent::RowWritten { submission, write } => {
                self.handle_write(now_us, submission, &write, out);
            }
            ConfigurationEvent::PeerVersion(peer) => self.handle_peer_version(now_us, &peer),
            ConfigurationEvent::PeerMessage(bytes) => self.handle_message(now_us, bytes, out),
            ConfigurationEvent::Submit(submit) => self.submit(now_us, submit, out),
            ConfigurationEvent::Tick => {}
        }
        self.run_timers(now_us, out);
    }

    /// When the next `Tick` is due.
    pub fn next_wake_us(&self) -> u64 {
        let mut wake_us = self.next_read_us.max(self.read_deadline_us.unwrap_or(0));
        // Ticks must be frequent enough that a time without events is not mistaken for a pause of
        // the process.
        wake_us = wake_us.min(self.last_event_us + self.options.pause_min_us / 2);
        if let Some(at_us) = self.fetch.next_wake_us(self.version()) {
            wake_us = wake_us.min(at_us);
        }
        if let Some(submission) = &self.submission {
            wake_us = wake_us.min(submission.next_wake_us());
        }
        if let (false, Some(since_us)) = (self.ready, self.first_peer_report_us) {
            let at_us = since_us + self.options.cold_start_us;
            wake_us = if at_us > self.last_event_us { wake_us.min(at_us) } else { wake_us };
        }
        if self.ready && self.fetch.newest() > self.version() {
            let at_us = self.fetch.newest_reported_us() + self.options.grace_us;
            wake_us = if at_us > self.last_event_us { wake_us.min(at_us) } else { wake_us };
        }
        wake_us
    }

    /// Detects a pause of the process, during which a newer version may have been accepted.
    fn detect_pause(&mut self, now_us: u64) {
        let pause_us = now_us.saturating_sub(self.last_event_us);
        self.last_event_us = now_us;
        if pause_us < self.options.pause_min_us {
            return;
        }
        self.confirmed = false;
        self.first_peer_report_us = None;
        self.next_read_us = now_us;
    }

    fn handle_read(
        &mut self,
        now_us: u64,
        read: &RowRead,
        rng: &mut SmallRng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.read_deadline_us = None;
        match read {
            RowRead::Present(row) => self.handle_row(now_us, row, out),
            RowRead::Absent => self.confirmed = true,
            RowRead::Failed => {}
        }
        self.schedule_read(now_us, matches!(read, RowRead::Failed), rng);
        let Some(submission) = &mut self.submission else { return };
        let outcome = submission.handle_read(now_us, read, self.accepted.as_deref(), out);
        self.finish(now_us, outcome, out);
    }

    fn schedule_read(&mut self, now_us: u64, failed: bool, rng: &mut SmallRng) {
        if failed {
            self.read_failures = self.read_failures.saturating_add(1);
            let ceiling_us = BACKOFF_US << self.read_failures.min(6);
            self.next_read_us = now_us + rng.random_range(BACKOFF_US / 2..=ceiling_us);
            return;
        }
        self.read_failures = 0;
        let nodes = u64::from(self.options.site_nodes);
        let scaled_us = self.options.poll_us * nodes / SMALL_SITE_NODES;
        let longest_us = self.options.poll_us * READ_INTERVAL_FACTOR_MAX;
        let wait_us = scaled_us.clamp(self.options.poll_us, longest_us);
        self.next_read_us = now_us + rng.random_range(wait_us * 3 / 4..=wait_us * 5 / 4);
    }

    fn handle_row(&mut self, now_us: u64, row: &TableRow, out: &mut Vec<ConfigurationAction>) {
        self.fetch.observe(now_us, None, row.accepted.version());
        self.confirmed = true;
        self.apply(&row.accepted, out);
    }

    fn handle_write(
        &mut self,
        now_us: u64,
        id: u64,
        write: &RowWrite,
        out: &mut Vec<ConfigurationAction>,
    ) {
        if let RowWrite::Conflict { present: Some(row) } = write {
            self.handle_row(now_us, row, out);
        }
        let submission = self.submission.as_mut().filter(|present| present.id() == id);
        let Some(submission) = submission else { return };
        let outcome = submission.handle_write(now_us, write);
        self.finish(now_us, outcome, out);
    }

    fn handle_peer_version(&mut self, now_us: u64, peer: &PeerVersion) {
        self.fetch.observe(now_us, Some(peer.peer), peer.version);
        self.confirmed |= peer.confirmed;
        self.first_peer_report_us.get_or_insert(now_us);
    }

    fn handle_message(&mut self, now_us: u64, bytes: &[u8], out: &mut Vec<ConfigurationAction>) {
        match PeerMessage::decode(bytes) {
            Some(PeerMessage::Ask { reply_to, at_least }) => {
                self.send_document(reply_to, at_least, out);
            }
            Some(PeerMessage::Content(accepted)) => {
                self.fetch.observe(now_us, None, accepted.version());
                self.apply(&accepted, out);
            }
            None => {}
        }
    }

    fn send_document(
        &self,
        reply_to: SocketAddr,
        at_least: u64,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let Some(accepted) = &self.accepted else { return };
        if accepted.version() < at_least {
            return;
        }
        let bytes = PeerMessage::Content(Accepted::clone(accepted)).encode();
        out.push(ConfigurationAction::SendMessage { to: reply_to, bytes });
    }

    /// Puts a document in force if it is newer. Nothing else changes the version in force.
    fn apply(&mut self, accepted: &Accepted, out: &mut Vec<ConfigurationAction>) {
        let version = accepted.version();
        if version <= self.version() || version <= self.unusable_version {
            return;
        }
        match (self.build)(&accepted.document) {
            Ok(rules) => {
                self.accepted = Some(Arc::new(accepted.clone()));
                out.push(ConfigurationAction::InForce { version, rules: Arc::new(rules) });
            }
            Err(cause) => {
                self.unusable_version = version;
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
        let checked = (self.build)(&submit.document).and_then(|_| canonical_json(&submit.document));
        let submit = match checked {
            Ok(document) => Submit { document, ..submit },
            Err(cause) => {
                let outcome = SubmitOutcome::Invalid { cause };
                out.push(ConfigurationAction::Submitted { submission, outcome });
                return;
            }
        };
        self.submission = Some(Submission::new(submit, now_us + self.options.submit_us));
        out.push(ConfigurationAction::ReadRow);
    }

    fn finish(
        &mut self,
        now_us: u64,
        outcome: Option<SubmitOutcome>,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let Some(outcome) = outcome else { return };
        let Some(done) = self.submission.take() else { return };
        if let (SubmitOutcome::Accepted { version }, Some(accepted)) = (&outcome, done.last_write())
            && accepted.version() == *version
        {
            self.fetch.observe(now_us, None, *version);
            self.confirmed = true;
            self.apply(accepted, out);
        }
        let submission = done.id();
        out.push(ConfigurationAction::Submitted { submission, outcome });
    }

    fn run_timers(&mut self, now_us: u64, out: &mut Vec<ConfigurationAction>) {
        if let Some(submission) = &mut self.submission {
            let outcome = submission.tick(now_us, out);
            self.finish(now_us, outcome, out);
        }
        let is_reading = self.read_deadline_us.is_some_and(|deadline_us| now_us < deadline_us);
        if !is_reading && now_us >= self.next_read_us {
            self.read_deadline_us = Some(now_us + self.options.store_timeout_us);
            out.push(ConfigurationAction::ReadRow);
        }
        let version = self.version().max(self.unusable_version);
        if let Some(peer) = self.fetch.start_request(now_us, version) {
            let reply_to = self.options.reply_to;
            let bytes = PeerMessage::Ask { reply_to, at_least: self.fetch.newest() }.encode();
            out.push(ConfigurationAction::SendMessage { to: peer, bytes });
        }
        self.update_readiness(now_us, out);
    }

    /// Updates whether the node may serve, and reports a change.
    fn update_readiness(&mut self, now_us: u64, out: &mut Vec<ConfigurationAction>) {
        let ready = self.may_serve(now_us);
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        out.push(ConfigurationAction::Ready(ready));
    }

    fn may_serve(&self, now_us: u64) -> bool {
        if self.fetch.newest() > self.version() {
            let outdated_us = now_us.saturating_sub(self.fetch.newest_reported_us());
            return self.ready && self.confirmed && outdated_us < self.options.grace_us;
        }
        if self.confirmed {
            return true;
        }
        let is_table_unavailable = self.read_failures > 0;
        let waited_us =
            self.first_peer_report_us.map_or(0, |since_us| now_us.saturating_sub(since_us));
        is_table_unavailable && waited_us >= self.options.cold_start_us
    }
}

/// The document in the form in which the table service returns it; fails if it is not JSON.
fn canonical_json(document: &str) -> Result<String, String> {
    let value: serde_json::Value = serde_json::from_str(document).map_err(|e| e.to_string())?;
    Ok(value.to_string())
}
