//! Guards the daemon's command-line arguments: they override the settings file, and errors name the
//! argument.

use {
    clap::{CommandFactory, Parser},
    sassafrasslip_daemon::{
        arguments::DaemonArguments,
        options::{DaemonOptions, log::LogLevel},
    },
    sassafrasslip_testkit::test_cases,
};

const SAMPLE_FILE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../sample_configs/entry.ini"
);

/// Parses a command line that is split at spaces; `~` stands for a space within an argument.
fn parse(line: &str) -> Result<DaemonArguments, clap::Error> {
    let words = line.split_whitespace().map(|word| word.replace('~', " "));
    let program = std::iter::once("sassafrasslipd".to_owned());
    DaemonArguments::try_parse_from(program.chain(words))
}

#[test]
fn definition_is_consistent() {
    DaemonArguments::command().debug_assert();
}

#[test]
fn arguments_override_the_file() {
    let line = format!(
        "entry --file {SAMPLE_FILE} --instance entry-9 --caller-address 127.0.0.1:1 \
         --link-address 127.0.0.1:2 --platform-address 127.0.0.1:3 --log-level warn"
    );
    let options = DaemonOptions::load(&parse(&line).unwrap().command).unwrap();
    let entry = options.entry.unwrap();
    assert_eq!(options.instance.name.as_str(), "entry-9");
    assert_eq!(options.instance.availability_zone.as_str(), "ruwi");
    assert_eq!(entry.caller_address, ([127, 0, 0, 1], 1).into());
    assert_eq!(entry.operator_address, ([127, 0, 0, 1], 7001).into());
    assert_eq!(entry.link_address, ([127, 0, 0, 1], 2).into());
    assert_eq!(options.platform.address, ([127, 0, 0, 1], 3).into());
    assert_eq!(options.log.level, LogLevel::Warn);
}

fn check_error(line: &str, expected: &str) {
    let error = parse(line).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

test_cases! {
    fn check_error(line: &str, expected: &str);
    missing_file_argument: ("entry", "--file");
    unknown_argument: ("entry --file a.ini --speed 9", "--speed");
    unknown_command: ("serve", "serve");
    bad_address: ("entry --file a.ini --caller-address here", "--caller-address");
    bad_instance_name: ("agent --file a.ini --instance a~b", "--instance");
    bad_log_level: ("agent --file a.ini --log-level loud", "--log-level");
    argument_of_the_other_role: ("agent --file a.ini --caller-address 127.0.0.1:1", "--caller-address");
}

#[test]
fn role_without_its_section_is_refused() {
    let command = parse(&format!("agent --file {SAMPLE_FILE}"))
        .unwrap()
        .command;
    let error = DaemonOptions::load(&command).unwrap_err().to_string();
    assert!(error.contains("[agent]: the section is missing"), "{error}");
}
