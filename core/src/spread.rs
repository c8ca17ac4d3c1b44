//! Spreading versioned documents (the accepted configuration, the plans) from process to process.
//!
//! A document only ever rises in revision: [`Docs::offer`] refuses a lower one, whoever sends it.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Documents one message may carry or ask for at most.
pub const MAX_DOCS: usize = 4_096;

/// A document: the accepted configuration, or the plan of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Doc {
    /// Its name, such as `config` or `plan/rota`.
    pub key: SmolStr,
    /// Rises with each change.
    pub revision: u64,
    /// Its encoded value.
    pub bytes: Bytes,
}

/// Asks for documents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SpreadAsk {
    /// All documents above these revisions; a key that is not named counts as revision 0.
    Above(Vec<(SmolStr, u64)>),
}

/// Answers a [`SpreadAsk`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SpreadReply {
    /// The newer documents.
    Docs(Vec<Doc>),
}

/// The documents one process has.
#[derive(Clone, Debug, Default)]
pub struct Docs {
    by_key: BTreeMap<SmolStr, Doc>,
}

impl Docs {
    /// Takes `doc` in if it is newer than what is here, and says whether it was.
    pub fn offer(&mut self, doc: Doc) -> bool {
        let newer = self.by_key.get(&doc.key).is_none_or(|old| old.revision < doc.revision);
        if newer {
            self.by_key.insert(doc.key.clone(), doc);
        }
        newer
    }

    /// The document `key`.
    pub fn get(&self, key: &str) -> Option<&Doc> {
        self.by_key.get(key)
    }

    /// Keys and revisions of everything here.
    pub fn revisions(&self) -> Vec<(SmolStr, u64)> {
        self.by_key.values().map(|doc| (doc.key.clone(), doc.revision)).collect()
    }

    /// The documents that are newer here than in `theirs`. O(n log n) in the documents.
    pub fn above(&self, theirs: &[(SmolStr, u64)]) -> Vec<Doc> {
        let theirs: BTreeMap<&SmolStr, u64> = theirs.iter().map(|(k, r)| (k, *r)).collect();
        let newer =
            |doc: &&Doc| theirs.get(&doc.key).is_none_or(|revision| *revision < doc.revision);
        self.by_key.values().filter(newer).cloned().collect()
    }
}
