//! The verified chunks and manifests of this host, bounded by bytes.
//!
//! Nothing enters unless it matches its digest, and only chunks of a known manifest enter. Chunks
//! are kept in memory, or in a cache folder that is verified when the process starts and again
//! whenever a chunk is read, as disks decay without a word.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Buf;
use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use mastichaven_core::swarm::Bitmap;

/// Result of using the store.
pub type Result<T> = std::result::Result<T, Code>;

/// Endings of files in the cache folder. Others are left alone.
const CHUNK_FILE: &str = "chunk";
const MANIFEST_FILE: &str = "manifest";
const PARTIAL_FILE: &str = "partial";

#[derive(Debug)]
enum Held {
    Memory(Bytes),
    File(u64),
}

impl Held {
    fn len(&self) -> u64 {
        match self {
            Held::Memory(bytes) => bytes.len() as u64,
            Held::File(len) => *len,
        }
    }
}

#[derive(Debug)]
struct Version {
    manifest: Arc<Manifest>,
    have: Bitmap,
    len: u64,
}

#[derive(Debug, Default)]
struct Inner {
    versions: HashMap<Digest, Version>,
    chunks: HashMap<Digest, Held>,
    /// Where each chunk stands: version and index.
    places: HashMap<Digest, Vec<(Digest, u32)>>,
    used: u64,
    /// How often each version was read to its end.
    whole_reads: HashMap<Digest, u64>,
}

/// The chunk store of a host.
#[derive(Debug)]
pub struct Store {
    inner: Mutex<Inner>,
    limit: u64,
    folder: Option<PathBuf>,
}

impl Store {
    /// A store of at most `limit` bytes, in memory.
    pub fn in_memory(limit: u64) -> Store {
        Store { inner: Mutex::default(), limit, folder: None }
    }

    /// A store of at most `limit` bytes in `folder`, with what is there and proves whole.
    ///
    /// A file that does not match its name is removed: the process may have ended half way through
    /// writing it, or the disk has decayed, and an engine would load wrong weights from it.
    pub fn in_folder(limit: u64, folder: &Path) -> Result<Store> {
        fs::create_dir_all(folder).map_err(|_| Code::StoreUnwritable)?;
        let store = Store { inner: Mutex::default(), limit, folder: Some(folder.to_owned()) };
        store.take_over(MANIFEST_FILE, &|digest, bytes| {
            Manifest::decode(&bytes, digest).map(|manifest| store.add_manifest(manifest))
        })?;
        store.take_over(CHUNK_FILE, &|digest, bytes| {
            let len = bytes.len() as u64;
            if Digest::of(&bytes) != digest {
                Err(Code::CorruptChunk)
            } else {
                store.add_chunk(digest, Held::File(len))
            }
        })?;
        Ok(store)
    }

    fn take_over(&self, ending: &str, add: &dyn Fn(Digest, Vec<u8>) -> Result<()>) -> Result<()> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        for entry in fs::read_dir(folder).map_err(|_| Code::Unreadable)?.flatten() {
            let path = entry.path();
            let is = |wanted: &str| path.extension().is_some_and(|found| found == wanted);
            if is(PARTIAL_FILE) {
                let _ = fs::remove_file(&path);
            }
            if !is(ending) {
                continue;
            }
            let digest = path.file_stem().and_then(|stem| Digest::from_hex(stem.to_str()?));
            let taken = digest
                .ok_or(Code::BadName)
                .and_then(|digest| add(digest, fs::read(&path).map_err(|_| Code::Unreadable)?));
            if taken.is_err() {
                let _ = fs::remove_file(&path);
            }
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    fn path(&self, digest: Digest, ending: &str) -> Option<PathBuf> {
        self.folder.as_ref().map(|folder| folder.join(format!("{}.{ending}", digest.to_hex())))
    }

    /// Writes beside and renames, so that a half-written file never carries a valid name.
    fn write(&self, digest: Digest, ending: &str, bytes: &[u8]) -> Result<bool> {
        let Some(path) = self.path(digest, ending) else {
            return Ok(false);
        };
        let partial = path.with_extension(PARTIAL_FILE);
        fs::write(&partial, bytes)
            .and_then(|()| fs::rename(&partial, &path))
            .map_err(|_| Code::StoreUnwritable)?;
        Ok(true)
    }

    /// Takes a verified manifest in.
    pub fn put_manifest(&self, manifest: Manifest) -> Result<()> {
        let bytes = manifest.encode();
        self.write(Digest::of(&bytes), MANIFEST_FILE, &bytes)?;
        self.add_manifest(manifest);
        Ok(())
    }

    fn add_manifest(&self, manifest: Manifest) {
        let digest = manifest.digest();
        let mut inner = self.lock();
        if inner.versions.contains_key(&digest) {
            return;
        }
        let mut have = Bitmap::zeros(manifest.chunks.len());
        for (n, chunk) in manifest.chunks.iter().enumerate() {
            inner.places.entry(chunk.digest).or_default().push((digest, n as u32));
            if inner.chunks.contains_key(&chunk.digest) {
                have.set(n);
            }
        }
        let len = manifest.len();
        inner.versions.insert(digest, Version { manifest: Arc::new(manifest), have, len });
    }

    /// Verifies a chunk and takes it in.
    ///
    /// [`Code::CorruptChunk`]: it does not match. [`Code::NoChunk`]: no version here needs it any
    /// more. [`Code::StoreFull`], [`Code::StoreUnwritable`]: nothing changed, and everything stored
    /// before is served on.
    pub fn put_chunk(&self, digest: Digest, bytes: &Bytes) -> Result<()> {
        if Digest::of(bytes) != digest {
            return Err(Code::CorruptChunk);
        }
        let len = bytes.len() as u64;
        {
            let inner = self.lock();
            if inner.chunks.contains_key(&digest) {
                return Ok(());
            }
            if !inner.places.contains_key(&digest) {
                return Err(Code::NoChunk);
            }
            if inner.used + len > self.limit {
                return Err(Code::StoreFull);
            }
        }
        let in_file = self.write(digest, CHUNK_FILE, bytes)?;
        let held = if in_file { Held::File(len) } else { Held::Memory(bytes.clone()) };
        self.add_chunk(digest, held)
    }

    fn add_chunk(&self, digest: Digest, held: Held) -> Result<()> {
        let mut inner = self.lock();
        let Some(places) = inner.places.get(&digest).cloned() else {
            return Err(Code::NoChunk);
        };
        if inner.chunks.contains_key(&digest) {
            return Ok(());
        }
        if inner.used + held.len() > self.limit {
            return Err(Code::StoreFull);
        }
        inner.used += held.len();
        inner.chunks.insert(digest, held);
        for (version, n) in places {
            if let Some(version) = inner.versions.get_mut(&version) {
                version.have.set(n as usize);
            }
        }
        Ok(())
    }

    /// The bytes of a chunk. A file that decayed since is dropped, so that it is pulled again.
    pub fn chunk(&self, digest: Digest) -> Option<Bytes> {
        let path = {
            let inner = self.lock();
            match inner.chunks.get(&digest)? {
                Held::Memory(bytes) => return Some(bytes.clone()),
                Held::File(_) => self.path(digest, CHUNK_FILE)?,
            }
        };
        let read = fs::read(path).ok().filter(|bytes| Digest::of(bytes) == digest);
        if read.is_none() {
            self.forget_chunk(&mut self.lock(), digest);
        }
        read.map(Bytes::from)
    }

    fn forget_chunk(&self, inner: &mut Inner, digest: Digest) {
        let Some(held) = inner.chunks.remove(&digest) else {
            return;
        };
        inner.used -= held.len();
        if let (Held::File(_), Some(path)) = (&held, self.path(digest, CHUNK_FILE)) {
            let _ = fs::remove_file(path);
        }
        for (version, _) in inner.places.get(&digest).cloned().unwrap_or_default() {
            if let Some(version) = inner.versions.get_mut(&version) {
                let mut have = Bitmap::zeros(version.manifest.chunks.len());
                for (n, chunk) in version.manifest.chunks.iter().enumerate() {
                    if inner.chunks.contains_key(&chunk.digest) {
                        have.set(n);
                    }
                }
                version.have = have;
            }
        }
    }

    /// Whether a chunk is here.
    pub fn has(&self, digest: Digest) -> bool {
        self.lock().chunks.contains_key(&digest)
    }

    /// A manifest, if it is here.
    pub fn manifest(&self, version: Digest) -> Option<Arc<Manifest>> {
        self.lock().versions.get(&version).map(|version| version.manifest.clone())
    }

    /// What is here of a version.
    pub fn have(&self, version: Digest) -> Option<Bitmap> {
        self.lock().versions.get(&version).map(|version| version.have.clone())
    }

    /// Whether every chunk of a version is here.
    pub fn is_complete(&self, version: Digest) -> bool {
        let inner = self.lock();
        inner.versions.get(&version).is_some_and(|v| v.have.count() == v.manifest.chunks.len())
    }

    /// Bytes of a version, once its manifest is here.
    pub fn version_len(&self, version: Digest) -> Option<u64> {
        self.lock().versions.get(&version).map(|version| version.len)
    }

    /// Chunks, versions and bytes here.
    pub fn counts(&self) -> (usize, usize, u64) {
        let inner = self.lock();
        (inner.chunks.len(), inner.versions.len(), inner.used)
    }

    /// Drops every version but these at once, with the chunks that none of them shares.
    pub fn keep(&self, versions: &[Digest]) {
        let mut inner = self.lock();
        let gone: Vec<Digest> =
            inner.versions.keys().copied().filter(|version| !versions.contains(version)).collect();
        let mut touched = HashSet::new();
        for version in &gone {
            if let Some(dropped) = inner.versions.remove(version) {
                touched.extend(dropped.manifest.chunks.iter().map(|chunk| chunk.digest));
            }
            if let Some(path) = self.path(*version, MANIFEST_FILE) {
                let _ = fs::remove_file(path);
            }
        }
        inner.whole_reads.retain(|version, _| !gone.contains(version));
        for digest in touched {
            let Some(places) = inner.places.get_mut(&digest) else {
                continue;
            };
            places.retain(|(version, _)| !gone.contains(version));
            if places.is_empty() {
                self.forget_chunk(&mut inner, digest);
                inner.places.remove(&digest);
            }
        }
    }

    /// Reads a whole version, chunk by chunk, for the engine. `None` until it is complete.
    pub fn read(self: &Arc<Store>, version: Digest) -> Option<Whole> {
        let manifest = self.manifest(version).filter(|_| self.is_complete(version))?;
        Some(Whole { store: self.clone(), version, manifest, next: 0, current: Bytes::new() })
    }

    /// How often a version was read to its end. An engine that took a broken connection for the end
    /// of the weights would serve partial ones; this count tells.
    pub fn whole_reads(&self, version: Digest) -> u64 {
        self.lock().whole_reads.get(&version).copied().unwrap_or_default()
    }
}

/// The bytes of a whole version. A chunk that goes meanwhile is an error and no silent gap.
pub struct Whole {
    store: Arc<Store>,
    version: Digest,
    manifest: Arc<Manifest>,
    next: usize,
    current: Bytes,
}

impl Whole {
    /// Bytes of the whole version.
    pub fn len(&self) -> u64 {
        self.manifest.len()
    }

    /// Whether the version has no bytes.
    pub fn is_empty(&self) -> bool {
        self.manifest.is_empty()
    }
}

impl Read for Whole {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.current.is_empty() {
            let Some(chunk) = self.manifest.chunks.get(self.next) else {
                return Ok(0);
            };
            let bytes = self.store.chunk(chunk.digest);
            self.current =
                bytes.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, Code::NoChunk))?;
            self.next += 1;
        }
        let len = buf.len().min(self.current.len());
        self.current.copy_to_slice(&mut buf[..len]);
        if self.current.is_empty() && self.next == self.manifest.chunks.len() {
            *self.store.lock().whole_reads.entry(self.version).or_default() += 1;
        }
        Ok(len)
    }
}
