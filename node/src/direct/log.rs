//! Structured logs: one JSON object a line on standard output, written beside the work.
//!
//! Lines gather in a bounded buffer that a thread of its own writes out. A reader that falls behind
//! costs lines, never time: what does not fit is dropped, counted, and the count is logged.

use std::io;
use std::io::Write;
use std::mem;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use slog::Drain;
use slog::Logger;

/// Bytes that wait to be written at most: some seconds of refusals at the peak.
const MAX_WAITING: usize = 256 << 10;

/// How often waiting lines are written. One write for many lines costs one system call.
const WRITE_EVERY: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Waiting {
    lines: Vec<u8>,
    dropped: u64,
}

/// Takes lines until its bound, then counts them.
#[derive(Clone, Debug, Default)]
struct Ring(Arc<Mutex<Waiting>>);

impl Write for Ring {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.lines.len() + line.len() <= MAX_WAITING {
            waiting.lines.extend_from_slice(line);
        } else if line.ends_with(b"\n") {
            waiting.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Ring {
    fn write_out(&self) {
        let taken = mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        if taken.lines.is_empty() && taken.dropped == 0 {
            return;
        }
        let mut stdout = io::stdout().lock();
        // A log that cannot be written has nowhere to be reported.
        let _ = stdout.write_all(&taken.lines);
        if taken.dropped > 0 {
            let _ =
                writeln!(stdout, "{{\"msg\":\"log lines dropped\",\"count\":{}}}", taken.dropped);
        }
        let _ = stdout.flush();
    }
}

/// The log of a process. Dropping it writes what waits.
#[derive(Debug)]
pub struct EventLog {
    ring: Ring,
    /// The logger that lines go to.
    pub root: Logger,
}

impl EventLog {
    /// Starts the log of the process on `host`.
    pub fn start(host: &str) -> io::Result<EventLog> {
        let ring = Ring::default();
        let lines = LineBuffer { ring: ring.clone(), line: Vec::new() };
        let json = slog_json::Json::new(lines)
            .set_newlines(true)
            .set_flush(true)
            .add_key_value(slog::o!(
                "ts_ms" => slog::FnValue(|_| unix_ms()),
                "msg" => slog::PushFnValue(|record, ser| ser.emit(record.msg())),
            ))
            .build();
        let drain = Mutex::new(json).map(slog::Fuse);
        let root = Logger::root(drain, slog::o!("host" => host.to_owned()));
        let writer = ring.clone();
        thread::Builder::new().name("log".to_owned()).stack_size(64 << 10).spawn(move || {
            loop {
                thread::sleep(WRITE_EVERY);
                writer.write_out();
            }
        })?;
        Ok(EventLog { ring, root })
    }
}

impl Drop for EventLog {
    fn drop(&mut self) {
        self.ring.write_out();
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}

/// Gathers the pieces of a line, so that a line is kept or dropped as a whole.
struct LineBuffer {
    ring: Ring,
    line: Vec<u8>,
}

impl Write for LineBuffer {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(piece);
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = mem::take(&mut self.line);
        self.ring.write_all(&line)
    }
}
