//! First pass over a configuration folder: parsing of each file.
//!
//! [`parse`] reads one file into its entries and reports all its problems, not only the first one.
//! Entries with invalid keys are kept without these keys, so that a process that is older than the
//! file still applies the rest of it. [`crate::check`] is the second pass over all files.

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

/// Maximum size of one file in bytes.
pub const MAX_FILE_LEN: usize = 16 << 20;

/// Maximum number of files in one folder.
pub const MAX_FILES: usize = 4_096;

/// Maximum number of problems reported for one file; nobody would read more.
pub const MAX_PROBLEMS: usize = 200;

/// Key that allows an entry to replace one of an earlier file.
pub const OVERRIDE_KEY: &str = "override";

/// A problem found in a configuration folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Name of the file.
    pub file: SmolStr,
    /// Line in the file, from 1.
    pub line: usize,
    /// Path of the key, such as `customer.coop.weight`; empty if the whole file is concerned.
    pub key: String,
    /// Code of the problem.
    pub code: Code,
    /// Description of the problem.
    pub detail: String,
    /// Suggested correction; empty if none is known.
    pub suggestion: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: E{} ", self.file, self.line, self.code.number())?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.detail)?;
        if self.suggestion.is_empty() { Ok(()) } else { write!(f, "; {}", self.suggestion) }
    }
}

/// Kind of an entry, one for each table of the configuration.
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
    /// All kinds with their table names, in the order of the variants.
    pub const ALL: [(Kind, &'static str); 7] = [
        (Kind::Zone, "zone"),
        (Kind::Customer, "customer"),
        (Kind::Model, "model"),
        (Kind::Version, "version"),
        (Kind::Placement, "placement"),
        (Kind::Service, "service"),
        (Kind::Route, "route"),
    ];

    /// Name of the table.
    pub fn as_str(self) -> &'static str {
        Kind::ALL[self as usize].1
    }
}

/// Name of the table of limits, which has no named entries.
pub const LIMITS_TABLE: &str = "limits";

/// Value of an entry, with a variant for each [`Kind`].
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `[zone.NAME]`.
    Zone(AvailabilityZone),
    /// `[customer.NAME]`.
    Customer(Customer),
    /// `[model.NAME]`.
    Model(Model),
    /// `[version.NAME]`.
    Version(Version),
    /// `[placement.NAME]`.
    Placement(Placement),
    /// `[service.NAME]`.
    Service(Service),
    /// `[route.NAME]`.
    Route(Route),
}

/// One named entry of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Kind, from the name of the table.
    pub kind: Kind,
    /// Name within the kind.
    pub name: SmolStr,
    /// Line of the name, from 1.
    pub line: usize,
    /// Whether the entry may replace one of an earlier file.
    pub overrides: bool,
    /// Value without invalid keys.
    pub value: Value,
    /// Lines of the keys.
    key_lines: Vec<(SmolStr, usize)>,
}

impl Entry {
    /// Line of `key`, or of the entry if it does not set the key.
    pub fn line_of(&self, key: &str) -> usize {
        let found = self.key_lines.iter().find(|(name, _)| name == key);
        found.map_or(self.line, |(_, line)| *line)
    }
}

/// Limits set by one file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedLimits {
    /// Whether the file may replace limits of an earlier file.
    pub overrides: bool,
    /// Values and their lines, by key.
    pub keys: BTreeMap<SmolStr, (toml::Value, usize)>,
}

/// A parsed file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedFile {
    /// Valid entries, ordered by kind and name.
    pub entries: Vec<Entry>,
    /// Limits; empty if the file sets none.
    pub limits: ParsedLimits,
}

impl ParsedFile {
    /// Whether the file has neither entries nor limits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.limits.keys.is_empty()
    }
}

/// Parses one file. O(n) in its bytes, plus one more pass over an entry for each invalid key.
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
        reader.read_table(&key, value, &mut parsed);
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

    fn report(&mut self, line: usize, key: &str, code: Code, detail: String, suggestion: String) {
        if self.problems.len() < MAX_PROBLEMS {
            let (file, key) = (self.file.clone(), key.to_owned());
            self.problems.push(Problem { file, line, key, code, detail, suggestion });
        }
    }

    fn read_table(
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
            let suggestion = suggest_kind(name);
            return self.report(line, name, Code::UnknownKey, detail, suggestion);
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
            let suggestion =
                "use lower-case letters, digits, `-`, `_` and `.`, at most 63".to_owned();
            self.report(
                line,
                &path,
                Code::BadName,
                "the name is not allowed".to_owned(),
                suggestion,
            );
        }
        let span = value.span();
        let DeValue::Table(mut table) = value.into_inner() else {
            let detail = "this is not a table".to_owned();
            return self.report(line, &path, Code::BadValue, detail, format!("write [{path}]"));
        };
        let overrides = self.take_override(&mut table, &path);
        let key_lines = self.key_lines(&table);
        let context = TableContext { path: &path, line, key_lines: &key_lines, span };
        let value = match kind {
            Kind::Zone => self.deserialize_valid_keys(table, &context).map(Value::Zone),
            Kind::Customer => self.deserialize_valid_keys(table, &context).map(Value::Customer),
            Kind::Model => self.deserialize_valid_keys(table, &context).map(Value::Model),
            Kind::Version => self.deserialize_valid_keys(table, &context).map(Value::Version),
            Kind::Placement => self.deserialize_valid_keys(table, &context).map(Value::Placement),
            Kind::Service => self.deserialize_valid_keys(table, &context).map(Value::Service),
            Kind::Route => self.deserialize_valid_keys(table, &context).map(Value::Route),
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
            let context = TableContext { path: LIMITS_TABLE, line, key_lines: &key_lines, span };
            let mut single_key = DeTable::new();
            single_key.insert(key, value.clone());
            let before = self.problems.len();
            let _: Option<Limits> = self.deserialize_valid_keys(single_key, &context);
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
        *table = without_key(std::mem::take(table), OVERRIDE_KEY);
        flag == Some(true)
    }

    fn key_lines(&self, table: &DeTable<'_>) -> Vec<(SmolStr, usize)> {
        let line = |key: &Spanned<_>| self.line(&Some(key.span()));
        table.iter().map(|(key, _)| (SmolStr::new(key.get_ref()), line(key))).collect()
    }

    /// Deserializes a table. An invalid key is reported and removed, and the rest is tried again.
    fn deserialize_valid_keys<T: DeserializeOwned>(
        &mut self,
        mut table: DeTable<'_>,
        context: &TableContext<'_>,
    ) -> Option<T> {
        let mut dropped_keys = Vec::new();
        loop {
            let value = Spanned::new(context.span.clone(), DeValue::Table(table.clone()));
            let error = match T::deserialize(ValueDeserializer::from(value)) {
                Ok(value) => return Some(value),
                Err(error) => error,
            };
            let key = self.offending_key(&table, &error);
            self.report_error(&error, key.as_deref(), &dropped_keys, context);
            let key = key?;
            table = without_key(table, &key);
            dropped_keys.push(key);
        }
    }

    /// Returns the key of `table` that caused an error.
    fn offending_key(&self, table: &DeTable<'_>, error: &toml::de::Error) -> Option<String> {
        let named = scan_quoted(error.message()).next().unwrap_or_default().to_owned();
        if error.message().starts_with("unknown field") {
            let is_present = table.iter().any(|(key, _)| *key.get_ref() == *named);
            return is_present.then_some(named);
        }
        let at = error.span()?.start;
        let contains_error = |key: &Spanned<toml::de::DeString<'_>>,
                              value: &Spanned<DeValue<'_>>| {
            key.span().contains(&at) || value.span().contains(&at)
        };
        let found = table.iter().find(|(key, value)| contains_error(key, value));
        found.map(|(key, _)| key.get_ref().to_string())
    }

    fn report_error(
        &mut self,
        error: &toml::de::Error,
        key: Option<&str>,
        dropped_keys: &[String],
        context: &TableContext<'_>,
    ) {
        let message = error.message();
        let quoted: Vec<&str> = scan_quoted(message).collect();
        let missing = message.starts_with("missing field");
        if missing && dropped_keys.iter().any(|key| quoted.first() == Some(&key.as_str())) {
            return;
        }
        let line = key.map_or(context.line, |key| {
            let found = context.key_lines.iter().find(|(name, _)| name == key);
            found.map_or(context.line, |(_, line)| *line)
        });
        let path = key.map_or(context.path.to_owned(), |key| format!("{}.{key}", context.path));
        let (code, suggestion) = if message.starts_with("unknown field") {
            (Code::UnknownKey, suggest(quoted.first().copied(), &quoted[1..]))
        } else if message.starts_with("unknown variant") {
            (Code::BadValue, suggest(quoted.first().copied(), &quoted[1..]))
        } else if missing {
            let name = quoted.first().copied().unwrap_or_default();
            (Code::MissingKey, format!("add `{name} = …` to [{}]", context.path))
        } else {
            (Code::BadValue, String::new())
        };
        self.report(line, &path, code, message.to_owned(), suggestion);
    }
}

fn without_key<'i>(table: DeTable<'i>, key: &str) -> DeTable<'i> {
    let mut rest = DeTable::new();
    for (name, value) in table {
        if *name.get_ref() != *key {
            rest.insert(name, value);
        }
    }
    rest
}

/// Position of a table in its file, for reports.
struct TableContext<'a> {
    path: &'a str,
    line: usize,
    key_lines: &'a [(SmolStr, usize)],
    span: Range<usize>,
}

/// Returns the parts of `message` between backquotes.
fn scan_quoted(message: &str) -> impl Iterator<Item = &str> {
    message.split('`').skip(1).step_by(2)
}

fn suggest_kind(name: &str) -> String {
    let mut kinds: Vec<&str> = Kind::ALL.iter().map(|(_, text)| *text).collect();
    kinds.push(LIMITS_TABLE);
    suggest(Some(name), &kinds)
}

/// Suggests a replacement for `word`: the closest of `allowed`, or all of them if none is close.
pub(crate) fn suggest(word: Option<&str>, allowed: &[&str]) -> String {
    let word = word.unwrap_or_default();
    let nearest = allowed.iter().min_by_key(|candidate| edit_distance(word, candidate));
    match nearest {
        None => "remove it".to_owned(),
        Some(candidate) if edit_distance(word, candidate) <= 1 + candidate.len() / 4 => {
            format!("write `{candidate}`")
        }
        Some(_) if allowed.len() <= MAX_SUGGESTED_NAMES => format!("one of {}", allowed.join(", ")),
        Some(_) => String::new(),
    }
}

/// Maximum number of names listed in a suggestion.
const MAX_SUGGESTED_NAMES: usize = 12;

/// Returns the Levenshtein distance of two short words. O(n·m).
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let above = row[j + 1];
            let substituted = diagonal + usize::from(x != *y);
            row[j + 1] = substituted.min(above + 1).min(row[j] + 1);
            diagonal = above;
        }
    }
    row[b.len()]
}
