//! Memory and descriptors of a process, observed from outside.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use super::fixture::Resources;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Highest use of resources seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory, in kB.
    pub resident_kb: u64,
    /// Bytes that have been received on its sockets and not read, in kB.
    pub unread_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Asserts that the process has stayed within the limits of its settings.
    pub fn assert_within(&self, limits: Resources) {
        println!("{self:?}");
        let used_kb = self.resident_kb + self.unread_kb;
        assert!(used_kb <= limits.memory_mb as u64 * 1_024, "{self:?}, {limits:?}");
        assert!(self.descriptors <= limits.descriptors, "{self:?}, {limits:?}");
    }
}

/// Observes a process until it is stopped.
pub struct Observer {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Usage>,
}

impl Observer {
    /// Observes a process that listens on `ip`, which no other process uses.
    pub fn start(process: &Child, ip: IpAddr) -> Observer {
        let process = process.id();
        let is_over = Arc::new(AtomicBool::new(false));
        let thread = {
            let is_over = is_over.clone();
            thread::spawn(move || {
                let mut highest = Usage::default();
                loop {
                    highest.unread_kb = highest.unread_kb.max(unread_kb(ip));
                    highest.descriptors = highest.descriptors.max(descriptors(process));
                    if is_over.load(Ordering::Acquire) {
                        break;
                    }
                    thread::sleep(SAMPLE_INTERVAL);
                }
                highest.resident_kb = highest_resident_kb(process);
                highest
            })
        };
        Observer { is_over, thread }
    }

    /// The highest use since the start.
    pub fn stop(self) -> Usage {
        self.is_over.store(true, Ordering::Release);
        self.thread.join().expect("the observer does not panic")
    }
}

/// Highest resident memory of a process since its start, in kB.
fn highest_resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a line");
    line.trim().trim_end_matches("kB").trim().parse().expect("a number")
}

fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Bytes received and not read on all TCP sockets bound to `ip`, in kB.
fn unread_kb(ip: IpAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let (address, _port) = fields.next()?.split_once(':')?;
        let address = u32::from_str_radix(address, 16).ok()?;
        let is_listed = IpAddr::from(Ipv4Addr::from(address.to_ne_bytes())) == ip;
        let (_, unread) = fields.nth(2)?.split_once(':')?;
        // On a listening socket the field counts connections that wait to be accepted.
        let is_listening = table_state(line) == Some(LISTENING);
        u64::from_str_radix(unread, 16).ok().filter(|_| is_listed && !is_listening)
    };
    table.lines().filter_map(unread).sum::<u64>() / 1_024
}

const LISTENING: &str = "0A";

fn table_state(line: &str) -> Option<&str> {
    line.split_whitespace().nth(3)
}
