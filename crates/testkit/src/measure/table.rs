//! Tables of figures.

use tabled::{builder::Builder, settings::Style};

/// Renders rows under a head line as a Markdown table.
pub fn render(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut builder = Builder::default();
    builder.push_record(head.iter().copied());
    for row in rows {
        builder.push_record(row);
    }
    builder.build().with(Style::markdown()).to_string()
}
