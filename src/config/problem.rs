//! What is wrong with a file of settings.

use std::fmt;
use std::path::PathBuf;

use serde::Serialize;

/// One thing that is wrong, with what would be right.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The file it stands in; absent for rules that came from no file.
    pub file: Option<PathBuf>,
    /// The JSON pointer (RFC 6901) of the value within the file.
    pub path: String,
    /// What was found there.
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

/// A problem at a place of the merged settings, before it is traced back to a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Finding {
    /// The JSON pointer of the value within the merged settings.
    pub pointer: String,
    /// What was found there.
    pub found: String,
    /// What would be accepted instead.
    pub accepted: String,
    /// Whether the value is missing altogether.
    pub is_absent: bool,
}

impl Finding {
    /// A finding that there is nothing at `pointer`.
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
