//! The platform's table, made up.

use std::collections::BTreeMap;

use aspenspring::duty::store::{
    Certainty, Condition, Row, StoreError, StoreEvent, StoreOperation, StoreOutcome, StoreRequest,
};
use serde_json::Value;

/// How the table behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableMode {
    /// It answers.
    #[default]
    Up,
    /// It refuses everything.
    Down,
    /// It does what it is asked for and loses the answer.
    LosesAnswers,
}

/// The rows.
#[derive(Default)]
pub struct Table {
    pub mode: TableMode,
    rows: BTreeMap<String, Row>,
    version: u64,
}

impl Table {
    /// Does what is asked for.
    pub fn take(&mut self, request: StoreRequest) -> Option<StoreEvent> {
        let id = request.id;
        let outcome = match self.mode {
            TableMode::Up => Ok(self.carry_out(request.operation)),
            TableMode::Down => Err(failed(Certainty::NotApplied)),
            TableMode::LosesAnswers => {
                self.carry_out(request.operation);
                Err(failed(Certainty::MayHaveBeenApplied))
            }
        };
        Some(StoreEvent { id, outcome })
    }

    fn carry_out(&mut self, operation: StoreOperation) -> StoreOutcome {
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
                let value = serde_json::to_value(claim).expect("a claim has a form in JSON");
                self.put(key.clone(), value, Condition::Absent);
                let stands = self.rows[&key].value.clone();
                StoreOutcome::Claimed(serde_json::from_value(stands).expect("a claim was written"))
            }
        }
    }

    fn put(&mut self, key: String, value: Value, condition: Condition) -> StoreOutcome {
        let present = self.rows.get(&key).cloned();
        let fits = match condition {
            Condition::Any => true,
            Condition::Absent => present.is_none(),
            Condition::Version(version) => {
                present.as_ref().is_some_and(|row| row.version == version)
            }
        };
        if !fits {
            return StoreOutcome::Conflict { present };
        }
        self.version += 1;
        let version = self.version;
        self.rows.insert(key.clone(), Row { key, version, value });
        StoreOutcome::Written { version }
    }
}

fn failed(certainty: Certainty) -> StoreError {
    StoreError { certainty, cause: "made up".to_owned() }
}
