use mastichaven_standins::served::endpoint::EndpointFault;
use mastichaven_standins::served::endpoint::ServedEndpoint;

use super::fixture::Entry;
use super::fixture::Site;
use super::fixture::until;

const EVENTS: &str = "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n\
                      id: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n";

/// Two endpoints of a service, the first of which fails, and an entry that knows both.
fn pair(name: &str, service: &str, fault: EndpointFault) -> (Site, [ServedEndpoint; 2], Entry) {
    let site = Site::start();
    let version = (service == "writer").then_some(1);
    let endpoints =
        [site.endpoint("i-1", service, version), site.endpoint("i-2", service, version)];
    let entry = site.entry(name);
    until("both are known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(2));
    endpoints[0].set_fault(fault);
    (site, endpoints, entry)
}

fn runs_of(endpoints: &[ServedEndpoint], id: &str) -> usize {
    let runs = endpoints.iter().flat_map(ServedEndpoint::runs);
    runs.filter(|run| run.id == id).count()
}

// An endpoint runs a booking and its answer is lost. Sent again, the booking would be made twice;
// called "not run", the caller would send it again itself.
#[test]
fn booking_whose_answer_is_lost_runs_once() {
    let (_site, endpoints, entry) = pair("lost", "desk", EndpointFault::LostAnswer);
    for n in 0..12 {
        let id = format!("b{n}");
        let answer = entry.ask("/booking/a", &id, "key-1").unwrap();
        assert!(matches!(answer.status, 200 | 502 | 504), "{answer:?}");
        assert_eq!(runs_of(&endpoints, &id), 1);
    }
    assert!(endpoints[0].runs().len() >= 2);
}

// An endpoint that is full says so. The booking has not run, so another endpoint may have it.
#[test]
fn booking_that_one_refuses_runs_at_another() {
    let (_site, endpoints, entry) = pair("full", "desk", EndpointFault::Full);
    for n in 0..8 {
        let id = format!("b{n}");
        assert_eq!(entry.ask("/booking/a", &id, "key-1").unwrap().status, 200);
        assert_eq!(runs_of(&endpoints, &id), 1);
    }
    assert!(endpoints[0].runs().is_empty());
}

#[test]
fn booking_that_all_refuse_has_not_run() {
    let (_site, endpoints, entry) = pair("all-full", "desk", EndpointFault::Full);
    endpoints[1].set_fault(EndpointFault::Full);
    let answer = entry.ask("/booking/a", "b", "key-1").unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(runs_of(&endpoints, "b"), 0);
}

// A lookup may run again, so its caller need not see that an endpoint failed.
#[test]
fn lookup_is_repeated_elsewhere_after_a_failure() {
    for fault in [EndpointFault::LostAnswer, EndpointFault::Failing, EndpointFault::WrongId] {
        let (_site, _endpoints, entry) = pair(&format!("repeat-{fault:?}"), "desk", fault);
        for n in 0..6 {
            let answer = entry.ask("/lookup/a", &format!("l{n}"), "key-1").unwrap();
            assert_eq!(answer.body, format!("answer to l{n} by i-2"));
        }
    }
}

// An answer that bears another request's id must never reach this caller, and proves nothing of its
// own request.
#[test]
fn booking_never_gets_the_answer_to_another_request() {
    let (_site, endpoints, entry) = pair("wrong", "desk", EndpointFault::WrongId);
    for n in 0..8 {
        let id = format!("b{n}");
        let answer = entry.ask("/booking/a", &id, "key-1").unwrap();
        let is_own = answer.body == format!("answer to {id} by i-2");
        assert!(is_own || answer.status == 502, "{answer:?}");
        assert_eq!(runs_of(&endpoints, &id), 1);
    }
}

// The address now belongs to another endpoint. It refuses, and the request goes to the right one.
#[test]
fn misdirected_request_goes_elsewhere() {
    let (_site, endpoints, entry) = pair("misdirected", "desk", EndpointFault::Misdirected);
    for n in 0..6 {
        assert_eq!(entry.ask("/booking/a", &format!("b{n}"), "key-1").unwrap().status, 200);
    }
    assert!(endpoints[0].runs().is_empty());
}

// An endpoint crashes in the middle of a stream, even inside an event. The caller must see each
// event once, with the rest from another endpoint.
#[test]
fn stream_goes_on_at_another_endpoint() {
    let (_site, endpoints, entry) = pair("resumed", "writer", EndpointFault::CutAfter(3));
    for n in 0..4 {
        let answer = entry.ask("/stream/a", &format!("s{n}"), "key-1").unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (200, EVENTS));
    }
    let resumed = endpoints[1].runs().into_iter().filter(|run| run.resumed_after == Some(2));
    assert!(resumed.count() >= 1);
}

// The same where streams cannot be continued: the answer must not look whole.
#[test]
fn stream_that_cannot_go_on_does_not_look_whole() {
    let site = Site::start();
    site.configure(2, &["key-1"], false);
    let writer = site.endpoint("i-1", "writer", Some(1));
    let entry = site.entry("cut");
    until("served", || entry.ask("/stream/a", "a", "key-1").is_ok_and(|a| a.status == 200));
    writer.set_fault(EndpointFault::CutAfter(3));
    assert!(entry.ask("/stream/a", "b", "key-1").is_err());
}

// An endpoint goes dark. The stream's caller would wait in vain until it leaves.
#[test]
fn stream_of_a_dark_endpoint_starts_elsewhere() {
    let (_site, _endpoints, entry) = pair("dark", "writer", EndpointFault::Dark);
    for n in 0..3 {
        let answer = entry.ask("/stream/a", &format!("s{n}"), "key-1").unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (200, EVENTS));
    }
}
