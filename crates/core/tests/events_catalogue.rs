//! Checks that `docs/EVENTS.md` and `docs/CONFIGURATION.md` match the catalogues in the code.

use {
    sassafrasslip_core::{configuration::SettingKey, events::LogEvent},
    std::collections::BTreeSet,
};

const EVENTS: &str = include_str!("../../../docs/EVENTS.md");
const CONFIGURATION: &str = include_str!("../../../docs/CONFIGURATION.md");

/// Returns the cells of the Markdown table rows whose first cell satisfies `is_entry`.
fn table_rows(text: &'static str, is_entry: impl Fn(&str) -> bool) -> Vec<Vec<&'static str>> {
    let rows = text.lines().filter_map(|line| {
        let cells = line.strip_prefix('|')?.strip_suffix('|')?;
        Some(cells.split('|').map(str::trim).collect::<Vec<_>>())
    });
    rows.filter(|cells| is_entry(cells[0])).collect()
}

fn event_rows() -> Vec<Vec<&'static str>> {
    table_rows(EVENTS, |first_cell| first_cell.parse::<u16>().is_ok())
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
fn documented_events_match_the_catalogue() {
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
fn documented_events_fill_all_columns() {
    for row in event_rows() {
        assert_eq!(row.len(), 6, "{row:?}");
        assert!(row.iter().all(|cell| !cell.is_empty()), "{row:?}");
    }
}

#[test]
fn documented_settings_match_the_catalogue() {
    let keys = SettingKey::ALL.iter().map(|key| {
        vec![
            format!("`{key}`"),
            key.format_value(key.initial_value()),
            key.kind().to_string(),
            key.help().to_owned(),
        ]
    });
    let described = table_rows(CONFIGURATION, |first_cell| {
        let name = first_cell.trim_matches('`');
        first_cell.starts_with('`') && name.parse::<SettingKey>().is_ok()
    });
    assert_eq!(described, keys.collect::<Vec<_>>());
}
