use mastichaven_core::Code;
use mastichaven_core::attempts::AttemptTable;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::RequestId;
use mastichaven_core::run::VoidReply;

fn request(serial: u64) -> RequestId {
    RequestId::new(Incarnation(7), serial)
}

// An entry voids a booking whose frames are still in flight, and the agent evicts it after many
// further attempts. Accepted as a new booking, the late frames would run it after its caller got
// the outcome `not-run`.
#[test]
fn start_after_void_and_eviction() {
    let mut table = AttemptTable::with_capacity(4);
    assert_eq!(table.void(request(1)), VoidReply::Voided);
    for serial in 2..50 {
        table.start(request(serial)).unwrap();
        table.finish(request(serial), VoidReply::Ran(None));
    }
    assert_eq!(table.len(), 4);
    assert_eq!(table.start(request(1)), Err(Code::Voided));
    assert_eq!(table.void(request(1)), VoidReply::Unknown);
    assert_eq!(table.void(request(10)), VoidReply::Unknown);
    assert_eq!(table.void(request(49)), VoidReply::Ran(None));
}

#[test]
fn start_repeated() {
    let mut table = AttemptTable::default();
    table.start(request(1)).unwrap();
    assert_eq!(table.start(request(1)), Err(Code::KeyInProgress));
    assert_eq!(table.void(request(1)), VoidReply::Running);
}

// An attempt waits on a slow claim while thousands of later ones of its entry pass, and is refused
// as not run. A running attempt stays in the table.
#[test]
fn finish_evicts_no_running_request() {
    let mut table = AttemptTable::with_capacity(2);
    table.start(request(3)).unwrap();
    for serial in 4..20 {
        table.start(request(serial)).unwrap();
        table.finish(request(serial), VoidReply::Ran(None));
    }
    assert_eq!(table.void(request(3)), VoidReply::Running);
    assert_eq!(table.start(request(2)), Err(Code::Voided));
    let other = RequestId::new(Incarnation(8), 1);
    assert_eq!(table.start(other), Ok(()));
}
