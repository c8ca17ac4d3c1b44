//! A key is taken away from its tenant and used on a route that lets anonymous callers in.

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

/// `revoke_ms`.
const REVOKE: Duration = Duration::from_millis(5_000);

const OTHER_KEY: &str = "bvk9m68k7b2ex5wa5xwy";

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let store = Store::start("127.0.0.1:0").map_err(reason)?;
    let hosts = Hosts::new(store.address, 10).map_err(reason)?;
    let route = |name, allow_anonymous| Route {
        name,
        kind: "idempotent",
        timeout_ms: 4_000,
        target_ms: 300,
        allow_anonymous,
    };
    let routes = [route("lookup", false), route("open", true)];
    store.put("config", "main", &configuration(1, &routes, &[KEY, OTHER_KEY]));
    let behaviour = Behaviour { work: Duration::from_millis(20), ..Behaviour::default() };
    let runner = Runner::start(&hosts.ip(5), "i-5", "desk", behaviour, record).map_err(reason)?;
    store.put("servers", &runner.id, &runner.entry("ready"));
    let entry = hosts.start_entry(1).map_err(reason)?;
    if !entry.wait_ready(Duration::from_secs(20), record) {
        return Err("the entry does not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let mut client = Client::new(entry.callers);
    let mut send = |path: &str, id: &str| {
        record.line(&format!("client sends {id} to {path}"));
        let head = Client::head("GET", path, id, KEY, 4_000);
        let status = client.send(&head, b"", Duration::from_secs(4)).map(|answer| answer.status);
        record.line(&format!("client got {status:?} to {id}"));
    };
    send("/lookup/2f", "before-1");
    send("/open/2f", "before-2");
    if runner.runs().len() != 2 {
        return Err("the key does not work before it is taken away".to_owned());
    }
    let keys: &[&str] = if has_trouble { &[OTHER_KEY] } else { &[KEY, OTHER_KEY] };
    let acknowledged = store.put("config", "main", &configuration(2, &routes, keys));
    record.line_at(acknowledged, "store has acknowledged version 2 of the configuration");
    thread::sleep(REVOKE + Duration::from_secs(1));
    let later = Instant::now();
    for n in 0..10 {
        send("/lookup/2f", &format!("later-1-{n}"));
        send("/open/2f", &format!("later-2-{n}"));
    }
    let ran: Vec<String> =
        runner.runs().into_iter().filter(|run| run.at >= later).map(|run| run.id).collect();
    record.say(&format!(
        "requests that ran later than {REVOKE:?} after the acknowledgement: {ran:?}"
    ));
    Ok(!has_trouble || ran.is_empty())
}
