//! A runner answers long requests before they are in, keeps the connection and reads on later.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::reason;
use crate::Verdict;
use crate::client::Client;
use crate::client::KEY;
use crate::fleet::Hosts;
use crate::record::Record;
use crate::runner::Behaviour;
use crate::runner::Runner;
use crate::site::Route;
use crate::site::configuration;
use crate::store::Store;

/// `timeout_ms` of the route, and what its clients wait.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Time after the timeout within which a request must be answered.
const SLACK: Duration = Duration::from_millis(500);

/// Time after which the runner reads on.
const READS_ON_AFTER: Duration = Duration::from_millis(2_000);

const BODY_LEN: usize = 4_000_000;
/// Long requests of a batch, all sent at once; with a runner for each, none waits for a free place.
const BATCH: usize = 10;
const BATCHES: usize = 2;
const REQUESTS: usize = BATCH * BATCHES;
const RUNNERS: usize = 12;

/// Runners that answer early: a share of 0.58.
const EARLY_RUNNERS: usize = 7;

/// Share of the answers of such a runner that come early, at most: the largest `x` of `garble`.
const EARLY_SHARE: f64 = 0.06;

/// Clients that send short requests first, and how many each of them sends.
const SHORT_CLIENTS: usize = 12;
const SHORT_REQUESTS: usize = 60;

/// Receive buffer of the runners' connections in bytes; on a link with a small window less is under way.
const RECEIVE_BUFFER: i32 = 16 << 10;

/// Time without an answer after which a client gives up; it stays beyond its deadline, to see when the answer comes.
const PATIENCE: Duration = Duration::from_secs(8);

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let store = Store::start("127.0.0.1:0").map_err(reason)?;
    let hosts = Hosts::new(store.address, 5).map_err(reason)?;
    let routes = [Route {
        name: "command",
        kind: "non_idempotent",
        timeout_ms: TIMEOUT.as_millis() as u64,
        target_ms: 100,
    }];
    store.put("config", "main", &configuration(1, &routes, &[KEY]));
    let behaviour = |n| Behaviour {
        work: Duration::from_millis(15),
        reads_on_after: (has_trouble && n < EARLY_RUNNERS).then_some(READS_ON_AFTER),
        early_share: EARLY_SHARE,
        receive_buffer: Some(RECEIVE_BUFFER),
        ..Behaviour::default()
    };
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|n| Runner::start(&hosts.ip(5), &format!("i-{n}"), "desk", behaviour(n), record))
        .collect::<std::io::Result<_>>()
        .map_err(reason)?;
    for runner in &runners {
        store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let entry = hosts.start_entry(1).map_err(reason)?;
    if !entry.wait_ready(Duration::from_secs(20), record) {
        return Err("the entry does not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let short: Vec<_> = (0..SHORT_CLIENTS)
        .map(|n| {
            let address = entry.callers;
            thread::spawn(move || send_short(n, address))
        })
        .collect();
    let answered: usize = short.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    record.say(&format!(
        "{answered} of {} short requests were answered with 200",
        SHORT_CLIENTS * SHORT_REQUESTS
    ));
    let mut times = Vec::new();
    for batch in 0..BATCHES {
        let clients: Vec<_> = (0..BATCH)
            .map(|n| {
                let (record, address) = (record.clone(), entry.callers);
                thread::spawn(move || send_command(&format!("c-{batch}-{n}"), address, &record))
            })
            .collect();
        times.extend(clients.into_iter().map(|client| client.join().unwrap_or(PATIENCE)));
    }
    for runner in &runners {
        let answers = runner.answers();
        record.line(&format!(
            "runner {}: {} answers, {} of them early",
            runner.id, answers.all, answers.early
        ));
    }
    let runs = runners.iter().flat_map(Runner::runs);
    let ran: Vec<String> = runs.map(|run| run.id).filter(|id| id.starts_with("c-")).collect();
    let at_timeout = times.iter().filter(|took| **took > TIMEOUT).count();
    let later = times.iter().filter(|took| **took > TIMEOUT + SLACK).count();
    record.say(&format!(
        "{} of {REQUESTS} long requests ran; {at_timeout} were unanswered at the route's timeout, {later} still 0.5 s later",
        ran.len()
    ));
    if ran.len() < REQUESTS {
        return Err("not all requests ran".to_owned());
    }
    Ok(later * 2 <= at_timeout)
}

/// Sends short requests one after the other, and returns how many were answered with 200.
fn send_short(client: usize, address: SocketAddr) -> usize {
    let mut connection = Client::new(address);
    let answered = (0..SHORT_REQUESTS).filter(|n| {
        let id = format!("s-{client}-{n}");
        let head = Client::head("POST", "/command/2f", &id, KEY, TIMEOUT.as_millis() as u64);
        connection.send(&head, b"short", PATIENCE).is_ok_and(|answer| answer.status == 200)
    });
    answered.count()
}

/// Sends a long request and returns the time until its answer.
fn send_command(id: &str, address: SocketAddr, record: &Record) -> Duration {
    let head = Client::head("POST", "/command/2f", id, KEY, TIMEOUT.as_millis() as u64);
    let body = vec![b'b'; BODY_LEN];
    let sent = Instant::now();
    record.line_at(sent, &format!("client sends {id}, {BODY_LEN} bytes"));
    let answer = Client::new(address).send(&head, &body, PATIENCE);
    let took = sent.elapsed();
    let status = answer.map(|answer| answer.status);
    record.line(&format!("client got {status:?} to {id} after {} ms", took.as_millis()));
    took
}
