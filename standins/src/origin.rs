//! The origin of weights: manifests and chunks behind one limited link.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use tiny_http::Request;

use crate::serve;
use crate::serve::Running;
use crate::serve::respond;

/// A link that passes a bounded number of bytes a second, one transfer after the other.
#[derive(Debug)]
pub struct Link {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    /// A link of this rate.
    pub fn new(bytes_per_second: f64) -> Link {
        Link { bytes_per_second, free_at: Mutex::new(Instant::now()) }
    }

    /// Blocks for as long as `len` bytes take behind what is already on the link.
    pub fn pass(&self, len: usize) {
        let span = Duration::from_secs_f64(len as f64 / self.bytes_per_second);
        let end = {
            let mut free_at = self.free_at.lock().expect("no holder of this lock panics");
            *free_at = (*free_at).max(Instant::now()) + span;
            *free_at
        };
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
}

#[derive(Debug, Default)]
struct State {
    objects: HashMap<Digest, Bytes>,
    sent: u64,
    sent_to: BTreeMap<String, u64>,
    cut_off: Vec<String>,
    corrupt_next: u32,
    down: bool,
}

/// A running origin.
#[derive(Debug)]
pub struct Origin {
    state: Arc<Mutex<State>>,
    running: Running,
}

impl Origin {
    /// Starts on `address` with a link of `bytes_per_second`.
    pub fn start(address: &str, bytes_per_second: f64) -> io::Result<Origin> {
        let state = Arc::new(Mutex::new(State::default()));
        let link = Link::new(bytes_per_second);
        let served = state.clone();
        let running = serve::start(address, move |request| answer(&served, &link, request))?;
        Ok(Origin { state, running })
    }

    /// Its base address.
    pub fn base(&self) -> String {
        format!("http://{}", self.running.address)
    }

    /// Puts a version in and gives its manifest.
    pub fn put(&self, weights: &[u8], chunk_len: u32) -> Manifest {
        let manifest = Manifest::cut(weights, chunk_len);
        let mut state = self.state.lock().expect("no holder of this lock panics");
        for bytes in weights.chunks(chunk_len as usize) {
            state.objects.insert(Digest::of(bytes), Bytes::copy_from_slice(bytes));
        }
        state.objects.insert(manifest.digest(), Bytes::from(manifest.encode()));
        manifest
    }

    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.state.lock().expect("no holder of this lock panics").sent
    }

    /// Base address for one host, so that its pulls can be counted and cut off.
    pub fn base_for(&self, host: &str) -> String {
        format!("{}/from/{host}", self.base())
    }

    /// Bytes sent so far to each host that uses its own base address.
    pub fn sent_to(&self) -> BTreeMap<String, u64> {
        self.state.lock().expect("no holder of this lock panics").sent_to.clone()
    }

    /// Refuses everything that these hosts ask.
    pub fn set_cut_off(&self, hosts: Vec<String>) {
        self.state.lock().expect("no holder of this lock panics").cut_off = hosts;
    }

    /// Corrupts the next `count` objects sent.
    pub fn corrupt_next(&self, count: u32) {
        self.state.lock().expect("no holder of this lock panics").corrupt_next = count;
    }

    /// Refuses everything while `down`.
    pub fn set_down(&self, down: bool) {
        self.state.lock().expect("no holder of this lock panics").down = down;
    }
}

fn answer(state: &Mutex<State>, link: &Link, request: Request) {
    let digest = request.url().rsplit('/').next().and_then(Digest::from_hex);
    let host = request.url().strip_prefix("/from/").and_then(|rest| rest.split('/').next());
    let host = host.unwrap_or_default().to_owned();
    let found = {
        let mut state = state.lock().expect("no holder of this lock panics");
        if state.down || state.cut_off.contains(&host) {
            drop(state);
            return respond(request, 503, &[], Vec::new());
        }
        let found = digest.and_then(|digest| state.objects.get(&digest).cloned());
        let mut found = found.map(|bytes| bytes.to_vec());
        if let Some(bytes) = &mut found {
            state.sent += bytes.len() as u64;
            *state.sent_to.entry(host).or_default() += bytes.len() as u64;
            if state.corrupt_next > 0 && !bytes.is_empty() {
                state.corrupt_next -= 1;
                bytes[0] ^= 1;
            }
        }
        found
    };
    match found {
        Some(bytes) => {
            link.pass(bytes.len());
            respond(request, 200, &[], bytes);
        }
        None => respond(request, 404, &[], Vec::new()),
    }
}
