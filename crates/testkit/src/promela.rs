//! Translates state charts to Promela, so that the Spin specifications in `model/` use the same
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

/// Reason why a chart cannot be translated, such as a syntax error or a missing key.
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

struct Transition {
    state: String,
    event: String,
    next: String,
    action: Option<String>,
}

/// Translates the INI text of a state chart to Promela: a constant for each state, event and
/// action, and an inline `<chart>_step(state, event, action)` that makes one transition. An event
/// that the current state ignores leaves the state as it is and yields the action
/// `<chart>_ignored`; a transition without an action yields `<chart>_no_action`.
///
/// # Errors
///
/// Returns an error if the text is not valid INI, or if its section `chart` lacks `name` or
/// `initial`.
pub fn translate_chart(text: &str) -> Result<String> {
    let file = Ini::load_from_str(text).map_err(|error| TranslateError(error.to_string()))?;
    let chart_key = |key: &str| {
        let value = file.get_from(Some("chart"), key);
        value.ok_or_else(|| TranslateError(format!("section `chart` has no key `{key}`")))
    };
    let (name, initial) = (chart_key("name")?, chart_key("initial")?);
    let transitions = read_transitions(&file);
    let mut output = String::new();
    writeln!(
        output,
        "/* Generated from the chart `{name}`. Do not edit. */\n"
    )?;
    let states = transitions
        .iter()
        .flat_map(|transition| [&transition.state, &transition.next])
        .collect();
    write_constants(&mut output, name, "state", &states)?;
    write_constants(
        &mut output,
        name,
        "event",
        &transitions
            .iter()
            .map(|transition| &transition.event)
            .collect(),
    )?;
    writeln!(
        output,
        "#define {name}_ignored 0\n#define {name}_no_action 1"
    )?;
    let actions: BTreeSet<_> = transitions
        .iter()
        .filter_map(|transition| transition.action.as_ref())
        .collect();
    for (number, action) in actions.iter().enumerate() {
        writeln!(output, "#define {name}_action_{action} {}", number + 2)?;
    }
    writeln!(output, "#define {name}_initial {name}_state_{initial}\n")?;
    write_step(&mut output, name, &transitions)?;
    Ok(output)
}

fn read_transitions(file: &Ini) -> Vec<Transition> {
    let mut transitions = Vec::new();
    for (section, entries) in file {
        let Some(state) = section.filter(|section| *section != "chart") else {
            continue;
        };
        for (event, target) in entries.iter() {
            let (next, action) = target.split_once('/').unwrap_or((target, ""));
            let action = Some(action.trim()).filter(|action| !action.is_empty());
            transitions.push(Transition {
                state: state.to_owned(),
                event: event.to_owned(),
                next: next.trim().to_owned(),
                action: action.map(str::to_owned),
            });
        }
    }
    transitions
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

fn write_step(output: &mut String, chart: &str, transitions: &[Transition]) -> fmt::Result {
    writeln!(output, "inline {chart}_step(state, event, action) {{")?;
    writeln!(output, "  if")?;
    for Transition {
        state,
        event,
        next,
        action,
    } in transitions
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
