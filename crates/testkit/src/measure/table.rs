//! Result tables in Markdown.

use tabled::{builder::Builder, settings::Style};

/// Renders rows under a header row as a Markdown table.
pub fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut builder = Builder::default();
    builder.push_record(header.iter().copied());
    for row in rows {
        builder.push_record(row);
    }
    builder.build().with(Style::markdown()).to_string()
}
