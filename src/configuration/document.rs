//! An accepted configuration as it is stored in the table service and sent between nodes.

use serde::{Deserialize, Serialize};

/// Maximum number of earlier acceptances in a row's history.
pub(super) const HISTORY_MAX: usize = 16;

/// One acceptance, without its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The accepted version.
    pub version: u64,
    /// The random ID of the submission, by which its sender recognises it.
    pub submission: u64,
    /// Who submitted it.
    pub by: String,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The version, who submitted it and when.
    pub entry: HistoryEntry,
    /// The document as JSON text: the base and the overlay of each site.
    pub document: String,
    /// Earlier acceptances, newest first.
    pub history: Vec<HistoryEntry>,
}

impl Accepted {
    /// The accepted version.
    pub fn version(&self) -> u64 {
        self.entry.version
    }

    /// The entry of `submission` if it was accepted and is still in the history.
    pub fn find(&self, submission: u64) -> Option<&HistoryEntry> {
        let mut entries = std::iter::once(&self.entry).chain(&self.history);
        entries.find(|entry| entry.submission == submission)
    }

    /// The history for the acceptance that follows this one.
    pub(super) fn next_history(&self) -> Vec<HistoryEntry> {
        let entries = std::iter::once(&self.entry).chain(&self.history);
        entries.take(HISTORY_MAX).cloned().collect()
    }
}

/// The value of the configuration row in the table service.
#[derive(Serialize, Deserialize)]
struct RowValue {
    #[serde(flatten)]
    entry: HistoryEntry,
    /// The base and the overlays, as JSON.
    document: serde_json::Value,
    #[serde(default)]
    history: Vec<HistoryEntry>,
}

impl Accepted {
    /// The value to store in the row; none if the document is not JSON.
    pub fn to_value(&self) -> Option<serde_json::Value> {
        let value = RowValue {
            entry: self.entry.clone(),
            document: serde_json::from_str(&self.document).ok()?,
            history: self.history.clone(),
        };
        serde_json::to_value(value).ok()
    }
}

impl TableRow {
    /// Parses the value of a row; none if it is malformed.
    pub fn parse(value: &serde_json::Value, row_version: u64) -> Option<Self> {
        let RowValue { entry, document, history } = RowValue::deserialize(value).ok()?;
        let accepted = Accepted { entry, document: document.to_string(), history };
        Some(Self { row_version, accepted })
    }
}

/// The row of the accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// The version that the table service assigned to the row; not the configuration's version.
    pub row_version: u64,
    /// The value.
    pub accepted: Accepted,
}
