//! Reads what was kept of one run.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::scrape::Counts;
use crate::standin::load::{BUCKET_MS, Record, Window};

/// The file with a line of JSON for each call, as `standin load --out` writes it.
const RECORDS: &str = "records.jsonl";
/// What the names of scraped metrics end with.
const SCRAPE: &str = "prom";
/// What is added to the name of a scrape for the one that was taken before the run.
const BEFORE: &str = "before";

/// Why a run cannot be read.
#[derive(Debug, Error)]
pub enum RunError {
    /// A file or the directory cannot be read.
    #[error("{file} cannot be read")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A line is no record of a call.
    #[error("{file}: line {line} is no record of a call")]
    NoRecord {
        /// The file.
        file: PathBuf,
        /// The number of the line, from 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
}

/// One run.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// What became of each call.
    pub records: Vec<Record>,
    /// What the nodes counted, all together.
    pub counts: Counts,
}

impl Run {
    /// Reads the run in the directory `dir`: `records.jsonl`, and for each node a scrape of its
    /// metrics after the run, `NAME.prom`. Where there is a `NAME.prom.before`, what it counts is
    /// taken off.
    ///
    /// # Errors
    ///
    /// A directory or file that cannot be read, or a line that is no record.
    pub fn read(dir: &Path) -> Result<Self, RunError> {
        let mut run = Self::default();
        let file = dir.join(RECORDS);
        for (index, line) in read(&file)?.lines().enumerate() {
            let record = serde_json::from_str(line).map_err(|source| RunError::NoRecord {
                file: file.clone(),
                line: index + 1,
                source,
            })?;
            run.records.push(record);
        }
        for scrape in scrapes(dir)? {
            run.counts.add(&read(&scrape)?);
            let before = scrape.with_extension(format!("{SCRAPE}.{BEFORE}"));
            if before.exists() {
                run.counts.take_off(&read(&before)?);
            }
        }
        Ok(run)
    }

    /// The calls that were due in `window`.
    pub fn during(&self, window: Window) -> Vec<Record> {
        let range = window.from_ms as f64..window.to_ms as f64;
        self.records.iter().filter(|record| range.contains(&record.at_ms)).cloned().collect()
    }

    /// How long calls were offered, in milliseconds, in whole buckets.
    pub fn length_ms(&self) -> u64 {
        let last_ms = self.records.iter().map(|record| record.at_ms).fold(0.0, f64::max);
        (last_ms as u64 / BUCKET_MS + 1) * BUCKET_MS
    }
}

/// The scrapes in a directory that were taken after the run.
fn scrapes(dir: &Path) -> Result<Vec<PathBuf>, RunError> {
    let unreadable = |source| RunError::Unreadable { file: dir.to_path_buf(), source };
    let mut scrapes = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(unreadable)? {
        let file = entry.map_err(unreadable)?.path();
        if file.extension().is_some_and(|extension| extension == SCRAPE) {
            scrapes.push(file);
        }
    }
    scrapes.sort();
    Ok(scrapes)
}

/// The text of a file.
fn read(file: &Path) -> Result<String, RunError> {
    std::fs::read_to_string(file)
        .map_err(|source| RunError::Unreadable { file: file.to_path_buf(), source })
}
