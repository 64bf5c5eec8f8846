//! The table that the demo prints.

/// A row of the table: an action and its result, which may have several lines.
pub(super) struct Row {
    label: &'static str,
    text: String,
}

impl Row {
    pub(super) fn new(label: &'static str, text: impl Into<String>) -> Self {
        Self {
            label,
            text: text.into(),
        }
    }
}

pub(super) fn print(rows: &[Row]) {
    let width = rows.iter().map(|row| row.label.len()).max().unwrap_or(0);
    println!();
    for row in rows {
        let mut lines = row.text.lines();
        println!(
            "{:<width$}  {}",
            row.label,
            lines.next().unwrap_or_default()
        );
        for line in lines {
            println!("{:<width$}  {line}", "");
        }
    }
}
