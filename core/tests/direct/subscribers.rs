use std::net::IpAddr;
use std::net::SocketAddr;

use mastichaven_core::Time;
use mastichaven_core::direct::subscribers::Subscriber;
use mastichaven_core::direct::subscribers::Subscribers;

fn now(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 1, 0, n])
}

fn heard(subscribers: &mut Subscribers, n: u8, followers: Option<u32>, ms: u64) {
    let subscriber = Subscriber { asked_us: 0, at: now(ms), is_far: false, followers };
    subscribers.renew(SocketAddr::new(ip(n), 7), subscriber);
}

// The store turns the watcher of a region away. It still asks for reports, and must not be named to the
// others any more, which would follow nobody until it is back.
#[test]
fn watcher_passes_on_when_the_store_turns_it_away() {
    let mut subscribers = Subscribers::default();
    heard(&mut subscribers, 1, Some(2), 0);
    heard(&mut subscribers, 2, None, 0);
    heard(&mut subscribers, 3, None, 0);
    assert_eq!(subscribers.watcher(now(10)), Some(ip(1)));
    heard(&mut subscribers, 1, None, 1_500);
    heard(&mut subscribers, 3, Some(0), 1_500);
    heard(&mut subscribers, 2, Some(0), 1_500);
    assert_eq!(subscribers.watcher(now(1_510)), Some(ip(2)));
}

#[test]
fn watcher_that_falls_silent_is_not_named() {
    let mut subscribers = Subscribers::default();
    heard(&mut subscribers, 1, Some(2), 0);
    assert_eq!(subscribers.watcher(now(900)), Some(ip(1)));
    assert_eq!(subscribers.watcher(now(1_100)), None);
}

#[test]
fn to_tell_spares_other_regions_now_and_then() {
    let mut subscribers = Subscribers::default();
    heard(&mut subscribers, 1, None, 0);
    let far = Subscriber { asked_us: 0, at: now(0), is_far: true, followers: Some(3) };
    subscribers.renew(SocketAddr::new(ip(2), 7), far);
    assert_eq!(subscribers.receivers(false, now(100)).count(), 1);
    assert_eq!(subscribers.receivers(true, now(100)).count(), 2);
    assert_eq!(subscribers.watcher(now(100)), None);
    assert_eq!(subscribers.len(now(3_600)), 0);
}
