//! Size-limited store of the verified chunks and manifests of this host.
//!
//! Only data that matches its digest is stored, and only chunks of a stored manifest. Chunks are
//! kept in memory, or in a cache folder. Its files are verified when the process starts and again
//! on each read, because disks corrupt data silently.

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

/// Result of a store operation.
pub type Result<T> = std::result::Result<T, Code>;

/// File extensions in the cache folder. Files with other extensions are left alone.
const CHUNK_EXTENSION: &str = "chunk";
const MANIFEST_EXTENSION: &str = "manifest";
const PARTIAL_EXTENSION: &str = "partial";

#[derive(Debug)]
enum StoredChunk {
    Memory(Bytes),
    File(u64),
}

impl StoredChunk {
    fn len(&self) -> u64 {
        match self {
            StoredChunk::Memory(bytes) => bytes.len() as u64,
            StoredChunk::File(len) => *len,
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
    chunks: HashMap<Digest, StoredChunk>,
    /// Versions that contain each chunk, with its index there.
    locations: HashMap<Digest, Vec<(Digest, u32)>>,
    used_bytes: u64,
    /// How often each version was read to its end.
    complete_reads: HashMap<Digest, u64>,
}

/// The chunks and manifests that a host holds.
#[derive(Debug)]
pub struct Store {
    inner: Mutex<Inner>,
    max_bytes: u64,
    folder: Option<PathBuf>,
}

impl Store {
    /// Creates an empty store in memory for at most `max_bytes` of chunks.
    pub fn in_memory(max_bytes: u64) -> Store {
        Store { inner: Mutex::default(), max_bytes, folder: None }
    }

    /// Opens a store for at most `max_bytes` of chunks in `folder` and loads the valid files there.
    ///
    /// Files that do not match the digest in their name are removed, such as incomplete writes of
    /// an earlier process or corrupt data: an engine would load wrong weights from them.
    pub fn in_folder(max_bytes: u64, folder: &Path) -> Result<Store> {
        fs::create_dir_all(folder).map_err(|_| Code::StoreUnwritable)?;
        let store = Store { inner: Mutex::default(), max_bytes, folder: Some(folder.to_owned()) };
        store.load_files(MANIFEST_EXTENSION, &|digest, bytes| {
            Manifest::decode(&bytes, digest).map(|manifest| store.add_manifest(manifest))
        })?;
        store.load_files(CHUNK_EXTENSION, &|digest, bytes| {
            let len = bytes.len() as u64;
            if Digest::of(&bytes) != digest {
                Err(Code::CorruptChunk)
            } else {
                store.add_chunk(digest, StoredChunk::File(len))
            }
        })?;
        Ok(store)
    }

    fn load_files(
        &self,
        extension: &str,
        add: &dyn Fn(Digest, Vec<u8>) -> Result<()>,
    ) -> Result<()> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        for entry in fs::read_dir(folder).map_err(|_| Code::Unreadable)?.flatten() {
            let path = entry.path();
            let has_extension =
                |wanted: &str| path.extension().is_some_and(|found| found == wanted);
            if has_extension(PARTIAL_EXTENSION) {
                let _ = fs::remove_file(&path);
            }
            if !has_extension(extension) {
                continue;
            }
            let digest = path.file_stem().and_then(|stem| Digest::from_hex(stem.to_str()?));
            let loaded = digest
                .ok_or(Code::BadName)
                .and_then(|digest| add(digest, fs::read(&path).map_err(|_| Code::Unreadable)?));
            if loaded.is_err() {
                let _ = fs::remove_file(&path);
            }
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    fn path(&self, digest: Digest, extension: &str) -> Option<PathBuf> {
        self.folder.as_ref().map(|folder| folder.join(format!("{}.{extension}", digest.to_hex())))
    }

    /// Writes a temporary file and renames it, so that no incomplete file has a valid name. Returns
    /// false for a store in memory.
    fn write_file(&self, digest: Digest, extension: &str, bytes: &[u8]) -> Result<bool> {
        let Some(path) = self.path(digest, extension) else {
            return Ok(false);
        };
        let partial = path.with_extension(PARTIAL_EXTENSION);
        fs::write(&partial, bytes)
            .and_then(|()| fs::rename(&partial, &path))
            .map_err(|_| Code::StoreUnwritable)?;
        Ok(true)
    }

    /// Stores a verified manifest. Fails with [`Code::StoreUnwritable`] if the cache folder cannot
    /// be written.
    pub fn put_manifest(&self, manifest: Manifest) -> Result<()> {
        let bytes = manifest.encode();
        self.write_file(Digest::of(&bytes), MANIFEST_EXTENSION, &bytes)?;
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
            inner.locations.entry(chunk.digest).or_default().push((digest, n as u32));
            if inner.chunks.contains_key(&chunk.digest) {
                have.set(n);
            }
        }
        let len = manifest.len();
        inner.versions.insert(digest, Version { manifest: Arc::new(manifest), have, len });
    }

    /// Verifies a chunk and stores it.
    ///
    /// Fails with [`Code::CorruptChunk`] if the bytes do not match `digest`, with [`Code::NoChunk`]
    /// if no stored manifest contains the chunk, and with [`Code::StoreFull`] or
    /// [`Code::StoreUnwritable`] if it cannot be stored. Stored chunks are unaffected by a failure.
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
            if !inner.locations.contains_key(&digest) {
                return Err(Code::NoChunk);
            }
            if inner.used_bytes + len > self.max_bytes {
                return Err(Code::StoreFull);
            }
        }
        let is_file = self.write_file(digest, CHUNK_EXTENSION, bytes)?;
        let stored =
            if is_file { StoredChunk::File(len) } else { StoredChunk::Memory(bytes.clone()) };
        self.add_chunk(digest, stored)
    }

    fn add_chunk(&self, digest: Digest, stored: StoredChunk) -> Result<()> {
        let mut inner = self.lock();
        let Some(locations) = inner.locations.get(&digest).cloned() else {
            return Err(Code::NoChunk);
        };
        if inner.chunks.contains_key(&digest) {
            return Ok(());
        }
        if inner.used_bytes + stored.len() > self.max_bytes {
            return Err(Code::StoreFull);
        }
        inner.used_bytes += stored.len();
        inner.chunks.insert(digest, stored);
        for (version, n) in locations {
            if let Some(version) = inner.versions.get_mut(&version) {
                version.have.set(n as usize);
            }
        }
        Ok(())
    }

    /// The bytes of a chunk. If its file is corrupt by now, the chunk is removed, so that it is
    /// pulled again.
    pub fn chunk(&self, digest: Digest) -> Option<Bytes> {
        let path = {
            let inner = self.lock();
            match inner.chunks.get(&digest)? {
                StoredChunk::Memory(bytes) => return Some(bytes.clone()),
                StoredChunk::File(_) => self.path(digest, CHUNK_EXTENSION)?,
            }
        };
        let read = fs::read(path).ok().filter(|bytes| Digest::of(bytes) == digest);
        if read.is_none() {
            self.remove_chunk(&mut self.lock(), digest);
        }
        read.map(Bytes::from)
    }

    fn remove_chunk(&self, inner: &mut Inner, digest: Digest) {
        let Some(stored) = inner.chunks.remove(&digest) else {
            return;
        };
        inner.used_bytes -= stored.len();
        if let (StoredChunk::File(_), Some(path)) = (&stored, self.path(digest, CHUNK_EXTENSION)) {
            let _ = fs::remove_file(path);
        }
        for (version, _) in inner.locations.get(&digest).cloned().unwrap_or_default() {
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

    /// Whether a chunk is stored.
    pub fn has(&self, digest: Digest) -> bool {
        self.lock().chunks.contains_key(&digest)
    }

    /// The manifest of a version, if it is stored.
    pub fn manifest(&self, version: Digest) -> Option<Arc<Manifest>> {
        self.lock().versions.get(&version).map(|version| version.manifest.clone())
    }

    /// Which chunks of a version are stored. `None` without its manifest.
    pub fn have(&self, version: Digest) -> Option<Bitmap> {
        self.lock().versions.get(&version).map(|version| version.have.clone())
    }

    /// Whether the manifest and every chunk of a version are stored.
    pub fn is_complete(&self, version: Digest) -> bool {
        let inner = self.lock();
        inner.versions.get(&version).is_some_and(|v| v.have.count() == v.manifest.chunks.len())
    }

    /// Size of a version in bytes. `None` without its manifest.
    pub fn version_len(&self, version: Digest) -> Option<u64> {
        self.lock().versions.get(&version).map(|version| version.len)
    }

    /// Number of stored chunks, number of stored manifests, and total size of the chunks in bytes.
    pub fn counts(&self) -> (usize, usize, u64) {
        let inner = self.lock();
        (inner.chunks.len(), inner.versions.len(), inner.used_bytes)
    }

    /// Removes all other versions immediately, with the chunks that none of `versions` contains.
    pub fn retain_versions(&self, versions: &[Digest]) {
        let mut inner = self.lock();
        let removed: Vec<Digest> =
            inner.versions.keys().copied().filter(|version| !versions.contains(version)).collect();
        let mut affected = HashSet::new();
        for version in &removed {
            if let Some(dropped) = inner.versions.remove(version) {
                affected.extend(dropped.manifest.chunks.iter().map(|chunk| chunk.digest));
            }
            if let Some(path) = self.path(*version, MANIFEST_EXTENSION) {
                let _ = fs::remove_file(path);
            }
        }
        inner.complete_reads.retain(|version, _| !removed.contains(version));
        for digest in affected {
            let Some(locations) = inner.locations.get_mut(&digest) else {
                continue;
            };
            locations.retain(|(version, _)| !removed.contains(version));
            if locations.is_empty() {
                self.remove_chunk(&mut inner, digest);
                inner.locations.remove(&digest);
            }
        }
    }

    /// A reader of a whole version, from which the engine loads it. `None` while it is incomplete.
    pub fn reader(self: &Arc<Store>, version: Digest) -> Option<VersionReader> {
        let manifest = self.manifest(version).filter(|_| self.is_complete(version))?;
        Some(VersionReader {
            store: self.clone(),
            version,
            manifest,
            next_chunk: 0,
            current: Bytes::new(),
        })
    }

    /// How often a version was read to its end. An engine that takes a broken connection for the
    /// end of the weights would serve partial weights; this count reveals it.
    pub fn complete_reads(&self, version: Digest) -> u64 {
        self.lock().complete_reads.get(&version).copied().unwrap_or_default()
    }
}

/// Reads the bytes of a whole version, chunk by chunk. Fails if a chunk is removed meanwhile.
pub struct VersionReader {
    store: Arc<Store>,
    version: Digest,
    manifest: Arc<Manifest>,
    next_chunk: usize,
    current: Bytes,
}

impl VersionReader {
    /// Size of the version in bytes.
    pub fn len(&self) -> u64 {
        self.manifest.len()
    }

    /// Whether the version has no bytes.
    pub fn is_empty(&self) -> bool {
        self.manifest.is_empty()
    }
}

impl Read for VersionReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.current.is_empty() {
            let Some(chunk) = self.manifest.chunks.get(self.next_chunk) else {
                return Ok(0);
            };
            let bytes = self.store.chunk(chunk.digest);
            self.current =
                bytes.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, Code::NoChunk))?;
            self.next_chunk += 1;
        }
        let len = buf.len().min(self.current.len());
        self.current.copy_to_slice(&mut buf[..len]);
        if self.current.is_empty() && self.next_chunk == self.manifest.chunks.len() {
            *self.store.lock().complete_reads.entry(self.version).or_default() += 1;
        }
        Ok(len)
    }
}
