//! Plain tables.

use std::fmt;

/// Space between two columns.
const GAP: usize = 2;

/// A table whose columns are as wide as their widest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a head.
    pub(crate) fn new(head: &[&str]) -> Self {
        Table {
            rows: vec![head.iter().map(ToString::to_string).collect()],
        }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn widths(&self) -> Vec<usize> {
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
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}", width = width + GAP));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
