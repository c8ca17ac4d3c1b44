//! The documents in force in this process: the accepted configuration and the plans.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Config;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::ModelName;
use mastichaven_core::plan::Plan;
use mastichaven_core::plan::plan_key;
use mastichaven_core::spread::Doc;
use mastichaven_core::spread::Docs;
use smol_str::SmolStr;

/// Result of reading a document.
pub type Result<T> = std::result::Result<T, Code>;

/// The document and object that holds the accepted configuration.
pub const CONFIG_KEY: &str = "config/accepted";

/// An accepted configuration and its generation.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its generation.
    pub generation: Generation,
    /// What operators declared.
    pub config: Config,
}

/// Documents shared by the threads of a process. They only rise.
#[derive(Debug, Default)]
pub struct Documents {
    docs: Mutex<Docs>,
    in_force: RwLock<Arc<InForce>>,
}

impl Documents {
    /// Takes a document in if it is newer and readable, and says whether it was.
    pub fn offer(&self, doc: Doc) -> Result<bool> {
        let config = if doc.key == CONFIG_KEY { Some(decode_config(&doc.bytes)?) } else { None };
        let mut docs = self.docs.lock().expect("no holder of this lock panics");
        let generation = Generation(doc.revision);
        if !docs.offer(doc) {
            return Ok(false);
        }
        if let Some(config) = config {
            let mut in_force = self.in_force.write().expect("no holder of this lock panics");
            *in_force = Arc::new(InForce { generation, config });
        }
        Ok(true)
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.read().expect("no holder of this lock panics").clone()
    }

    /// The plan of a model.
    pub fn plan(&self, model: &ModelName) -> Option<(u64, Plan)> {
        let docs = self.docs.lock().expect("no holder of this lock panics");
        let doc = docs.get(&plan_key(model))?;
        serde_json::from_slice(&doc.bytes).ok().map(|plan| (doc.revision, plan))
    }

    /// Keys and revisions of everything here.
    pub fn revisions(&self) -> Vec<(SmolStr, u64)> {
        self.docs.lock().expect("no holder of this lock panics").revisions()
    }

    /// The documents that are newer here than in `theirs`.
    pub fn above(&self, theirs: &[(SmolStr, u64)]) -> Vec<Doc> {
        self.docs.lock().expect("no holder of this lock panics").above(theirs)
    }
}

/// Encodes a configuration as a document's bytes.
pub fn encode_config(config: &Config) -> Bytes {
    Bytes::from(serde_json::to_vec(config).expect("a configuration always encodes"))
}

fn decode_config(bytes: &[u8]) -> Result<Config> {
    serde_json::from_slice(bytes).map_err(|_| Code::BadMessage)
}
