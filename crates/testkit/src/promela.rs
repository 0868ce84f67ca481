//! Translation of state charts to Promela, so that the specifications in `model/` use the same
//! transitions as the code.

use {
    ini::Ini,
    std::{
        collections::BTreeSet,
        fmt::{self, Write},
        result,
    },
};

/// Result of a translation.
pub type Result<T> = result::Result<T, TranslateError>;

/// Chart that cannot be translated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TranslateError(pub String);

impl fmt::Display for TranslateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "cannot translate the chart: {}", self.0)
    }
}

impl std::error::Error for TranslateError {}

impl From<fmt::Error> for TranslateError {
    fn from(error: fmt::Error) -> Self {
        Self(error.to_string())
    }
}

struct ChartLine {
    state: String,
    event: String,
    next: String,
    action: Option<String>,
}

/// Translates a chart to constants for states, events and actions, and an inline
/// `<chart>_step(state, event, action)`. An event that the chart ignores yields the action
/// `<chart>_ignored`.
///
/// # Errors
///
/// Fails if the text is not an INI file with a named chart.
pub fn translate_chart(text: &str) -> Result<String> {
    let file = Ini::load_from_str(text).map_err(|error| TranslateError(error.to_string()))?;
    let head = |key: &str| {
        let value = file.get_from(Some("chart"), key);
        value.ok_or_else(|| TranslateError(format!("section `chart` has no key `{key}`")))
    };
    let (name, initial) = (head("name")?, head("initial")?);
    let lines = read_lines(&file);
    let mut output = String::new();
    writeln!(
        output,
        "/* Generated from the chart `{name}`. Do not edit. */\n"
    )?;
    let states = lines
        .iter()
        .flat_map(|line| [&line.state, &line.next])
        .collect();
    write_constants(&mut output, name, "state", &states)?;
    write_constants(
        &mut output,
        name,
        "event",
        &lines.iter().map(|line| &line.event).collect(),
    )?;
    writeln!(
        output,
        "#define {name}_ignored 0\n#define {name}_no_action 1"
    )?;
    let actions: BTreeSet<_> = lines
        .iter()
        .filter_map(|line| line.action.as_ref())
        .collect();
    for (number, action) in actions.iter().enumerate() {
        writeln!(output, "#define {name}_action_{action} {}", number + 2)?;
    }
    writeln!(output, "#define {name}_initial {name}_state_{initial}\n")?;
    write_step(&mut output, name, &lines)?;
    Ok(output)
}

fn read_lines(file: &Ini) -> Vec<ChartLine> {
    let mut lines = Vec::new();
    for (section, entries) in file {
        let Some(state) = section.filter(|section| *section != "chart") else {
            continue;
        };
        for (event, target) in entries.iter() {
            let (next, action) = target.split_once('/').unwrap_or((target, ""));
            let action = Some(action.trim()).filter(|action| !action.is_empty());
            lines.push(ChartLine {
                state: state.to_owned(),
                event: event.to_owned(),
                next: next.trim().to_owned(),
                action: action.map(str::to_owned),
            });
        }
    }
    lines
}

fn write_constants(
    output: &mut String,
    chart: &str,
    kind: &str,
    names: &BTreeSet<&String>,
) -> fmt::Result {
    for (number, name) in names.iter().enumerate() {
        writeln!(output, "#define {chart}_{kind}_{name} {number}")?;
    }
    writeln!(output)
}

fn write_step(output: &mut String, chart: &str, lines: &[ChartLine]) -> fmt::Result {
    writeln!(output, "inline {chart}_step(state, event, action) {{")?;
    writeln!(output, "  if")?;
    for ChartLine {
        state,
        event,
        next,
        action,
    } in lines
    {
        let action = action.as_ref().map_or_else(
            || format!("{chart}_no_action"),
            |action| format!("{chart}_action_{action}"),
        );
        writeln!(
            output,
            "  :: state == {chart}_state_{state} && event == {chart}_event_{event} -> \
             state = {chart}_state_{next}; action = {action}"
        )?;
    }
    writeln!(output, "  :: else -> action = {chart}_ignored")?;
    writeln!(output, "  fi")?;
    writeln!(output, "}}")
}
