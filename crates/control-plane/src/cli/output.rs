//! What the commands print: texts and tables on standard output.

use super::error::{Error, OutputSnafu};
use snafu::ResultExt;
use std::io::Write;

/// Characters that are shown of what another process said.
const MAX_SANITIZED_CHARS: usize = 2_000;
/// Characters that are shown of a value in a table.
const MAX_VALUE_CHARS: usize = 60;

/// Prints to standard output, and makes sure that it is out.
///
/// # Errors
///
/// [`Error::Output`]; a closed pipe is one of them.
pub(super) fn print(text: &str) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes()).and_then(|()| out.flush()).context(OutputSnafu)
}

/// Lays rows out in columns; a row's last cell is as long as it is.
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

/// What another process said, for a terminal. Control characters, which could change what the terminal shows, become
/// spaces; what is too long is cut.
pub(super) fn sanitized(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let printable = text.trim().chars().map(|c| if c.is_control() { ' ' } else { c });
    printable.take(MAX_SANITIZED_CHARS).collect()
}

/// A value for a table's cell: sanitized, and cut where it is too long.
pub(super) fn abbreviated(text: &str) -> String {
    let text = sanitized(text.as_bytes());
    match text.char_indices().nth(MAX_VALUE_CHARS) {
        Some((end, _)) => format!("{}..", &text[..end]),
        None => text,
    }
}
