//! Text tables, times and JSON.

use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;

use crate::{
    command::Settings,
    failure::{Exit, Failure},
};

/// A table with a header and aligned columns.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table with its header.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        Self { rows: vec![header.map(str::to_uppercase).to_vec()] }
    }

    /// Adds a row.
    pub fn with_row<const N: usize>(mut self, row: [String; N]) -> Self {
        self.rows.push(row.map(|cell| printable(&cell)).to_vec());
        self
    }

    /// Adds a row for each item.
    pub fn with_rows<T, const N: usize>(self, items: &[T], row: impl Fn(&T) -> [String; N]) -> Self {
        items.iter().fold(self, |table, item| table.with_row(row(item)))
    }

    /// The lines of the table, each ended by a line feed.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            self.rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let line = |row: &Vec<String>| {
            let cells: Vec<_> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            format!("{}\n", cells.join("  ").trim_end())
        };
        self.rows.iter().map(line).collect()
    }
}

/// The text without control characters: names and reasons come from callers and could move the cursor of the terminal.
pub fn printable(text: &str) -> String {
    text.chars().map(|c| if c.is_control() && c != '\n' { '\u{fffd}' } else { c }).collect()
}

/// The answer in the format that the operator chose.
pub fn output<T: Serialize>(
    settings: &Settings,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<String, Failure> {
    if !settings.is_json() {
        return Ok(text(value));
    }
    let json = serde_json::to_string_pretty(value);
    json.map(|json| format!("{json}\n")).map_err(|e| Failure::new(Exit::Failure, format!("cannot encode: {e}")))
}

/// The largest two units of a span.
pub fn span(span_ms: u64) -> String {
    let rounded_ms = if span_ms < 1_000 { span_ms } else { span_ms / 1_000 * 1_000 };
    let text = humantime::format_duration(Duration::from_millis(rounded_ms)).to_string();
    text.split(' ').take(2).collect::<Vec<_>>().join(" ")
}

/// A point in time, in UTC.
pub fn time(unix_ms: u64) -> String {
    // Times beyond the year 9999 cannot be written; they stand for a task without a deadline.
    const LAST_UNIX_MS: u64 = 253_402_300_799_000;
    if unix_ms > LAST_UNIX_MS {
        return "never".to_owned();
    }
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(unix_ms)).to_string()
}

/// The text, or a dash.
pub fn or_dash(text: Option<impl ToString>) -> String {
    text.map_or_else(|| "-".to_owned(), |text| text.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a task's failure reason that rewrites the operator's terminal, and columns that drift apart.
    #[test]
    fn cells_are_aligned_and_printable() {
        let table = Table::new(["id", "reason"])
            .with_row(["a".to_owned(), "\u{1b}[2Jgone".to_owned()])
            .with_row(["long-id".to_owned(), String::new()]);
        assert_eq!(table.render(), "ID       REASON\na        \u{fffd}[2Jgone\nlong-id\n");
    }

    /// Guards against a panic on a task without a deadline.
    #[test]
    fn times_without_end_are_written() {
        assert_eq!((time(0), time(u64::MAX)), ("1970-01-01T00:00:00Z".to_owned(), "never".to_owned()));
        assert_eq!(span(90_061_000), "1day 1h");
    }
}
