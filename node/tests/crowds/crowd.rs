//! Crowds of clients, and what they send.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::site;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::fixture::Entry;
use super::fixture::Program;
use super::fixture::Resources;
use super::fixture::Site;
use super::fixture::until;
use super::usage::Observer;

/// Length that a body may have.
pub const MAX_BODY_LEN: usize = 4 << 20;

/// Length of the part of a body that the clients leave out.
pub const MISSING_LEN: usize = 70_000;

/// Time for which callers may keep idle connections; longer than all waits of a test.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Limit on the time of a client that is not read from.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// One of this many clients ends its request.
const SHARE_WITH_END: usize = 10;

static RUNNING: Mutex<()> = Mutex::new(());

/// What one client sends: parts that are written one after the other, then `end`, which most clients leave out.
#[derive(Clone, Debug)]
pub struct Message {
    parts: Vec<Bytes>,
    end: Bytes,
}

impl Message {
    /// A message that ends with its parts.
    pub fn whole(parts: Vec<Bytes>) -> Message {
        Message { parts, end: Bytes::new() }
    }

    /// A message that most clients send without its `end`.
    pub fn without_end(parts: Vec<Bytes>, end: Bytes) -> Message {
        Message { parts, end }
    }

    async fn send(self, at: SocketAddr, has_end: bool) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(at).await?;
        for part in self.parts {
            // What follows a refusal is not sent.
            if stream.write_all(&part).await.is_err() {
                return Ok(stream);
            }
        }
        if has_end {
            let _ = stream.write_all(&self.end).await;
        }
        Ok(stream)
    }
}

/// Clients that keep their connections until they are dropped.
pub struct Crowd {
    runtime: Runtime,
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `clients` clients to `at` and lets them send; returns when all have sent or were cut off.
    pub fn send(at: SocketAddr, clients: usize, message: &Message) -> Crowd {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime can be created");
        let connections = runtime.block_on(async {
            let send = |n: usize| {
                let message = message.clone();
                tokio::spawn(async move {
                    let sent = message.send(at, n.is_multiple_of(SHARE_WITH_END));
                    timeout(SEND_TIMEOUT, sent).await.ok()?.ok()
                })
            };
            let tasks: Vec<JoinHandle<Option<TcpStream>>> = (0..clients).map(send).collect();
            let mut connections = Vec::new();
            for task in tasks {
                connections.extend(task.await.expect("no client panics"));
            }
            connections
        });
        Crowd { runtime, connections }
    }

    /// What the clients receive until their connections are closed, each at most for the time of a send.
    pub fn responses(self) -> Vec<String> {
        let Crowd { runtime, connections } = self;
        runtime.block_on(async {
            let receive = |mut stream: TcpStream| {
                tokio::spawn(async move {
                    let mut buf = Vec::new();
                    let _ = timeout(SEND_TIMEOUT, stream.read_to_end(&mut buf)).await;
                    String::from_utf8_lossy(&buf).into_owned()
                })
            };
            let tasks: Vec<JoinHandle<String>> = connections.into_iter().map(receive).collect();
            let mut responses = Vec::new();
            for task in tasks {
                responses.push(task.await.expect("no client panics"));
            }
            responses
        })
    }
}

/// An entry with one endpoint, with limits that a small crowd reaches. One at a time.
pub struct Target {
    pub entry: Entry,
    pub endpoint: FakeEndpoint,
    pub site: Site,
    _running: MutexGuard<'static, ()>,
}

impl Target {
    /// Starts an entry with these limits and waits until it answers.
    pub fn start(name: &str, resources: Resources) -> Target {
        let running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut site = Site::start_unconfigured();
        site.resources = resources;
        let mut spec = site::configuration(1, &["key-1"], true, site.origin.address());
        site::set_caller_limits(&mut spec, MAX_BODY_LEN, IDLE_TIMEOUT);
        site.store.put("config", "main", spec);
        let endpoint = site.start_endpoint("i-a", "desk", None);
        let entry = site.start_entry(name);
        let target = Target { entry, endpoint, site, _running: running };
        target.assert_answers("before the crowd");
        target
    }

    /// Waits until an ordinary request is answered.
    pub fn assert_answers(&self, when: &str) {
        until(&format!("an ordinary request is answered {when}"), || {
            let response = self.entry.send_request("/lookup/a", "ordinary", "key-1");
            response.is_ok_and(|response| response.status == 200)
        });
    }

    /// Lets a crowd send to `at`, and asserts that the process lives within its limits and answers.
    pub fn assert_withstands(&mut self, at: SocketAddr, clients: usize, message: &Message) {
        let observer = Observer::start(&self.entry.program.child, at.ip());
        let crowd = Crowd::send(at, clients, message);
        assert_runs(&mut self.entry.program);
        self.assert_answers("beside the crowd");
        drop(crowd);
        self.assert_answers("after the crowd");
        let usage = observer.stop();
        assert_runs(&mut self.entry.program);
        usage.assert_within(self.site.resources);
    }
}

/// Lets a crowd send to the program at `at`, and asserts that it lives within its limits.
pub fn assert_program_withstands(
    program: &mut Program,
    at: SocketAddr,
    resources: Resources,
    clients: usize,
    message: &Message,
) {
    let observer = Observer::start(&program.child, at.ip());
    let crowd = Crowd::send(at, clients, message);
    assert_runs(program);
    // The last sample is taken while the crowd is connected.
    let usage = observer.stop();
    drop(crowd);
    assert_runs(program);
    usage.assert_within(resources);
}

fn assert_runs(program: &mut Program) {
    let status = program.child.try_wait().expect("a child");
    assert!(status.is_none(), "the process has ended: {status:?}");
}

/// The head of a request of a caller, up to the line that tells the length of its body.
pub fn head_start(path: &str) -> String {
    let head = site::caller_head(path, "crowd", "key-1", 0);
    let (start, _) = head.split_once("content-length").expect("the last header");
    start.to_owned()
}

/// Bytes without meaning.
pub fn filler(len: usize) -> Bytes {
    vec![b'x'; len].into()
}
