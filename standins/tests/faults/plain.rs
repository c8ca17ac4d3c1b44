//! Tests of the plain service.

use mastichaven_standins::Plain;

use crate::ANY_PORT;
use crate::post;

#[test]
fn crash_before_and_after_run_is_indistinguishable() {
    // The service crashes before a booking runs, and after. The caller sees a closed connection
    // both times; only the number of runs differs.
    let plain = Plain::start(ANY_PORT, 1).unwrap();
    let url = format!("{}/book", plain.base());
    plain.set_faults(|faults| faults.crash_before_run = 1);
    assert!(post(url.clone(), "pen-1").is_none());
    assert_eq!(plain.runs().get("pen-1"), None);
    plain.set_faults(|faults| faults.crash_after_run = 1);
    assert!(post(url.clone(), "pen-1").is_none());
    assert_eq!(plain.runs().get("pen-1"), Some(&1));
    assert_eq!(post(url, "pen-2").unwrap().status_code, 200);
}
