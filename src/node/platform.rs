//! What the node asks the platform's table service, and what it makes of the answers.

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

/// When a caller should come back whose key could not be claimed, in milliseconds.
const UNCLAIMED_RETRY_MS: u32 = 2_000;

/// What a request to the table service was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Asked {
    /// To write the node's own row.
    MemberWrite,
    /// To delete the row of a member that is gone.
    MemberDelete,
    /// To read the rows of a service.
    Members {
        /// The service.
        service: String,
    },
    /// To read the configuration's row.
    ConfigurationRead,
    /// To write the configuration's row.
    ConfigurationWrite {
        /// The random number of the submission.
        submission: u64,
    },
    /// To claim the key of a hop.
    Claim(HopId),
}

impl Node {
    /// Asks the table service for something.
    pub(super) fn ask_store(
        &mut self,
        asked: Asked,
        operation: StoreOperation,
        out: &mut Vec<NodeAction>,
    ) {
        let id = self.next_sequence();
        self.asked.insert(id, asked);
        out.push(NodeAction::Store(StoreRequest { id, operation }));
    }

    /// Takes in an answer of the table service.
    pub(super) fn take_store_event(
        &mut self,
        now_us: u64,
        event: StoreEvent,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(asked) = self.asked.remove(&event.id) else { return };
        match asked {
            Asked::MemberWrite => {
                let told = member_written(event.outcome);
                self.tell_membership(now_us, told, out);
            }
            Asked::Members { service } => {
                self.take_members(now_us, &service, event.outcome, out);
            }
            Asked::ConfigurationRead => {
                let read = ConfigurationEvent::TableRead(row_read(event.outcome));
                self.tell_configuration(now_us, read, out);
            }
            Asked::ConfigurationWrite { submission } => {
                let write = row_written(event.outcome);
                let written = ConfigurationEvent::TableWritten { submission, write };
                self.tell_configuration(now_us, written, out);
            }
            Asked::Claim(hop) => self.take_claim(now_us, hop, event.outcome, out),
            // A row that could not be deleted is seen, and deleted, again.
            Asked::MemberDelete => {}
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
        self.ask_store(Asked::MemberWrite, operation, out);
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
        let asked = Asked::ConfigurationWrite { submission: accepted.entry.submission };
        self.ask_store(asked, operation, out);
    }

    /// Takes in the rows of a service.
    fn take_members(
        &mut self,
        now_us: u64,
        service: &str,
        outcome: Result<StoreOutcome, StoreError>,
        out: &mut Vec<NodeAction>,
    ) {
        let Ok(StoreOutcome::Rows(rows)) = outcome else {
            self.tell_membership(now_us, MembershipEvent::ReadFailed { service }, out);
            return;
        };
        let rows = rows.into_iter().filter_map(member_row).collect();
        self.tell_membership(now_us, MembershipEvent::RowsRead { service, rows }, out);
    }

    /// Asks the platform who owns a key of the caller's own making.
    pub(super) fn claim(&mut self, now_us: u64, id: HopId, text: &str, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        let key = claim_row_key(&hop.service, text);
        let ask = PickRequest {
            service: &hop.service,
            arm: hop.arm,
            class: hop.class,
            level: hop.level,
            avoid: &[],
        };
        match self.router.pick(now_us, &ask, &mut self.rng) {
            Ok(owner) => {
                let minted = self.mint(now_us, owner, KeyLifetime::Caller);
                let claim = Claim {
                    owner: minted.owner,
                    nonce: minted.nonce,
                    minted_unix_ms: minted.minted_unix_ms,
                };
                self.enter(id, HopState::Claiming);
                self.ask_store(Asked::Claim(id), StoreOperation::ClaimKey { key, claim }, out);
            }
            Err(refusal) => self.conclude(now_us, id, Verdict::NotRun(refusal), out),
        }
    }

    /// Takes in who owns the key of a hop.
    fn take_claim(
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
            hop.key = HopKey::Brought(Key { owner, minted_unix_ms, nonce });
            self.attempt(now_us, id, out);
            return;
        }
        // Nothing was sent to any target for this request, whatever became of the claim.
        let verdict = Verdict::not_run(RefusalReason::KeyUnclaimed, UNCLAIMED_RETRY_MS);
        self.conclude(now_us, id, verdict, out);
    }
}

/// What the membership is told of a write of its row.
fn member_written(outcome: Result<StoreOutcome, StoreError>) -> MembershipEvent<'static> {
    match outcome {
        Ok(StoreOutcome::Written { version }) => MembershipEvent::RowWritten { version },
        Ok(StoreOutcome::Conflict { present }) => {
            let version = present.as_ref().map(|row| row.version);
            let present = present.and_then(member_row).map(|row| row.member);
            MembershipEvent::RowConflict { version, present }
        }
        _ => MembershipEvent::WriteFailed,
    }
}

/// A row as the membership sees it, or none where it makes no sense.
fn member_row(row: Row) -> Option<MemberRow> {
    MemberRow::parse(&row.value, row.version)
}

/// What came of reading the configuration's row.
fn row_read(outcome: Result<StoreOutcome, StoreError>) -> RowRead {
    match outcome {
        Ok(StoreOutcome::Row(Some(row))) => {
            table_row(row).map_or(RowRead::Failed, RowRead::Present)
        }
        Ok(StoreOutcome::Row(None)) => RowRead::Absent,
        _ => RowRead::Failed,
    }
}

/// What came of writing the configuration's row.
fn row_written(outcome: Result<StoreOutcome, StoreError>) -> RowWrite {
    match outcome {
        Ok(StoreOutcome::Written { version }) => RowWrite::Written { row_version: version },
        Ok(StoreOutcome::Conflict { present }) => {
            RowWrite::Conflict { present: present.and_then(table_row) }
        }
        Err(error) if error.certainty == Certainty::NotApplied => RowWrite::NotApplied,
        _ => RowWrite::MayHaveBeenApplied,
    }
}

/// The configuration's row, or none where it makes no sense.
fn table_row(row: Row) -> Option<TableRow> {
    TableRow::parse(&row.value, row.version)
}
