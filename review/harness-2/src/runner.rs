//! Stand-in of a runner of a plain service.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::fleet::ZONE;
use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;

/// How a runner answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Time that a request takes.
    pub work: Duration,
    /// Bytes of the answer to a request whose path ends with `/long`; all others get [`ANSWER_LEN`].
    pub long_answer_len: usize,
    /// Whether some long requests are answered before they are in, and after which time the rest is read.
    pub reads_on_after: Option<Duration>,
    /// Share of all answers that are given so early, at most.
    pub early_share: f64,
    /// Receive buffer of its connections in bytes, if it is a small one.
    pub receive_buffer: Option<i32>,
}

/// Bytes of a body from which on it is long.
const LONG_LEN: usize = 64 << 10;

/// Bytes of a usual answer.
const ANSWER_LEN: usize = 800;

/// Slots of a runner.
pub const SLOTS: u32 = 6;

/// A request that a runner began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub tenant: String,
}

/// A running runner.
#[derive(Clone, Debug)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    service: String,
    behaviour: Behaviour,
    runs: Arc<Mutex<Vec<Run>>>,
    answers: Arc<Mutex<Answers>>,
    record: Record,
}

/// Answers that were begun.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answers {
    pub all: u32,
    pub early: u32,
}

impl Answers {
    /// Counts an answer, and returns whether it is an early one: if it may be, and the share allows it.
    fn count(&mut self, may_be_early: bool, early_share: f64) -> bool {
        self.all += 1;
        let is_early =
            may_be_early && f64::from(self.early + 1) <= early_share * f64::from(self.all);
        self.early += u32::from(is_early);
        is_early
    }
}

impl Runner {
    /// Starts a runner on a free port of `ip`.
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        behaviour: Behaviour,
        record: &Record,
    ) -> std::io::Result<Runner> {
        let listener = TcpListener::bind((ip, 0))?;
        if let Some(len) = behaviour.receive_buffer {
            http::set_receive_buffer(&listener, len);
        }
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let runner = Runner {
            id: id.to_owned(),
            address: listener.local_addr()?,
            born,
            service: service.to_owned(),
            behaviour,
            runs: Arc::default(),
            answers: Arc::default(),
            record: record.clone(),
        };
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = served.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(runner)
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":0,\
             \"born\":{}}}",
            self.service, self.address, self.born
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no poison").clone()
    }

    pub fn answers(&self) -> Answers {
        *self.answers.lock().expect("no poison")
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.read_head() {
            if self.handle(&mut connection, &head).is_err() {
                return;
            }
        }
    }

    fn handle(&self, connection: &mut Connection, head: &Head) -> std::io::Result<()> {
        let instance = [("X-Mastichaven-Instance-Id", self.id.as_str())];
        if head.second_word() == "/health" {
            return connection.write(&http::response("200 OK", &instance, b""));
        }
        let id = head.get("x-mastichaven-attempt-id").unwrap_or_default().to_owned();
        if head.get("x-mastichaven-expect-instance").is_some_and(|expected| expected != self.id) {
            connection.read_body(head)?;
            return connection.write(&http::response("421 Misdirected Request", &instance, b""));
        }
        let len = head.content_len().unwrap_or(0);
        let may_be_early = len >= LONG_LEN && self.behaviour.reads_on_after.is_some();
        let is_early =
            self.answers.lock().expect("no poison").count(may_be_early, self.behaviour.early_share);
        let body_len = if is_early { 0 } else { connection.read_body(head)?.len() };
        let run = Run {
            at: Instant::now(),
            id: id.clone(),
            tenant: head.get("x-mastichaven-tenant").unwrap_or_default().to_owned(),
        };
        self.record.line_at(
            run.at,
            &format!("runner {} runs {id}, tenant {:?}, body {body_len}", self.id, run.tenant),
        );
        self.runs.lock().expect("no poison").push(run);
        thread::sleep(self.behaviour.work);
        let stamp = format!("{}.{id}", self.id);
        let headers = [
            ("X-Mastichaven-Attempt-Id", id.as_str()),
            ("X-Mastichaven-Response-Stamp", stamp.as_str()),
        ];
        let is_long = head.second_word().ends_with("/long");
        let len = if is_long { self.behaviour.long_answer_len } else { ANSWER_LEN };
        let body = vec![b'a'; len];
        connection.write(&http::response("200 OK", &headers, &body))?;
        self.record.line(&format!("runner {} has answered {id}", self.id));
        if let Some(pause) = self.behaviour.reads_on_after.filter(|_| is_early) {
            thread::sleep(pause);
            let rest = connection.read_body(head)?;
            self.record.line(&format!(
                "runner {} has read the body of {id}, {} bytes",
                self.id,
                rest.len()
            ));
        }
        Ok(())
    }
}
