use mastichaven_core::Code;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::RequestId;
use mastichaven_core::record::Record;
use mastichaven_core::run::VoidReply;

fn request(serial: u64) -> RequestId {
    RequestId::new(Incarnation(7), serial)
}

// An entry voids a booking whose frames are still under way, and so many others follow that the
// agent forgets it. Were its late frames taken for a new booking, it would run after its caller
// had been told that it did not, and a second crew would go out.
#[test]
fn start_after_voided_is_forgotten() {
    let mut record = Record::with_capacity(4);
    assert_eq!(record.void(request(1)), VoidReply::Voided);
    for serial in 2..50 {
        record.start(request(serial)).unwrap();
        record.finish(request(serial), VoidReply::Ran(None));
    }
    assert_eq!(record.len(), 4);
    assert_eq!(record.start(request(1)), Err(Code::Voided));
    assert_eq!(record.void(request(1)), VoidReply::Unknown);
    assert_eq!(record.void(request(10)), VoidReply::Unknown);
    assert_eq!(record.void(request(49)), VoidReply::Ran(None));
}

#[test]
fn start_twice() {
    let mut record = Record::default();
    record.start(request(1)).unwrap();
    assert_eq!(record.start(request(1)), Err(Code::KeyInProgress));
    assert_eq!(record.void(request(1)), VoidReply::Running);
}

// A request waits behind a slow claim while thousands of later ones of the same entry pass. It is
// refused with proof; one that is running stays on record however many pass it.
#[test]
fn forget_keeps_running_requests() {
    let mut record = Record::with_capacity(2);
    record.start(request(3)).unwrap();
    for serial in 4..20 {
        record.start(request(serial)).unwrap();
        record.finish(request(serial), VoidReply::Ran(None));
    }
    assert_eq!(record.void(request(3)), VoidReply::Running);
    assert_eq!(record.start(request(2)), Err(Code::Voided));
    let other = RequestId::new(Incarnation(8), 1);
    assert_eq!(record.start(other), Ok(()));
}
