//! Reads the recorded data of one run: call records and metrics scrapes.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::scrape::CountersByArm;
use crate::standin::load::{BUCKET_MS, Record, Window};

/// The file with one JSON line per call, as written by `standin load --out`.
const RECORDS_FILE: &str = "records.jsonl";
/// The file extension of a metrics scrape taken after the run.
const SCRAPE_EXTENSION: &str = "prom";
/// The second file extension of a scrape taken before the run, after [`SCRAPE_EXTENSION`].
const BEFORE_EXTENSION: &str = "before";

/// An error reading a run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A file or the directory cannot be read.
    #[error("cannot read {file}")]
    Unreadable {
        /// The file or directory.
        file: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A line is not a valid call record.
    #[error("{file}: line {line} is not a valid call record")]
    InvalidRecord {
        /// The file.
        file: PathBuf,
        /// The line number, counted from 1.
        line: usize,
        /// The JSON error.
        source: serde_json::Error,
    },
}

/// The recorded data of one run.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The outcome of each call.
    pub records: Vec<Record>,
    /// The counters of each arm, summed over the nodes.
    pub counters: CountersByArm,
}

impl Run {
    /// Reads a run from the directory `dir`: `records.jsonl` and, for each node, a metrics scrape
    /// taken after the run, `NAME.prom`. If there is a `NAME.prom.before`, its counters are
    /// subtracted.
    ///
    /// # Errors
    ///
    /// A directory or file cannot be read, or a line is not a valid record.
    pub fn read(dir: &Path) -> Result<Self, RunError> {
        let mut run = Self::default();
        let file = dir.join(RECORDS_FILE);
        for (index, line) in read(&file)?.lines().enumerate() {
            let record = serde_json::from_str(line).map_err(|source| RunError::InvalidRecord {
                file: file.clone(),
                line: index + 1,
                source,
            })?;
            run.records.push(record);
        }
        for scrape in scrapes(dir)? {
            run.counters.add(&read(&scrape)?);
            let before = scrape.with_extension(format!("{SCRAPE_EXTENSION}.{BEFORE_EXTENSION}"));
            if before.exists() {
                run.counters.subtract(&read(&before)?);
            }
        }
        Ok(run)
    }

    /// The records of calls scheduled in `window`.
    pub fn records_in(&self, window: Window) -> Vec<Record> {
        let range = window.from_ms as f64..window.to_ms as f64;
        self.records.iter().filter(|record| range.contains(&record.at_ms)).cloned().collect()
    }

    /// The time over which calls were scheduled, in milliseconds, rounded up to whole buckets.
    pub fn duration_ms(&self) -> u64 {
        let last_ms = self.records.iter().map(|record| record.at_ms).fold(0.0, f64::max);
        (last_ms as u64 / BUCKET_MS + 1) * BUCKET_MS
    }
}

/// The scrapes in a directory that were taken after the run, sorted by path.
fn scrapes(dir: &Path) -> Result<Vec<PathBuf>, RunError> {
    let unreadable = |source| RunError::Unreadable { file: dir.to_path_buf(), source };
    let mut scrapes = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(unreadable)? {
        let file = entry.map_err(unreadable)?.path();
        if file.extension().is_some_and(|extension| extension == SCRAPE_EXTENSION) {
            scrapes.push(file);
        }
    }
    scrapes.sort();
    Ok(scrapes)
}

fn read(file: &Path) -> Result<String, RunError> {
    std::fs::read_to_string(file)
        .map_err(|source| RunError::Unreadable { file: file.to_path_buf(), source })
}
