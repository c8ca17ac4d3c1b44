//! Reads the accepted configuration from the platform, for relays, `mastichaven-ctl` and processes
//! without peers.

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::generation::Delta;
use mastichaven_core::generation::FileList;
use mastichaven_core::generation::Head;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::Revision;
use mastichaven_core::platform::Object;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_core::spread::ApplyOutcome;
use mastichaven_core::spread::HEAD_KEY;
use mastichaven_core::spread::MissingPart;
use mastichaven_core::wire;

use crate::documents::Documents;

/// Result of reading the accepted configuration.
pub type Result<T> = std::result::Result<T, Code>;

/// Maximum number of times that one call of [`apply_latest`] applies the delta; the next change or
/// listing tries again.
const MAX_APPLY_ATTEMPTS: u32 = 3;

/// Reads the head and its revision; `None` if nothing has been accepted or the head was deleted.
pub fn read_head(store: &dyn ObjectStore) -> Result<Option<(Revision, Head)>> {
    let object = store.get(HEAD_KEY).map_err(PlatformError::code)?;
    object.map(|object| decode_head(&object)).transpose()
}

fn decode_head(object: &Object) -> Result<(Revision, Head)> {
    wire::decode(&object.value).map(|head| (object.revision, head))
}

/// Reads the file list that `head` refers to. Fails with [`Code::WatchGap`] if the list was
/// deleted; the head must then be read again.
pub fn read_list(store: &dyn ObjectStore, head: &Head) -> Result<FileList> {
    let mut encoded = Vec::new();
    for key in &head.list {
        let object = store.get(key).map_err(PlatformError::code)?;
        // A later publisher may have deleted the list.
        encoded.extend_from_slice(&object.ok_or(Code::WatchGap)?.value);
    }
    wire::decode(&encoded)
}

/// Reads one part and verifies its digest. Fails with [`Code::WatchGap`] if the part was deleted.
pub fn read_part(store: &dyn ObjectStore, part: &MissingPart) -> Result<Bytes> {
    let object = store.get(&part.key).map_err(PlatformError::code)?.ok_or(Code::WatchGap)?;
    if Digest::of(&object.value) == part.digest { Ok(object.value) } else { Err(Code::BadMessage) }
}

/// Puts the accepted configuration in force if it is newer. Returns whether it was.
pub fn apply_latest(store: &dyn ObjectStore, documents: &Documents) -> Result<bool> {
    let Some((_, head)) = read_head(store)? else {
        return Ok(false);
    };
    let mut delta = head.delta.clone();
    let mut parts = Vec::new();
    for _ in 0..MAX_APPLY_ATTEMPTS {
        match documents.apply_config(&delta, &parts) {
            ApplyOutcome::Stale => return Ok(false),
            ApplyOutcome::Applied(_) => return Ok(true),
            ApplyOutcome::Gap => delta = whole_list_delta(store, &head)?,
            ApplyOutcome::MissingParts(missing) => {
                for part in &missing {
                    parts.push(read_part(store, part)?);
                }
            }
        }
    }
    Err(Code::WatchGap)
}

fn whole_list_delta(store: &dyn ObjectStore, head: &Head) -> Result<Delta> {
    read_list(store, head).map(|list| list.delta_since(Generation(0)))
}
