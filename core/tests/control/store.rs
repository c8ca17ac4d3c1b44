//! In-memory implementation of the platform's object API.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::ids::Revision;
use mastichaven_core::platform::Changes;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::platform::Object;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_core::platform::Result;
use smol_str::SmolStr;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, Object>,
    lose_answers: u32,
    down: bool,
}

/// Object store that can be down and can lose the answers of writes.
#[derive(Default)]
pub struct MemoryStore(Mutex<State>);

impl MemoryStore {
    /// Lets the next `count` successful writes take effect but fail with [`PlatformError::Unknown`].
    pub fn lose_answers(&self, count: u32) {
        self.0.lock().unwrap().lose_answers = count;
    }

    pub fn set_down(&self, down: bool) {
        self.0.lock().unwrap().down = down;
    }
}

impl ObjectStore for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Object>> {
        let state = self.0.lock().unwrap();
        if state.down {
            return Err(PlatformError::Down);
        }
        Ok(state.objects.get(key).cloned())
    }

    fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<Revision> {
        let mut state = self.0.lock().unwrap();
        if state.down {
            return Err(PlatformError::Down);
        }
        let current = state.objects.get(key).map(|object| object.revision);
        let expected = match expect {
            Expect::Absent => None,
            Expect::At(revision) => Some(revision),
        };
        if current != expected {
            return Err(PlatformError::Conflict);
        }
        state.revision += 1;
        let revision = Revision(state.revision);
        state.objects.insert(key.to_owned(), Object { revision, value });
        if state.lose_answers > 0 {
            state.lose_answers -= 1;
            return Err(PlatformError::Unknown);
        }
        Ok(revision)
    }

    fn delete(&self, key: &str, _revision: Revision) -> Result<()> {
        self.0.lock().unwrap().objects.remove(key);
        Ok(())
    }

    fn list(&self, prefix: &str) -> Result<Vec<(SmolStr, Revision)>> {
        let state = self.0.lock().unwrap();
        let with_prefix = state.objects.iter().filter(|(key, _)| key.starts_with(prefix));
        Ok(with_prefix.map(|(key, object)| (SmolStr::new(key), object.revision)).collect())
    }

    fn watch(&self, _prefix: &str, after: Revision, _wait: Duration) -> Result<Changes> {
        Ok(Changes { revision: after, changes: Vec::new() })
    }

    fn hosts(&self) -> Result<Vec<ListedHost>> {
        Ok(Vec::new())
    }
}
