//! Stand-in of a model runner.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::fleet::ZONE;
use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::origin::CHUNKS;
use crate::origin::LAYERS;
use crate::origin::MODEL;
use crate::origin::chunk;
use crate::record::Record;

pub const SERVICE: &str = "redator";
pub const SLOTS: u32 = 16;

/// Time of a load.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Events of an answer, and the time between them.
const EVENTS: usize = 4;
const EVENT_TIME: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct State {
    version: u64,
    is_busy: bool,
    orders: u64,
    running: u32,
    staged: BTreeMap<usize, Vec<u8>>,
}

/// A running model runner.
#[derive(Clone, Debug)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Engine {
    /// Starts a runner that holds version 1, which is also staged.
    pub fn start(ip: &str, id: &str, record: &Record) -> std::io::Result<Engine> {
        let listener = TcpListener::bind((ip, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let staged = (0..CHUNKS).map(|index| (index, chunk(1, index))).collect();
        let state = State { version: 1, is_busy: false, orders: 0, running: 0, staged };
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr()?,
            born,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    fn weights(&self) -> String {
        let version = self.state.lock().expect("no poison").version;
        format!(
            "\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}],\
             \"layers\":{{\"from\":0,\"to\":{LAYERS},\"version\":{version}}}"
        )
    }

    /// Its entry in the store.
    pub fn entry(&self) -> String {
        let orders = self.state.lock().expect("no poison").orders;
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\
             {},\"sequence\":{orders},\"born\":{}}}",
            self.address,
            self.weights(),
            self.born
        )
    }

    fn report(&self) -> String {
        let weights = self.weights();
        let state = self.state.lock().expect("no poison");
        format!(
            "{{\"stage\":\"colocated\",{weights},\"busy\":{},\"sequence\":{},\"waiting\":0,\
             \"running\":{},\"kv_used\":0,\"kv_total\":1640000,\"handles\":0,\"pace\":1.0,\
             \"born\":{}}}",
            state.is_busy, state.orders, state.running, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            if self.handle(&mut connection, &head, body).is_err() {
                return;
            }
        }
    }

    fn handle(
        &self,
        connection: &mut Connection,
        head: &Head,
        body: Vec<u8>,
    ) -> std::io::Result<()> {
        let path = head.second_word();
        let json = [("content-type", "application/json")];
        let index = http::query(path, "sample_count").and_then(|text| text.parse::<usize>().ok());
        if path == "/report" {
            return connection.write(&http::response("200 OK", &json, self.report().as_bytes()));
        }
        if path == "/order" {
            let status = self.order(&String::from_utf8_lossy(&body));
            return connection.write(&http::response(status, &[], b""));
        }
        if path.starts_with("/stage-put/") {
            let mut state = self.state.lock().expect("no poison");
            state.staged.insert(index.unwrap_or(0), body);
            drop(state);
            return connection.write(&http::response("200 OK", &[], b""));
        }
        if path.starts_with("/stage-get/") {
            let state = self.state.lock().expect("no poison");
            let bytes = match index {
                Some(index) => match state.staged.get(&index) {
                    Some(bytes) => http::response("200 OK", &[], bytes),
                    None => http::response("404 Not Found", &[], b""),
                },
                None => {
                    let held: Vec<String> = state.staged.keys().map(usize::to_string).collect();
                    let held = format!("{{\"held\":[{}]}}", held.join(","));
                    http::response("200 OK", &json, held.as_bytes())
                }
            };
            drop(state);
            return connection.write(&bytes);
        }
        self.run(connection, head)
    }

    fn order(&self, order: &str) -> &'static str {
        let number = |name: &str| -> Option<u64> {
            let rest = order.split_once(&format!("\"{name}\":"))?.1;
            let digits: String = rest.trim().chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        };
        let Some(version) = number("version") else {
            return "400 Bad Request";
        };
        let mut state = self.state.lock().expect("no poison");
        if state.is_busy || number("expect").is_some_and(|expected| expected != state.orders) {
            return "409 Conflict";
        }
        if state.version == version {
            return "200 OK";
        }
        state.orders += 1;
        state.is_busy = true;
        let is_whole = (0..CHUNKS)
            .all(|index| state.staged.get(&index).is_some_and(|b| *b == chunk(version, index)));
        drop(state);
        self.record.line(&format!(
            "runner {} takes version {version}, {}",
            self.id,
            if is_whole { "whole" } else { "NOT WHOLE" }
        ));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            let mut state = engine.state.lock().expect("no poison");
            state.version = version;
            state.is_busy = false;
        });
        "202 Accepted"
    }

    fn run(&self, connection: &mut Connection, head: &Head) -> std::io::Result<()> {
        let id = head.get("x-mastichaven-attempt-id").unwrap_or_default().to_owned();
        let instance = [("X-Mastichaven-Instance-Id", self.id.as_str())];
        let version = self.state.lock().expect("no poison").version;
        let is_other = head.get("x-mastichaven-expect-instance").is_some_and(|id| id != self.id)
            || head
                .get("x-mastichaven-expect-version")
                .is_some_and(|expected| expected != version.to_string());
        if is_other {
            return connection.write(&http::response("421 Misdirected Request", &instance, b""));
        }
        self.record.line(&format!("runner {} runs {id} on version {version}", self.id));
        self.state.lock().expect("no poison").running += 1;
        let streamed = self.stream(connection, head, &id, version);
        self.state.lock().expect("no poison").running -= 1;
        streamed
    }

    fn stream(
        &self,
        connection: &mut Connection,
        head: &Head,
        id: &str,
        version: u64,
    ) -> std::io::Result<()> {
        let last = head.get("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        connection.write(
            format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\
                 X-Mastichaven-Attempt-Id: {id}\r\nX-Mastichaven-Response-Stamp: {}.{id}\r\n\
                 X-Mastichaven-Weight-Versions: {version}\r\n\r\n",
                self.id
            )
            .as_bytes(),
        )?;
        for event in last + 1..=EVENTS {
            thread::sleep(EVENT_TIME);
            let text = format!("id: {event}\ndata: tokens\n\n");
            connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }
}
