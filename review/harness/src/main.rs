//! Runs the cases of the review: `review-harness N FOLDER`, in the root of the repository.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod client;
mod http;
mod model_runner;
mod origin;
mod program;
mod record;
mod runner;
mod sha256;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use self::record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Whether the rule was broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        program::kill_all();
        eprintln!("given up after {TIME_LIMIT:?}");
        std::process::exit(2);
    });
    record.summary(if has_trouble { "with the disruption" } else { "without the disruption" });
    let result = cases::run(case, has_trouble, &record);
    program::kill_all();
    match result {
        Ok(Verdict::Held) => {
            record.summary("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.summary("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            record.summary(&format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
