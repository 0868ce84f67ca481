//! Guards `docs/EVENTS.md` and `docs/CONFIGURATION.md` against catalogues that have changed.

use {
    sassafrasslip_core::{configuration::SettingKey, events::LogEvent},
    std::collections::BTreeSet,
};

const EVENTS: &str = include_str!("../../../docs/EVENTS.md");
const CONFIGURATION: &str = include_str!("../../../docs/CONFIGURATION.md");

/// Returns the cells of the table rows whose first cell satisfies `is_entry`.
fn rows(text: &'static str, is_entry: impl Fn(&str) -> bool) -> Vec<Vec<&'static str>> {
    let rows = text.lines().filter_map(|line| {
        let cells = line.strip_prefix('|')?.strip_suffix('|')?;
        Some(cells.split('|').map(str::trim).collect::<Vec<_>>())
    });
    rows.filter(|cells| is_entry(cells[0])).collect()
}

fn event_rows() -> Vec<Vec<&'static str>> {
    rows(EVENTS, |first| first.parse::<u16>().is_ok())
}

#[test]
fn event_numbers_and_names_are_unique() {
    let numbers: BTreeSet<_> = LogEvent::ALL.iter().map(|event| event.number()).collect();
    let names: BTreeSet<_> = LogEvent::ALL.iter().map(|event| event.name()).collect();
    assert_eq!(numbers.len(), LogEvent::ALL.len());
    assert_eq!(names.len(), LogEvent::ALL.len());
    assert!(LogEvent::ALL.is_sorted_by_key(|event| event.number()));
}

#[test]
fn each_event_has_its_entry_and_each_entry_its_event() {
    let described = event_rows();
    let described: Vec<_> = described
        .iter()
        .map(|row| (row[0].to_owned(), row[1].to_owned(), row[2].to_owned()))
        .collect();
    let declared = LogEvent::ALL.iter().map(|event| {
        let level = format!("{:?}", event.level());
        (event.number().to_string(), event.name().to_owned(), level)
    });
    assert_eq!(described, declared.collect::<Vec<_>>());
}

#[test]
fn each_entry_is_complete() {
    for row in event_rows() {
        assert_eq!(row.len(), 6, "{row:?}");
        assert!(row.iter().all(|cell| !cell.is_empty()), "{row:?}");
    }
}

#[test]
fn each_default_is_described_with_its_value_and_range() {
    let keys = SettingKey::ALL.iter().map(|key| {
        vec![
            format!("`{key}`"),
            key.format_value(key.initial_value()),
            key.kind().to_string(),
            key.help().to_owned(),
        ]
    });
    let described = rows(CONFIGURATION, |first| {
        let name = first.trim_matches('`');
        first.starts_with('`') && name.parse::<SettingKey>().is_ok()
    });
    assert_eq!(described, keys.collect::<Vec<_>>());
}
