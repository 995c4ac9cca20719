//! Requests to the platform's table service and the handling of their answers.

use serde_json::Value;

use crate::call::key::claim_row_key;
use crate::call::{Key, KeyLifetime, RefusalReason, Verdict};
use crate::configuration::{Accepted, ConfigurationEvent, ROW_KEY, RowRead, RowWrite, TableRow};
use crate::duty::store::{
    Certainty, Claim, Condition, Row, StoreError, StoreEvent, StoreOperation, StoreOutcome,
    StoreRequest,
};
use crate::membership::{Member, MemberRow, MembershipEvent};
use crate::routing::PickRequest;

use super::Node;
use super::event::NodeAction;
use super::hop::{HopId, HopKey, HopState};

/// The retry-after sent to callers whose key could not be claimed, in milliseconds.
const UNCLAIMED_RETRY_MS: u32 = 2_000;

/// The purpose of a request to the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StoreRequestPurpose {
    /// Write the node's own row.
    MemberWrite,
    /// Delete the row of a member that is gone.
    MemberDelete,
    /// Read the rows of a service's members.
    Members {
        /// The service.
        service: String,
    },
    /// Read the configuration's row.
    ConfigurationRead,
    /// Write the configuration's row.
    ConfigurationWrite {
        /// The random ID of the submission.
        submission: u64,
    },
    /// Claim the key of a hop.
    Claim(HopId),
}

impl Node {
    /// Sends a request to the table service.
    pub(super) fn send_store_request(
        &mut self,
        purpose: StoreRequestPurpose,
        operation: StoreOperation,
        out: &mut Vec<NodeAction>,
    ) {
        let id = self.next_sequence();
        self.store_requests.insert(id, purpose);
        out.push(NodeAction::Store(StoreRequest { id, operation }));
    }

    /// Handles an answer from the table service.
    pub(super) fn on_store_event(
        &mut self,
        now_us: u64,
        event: StoreEvent,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(purpose) = self.store_requests.remove(&event.id) else { return };
        match purpose {
            StoreRequestPurpose::MemberWrite => {
                let event = member_write_event(event.outcome);
                self.notify_membership(now_us, event, out);
            }
            StoreRequestPurpose::Members { service } => {
                self.on_members_read(now_us, &service, event.outcome, out);
            }
            StoreRequestPurpose::ConfigurationRead => {
                let read = ConfigurationEvent::RowRead(row_read_result(event.outcome));
                self.notify_configuration(now_us, read, out);
            }
            StoreRequestPurpose::ConfigurationWrite { submission } => {
                let write = row_write_result(event.outcome);
                let written = ConfigurationEvent::RowWritten { submission, write };
                self.notify_configuration(now_us, written, out);
            }
            StoreRequestPurpose::Claim(hop) => self.on_claim(now_us, hop, event.outcome, out),
            // A row that could not be deleted is found by a later read and deleted then.
            StoreRequestPurpose::MemberDelete => {}
        }
    }

    /// Writes the node's own row.
    pub(super) fn write_member(
        &mut self,
        member: &Member,
        expected: Option<u64>,
        out: &mut Vec<NodeAction>,
    ) {
        let operation = StoreOperation::Put {
            key: member.row_key(),
            value: serde_json::to_value(member).unwrap_or(Value::Null),
            condition: expected.map_or(Condition::Absent, Condition::Version),
        };
        self.send_store_request(StoreRequestPurpose::MemberWrite, operation, out);
    }

    /// Writes the configuration's row.
    pub(super) fn write_configuration(
        &mut self,
        expected: Option<u64>,
        accepted: &Accepted,
        out: &mut Vec<NodeAction>,
    ) {
        let operation = StoreOperation::Put {
            key: ROW_KEY.to_owned(),
            value: accepted.to_value().unwrap_or(Value::Null),
            condition: expected.map_or(Condition::Absent, Condition::Version),
        };
        let purpose =
            StoreRequestPurpose::ConfigurationWrite { submission: accepted.entry.submission };
        self.send_store_request(purpose, operation, out);
    }

    /// Handles the rows of a service's members.
    fn on_members_read(
        &mut self,
        now_us: u64,
        service: &str,
        outcome: Result<StoreOutcome, StoreError>,
        out: &mut Vec<NodeAction>,
    ) {
        let Ok(StoreOutcome::Rows(rows)) = outcome else {
            self.notify_membership(now_us, MembershipEvent::ReadFailed { service }, out);
            return;
        };
        let rows = rows.into_iter().filter_map(parse_member_row).collect();
        self.notify_membership(now_us, MembershipEvent::RowsRead { service, rows }, out);
    }

    /// Claims a caller-supplied key, which binds it to an owner.
    pub(super) fn claim_key(
        &mut self,
        now_us: u64,
        id: HopId,
        text: &str,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(hop) = self.hops.get(&id) else { return };
        let key = claim_row_key(&hop.service, text);
        let pick = PickRequest {
            service: &hop.service,
            arm: hop.arm,
            class: hop.class,
            level: hop.level,
            avoid: &[],
        };
        match self.router.pick(now_us, &pick, &mut self.rng) {
            Ok(owner) => {
                let minted = self.mint_key(now_us, owner, KeyLifetime::Caller);
                let claim = Claim {
                    owner: minted.owner,
                    nonce: minted.nonce,
                    minted_unix_ms: minted.minted_unix_ms,
                };
                self.set_state(id, HopState::Claiming);
                self.send_store_request(
                    StoreRequestPurpose::Claim(id),
                    StoreOperation::ClaimKey { key, claim },
                    out,
                );
            }
            Err(refusal) => self.finish_hop(now_us, id, Verdict::NotRun(refusal), out),
        }
    }

    /// Handles the table service's answer to the claim of a hop's key.
    fn on_claim(
        &mut self,
        now_us: u64,
        id: HopId,
        outcome: Result<StoreOutcome, StoreError>,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(hop) = self.hops.get_mut(&id) else { return };
        if hop.state != HopState::Claiming {
            return;
        }
        if let Ok(StoreOutcome::Claimed(claim)) = outcome {
            let Claim { owner, nonce, minted_unix_ms } = claim;
            hop.key = HopKey::Minted(Key { owner, minted_unix_ms, nonce });
            self.start_attempt(now_us, id, out);
            return;
        }
        // Whether or not the claim was applied, no attempt was sent for this request.
        let verdict = Verdict::not_run(RefusalReason::KeyUnclaimed, UNCLAIMED_RETRY_MS);
        self.finish_hop(now_us, id, verdict, out);
    }
}

/// The membership event for the outcome of writing the node's own row.
fn member_write_event(outcome: Result<StoreOutcome, StoreError>) -> MembershipEvent<'static> {
    match outcome {
        Ok(StoreOutcome::Written { version }) => MembershipEvent::RowWritten { version },
        Ok(StoreOutcome::Conflict { present }) => {
            let version = present.as_ref().map(|row| row.version);
            let present = present.and_then(parse_member_row).map(|row| row.member);
            MembershipEvent::RowConflict { version, present }
        }
        _ => MembershipEvent::WriteFailed,
    }
}

/// Parses a member's row; none if it is malformed.
fn parse_member_row(row: Row) -> Option<MemberRow> {
    MemberRow::parse(&row.value, row.version)
}

/// The result of reading the configuration's row.
fn row_read_result(outcome: Result<StoreOutcome, StoreError>) -> RowRead {
    match outcome {
        Ok(StoreOutcome::Row(Some(row))) => {
            parse_table_row(row).map_or(RowRead::Failed, RowRead::Present)
        }
        Ok(StoreOutcome::Row(None)) => RowRead::Absent,
        _ => RowRead::Failed,
    }
}

/// The result of writing the configuration's row.
fn row_write_result(outcome: Result<StoreOutcome, StoreError>) -> RowWrite {
    match outcome {
        Ok(StoreOutcome::Written { version }) => RowWrite::Written { row_version: version },
        Ok(StoreOutcome::Conflict { present }) => {
            RowWrite::Conflict { present: present.and_then(parse_table_row) }
        }
        Err(error) if error.certainty == Certainty::NotApplied => RowWrite::NotApplied,
        _ => RowWrite::MayHaveBeenApplied,
    }
}

/// Parses the configuration's row; none if it is malformed.
fn parse_table_row(row: Row) -> Option<TableRow> {
    TableRow::parse(&row.value, row.version)
}
