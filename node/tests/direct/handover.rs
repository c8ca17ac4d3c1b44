use std::thread;
use std::time::Duration;

use mastichaven_node::direct::connection::ConnectionError;
use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::endpoint::Queue;

use super::fixture::Entry;
use super::fixture::Response;
use super::fixture::Site;
use super::fixture::until;
use super::version_history::VersionHistory;

/// Time after the announcement of a version at which the stream is sent. Its endpoint stops at most 1.35 s later, and
/// 0.15 s less where the entry learned of the version late.
const SEND_DELAY: Duration = Duration::from_millis(1_400);

/// Slowdown with which the endpoint stops in the middle of the stream, and one with which it ends it shortly before.
const STOPPING: u32 = 19;
const ENDING: u32 = 9;

const EVENTS: &str = "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n\
                      id: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n";

/// A stream that ran on older weights until their bound while another endpoint got the newer ones.
struct Outdated {
    older: FakeEndpoint,
    newer: FakeEndpoint,
    entry: Entry,
    response: Result<Response, ConnectionError>,
}

impl Outdated {
    fn run(name: &str, slowdown: u32, fault: EndpointFault) -> Outdated {
        let site = Site::start();
        let older = site.start_endpoint("i-1", "writer", Some(1));
        let entry = site.start_entry(name);
        until("served", || {
            entry.send_request("/stream/a", "a", "key-1").is_ok_and(|a| a.status == 200)
        });
        older.set_queue(Queue { slowdown, ..Queue::default() });
        let mut history = VersionHistory::default();
        history.announce(&site, 2);
        thread::sleep(SEND_DELAY.saturating_sub(history.age()));
        let (response, newer) = thread::scope(|scope| {
            let response = scope.spawn(|| entry.send_request("/stream/a", "b", "key-1"));
            until("it begins", || older.runs().iter().any(|run| run.id == "b"));
            let newer = site.start_endpoint("i-2", "writer", Some(2));
            newer.set_fault(fault);
            (response.join().expect("no panic"), newer)
        });
        Outdated { older, newer, entry, response }
    }

    fn assert_whole(&self) {
        let response = self.response.as_ref().expect("a whole response");
        assert_eq!((response.status, response.body.as_str()), (200, EVENTS));
    }

    fn is_cancelled(&self) -> bool {
        self.older.runs().iter().any(|run| run.id == "b" && run.is_abandoned)
    }
}

// Guards against streams on older weights that are cut off at the bound, and against events that are doubled or left
// out when the other endpoint takes over.
#[test]
fn stream_on_older_weights_is_handed_over_before_its_endpoint_stops() {
    let stream = Outdated::run("handed-over", STOPPING, EndpointFault::None);
    stream.assert_whole();
    let runs = stream.newer.runs();
    assert!(runs.iter().any(|run| run.id == "b" && run.resumed_after.is_some()), "{runs:?}");
    until("the first endpoint is left", || stream.is_cancelled());
    until("it is logged", || stream.entry.program.log().contains("stream handed over"));
    assert!(!stream.entry.program.log().contains("\"at\":\"stream\""));
}

// Guards against streams that lose their endpoint to another one that refuses them.
#[test]
fn stream_goes_on_when_other_endpoint_refuses_handover() {
    let stream = Outdated::run("refused", ENDING, EndpointFault::Full);
    stream.assert_whole();
    assert!(!stream.newer.refused_at().is_empty());
    assert!(!stream.is_cancelled());
}

// Guards against streams that lose their endpoint to another one that is lost before it has sent new events.
#[test]
fn stream_goes_on_when_other_endpoint_is_lost_in_handover() {
    for (name, fault) in [("lost", EndpointFault::LostAnswer), ("cut", EndpointFault::CutAfter(2))]
    {
        let stream = Outdated::run(name, ENDING, fault);
        stream.assert_whole();
        assert!(stream.newer.runs().iter().any(|run| run.id == "b"));
        assert!(!stream.is_cancelled());
    }
}
