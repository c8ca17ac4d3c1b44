//! Generational arena: values in one vector, referenced by small `Copy` keys.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::marker::PhantomData;

/// Key of a value of type `T` in an [`Arena`].
///
/// A key holds the version of its slot. After the value is removed, the key is invalid even if the
/// slot is reused.
pub struct Key<T> {
    index: u32,
    version: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.index, self.version) == (other.index, other.version)
    }
}

impl<T> Eq for Key<T> {}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.index, self.version).hash(state);
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({}v{})", self.index, self.version)
    }
}

#[derive(Debug)]
struct Slot<T> {
    version: u32,
    value: Option<T>,
}

/// Values in one vector; slots of removed values are reused.
#[derive(Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Arena { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores `value` and returns its key. O(1).
    pub fn insert(&mut self, value: T) -> Key<T> {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return Key { index, version: slot.version, marker: PhantomData };
        }
        let index = u32::try_from(self.slots.len()).expect("an arena holds fewer than 2^32 values");
        self.slots.push(Slot { version: 0, value: Some(value) });
        Key { index, version: 0, marker: PhantomData }
    }

    /// Returns the value of `key`; `None` if it was removed. O(1).
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        if slot.version == key.version { slot.value.as_ref() } else { None }
    }

    /// Returns the value of `key` mutably; `None` if it was removed. O(1).
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.version == key.version { slot.value.as_mut() } else { None }
    }

    /// Removes and returns the value of `key`; `None` if it was removed before. O(1).
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.version != key.version {
            return None;
        }
        let value = slot.value.take()?;
        slot.version = slot.version.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// Iterates over all keys and values in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key { index: index as u32, version: slot.version, marker: PhantomData };
            slot.value.as_ref().map(|value| (key, value))
        })
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether the arena holds no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
