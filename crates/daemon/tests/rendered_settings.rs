//! Guards against a gateway that does not start because of the way in which a platform renders
//! numbers into its settings: as whole numbers, with a fraction, empty or very large.

use {
    clap::Parser,
    sassafrasslip_daemon::{
        arguments::DaemonArguments,
        describe,
        options::{DaemonOptions, GatewayOptions, units::MAX_DURATION},
    },
    sassafrasslip_testkit::test_cases,
    std::{fs, result, time::Duration},
};

/// Settings of a gateway that have no default.
const ADDRESSES: &str = "[instance]\nname = gateway-1\navailability_zone = ruwi\nregion = muscat\n\
    [platform]\naddress = 127.0.0.1:9000\n[metrics]\naddress = 127.0.0.1:7004\n\
    [gateway]\ncaller_address = 127.0.0.1:7000\nreadiness_address = 127.0.0.1:7001\n\
    peer_address = 127.0.0.1:7002\nload_address = 127.0.0.1:7003\n";

/// Loads the settings of a gateway with this line added to its section, or returns the error text.
fn load(line: &str) -> result::Result<GatewayOptions, String> {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("gateway.ini");
    fs::write(&file, format!("{ADDRESSES}{line}\n")).unwrap();
    let file = file.to_str().unwrap();
    let arguments = DaemonArguments::parse_from(["sassafrasslipd", "check", file]);
    let options = DaemonOptions::load(&arguments.command);
    let options = options.map_err(|report| describe(&report))?;
    Ok(options.gateway.unwrap())
}

fn check_allowance(value: &str, expected: f64) {
    let options = load(&format!("retry_allowance = {value}")).unwrap();
    assert!((options.retry_allowance - expected).abs() < 1e-9);
}

test_cases! {
    fn check_allowance(value: &str, expected: f64);
    allowance_of_zero: ("0", 0.0);
    whole_allowance: ("3", 3.0);
    whole_allowance_with_a_point: ("3.0", 3.0);
    allowance_with_a_fraction: ("37.333333333333336", 37.333333333333336);
    absent_allowance: ("", 20.0);
    very_large_allowance: ("1e12", 1e12);
}

fn check_ratio(value: &str, expected: f64) {
    let options = load(&format!("retry_ratio = {value}")).unwrap();
    assert!((options.retry_ratio - expected).abs() < 1e-9);
}

test_cases! {
    fn check_ratio(value: &str, expected: f64);
    ratio_of_zero: ("0", 0.0);
    whole_ratio: ("1", 1.0);
    ratio_above_one: ("1.5", 1.5);
    absent_ratio: ("", 0.1);
}

/// Checks that one of the durations of the gateway has the expected value.
fn check_duration(line: &str, expected: Duration) {
    let options = load(line).unwrap();
    let durations = [
        options.retry_window,
        options.drain_limit,
        options.configuration_limit,
        options.stop_limit,
    ];
    assert!(durations.contains(&expected), "{durations:?}");
}

test_cases! {
    fn check_duration(line: &str, expected: Duration);
    whole_seconds: ("stop_limit = 8 s", Duration::from_secs(8));
    seconds_with_a_point: ("stop_limit = 8.0 s", Duration::from_secs(8));
    seconds_with_a_fraction: ("retry_window = 7.5 s", Duration::from_millis(7_500));
    milliseconds_with_a_fraction: ("drain_limit = 1333.5 ms", Duration::from_micros(1_333_500));
    absent_seconds: ("stop_limit =", Duration::from_secs(30));
    absent_milliseconds: ("configuration_limit =", Duration::from_secs(2));
    seconds_beyond_the_clock: ("stop_limit = 1e300 s", MAX_DURATION);
}

fn check_evacuation(value: &str, expected: Option<Duration>, operator_limit: Duration) {
    let options = load(&format!("evacuation_limit = {value}")).unwrap();
    assert_eq!(options.evacuation_limit, expected);
    assert_eq!(options.operator_limit(), operator_limit);
}

test_cases! {
    fn check_evacuation(value: &str, expected: Option<Duration>, operator_limit: Duration);
    absent_evacuation: ("", None, Duration::from_secs(2));
    long_evacuation: ("5000.0 ms", Some(Duration::from_secs(5)), Duration::from_secs(2));
    short_evacuation: ("500 ms", Some(Duration::from_millis(500)), Duration::from_millis(500));
}

fn check_regions(value: &str, expected: &[(&str, &str)]) {
    let options = load(&format!("zone_regions = {value}")).unwrap();
    let regions = expected.iter();
    let regions = regions.map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()));
    assert_eq!(options.zone_regions, regions.collect());
}

test_cases! {
    fn check_regions(value: &str, expected: &[(&str, &str)]);
    absent_regions: ("", &[]);
    regions_of_two_zones: ("ruwi/muscat,seeb/muscat", &[("ruwi", "muscat"), ("seeb", "muscat")]);
}

fn check_memory_limit(value: &str, megabytes: usize) {
    let options = load(&format!("memory_limit = {value}")).unwrap();
    assert_eq!(options.memory_limit, megabytes << 20);
}

test_cases! {
    fn check_memory_limit(value: &str, megabytes: usize);
    whole_megabytes: ("112 MB", 112);
    megabytes_with_a_point: ("128.0 MB", 128);
    absent_memory_limit: ("", 256);
    memory_beyond_the_highest: ("1e300 MB", 1024);
}

fn check_first_start(value: &str, expected: bool) {
    let options = load(&format!("first_start = {value}")).unwrap();
    assert_eq!(options.first_start, expected);
}

test_cases! {
    fn check_first_start(value: &str, expected: bool);
    first_start_of_the_system: ("true", true);
    restart_of_a_process: ("false", false);
    absent_first_start: ("", false);
}

fn check_refused(line: &str, expected: &str) {
    let error = load(line).unwrap_err();
    assert!(error.contains(expected), "{error}");
}

test_cases! {
    fn check_refused(line: &str, expected: &str);
    negative_allowance: ("retry_allowance = -1", "expected a number from 0");
    allowance_that_is_no_number: ("retry_allowance = NaN", "expected a number from 0");
    infinite_allowance: ("retry_allowance = inf", "expected a number from 0");
    unit_without_a_number: ("stop_limit =  s", "stop_limit = s: expected a number above 0");
    negative_duration: ("drain_limit = -1 ms", "expected a number above 0 with ms or s");
    duration_of_zero: ("drain_limit = 0 ms", "expected a number above 0 with ms or s");
    overload_sharing_that_is_no_truth_value: ("overload_sharing = shared", "`true` or `false`");
    first_start_that_is_no_truth_value: ("first_start = yes", "`true` or `false`");
    evacuation_of_zero: ("evacuation_limit = 0 ms", "expected a number above 0 with ms or s");
    zone_without_a_region: ("zone_regions = ruwi", "expected ZONE/REGION");
    memory_without_a_unit: ("memory_limit = 256", "expected a number from 32 with MB");
    memory_that_is_too_low: ("memory_limit = 16 MB", "expected a number from 32 with MB");
    infinite_duration: ("stop_limit = inf s", "expected a number above 0 with ms or s");
}
