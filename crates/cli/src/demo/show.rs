//! The table that the demo prints.

/// One line: what was done, and what came back.
pub(super) struct Row {
    what: &'static str,
    seen: String,
}

impl Row {
    pub(super) fn new(what: &'static str, seen: impl Into<String>) -> Self {
        Self {
            what,
            seen: seen.into(),
        }
    }
}

pub(super) fn table(rows: &[Row]) {
    let width = rows.iter().map(|row| row.what.len()).max().unwrap_or(0);
    println!();
    for row in rows {
        let mut lines = row.seen.lines();
        println!("{:<width$}  {}", row.what, lines.next().unwrap_or_default());
        for line in lines {
            println!("{:<width$}  {line}", "");
        }
    }
}
