//! Formats answers as tables or JSON and writes them.

use {
    crate::{
        arguments::OutputFormat,
        errors::{ClientError, Result},
    },
    serde::Serialize,
    std::{fmt, io::Write},
    tabled::{builder::Builder, settings::Style},
};

/// Writer of answers in the chosen output format.
pub struct Output<'a> {
    format: OutputFormat,
    writer: &'a mut dyn Write,
}

impl fmt::Debug for Output<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Output({:?})", self.format)
    }
}

impl<'a> Output<'a> {
    /// Creates an output that writes to `writer`.
    pub fn new(format: OutputFormat, writer: &'a mut dyn Write) -> Self {
        Self { format, writer }
    }

    /// Writes an answer as JSON, or as the text that `render` returns for it, and ends it with a
    /// line break.
    ///
    /// # Errors
    ///
    /// Fails if the writer returns an error.
    pub fn show<T: Serialize>(
        &mut self,
        answer: &T,
        render: impl FnOnce(&T) -> String,
    ) -> Result<()> {
        let text = match self.format {
            OutputFormat::Json => serde_json::to_string_pretty(answer)
                .map_err(|error| ClientError::Local(error.into()))?,
            OutputFormat::Table => render(answer),
        };
        self.write(text.trim_end().as_bytes())?;
        self.write(b"\n")
    }

    /// Writes bytes unchanged, whatever the output format is.
    ///
    /// # Errors
    ///
    /// Fails if the writer returns an error.
    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.writer.write_all(bytes).map_err(ClientError::Local)
    }
}

/// Renders a table with a header line.
pub fn render_table<const N: usize>(
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> String {
    let mut builder = Builder::default();
    builder.push_record(header);
    for row in rows {
        builder.push_record(row);
    }
    let table = builder.build().with(Style::psql()).to_string();
    let lines = table.lines().map(str::trim_end);
    lines.collect::<Vec<_>>().join("\n")
}

/// Joins names with commas; returns `-` if there are none.
pub fn join_names<T: ToString>(names: &[T]) -> String {
    if names.is_empty() {
        return "-".to_owned();
    }
    let names = names.iter().map(ToString::to_string);
    names.collect::<Vec<_>>().join(", ")
}

/// Returns `yes` for `true` and `no` for `false`.
pub fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

/// Returns a warning line if the entry that answered is in cut-off mode, and an empty text
/// otherwise. In that mode the entry holds no configuration lease, so its configuration may be
/// outdated.
pub fn cut_off_warning(cut_off: bool) -> &'static str {
    if cut_off {
        "\nThe entry is in cut-off mode; newer changes may exist."
    } else {
        ""
    }
}
