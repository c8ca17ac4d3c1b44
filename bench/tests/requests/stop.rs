use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use mastichaven_bench::bookings;
use mastichaven_bench::fleet::CUSTOMER_KEY;
use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;
use mastichaven_bench::fleet::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// More than the system buffers for a connection whose reader pauses.
const BODY_BYTES: usize = 7 << 20;

fn request_head(len: usize) -> String {
    format!(
        "POST /book HTTP/1.1\r\nhost: entry\r\nmastichaven-key: {CUSTOMER_KEY}\r\n\
         content-length: {len}\r\nconnection: close\r\n\r\n"
    )
}

fn post(fleet: &Fleet, len: usize) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.callers_addr(0)).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(request_head(len).as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; len]).unwrap();
    stream
}

// An entry is stopped while a slow caller still reads its response. The endpoint has finished, so
// no request seems to be in flight; an entry that ended now would truncate the response.
#[test]
fn stop_waits_for_slow_reader() {
    let layout =
        Layout { entries: 1, engines: 0, zones: vec![("lagoa", "sul")], ..Layout::default() };
    let mut fleet = Fleet::start(&layout).unwrap();
    let mut config = bookings::configuration().unwrap();
    config.limits.body_bytes = 16 << 20;
    fleet.publish(&config).unwrap();
    let is_served = || {
        let mut text = Vec::new();
        post(&fleet, 5).read_to_end(&mut text).is_ok_and(|_| text.starts_with(b"HTTP/1.1 200"))
    };
    wait_until(WAIT_TIMEOUT, is_served).unwrap();
    let mut stream = post(&fleet, BODY_BYTES);
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line).unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 200");
    let host = fleet.entries.keys().next().unwrap().clone();
    let entry = fleet.entries.remove(&host).unwrap();
    let stopping = thread::spawn(move || entry.stop());
    // Long enough for an entry to end if it does not count the response as in flight.
    thread::sleep(Duration::from_secs(2));
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
    assert!(rest.len() > BODY_BYTES, "only {} bytes received", rest.len());
    stopping.join().unwrap();
    fleet.stop();
}
