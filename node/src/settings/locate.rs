//! Finds the line of a key in a settings file, for error messages.

/// A key and its line.
pub(super) struct KeyLocation {
    /// The key with its table, such as `place.host`.
    pub(super) key: String,
    /// The line, from 1.
    pub(super) line: usize,
}

/// The line, from 1, of the byte at `offset`.
pub(super) fn line_at(text: &str, offset: usize) -> usize {
    1 + text.as_bytes().iter().take(offset).filter(|b| **b == b'\n').count()
}

/// Finds the key that a parser's message at `offset` refers to.
///
/// For an unknown key the offset is that of the key or, in a table that the parser deserializes in
/// one step, that of the table. For a missing key it is always that of the table.
pub(super) fn find_key(text: &str, message: &str, offset: usize) -> KeyLocation {
    let line = line_at(text, offset);
    let name = message.split('`').nth(1).unwrap_or_default();
    let nearest = keys(text).filter(|key| key.line <= line).last();
    let table = table_at(text, line);
    if message.starts_with("missing field") {
        return KeyLocation { key: join_key(&table, name), line };
    }
    if message.starts_with("unknown field") {
        let wanted = join_key(&table, name);
        let line = keys(text).find(|key| key.key == wanted).map_or(line, |key| key.line);
        return KeyLocation { key: wanted, line };
    }
    nearest.filter(|key| key.line == line).unwrap_or(KeyLocation { key: table, line })
}

/// The line of a key; if the key is absent, the line of its table, or else 1.
pub(super) fn line_of(text: &str, key: &str) -> usize {
    let found = keys(text).find(|found| found.key == key);
    found.map_or_else(|| line_of_table(text, key), |found| found.line)
}

fn line_of_table(text: &str, key: &str) -> usize {
    let table = key.rsplit_once('.').map_or("", |(table, _)| table);
    let at = text.lines().position(|line| parse_table_header(line) == Some(table));
    at.map_or(1, |index| index + 1)
}

fn table_at(text: &str, line: usize) -> String {
    text.lines().take(line).filter_map(parse_table_header).last().unwrap_or_default().to_owned()
}

/// All keys that start a line, in file order.
fn keys(text: &str) -> impl Iterator<Item = KeyLocation> + '_ {
    let mut table = "";
    text.lines().enumerate().filter_map(move |(index, line)| {
        if let Some(name) = parse_table_header(line) {
            table = name;
            return None;
        }
        let (key, _) = line.split_once('=')?;
        Some(KeyLocation { key: join_key(table, key.trim()), line: index + 1 })
    })
}

fn parse_table_header(line: &str) -> Option<&str> {
    let (name, _) = line.trim().strip_prefix('[')?.split_once(']')?;
    Some(name.trim())
}

fn join_key(table: &str, key: &str) -> String {
    if table.is_empty() { key.to_owned() } else { format!("{table}.{key}") }
}
