//! Tests of the weights origin.

use mastichaven_core::ids::Digest;
use mastichaven_standins::Origin;

use crate::ANY_PORT;
use crate::get;

#[test]
fn object_faults_apply_once_each() {
    // The origin answers one request with a wrong byte, one with another chunk and one with 429.
    // Later requests are answered correctly.
    let origin = Origin::start(ANY_PORT, 1e9).unwrap();
    origin.put(b"aaaabbbb", 4);
    origin.set_faults(|faults| {
        faults.limit_next = 1;
        faults.swap_next = 1;
    });
    let chunk = Digest::of(b"aaaa");
    let url = format!("{}/chunks/{}", origin.base(), chunk.to_hex());
    assert_eq!(get(url.clone()).unwrap().status_code, 429);
    assert_ne!(Digest::of(get(url.clone()).unwrap().as_bytes()), chunk);
    origin.corrupt_next(1);
    assert_eq!(get(url.clone()).unwrap().as_bytes(), b"`aaa");
    assert_eq!(get(url).unwrap().as_bytes(), b"aaaa");
    assert_eq!((origin.counts().objects, origin.counts().limited), (3, 1));
}
