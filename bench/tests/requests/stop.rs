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

const PATIENCE: Duration = Duration::from_secs(60);

/// More than the system keeps for a connection whose reader pauses.
const BODY_LEN: usize = 7 << 20;

fn head(len: usize) -> String {
    format!(
        "POST /book HTTP/1.1\r\nhost: entry\r\nmastichaven-key: {CUSTOMER_KEY}\r\n\
         content-length: {len}\r\nconnection: close\r\n\r\n"
    )
}

fn post(fleet: &Fleet, len: usize) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.callers_addr(0)).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(head(len).as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; len]).unwrap();
    stream
}

// An entry is told to stop while a caller on a thin link still reads its answer. The endpoint has
// long finished, so nothing seems to be in progress; an entry that ended now would cut the answer
// off in the middle.
#[test]
fn stop_while_an_answer_is_read() {
    let layout =
        Layout { entries: 1, engines: 0, zones: vec![("lagoa", "sul")], ..Layout::default() };
    let mut fleet = Fleet::start(&layout).unwrap();
    let mut config = bookings::configuration().unwrap();
    config.limits.body_bytes = 16 << 20;
    fleet.publish(&config).unwrap();
    let is_answered = || {
        let mut text = Vec::new();
        post(&fleet, 5).read_to_end(&mut text).is_ok_and(|_| text.starts_with(b"HTTP/1.1 200"))
    };
    wait_until(PATIENCE, is_answered).unwrap();
    let mut stream = post(&fleet, BODY_LEN);
    let mut first = [0; 12];
    stream.read_exact(&mut first).unwrap();
    assert_eq!(&first, b"HTTP/1.1 200");
    let host = fleet.entries.keys().next().unwrap().clone();
    let entry = fleet.entries.remove(&host).unwrap();
    let stopping = thread::spawn(move || entry.stop());
    // Time enough to end for an entry that thinks that nothing is in progress.
    thread::sleep(Duration::from_secs(2));
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
    assert!(rest.len() > BODY_LEN, "{} bytes came", rest.len());
    stopping.join().unwrap();
    fleet.stop();
}
