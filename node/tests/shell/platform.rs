//! The HTTP adapter of the platform's object store.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;

use bytes::Bytes;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_node::http_store::HttpStore;
use mastichaven_standins::Platform;

use crate::ANY;

#[test]
fn put_with_lost_response_is_unknown() {
    // The platform applies a write and the response is lost. If the adapter treated the broken
    // connection as a rejection, a booking would be reported as not run, and run again under another
    // claim.
    let platform = Platform::start(ANY).unwrap();
    let store = HttpStore::new(platform.base());
    platform.set_faults(|faults| faults.lose_answers = 1);
    let put = store.put("claim", Bytes::from_static(b"a"), Expect::Absent);
    assert_eq!(put, Err(PlatformError::Unknown));
    assert_eq!(store.get("claim").unwrap().unwrap().value, b"a"[..]);
}

#[test]
fn put_to_closed_port_is_down() {
    let free = TcpListener::bind(ANY).unwrap().local_addr().unwrap();
    let store = HttpStore::new(format!("http://{free}"));
    let put = store.put("claim", Bytes::from_static(b"a"), Expect::Absent);
    assert_eq!(put, Err(PlatformError::Down));
}

#[test]
fn get_of_truncated_chunked_value_is_malformed() {
    // A chunked response whose connection closes between two chunks looks complete to the HTTP client.
    // Half a configuration would be applied.
    let listener = TcpListener::bind(ANY).unwrap();
    let store = HttpStore::new(format!("http://{}", listener.local_addr().unwrap()));
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        assert_ne!(stream.read(&mut head).unwrap(), 0);
        let answer =
            "HTTP/1.1 200 OK\r\netag: 1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        stream.write_all(answer.as_bytes()).unwrap();
    });
    assert_eq!(store.get("config"), Err(PlatformError::Malformed));
    server.join().unwrap();
}
