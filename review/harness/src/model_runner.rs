//! A stand-in of a model runner: it streams events, stages pieces and loads them when ordered.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::http::Server;
use crate::origin;
use crate::record::Record;
use crate::site;

const EVENTS: u32 = 4;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const LOAD_TIME: Duration = Duration::from_millis(300);

#[derive(Default)]
struct State {
    version: Option<u64>,
    staged: BTreeMap<usize, Vec<u8>>,
    orders: u64,
    is_busy: bool,
    running: u32,
}

struct Shared {
    id: String,
    born: u128,
    record: Arc<Record>,
    state: Mutex<State>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// A running model runner.
pub struct ModelRunner {
    shared: Arc<Shared>,
    server: Server,
}

impl ModelRunner {
    /// Starts the runner `id` at `address`, with the weights of `version` loaded and staged if it
    /// is given.
    pub fn start(
        address: &str,
        id: &str,
        version: Option<u64>,
        record: &Arc<Record>,
    ) -> io::Result<ModelRunner> {
        let staged = version.map(|version| {
            (0..site::PIECES).map(|index| (index, origin::piece(version, index))).collect()
        });
        let state = State { version, staged: staged.unwrap_or_default(), ..State::default() };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            born,
            record: record.clone(),
            state: Mutex::new(state),
        });
        let handler = shared.clone();
        let server = Server::start(address, move |connection| {
            while let Some(head) = http::read_head(&mut connection.reader)? {
                let body = http::read_body(&mut connection.reader, &head, false)?;
                answer(&handler, connection, &head, body)?;
            }
            Ok(())
        })?;
        Ok(ModelRunner { shared, server })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// The version of its weights.
    pub fn version(&self) -> Option<u64> {
        self.shared.lock().version
    }

    /// Its record in the store.
    pub fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\
             {},\"sequence\":{sequence},\"born\":{}}}",
            site::WRITER,
            self.address(),
            site::ZONE,
            models(self.version()),
            self.shared.born
        )
    }

    /// Ends the runner as when its machine loses power.
    pub fn kill(&self) {
        self.server.kill();
    }
}

/// The fields that tell the loaded weights.
fn models(version: Option<u64>) -> String {
    let Some(version) = version else {
        return "\"models\":[],\"layers\":[]".to_owned();
    };
    format!(
        "\"models\":[{{\"name\":\"{}\",\"version\":{version},\"adapters\":[]}}],\
         \"layers\":[{{\"from\":0,\"to\":{},\"version\":{version}}}]",
        site::MODEL,
        site::LAYERS
    )
}

fn answer(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    head: &Head,
    body: Vec<u8>,
) -> io::Result<()> {
    let writer = &mut connection.writer;
    let index = head.query("sample_count").and_then(|text| text.parse::<usize>().ok());
    let path = head.path();
    match path {
        "/health" => {
            let instance = [("x-mastichaven-instance-id", shared.id.as_str())];
            http::respond(writer, 200, &instance, b"")
        }
        "/report" => {
            let report = report(shared);
            http::respond(writer, 200, &[("content-type", "application/json")], report.as_bytes())
        }
        "/order" => order(shared, connection, &String::from_utf8_lossy(&body)),
        _ if path.starts_with("/stage-put/") => {
            if let Some(index) = index {
                shared.lock().staged.insert(index, body);
            }
            http::respond(writer, if index.is_some() { 200 } else { 400 }, &[], b"")
        }
        _ if path.starts_with("/stage-get/") => {
            let staged = shared.lock().staged.clone();
            match index {
                Some(index) => match staged.get(&index) {
                    Some(piece) => http::respond(writer, 200, &[], piece),
                    None => http::respond(writer, 404, &[], b""),
                },
                None => {
                    let held: Vec<String> = staged.keys().map(usize::to_string).collect();
                    let body = format!("{{\"held\":[{}]}}", held.join(","));
                    http::respond(writer, 200, &[], body.as_bytes())
                }
            }
        }
        _ => run(shared, connection, head),
    }
}

fn report(shared: &Shared) -> String {
    let state = shared.lock();
    format!(
        "{{\"stage\":\"colocated\",{},\"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":{},\
         \"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":{}}}",
        models(state.version),
        state.is_busy,
        state.orders,
        state.running,
        shared.born
    )
}

/// Value of a numeric field of an order.
fn number(order: &str, name: &str) -> Option<u64> {
    let rest = order.split(&format!("\"{name}\":")).nth(1)?;
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn order(shared: &Arc<Shared>, connection: &mut Connection, order: &str) -> io::Result<()> {
    let writer = &mut connection.writer;
    let Some(version) = number(order, "version").filter(|_| order.contains("\"start\"")) else {
        return http::respond(writer, 400, &[], b"");
    };
    let expected = number(order, "expect");
    let status = {
        let mut state = shared.lock();
        if state.is_busy || expected.is_some_and(|expected| expected != state.orders) {
            409
        } else if state.version == Some(version) {
            200
        } else if state.staged.len() < site::PIECES {
            409
        } else {
            state.orders += 1;
            state.is_busy = true;
            202
        }
    };
    shared.record.line(&format!("{} answers {status} to {order}", shared.id));
    http::respond(writer, status, &[], b"")?;
    if status == 202 {
        let shared = shared.clone();
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            let mut state = shared.lock();
            state.version = Some(version);
            state.is_busy = false;
            drop(state);
            shared.record.line(&format!("{} has loaded version {version}", shared.id));
        });
    }
    Ok(())
}

fn run(shared: &Shared, connection: &mut Connection, head: &Head) -> io::Result<()> {
    let id = head.header("x-mastichaven-attempt-id").unwrap_or_default().to_owned();
    let version = shared.lock().version;
    let expects = |name: &str| head.header(name).map(str::to_owned);
    let is_other = expects("x-mastichaven-expect-instance").is_some_and(|id| id != shared.id);
    let expected = expects("x-mastichaven-expect-version").and_then(|text| text.parse().ok());
    let is_other_version = expected.is_some() && expected != version;
    let writer = &mut connection.writer;
    let Some(version) = version.filter(|_| !is_other && !is_other_version) else {
        let instance = ("x-mastichaven-instance-id", shared.id.as_str());
        return http::respond(writer, 421, &[instance, ("x-mastichaven-attempt-id", &id)], b"");
    };
    shared.record.line(&format!("{id} runs at {} on version {version}", shared.id));
    shared.lock().running += 1;
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-mastichaven-attempt-id: {id}\r\n\
         x-mastichaven-response-stamp: {}.{id}\r\nx-mastichaven-weight-versions: {version}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        shared.id
    );
    let mut result = writer.write_all(head.as_bytes());
    for n in 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {n}\ndata: part {n}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        result = result.and_then(|()| writer.write_all(chunk.as_bytes()));
    }
    shared.lock().running -= 1;
    result.and_then(|()| writer.write_all(b"0\r\n\r\n"))
}
