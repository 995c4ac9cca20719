//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self { started: Instant::now(), out: Mutex::new(BufWriter::new(file)) }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let now = self.now();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{now:9.3} {text}");
        let _ = out.flush();
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}
