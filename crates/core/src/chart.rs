//! Parser and interpreter of the state charts in `charts/`, which define the protocols.
//!
//! A chart is an INI file. The section `chart` has the keys `name` and `initial`, for the name of
//! the chart and its initial state. Each other section is a state, with one line for each event:
//! `event = next_state / action`, where the action is optional. A state ignores events without a
//! line.

use {
    ini::Ini,
    std::{collections::BTreeSet, error::Error, fmt, marker::PhantomData, result},
};

/// Result of parsing a chart.
pub type Result<T> = result::Result<T, ChartError>;

/// Enumeration of states, events or actions whose values a chart refers to by name.
pub trait ChartLabel: Copy + Eq + 'static {
    /// All values, in the order of declaration.
    const ALL: &'static [Self];

    /// Returns the name by which chart files refer to the value.
    fn name(self) -> &'static str;
}

/// Declares an enumeration that implements [`ChartLabel`]; each value is given its name in charts.
#[macro_export]
macro_rules! chart_labels {
    ($(#[$meta:meta])* $visibility:vis enum $label:ident { $($(#[$item:meta])* $value:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        $visibility enum $label { $($(#[$item])* $value,)* }

        impl $crate::chart::ChartLabel for $label {
            const ALL: &'static [Self] = &[$(Self::$value,)*];

            fn name(self) -> &'static str {
                match self { $(Self::$value => $text,)* }
            }
        }
    };
}

/// Error in a chart file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChartError {
    /// Name of the chart, or `?` if the file is not valid INI.
    pub chart: String,
    /// Section with the error: the name of a state, or `chart`.
    pub state: String,
    /// Description of the error.
    pub fault: String,
}

impl fmt::Display for ChartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "chart `{}`, section `{}`: {}",
            self.chart, self.state, self.fault
        )
    }
}

impl Error for ChartError {}

/// Transition that an event causes in a state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChartTransition<S, A> {
    /// State after the transition.
    pub next: S,
    /// Action to perform, if any.
    pub action: Option<A>,
}

/// State chart with the states `S`, events `E` and actions `A`.
#[derive(Clone, Debug)]
pub struct StateChart<S, E, A> {
    name: String,
    initial: S,
    transitions: Vec<Option<ChartTransition<S, A>>>,
    events: PhantomData<E>,
}

fn find_label<L: ChartLabel>(name: &str) -> Option<L> {
    L::ALL.iter().copied().find(|label| label.name() == name)
}

fn index_of<L: ChartLabel>(label: L) -> usize {
    L::ALL
        .iter()
        .position(|other| *other == label)
        .unwrap_or_default()
}

impl<S: ChartLabel, E: ChartLabel, A: ChartLabel> StateChart<S, E, A> {
    /// Parses a chart and checks that it uses exactly the values of `S`, `E` and `A`.
    ///
    /// # Errors
    ///
    /// Fails on malformed INI, on unknown names and on values that the chart does not use.
    pub fn parse(text: &str) -> Result<Self> {
        let file = Ini::load_from_str(text).map_err(|error| chart_error("?", "chart", error))?;
        let head = |key: &str| {
            file.get_from(Some("chart"), key)
                .unwrap_or_default()
                .to_owned()
        };
        let name = head("name");
        let initial = parse_label::<S>(&name, "chart", "state", &head("initial"))?;
        let mut transitions = vec![None; S::ALL.len() * E::ALL.len()];
        let mut used = UsedNames::default();
        for (section, lines) in &file {
            let Some(section) = section.filter(|section| *section != "chart") else {
                continue;
            };
            let state = parse_label::<S>(&name, section, "state", section)?;
            used.states.insert(section.to_owned());
            for (event_name, target) in lines.iter() {
                let event = parse_label::<E>(&name, section, "event", event_name)?;
                let (next, action) = target.split_once('/').unwrap_or((target, ""));
                let (next, action) = (next.trim(), action.trim());
                let transition = ChartTransition {
                    next: parse_label::<S>(&name, section, "state", next)?,
                    action: match action {
                        "" => None,
                        action => Some(parse_label::<A>(&name, section, "action", action)?),
                    },
                };
                used.events.insert(event_name.to_owned());
                used.actions.insert(action.to_owned());
                transitions[index_of(state) * E::ALL.len() + index_of(event)] = Some(transition);
            }
        }
        used.check::<S, E, A>(&name)?;
        Ok(Self {
            name,
            initial,
            transitions,
            events: PhantomData,
        })
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the transition that `event` causes in `state`, or `None` if the state ignores it.
    pub fn step(&self, state: S, event: E) -> Option<ChartTransition<S, A>> {
        self.transitions[index_of(state) * E::ALL.len() + index_of(event)]
    }
}

#[derive(Default)]
struct UsedNames {
    states: BTreeSet<String>,
    events: BTreeSet<String>,
    actions: BTreeSet<String>,
}

impl UsedNames {
    fn check<S: ChartLabel, E: ChartLabel, A: ChartLabel>(&self, chart: &str) -> Result<()> {
        check_all_used::<S>(chart, "state", &self.states)?;
        check_all_used::<E>(chart, "event", &self.events)?;
        check_all_used::<A>(chart, "action", &self.actions)
    }
}

fn check_all_used<L: ChartLabel>(chart: &str, role: &str, used: &BTreeSet<String>) -> Result<()> {
    let unused = L::ALL.iter().find(|label| !used.contains(label.name()));
    unused.map_or(Ok(()), |label| {
        Err(chart_error(
            chart,
            "chart",
            format!("{role} `{}` is never used", label.name()),
        ))
    })
}

fn parse_label<L: ChartLabel>(chart: &str, state: &str, role: &str, name: &str) -> Result<L> {
    find_label(name).ok_or_else(|| chart_error(chart, state, format!("unknown {role} `{name}`")))
}

fn chart_error(chart: &str, state: &str, fault: impl ToString) -> ChartError {
    ChartError {
        chart: chart.to_owned(),
        state: state.to_owned(),
        fault: fault.to_string(),
    }
}
