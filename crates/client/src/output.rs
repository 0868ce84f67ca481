//! Output of answers as tables or JSON.

use {
    crate::{
        arguments::OutputFormat,
        errors::{ClientError, Result},
    },
    serde::Serialize,
    std::{fmt, io::Write},
    tabled::{builder::Builder, settings::Style},
};

/// Destination of answers.
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
    /// Creates the output.
    pub fn new(format: OutputFormat, writer: &'a mut dyn Write) -> Self {
        Self { format, writer }
    }

    /// Writes an answer as JSON, or as the text that `render` makes of it.
    ///
    /// # Errors
    ///
    /// Fails if the writer does.
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

    /// Writes bytes as they are.
    ///
    /// # Errors
    ///
    /// Fails if the writer does.
    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.writer.write_all(bytes).map_err(ClientError::Local)
    }
}

/// Renders a table with a head line.
pub fn table<const N: usize>(head: [&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let mut builder = Builder::default();
    builder.push_record(head);
    for row in rows {
        builder.push_record(row);
    }
    let table = builder.build().with(Style::psql()).to_string();
    let lines = table.lines().map(str::trim_end);
    lines.collect::<Vec<_>>().join("\n")
}

/// Joins names, or returns a dash if there are none.
pub fn names<T: ToString>(names: &[T]) -> String {
    if names.is_empty() {
        return "-".to_owned();
    }
    let names = names.iter().map(ToString::to_string);
    names.collect::<Vec<_>>().join(", ")
}

/// Returns `yes` or `no`.
pub fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

/// Returns a warning if the entry that answered is in cut-off mode.
pub fn cut_off_warning(cut_off: bool) -> &'static str {
    if cut_off {
        "\nThe entry is in cut-off mode; newer changes may exist."
    } else {
        ""
    }
}
