//! Stand-ins and cases of the second review. `review-harness-2 CASE FOLDER` plays a case from the root of the
//! repository and writes `FOLDER/record.txt`; it exits with 0 if the rule held, 1 if it was broken, and 2 if the case
//! could not run. With `TROUBLE=0` it leaves the disruption out.

mod cases;
mod client;
mod engine;
mod fleet;
mod http;
mod origin;
mod record;
mod runner;
mod sha256;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Whether the rule held.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = args.as_slice() else {
        eprintln!("usage: review-harness-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("cannot write the record");
        return ExitCode::from(2);
    };
    record.line(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    match cases::play(case, has_trouble, &record) {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            record.say(&format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
