//! The plain service.

use mastichaven_standins::Plain;

use crate::ANY_PORT;
use crate::post;

#[test]
fn crash_before_and_after_run_is_indistinguishable() {
    // The service ends before it has booked, and after. The caller sees the same cut connection
    // both times; only the count of runs tells them apart.
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
