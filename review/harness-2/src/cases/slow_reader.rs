//! Clients read their answers slowly while the entry is being stopped.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::reason;
use crate::Verdict;
use crate::client::Client;
use crate::client::KEY;
use crate::fleet::Hosts;
use crate::http::Connection;
use crate::http::set_receive_buffer;
use crate::record::Record;
use crate::runner::Behaviour;
use crate::runner::Runner;
use crate::site::Route;
use crate::site::configuration;
use crate::store::Store;

/// Length of the answers.
const ANSWER_LEN: usize = 128 << 10;

/// Receive buffer of the clients in bytes; on a link with a small window less is under way.
const RECEIVE_BUFFER: i32 = 16 << 10;

/// Time for which a client reads nothing, with and without the disruption.
const PAUSE: Duration = Duration::from_millis(3_500);
const SHORT_PAUSE: Duration = Duration::from_millis(600);

/// What a client waits for the whole answer.
const DEADLINE: Duration = Duration::from_millis(6_000);

/// Time after the requests after which the entry gets SIGTERM.
const TERMINATED_AFTER: Duration = Duration::from_millis(300);

/// `grace_period_s`.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

const CLIENTS: usize = 4;

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let store = Store::start("127.0.0.1:0").map_err(reason)?;
    let hosts = Hosts::new(store.address, 5).map_err(reason)?;
    let routes = [Route {
        name: "lookup",
        kind: "idempotent",
        timeout_ms: DEADLINE.as_millis() as u64,
        target_ms: 300,
    }];
    store.put("config", "main", &configuration(1, &routes, &[KEY]));
    let behaviour = Behaviour {
        work: Duration::from_millis(20),
        long_answer_len: ANSWER_LEN,
        ..Behaviour::default()
    };
    let runners: Vec<Runner> = (0..2)
        .map(|n| Runner::start(&hosts.ip(5), &format!("i-{n}"), "desk", behaviour, record))
        .collect::<io::Result<_>>()
        .map_err(reason)?;
    for runner in &runners {
        store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let mut entry = hosts.start_entry(1).map_err(reason)?;
    if !entry.wait_ready(Duration::from_secs(20), record) {
        return Err("the entry does not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let pause = if has_trouble { PAUSE } else { SHORT_PAUSE };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, address) = (record.clone(), entry.callers);
            thread::spawn(move || read_slowly(address, n, pause, &record))
        })
        .collect();
    thread::sleep(TERMINATED_AFTER);
    let terminated = Instant::now();
    entry.program.terminate();
    record.line("the entry gets SIGTERM");
    let answered: Vec<bool> =
        clients.into_iter().map(|client| client.join().unwrap_or(false)).collect();
    thread::sleep(GRACE_PERIOD.saturating_sub(terminated.elapsed()));
    entry.program.kill();
    let runs: Vec<_> = runners.iter().flat_map(Runner::runs).collect();
    let before = runs.iter().filter(|run| run.at < terminated).count();
    let lost = answered.iter().filter(|whole| !**whole).count();
    record.say(&format!(
        "{before} of {CLIENTS} requests ran before SIGTERM; {lost} connections ended without a complete answer"
    ));
    if before < CLIENTS {
        return Err("not all requests ran".to_owned());
    }
    Ok(lost == 0)
}

/// Sends a request, reads nothing for `pause`, and then all of the answer; whether it was complete.
fn read_slowly(address: SocketAddr, n: usize, pause: Duration, record: &Record) -> bool {
    let sent = Instant::now();
    let read = || -> io::Result<usize> {
        let stream = TcpStream::connect(address)?;
        set_receive_buffer(&stream, RECEIVE_BUFFER);
        let mut connection = Connection::new(stream);
        let deadline_ms = DEADLINE.as_millis() as u64;
        let head = Client::head("GET", "/lookup/long", &format!("c{n}"), KEY, deadline_ms);
        connection.write(format!("{head}\r\n").as_bytes())?;
        record.line(&format!("client {n} has sent its request"));
        thread::sleep(pause);
        Ok(connection.read_response(sent + DEADLINE)?.body.len())
    };
    let answered = read();
    let took = sent.elapsed();
    record.line(&format!("client {n} got {answered:?} after {} ms", took.as_millis()));
    answered.is_ok_and(|len| len == ANSWER_LEN)
}
