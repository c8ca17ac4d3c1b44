//! Publishes a folder of files as the accepted configuration on the platform.
//!
//! Parts and file list are written first, under keys that nothing refers to yet. The conditional
//! update of a single object, the head, then accepts all of them atomically. Changes of concurrent
//! publishers are merged file by file, with the configuration that each last saw accepted as the
//! merge base.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Config;
use mastichaven_core::check;
use mastichaven_core::folder;
use mastichaven_core::folder::Problem;
use mastichaven_core::generation;
use mastichaven_core::generation::FileList;
use mastichaven_core::generation::FileParts;
use mastichaven_core::generation::FileRef;
use mastichaven_core::generation::Head;
use mastichaven_core::generation::MAX_PART_LEN;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::Revision;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_core::spread::HEAD_KEY;
use mastichaven_core::spread::MissingPart;
use mastichaven_core::spread::list_key;
use mastichaven_core::spread::part_key;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::accepted_config;

/// Result of checking or publishing a folder.
pub type Result<T> = std::result::Result<T, PublishError>;

/// Name of the base file in the folder, which records the content that was last published from it.
pub const BASE_FILE: &str = ".mastichaven-base";

/// Maximum number of attempts if other publishers interfere or answers are lost.
const MAX_ATTEMPTS: u32 = 16;

/// Number of generations for which replaced objects are kept for slow readers.
const KEPT_GENERATIONS: usize = 16;

/// Reason why a folder is invalid or was not published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishError {
    /// The files are invalid; holds all problems found.
    Problems(Vec<Problem>),
    /// Another publisher has changed these files in another way since the base.
    Conflict(Vec<SmolStr>),
    /// The folder or the merged configuration defines nothing, and [`Options::allow_empty`] is not
    /// set.
    Empty,
    /// A file of the folder, or its base file, cannot be read or written; the second field has the
    /// details.
    Unreadable(PathBuf, String),
    /// A call to the platform failed, or all attempts met other publishers.
    Platform(Code),
}

impl PublishError {
    /// The numbered code of this error; for [`PublishError::Problems`] that of the first problem.
    pub fn code(&self) -> Code {
        match self {
            PublishError::Problems(problems) => {
                problems.first().map_or(Code::BadValue, |problem| problem.code)
            }
            PublishError::Conflict(_) => Code::PublishConflict,
            PublishError::Empty => Code::EmptyFolder,
            PublishError::Unreadable(..) => Code::Unreadable,
            PublishError::Platform(code) => *code,
        }
    }
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::Problems(problems) => {
                for problem in problems {
                    writeln!(f, "{problem}")?;
                }
                write!(f, "{} problems; the accepted configuration is unchanged", problems.len())
            }
            PublishError::Conflict(files) => write!(
                f,
                "{}: {}; merge the accepted files into the folder and publish with --base accepted",
                self.code(),
                files.join(", ")
            ),
            PublishError::Unreadable(path, detail) => {
                write!(f, "{}: {}: {detail}", path.display(), self.code())
            }
            PublishError::Empty | PublishError::Platform(_) => self.code().fmt(f),
        }
    }
}

impl From<Code> for PublishError {
    fn from(code: Code) -> Self {
        PublishError::Platform(code)
    }
}

/// Contents of the files of a folder by file name.
pub type FileContents = BTreeMap<SmolStr, Bytes>;

/// Merge base: the configuration that the publisher last saw accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Base {
    /// Unknown: an accepted file whose content differs from the folder is a conflict.
    Unknown,
    /// A configuration of these files.
    Files(FileParts),
    /// The configuration accepted when publishing starts; the folder replaces it.
    Accepted,
}

/// Options of [`publish`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Merge base.
    pub base: Base,
    /// Whether a folder without any definition may be published.
    pub allow_empty: bool,
    /// Random number that identifies the receipt of this publisher after a lost answer.
    pub publisher: u64,
    /// Wall clock in Unix seconds.
    pub unix_seconds: u64,
}

impl Options {
    /// Creates options with a new publisher number and the current wall clock; empty folders are
    /// refused.
    pub fn new(base: Base) -> Options {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let publisher = rand::random();
        Options { base, allow_empty: false, publisher, unix_seconds: now.as_secs() }
    }
}

/// Result of a successful [`publish`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// Accepted generation.
    pub generation: Generation,
    /// Whether the call created the generation; `false` if the folder was already accepted.
    pub changed: bool,
    /// Files of the generation, including those of other publishers.
    pub files: FileParts,
}

impl fmt::Display for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = if self.changed { "accepted as" } else { "already accepted as" };
        write!(f, "{verb} generation {} ({} files)", self.generation, self.files.len())
    }
}

/// Reads the `.toml` files of `folder`, without those whose name starts with a dot.
pub fn read_folder(folder: &Path) -> Result<FileContents> {
    let unreadable =
        |path: &Path, e: std::io::Error| PublishError::Unreadable(path.into(), e.to_string());
    let mut contents = FileContents::new();
    for entry in fs::read_dir(folder).map_err(|e| unreadable(folder, e))? {
        let path = entry.map_err(|e| unreadable(folder, e))?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if !name.ends_with(".toml") || name.starts_with('.') {
            continue;
        }
        let text = fs::read(&path).map_err(|e| unreadable(&path, e))?;
        contents.insert(name.into(), Bytes::from(text));
    }
    Ok(contents)
}

/// Merges and checks the files of a folder. An error holds all problems of all files.
pub fn check(contents: &FileContents) -> Result<Config> {
    let mut files = Vec::new();
    let mut problems = Vec::new();
    for (name, bytes) in contents {
        let text = String::from_utf8_lossy(bytes);
        if let Err(error) = std::str::from_utf8(bytes) {
            problems.push(not_utf8_problem(name, bytes, error.valid_up_to()));
        }
        let (parsed, found) = folder::parse(name, &text);
        problems.extend(found);
        files.push((name.clone(), Arc::new(parsed)));
    }
    if files.len() > folder::MAX_FILES {
        problems.push(too_many_files_problem(files.len()));
    }
    let (merged, found) = check::merge(&files);
    problems.extend(found);
    problems.extend(check::check(&merged));
    if problems.is_empty() { Ok(merged.config) } else { Err(PublishError::Problems(problems)) }
}

fn not_utf8_problem(file: &SmolStr, bytes: &Bytes, at: usize) -> Problem {
    Problem {
        file: file.clone(),
        line: 1 + bytes[..at].iter().filter(|b| **b == b'\n').count(),
        key: String::new(),
        code: Code::BadSyntax,
        detail: "the file is not UTF-8 text".to_owned(),
        suggestion: "save it as UTF-8, or remove it from the folder".to_owned(),
    }
}

fn too_many_files_problem(count: usize) -> Problem {
    Problem {
        file: ".".into(),
        line: 0,
        key: String::new(),
        code: Code::TooLarge,
        detail: format!("the folder has {count} files"),
        suggestion: format!("put them together into {} or fewer", folder::MAX_FILES),
    }
}

/// Whether no file of the folder has a definition.
pub fn is_empty(contents: &FileContents) -> bool {
    let declares_nothing = |(name, bytes): (&SmolStr, &Bytes)| {
        folder::parse(name, &String::from_utf8_lossy(bytes)).0.is_empty()
    };
    contents.iter().all(declares_nothing)
}

/// Publishes the files of a folder and returns the accepted generation.
pub fn publish(
    store: &dyn ObjectStore,
    contents: &FileContents,
    options: &Options,
) -> Result<Accepted> {
    if is_empty(contents) && !options.allow_empty {
        return Err(PublishError::Empty);
    }
    let mine = SplitFiles::of(contents);
    let mut base = options.base.clone();
    for _ in 0..MAX_ATTEMPTS {
        let current = AcceptedState::read(store)?;
        if let Some(generation) =
            current.head.as_ref().and_then(|head| head.receipt(options.publisher))
        {
            return Ok(Accepted { generation, changed: true, files: current.list.parts() });
        }
        if base == Base::Accepted {
            base = Base::Files(current.list.parts());
        }
        // Without a head, each file of the base would look as if others had removed it.
        let merge_base = match &base {
            Base::Files(files) if current.head.is_some() => files.clone(),
            Base::Files(_) | Base::Unknown | Base::Accepted => FileParts::new(),
        };
        let theirs = current.list.parts();
        let files = generation::three_way_merge(&merge_base, &mine.files, &theirs)
            .map_err(PublishError::Conflict)?;
        if let Some(head) = current.head.as_ref().filter(|_| files == theirs) {
            return Ok(Accepted { generation: head.generation, changed: false, files });
        }
        let merged_contents = assemble_files(store, &current.list, &mine, &files)?;
        check(&merged_contents)?;
        if is_empty(&merged_contents) && !options.allow_empty {
            return Err(PublishError::Empty);
        }
        match write_generation(store, &current, &mine, &files, options)? {
            WriteOutcome::Accepted(generation) => {
                return Ok(Accepted { generation, changed: true, files });
            }
            // Another publisher was first, or the answer was lost; the accepted head shows which.
            WriteOutcome::Retry => {}
        }
    }
    Err(PublishError::Platform(Code::PlatformConflict))
}

/// Publishes `config` as a folder with a single file, which replaces the accepted configuration.
pub fn publish_config(store: &dyn ObjectStore, config: &Config) -> Result<Generation> {
    let text = toml::to_string(config).expect("a configuration always encodes");
    let contents = FileContents::from([("config.toml".into(), Bytes::from(text))]);
    publish(store, &contents, &Options::new(Base::Accepted)).map(|accepted| accepted.generation)
}

/// Files of a folder, split into parts of at most [`MAX_PART_LEN`] bytes.
struct SplitFiles {
    files: FileParts,
    parts: BTreeMap<Digest, Bytes>,
}

impl SplitFiles {
    fn of(contents: &FileContents) -> SplitFiles {
        let mut split = SplitFiles { files: FileParts::new(), parts: BTreeMap::new() };
        for (name, bytes) in contents {
            let mut digests = Vec::new();
            for start in (0..bytes.len()).step_by(MAX_PART_LEN) {
                let part = bytes.slice(start..bytes.len().min(start + MAX_PART_LEN));
                let digest = Digest::of(&part);
                digests.push(digest);
                split.parts.insert(digest, part);
            }
            split.files.insert(name.clone(), digests);
        }
        split
    }
}

/// The accepted configuration as read from the platform.
struct AcceptedState {
    revision: Option<Revision>,
    head: Option<Head>,
    list: FileList,
    /// Highest known generation: that of the head or, if there is none, of the status objects.
    highest: Generation,
}

impl AcceptedState {
    fn read(store: &dyn ObjectStore) -> Result<AcceptedState> {
        for _ in 0..MAX_ATTEMPTS {
            let Some((revision, head)) = accepted_config::read_head(store)? else {
                let highest = crate::status::highest_generation(store)?;
                return Ok(AcceptedState {
                    revision: None,
                    head: None,
                    list: FileList::default(),
                    highest,
                });
            };
            match accepted_config::read_list(store, &head) {
                Ok(list) => {
                    let highest = head.generation;
                    return Ok(AcceptedState {
                        revision: Some(revision),
                        head: Some(head),
                        list,
                        highest,
                    });
                }
                // The list was deleted between the two reads.
                Err(Code::WatchGap) => {}
                Err(code) => return Err(code.into()),
            }
        }
        Err(Code::PlatformConflict.into())
    }
}

enum WriteOutcome {
    Accepted(Generation),
    Retry,
}

fn write_generation(
    store: &dyn ObjectStore,
    current: &AcceptedState,
    mine: &SplitFiles,
    files: &FileParts,
    options: &Options,
) -> Result<WriteOutcome> {
    let generation = generation::next_generation(current.highest, options.unix_seconds);
    let list = current.list.with_files(files, generation);
    for file in list.files().iter().filter(|file| file.changed_in == generation) {
        for digest in &file.parts {
            // A part that is not in this folder is already accepted, under its own key.
            if let Some(bytes) = mine.parts.get(digest) {
                put_immutable(store, &part_key(generation, *digest), bytes)?;
            }
        }
    }
    let encoded = Bytes::from(encode(&list));
    let mut keys = Vec::new();
    for start in (0..encoded.len()).step_by(MAX_PART_LEN) {
        let piece = encoded.slice(start..encoded.len().min(start + MAX_PART_LEN));
        let key = list_key(generation, Digest::of(&piece));
        put_immutable(store, &key, &piece)?;
        keys.push(key);
    }
    let mut head = Head::accept(
        current.head.as_ref(),
        &list,
        keys,
        options.publisher,
        newly_unused_keys(current, files),
    );
    let expired = take_expired_keys(&mut head, &list);
    let expect = current.revision.map_or(Expect::Absent, Expect::At);
    match store.put(HEAD_KEY, Bytes::from(encode(&head)), expect) {
        Ok(_) => {
            delete_objects(store, &expired);
            Ok(WriteOutcome::Accepted(generation))
        }
        Err(PlatformError::Conflict | PlatformError::Unknown) => Ok(WriteOutcome::Retry),
        Err(error) => Err(PublishError::Platform(error.code())),
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("lists and heads always encode")
}

/// Writes an object whose content never changes. If it already exists, because of a concurrent
/// publisher or a write whose answer was lost, that is a success.
fn put_immutable(store: &dyn ObjectStore, key: &str, value: &Bytes) -> Result<()> {
    match store.put(key, value.clone(), Expect::Absent) {
        Ok(_) | Err(PlatformError::Conflict) => Ok(()),
        Err(PlatformError::Unknown) => match store.put(key, value.clone(), Expect::Absent) {
            Ok(_) | Err(PlatformError::Conflict) => Ok(()),
            Err(error) => Err(PublishError::Platform(error.code())),
        },
        Err(error) => Err(PublishError::Platform(error.code())),
    }
}

/// Keys of the accepted list, and of the parts of files that `files` changes or removes.
fn newly_unused_keys(current: &AcceptedState, files: &FileParts) -> Vec<SmolStr> {
    let mut keys = current.head.as_ref().map_or(Vec::new(), |head| head.list.clone());
    for file in current.list.files() {
        if files.get(&file.name) != Some(&file.parts) {
            keys.extend(file.parts.iter().map(|digest| part_key(file.changed_in, *digest)));
        }
    }
    keys
}

/// Removes the keys from `head` that were replaced more than [`KEPT_GENERATIONS`] generations ago,
/// and returns those that `list` does not use.
fn take_expired_keys(head: &mut Head, list: &FileList) -> Vec<SmolStr> {
    let Some(at) = head.receipts.len().checked_sub(KEPT_GENERATIONS) else {
        return Vec::new();
    };
    let limit = head.receipts[at].generation;
    // Files with the same bytes share a key, which is in use as long as one of them refers to it.
    let keys_of = |file: &FileRef| {
        let changed_in = file.changed_in;
        file.parts.clone().into_iter().map(move |digest| part_key(changed_in, digest))
    };
    let used_keys: BTreeSet<SmolStr> = list.files().iter().flat_map(keys_of).collect();
    let (expired, kept): (Vec<_>, Vec<_>) =
        std::mem::take(&mut head.unused).into_iter().partition(|(at, _)| *at < limit);
    head.unused = kept;
    expired.into_iter().map(|(_, key)| key).filter(|key| !used_keys.contains(key)).collect()
}

/// Deletes objects that are no longer used. Errors are ignored; the objects then remain.
fn delete_objects(store: &dyn ObjectStore, keys: &[SmolStr]) {
    for key in keys {
        if let Ok(Some(object)) = store.get(key) {
            let _ = store.delete(key, object.revision);
        }
    }
}

/// Contents of the merged `files`, from this folder or from the accepted configuration.
fn assemble_files(
    store: &dyn ObjectStore,
    accepted: &FileList,
    mine: &SplitFiles,
    files: &FileParts,
) -> Result<FileContents> {
    let mut contents = FileContents::new();
    for (name, parts) in files {
        let mut text = Vec::new();
        for digest in parts {
            match mine.parts.get(digest) {
                Some(bytes) => text.extend_from_slice(bytes),
                None => {
                    text.extend_from_slice(&read_accepted_part(store, accepted, name, *digest)?)
                }
            }
        }
        contents.insert(name.clone(), Bytes::from(text));
    }
    Ok(contents)
}

fn read_accepted_part(
    store: &dyn ObjectStore,
    accepted: &FileList,
    name: &SmolStr,
    digest: Digest,
) -> Result<Bytes> {
    let file = accepted.files().iter().find(|file| file.name == *name).ok_or(Code::WatchGap)?;
    let part = MissingPart { digest, key: part_key(file.changed_in, digest) };
    Ok(accepted_config::read_part(store, &part)?)
}

#[derive(Deserialize, Serialize)]
struct BaseFile {
    generation: Generation,
    files: BTreeMap<SmolStr, Vec<String>>,
}

/// Reads the base file of a folder; [`Base::Unknown`] if there is none.
pub fn read_base(folder: &Path) -> Result<Base> {
    let path = folder.join(BASE_FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Base::Unknown),
        Err(e) => return Err(PublishError::Unreadable(path, e.to_string())),
    };
    let unreadable = |detail: &str| PublishError::Unreadable(path.clone(), detail.to_owned());
    let base: BaseFile = toml::from_str(&text).map_err(|e| unreadable(e.message()))?;
    let mut files = FileParts::new();
    for (name, parts) in base.files {
        let digests: Option<Vec<Digest>> = parts.iter().map(|hex| Digest::from_hex(hex)).collect();
        files.insert(name, digests.ok_or_else(|| unreadable("a digest cannot be read"))?);
    }
    Ok(Base::Files(files))
}

/// Writes the base file of a folder that was accepted as `generation`.
///
/// The base holds the contents of this folder instead of the merged configuration. If the merge
/// kept a file of another publisher, the next merge must still see that this folder did not change
/// it.
pub fn write_base(folder: &Path, generation: Generation, contents: &FileContents) -> Result<()> {
    let hex = |parts: Vec<Digest>| parts.into_iter().map(Digest::to_hex).collect();
    let files = SplitFiles::of(contents)
        .files
        .into_iter()
        .map(|(name, parts)| (name, hex(parts)))
        .collect();
    let text = toml::to_string(&BaseFile { generation, files }).expect("a base always encodes");
    let path = folder.join(BASE_FILE);
    fs::write(&path, text).map_err(|e| PublishError::Unreadable(path, e.to_string()))
}
