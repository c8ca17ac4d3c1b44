//! First pass over a folder of configuration: each file by itself.
//!
//! [`parse`] reads one file into its entries and reports everything that is wrong in it, not only
//! the first thing. Entries that are partly wrong are kept without the wrong keys, so that a
//! process that is older than the file still puts the rest of it in force.
//! [`crate::check`] makes the second pass over all files together.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;
use toml::de::ValueDeserializer;

use crate::code::Code;
use crate::config::AvailabilityZone;
use crate::config::Customer;
use crate::config::Limits;
use crate::config::Model;
use crate::config::Placement;
use crate::config::Route;
use crate::config::Service;
use crate::config::Version;
use crate::ids::is_valid_name;

/// Bytes of one file at most.
pub const MAX_FILE_LEN: usize = 16 << 20;

/// Files of one folder at most.
pub const MAX_FILES: usize = 4_096;

/// Problems reported of one file at most; more would not be read.
pub const MAX_PROBLEMS: usize = 200;

/// The key that allows an entry to replace one of an earlier file.
pub const OVERRIDE_KEY: &str = "override";

/// Something wrong in a folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The file's name.
    pub file: SmolStr,
    /// The line, from 1.
    pub line: usize,
    /// The key, such as `customer.coop.weight`; empty for a whole file.
    pub key: String,
    /// The numbered code.
    pub code: Code,
    /// What is wrong.
    pub detail: String,
    /// What to write instead; empty when that cannot be told.
    pub instead: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: E{} ", self.file, self.line, self.code.number())?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.detail)?;
        if self.instead.is_empty() { Ok(()) } else { write!(f, "; {}", self.instead) }
    }
}

/// The kinds of entries.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// `[zone.NAME]`.
    Zone,
    /// `[customer.NAME]`.
    Customer,
    /// `[model.NAME]`.
    Model,
    /// `[version.NAME]`.
    Version,
    /// `[placement.NAME]`.
    Placement,
    /// `[service.NAME]`.
    Service,
    /// `[route.NAME]`.
    Route,
}

impl Kind {
    /// All kinds with the name of their table.
    pub const ALL: [(Kind, &'static str); 7] = [
        (Kind::Zone, "zone"),
        (Kind::Customer, "customer"),
        (Kind::Model, "model"),
        (Kind::Version, "version"),
        (Kind::Placement, "placement"),
        (Kind::Service, "service"),
        (Kind::Route, "route"),
    ];

    /// The name of its table.
    pub fn as_str(self) -> &'static str {
        Kind::ALL[self as usize].1
    }
}

/// The table of limits, which has no names below it.
pub const LIMITS_TABLE: &str = "limits";

/// What an entry declares.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// An availability zone.
    Zone(AvailabilityZone),
    /// A customer.
    Customer(Customer),
    /// A model.
    Model(Model),
    /// A version.
    Version(Version),
    /// A placement.
    Placement(Placement),
    /// A service.
    Service(Service),
    /// A route.
    Route(Route),
}

/// One named entry of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: SmolStr,
    /// The line of its name.
    pub line: usize,
    /// Whether it may replace an entry of an earlier file.
    pub overrides: bool,
    /// What it declares.
    pub value: Value,
    /// The lines of its keys.
    key_lines: Vec<(SmolStr, usize)>,
}

impl Entry {
    /// The line of `key`, or of the entry when it does not name the key.
    pub fn line_of(&self, key: &str) -> usize {
        let found = self.key_lines.iter().find(|(name, _)| name == key);
        found.map_or(self.line, |(_, line)| *line)
    }
}

/// The limits that one file sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitsPart {
    /// Whether it may replace keys of an earlier file.
    pub overrides: bool,
    /// The values by key, with their lines.
    pub keys: BTreeMap<SmolStr, (toml::Value, usize)>,
}

/// One file, read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedFile {
    /// Its entries, by kind and name.
    pub entries: Vec<Entry>,
    /// Its limits.
    pub limits: LimitsPart,
}

impl ParsedFile {
    /// Whether it declares nothing.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.limits.keys.is_empty()
    }
}

/// Reads one file. O(n) in its bytes, apart from one more pass over an entry for each wrong key.
pub fn parse(file: &str, text: &str) -> (ParsedFile, Vec<Problem>) {
    let mut reader = Reader::new(file, text);
    let mut parsed = ParsedFile::default();
    if text.len() > MAX_FILE_LEN {
        let detail = format!("the file has {} bytes", text.len());
        reader.report(1, "", Code::TooLarge, detail, format!("split it below {MAX_FILE_LEN}"));
        return (parsed, reader.problems);
    }
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let line = reader.line(&error.span());
        reader.report(line, "", Code::BadSyntax, error.message().to_owned(), String::new());
    }
    if !errors.is_empty() {
        return (parsed, reader.problems);
    }
    for (key, value) in table.into_inner() {
        reader.read_kind(&key, value, &mut parsed);
    }
    reader.problems.sort_by_key(|problem| problem.line);
    (parsed, reader.problems)
}

struct Reader {
    file: SmolStr,
    line_starts: Vec<usize>,
    problems: Vec<Problem>,
}

impl Reader {
    fn new(file: &str, text: &str) -> Reader {
        let ends = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(at, _)| at + 1);
        let line_starts = std::iter::once(0).chain(ends).collect();
        Reader { file: file.into(), line_starts, problems: Vec::new() }
    }

    fn line(&self, span: &Option<Range<usize>>) -> usize {
        let at = span.as_ref().map_or(0, |span| span.start);
        self.line_starts.partition_point(|start| *start <= at)
    }

    fn report(&mut self, line: usize, key: &str, code: Code, detail: String, instead: String) {
        if self.problems.len() < MAX_PROBLEMS {
            let (file, key) = (self.file.clone(), key.to_owned());
            self.problems.push(Problem { file, line, key, code, detail, instead });
        }
    }

    fn read_kind(
        &mut self,
        key: &Spanned<toml::de::DeString<'_>>,
        value: Spanned<DeValue<'_>>,
        parsed: &mut ParsedFile,
    ) {
        let line = self.line(&Some(key.span()));
        let name: &str = key.get_ref();
        let kind = Kind::ALL.iter().find(|(_, text)| *text == name);
        let DeValue::Table(table) = value.into_inner() else {
            let detail = "this is not a table".to_owned();
            let instead = suggest_kind(name);
            return self.report(line, name, Code::UnknownKey, detail, instead);
        };
        match kind {
            Some((kind, _)) => {
                for (name, value) in table {
                    self.read_entry(*kind, &name, value, parsed);
                }
            }
            None if name == LIMITS_TABLE => self.read_limits(table, parsed),
            None => {
                let detail = "there is no such kind".to_owned();
                self.report(line, name, Code::UnknownKey, detail, suggest_kind(name));
            }
        }
    }

    fn read_entry(
        &mut self,
        kind: Kind,
        name: &Spanned<toml::de::DeString<'_>>,
        value: Spanned<DeValue<'_>>,
        parsed: &mut ParsedFile,
    ) {
        let line = self.line(&Some(name.span()));
        let name = SmolStr::new(name.get_ref());
        let path = format!("{}.{name}", kind.as_str());
        if !is_valid_name(&name) {
            let instead = "use lower-case letters, digits, `-`, `_` and `.`, at most 63".to_owned();
            self.report(line, &path, Code::BadName, "the name is not allowed".to_owned(), instead);
        }
        let span = value.span();
        let DeValue::Table(mut table) = value.into_inner() else {
            let detail = "this is not a table".to_owned();
            return self.report(line, &path, Code::BadValue, detail, format!("write [{path}]"));
        };
        let overrides = self.take_override(&mut table, &path);
        let key_lines = self.key_lines(&table);
        let place = Place { path: &path, line, key_lines: &key_lines, span };
        let value = match kind {
            Kind::Zone => self.read(table, &place).map(Value::Zone),
            Kind::Customer => self.read(table, &place).map(Value::Customer),
            Kind::Model => self.read(table, &place).map(Value::Model),
            Kind::Version => self.read(table, &place).map(Value::Version),
            Kind::Placement => self.read(table, &place).map(Value::Placement),
            Kind::Service => self.read(table, &place).map(Value::Service),
            Kind::Route => self.read(table, &place).map(Value::Route),
        };
        if let Some(value) = value {
            parsed.entries.push(Entry { kind, name, line, overrides, value, key_lines });
        }
    }

    fn read_limits(&mut self, mut table: DeTable<'_>, parsed: &mut ParsedFile) {
        parsed.limits.overrides = self.take_override(&mut table, LIMITS_TABLE);
        let key_lines = self.key_lines(&table);
        for (key, value) in table {
            let line = self.line(&Some(key.span()));
            let name = SmolStr::new(key.get_ref());
            let span = value.span();
            let place = Place { path: LIMITS_TABLE, line, key_lines: &key_lines, span };
            let mut alone = DeTable::new();
            alone.insert(key, value.clone());
            let before = self.problems.len();
            let _: Option<Limits> = self.read(alone, &place);
            let deserializer = ValueDeserializer::from(value);
            if self.problems.len() > before {
                continue;
            }
            if let Ok(value) = toml::Value::deserialize(deserializer) {
                parsed.limits.keys.insert(name, (value, line));
            }
        }
    }

    fn take_override(&mut self, table: &mut DeTable<'_>, path: &str) -> bool {
        let found = table.iter().find(|(key, _)| key.get_ref() == OVERRIDE_KEY);
        let Some((key, value)) = found else {
            return false;
        };
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            let line = self.line(&Some(key.span()));
            let detail = "`override` is true or false".to_owned();
            self.report(line, path, Code::BadValue, detail, "write `override = true`".to_owned());
        }
        *table = without(std::mem::take(table), OVERRIDE_KEY);
        flag == Some(true)
    }

    fn key_lines(&self, table: &DeTable<'_>) -> Vec<(SmolStr, usize)> {
        let line = |key: &Spanned<_>| self.line(&Some(key.span()));
        table.iter().map(|(key, _)| (SmolStr::new(key.get_ref()), line(key))).collect()
    }

    /// Reads a table; a key that is wrong is reported and left out, and the rest is read again.
    fn read<T: DeserializeOwned>(
        &mut self,
        mut table: DeTable<'_>,
        place: &Place<'_>,
    ) -> Option<T> {
        let mut dropped = Vec::new();
        loop {
            let value = Spanned::new(place.span.clone(), DeValue::Table(table.clone()));
            let error = match T::deserialize(ValueDeserializer::from(value)) {
                Ok(value) => return Some(value),
                Err(error) => error,
            };
            let key = self.blame(&table, &error);
            self.report_error(&error, key.as_deref(), &dropped, place);
            let key = key?;
            table = without(table, &key);
            dropped.push(key);
        }
    }

    /// The key of `table` that an error is about.
    fn blame(&self, table: &DeTable<'_>, error: &toml::de::Error) -> Option<String> {
        let named = scan_quoted(error.message()).next().unwrap_or_default().to_owned();
        if error.message().starts_with("unknown field") {
            let here = table.iter().any(|(key, _)| *key.get_ref() == *named);
            return here.then_some(named);
        }
        let at = error.span()?.start;
        let holds = |key: &Spanned<toml::de::DeString<'_>>, value: &Spanned<DeValue<'_>>| {
            key.span().contains(&at) || value.span().contains(&at)
        };
        let found = table.iter().find(|(key, value)| holds(key, value));
        found.map(|(key, _)| key.get_ref().to_string())
    }

    fn report_error(
        &mut self,
        error: &toml::de::Error,
        key: Option<&str>,
        dropped: &[String],
        place: &Place<'_>,
    ) {
        let message = error.message();
        let quoted: Vec<&str> = scan_quoted(message).collect();
        let missing = message.starts_with("missing field");
        if missing && dropped.iter().any(|key| quoted.first() == Some(&key.as_str())) {
            return;
        }
        let line = key.map_or(place.line, |key| {
            let found = place.key_lines.iter().find(|(name, _)| name == key);
            found.map_or(place.line, |(_, line)| *line)
        });
        let path = key.map_or(place.path.to_owned(), |key| format!("{}.{key}", place.path));
        let (code, instead) = if message.starts_with("unknown field") {
            (Code::UnknownKey, suggest(quoted.first().copied(), &quoted[1..]))
        } else if message.starts_with("unknown variant") {
            (Code::BadValue, suggest(quoted.first().copied(), &quoted[1..]))
        } else if missing {
            let name = quoted.first().copied().unwrap_or_default();
            (Code::MissingKey, format!("add `{name} = …` to [{}]", place.path))
        } else {
            (Code::BadValue, String::new())
        };
        self.report(line, &path, code, message.to_owned(), instead);
    }
}

fn without<'i>(table: DeTable<'i>, key: &str) -> DeTable<'i> {
    let mut rest = DeTable::new();
    for (name, value) in table {
        if *name.get_ref() != *key {
            rest.insert(name, value);
        }
    }
    rest
}

/// Where an entry stands.
struct Place<'a> {
    path: &'a str,
    line: usize,
    key_lines: &'a [(SmolStr, usize)],
    span: Range<usize>,
}

/// The parts of `message` between backquotes.
fn scan_quoted(message: &str) -> impl Iterator<Item = &str> {
    message.split('`').skip(1).step_by(2)
}

fn suggest_kind(name: &str) -> String {
    let mut kinds: Vec<&str> = Kind::ALL.iter().map(|(_, text)| *text).collect();
    kinds.push(LIMITS_TABLE);
    suggest(Some(name), &kinds)
}

/// What to write instead of `word`: the nearest of `allowed`, or all of them when none is near.
pub(crate) fn suggest(word: Option<&str>, allowed: &[&str]) -> String {
    let word = word.unwrap_or_default();
    let nearest = allowed.iter().min_by_key(|candidate| edits(word, candidate));
    match nearest {
        None => "remove it".to_owned(),
        Some(near) if edits(word, near) <= 1 + near.len() / 4 => format!("write `{near}`"),
        Some(_) if allowed.len() <= MAX_LISTED => format!("one of {}", allowed.join(", ")),
        Some(_) => String::new(),
    }
}

/// Names listed in a suggestion at most.
const MAX_LISTED: usize = 12;

/// Edit distance of two short words. O(n·m).
fn edits(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let above = row[j + 1];
            let replaced = diagonal + usize::from(x != *y);
            row[j + 1] = replaced.min(above + 1).min(row[j] + 1);
            diagonal = above;
        }
    }
    row[b.len()]
}
