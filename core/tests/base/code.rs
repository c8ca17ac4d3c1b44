//! Result codes.

use mastichaven_core::Code;
use mastichaven_core::Outcome;

#[test]
fn all_numbers_rise() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn documented_codes_equal_the_enum() {
    let page = include_str!("../../../docs/CODES.md");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| E")).collect();
    let expected: Vec<String> = Code::ALL
        .iter()
        .map(|code| {
            let (number, status) = (code.number(), code.http_status());
            format!("| E{number} | {status} | {} | {} |", code.outcome().as_str(), code.text())
        })
        .collect();
    for (row, expected) in rows.iter().zip(&expected) {
        assert_eq!(row, expected, "docs/CODES.md");
    }
    assert_eq!(rows.len(), expected.len(), "docs/CODES.md lacks rows or has too many");
}

#[test]
fn refusal_of_a_run_that_may_have_begun_is_never_not_run() {
    // A caller that reads "not run" sends its booking again. Codes for answers that were lost must
    // not say so.
    for code in [Code::EndpointLost, Code::PeerLost, Code::DeadlineDuringRun, Code::Truncated] {
        assert_eq!(code.outcome(), Outcome::Unknown, "{code}");
    }
}
