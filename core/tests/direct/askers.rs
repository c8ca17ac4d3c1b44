use std::net::IpAddr;
use std::net::SocketAddr;

use mastichaven_core::Time;
use mastichaven_core::direct::askers::Asker;
use mastichaven_core::direct::askers::Askers;

fn now(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 1, 0, n])
}

fn heard(askers: &mut Askers, n: u8, followers: Option<u32>, ms: u64) {
    let asker = Asker { asked_us: 0, at: now(ms), is_far: false, followers };
    askers.heard(SocketAddr::new(ip(n), 7), asker);
}

// The store turns the watcher of a region away. It still asks for reports, and must not be named to the
// others any more, which would follow nobody until it is back.
#[test]
fn watcher_passes_on_when_the_store_turns_it_away() {
    let mut askers = Askers::default();
    heard(&mut askers, 1, Some(2), 0);
    heard(&mut askers, 2, None, 0);
    heard(&mut askers, 3, None, 0);
    assert_eq!(askers.watcher(now(10)), Some(ip(1)));
    heard(&mut askers, 1, None, 1_500);
    heard(&mut askers, 3, Some(0), 1_500);
    heard(&mut askers, 2, Some(0), 1_500);
    assert_eq!(askers.watcher(now(1_510)), Some(ip(2)));
}

#[test]
fn watcher_that_falls_silent_is_not_named() {
    let mut askers = Askers::default();
    heard(&mut askers, 1, Some(2), 0);
    assert_eq!(askers.watcher(now(900)), Some(ip(1)));
    assert_eq!(askers.watcher(now(1_100)), None);
}

#[test]
fn to_tell_spares_other_regions_now_and_then() {
    let mut askers = Askers::default();
    heard(&mut askers, 1, None, 0);
    let far = Asker { asked_us: 0, at: now(0), is_far: true, followers: Some(3) };
    askers.heard(SocketAddr::new(ip(2), 7), far);
    assert_eq!(askers.to_tell(false, now(100)).count(), 1);
    assert_eq!(askers.to_tell(true, now(100)).count(), 2);
    assert_eq!(askers.watcher(now(100)), None);
    assert_eq!(askers.len(now(3_600)), 0);
}
