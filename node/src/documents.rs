//! The configuration and the plans in force in this process.

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

/// The accepted configuration that is in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigInForce {
    /// Accepted generation; 0 until a configuration is in force.
    pub generation: Generation,
    /// Content of all files, merged.
    pub config: Arc<Config>,
}

#[derive(Debug, Default)]
struct State {
    docs: Docs,
    plans: HashMap<SmolStr, (u64, Plan)>,
    files: Files,
}

/// Documents shared by the threads of a process. Generations and revisions only rise.
#[derive(Debug, Default)]
pub struct Documents {
    state: Mutex<State>,
    in_force: RwLock<Arc<ConfigInForce>>,
    fingerprint: AtomicU64,
}

impl Documents {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Inserts a plan if its revision is newer. Returns whether it was inserted. A plan that cannot
    /// be decoded is stored for peers, but does not replace the plan in force.
    pub fn insert_plan(&self, doc: Doc) -> bool {
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

    /// Puts a configuration in force if it is newer and each of its parts is stored or in `parts`.
    pub fn apply_config(&self, delta: &Delta, parts: &[Bytes]) -> ApplyOutcome {
        let mut state = self.lock();
        let outcome = state.files.apply(delta, parts);
        if let ApplyOutcome::Applied(_) = outcome {
            let in_force = ConfigInForce { generation: delta.to, config: state.files.config() };
            *self.in_force.write().expect("no holder of this lock panics") = Arc::new(in_force);
        }
        outcome
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Arc<ConfigInForce> {
        self.in_force.read().expect("no holder of this lock panics").clone()
    }

    /// The generation in force; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.in_force.read().expect("no holder of this lock panics").generation
    }

    /// Revision and content of the plan of a model.
    pub fn plan(&self, model: &ModelName) -> Option<(u64, Plan)> {
        self.lock().plans.get(plan_key(model).as_str()).cloned()
    }

    /// Keys and revisions of all plans.
    pub fn revisions(&self) -> Vec<(SmolStr, u64)> {
        self.lock().docs.revisions()
    }

    /// Hash of the keys and revisions of all plans, see [`Docs::fingerprint`].
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint.load(Ordering::Acquire)
    }

    /// Files changed after `generation`, and plans that are newer than `revisions`.
    pub fn newer_than(&self, generation: Generation, revisions: &[(SmolStr, u64)]) -> Update {
        let state = self.lock();
        let mut update = state.files.newer_than(generation).unwrap_or_default();
        update.docs = state.docs.newer_than(revisions);
        update
    }

    /// The plans with these keys; missing ones are skipped.
    pub fn docs(&self, keys: &[SmolStr]) -> Vec<Doc> {
        let state = self.lock();
        keys.iter().filter_map(|key| state.docs.get(key).cloned()).collect()
    }

    /// Those of the requested file parts that are stored, as many as fit into one message.
    pub fn parts(&self, requested: &[Digest]) -> Vec<Bytes> {
        self.lock().files.parts(requested)
    }

    /// Number of files in force and bytes of all their parts.
    pub fn file_stats(&self) -> (usize, usize) {
        let state = self.lock();
        (state.files.list().files().len(), state.files.len_bytes())
    }
}
