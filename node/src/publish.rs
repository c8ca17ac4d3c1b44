//! From a folder of files to an accepted configuration on the platform.
//!
//! Parts and list are written first, under keys that nobody reads yet; the conditional update of
//! one object, the head, then accepts all of it or nothing. Publishers that race are put together
//! file by file against what each last saw accepted.

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

use crate::accepted;

/// Result of publishing.
pub type Result<T> = std::result::Result<T, PublishError>;

/// The file beside the configuration that remembers what the publisher last saw accepted.
pub const BASE_FILE: &str = ".mastichaven-base";

/// Attempts against other publishers, and against lost answers.
const MAX_ATTEMPTS: u32 = 16;

/// Objects of replaced generations are kept for this many generations, for slow readers.
const KEPT_GENERATIONS: usize = 16;

/// Why a folder is not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishError {
    /// The files are wrong; every problem found.
    Problems(Vec<Problem>),
    /// Other publishers changed these files differently since the base.
    Clash(Vec<SmolStr>),
    /// The folder declares nothing.
    Empty,
    /// The folder or its base cannot be read or written.
    Unreadable(PathBuf, String),
    /// The platform refused.
    Platform(Code),
}

impl PublishError {
    /// The numbered code of this error.
    pub fn code(&self) -> Code {
        match self {
            PublishError::Problems(problems) => {
                problems.first().map_or(Code::BadValue, |problem| problem.code)
            }
            PublishError::Clash(_) => Code::PublishConflict,
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
                write!(f, "{} problems; what was accepted before stands", problems.len())
            }
            PublishError::Clash(files) => write!(
                f,
                "{}: {}; read what is accepted, put both together, and publish with --base accepted",
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

/// The texts of a folder by file name.
pub type Texts = BTreeMap<SmolStr, Bytes>;

/// What the publisher last saw accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Base {
    /// Nothing is known: a file that is accepted with another content is a clash.
    Unknown,
    /// These files.
    Files(FileParts),
    /// Whatever is accepted when publishing starts: the folder replaces it.
    Accepted,
}

/// How to publish.
#[derive(Clone, Debug)]
pub struct Options {
    /// What the publisher last saw accepted.
    pub base: Base,
    /// Whether a folder that declares nothing may be published.
    pub allow_empty: bool,
    /// Tells this publisher's writes from others'; drawn at random.
    pub publisher: u64,
    /// The wall clock in seconds.
    pub unix_seconds: u64,
}

impl Options {
    /// Options of a new publisher with the present wall clock.
    pub fn new(base: Base) -> Options {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let publisher = rand::random();
        Options { base, allow_empty: false, publisher, unix_seconds: now.as_secs() }
    }
}

/// An accepted generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// Its number.
    pub generation: Generation,
    /// Whether this publishing changed anything.
    pub changed: bool,
    /// Its files.
    pub files: FileParts,
}

impl fmt::Display for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = if self.changed { "accepted as" } else { "already accepted as" };
        write!(f, "{verb} generation {} ({} files)", self.generation, self.files.len())
    }
}

/// Reads the `.toml` files of `folder`.
pub fn read_folder(folder: &Path) -> Result<Texts> {
    let unreadable =
        |path: &Path, e: std::io::Error| PublishError::Unreadable(path.into(), e.to_string());
    let mut texts = Texts::new();
    for entry in fs::read_dir(folder).map_err(|e| unreadable(folder, e))? {
        let path = entry.map_err(|e| unreadable(folder, e))?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if !name.ends_with(".toml") || name.starts_with('.') {
            continue;
        }
        let text = fs::read(&path).map_err(|e| unreadable(&path, e))?;
        texts.insert(name.into(), Bytes::from(text));
    }
    Ok(texts)
}

/// Merges and checks a folder; everything that is wrong is reported at once.
pub fn check(texts: &Texts) -> Result<Config> {
    let mut files = Vec::new();
    let mut problems = Vec::new();
    for (name, bytes) in texts {
        let text = String::from_utf8_lossy(bytes);
        if let Err(error) = std::str::from_utf8(bytes) {
            problems.push(not_text(name, bytes, error.valid_up_to()));
        }
        let (parsed, found) = folder::parse(name, &text);
        problems.extend(found);
        files.push((name.clone(), Arc::new(parsed)));
    }
    if files.len() > folder::MAX_FILES {
        problems.push(too_many_files(files.len()));
    }
    let (merged, found) = check::merge(&files);
    problems.extend(found);
    problems.extend(check::check(&merged));
    if problems.is_empty() { Ok(merged.config) } else { Err(PublishError::Problems(problems)) }
}

fn not_text(file: &SmolStr, bytes: &Bytes, at: usize) -> Problem {
    Problem {
        file: file.clone(),
        line: 1 + bytes[..at].iter().filter(|b| **b == b'\n').count(),
        key: String::new(),
        code: Code::BadSyntax,
        detail: "the file is not UTF-8 text".to_owned(),
        suggestion: "save it as UTF-8, or remove it from the folder".to_owned(),
    }
}

fn too_many_files(count: usize) -> Problem {
    Problem {
        file: ".".into(),
        line: 0,
        key: String::new(),
        code: Code::TooLarge,
        detail: format!("the folder has {count} files"),
        suggestion: format!("put them together into {} or fewer", folder::MAX_FILES),
    }
}

/// Whether a folder declares nothing.
pub fn is_empty(texts: &Texts) -> bool {
    let declares_nothing = |(name, bytes): (&SmolStr, &Bytes)| {
        folder::parse(name, &String::from_utf8_lossy(bytes)).0.is_empty()
    };
    texts.iter().all(declares_nothing)
}

/// Publishes a folder.
pub fn publish(store: &dyn ObjectStore, texts: &Texts, options: &Options) -> Result<Accepted> {
    if is_empty(texts) && !options.allow_empty {
        return Err(PublishError::Empty);
    }
    let mine = Cut::of(texts);
    let mut base = options.base.clone();
    for _ in 0..MAX_ATTEMPTS {
        let now = Now::read(store)?;
        if let Some(generation) = now.head.as_ref().and_then(|head| head.receipt(options.publisher))
        {
            return Ok(Accepted { generation, changed: true, files: now.list.parts() });
        }
        if base == Base::Accepted {
            base = Base::Files(now.list.parts());
        }
        // When the head is gone, everything would look as if others had removed it.
        let known = match &base {
            Base::Files(files) if now.head.is_some() => files.clone(),
            Base::Files(_) | Base::Unknown | Base::Accepted => FileParts::new(),
        };
        let theirs = now.list.parts();
        let files = generation::three_way_merge(&known, &mine.files, &theirs)
            .map_err(PublishError::Clash)?;
        if let Some(head) = now.head.as_ref().filter(|_| files == theirs) {
            return Ok(Accepted { generation: head.generation, changed: false, files });
        }
        let joined = join(store, &now.list, &mine, &files)?;
        check(&joined)?;
        if is_empty(&joined) && !options.allow_empty {
            return Err(PublishError::Empty);
        }
        match write(store, &now, &mine, &files, options)? {
            Written::Accepted(generation) => {
                return Ok(Accepted { generation, changed: true, files });
            }
            // Another publisher was first, or the answer was lost: what is accepted tells.
            Written::Again => {}
        }
    }
    Err(PublishError::Platform(Code::PlatformConflict))
}

/// Publishes `config` as a folder of one file that replaces whatever is accepted.
pub fn publish_config(store: &dyn ObjectStore, config: &Config) -> Result<Generation> {
    let text = toml::to_string(config).expect("a configuration always encodes");
    let texts = Texts::from([("config.toml".into(), Bytes::from(text))]);
    publish(store, &texts, &Options::new(Base::Accepted)).map(|accepted| accepted.generation)
}

/// A folder cut into parts.
struct Cut {
    files: FileParts,
    parts: BTreeMap<Digest, Bytes>,
}

impl Cut {
    fn of(texts: &Texts) -> Cut {
        let mut cut = Cut { files: FileParts::new(), parts: BTreeMap::new() };
        for (name, bytes) in texts {
            let mut digests = Vec::new();
            for start in (0..bytes.len()).step_by(MAX_PART_LEN) {
                let part = bytes.slice(start..bytes.len().min(start + MAX_PART_LEN));
                let digest = Digest::of(&part);
                digests.push(digest);
                cut.parts.insert(digest, part);
            }
            cut.files.insert(name.clone(), digests);
        }
        cut
    }
}

/// What is accepted at present.
struct Now {
    revision: Option<Revision>,
    head: Option<Head>,
    list: FileList,
    /// The highest generation known from anywhere, also when the head is gone.
    highest: Generation,
}

impl Now {
    fn read(store: &dyn ObjectStore) -> Result<Now> {
        for _ in 0..MAX_ATTEMPTS {
            let Some((revision, head)) = accepted::read_head(store)? else {
                let highest = crate::status::highest_generation(store)?;
                return Ok(Now { revision: None, head: None, list: FileList::default(), highest });
            };
            match accepted::read_list(store, &head) {
                Ok(list) => {
                    let highest = head.generation;
                    return Ok(Now { revision: Some(revision), head: Some(head), list, highest });
                }
                // The list was replaced between the two reads.
                Err(Code::WatchGap) => {}
                Err(code) => return Err(code.into()),
            }
        }
        Err(Code::PlatformConflict.into())
    }
}

enum Written {
    Accepted(Generation),
    Again,
}

fn write(
    store: &dyn ObjectStore,
    now: &Now,
    mine: &Cut,
    files: &FileParts,
    options: &Options,
) -> Result<Written> {
    let generation = generation::next_generation(now.highest, options.unix_seconds);
    let list = now.list.with_files(files, generation);
    for file in list.files().iter().filter(|file| file.changed_in == generation) {
        for digest in &file.parts {
            // A part that only the other publisher has is accepted already, under its own key.
            if let Some(bytes) = mine.parts.get(digest) {
                put_once(store, &part_key(generation, *digest), bytes)?;
            }
        }
    }
    let encoded = Bytes::from(encode(&list));
    let mut keys = Vec::new();
    for start in (0..encoded.len()).step_by(MAX_PART_LEN) {
        let piece = encoded.slice(start..encoded.len().min(start + MAX_PART_LEN));
        let key = list_key(generation, Digest::of(&piece));
        put_once(store, &key, &piece)?;
        keys.push(key);
    }
    let mut head =
        Head::accept(now.head.as_ref(), &list, keys, options.publisher, unused(now, files));
    let old = take_old(&mut head, &list);
    let expect = now.revision.map_or(Expect::Absent, Expect::At);
    match store.put(HEAD_KEY, Bytes::from(encode(&head)), expect) {
        Ok(_) => {
            delete_all(store, &old);
            Ok(Written::Accepted(generation))
        }
        Err(PlatformError::Conflict | PlatformError::Unknown) => Ok(Written::Again),
        Err(error) => Err(PublishError::Platform(error.code())),
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("lists and heads always encode")
}

/// Writes an object that never changes. That it is there already, by a racing publisher or by a
/// write whose answer was lost, is as good.
fn put_once(store: &dyn ObjectStore, key: &str, value: &Bytes) -> Result<()> {
    match store.put(key, value.clone(), Expect::Absent) {
        Ok(_) | Err(PlatformError::Conflict) => Ok(()),
        Err(PlatformError::Unknown) => match store.put(key, value.clone(), Expect::Absent) {
            Ok(_) | Err(PlatformError::Conflict) => Ok(()),
            Err(error) => Err(PublishError::Platform(error.code())),
        },
        Err(error) => Err(PublishError::Platform(error.code())),
    }
}

/// Keys of the present list and of files that the next list changes or drops.
fn unused(now: &Now, files: &FileParts) -> Vec<SmolStr> {
    let mut keys = now.head.as_ref().map_or(Vec::new(), |head| head.list.clone());
    for file in now.list.files() {
        if files.get(&file.name) != Some(&file.parts) {
            keys.extend(file.parts.iter().map(|digest| part_key(file.changed_in, *digest)));
        }
    }
    keys
}

/// Takes out of the head what was replaced so long ago that no reader needs it any more.
fn take_old(head: &mut Head, list: &FileList) -> Vec<SmolStr> {
    let Some(at) = head.receipts.len().checked_sub(KEPT_GENERATIONS) else {
        return Vec::new();
    };
    let limit = head.receipts[at].generation;
    // Two files with the same bytes share a key; it is in use as long as one of them names it.
    let keys_of = |file: &FileRef| {
        let changed_in = file.changed_in;
        file.parts.clone().into_iter().map(move |digest| part_key(changed_in, digest))
    };
    let used: BTreeSet<SmolStr> = list.files().iter().flat_map(keys_of).collect();
    let (old, kept): (Vec<_>, Vec<_>) =
        std::mem::take(&mut head.unused).into_iter().partition(|(at, _)| *at < limit);
    head.unused = kept;
    old.into_iter().map(|(_, key)| key).filter(|key| !used.contains(key)).collect()
}

/// Deleting is only tidying: what fails is left behind.
fn delete_all(store: &dyn ObjectStore, keys: &[SmolStr]) {
    for key in keys {
        if let Ok(Some(object)) = store.get(key) {
            let _ = store.delete(key, object.revision);
        }
    }
}

/// The texts of a merged set of files: from this folder, or from what is accepted.
fn join(
    store: &dyn ObjectStore,
    accepted: &FileList,
    mine: &Cut,
    files: &FileParts,
) -> Result<Texts> {
    let mut texts = Texts::new();
    for (name, parts) in files {
        let mut text = Vec::new();
        for digest in parts {
            match mine.parts.get(digest) {
                Some(bytes) => text.extend_from_slice(bytes),
                None => text.extend_from_slice(&read_accepted(store, accepted, name, *digest)?),
            }
        }
        texts.insert(name.clone(), Bytes::from(text));
    }
    Ok(texts)
}

fn read_accepted(
    store: &dyn ObjectStore,
    accepted: &FileList,
    name: &SmolStr,
    digest: Digest,
) -> Result<Bytes> {
    let file = accepted.files().iter().find(|file| file.name == *name).ok_or(Code::WatchGap)?;
    let part = MissingPart { digest, key: part_key(file.changed_in, digest) };
    Ok(accepted::read_part(store, &part)?)
}

#[derive(Deserialize, Serialize)]
struct BaseFile {
    generation: Generation,
    files: BTreeMap<SmolStr, Vec<String>>,
}

/// Reads the base beside a folder; [`Base::Unknown`] when there is none.
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

/// Writes the base beside a folder, after it was accepted as `generation`.
///
/// The base holds this folder's own contents, not what was accepted: where another publisher's
/// file was kept, the next publishing must still see that this folder did not change it.
pub fn write_base(folder: &Path, generation: Generation, texts: &Texts) -> Result<()> {
    let hex = |parts: Vec<Digest>| parts.into_iter().map(Digest::to_hex).collect();
    let files = Cut::of(texts).files.into_iter().map(|(name, parts)| (name, hex(parts))).collect();
    let text = toml::to_string(&BaseFile { generation, files }).expect("a base always encodes");
    let path = folder.join(BASE_FILE);
    fs::write(&path, text).map_err(|e| PublishError::Unreadable(path, e.to_string()))
}
