//! Output of the commands: text and tables on standard output.

use super::error::{Error, OutputSnafu};
use snafu::ResultExt;
use std::io::Write;

/// Maximum number of characters shown of a text from another process.
const MAX_SANITIZED_CHARS: usize = 2_000;
/// Maximum number of characters shown of a value in a table.
const MAX_VALUE_CHARS: usize = 60;

/// Prints to standard output and flushes it.
///
/// # Errors
///
/// [`Error::Output`] if writing fails, also because the pipe was closed.
pub(super) fn print(text: &str) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes()).and_then(|()| out.flush()).context(OutputSnafu)
}

/// Formats rows as aligned columns, without trailing spaces.
pub(super) fn table(rows: &[Vec<String>]) -> String {
    let column_count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..column_count).map(|column| column_width(rows, column)).collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn column_width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}

/// Makes a text from another process safe to print on a terminal. Control characters, which could change what the
/// terminal shows, become spaces; long texts are truncated.
pub(super) fn sanitized(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let printable = text.trim().chars().map(|c| if c.is_control() { ' ' } else { c });
    printable.take(MAX_SANITIZED_CHARS).collect()
}

/// Sanitizes a value for a table cell, and truncates it if it is too long.
pub(super) fn abbreviated(text: &str) -> String {
    let text = sanitized(text.as_bytes());
    match text.char_indices().nth(MAX_VALUE_CHARS) {
        Some((end, _)) => format!("{}..", &text[..end]),
        None => text,
    }
}
