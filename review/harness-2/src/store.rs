//! Stand-in of the platform's metadata store: lists, watches, and writes of the operator and of runners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Connection;

/// Objects of a list page.
const PAGE_LEN: usize = 500;

/// Time of an answer.
const LATENCY: Duration = Duration::from_millis(4);

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Specs as JSON text, by kind and name, with the revision of their last change.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, object and whether it was deleted.
    changes: Vec<(u64, String, String, bool)>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start(address: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(Shared::default());
        shared.state.lock().expect("no poison").revision = 1;
        let store = Store { address: listener.local_addr()?, shared };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object whose spec is the JSON text `spec`. The return is the acknowledgement. A write that changes
    /// nothing raises no revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.shared.state.lock().expect("no poison");
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.get(&key).is_none_or(|(_, known)| known != spec) {
            state.revision += 1;
            let revision = state.revision;
            state.objects.insert(key, (revision, spec.to_owned()));
            state.changes.push((revision, kind.to_owned(), object(name, revision, spec), false));
            self.shared.changed.notify_all();
        }
        Instant::now()
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.state.lock().expect("no poison");
        if let Some((_, spec)) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push((revision, kind.to_owned(), object(name, revision, &spec), true));
            self.shared.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.read_head() {
            if connection.read_body(&head).is_err() {
                return;
            }
            let path = head.second_word().to_owned();
            let bytes = match path.strip_prefix("/objects/") {
                Some(rest) => self.answer(rest.split('?').next().unwrap_or_default(), &path),
                None => http::response("404 Not Found", &[], b""),
            };
            thread::sleep(LATENCY);
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, kind: &str, path: &str) -> Vec<u8> {
        let number = |name| http::query(path, name).and_then(|text| text.parse::<u64>().ok());
        let body = match number("watch") {
            Some(revision) => self.watch(kind, revision, number("wait_ms").unwrap_or(0)),
            None => self.list(kind, http::query(path, "after_rev").unwrap_or_default()),
        };
        http::response("200 OK", &[("content-type", "application/json")], body.as_bytes())
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.shared.state.lock().expect("no poison");
        let of_kind =
            state.objects.iter().filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<String> =
            of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let page = &items[..items.len().min(PAGE_LEN)];
        format!(
            "{{\"items\":[{}],\"truncated\":{},\"as_of\":{}}}",
            page.join(","),
            items.len() > PAGE_LEN,
            state.revision
        )
    }

    fn watch(&self, kind: &str, revision: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.shared.state.lock().expect("no poison");
        loop {
            let newer = state.changes.iter().filter(|(at, k, _, _)| *at > revision && k == kind);
            let events: Vec<String> = newer
                .map(|(_, _, object, deleted)| {
                    format!("{{\"deleted\":{deleted},\"object\":{object}}}")
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.shared.changed.wait_timeout(state, left).expect("no poison").0;
        }
    }
}
