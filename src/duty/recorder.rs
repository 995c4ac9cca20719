//! Records the node's input events to a file, on a separate thread.
//!
//! Events are queued in a bounded ring, so that the decider never waits for the disk. If the ring is
//! full or holds too many body bytes, the recording stops and ends with a line that marks it incomplete.

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

/// The maximum number of events waiting to be written.
const RING_ENTRIES: usize = 4_096;
/// The maximum number of body bytes waiting to be written.
pub const BODIES_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Owner access only, because the file contains callers' requests.
const FILE_MODE: u32 = 0o600;

/// Queues events for the writer thread. The default value records nothing.
#[derive(Debug, Default)]
pub struct Recorder {
    /// The ring; `None` once the recording has stopped.
    ring: Option<Sender<Line>>,
    /// The body bytes waiting to be written.
    queued_bytes: Arc<AtomicUsize>,
}

/// The writer thread.
#[derive(Debug)]
pub struct RecorderThread(JoinHandle<eyre::Result<()>>);

impl Recorder {
    /// Queues an event, or stops the recording if the ring has no room for it.
    pub fn record(&mut self, at_us: u64, event: &NodeEvent) {
        let Some(ring) = &self.ring else { return };
        let bytes = body_bytes(event);
        // The writer subtracts the bytes of a line only after they were added here.
        let queued = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let line = Line { at_us: Some(at_us), event: Some(event.clone()), end: None };
        if queued > BODIES_MAX_BYTES || ring.try_send(line).is_err() {
            self.ring = None;
        }
    }

    /// Marks the recording as complete, after the node has ended.
    pub fn finish(&mut self) {
        let Some(ring) = self.ring.take() else { return };
        // If the writer has failed, `RecorderThread::stop` returns its error.
        let _ = ring.send(Line { end: Some(End::Complete), ..Line::default() });
    }
}

impl RecorderThread {
    /// Waits until all queued events are written.
    ///
    /// # Errors
    ///
    /// If the file could not be written or the thread panicked.
    pub fn stop(self) -> eyre::Result<()> {
        self.0.join().map_err(|_| eyre!("recorder thread panicked"))?
    }
}

/// Starts a recording in a new file.
///
/// # Errors
///
/// If the file exists or cannot be written, or the thread cannot be started.
pub fn start(path: &Path, header: &Header) -> eyre::Result<(Recorder, RecorderThread)> {
    let file = OpenOptions::new().write(true).create_new(true).mode(FILE_MODE).open(path);
    let file = file.wrap_err_with(|| format!("cannot create recording {}", path.display()))?;
    let mut file = BufWriter::new(file);
    write_line(&mut file, header)?;
    let (ring, receiver) = bounded(RING_ENTRIES);
    let queued_bytes = Arc::default();
    let writer_bytes = Arc::clone(&queued_bytes);
    let shown_path = path.display().to_string();
    let thread = std::thread::Builder::new().name("recorder".to_owned()).spawn(move || {
        write_all(file, &receiver, &writer_bytes)
            .wrap_err_with(|| format!("cannot write recording {shown_path}"))
    })?;
    Ok((Recorder { ring: Some(ring), queued_bytes }, RecorderThread(thread)))
}

/// Writes queued lines until the ring is closed, then the final line if the recording is incomplete.
fn write_all(
    mut file: BufWriter<File>,
    ring: &Receiver<Line>,
    queued_bytes: &AtomicUsize,
) -> eyre::Result<()> {
    let mut is_complete = false;
    while let Ok(line) = ring.recv() {
        is_complete = line.end.is_some();
        write_line(&mut file, &line)?;
        let bytes = line.event.as_ref().map_or(0, body_bytes);
        queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        if ring.is_empty() {
            file.flush()?;
        }
    }
    if !is_complete {
        write_line(&mut file, &Line { end: Some(End::Incomplete), ..Line::default() })?;
    }
    Ok(file.flush()?)
}

/// Writes one JSON line.
fn write_line(file: &mut BufWriter<File>, line: &impl Serialize) -> eyre::Result<()> {
    serde_json::to_writer(&mut *file, line)?;
    Ok(file.write_all(b"\n")?)
}

/// The length of an event's body, which stays in memory while the event is queued.
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
