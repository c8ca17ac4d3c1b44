//! Accepted generations: lists of files, and what changed between them.
//!
//! The accepted configuration is a [`Head`] object on the platform. It names the files of the
//! folder by digest, so that a change of one file among hundreds costs a process that file and a
//! [`Delta`] of a few hundred bytes. The head itself carries the delta of the latest generations;
//! only a process that is further behind reads the whole list.
//!
//! The number of a generation is the larger of the wall clock's seconds and one above the highest
//! number known. It so rises also when the head was deleted or the platform lost everything: the
//! number would have to lie in the future to be reached again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::code::Code;
use crate::ids::Digest;
use crate::ids::Generation;

/// Bytes of one part of a file at most; a longer file is split over several objects.
pub const MAX_PART_LEN: usize = 512 << 10;

/// Removed files that a list remembers.
const MAX_REMOVED: usize = 256;

/// Changes that a head carries besides the newest.
const HEAD_CHANGES: usize = 24;

/// Files that a head names besides the newest change's.
const HEAD_FILES: usize = 32;

/// Accepted generations whose publishers a head remembers.
const HEAD_RECEIPTS: usize = 64;

/// One file of an accepted folder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileRef {
    /// Its name.
    pub name: SmolStr,
    /// The generation that changed it last.
    pub changed: Generation,
    /// The digests of its parts, in order.
    pub parts: Vec<Digest>,
}

/// A file that is no longer there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removed {
    /// Its name.
    pub name: SmolStr,
    /// The generation that removed it.
    pub at: Generation,
}

/// The files of one generation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileList {
    /// The generation.
    pub generation: Generation,
    /// Removals at or below this generation are forgotten.
    floor: Generation,
    files: Vec<FileRef>,
    removed: Vec<Removed>,
}

/// What changed above one generation up to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// It applies to lists of this generation or a later one; to any list when it is 0.
    pub from: Generation,
    /// The generation it leads to.
    pub to: Generation,
    /// [`FileList::root`] of the list it leads to.
    pub root: Digest,
    /// Files changed above `from`.
    pub files: Vec<FileRef>,
    /// Files removed above `from`.
    pub removed: Vec<Removed>,
}

/// Proof towards one publisher that its generation was accepted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// The generation.
    pub generation: Generation,
    /// A number that the publisher drew.
    pub publisher: u64,
}

/// The one object whose conditional update accepts a generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The generation.
    pub generation: Generation,
    /// Keys of the objects that hold the encoded [`FileList`], in order.
    pub list: Vec<SmolStr>,
    /// The latest changes.
    pub delta: Delta,
    /// Who published the latest generations.
    pub receipts: Vec<Receipt>,
    /// Objects that no longer belong to the configuration, with the generation that replaced them.
    pub unused: Vec<(Generation, SmolStr)>,
}

/// Files by name, each as the digests of its parts.
pub type FileParts = BTreeMap<SmolStr, Vec<Digest>>;

impl FileList {
    /// The files, by name.
    pub fn files(&self) -> &[FileRef] {
        &self.files
    }

    /// The files as digests alone.
    pub fn parts(&self) -> FileParts {
        self.files.iter().map(|file| (file.name.clone(), file.parts.clone())).collect()
    }

    /// Digest over names and contents. O(n) in the files.
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

    /// The list that holds `files` as generation `generation`.
    pub fn next(&self, files: &FileParts, generation: Generation) -> FileList {
        let old: BTreeMap<&SmolStr, &FileRef> = self.files.iter().map(|f| (&f.name, f)).collect();
        let refs = files.iter().map(|(name, parts)| {
            let same = old.get(name).filter(|old| old.parts == *parts);
            let changed = same.map_or(generation, |old| old.changed);
            FileRef { name: name.clone(), changed, parts: parts.clone() }
        });
        let gone = old.keys().filter(|name| !files.contains_key(**name));
        let mut next =
            FileList { generation, floor: self.floor, files: refs.collect(), removed: Vec::new() };
        next.removed =
            self.removed.iter().filter(|r| !files.contains_key(&r.name)).cloned().collect();
        next.removed.extend(gone.map(|name| Removed { name: (*name).clone(), at: generation }));
        next.trim_removed();
        next
    }

    fn trim_removed(&mut self) {
        self.removed.sort_by_key(|removed| removed.at);
        if let Some(excess) = self.removed.len().checked_sub(MAX_REMOVED)
            && excess > 0
        {
            self.floor = self.removed[excess - 1].at.max(self.floor);
            self.removed.drain(..excess);
            self.removed.retain(|removed| removed.at > self.floor);
        }
    }

    /// What changed above `from`; the whole list when `from` is below what is remembered.
    pub fn delta(&self, from: Generation) -> Delta {
        let from = if from < self.floor { Generation(0) } else { from };
        let files = self.files.iter().filter(|file| file.changed > from).cloned().collect();
        let removed = self.removed.iter().filter(|r| r.at > from).cloned().collect();
        Delta { from, to: self.generation, root: self.root(), files, removed }
    }

    /// The list after `delta`. [`Code::WatchGap`] when this list is too old for it or differs
    /// from what the delta was made from: the whole list is then needed.
    pub fn apply(&self, delta: &Delta) -> Result<FileList, Code> {
        if delta.from > self.generation {
            return Err(Code::WatchGap);
        }
        let whole = delta.from == Generation(0);
        let mut files: BTreeMap<SmolStr, FileRef> = BTreeMap::new();
        if !whole {
            files.extend(self.files.iter().map(|file| (file.name.clone(), file.clone())));
        }
        for removed in &delta.removed {
            files.remove(&removed.name);
        }
        files.extend(delta.files.iter().map(|file| (file.name.clone(), file.clone())));
        let mut next = FileList {
            generation: delta.to,
            floor: if whole { delta.to } else { self.floor },
            files: files.into_values().collect(),
            removed: if whole { Vec::new() } else { self.removed.clone() },
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
    /// The head that accepts `list` after `old`, published by `publisher`.
    pub fn accept(
        old: Option<&Head>,
        list: &FileList,
        keys: Vec<SmolStr>,
        publisher: u64,
        unused: Vec<SmolStr>,
    ) -> Head {
        let mut receipts = old.map_or(Vec::new(), |old| old.receipts.clone());
        receipts.push(Receipt { generation: list.generation, publisher });
        let excess = receipts.len().saturating_sub(HEAD_RECEIPTS);
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

    /// Whether `publisher` had a generation accepted lately, and which.
    pub fn receipt(&self, publisher: u64) -> Option<Generation> {
        let mine = self.receipts.iter().find(|receipt| receipt.publisher == publisher);
        mine.map(|receipt| receipt.generation)
    }
}

/// The delta of a head starts a few generations back, later when much was changed since. The first
/// head's delta is the whole list.
fn head_delta(old: Option<&Head>, list: &FileList, receipts: &[Receipt]) -> Delta {
    let Some(old) = old else {
        return list.delta(Generation(0));
    };
    let first = receipts.len().saturating_sub(HEAD_CHANGES + 1);
    let starts = receipts[first..].iter().map(|receipt| receipt.generation);
    let mut deltas = starts.filter(|at| *at < old.generation).map(|at| list.delta(at));
    let small = deltas.find(|delta| delta.files.len() + delta.removed.len() <= HEAD_FILES);
    small.unwrap_or_else(|| list.delta(old.generation))
}

/// The number of the next generation; `highest` is the highest one known from anywhere, and
/// `unix_seconds` the wall clock of the publisher.
pub fn next_generation(highest: Generation, unix_seconds: u64) -> Generation {
    Generation(unix_seconds.max(highest.0 + 1))
}

/// Puts a publisher's folder and what others published since together, file by file.
///
/// `base` is what the publisher last saw accepted, `mine` its folder, `theirs` what is accepted
/// now. Files that both sides changed differently since `base` are clashes; their names are the
/// error.
pub fn three_way(
    base: &FileParts,
    mine: &FileParts,
    theirs: &FileParts,
) -> Result<FileParts, Vec<SmolStr>> {
    let names: BTreeSet<&SmolStr> = base.keys().chain(mine.keys()).chain(theirs.keys()).collect();
    let mut result = FileParts::new();
    let mut clashes = Vec::new();
    for name in names {
        let (b, m, t) = (base.get(name), mine.get(name), theirs.get(name));
        let chosen = if m == b || m == t {
            t
        } else if t == b {
            m
        } else {
            clashes.push(name.clone());
            continue;
        };
        if let Some(parts) = chosen {
            result.insert(name.clone(), parts.clone());
        }
    }
    if clashes.is_empty() { Ok(result) } else { Err(clashes) }
}
