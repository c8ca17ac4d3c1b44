//! A plain service whose calls may not be repeated; it counts its runs.

use std::collections::HashMap;
use std::io;
use std::io::Read;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use tiny_http::Request;

use crate::serve;
use crate::serve::Running;
use crate::serve::respond;

/// Bytes of a request's body at most.
const MAX_BODY_LEN: u64 = 1 << 20;

#[derive(Debug, Default)]
struct State {
    start_id: u64,
    runs: HashMap<String, u32>,
    delay: Duration,
}

/// A running plain service. The body of a call names what it books.
#[derive(Debug)]
pub struct Plain {
    state: Arc<Mutex<State>>,
    running: Running,
}

impl Plain {
    /// Starts on `address`. `start_id` names its first life.
    pub fn start(address: &str, start_id: u64) -> io::Result<Plain> {
        let state = Arc::new(Mutex::new(State { start_id, ..State::default() }));
        let served = state.clone();
        let running = serve::start(address, move |request| answer(&served, request))?;
        Ok(Plain { state, running })
    }

    /// Its base address.
    pub fn base(&self) -> String {
        format!("http://{}", self.running.address)
    }

    /// Makes every call take this long.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().expect("no holder of this lock panics").delay = delay;
    }

    /// How often each body was run.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.state.lock().expect("no holder of this lock panics").runs.clone()
    }
}

fn answer(state: &Mutex<State>, mut request: Request) {
    if request.url() == "/health" {
        let start_id = state.lock().expect("no holder of this lock panics").start_id;
        let body = format!("{{\"start_id\":{start_id},\"loaded\":null,\"running\":0}}");
        return respond(request, 200, &[], body.into_bytes());
    }
    let mut body = String::new();
    if request.as_reader().take(MAX_BODY_LEN).read_to_string(&mut body).is_err() {
        return respond(request, 400, &[], Vec::new());
    }
    let (delay, run) = {
        let mut state = state.lock().expect("no holder of this lock panics");
        let run = state.runs.entry(body.clone()).or_default();
        *run += 1;
        let run = *run;
        (state.delay, run)
    };
    thread::sleep(delay);
    let answer = format!("{{\"booked\":{body:?},\"run\":{run}}}\n");
    respond(request, 200, &[("content-type", "application/json")], answer.into_bytes());
}
