//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The file `record.txt` of a case.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file in `folder`.
    pub fn create(folder: &Path) -> io::Result<Record> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Record { started_at: Instant::now(), file })
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        // Without a record the case is of no use, but the check does not depend on it.
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }

    /// Writes a line and prints it.
    pub fn summary(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
