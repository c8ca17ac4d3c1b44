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
const BETWEEN_PARTS: Duration = Duration::from_millis(100);

/// Serves one answer whose body comes in parts with pauses between them.
fn slow_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let _ = stream.read(&mut [0; 1_024]).expect("a request");
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n").expect("written");
        for _ in 0..PARTS {
            // The caller may have given up by now.
            let _ = stream.write_all(b"x");
            thread::sleep(BETWEEN_PARTS);
        }
    });
    address
}

fn read_with_pauses_of(pause: Duration) -> Result<Bytes, ConnectionError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let address = slow_server();
        let mut link = HttpConnection::open(address, Duration::from_secs(5)).await?;
        let answer =
            link.send(connection::build_request("GET", address, "/", Bytes::new())).await?;
        connection::collect_body_with_idle_timeout(answer.into_body(), 1_024, pause).await
    })
}

// A configuration of a megabyte takes seconds over a link that others use, too. Bounded as a whole, each
// read of it would be broken off and begun again, and the entry would never have it.
#[test]
fn whole_steadily_waits_for_a_body_that_keeps_coming() {
    let body = read_with_pauses_of(BETWEEN_PARTS * 4);
    assert_eq!(body.map(|body| body.len()), Ok(PARTS));
}

#[test]
fn whole_steadily_gives_up_a_body_that_stops() {
    assert_eq!(read_with_pauses_of(BETWEEN_PARTS / 10), Err(ConnectionError::TimedOut));
}
