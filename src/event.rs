//! Numbered log events: the one enum, how they are written, and how a flood of them is cut.
//!
//! A number is never given to another event; `docs/EVENTS.md` lists all of them for operators.

mod field;
mod flood;
mod log;

use std::net::SocketAddr;

use slog::{KV, Level as Severity, Record};

use self::field::ToLog;
use crate::call::{ArmId, AttemptId, ClassRank, Key, Level, NodeId, RootId};

pub use self::flood::{FloodGate, REQUESTS_PER_WINDOW};
pub use self::log::EventLog;

/// What the catalogue says about one kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventKind {
    /// The stable number.
    pub number: u16,
    /// The name, as in the enum.
    pub name: &'static str,
    /// How severe it is.
    pub severity: Severity,
    /// The names of its fields, in order.
    pub fields: &'static [&'static str],
}

/// Declares the enum together with its numbers, severities and fields, so that they cannot differ.
macro_rules! log_events {
    ($($(#[$doc:meta])* $number:literal $severity:ident $name:ident {
        $($(#[$field_doc:meta])* $field:ident: $kind:ty,)*
    })*) => {
        /// Something an operator may want to know.
        #[derive(Clone, Debug, PartialEq)]
        pub enum LogEvent {
            $($(#[$doc])* $name { $($(#[$field_doc])* $field: $kind,)* },)*
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
        /// This life of the node.
        node: NodeId,
        /// The name that stays the same over restarts.
        node_name: String,
        /// The service whose target stands beside the node.
        service: String,
        /// The failure domain of the VM.
        failure_domain: String,
        /// The version of the program.
        version: &'static str,
    }
    /// The node could not start, or gave up.
    101 Critical NodeFailed {
        /// What went wrong.
        detail: String,
    }
    /// A listener is bound.
    102 Info ListenerStarted {
        /// Which listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
    }
    /// The node began to leave: it takes no new work.
    110 Info LeavingStarted {
        /// Who asked for it: `signal`, `operator` or `target`.
        asked_by: &'static str,
        /// Calls running or waiting at that moment.
        in_flight: u64,
    }
    /// The node has left; the process ends.
    111 Info LeavingFinished {
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// Calls that were still running when the node stopped waiting.
        cut_off: u64,
    }
    /// The thread of a duty panicked.
    120 Critical DutyPanicked {
        /// The duty.
        duty: &'static str,
        /// What is done about it: `restart` or `exit`.
        consequence: &'static str,
    }
    /// A ring between two threads was full, and an entry was refused.
    121 Warning RingFull {
        /// The ring.
        ring: &'static str,
        /// How many entries it holds.
        entries: u64,
    }
    /// Bodies held in memory reached their limit, and a call was refused.
    122 Warning MemoryFull {
        /// Bytes of bodies held.
        held_bytes: u64,
        /// The limit, in bytes.
        limit_bytes: u64,
    }
    /// A sender took too long for its request and was cut off.
    123 Info SlowSenderCut {
        /// Which listener.
        listener: &'static str,
        /// How many connections were cut at once.
        connections: u64,
    }
    /// The target beside the node announced itself.
    200 Info TargetAnnounced {
        /// Its URL.
        url: String,
        /// Its service.
        service: String,
        /// How many calls it can run at once.
        slots: u32,
        /// How many connections it accepts.
        connections: u32,
    }
    /// The target has been silent for too long.
    201 Error TargetGone {
        /// Its URL.
        url: String,
        /// How long nothing was heard of it, in milliseconds.
        silent_ms: u64,
    }
    /// The target refuses connections, or breaks them off.
    202 Warning TargetUnreachable {
        /// Its URL.
        url: String,
        /// What went wrong.
        detail: String,
    }
    /// A connection to another node is up.
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
        /// Attempts whose outcome has to be asked for.
        unsettled: u64,
        /// What was noticed.
        detail: String,
    }
    /// A node became known.
    310 Info MemberAdded {
        /// The node.
        member: NodeId,
        /// Its service.
        service: String,
        /// Its address for other nodes.
        address: SocketAddr,
        /// Where it was learned from: `table`, `gossip` or `seed`.
        learned_from: &'static str,
    }
    /// A node is taken as gone.
    311 Warning MemberGone {
        /// The node.
        member: NodeId,
        /// Its service.
        service: String,
        /// Why: `silent`, `left`, `replaced` or `expired`.
        reason: &'static str,
    }
    /// The node was paused for longer than its peers wait, and takes no work until it is fresh.
    312 Warning NodeWasPaused {
        /// How long, in milliseconds.
        paused_ms: u64,
    }
    /// The platform's service stopped answering.
    400 Error StoreAway {
        /// `table` or `objects`.
        store: &'static str,
        /// What went wrong.
        detail: String,
        /// How long the question that failed had waited for its answer, in milliseconds.
        asked_ms: u64,
    }
    /// The platform's service answers again.
    401 Info StoreBack {
        /// `table` or `objects`.
        store: &'static str,
        /// How long it was away, in milliseconds.
        away_ms: u64,
    }
    /// A write may or may not have taken effect, and is being settled by reading.
    402 Warning StoreWriteUnknown {
        /// The row.
        row: String,
    }
    /// Calls are being refused: the floor of an arm rose from zero.
    500 Warning OverloadEntered {
        /// The arm.
        arm: ArmId,
        /// Calls below this level are refused.
        floor: Level,
        /// The lowest class of which some calls are still taken.
        class: ClassRank,
        /// Calls waiting.
        queued: u32,
        /// How many calls may run at once.
        limit: u32,
    }
    /// No call is refused any more: the floor of an arm is back at zero.
    501 Info OverloadLeft {
        /// The arm.
        arm: ArmId,
        /// How long calls were refused, in milliseconds.
        lasted_ms: u64,
        /// Calls refused in that time.
        refused: u64,
    }
    /// A call was not tried again because the allowance of its root is used up.
    600 Info RetryRefusedByAllowance {
        /// The root.
        root: RootId,
        /// The arm.
        arm: ArmId,
    }
    /// A call was not tried again because the node's own budget is used up.
    601 Warning RetryRefusedByBudget {
        /// The service that was called.
        service: String,
        /// The arm.
        arm: ArmId,
    }
    /// A call was not tried again because the entry node did not answer.
    602 Warning RetryRefusedByEntryAway {
        /// The root.
        root: RootId,
        /// The entry node.
        entry: NodeId,
    }
    /// It is known what became of an attempt whose connection was lost.
    610 Info FenceSettled {
        /// The attempt.
        attempt: AttemptId,
        /// `answered`, `not_run` or `may_have_run`.
        outcome: &'static str,
        /// How long it took, in milliseconds.
        took_ms: u64,
    }
    /// It could not be found out whether an attempt ran; its caller was told so.
    611 Error FenceUnsettled {
        /// The attempt.
        attempt: AttemptId,
        /// The node that could not be asked.
        peer: NodeId,
    }
    /// An idempotency key was handed to another node for ever.
    620 Info KeyDelegated {
        /// The key.
        key: Key,
        /// The node that may run it now.
        to: NodeId,
    }
    /// A caller's own idempotency key could not be claimed because the table service is away.
    621 Error KeyUnclaimed {
        /// The service that was called.
        service: String,
    }
    /// A configuration is in force.
    700 Info ConfigInForce {
        /// Its version.
        config_version: u64,
        /// Where it was learned from: `start`, `table`, `gossip` or `operator`.
        learned_from: &'static str,
    }
    /// An operator's configuration was accepted.
    701 Info ConfigAccepted {
        /// Its version.
        config_version: u64,
    }
    /// An operator's configuration lost to another one, or was refused as it stood.
    702 Warning ConfigRefused {
        /// The version it was meant to replace.
        expected_version: u64,
        /// `conflict` or `invalid`.
        reason: &'static str,
        /// How many problems it had.
        problems: u64,
    }
    /// An older configuration arrived and was not taken.
    703 Warning ConfigOlderIgnored {
        /// The version in force.
        config_version: u64,
        /// The version that arrived.
        older_version: u64,
    }
    /// Somebody without the operators' key asked for something.
    800 Warning OperatorRefused {
        /// Where the request came from.
        remote: String,
    }
    /// The environment variable of the operators' key is not set; everything is refused.
    801 Warning OperatorKeyUnset {
        /// The name of the variable.
        variable: String,
    }
    /// Spans could not be delivered to the collector.
    900 Warning CollectorAway {
        /// What went wrong.
        detail: String,
        /// Spans dropped by this.
        spans: u64,
    }
    /// The collector takes spans again.
    901 Info CollectorBack {
        /// Spans dropped since it was away.
        dropped_spans: u64,
    }
    /// A node of the mesh has started.
    1000 Info MeshStarted {
        /// The name of its VM.
        node_name: String,
        /// The failure domain of the VM.
        failure_domain: String,
        /// The service of the target beside it, as the settings say.
        service: String,
        /// The version of the program.
        version: &'static str,
        /// Where other nodes reach it.
        address: SocketAddr,
    }
    /// The settings file was read again.
    1001 Info SettingsReread {
        /// `unchanged`, `from_next_start` or `refused`.
        outcome: &'static str,
        /// What is wrong with them; empty where nothing is.
        detail: String,
    }
    /// Something that another process sent could not be used.
    1002 Warning InputRefused {
        /// What it was: `heartbeat`, `configuration` or `connection`.
        input: &'static str,
        /// What is wrong with it.
        detail: String,
    }
    /// What is believed of the target beside the node has changed.
    1010 Info TargetChanged {
        /// The incarnation that takes work; empty where there is none.
        instance: String,
        /// Its service.
        service: String,
        /// `ready`, `cold` or `none`.
        state: &'static str,
        /// What was learnt: `heartbeat`, `farewell`, `refused_connection` or `other_incarnation`.
        learned_from: &'static str,
        /// How many requests it may run at once.
        limit: u32,
    }
    /// The target beside the node has ended with requests running.
    1011 Warning TargetCrashed {
        /// The incarnation.
        instance: String,
        /// Its service.
        service: String,
        /// How many different requests it was running.
        running: u32,
        /// How many requests run by themselves now, as two targets or more have ended with them.
        suspects: u32,
    }
    /// A request is held back, as the targets that began to run it have ended.
    1012 Error RequestHeld {
        /// What all attempts at the request have in common.
        fingerprint: String,
        /// Its path without the query, where this node has had it; otherwise empty.
        path: String,
        /// For how long it is held back, in seconds.
        hold_s: u64,
        /// `crash` (of the target beside this node), `peer` or `table`.
        learned_from: &'static str,
    }
    /// A request that was held back succeeded when it was tried again, and runs like any other.
    1013 Info RequestReleased {
        /// What all attempts at the request have in common.
        fingerprint: String,
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
        /// Calls that waited for its answer; they may have run.
        waiting: u32,
        /// How long nothing had been heard of it, in milliseconds.
        silent_ms: u64,
        /// What was noticed.
        detail: String,
    }
    /// What the node does about the configuration in the store has changed.
    1022 Info FollowerChanged {
        /// `follows`, `substitutes` (for others that do not reach the store) or `hears`.
        role: &'static str,
        /// Whether no node of its failure domain that reaches the store comes before it.
        is_first: bool,
    }
    /// Requests of a route began to be refused for want of room further down, or no longer are.
    1030 Info AdmissionChanged {
        /// The route.
        root: String,
        /// Its service that has the least room; empty where all have some.
        limited_by: String,
        /// The probability of admission, in hundredths.
        admitted_percent: u32,
        /// Requests that ran on all targets of that service together.
        running: u32,
        /// Requests that waited for them.
        waiting: u32,
        /// How many they may run at once.
        limit: u32,
    }
    /// A request got its final answer: one that was refused, failed, repeated or late, or one of the
    /// few others that are written as a sample.
    1040 Info RequestEnded {
        /// The id of the caller's attempt.
        attempt: String,
        /// The route by which a caller's request began it all.
        root: String,
        /// The service that was chosen; empty where none was.
        service: String,
        /// `answered`, `not_run` or `may_have_run`.
        verdict: &'static str,
        /// Why, where it was not answered: the reason's name.
        reason: &'static str,
        /// The status that the caller got.
        status: u32,
        /// The nodes it was offered to, in order; `own` is this one.
        offered: String,
        /// How often it reached a target.
        arrivals: u32,
        /// How long before its end the node that had it last was heard of, in milliseconds.
        heard_ms: u64,
        /// The probability of admission of its route at its end, in hundredths.
        admitted_percent: u32,
        /// The service further down with the least room, where requests of its route are refused for
        /// it.
        limited_by: String,
        /// The team whose key let it in; empty where no key did.
        team: String,
        /// What was known of the team's quota, where the request was beyond it.
        quota: String,
        /// How many repeats the node might still have sent to the service, in hundredths.
        repeats_percent: u32,
        /// The version of the configuration by which it was routed.
        config_version: u64,
        /// Where the request is held back: what all attempts at it have in common; otherwise empty.
        fingerprint: String,
        /// How long it took, in milliseconds.
        took_ms: u64,
    }
    /// A call of another node was refused, or its target failed it.
    1041 Info CallEnded {
        /// The id of the caller's attempt.
        attempt: String,
        /// The route by which a caller's request began it all.
        root: String,
        /// The service that was asked for.
        service: String,
        /// The incarnation of the target at its end; empty where there was none.
        instance: String,
        /// `answered`, `not_run` or `may_have_run`.
        verdict: &'static str,
        /// Why, where it was not answered: the reason's name.
        reason: &'static str,
        /// The status of the target's answer; 0 where there is none.
        status: u32,
        /// What was noticed where the target broke off, or could not be reached; otherwise empty.
        detail: String,
        /// Where the target broke off: the fingerprint of the request, which all its attempts share.
        fingerprint: String,
        /// How long it waited and ran, in milliseconds.
        took_ms: u64,
        /// Requests that the target was running at its end.
        running: u32,
        /// Requests that waited for the target at its end.
        waiting: u32,
        /// How many the target may run at once.
        limit: u32,
    }
    /// The caller of a request left before it had the answer.
    1042 Info CallerLeft {
        /// The id of the caller's attempt.
        attempt: String,
        /// The route by which a caller's request began it all.
        root: String,
        /// When that was noticed: `reading` (the request was read only then), `waiting` (the request ended with
        /// it) or `answered` (the answer was there already).
        noticed: &'static str,
        /// Whether the request was carried through to its answer.
        answered: bool,
        /// How long after its head was read, in milliseconds.
        took_ms: u64,
    }
}

impl LogEvent {
    /// The entry of the catalogue.
    pub fn kind(&self) -> &'static EventKind {
        &EVENT_KINDS[self.index()]
    }

    /// The place in the catalogue.
    pub(crate) fn index(&self) -> usize {
        let number = self.number();
        EVENT_KINDS.iter().position(|kind| kind.number == number).unwrap_or(0)
    }
}
