//! The thread that writes down what the node is told.
//!
//! Events come through a bounded ring, so that the decider never waits for the disk. Where the ring
//! is full, or holds too many bytes of bodies, the recording ends with a line that says so.

use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;

use crossbeam_channel::{Receiver, Sender, bounded};
use eyre::{WrapErr, eyre};
use serde::Serialize;

use crate::call::{Message, Verdict};
use crate::node::{NodeEvent, TargetOutcome};
use crate::replay::{End, Header, Line};

/// How many events may wait to be written.
const RING_ENTRIES: usize = 4_096;
/// How many bytes of bodies may wait to be written.
pub const BODIES_MAX_BYTES: usize = 64 * 1024 * 1024;
/// The file holds what callers sent, so nobody else may read it.
const FILE_MODE: u32 = 0o600;

/// Hands events to the thread that writes them.
#[derive(Debug, Default)]
pub struct Recorder {
    /// The ring, while the recording goes on.
    ring: Option<Sender<Line>>,
    /// The bytes of bodies that wait.
    waiting_bytes: Arc<AtomicUsize>,
}

/// The thread that writes.
#[derive(Debug)]
pub struct RecorderDuty(JoinHandle<eyre::Result<()>>);

impl Recorder {
    /// Hands an event over, or ends the recording where there is no room.
    pub fn take(&mut self, at_us: u64, event: &NodeEvent) {
        let Some(ring) = &self.ring else { return };
        let bytes = body_bytes(event);
        // The writer subtracts only what was added here before.
        let waiting = self.waiting_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let line = Line { at_us: Some(at_us), event: Some(event.clone()), end: None };
        if waiting > BODIES_MAX_BYTES || ring.try_send(line).is_err() {
            self.ring = None;
        }
    }

    /// Says that the node has ended and that nothing is missing.
    pub fn finish(&mut self) {
        let Some(ring) = self.ring.take() else { return };
        // The writer tells about its own failure.
        let _ = ring.send(Line { end: Some(End::Complete), ..Line::default() });
    }
}

impl RecorderDuty {
    /// Waits until everything is written.
    ///
    /// # Errors
    ///
    /// The file could not be written.
    pub fn stop(self) -> eyre::Result<()> {
        self.0.join().map_err(|_| eyre!("the thread that records has panicked"))?
    }
}

/// Starts a recording in a new file.
///
/// # Errors
///
/// The file exists or cannot be written, or the thread cannot be started.
pub fn start(path: &Path, header: &Header) -> eyre::Result<(Recorder, RecorderDuty)> {
    let file = OpenOptions::new().write(true).create_new(true).mode(FILE_MODE).open(path);
    let file = file.wrap_err_with(|| format!("{} cannot be made", path.display()))?;
    let mut file = BufWriter::new(file);
    write_line(&mut file, header)?;
    let (ring, taken) = bounded(RING_ENTRIES);
    let waiting_bytes = Arc::default();
    let written = Arc::clone(&waiting_bytes);
    let shown = path.display().to_string();
    let thread = std::thread::Builder::new().name("recorder".to_owned()).spawn(move || {
        write_all(file, &taken, &written).wrap_err_with(|| format!("{shown} cannot be written"))
    })?;
    Ok((Recorder { ring: Some(ring), waiting_bytes }, RecorderDuty(thread)))
}

/// Writes until the ring is closed.
fn write_all(
    mut file: BufWriter<File>,
    ring: &Receiver<Line>,
    waiting_bytes: &AtomicUsize,
) -> eyre::Result<()> {
    let mut is_complete = false;
    while let Ok(line) = ring.recv() {
        is_complete = line.end.is_some();
        write_line(&mut file, &line)?;
        let bytes = line.event.as_ref().map_or(0, body_bytes);
        waiting_bytes.fetch_sub(bytes, Ordering::Relaxed);
        if ring.is_empty() {
            file.flush()?;
        }
    }
    if !is_complete {
        write_line(&mut file, &Line { end: Some(End::Incomplete), ..Line::default() })?;
    }
    Ok(file.flush()?)
}

/// Writes one line.
fn write_line(file: &mut BufWriter<File>, line: &impl Serialize) -> eyre::Result<()> {
    serde_json::to_writer(&mut *file, line)?;
    Ok(file.write_all(b"\n")?)
}

/// The bytes of an event's body, which the event keeps in memory while it waits.
fn body_bytes(event: &NodeEvent) -> usize {
    match event {
        NodeEvent::CallerCall(incoming) | NodeEvent::TargetCall { incoming, .. } => {
            incoming.request.body.len()
        }
        NodeEvent::PeerRequest { message, .. }
        | NodeEvent::PeerReply { message, .. }
        | NodeEvent::SendFailed { message } => match message {
            Message::Call(frame) => frame.request.body.len(),
            Message::Answer(answer) => match &answer.verdict {
                Verdict::Answered(answer) => answer.body.len(),
                Verdict::NotRun(_) | Verdict::MayHaveRun(_) => 0,
            },
            Message::Gossip(bytes) | Message::Configuration(bytes) => bytes.len(),
            _ => 0,
        },
        NodeEvent::TargetEnded { outcome: TargetOutcome::Answered(answer), .. } => {
            answer.body.len()
        }
        NodeEvent::Submit(submit) => submit.document.len(),
        _ => 0,
    }
}
