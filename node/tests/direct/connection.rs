use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_node::direct::connection;
use mastichaven_node::direct::connection::ConnectionError;
use mastichaven_node::direct::connection::HttpConnection;

const PARTS: usize = 6;
const PART_INTERVAL: Duration = Duration::from_millis(100);

/// Serves one response and sends its body in parts, at intervals of [`PART_INTERVAL`].
fn spawn_slow_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let _ = stream.read(&mut [0; 1_024]).expect("a request");
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n").expect("written");
        for _ in 0..PARTS {
            // The client may have closed the connection.
            let _ = stream.write_all(b"x");
            thread::sleep(PART_INTERVAL);
        }
    });
    address
}

fn read_with_idle_timeout(idle_timeout: Duration) -> Result<Bytes, ConnectionError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime can be created").block_on(async {
        let address = spawn_slow_server();
        let mut connection = HttpConnection::open(address, Duration::from_secs(5)).await?;
        let response =
            connection.send(connection::build_request("GET", address, "/", Bytes::new())).await?;
        connection::collect_body_with_idle_timeout(response.into_body(), 1_024, idle_timeout).await
    })
}

// Guards against a timeout of the whole body: a configuration of one megabyte takes seconds over a
// shared link, and with such a timeout every read would be aborted and restarted.
#[test]
fn collect_body_with_idle_timeout_accepts_slow_body() {
    let body = read_with_idle_timeout(PART_INTERVAL * 4);
    assert_eq!(body.map(|body| body.len()), Ok(PARTS));
}

#[test]
fn collect_body_with_idle_timeout_rejects_stalled_body() {
    assert_eq!(read_with_idle_timeout(PART_INTERVAL / 10), Err(ConnectionError::TimedOut));
}

/// Accepts a connection, reads a request, answers it if `answers`, and returns how the connection ends.
fn end_of_connection(answers: bool) -> io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let _ = stream.read(&mut [0; 1_024]).expect("a request");
        if answers {
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").expect("written");
        }
        stream.read(&mut [0; 1])
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime can be created").block_on(async {
        let mut connection =
            HttpConnection::open(address, Duration::from_secs(5)).await.expect("open");
        let req = connection::build_request("GET", address, "/", Bytes::new());
        let _ = connection.call(req, 1_024, PART_INTERVAL).await;
        drop(connection);
        // Lets the task of the connection end.
        tokio::time::sleep(PART_INTERVAL).await;
    });
    server.join().expect("no panic")
}

// Guards against a cancelled request that its endpoint runs all the same, as an orderly close may be a half-close
// and leaves the request in the buffers of both hosts.
#[test]
fn dropping_connection_with_request_in_flight_resets_it() {
    let end = end_of_connection(false).map_err(|e| e.kind());
    assert_eq!(end, Err(io::ErrorKind::ConnectionReset));
}

#[test]
fn dropping_idle_connection_closes_it() {
    assert_eq!(end_of_connection(true).map_err(|e| e.kind()), Ok(0));
}
