//! Tests of result codes.

use mastichaven_core::Code;
use mastichaven_core::Outcome;

#[test]
fn all_numbers_increase() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn documented_codes_match_enum() {
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
    assert_eq!(rows.len(), expected.len(), "docs/CODES.md has missing or extra rows");
}

#[test]
fn outcome_of_lost_answer_is_unknown() {
    // A caller repeats a booking whose outcome is "not run". A lost answer must not be reported
    // with that outcome, because the request may have run.
    for code in [Code::EndpointLost, Code::PeerLost, Code::DeadlineDuringRun, Code::Truncated] {
        assert_eq!(code.outcome(), Outcome::Unknown, "{code}");
    }
}
