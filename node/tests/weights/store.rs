use std::fs;
use std::io::Read;
use std::path::PathBuf;
use std::sync::Arc;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use mastichaven_node::weights::Store;

const CHUNK_LEN: usize = 16;

fn weights(seed: u8) -> Vec<u8> {
    (0..8 * CHUNK_LEN).map(|n| seed.wrapping_add((n / CHUNK_LEN) as u8)).collect()
}

fn fill(store: &Store, weights: &[u8]) -> Manifest {
    let manifest = Manifest::from_weights(weights, CHUNK_LEN as u32);
    store.put_manifest(manifest.clone()).unwrap();
    for (chunk, bytes) in manifest.chunks.iter().zip(weights.chunks(CHUNK_LEN)) {
        store.put_chunk(chunk.digest, &Bytes::copy_from_slice(bytes)).unwrap();
    }
    manifest
}

fn empty_folder_path(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("mastichaven-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn read_version(store: &Arc<Store>, version: Digest) -> Vec<u8> {
    let mut bytes = Vec::new();
    store.reader(version).unwrap().read_to_end(&mut bytes).unwrap();
    bytes
}

// A chunk is corrupted in transit. If it were stored, it would be served to the whole zone and
// loaded by engines.
#[test]
fn put_chunk_refuses_corrupt_and_unknown() {
    let store = Store::in_memory(1 << 20);
    let manifest = fill(&store, &weights(0));
    let digest = manifest.chunks[0].digest;
    let corrupt = Bytes::from_static(b"wrong");
    assert_eq!(store.put_chunk(digest, &corrupt), Err(Code::CorruptChunk));
    assert_eq!(store.put_chunk(Digest::of(b"wrong"), &corrupt), Err(Code::NoChunk));
    assert!(store.is_complete(manifest.digest()));
}

// A second version does not fit into the store. If its chunks evicted those of the first, an engine
// that restarts would have nothing to load.
#[test]
fn put_chunk_when_full_keeps_stored_chunks() {
    let store = Arc::new(Store::in_memory((8 * CHUNK_LEN) as u64));
    let first = fill(&store, &weights(0));
    let second = Manifest::from_weights(&weights(100), CHUNK_LEN as u32);
    store.put_manifest(second.clone()).unwrap();
    let bytes = Bytes::from(weights(100)[..CHUNK_LEN].to_vec());
    assert_eq!(store.put_chunk(second.chunks[0].digest, &bytes), Err(Code::StoreFull));
    assert_eq!(read_version(&store, first.digest()), weights(0));
}

// The wanted version changes. Chunks that only the old version contains must be removed immediately
// to free space, and shared chunks must not be pulled again.
#[test]
fn retain_versions_removes_only_unshared_chunks() {
    let store = Store::in_memory(1 << 20);
    let first = fill(&store, &weights(0));
    let second = Manifest::from_weights(&weights(3), CHUNK_LEN as u32);
    store.put_manifest(second.clone()).unwrap();
    store.retain_versions(&[second.digest()]);
    let shared = second.chunks.iter().filter(|chunk| store.has(chunk.digest)).count();
    assert_eq!((shared, store.counts().0), (5, 5));
    let dropped = Bytes::from(weights(0)[..CHUNK_LEN].to_vec());
    assert_eq!(store.put_chunk(first.chunks[0].digest, &dropped), Err(Code::NoChunk));
}

// A host restarts with a cache folder that contains a corrupt chunk, an incomplete file and a
// foreign file. Without verification an engine would load wrong weights.
#[test]
fn in_folder_verifies_at_start_and_on_read() {
    let folder = empty_folder_path("cache");
    let manifest = fill(&Store::in_folder(1 << 20, &folder).unwrap(), &weights(0));
    let file = |n: usize| folder.join(format!("{}.chunk", manifest.chunks[n].digest.to_hex()));
    fs::write(file(0), b"damaged").unwrap();
    fs::write(folder.join("x.partial"), b"half").unwrap();
    fs::write(folder.join("notes.txt"), b"other").unwrap();
    let store = Store::in_folder(1 << 20, &folder).unwrap();
    assert!(!store.has(manifest.chunks[0].digest) && !file(0).exists());
    assert_eq!(store.counts().0, 7);
    assert!(folder.join("notes.txt").exists() && !folder.join("x.partial").exists());
    fs::write(file(1), b"decayed since").unwrap();
    assert!(store.chunk(manifest.chunks[1].digest).is_none());
    assert!(!store.has(manifest.chunks[1].digest), "a removed chunk is pulled again");
    fs::remove_dir_all(folder).unwrap();
}

// The disk of the cache folder fails. The store must report an error code, so that the agent can
// keep serving the chunks that it has.
#[test]
fn put_chunk_folder_unwritable() {
    let folder = empty_folder_path("unwritable");
    let store = Store::in_folder(1 << 20, &folder).unwrap();
    let manifest = Manifest::from_weights(&weights(0), CHUNK_LEN as u32);
    store.put_manifest(manifest.clone()).unwrap();
    fs::remove_dir_all(&folder).unwrap();
    let bytes = Bytes::from(weights(0)[..CHUNK_LEN].to_vec());
    let put = store.put_chunk(manifest.chunks[0].digest, &bytes);
    assert_eq!(put, Err(Code::StoreUnwritable));
    fs::write(&folder, b"a file").unwrap();
    assert_eq!(Store::in_folder(1 << 20, &folder).unwrap_err(), Code::StoreUnwritable);
    fs::remove_file(folder).unwrap();
}

// The connection of an engine breaks during a load, and the engine takes the partial weights for
// complete ones. The agent detects this because only reads to the end are counted.
#[test]
fn complete_reads_counts_only_reads_to_end() {
    let store = Arc::new(Store::in_memory(1 << 20));
    let version = fill(&store, &weights(0)).digest();
    let mut partial = store.reader(version).unwrap();
    partial.read_exact(&mut [0; 40]).unwrap();
    assert_eq!(store.complete_reads(version), 0);
    read_version(&store, version);
    assert_eq!(store.complete_reads(version), 1);
}
