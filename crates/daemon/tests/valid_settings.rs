//! Guards the sample settings, which users copy, and the defaults that their comments show.

use {
    clap::Parser,
    sassafrasslip_daemon::{
        arguments::DaemonArguments,
        options::{DaemonOptions, agent::TargetKind},
    },
    sassafrasslip_testkit::test_cases,
    std::{
        fs,
        path::{Path, PathBuf},
        time::Duration,
    },
};

fn sample(name: &str) -> PathBuf {
    let samples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../sample_configs");
    PathBuf::from(samples).join(name)
}

fn load(command: &str, file: &Path) -> DaemonOptions {
    let file = file.to_str().unwrap();
    let arguments = DaemonArguments::parse_from(["sassafrasslipd", command, "--file", file]);
    DaemonOptions::load(&arguments.command).unwrap_or_else(|report| panic!("{report}"))
}

fn check_sample(command: &str, name: &str) {
    load(command, &sample(name));
}

test_cases! {
    fn check_sample(command: &str, name: &str);
    entry_is_valid: ("entry", "entry.ini");
    gateway_is_valid: ("gateway", "gateway.ini");
    agent_of_a_model_is_valid: ("agent", "agent_model.ini");
    agent_of_a_plain_service_is_valid: ("agent", "agent_plain.ini");
}

/// Guards against a changed default that the sample settings still show with its old value: with
/// its commented-out lines active, a file has to load to the same options as without them.
fn check_commented_defaults(command: &str, name: &str) {
    let text = fs::read_to_string(sample(name)).unwrap();
    let lines = text
        .lines()
        .map(|line| line.strip_prefix(';').unwrap_or(line));
    let settings = lines.filter(|line| !line.starts_with(' ') && !line.is_empty());
    let directory = tempfile::tempdir().unwrap();
    let explicit = directory.path().join(name);
    fs::write(&explicit, settings.collect::<Vec<_>>().join("\n")).unwrap();
    let (explicit, implicit) = (load(command, &explicit), load(command, &sample(name)));
    assert_eq!(format!("{explicit:?}"), format!("{implicit:?}"));
}

test_cases! {
    fn check_commented_defaults(command: &str, name: &str);
    entry_comments_show_the_defaults: ("entry", "entry.ini");
    gateway_comments_show_the_defaults: ("gateway", "gateway.ini");
    model_comments_show_the_defaults: ("agent", "agent_model.ini");
    plain_comments_show_the_defaults: ("agent", "agent_plain.ini");
}

#[test]
fn values_are_read_in_their_units() {
    let options = load("agent", &sample("agent_plain.ini"));
    assert_eq!(options.stop.grace, Duration::from_secs(120));
    assert_eq!(options.platform.timeout, Duration::from_millis(1_000));
    let agent = options.agent.unwrap();
    assert_eq!((agent.kind, agent.concurrency), (TargetKind::Plain, 16));
    assert_eq!(agent.idempotent_methods, ["GET", "HEAD", "OPTIONS"]);
}
