//! What a program does once: its incarnation and its signals.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mastichaven_core::ids::Incarnation;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Bits of an incarnation that are random.
const RANDOM_BITS: u32 = 24;

/// A fresh incarnation: seconds of the wall clock above, random bits below.
pub fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let random = u64::from(rand::random::<u32>() >> (32 - RANDOM_BITS));
    Incarnation((now.as_secs() << RANDOM_BITS) | random)
}

/// Waits for the signal that asks the process to stop.
pub struct StopSignal {
    rx: flume::Receiver<()>,
}

impl StopSignal {
    /// Blocks until SIGTERM or SIGINT has come.
    pub fn wait(&self) {
        let _ = self.rx.recv();
    }
}

/// Catches SIGTERM and SIGINT; a second one does not cut requests off either.
pub fn stop_signal() -> io::Result<StopSignal> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (tx, rx) = flume::bounded(1);
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            let _ = tx.try_send(());
        }
    })?;
    Ok(StopSignal { rx })
}
