//! Arenas and their keys.

use mastichaven_core::Arena;

#[test]
fn get_after_slot_reuse_finds_nothing() {
    let mut arena = Arena::new();
    let old = arena.insert("a");
    assert_eq!(arena.remove(old), Some("a"));
    let new = arena.insert("b");
    assert_eq!(arena.get(old), None);
    assert_eq!(arena.get(new), Some(&"b"));
    assert_eq!(arena.len(), 1);
}
