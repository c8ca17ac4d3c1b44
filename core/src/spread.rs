//! Distribution of the accepted configuration and the plans between processes.
//!
//! Revisions and generations only rise: [`Docs::insert_newer`] ignores a lower revision and
//! [`Files::apply`] a lower generation, whoever sends it. Files are named by digest, so their
//! content is verified before it is used, and a process fetches only the parts that it lacks.

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

/// Maximum number of documents of a process, and so of one message.
pub const MAX_DOCS: usize = 4_096;

/// Maximum bytes of parts in an [`Update`]; the receiver requests the rest.
pub const MAX_INLINE_BYTES: usize = 256 << 10;

/// Maximum number of parts in one request.
pub const MAX_PARTS: usize = 64;

/// Maximum bytes of parts in an answer to [`SpreadRequest::Parts`].
pub const MAX_PARTS_BYTES: usize = 2 << 20;

/// Key of the head of the configuration, which names the accepted generation, as an object on the
/// platform and as a document.
pub const HEAD_KEY: &str = "spread/config";

/// Prefix of all keys that a relay watches: the head and the plans.
pub const SPREAD_PREFIX: &str = "spread/";

/// A document: the plan of one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Doc {
    /// Key such as `spread/plan/rota`.
    pub key: SmolStr,
    /// Rises with each change.
    pub revision: u64,
    /// Encoded content.
    pub bytes: Bytes,
}

/// A request for configuration and plans, or an update that is pushed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SpreadRequest {
    /// All that is newer than a generation and these revisions; a missing key counts as revision 0.
    NewerThan {
        /// Generation in force at the sender.
        generation: Generation,
        /// Keys and revisions of the sender's documents.
        docs: Vec<(SmolStr, u64)>,
    },
    /// An update for the receiver and its children in the distribution tree.
    Push(Update),
    /// Parts of files, by digest.
    Parts(Vec<Digest>),
    /// The generations in force at the receiver and below it in the zone's tree.
    Survey,
}

/// Answer to a [`SpreadRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SpreadReply {
    /// What is newer at the receiver of the request.
    Update(Update),
    /// The parts that it has, as many as fit into one message.
    Parts(Vec<Bytes>),
    /// The push was received.
    Ack,
    /// Answer to [`SpreadRequest::Survey`].
    Survey(Survey),
}

/// Changes of the configuration and the plans.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// Changed files of the configuration; `None` if it did not change.
    pub delta: Option<Delta>,
    /// Parts of the changed files, as many as fit.
    pub parts: Vec<Bytes>,
    /// Newer documents.
    pub docs: Vec<Doc>,
}

impl Update {
    /// Whether the update has no changes.
    pub fn is_empty(&self) -> bool {
        self.delta.is_none() && self.docs.is_empty()
    }
}

/// Generations in force at a set of processes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Survey {
    /// Processes that answered.
    pub processes: u32,
    /// Processes that did not answer.
    pub silent: u32,
    /// Lowest generation in force among them.
    pub lowest: Generation,
    /// Highest generation in force among them.
    pub highest: Generation,
}

impl Survey {
    /// Survey of a single process.
    pub fn of(generation: Generation) -> Survey {
        Survey { processes: 1, silent: 0, lowest: generation, highest: generation }
    }

    /// Survey of the processes of both.
    pub fn merge(self, other: Survey) -> Survey {
        Survey {
            processes: self.processes + other.processes,
            silent: self.silent + other.silent,
            lowest: self.lowest.min(other.lowest),
            highest: self.highest.max(other.highest),
        }
    }
}

/// The documents of one process.
#[derive(Clone, Debug, Default)]
pub struct Docs {
    by_key: BTreeMap<SmolStr, Doc>,
}

impl Docs {
    /// Inserts `doc` if it is newer than the stored one and there is room. Returns whether it was
    /// inserted.
    pub fn insert_newer(&mut self, doc: Doc) -> bool {
        let known = self.by_key.get(&doc.key);
        let fits = known.is_some() || self.by_key.len() < MAX_DOCS;
        let newer = known.is_none_or(|old| old.revision < doc.revision);
        if newer && fits {
            self.by_key.insert(doc.key.clone(), doc);
        }
        newer && fits
    }

    /// The document with this key.
    pub fn get(&self, key: &str) -> Option<&Doc> {
        self.by_key.get(key)
    }

    /// Keys and revisions of all documents.
    pub fn revisions(&self) -> Vec<(SmolStr, u64)> {
        self.by_key.values().map(|doc| (doc.key.clone(), doc.revision)).collect()
    }

    /// Hash of all keys and revisions. Processes with different documents have different hashes,
    /// save for collisions.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for doc in self.by_key.values() {
            hasher.update(doc.key.as_bytes());
            hasher.update(&doc.revision.to_be_bytes());
        }
        let hash = hasher.finalize();
        u64::from_be_bytes(std::array::from_fn(|at| hash.as_bytes()[at]))
    }

    /// The documents that are newer than `peer_revisions`. O(n log n) in the documents.
    pub fn newer_than(&self, peer_revisions: &[(SmolStr, u64)]) -> Vec<Doc> {
        let peer_revisions: BTreeMap<&SmolStr, u64> =
            peer_revisions.iter().map(|(k, r)| (k, *r)).collect();
        let newer = |doc: &&Doc| {
            peer_revisions.get(&doc.key).is_none_or(|revision| *revision < doc.revision)
        };
        self.by_key.values().filter(newer).cloned().collect()
    }
}

/// A part of a file that this process lacks.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MissingPart {
    /// Digest of its bytes.
    pub digest: Digest,
    /// Its key on the platform.
    pub key: SmolStr,
}

/// Outcome of [`Files::apply`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The delta is not newer than the generation in force.
    Stale,
    /// The delta is in force. The problems concern keys that this process does not know.
    Applied(Vec<Problem>),
    /// These parts are required first.
    MissingParts(Vec<MissingPart>),
    /// The delta starts after the generation in force or was made from other files; the whole list
    /// is required.
    Gap,
}

#[derive(Clone, Debug)]
struct StoredFile {
    parts: Vec<(Digest, Bytes)>,
    parsed: Arc<ParsedFile>,
}

/// The files of the configuration in force at one process.
#[derive(Clone, Debug, Default)]
pub struct Files {
    list: FileList,
    held: BTreeMap<SmolStr, StoredFile>,
    config: Arc<Config>,
}

impl Files {
    /// The file list in force.
    pub fn list(&self) -> &FileList {
        &self.list
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.config.clone()
    }

    /// Puts `delta` in force if it is newer and each part is stored or in `parts`. Only changed
    /// files are parsed; merging is O(n log n) in all entries.
    pub fn apply(&mut self, delta: &Delta, parts: &[Bytes]) -> ApplyOutcome {
        if delta.to <= self.list.generation {
            return ApplyOutcome::Stale;
        }
        let Ok(list) = self.list.apply_delta(delta) else {
            return ApplyOutcome::Gap;
        };
        let given: HashMap<Digest, &Bytes> = parts.iter().map(|p| (Digest::of(p), p)).collect();
        let held: HashMap<Digest, Bytes> =
            self.held.values().flat_map(|file| file.parts.iter().cloned()).collect();
        let find = |digest: &Digest| given.get(digest).copied().or(held.get(digest)).cloned();
        let mut next = BTreeMap::new();
        let mut missing = Vec::new();
        let mut problems = Vec::new();
        for file in list.files() {
            if let Some(old) = self.held.get(&file.name).filter(|old| old.matches(file)) {
                next.insert(file.name.clone(), old.clone());
                continue;
            }
            let parts: Vec<Option<Bytes>> = file.parts.iter().map(find).collect();
            missing.extend(missing_parts(file, &parts));
            if missing.is_empty() {
                let parts = parts.into_iter().flatten();
                let (held, found) = StoredFile::read(file, parts);
                next.insert(file.name.clone(), held);
                problems.extend(found);
            }
        }
        if !missing.is_empty() {
            missing.sort();
            missing.dedup();
            return ApplyOutcome::MissingParts(missing);
        }
        let in_order: Vec<(SmolStr, Arc<ParsedFile>)> =
            next.iter().map(|(name, file)| (name.clone(), file.parsed.clone())).collect();
        let (merged, _) = check::merge(&in_order);
        self.config = Arc::new(merged.config);
        self.list = list;
        self.held = next;
        ApplyOutcome::Applied(problems)
    }

    /// The changes since `generation`, with as many parts as fit; `None` if there are none.
    pub fn newer_than(&self, generation: Generation) -> Option<Update> {
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
                if len <= MAX_INLINE_BYTES {
                    parts.push(bytes.clone());
                }
            }
        }
        Some(Update { delta: Some(delta), parts, docs: Vec::new() })
    }

    /// Those of the requested parts that are stored, as many as fit into one message.
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

    /// Bytes of all stored parts.
    pub fn len_bytes(&self) -> usize {
        self.held.values().flat_map(|file| file.parts.iter()).map(|(_, bytes)| bytes.len()).sum()
    }
}

impl StoredFile {
    fn matches(&self, file: &FileRef) -> bool {
        self.parts.iter().map(|(digest, _)| digest).eq(file.parts.iter())
    }

    fn read(file: &FileRef, parts: impl Iterator<Item = Bytes>) -> (StoredFile, Vec<Problem>) {
        let parts: Vec<(Digest, Bytes)> = file.parts.iter().copied().zip(parts).collect();
        let whole: Vec<u8> = parts.iter().flat_map(|(_, bytes)| bytes.iter().copied()).collect();
        let (parsed, problems) = folder::parse(&file.name, &String::from_utf8_lossy(&whole));
        (StoredFile { parts, parsed: Arc::new(parsed) }, problems)
    }
}

fn missing_parts<'a>(
    file: &'a FileRef,
    parts: &'a [Option<Bytes>],
) -> impl Iterator<Item = MissingPart> + 'a {
    let absent = file.parts.iter().zip(parts).filter(|(_, bytes)| bytes.is_none());
    absent
        .map(|(digest, _)| MissingPart { digest: *digest, key: part_key(file.changed_in, *digest) })
}

/// Platform key of a part. The key contains the generation, so that the part can be deleted once
/// that generation is replaced, without checking whether a later one has the same bytes.
pub fn part_key(changed: Generation, digest: Digest) -> SmolStr {
    format!("config/part/{changed}/{}", digest.to_hex()).into()
}

/// Platform key of a piece of an encoded file list.
pub fn list_key(generation: Generation, digest: Digest) -> SmolStr {
    format!("config/list/{generation}/{}", digest.to_hex()).into()
}
