//! Result codes.

use mastichaven_core::Code;

#[test]
fn all_numbers_rise() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}
