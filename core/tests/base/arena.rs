//! Tests of arena keys.

use mastichaven_core::Arena;

#[test]
fn get_with_key_of_reused_slot_is_none() {
    let mut arena = Arena::new();
    let old = arena.insert("a");
    assert_eq!(arena.remove(old), Some("a"));
    let new = arena.insert("b");
    assert_eq!(arena.get(old), None);
    assert_eq!(arena.get(new), Some(&"b"));
    assert_eq!(arena.len(), 1);
}
