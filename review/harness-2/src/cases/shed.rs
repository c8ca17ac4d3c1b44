//! The origin of weights rejects a share of its requests for some seconds after a final fault.

use std::thread;
use std::time::Duration;

use super::model::Platform;
use crate::Verdict;
use crate::record::Record;

/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which all processes are down.
const DOWN: Duration = Duration::from_millis(1_400);

/// Time for which the origin rejects a share of its requests.
const SHED: Duration = Duration::from_millis(6_500);

/// Time after which the requests are sent once more.
const LATER: Duration = Duration::from_secs(25);

const REQUESTS: usize = 40;

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let platform = Platform::start(record)?;
    let system = platform.start_system()?;
    thread::sleep(Duration::from_secs(4));
    let before = system.serve("before", REQUESTS, record);
    platform.name_weights(2);
    drop(system);
    record.line("all processes of the system are killed");
    thread::sleep(DOWN);
    if has_trouble {
        platform.origin.shed_for(SHED);
    }
    let system = platform.start_system()?;
    thread::sleep(RECOVERY);
    let after = system.serve("after", REQUESTS, record);
    thread::sleep(LATER);
    let much_later = system.serve("much-later", REQUESTS, record);
    record.say(&format!(
        "served before the fault: {before} of {REQUESTS}; later than {RECOVERY:?} after the machines were back: \
         {after} of {REQUESTS}"
    ));
    record
        .say(&format!("served {LATER:?} after that (decides nothing): {much_later} of {REQUESTS}"));
    if before * 4 < REQUESTS {
        return Err("too few requests were served before the fault".to_owned());
    }
    Ok(after * 4 >= REQUESTS)
}
