//! Accepted generations of the configuration: file lists and the deltas between them.
//!
//! The accepted configuration is a [`Head`] object on the platform. Files are referenced by digest,
//! so that a change of one file among hundreds costs a process that file and a [`Delta`] of a few
//! hundred bytes. The head carries a delta that covers the latest generations. Only a process that
//! is further behind reads the whole list.
//!
//! The number of a generation is the maximum of the wall clock in Unix seconds and the highest
//! known number plus one. It so increases even after the head was deleted or the platform lost all
//! objects: an earlier number could only be reached again if it had been in the future.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::code::Code;
use crate::ids::Digest;
use crate::ids::Generation;

/// Maximum size of one part of a file in bytes; a larger file is stored as several objects.
pub const MAX_PART_LEN: usize = 512 << 10;

/// Maximum number of removed files kept in a list.
const MAX_REMOVED_FILES: usize = 256;

/// Maximum number of generations, besides the newest, that the delta of a head covers.
const MAX_HEAD_DELTA_GENERATIONS: usize = 24;

/// Maximum number of files in the delta of a head, unless the newest generation alone has more.
const MAX_HEAD_DELTA_FILES: usize = 32;

/// Maximum number of receipts kept in a head.
const MAX_HEAD_RECEIPTS: usize = 64;

/// One file of an accepted folder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileRef {
    /// Name of the file within the folder.
    pub name: SmolStr,
    /// Generation that last changed the file.
    pub changed_in: Generation,
    /// Digests of its parts, in order.
    pub parts: Vec<Digest>,
}

/// Tombstone of a removed file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RemovedFile {
    /// Name of the removed file.
    pub name: SmolStr,
    /// Generation that removed the file.
    pub removed_in: Generation,
}

/// Files of one generation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileList {
    /// Generation of this list.
    pub generation: Generation,
    /// Tombstones of this generation and earlier ones have been dropped.
    removed_floor: Generation,
    files: Vec<FileRef>,
    removed: Vec<RemovedFile>,
}

/// Changes after one generation up to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Earliest generation of a list that the delta applies to; 0 for a delta that holds the whole
    /// list and applies to any.
    pub from: Generation,
    /// Generation of the resulting list.
    pub to: Generation,
    /// [`FileList::root`] of the resulting list.
    pub root: Digest,
    /// Files changed after `from`.
    pub files: Vec<FileRef>,
    /// Files removed after `from`.
    pub removed: Vec<RemovedFile>,
}

/// Confirms to a publisher that its generation was accepted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Accepted generation.
    pub generation: Generation,
    /// Random number drawn by the publisher.
    pub publisher: u64,
}

/// The object whose conditional update accepts a generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Accepted generation.
    pub generation: Generation,
    /// Keys of the objects that hold the encoded [`FileList`], in order.
    pub list: Vec<SmolStr>,
    /// Delta that covers the latest generations.
    pub delta: Delta,
    /// Receipts of the latest generations, oldest first.
    pub receipts: Vec<Receipt>,
    /// Keys of objects that are no longer referenced, with the generation that replaced them.
    pub unused: Vec<(Generation, SmolStr)>,
}

/// Digests of the parts of each file, by file name.
pub type FileParts = BTreeMap<SmolStr, Vec<Digest>>;

impl FileList {
    /// Files in the order of their names.
    pub fn files(&self) -> &[FileRef] {
        &self.files
    }

    /// Digests of the parts of each file.
    pub fn parts(&self) -> FileParts {
        self.files.iter().map(|file| (file.name.clone(), file.parts.clone())).collect()
    }

    /// Digest over the names and contents of all files. O(n) in the files.
    pub fn root(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for file in &self.files {
            hasher.update(&(file.name.len() as u64).to_be_bytes());
            hasher.update(file.name.as_bytes());
            hasher.update(&(file.parts.len() as u64).to_be_bytes());
            for part in &file.parts {
                hasher.update(&part.0);
            }
        }
        Digest(*hasher.finalize().as_bytes())
    }

    /// Returns the list of `generation` with `files`, keeping `changed_in` of unchanged files.
    pub fn with_files(&self, files: &FileParts, generation: Generation) -> FileList {
        let old: BTreeMap<&SmolStr, &FileRef> = self.files.iter().map(|f| (&f.name, f)).collect();
        let refs = files.iter().map(|(name, parts)| {
            let unchanged = old.get(name).filter(|old| old.parts == *parts);
            let changed_in = unchanged.map_or(generation, |old| old.changed_in);
            FileRef { name: name.clone(), changed_in, parts: parts.clone() }
        });
        let removed_names = old.keys().filter(|name| !files.contains_key(**name));
        let mut next = FileList {
            generation,
            removed_floor: self.removed_floor,
            files: refs.collect(),
            removed: Vec::new(),
        };
        next.removed =
            self.removed.iter().filter(|r| !files.contains_key(&r.name)).cloned().collect();
        next.removed.extend(
            removed_names.map(|name| RemovedFile { name: (*name).clone(), removed_in: generation }),
        );
        next.trim_removed();
        next
    }

    fn trim_removed(&mut self) {
        self.removed.sort_by_key(|removed| removed.removed_in);
        if let Some(excess) = self.removed.len().checked_sub(MAX_REMOVED_FILES)
            && excess > 0
        {
            self.removed_floor = self.removed[excess - 1].removed_in.max(self.removed_floor);
            self.removed.drain(..excess);
            self.removed.retain(|removed| removed.removed_in > self.removed_floor);
        }
    }

    /// Returns the changes after `from`, or the whole list if tombstones after `from` have been
    /// dropped.
    pub fn delta_since(&self, from: Generation) -> Delta {
        let from = if from < self.removed_floor { Generation(0) } else { from };
        let files = self.files.iter().filter(|file| file.changed_in > from).cloned().collect();
        let removed = self.removed.iter().filter(|r| r.removed_in > from).cloned().collect();
        Delta { from, to: self.generation, root: self.root(), files, removed }
    }

    /// Returns the list after `delta`. Fails with [`Code::WatchGap`] if this list is older than
    /// the delta requires, or if the result does not match [`Delta::root`]; the whole list is then
    /// needed.
    pub fn apply_delta(&self, delta: &Delta) -> Result<FileList, Code> {
        if delta.from > self.generation {
            return Err(Code::WatchGap);
        }
        let is_full = delta.from == Generation(0);
        let mut files: BTreeMap<SmolStr, FileRef> = BTreeMap::new();
        if !is_full {
            files.extend(self.files.iter().map(|file| (file.name.clone(), file.clone())));
        }
        for removed in &delta.removed {
            files.remove(&removed.name);
        }
        files.extend(delta.files.iter().map(|file| (file.name.clone(), file.clone())));
        let mut next = FileList {
            generation: delta.to,
            removed_floor: if is_full { delta.to } else { self.removed_floor },
            files: files.into_values().collect(),
            removed: if is_full { Vec::new() } else { self.removed.clone() },
        };
        for removed in &delta.removed {
            next.removed.retain(|old| old.name != removed.name);
            next.removed.push(removed.clone());
        }
        next.trim_removed();
        if next.root() == delta.root { Ok(next) } else { Err(Code::WatchGap) }
    }
}

impl Head {
    /// Returns the head that replaces `old` and accepts `list`, published by `publisher`. `unused`
    /// are the keys that are no longer referenced.
    pub fn accept(
        old: Option<&Head>,
        list: &FileList,
        keys: Vec<SmolStr>,
        publisher: u64,
        unused: Vec<SmolStr>,
    ) -> Head {
        let mut receipts = old.map_or(Vec::new(), |old| old.receipts.clone());
        receipts.push(Receipt { generation: list.generation, publisher });
        let excess = receipts.len().saturating_sub(MAX_HEAD_RECEIPTS);
        receipts.drain(..excess);
        let mut all_unused = old.map_or(Vec::new(), |old| old.unused.clone());
        all_unused.extend(unused.into_iter().map(|key| (list.generation, key)));
        Head {
            generation: list.generation,
            list: keys,
            delta: head_delta(old, list, &receipts),
            receipts,
            unused: all_unused,
        }
    }

    /// Generation with a receipt for `publisher`, if the head still holds one.
    pub fn receipt(&self, publisher: u64) -> Option<Generation> {
        let mine = self.receipts.iter().find(|receipt| receipt.publisher == publisher);
        mine.map(|receipt| receipt.generation)
    }
}

/// Returns the delta of a head: the longest one within [`MAX_HEAD_DELTA_GENERATIONS`] and
/// [`MAX_HEAD_DELTA_FILES`], or else that of the newest generation. The first head holds the whole
/// list.
fn head_delta(old: Option<&Head>, list: &FileList, receipts: &[Receipt]) -> Delta {
    let Some(old) = old else {
        return list.delta_since(Generation(0));
    };
    let first = receipts.len().saturating_sub(MAX_HEAD_DELTA_GENERATIONS + 1);
    let from_generations = receipts[first..].iter().map(|receipt| receipt.generation);
    let mut deltas =
        from_generations.filter(|at| *at < old.generation).map(|at| list.delta_since(at));
    let within_limit =
        deltas.find(|delta| delta.files.len() + delta.removed.len() <= MAX_HEAD_DELTA_FILES);
    within_limit.unwrap_or_else(|| list.delta_since(old.generation))
}

/// Returns the number of the next generation. `highest` is the highest number known from any
/// source, `unix_seconds` the wall clock of the publisher.
pub fn next_generation(highest: Generation, unix_seconds: u64) -> Generation {
    Generation(unix_seconds.max(highest.0 + 1))
}

/// Merges the folder of a publisher with what others have published since, file by file.
///
/// `base` is the accepted configuration that the publisher started from, `mine` its folder and
/// `theirs` the configuration accepted now. Fails with the names of the files that both sides
/// changed differently since `base`.
pub fn three_way_merge(
    base: &FileParts,
    mine: &FileParts,
    theirs: &FileParts,
) -> Result<FileParts, Vec<SmolStr>> {
    let names: BTreeSet<&SmolStr> = base.keys().chain(mine.keys()).chain(theirs.keys()).collect();
    let mut result = FileParts::new();
    let mut conflicts = Vec::new();
    for name in names {
        let (b, m, t) = (base.get(name), mine.get(name), theirs.get(name));
        let chosen = if m == b || m == t {
            t
        } else if t == b {
            m
        } else {
            conflicts.push(name.clone());
            continue;
        };
        if let Some(parts) = chosen {
            result.insert(name.clone(), parts.clone());
        }
    }
    if conflicts.is_empty() { Ok(result) } else { Err(conflicts) }
}
