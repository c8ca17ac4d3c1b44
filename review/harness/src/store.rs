//! A stand-in of the platform's store: objects by kind and name, paged lists and watches. It holds
//! the content of objects as bytes, as any writer may have written them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::http::Server;

/// Objects of a page of a list.
const PAGE_LEN: usize = 50;

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: Vec<u8>,
    is_deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Vec<u8>>,
    changes: Vec<Change>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: &str) -> io::Result<Store> {
        let shared = Arc::new(Shared::default());
        shared.state.lock().expect("no holder panics").revision = 1;
        let handler = shared.clone();
        let server = Server::start(address, move |connection| serve(&handler, connection))?;
        Ok(Store { shared, server })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Creates or replaces an object. Its `spec` is written as it is. The return is the store's
    /// acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut state = self.shared.state.lock().expect("no holder panics");
        state.revision += 1;
        let revision = state.revision;
        let mut object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deleting\":false}},\"spec\":"
        )
        .into_bytes();
        object.extend(spec);
        object.extend(b",\"status\":null}");
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let kind = kind.to_owned();
        state.changes.push(Change { revision, kind, object, is_deleted: false });
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Deletes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.state.lock().expect("no holder panics");
        state.revision += 1;
        let revision = state.revision;
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            let kind = kind.to_owned();
            state.changes.push(Change { revision, kind, object, is_deleted: true });
        }
        drop(state);
        self.shared.changed.notify_all();
    }
}

fn serve(shared: &Shared, connection: &mut Connection) -> io::Result<()> {
    while let Some(head) = http::read_head(&mut connection.reader)? {
        http::read_body(&mut connection.reader, &head, false)?;
        let Some(kind) = head.path().strip_prefix("/objects/") else {
            http::respond(&mut connection.writer, 404, &[], b"")?;
            continue;
        };
        let body = match head.query("watch").and_then(|text| text.parse().ok()) {
            Some(revision) => watch(shared, &head, kind, revision),
            None => list(shared, &head, kind),
        };
        let json = [("content-type", "application/json")];
        http::respond(&mut connection.writer, 200, &json, &body)?;
    }
    Ok(())
}

fn list(shared: &Shared, head: &Head, kind: &str) -> Vec<u8> {
    let state = shared.state.lock().expect("no holder panics");
    let after = head.query("after_rev").unwrap_or_default();
    let of_kind: Vec<&Vec<u8>> = state
        .objects
        .iter()
        .filter(|((k, name), _)| k == kind && name.as_str() > after)
        .map(|(_, object)| object)
        .collect();
    let page: Vec<&[u8]> = of_kind.iter().take(PAGE_LEN).map(|object| object.as_slice()).collect();
    let is_truncated = of_kind.len() > PAGE_LEN;
    let mut body = b"{\"items\":[".to_vec();
    body.extend(page.join(&b","[..]));
    let end = format!("],\"truncated\":{is_truncated},\"as_of\":{}}}", state.revision);
    body.extend(end.into_bytes());
    body
}

fn watch(shared: &Shared, head: &Head, kind: &str, revision: u64) -> Vec<u8> {
    let wait = head.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(wait).min(MAX_WAIT);
    let mut state = shared.state.lock().expect("no holder panics");
    loop {
        let newer = state.changes.iter().filter(|c| c.revision > revision && c.kind == kind);
        let events: Vec<Vec<u8>> = newer
            .map(|change| {
                let mut event =
                    format!("{{\"deleted\":{},\"object\":", change.is_deleted).into_bytes();
                event.extend(&change.object);
                event.push(b'}');
                event
            })
            .collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let mut body = b"{\"events\":[".to_vec();
            body.extend(events.join(&b","[..]));
            body.extend(format!("],\"as_of\":{}}}", state.revision).into_bytes());
            return body;
        }
        state = shared.changed.wait_timeout(state, left).expect("no holder panics").0;
    }
}
