use std::fs;
use std::io::Read;
use std::path::PathBuf;
use std::sync::Arc;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use mastichaven_node::weights::Store;

const CHUNK: usize = 16;

fn weights(seed: u8) -> Vec<u8> {
    (0..8 * CHUNK).map(|n| seed.wrapping_add((n / CHUNK) as u8)).collect()
}

fn fill(store: &Store, weights: &[u8]) -> Manifest {
    let manifest = Manifest::from_weights(weights, CHUNK as u32);
    store.put_manifest(manifest.clone()).unwrap();
    for (chunk, bytes) in manifest.chunks.iter().zip(weights.chunks(CHUNK)) {
        store.put_chunk(chunk.digest, &Bytes::copy_from_slice(bytes)).unwrap();
    }
    manifest
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("mastichaven-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn read(store: &Arc<Store>, version: Digest) -> Vec<u8> {
    let mut bytes = Vec::new();
    store.read(version).unwrap().read_to_end(&mut bytes).unwrap();
    bytes
}

// A link damages a chunk. Stored, it would be served to the whole zone and loaded by engines.
#[test]
fn put_chunk_refuses_damaged_and_unknown() {
    let store = Store::in_memory(1 << 20);
    let manifest = fill(&store, &weights(0));
    let digest = manifest.chunks[0].digest;
    let wrong = Bytes::from_static(b"wrong");
    assert_eq!(store.put_chunk(digest, &wrong), Err(Code::CorruptChunk));
    assert_eq!(store.put_chunk(Digest::of(b"wrong"), &wrong), Err(Code::NoChunk));
    assert!(store.is_complete(manifest.digest()));
}

// A second version does not fit. If it pushed chunks of the first one out, the engine's next
// restart would find nothing to load.
#[test]
fn put_chunk_when_full_keeps_what_is_served() {
    let store = Arc::new(Store::in_memory((8 * CHUNK) as u64));
    let first = fill(&store, &weights(0));
    let second = Manifest::from_weights(&weights(100), CHUNK as u32);
    store.put_manifest(second.clone()).unwrap();
    let bytes = Bytes::from(weights(100)[..CHUNK].to_vec());
    assert_eq!(store.put_chunk(second.chunks[0].digest, &bytes), Err(Code::StoreFull));
    assert_eq!(read(&store, first.digest()), weights(0));
}

// The version changes while the first is half way. Chunks that only the old one needs must make
// room at once; shared ones must not be pulled again.
#[test]
fn keep_drops_unshared_chunks_and_keeps_shared() {
    let store = Store::in_memory(1 << 20);
    let first = fill(&store, &weights(0));
    let second = Manifest::from_weights(&weights(3), CHUNK as u32);
    store.put_manifest(second.clone()).unwrap();
    store.keep(&[second.digest()]);
    let shared = second.chunks.iter().filter(|chunk| store.has(chunk.digest)).count();
    assert_eq!((shared, store.counts().0), (5, 5));
    let late = Bytes::from(weights(0)[..CHUNK].to_vec());
    assert_eq!(store.put_chunk(first.chunks[0].digest, &late), Err(Code::NoChunk));
}

// A host restarts with a cache folder in which a chunk was damaged, one half written, and a file of
// somebody else lies. Trusting the names would load wrong weights.
#[test]
fn in_folder_verifies_at_start_and_when_read() {
    let folder = folder("cache");
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
    assert!(!store.has(manifest.chunks[1].digest), "it is pulled again");
    fs::remove_dir_all(folder).unwrap();
}

// The folder's disk goes away. The agent must say so by number and go on serving from what it has.
#[test]
fn unwritable_folder_is_numbered_error() {
    let folder = folder("unwritable");
    let store = Store::in_folder(1 << 20, &folder).unwrap();
    let manifest = Manifest::from_weights(&weights(0), CHUNK as u32);
    store.put_manifest(manifest.clone()).unwrap();
    fs::remove_dir_all(&folder).unwrap();
    let bytes = Bytes::from(weights(0)[..CHUNK].to_vec());
    let put = store.put_chunk(manifest.chunks[0].digest, &bytes);
    assert_eq!(put, Err(Code::StoreUnwritable));
    fs::write(&folder, b"a file").unwrap();
    assert_eq!(Store::in_folder(1 << 20, &folder).unwrap_err(), Code::StoreUnwritable);
    fs::remove_file(folder).unwrap();
}

// An engine's connection breaks half way and it takes what it has for the whole. Only a read to the
// end counts, so that the agent can tell.
#[test]
fn whole_reads_counts_reads_to_the_end() {
    let store = Arc::new(Store::in_memory(1 << 20));
    let version = fill(&store, &weights(0)).digest();
    let mut part = store.read(version).unwrap();
    part.read_exact(&mut [0; 40]).unwrap();
    assert_eq!(store.whole_reads(version), 0);
    read(&store, version);
    assert_eq!(store.whole_reads(version), 1);
}
