//! Spreading the accepted configuration and the plans from process to process.
//!
//! Everything here only rises: [`Docs::offer`] refuses a lower revision and [`Files::offer`] a
//! lower generation, whoever sends it. Files are named by digest, so what a peer sends is checked
//! before it is used, and a process fetches only the parts that it does not have.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::check;
use crate::config::Config;
use crate::folder;
use crate::folder::ParsedFile;
use crate::folder::Problem;
use crate::generation::Delta;
use crate::generation::FileList;
use crate::generation::FileRef;
use crate::ids::Digest;
use crate::ids::Generation;

/// Documents one message may carry or ask for at most.
pub const MAX_DOCS: usize = 4_096;

/// Bytes of parts that one message carries at most; the rest is asked for.
pub const MAX_INLINE: usize = 256 << 10;

/// Parts that one message may ask for at most.
pub const MAX_PARTS: usize = 64;

/// Bytes of parts that an answer to [`SpreadAsk::Parts`] holds before it stops.
pub const MAX_PARTS_BYTES: usize = 2 << 20;

/// The object, and the document, that accepts a configuration.
pub const HEAD_KEY: &str = "spread/config";

/// Everything that a relay watches lies below this prefix: the head and the plans.
pub const SPREAD_PREFIX: &str = "spread/";

/// A plan of a model, as a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Doc {
    /// Its name, such as `spread/plan/rota`.
    pub key: SmolStr,
    /// Rises with each change.
    pub revision: u64,
    /// Its encoded value.
    pub bytes: Bytes,
}

/// Asks about configuration and plans, or brings them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SpreadAsk {
    /// Everything above a generation and these revisions; a key that is not named counts as 0.
    Above {
        /// The generation in force at the asker.
        generation: Generation,
        /// Keys and revisions of its documents.
        docs: Vec<(SmolStr, u64)>,
    },
    /// News for the receiver and for those it passes them on to.
    Push(Update),
    /// Parts of files, by digest.
    Parts(Vec<Digest>),
    /// What the receiver, and those below it in the zone's tree, have in force.
    Survey,
}

/// Answers a [`SpreadAsk`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SpreadReply {
    /// What is newer here.
    Update(Update),
    /// The parts that are here, as many as fit into one message.
    Parts(Vec<Bytes>),
    /// The push was taken in.
    Done,
    /// Answer to [`SpreadAsk::Survey`].
    Survey(Survey),
}

/// News of the configuration and the plans.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// What changed in the configuration.
    pub delta: Option<Delta>,
    /// Parts of the changed files, as many as fit.
    pub parts: Vec<Bytes>,
    /// Newer documents.
    pub docs: Vec<Doc>,
}

impl Update {
    /// Whether it brings nothing.
    pub fn is_empty(&self) -> bool {
        self.delta.is_none() && self.docs.is_empty()
    }
}

/// What some processes have in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Survey {
    /// How many processes.
    pub processes: u32,
    /// Processes that did not answer.
    pub silent: u32,
    /// The lowest generation among them.
    pub lowest: Generation,
    /// The highest generation among them.
    pub highest: Generation,
}

impl Survey {
    /// A survey of one process.
    pub fn of(generation: Generation) -> Survey {
        Survey { processes: 1, silent: 0, lowest: generation, highest: generation }
    }

    /// Puts two surveys together.
    pub fn and(self, other: Survey) -> Survey {
        Survey {
            processes: self.processes + other.processes,
            silent: self.silent + other.silent,
            lowest: self.lowest.min(other.lowest),
            highest: self.highest.max(other.highest),
        }
    }
}

/// The documents one process has.
#[derive(Clone, Debug, Default)]
pub struct Docs {
    by_key: BTreeMap<SmolStr, Doc>,
}

impl Docs {
    /// Takes `doc` in if it is newer than what is here, and says whether it was.
    pub fn offer(&mut self, doc: Doc) -> bool {
        let known = self.by_key.get(&doc.key);
        let fits = known.is_some() || self.by_key.len() < MAX_DOCS;
        let newer = known.is_none_or(|old| old.revision < doc.revision);
        if newer && fits {
            self.by_key.insert(doc.key.clone(), doc);
        }
        newer && fits
    }

    /// The document `key`.
    pub fn get(&self, key: &str) -> Option<&Doc> {
        self.by_key.get(key)
    }

    /// Keys and revisions of everything here.
    pub fn revisions(&self) -> Vec<(SmolStr, u64)> {
        self.by_key.values().map(|doc| (doc.key.clone(), doc.revision)).collect()
    }

    /// A number that differs, but for chance, between processes whose documents differ.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for doc in self.by_key.values() {
            hasher.update(doc.key.as_bytes());
            hasher.update(&doc.revision.to_be_bytes());
        }
        let hash = hasher.finalize();
        u64::from_be_bytes(std::array::from_fn(|at| hash.as_bytes()[at]))
    }

    /// The documents that are newer here than in `theirs`. O(n log n) in the documents.
    pub fn above(&self, theirs: &[(SmolStr, u64)]) -> Vec<Doc> {
        let theirs: BTreeMap<&SmolStr, u64> = theirs.iter().map(|(k, r)| (k, *r)).collect();
        let newer =
            |doc: &&Doc| theirs.get(&doc.key).is_none_or(|revision| *revision < doc.revision);
        self.by_key.values().filter(newer).cloned().collect()
    }
}

/// A part that a process lacks.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MissingPart {
    /// Its digest.
    pub digest: Digest,
    /// Its key on the platform.
    pub key: SmolStr,
}

/// What became of an offered delta.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It is not newer than what is in force.
    Old,
    /// It is in force now; the problems are those of keys that this process does not know.
    InForce(Vec<Problem>),
    /// These parts are needed first.
    Missing(Vec<MissingPart>),
    /// This process is too far behind for the delta: ask for the whole list.
    Gap,
}

#[derive(Clone, Debug)]
struct HeldFile {
    parts: Vec<(Digest, Bytes)>,
    parsed: Arc<ParsedFile>,
}

/// The files of the configuration in force in one process.
#[derive(Clone, Debug, Default)]
pub struct Files {
    list: FileList,
    held: BTreeMap<SmolStr, HeldFile>,
    config: Arc<Config>,
}

impl Files {
    /// The list in force.
    pub fn list(&self) -> &FileList {
        &self.list
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.config.clone()
    }

    /// Puts `delta` in force if it is newer and every part is here or in `parts`. Only changed
    /// files are parsed; merging is O(n log n) in all entries.
    pub fn offer(&mut self, delta: &Delta, parts: &[Bytes]) -> Offer {
        if delta.to <= self.list.generation {
            return Offer::Old;
        }
        let Ok(list) = self.list.apply_delta(delta) else {
            return Offer::Gap;
        };
        let given: HashMap<Digest, &Bytes> = parts.iter().map(|p| (Digest::of(p), p)).collect();
        let held: HashMap<Digest, Bytes> =
            self.held.values().flat_map(|file| file.parts.iter().cloned()).collect();
        let find = |digest: &Digest| given.get(digest).copied().or(held.get(digest)).cloned();
        let mut next = BTreeMap::new();
        let mut missing = Vec::new();
        let mut problems = Vec::new();
        for file in list.files() {
            if let Some(old) = self.held.get(&file.name).filter(|old| old.is(file)) {
                next.insert(file.name.clone(), old.clone());
                continue;
            }
            let parts: Vec<Option<Bytes>> = file.parts.iter().map(find).collect();
            missing.extend(missing_of(file, &parts));
            if missing.is_empty() {
                let parts = parts.into_iter().flatten();
                let (held, found) = HeldFile::read(file, parts);
                next.insert(file.name.clone(), held);
                problems.extend(found);
            }
        }
        if !missing.is_empty() {
            missing.sort();
            missing.dedup();
            return Offer::Missing(missing);
        }
        let in_order: Vec<(SmolStr, Arc<ParsedFile>)> =
            next.iter().map(|(name, file)| (name.clone(), file.parsed.clone())).collect();
        let (merged, _) = check::merge(&in_order);
        self.config = Arc::new(merged.config);
        self.list = list;
        self.held = next;
        Offer::InForce(problems)
    }

    /// What is newer here than `generation`, with parts as far as they fit.
    pub fn above(&self, generation: Generation) -> Option<Update> {
        if self.list.generation <= generation {
            return None;
        }
        let delta = self.list.delta_since(generation);
        let mut parts = Vec::new();
        let mut len = 0;
        for file in &delta.files {
            let held = self.held.get(&file.name).map_or(&[][..], |held| &held.parts);
            for (_, bytes) in held {
                len += bytes.len();
                if len <= MAX_INLINE {
                    parts.push(bytes.clone());
                }
            }
        }
        Some(Update { delta: Some(delta), parts, docs: Vec::new() })
    }

    /// Those of the asked parts that are here, as many as fit into one message.
    pub fn parts(&self, asked: &[Digest]) -> Vec<Bytes> {
        let held: HashMap<Digest, &Bytes> =
            self.held.values().flat_map(|file| file.parts.iter().map(|(d, b)| (*d, b))).collect();
        let mut len = 0;
        let found = asked.iter().take(MAX_PARTS).filter_map(|digest| held.get(digest));
        found
            .take_while(|bytes| {
                len += bytes.len();
                len <= MAX_PARTS_BYTES
            })
            .map(|bytes| (*bytes).clone())
            .collect()
    }

    /// Bytes of the files held.
    pub fn len_bytes(&self) -> usize {
        self.held.values().flat_map(|file| file.parts.iter()).map(|(_, bytes)| bytes.len()).sum()
    }
}

impl HeldFile {
    fn is(&self, file: &FileRef) -> bool {
        self.parts.iter().map(|(digest, _)| digest).eq(file.parts.iter())
    }

    fn read(file: &FileRef, parts: impl Iterator<Item = Bytes>) -> (HeldFile, Vec<Problem>) {
        let parts: Vec<(Digest, Bytes)> = file.parts.iter().copied().zip(parts).collect();
        let whole: Vec<u8> = parts.iter().flat_map(|(_, bytes)| bytes.iter().copied()).collect();
        let (parsed, problems) = folder::parse(&file.name, &String::from_utf8_lossy(&whole));
        (HeldFile { parts, parsed: Arc::new(parsed) }, problems)
    }
}

fn missing_of<'a>(
    file: &'a FileRef,
    parts: &'a [Option<Bytes>],
) -> impl Iterator<Item = MissingPart> + 'a {
    let absent = file.parts.iter().zip(parts).filter(|(_, bytes)| bytes.is_none());
    absent
        .map(|(digest, _)| MissingPart { digest: *digest, key: part_key(file.changed_in, *digest) })
}

/// The platform's key of a part. The generation is part of it, so that a part may be deleted once
/// its generation is replaced, without asking whether a later one holds the same bytes.
pub fn part_key(changed: Generation, digest: Digest) -> SmolStr {
    format!("config/part/{changed}/{}", digest.to_hex()).into()
}

/// The platform's key of a piece of an encoded file list.
pub fn list_key(generation: Generation, digest: Digest) -> SmolStr {
    format!("config/list/{generation}/{}", digest.to_hex()).into()
}
