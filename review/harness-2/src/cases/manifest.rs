//! The origin spoils one digit of the manifest of a new version of the weights.

use std::thread;
use std::time::Duration;

use super::model::Platform;
use crate::Verdict;
use crate::record::Record;

/// `version_ms`, and some time more.
const ROLLOUT: Duration = Duration::from_secs(14);

/// Time after which the requests are sent once more.
const LATER: Duration = Duration::from_secs(20);

/// Requests on each route.
const REQUESTS: usize = 30;

const ROUTES: [&str; 3] = ["lookup", "stream", "later"];

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let platform = Platform::start(record)?;
    let system = platform.start_system()?;
    thread::sleep(Duration::from_secs(4));
    platform.configure(2, &["stream", "later"]);
    thread::sleep(Duration::from_secs(3));
    let before = system.serve(&ROUTES, "before", REQUESTS, record);
    if before.lookup + before.stream + before.later < 3 * REQUESTS {
        return Err(format!("not all requests were served before: {before:?}"));
    }
    if has_trouble {
        platform.origin.spoil_next_manifest();
    }
    platform.name_weights(2);
    thread::sleep(ROLLOUT);
    let after = system.serve(&ROUTES, "after", REQUESTS, record);
    thread::sleep(LATER);
    let much_later = system.serve(&ROUTES, "much-later", REQUESTS, record);
    record.say(&format!(
        "served of {REQUESTS} on each route, {ROLLOUT:?} after version 2 was named: {after:?}"
    ));
    record.say(&format!(
        "served of {REQUESTS} on each route, {LATER:?} after that (decides nothing): {much_later:?}"
    ));
    let first_share = (after.lookup + after.stream) as f64 / (2 * REQUESTS) as f64;
    let later_share = after.later as f64 / REQUESTS as f64;
    Ok(later_share >= first_share / 4.0)
}
