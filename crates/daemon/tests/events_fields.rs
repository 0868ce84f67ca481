//! Guards against an event catalogue, `docs/EVENTS.md`, whose fields differ from those in the log
//! lines.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Names of the fields of each event, by event name.
type EventFields = BTreeMap<String, BTreeSet<String>>;

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    paths
        .flat_map(|path| match path.is_dir() {
            true => source_files(&path),
            false => vec![path],
        })
        .collect()
}

/// Splits the arguments of a macro call; `text` starts after the opening parenthesis.
fn macro_arguments(text: &str) -> Vec<String> {
    let (mut depth, mut quoted) = (0_i32, false);
    let mut arguments = vec![String::new()];
    for character in text.chars() {
        match character {
            '"' => quoted = !quoted,
            '(' | '[' | '{' if !quoted => depth += 1,
            ')' | ']' | '}' if !quoted => depth -= 1,
            _ => {}
        }
        if depth < 0 {
            break;
        }
        if character == ',' && depth == 0 && !quoted {
            arguments.push(String::new());
        } else if let Some(last) = arguments.last_mut() {
            last.push(character);
        }
    }
    let arguments = arguments.iter().map(|argument| argument.trim().to_owned());
    arguments.filter(|argument| !argument.is_empty()).collect()
}

/// Returns the fields of each event that the sources log by its name. Calls whose event is a
/// variable are skipped, because the source does not show which fields belong to which event.
fn logged_fields() -> EventFields {
    let mut fields = EventFields::new();
    for file in source_files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src")) {
        let text = fs::read_to_string(file).unwrap();
        for call in text.split("log_event!(").skip(1) {
            let arguments = macro_arguments(call);
            let event = arguments[0].rsplit("::").next().unwrap_or_default();
            if !event.starts_with(char::is_uppercase) {
                continue;
            }
            let keys = arguments[1..].iter().filter_map(|field| {
                let (key, _) = field.split_once('=')?;
                Some(key.trim().to_owned())
            });
            fields.entry(event.to_owned()).or_default().extend(keys);
        }
    }
    fields
}

/// Returns the fields of each event that the catalogue lists; its tables have the event in the
/// second column and the fields in the fifth.
fn catalogued_fields() -> EventFields {
    let document = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let document = fs::read_to_string(document).unwrap();
    let rows = document.lines().map(|line| line.split('|').map(str::trim));
    let rows = rows.map(Iterator::collect::<Vec<_>>);
    let rows = rows.filter(|row| row.len() > 5 && row[1].parse::<u16>().is_ok());
    rows.map(|row| {
        let fields = row[5].split(',').map(str::trim);
        let fields = fields.filter(|field| *field != "-").map(str::to_owned);
        (row[2].to_owned(), fields.collect())
    })
    .collect()
}

#[test]
fn catalogue_names_the_fields_of_each_event() {
    let catalogued = catalogued_fields();
    let logged = logged_fields();
    assert!(
        logged.len() > 40,
        "found only {} events in the sources",
        logged.len()
    );
    for (event, fields) in logged {
        assert_eq!(catalogued.get(&event), Some(&fields), "{event}");
    }
}
