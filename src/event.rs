//! Numbered log events: their catalogue, their output and the rate limit for repeated events.
//!
//! The number of an event is never reused; `docs/EVENTS.md` lists all events for operators.

mod field;
mod limiter;
mod log;

use std::net::SocketAddr;

use slog::{KV, Level as Severity, Record};

use self::field::ToLog;
use crate::call::{ArmId, AttemptId, ClassRank, Key, Level, NodeId, RootId};

pub use self::limiter::{EventLimiter, REQUESTS_PER_WINDOW};
pub use self::log::EventLog;

/// The catalogue entry of one kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventKind {
    /// The stable number.
    pub number: u16,
    /// The name, as in the enum.
    pub name: &'static str,
    /// The severity.
    pub severity: Severity,
    /// The names of its fields, in order.
    pub fields: &'static [&'static str],
}

/// Declares the enum together with its numbers, severities and fields, which keeps them consistent.
macro_rules! log_events {
    ($($(#[$doc:meta])* $number:literal $severity:ident $name:ident {
        $($(#[$field_doc:meta])* $field:ident: $field_type:ty,)*
    })*) => {
        /// A log event for operators.
        #[derive(Clone, Debug, PartialEq)]
        pub enum LogEvent {
            $($(#[$doc])* $name { $($(#[$field_doc])* $field: $field_type,)* },)*
        }

        /// All kinds of events, in the order of the enum.
        pub const EVENT_KINDS: &[EventKind] = &[
            $(EventKind {
                number: $number,
                name: stringify!($name),
                severity: Severity::$severity,
                fields: &[$(stringify!($field)),*],
            },)*
        ];

        impl LogEvent {
            /// The stable number.
            pub fn number(&self) -> u16 {
                match self {
                    $(Self::$name { .. } => $number,)*
                }
            }
        }

        impl KV for LogEvent {
            fn serialize(
                &self,
                record: &Record<'_>,
                serializer: &mut dyn slog::Serializer,
            ) -> slog::Result {
                match self {
                    $(Self::$name { $($field),* } => {
                        $(slog::Value::serialize(
                            &$field.to_log(), record, stringify!($field), serializer)?;)*
                    })*
                }
                Ok(())
            }
        }
    };
}

log_events! {
    /// The process is up and its listeners are bound.
    100 Info NodeStarted {
        /// The random id of this process.
        node: NodeId,
        /// The node's name, which stays the same across restarts.
        node_name: String,
        /// The service of the node's target.
        service: String,
        /// The failure domain of the VM.
        failure_domain: String,
        /// The version of the program.
        version: &'static str,
    }
    /// The node could not start, or stopped after an error.
    101 Critical NodeFailed {
        /// The error.
        detail: String,
    }
    /// A listener is bound.
    102 Info ListenerStarted {
        /// Which listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
    }
    /// The node began to drain: it accepts no new requests.
    110 Info LeavingStarted {
        /// What started the drain: `signal`, `operator`, `target` or `successor`.
        asked_by: &'static str,
        /// Calls running or queued at that time.
        in_flight: u64,
    }
    /// The node has drained; the process exits.
    111 Info LeavingFinished {
        /// How long the drain took, in milliseconds.
        took_ms: u64,
        /// Calls that were still running when the drain timed out.
        cut_off: u64,
    }
    /// One of the node's worker threads panicked.
    120 Critical DutyPanicked {
        /// The thread.
        duty: &'static str,
        /// The node's reaction: `restart` or `exit`.
        consequence: &'static str,
    }
    /// A ring buffer between two threads was full, and an entry was rejected.
    121 Warning RingFull {
        /// The ring buffer.
        ring: &'static str,
        /// Its capacity in entries.
        entries: u64,
    }
    /// The bodies held in memory reached their limit, and a call was refused.
    122 Warning MemoryFull {
        /// The total size of the bodies held, in bytes.
        held_bytes: u64,
        /// The limit, in bytes.
        limit_bytes: u64,
    }
    /// A client took too long to send its request, and its connection was closed.
    123 Info SlowSenderCut {
        /// Which listener.
        listener: &'static str,
        /// How many connections were closed together.
        connections: u64,
    }
    /// The node's target announced itself.
    200 Info TargetAnnounced {
        /// Its URL.
        url: String,
        /// Its service.
        service: String,
        /// How many calls it can run concurrently.
        slots: u32,
        /// How many connections it accepts.
        connections: u32,
    }
    /// The target has sent nothing for too long.
    201 Error TargetGone {
        /// Its URL.
        url: String,
        /// How long nothing was received from it, in milliseconds.
        silent_ms: u64,
    }
    /// The target refuses connections, or closes them during an exchange.
    202 Warning TargetUnreachable {
        /// Its URL.
        url: String,
        /// The error.
        detail: String,
    }
    /// A connection to another node was established.
    300 Debug PeerLinkUp {
        /// The other node.
        peer: NodeId,
        /// Its address.
        address: SocketAddr,
    }
    /// A connection to another node was lost or fell silent.
    301 Warning PeerLinkLost {
        /// The other node.
        peer: NodeId,
        /// Its address.
        address: SocketAddr,
        /// Attempts whose outcome has to be queried.
        unsettled: u64,
        /// The reason, as observed.
        detail: String,
    }
    /// A node was discovered.
    310 Info MemberAdded {
        /// The node.
        member: NodeId,
        /// Its service.
        service: String,
        /// Its address for other nodes.
        address: SocketAddr,
        /// How it was discovered: `table or peer`, which are not distinguished.
        learned_from: &'static str,
    }
    /// A node is considered gone.
    311 Warning MemberGone {
        /// The node.
        member: NodeId,
        /// Its service.
        service: String,
        /// Why: `silent`, `left`, `replaced` or `expired`.
        reason: &'static str,
    }
    /// The process was paused for longer than its peers' timeout; the node accepts no requests
    /// until its state is up to date.
    312 Warning NodeWasPaused {
        /// How long, in milliseconds.
        paused_ms: u64,
    }
    /// A store of the platform stopped answering.
    400 Error StoreAway {
        /// `table` or `objects`.
        store: &'static str,
        /// The error.
        detail: String,
        /// How long the failed request had waited for its answer, in milliseconds.
        asked_ms: u64,
    }
    /// A store of the platform answers again.
    401 Info StoreBack {
        /// `table` or `objects`.
        store: &'static str,
        /// How long it was unavailable, in milliseconds.
        away_ms: u64,
    }
    /// A write may or may not have taken effect; the row is read to find out.
    402 Warning StoreWriteUnknown {
        /// The row.
        row: String,
    }
    /// Calls are being shed: the floor of an arm rose from zero.
    500 Warning OverloadEntered {
        /// The arm.
        arm: ArmId,
        /// Calls below this level are refused.
        floor: Level,
        /// The lowest class of which some calls are still admitted.
        class: ClassRank,
        /// Calls in the queue.
        queued: u32,
        /// Maximum number of calls running concurrently.
        limit: u32,
    }
    /// Calls are no longer shed: the floor of an arm is back at zero.
    501 Info OverloadLeft {
        /// The arm.
        arm: ArmId,
        /// How long calls were shed, in milliseconds.
        lasted_ms: u64,
        /// Calls shed in that time.
        refused: u64,
    }
    /// A call was not retried because the retry allowance of its root request is used up.
    600 Info RetryRefusedByAllowance {
        /// The root request.
        root: RootId,
        /// The arm.
        arm: ArmId,
    }
    /// A call was not retried because the node's own retry budget is used up.
    601 Warning RetryRefusedByBudget {
        /// The service that was called.
        service: String,
        /// The arm.
        arm: ArmId,
    }
    /// A call was not retried because the entry node did not answer.
    602 Warning RetryRefusedByEntryAway {
        /// The root request.
        root: RootId,
        /// The entry node.
        entry: NodeId,
    }
    /// The outcome of an attempt whose connection was lost is known.
    610 Info FenceSettled {
        /// The attempt.
        attempt: AttemptId,
        /// `answered`, `not_run` or `may_have_run`.
        outcome: &'static str,
        /// How long it took, in milliseconds.
        took_ms: u64,
    }
    /// It could not be determined whether an attempt ran; its caller received "may have run".
    611 Error FenceUnsettled {
        /// The attempt.
        attempt: AttemptId,
        /// The node that could not be queried.
        peer: NodeId,
    }
    /// An idempotency key was permanently delegated to another node.
    620 Info KeyDelegated {
        /// The key.
        key: Key,
        /// The node that may run it now.
        to: NodeId,
    }
    /// A caller-supplied idempotency key could not be claimed because the table service is
    /// unavailable.
    621 Error KeyUnclaimed {
        /// The service that was called.
        service: String,
    }
    /// A configuration came into force.
    700 Info ConfigInForce {
        /// Its version.
        config_version: u64,
        /// Its source: `table`, `peer`, or `table or peer` where they are not distinguished.
        learned_from: &'static str,
    }
    /// An operator's configuration was accepted.
    701 Info ConfigAccepted {
        /// Its version.
        config_version: u64,
    }
    /// An operator's configuration conflicted with a concurrent one, or was invalid.
    702 Warning ConfigRefused {
        /// The version that it was to replace.
        expected_version: u64,
        /// `conflict` or `invalid`.
        reason: &'static str,
        /// How many problems validation found.
        problems: u64,
    }
    /// A configuration older than the one in force was received and ignored.
    703 Warning ConfigOlderIgnored {
        /// The version in force.
        config_version: u64,
        /// The version that was received.
        older_version: u64,
    }
    /// A request to the operator interface did not carry the operators' key.
    800 Warning OperatorRefused {
        /// Where the request came from.
        remote: String,
    }
    /// The environment variable of the operators' key is not set; all operator requests are
    /// refused.
    801 Warning OperatorKeyUnset {
        /// The name of the variable.
        variable: String,
    }
    /// Spans could not be delivered to the collector.
    900 Warning CollectorAway {
        /// The error.
        detail: String,
        /// Spans dropped with the failed batch.
        spans: u64,
    }
    /// The collector accepts spans again.
    901 Info CollectorBack {
        /// Spans dropped while it was unavailable.
        dropped_spans: u64,
    }
    /// A mesh node started.
    1000 Info MeshStarted {
        /// The name of its VM.
        node_name: String,
        /// The failure domain of the VM.
        failure_domain: String,
        /// The service of its target, from the settings.
        service: String,
        /// The version of the program.
        version: &'static str,
        /// The address for other nodes.
        address: SocketAddr,
    }
    /// The settings file was read again.
    1001 Info SettingsReread {
        /// `unchanged`, `from_next_start` or `refused`.
        outcome: &'static str,
        /// The errors in the settings; empty if there are none.
        detail: String,
    }
    /// Invalid input from another process was rejected.
    1002 Warning InputRefused {
        /// The kind of input: `heartbeat`, `configuration`, `connection` or `limit` (in an answer of
        /// the target).
        input: &'static str,
        /// The reason.
        detail: String,
    }
    /// The state of the node's target has changed, as far as the node knows.
    1010 Info TargetChanged {
        /// The incarnation that accepts requests; empty if there is none.
        instance: String,
        /// Its service.
        service: String,
        /// `ready`, `cold` or `none`.
        state: &'static str,
        /// The source of the information: `heartbeat`, `farewell`, `answer`,
        /// `refused_connection`, `other_incarnation` or `table`.
        learned_from: &'static str,
        /// Maximum number of requests running concurrently.
        limit: u32,
    }
    /// The node's target crashed while requests were running.
    1011 Warning TargetCrashed {
        /// The incarnation.
        instance: String,
        /// Its service.
        service: String,
        /// How many distinct requests it was running, with those whose calls ended within the last
        /// second without an answer.
        running: u32,
        /// How many requests are suspects: two or more targets crashed while running them, so each
        /// runs with no other suspect on the same target.
        suspects: u32,
    }
    /// A request is quarantined, because targets crashed while running it.
    1012 Error RequestHeld {
        /// The fingerprint that all attempts of the request share.
        fingerprint: String,
        /// Its path without the query; empty if this node has not received the request.
        path: String,
        /// The length of the quarantine, in seconds.
        hold_s: u64,
        /// `crash` (of this node's target), `peer` or `table`.
        learned_from: &'static str,
    }
    /// A quarantined request succeeded when it was tried again, and is no longer restricted.
    1013 Info RequestReleased {
        /// The fingerprint that all attempts of the request share.
        fingerprint: String,
    }
    /// The node's target began or ceased to name a limit, or to state that it is about to leave.
    1014 Info TargetSignalled {
        /// The incarnation.
        instance: String,
        /// The requests per second that it accepts from all nodes together; empty if it names no
        /// limit.
        limit_per_s: String,
        /// Whether it is about to leave.
        leaving: bool,
        /// `answer` (of the target) or `peer` (which was told before this node was restarted).
        learned_from: &'static str,
    }
    /// A departure of the node's target was not saved in time, and was not acknowledged.
    1015 Warning DepartureUnsaved {
        /// The incarnation, which gets no more work.
        instance: String,
        /// How long the target was kept waiting.
        waited_ms: u64,
    }
    /// The departures that earlier processes of the node had saved were read.
    1016 Info DeparturesRestored {
        /// The incarnations, separated by spaces.
        instances: String,
    }
    /// Another node can be called.
    1020 Info LinkUp {
        /// Its address.
        peer: SocketAddr,
        /// The service of its target.
        service: String,
        /// The version of its configuration.
        config_version: u64,
    }
    /// Another node can no longer be called.
    1021 Warning LinkLost {
        /// Its address.
        peer: SocketAddr,
        /// Calls that were waiting for its answer; they may have run.
        waiting: u32,
        /// How long nothing had been received from it, in milliseconds.
        silent_ms: u64,
        /// The reason, as observed.
        detail: String,
    }
    /// The node's role in reading configurations from the store has changed.
    1022 Info FollowerChanged {
        /// `follows` (reads the store), `substitutes` (reads it for nodes that do not reach it) or
        /// `hears` (receives configurations from peers).
        role: &'static str,
        /// Whether no node that precedes it in its failure domain reaches the store.
        is_first: bool,
    }
    /// Requests of a route began to be shed because a downstream service is overloaded, or no
    /// longer are.
    1030 Info AdmissionChanged {
        /// The route.
        root: String,
        /// The service with the least free capacity; empty if all services have some.
        limited_by: String,
        /// The probability of admission, in percent.
        admitted_percent: u32,
        /// Requests running on all targets of that service.
        running: u32,
        /// Requests queued for them.
        waiting: u32,
        /// Maximum number of requests running on them concurrently.
        limit: u32,
    }
    /// Requests of a route began to be refused because too few of their trees would complete, or no
    /// longer are.
    1031 Info CompletionChanged {
        /// The route.
        root: String,
        /// The service whose retries limit the route; empty if none does.
        limited_by: String,
        /// The probability of admission, in percent.
        admitted_percent: u32,
        /// The share of offers that the targets of that service accept, in percent.
        pass_percent: u32,
        /// How long ago one of these targets' nodes was last heard, in milliseconds.
        age_ms: u64,
        /// Calls of 100 trees to that service.
        calls_percent: u32,
        /// Retries that the budget of this node permits, in a thousand seconds.
        retries_per_1000_s: u32,
        /// Requests of the route that were asked for, in a thousand seconds.
        asked_per_1000_s: u32,
    }
    /// The capacity of a service began to be divided among teams, or no longer is.
    1032 Info TeamSharesChanged {
        /// The service.
        service: String,
        /// Whether it is divided now.
        in_force: bool,
        /// The rank at which the capacity runs out.
        rank: u32,
        /// The capacity, in thousandths of a running request.
        capacity_milli: u64,
        /// The estimated demand of all teams, in thousandths of a running request.
        demand_milli: u64,
        /// The share of a team of weight 1, in thousandths of a running request.
        level_milli: u64,
        /// Number of teams that ask for more than their share.
        teams_above: u32,
        /// Number of targets whose reports were used.
        reports: u32,
        /// The age of the oldest report, in milliseconds.
        oldest_ms: u64,
    }
    /// Promised retry times became void because the capacity of a service has fallen.
    1034 Info PromisesVoided {
        /// The service.
        service: String,
        /// Its slots when promises were last checked, weighted by the share of accepted offers.
        slots_before: u32,
        /// Its slots now, weighted in the same way.
        slots: u32,
        /// Age of the oldest condition that this is based on, in milliseconds.
        age_ms: u64,
        /// Number of promises that became void.
        voided: u32,
        /// Number of promises that remain.
        kept: u32,
    }
    /// A request received its final answer. Logged if the request was refused, failed, retried or
    /// late, and for a small sample of the others.
    1040 Info RequestEnded {
        /// The id of the caller's attempt.
        attempt: String,
        /// The route of the outside caller's request.
        root: String,
        /// The chosen service; empty if none was.
        service: String,
        /// `answered`, `not_run` or `may_have_run`.
        verdict: &'static str,
        /// The name of the reason, if it was not answered.
        reason: &'static str,
        /// The status that the caller received.
        status: u32,
        /// The nodes it was offered to, in order; `own` is this one.
        offered: String,
        /// How many times it reached a target.
        arrivals: u32,
        /// How many of these times the target rejected it without running it.
        rejected: u32,
        /// Time from the last data received from the node that handled the request last to the end
        /// of the request, in milliseconds.
        heard_ms: u64,
        /// The probability of admission of its route at its end, in percent.
        admitted_percent: u32,
        /// The downstream service with the least free capacity, if requests of its route are shed
        /// because of it.
        limited_by: String,
        /// The team whose API key admitted it; empty if no key did.
        team: String,
        /// The state of the team's quota as far as known, if the request exceeded it.
        quota: String,
        /// The share and the demand of the team, if the request was refused because of them.
        share: String,
        /// How many retries the node could still have sent to the service, in hundredths.
        repeats_percent: u32,
        /// The configuration version by which it was routed.
        config_version: u64,
        /// If the request is quarantined, the fingerprint that all its attempts share; otherwise
        /// empty.
        fingerprint: String,
        /// If it was refused because of the limits that targets name: the limit of the last one, who
        /// named it and how long ago.
        target_limit: String,
        /// What was known of the last target when it was chosen, if it sends the extended load report.
        target_condition: String,
        /// How long it took, in milliseconds.
        took_ms: u64,
    }
    /// A call from another node was refused, or the target failed it.
    1041 Info CallEnded {
        /// The id of the caller's attempt.
        attempt: String,
        /// The route of the outside caller's request.
        root: String,
        /// The requested service.
        service: String,
        /// The incarnation of the target at its end; empty if there was none.
        instance: String,
        /// `answered`, `not_run` or `may_have_run`.
        verdict: &'static str,
        /// The name of the reason, if it was not answered.
        reason: &'static str,
        /// The status of the target's answer; 0 if there is none.
        status: u32,
        /// What was observed if the target broke off the exchange or could not be reached;
        /// otherwise empty.
        detail: String,
        /// If the target broke off the exchange, the fingerprint that all attempts of the request
        /// share.
        fingerprint: String,
        /// Time in the queue and on the target, in milliseconds.
        took_ms: u64,
        /// Requests running on the target at its end.
        running: u32,
        /// Requests queued for the target at its end.
        waiting: u32,
        /// Maximum number of requests running on the target concurrently.
        limit: u32,
        /// If it was refused because of the limit that the target names: the limit, who named it
        /// and how long ago.
        target_limit: String,
    }
    /// The caller of a request disconnected before it received the answer.
    1042 Info CallerLeft {
        /// The id of the caller's attempt.
        attempt: String,
        /// The route of the outside caller's request.
        root: String,
        /// When the caller had left: `reading` (by the time the request was read), `waiting` (which
        /// ended the request) or `answered` (the answer was already there).
        noticed: &'static str,
        /// Whether the request was completed.
        answered: bool,
        /// Time from reading the request's head to noticing that the caller had left, in
        /// milliseconds.
        took_ms: u64,
    }
}

impl LogEvent {
    /// The catalogue entry of the event.
    pub fn kind(&self) -> &'static EventKind {
        &EVENT_KINDS[self.index()]
    }

    /// The index in the catalogue.
    pub(crate) fn index(&self) -> usize {
        let number = self.number();
        EVENT_KINDS.iter().position(|kind| kind.number == number).unwrap_or(0)
    }
}
