//! Asynchronous structured logging: one JSON object per line on standard output.
//!
//! Lines are collected in a bounded buffer that a separate thread writes out, so that a slow reader
//! of the log never blocks the process. Lines that don't fit are dropped; their number is logged.

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

/// Limit of the buffer. It holds several seconds of refusals at peak load.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Interval of writes. Many lines are written with one system call.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Buffered {
    lines: Vec<u8>,
    dropped: u64,
}

/// Buffer of at most [`MAX_BUFFERED_BYTES`] that drops further lines and counts them.
#[derive(Clone, Debug, Default)]
struct SharedBuffer(Arc<Mutex<Buffered>>);

impl Write for SharedBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffered = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffered.lines.len() + line.len() <= MAX_BUFFERED_BYTES {
            buffered.lines.extend_from_slice(line);
        } else if line.ends_with(b"\n") {
            buffered.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedBuffer {
    fn write_to_stdout(&self) {
        let taken = mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        if taken.lines.is_empty() && taken.dropped == 0 {
            return;
        }
        let mut stdout = io::stdout().lock();
        // An error of the log itself cannot be reported anywhere.
        let _ = stdout.write_all(&taken.lines);
        if taken.dropped > 0 {
            let _ =
                writeln!(stdout, "{{\"msg\":\"log lines dropped\",\"count\":{}}}", taken.dropped);
        }
        let _ = stdout.flush();
    }
}

/// Log of the process. Buffered lines are written when it is dropped.
#[derive(Debug)]
pub struct EventLog {
    buffer: SharedBuffer,
    /// Logger that adds the host name to each line.
    pub root: Logger,
}

impl EventLog {
    /// Starts the thread that writes the log; each line names `host`.
    pub fn start(host: &str) -> io::Result<EventLog> {
        let buffer = SharedBuffer::default();
        let lines = LineBuffer { buffer: buffer.clone(), line: Vec::new() };
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
        let writer_buffer = buffer.clone();
        thread::Builder::new().name("log".to_owned()).stack_size(64 << 10).spawn(move || {
            loop {
                thread::sleep(WRITE_INTERVAL);
                writer_buffer.write_to_stdout();
            }
        })?;
        Ok(EventLog { buffer, root })
    }
}

impl Drop for EventLog {
    fn drop(&mut self) {
        self.buffer.write_to_stdout();
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}

/// Assembles lines from partial writes, so that a line is buffered or dropped as a whole.
struct LineBuffer {
    buffer: SharedBuffer,
    line: Vec<u8>,
}

impl Write for LineBuffer {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(part);
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = mem::take(&mut self.line);
        self.buffer.write_all(&line)
    }
}
