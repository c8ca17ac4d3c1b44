//! Where in a settings file a key stands, for errors that people can follow.

/// A key and the line it stands in.
pub(super) struct Found {
    /// The key with its table, such as `place.host`.
    pub(super) key: String,
    /// The line, from 1.
    pub(super) line: usize,
}

/// The line, from 1, of the byte at `offset`.
pub(super) fn line_at(text: &str, offset: usize) -> usize {
    1 + text.as_bytes().iter().take(offset).filter(|b| **b == b'\n').count()
}

/// The key that a parser's message at `offset` is about.
///
/// For an unknown key the parser points at the key or, inside a table that is read as a whole, at
/// the table; for a missing one always at the table.
pub(super) fn find(text: &str, message: &str, offset: usize) -> Found {
    let line = line_at(text, offset);
    let named = message.split('`').nth(1).unwrap_or_default();
    let here = keys(text).filter(|key| key.line <= line).last();
    let table = table_at(text, line);
    if message.starts_with("missing field") {
        return Found { key: joined(&table, named), line };
    }
    if message.starts_with("unknown field") {
        let wanted = joined(&table, named);
        let line = keys(text).find(|key| key.key == wanted).map_or(line, |key| key.line);
        return Found { key: wanted, line };
    }
    here.filter(|key| key.line == line).unwrap_or(Found { key: table, line })
}

/// The line of a key; the line of its table, or 1, when the key is left out.
pub(super) fn line_of(text: &str, key: &str) -> usize {
    let found = keys(text).find(|found| found.key == key);
    found.map_or_else(|| line_of_table(text, key), |found| found.line)
}

fn line_of_table(text: &str, key: &str) -> usize {
    let table = key.rsplit_once('.').map_or("", |(table, _)| table);
    let at = text.lines().position(|line| scan_table(line) == Some(table));
    at.map_or(1, |index| index + 1)
}

fn table_at(text: &str, line: usize) -> String {
    text.lines().take(line).filter_map(scan_table).last().unwrap_or_default().to_owned()
}

/// Every key that stands at the start of a line.
fn keys(text: &str) -> impl Iterator<Item = Found> + '_ {
    let mut table = "";
    text.lines().enumerate().filter_map(move |(index, line)| {
        if let Some(name) = scan_table(line) {
            table = name;
            return None;
        }
        let (key, _) = line.split_once('=')?;
        Some(Found { key: joined(table, key.trim()), line: index + 1 })
    })
}

fn scan_table(line: &str) -> Option<&str> {
    let (name, _) = line.trim().strip_prefix('[')?.split_once(']')?;
    Some(name.trim())
}

fn joined(table: &str, key: &str) -> String {
    if table.is_empty() { key.to_owned() } else { format!("{table}.{key}") }
}
