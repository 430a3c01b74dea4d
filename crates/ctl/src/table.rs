//! Plain-text tables.

use std::fmt;

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// A table whose columns are as wide as their widest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with column headings.
    pub(crate) fn new(headings: &[&str]) -> Self {
        Table {
            rows: vec![headings.iter().map(ToString::to_string).collect()],
        }
    }

    /// Adds a row.
    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn column_widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns)
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.column_widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}", width = width + COLUMN_GAP));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
