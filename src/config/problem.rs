//! Problems found in settings.

use std::fmt;
use std::path::PathBuf;

use serde::Serialize;

/// An invalid or missing value, with what would be accepted instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The file with the value; `None` for rules that were not read from a file.
    pub file: Option<PathBuf>,
    /// The JSON pointer (RFC 6901) of the value within the file.
    pub path: String,
    /// What was found.
    pub found: String,
    /// What would be accepted instead.
    pub accepted: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{}: ", file.display())?;
        }
        let path = if self.path.is_empty() { "/" } else { &self.path };
        write!(f, "{path}: found {}; accepted: {}", self.found, self.accepted)
    }
}

/// A problem in the merged settings, before its origin in a file is looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Finding {
    /// The JSON pointer of the value within the merged settings.
    pub pointer: String,
    /// What was found.
    pub found: String,
    /// What would be accepted instead.
    pub accepted: String,
    /// Whether the value is missing.
    pub is_absent: bool,
}

impl Finding {
    /// A finding that the value at `pointer` is missing.
    pub fn absent(pointer: impl Into<String>, accepted: impl Into<String>) -> Self {
        Self { is_absent: true, ..Self::new(pointer, "nothing", accepted) }
    }

    /// A finding at `pointer`.
    pub fn new(
        pointer: impl Into<String>,
        found: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Self {
        Self {
            pointer: pointer.into(),
            found: found.into(),
            accepted: accepted.into(),
            is_absent: false,
        }
    }
}
