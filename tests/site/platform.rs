//! A simulated table service of the platform.

use std::collections::BTreeMap;

use aspenspring::duty::store::{
    Certainty, Condition, Row, StoreError, StoreEvent, StoreOperation, StoreOutcome, StoreRequest,
};
use serde_json::Value;

/// How the table behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableMode {
    /// Requests are applied and answered.
    #[default]
    Up,
    /// Requests fail without being applied.
    Down,
    /// Requests are applied, but their answers are lost.
    LoseAnswers,
}

/// The table's rows and its current mode.
#[derive(Default)]
pub struct Table {
    pub mode: TableMode,
    rows: BTreeMap<String, Row>,
    version: u64,
}

impl Table {
    /// Handles a request according to the mode.
    pub fn handle(&mut self, request: StoreRequest) -> Option<StoreEvent> {
        let id = request.id;
        let outcome = match self.mode {
            TableMode::Up => Ok(self.execute(request.operation)),
            TableMode::Down => Err(failed(Certainty::NotApplied)),
            TableMode::LoseAnswers => {
                self.execute(request.operation);
                Err(failed(Certainty::MayHaveBeenApplied))
            }
        };
        Some(StoreEvent { id, outcome })
    }

    fn execute(&mut self, operation: StoreOperation) -> StoreOutcome {
        match operation {
            StoreOperation::ReadRows { prefix } => {
                let rows = self.rows.values().filter(|row| row.key.starts_with(&prefix));
                StoreOutcome::Rows(rows.cloned().collect())
            }
            StoreOperation::ReadRow { key } => StoreOutcome::Row(self.rows.get(&key).cloned()),
            StoreOperation::Put { key, value, condition } => self.put(key, value, condition),
            StoreOperation::Delete { key, version } => {
                let present = self.rows.get(&key).cloned();
                if version.is_some() && present.as_ref().map(|row| row.version) != version {
                    return StoreOutcome::Conflict { present };
                }
                self.rows.remove(&key);
                StoreOutcome::Deleted
            }
            StoreOperation::ClaimKey { key, claim } => {
                let value = serde_json::to_value(claim).expect("a claim serializes to JSON");
                self.put(key.clone(), value, Condition::Absent);
                let present = self.rows[&key].value.clone();
                StoreOutcome::Claimed(
                    serde_json::from_value(present).expect("the row holds a claim"),
                )
            }
        }
    }

    fn put(&mut self, key: String, value: Value, condition: Condition) -> StoreOutcome {
        let present = self.rows.get(&key).cloned();
        let is_met = match condition {
            Condition::Any => true,
            Condition::Absent => present.is_none(),
            Condition::Version(version) => {
                present.as_ref().is_some_and(|row| row.version == version)
            }
        };
        if !is_met {
            return StoreOutcome::Conflict { present };
        }
        self.version += 1;
        let version = self.version;
        self.rows.insert(key.clone(), Row { key, version, value });
        StoreOutcome::Written { version }
    }
}

fn failed(certainty: Certainty) -> StoreError {
    StoreError { certainty, cause: "simulated failure".to_owned() }
}
