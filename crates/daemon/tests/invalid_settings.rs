//! Guards the errors for invalid settings: the first line of each file in `invalid_settings/` holds
//! a text that its error has to contain.

use {
    clap::Parser,
    sassafrasslip_daemon::{arguments::DaemonArguments, describe, options::DaemonOptions},
    std::{fs, path::Path},
};

/// Returns the error for this settings file; panics if the file is accepted.
fn load_error(file: &Path) -> String {
    let path = file.to_str().unwrap();
    let arguments = DaemonArguments::parse_from(["sassafrasslipd", "check", path]);
    match DaemonOptions::load(&arguments.command) {
        Ok(_) => panic!("{path} was accepted"),
        Err(report) => describe(&report),
    }
}

#[test]
fn each_file_is_refused_with_its_error() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/invalid_settings");
    let files: Vec<_> = fs::read_dir(directory).unwrap().collect();
    assert!(files.len() >= 18, "expected at least 18 files");
    for file in files {
        let file = file.unwrap().path();
        let text = fs::read_to_string(&file).unwrap();
        let expected = text.lines().next().unwrap();
        let expected = expected.strip_prefix("; expected: ").unwrap();
        let error = load_error(&file);
        assert!(error.contains(expected), "{error}\nexpected: {expected}");
        let name = file.file_name().unwrap().to_str().unwrap();
        assert!(
            error.contains(name),
            "the error does not name the file: {error}"
        );
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}

#[test]
fn missing_file_is_named() {
    let error = load_error(Path::new("no_such_file.ini"));
    assert!(
        error.contains("no_such_file.ini: cannot read the file"),
        "{error}"
    );
}
