//! The documents in force in this process: the accepted configuration and the plans.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use mastichaven_core::Config;
use mastichaven_core::generation::Delta;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::ModelName;
use mastichaven_core::plan::Plan;
use mastichaven_core::plan::plan_key;
use mastichaven_core::spread::ApplyOutcome;
use mastichaven_core::spread::Doc;
use mastichaven_core::spread::Docs;
use mastichaven_core::spread::Files;
use mastichaven_core::spread::Update;
use smol_str::SmolStr;

/// An accepted configuration and its generation.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its generation.
    pub generation: Generation,
    /// What operators declared.
    pub config: Arc<Config>,
}

#[derive(Debug, Default)]
struct State {
    docs: Docs,
    plans: HashMap<SmolStr, (u64, Plan)>,
    files: Files,
}

/// Documents shared by the threads of a process. They only rise.
#[derive(Debug, Default)]
pub struct Documents {
    state: Mutex<State>,
    in_force: RwLock<Arc<InForce>>,
    fingerprint: AtomicU64,
}

impl Documents {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Takes a plan in if it is newer, and says whether it was.
    pub fn offer(&self, doc: Doc) -> bool {
        let plan = serde_json::from_slice(&doc.bytes).ok();
        let (key, revision) = (doc.key.clone(), doc.revision);
        let mut state = self.lock();
        if !state.docs.insert_newer(doc) {
            return false;
        }
        if let Some(plan) = plan {
            state.plans.insert(key, (revision, plan));
        }
        self.fingerprint.store(state.docs.fingerprint(), Ordering::Release);
        true
    }

    /// Puts a configuration in force if it is newer and whole.
    pub fn offer_config(&self, delta: &Delta, parts: &[Bytes]) -> ApplyOutcome {
        let mut state = self.lock();
        let offer = state.files.apply(delta, parts);
        if let ApplyOutcome::Applied(_) = offer {
            let in_force = InForce { generation: delta.to, config: state.files.config() };
            *self.in_force.write().expect("no holder of this lock panics") = Arc::new(in_force);
        }
        offer
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.read().expect("no holder of this lock panics").clone()
    }

    /// The generation in force.
    pub fn generation(&self) -> Generation {
        self.in_force.read().expect("no holder of this lock panics").generation
    }

    /// The plan of a model and its revision.
    pub fn plan(&self, model: &ModelName) -> Option<(u64, Plan)> {
        self.lock().plans.get(plan_key(model).as_str()).cloned()
    }

    /// Keys and revisions of all plans.
    pub fn revisions(&self) -> Vec<(SmolStr, u64)> {
        self.lock().docs.revisions()
    }

    /// A number that differs between processes whose plans differ.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint.load(Ordering::Acquire)
    }

    /// What is newer here than a generation and these revisions.
    pub fn above(&self, generation: Generation, revisions: &[(SmolStr, u64)]) -> Update {
        let state = self.lock();
        let mut update = state.files.newer_than(generation).unwrap_or_default();
        update.docs = state.docs.newer_than(revisions);
        update
    }

    /// The plans under these keys.
    pub fn docs(&self, keys: &[SmolStr]) -> Vec<Doc> {
        let state = self.lock();
        keys.iter().filter_map(|key| state.docs.get(key).cloned()).collect()
    }

    /// Those of the asked parts of files that are here.
    pub fn parts(&self, asked: &[Digest]) -> Vec<Bytes> {
        self.lock().files.parts(asked)
    }

    /// Files and their bytes, for the dump.
    pub fn files(&self) -> (usize, usize) {
        let state = self.lock();
        (state.files.list().files().len(), state.files.len_bytes())
    }
}
