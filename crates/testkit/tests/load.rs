//! Tests of the load generator: if its checks missed a wrong, lost or doubled result, they would
//! hide faults of the system.

use {
    clap::Parser,
    sassafrasslip_testkit::{
        engine::token_text,
        harness::{Fleet, FleetTopology, GroupTopology, ServiceTopology, ZoneTopology},
        load::{
            self, LoadArguments, LoadSummary,
            answer::{TokenReader, TokenTimes},
            plan::{CallBody, CallPlanner, PlannedCall},
            summary::{CallOutcome, LoadRecorder},
        },
        test_cases,
    },
    serde_json::{Value, json},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::{runtime::Runtime, time::Instant},
};

/// Runs a load directly against one model group and one plain service, with faults of the service,
/// and returns the summary.
fn run_direct(faults: Value, arguments: &[&str]) -> LoadSummary {
    Runtime::new().unwrap().block_on(async {
        let zone = ZoneTopology::new("z1", 0)
            .with_group(GroupTopology::new("g1", "drafting", 2))
            .with_service(ServiceTopology::new("orders", 1));
        let fleet = Fleet::start_stand_ins(FleetTopology::new(vec![zone]))
            .await
            .unwrap();
        let service = fleet.services[0].address;
        fleet
            .post_admin(service, "/admin/faults", &faults)
            .await
            .unwrap();
        let service = service.to_string();
        let servers = fleet.groups[0].servers.iter().map(ToString::to_string);
        let mut line = vec!["load".to_owned(), "--direct".to_owned()];
        line.extend(servers.flat_map(|server| ["--entry".to_owned(), server]));
        line.extend(["--direct-service", &service, "--counts", &service].map(str::to_owned));
        line.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        load::run(LoadArguments::parse_from(line)).await
    })
}

/// Guards against a summary without calls or token times, or with faults that did not occur.
#[test]
fn mixed_load_is_answered_and_counted() {
    let arguments = [
        "--model-service",
        "drafting",
        "--plain-service",
        "orders",
        "--count",
        "60",
    ];
    let summary = run_direct(json!({}), &arguments);
    assert_eq!((summary.requests, summary.answered), (60, 60), "{summary}");
    assert!(summary.is_clean(), "{summary}");
    assert!(summary.first_token_ms.count > 0 && summary.between_tokens_ms.count > 0);
}

/// Guards against an open loop that ignores its rate: 100 calls at 200 a second take half a second.
#[test]
fn open_loop_keeps_to_its_rate() {
    let arguments = [
        "--plain-service",
        "orders",
        "--count",
        "100",
        "--rate",
        "200",
    ];
    let summary = run_direct(json!({}), &arguments);
    assert_eq!(summary.answered, 100, "{summary}");
    assert!((0.2..2.0).contains(&summary.elapsed_s), "{summary}");
}

/// Guards against lost or doubled bookings that are not counted. The bookings have idempotency
/// keys, but the service is called directly and ignores them, so each retry runs again.
fn check_bookings(faults: Value, attempts: &str, lost: u64, doubled: u64) {
    let arguments = [
        "--plain-service",
        "orders",
        "--count",
        "10",
        "--bookings",
        "100",
        "--keyed",
        "100",
        "--attempts",
        attempts,
    ];
    let summary = run_direct(faults, &arguments);
    assert_eq!(
        (summary.lost, summary.doubled),
        (lost, doubled),
        "{summary}"
    );
    assert_eq!(summary.is_clean(), lost + doubled == 0);
}

test_cases! {
    fn check_bookings(faults: Value, attempts: &str, lost: u64, doubled: u64);
    service_without_faults_is_clean: (json!({}), "1", 0, 0);
    broken_answer_is_lost: (json!({"failure": "after_run"}), "1", 10, 0);
    repeat_of_a_booking_that_ran_is_doubled: (json!({"failure": "after_run"}), "2", 10, 10);
}

/// Guards against a booking that is classified wrongly when its outcome is compared with the number
/// of its runs. `counts` holds `answered`, `not_run`, `wrong`, `lost` and `doubled`.
fn check_audit(outcome: CallOutcome, runs: u64, counts: [u64; 5]) {
    let recorder = LoadRecorder::default();
    let order = "o1".to_owned();
    let call = PlannedCall {
        service: "orders".to_owned(),
        team: "team-1".to_owned(),
        entry: 0,
        body: CallBody::Book {
            order: order.clone(),
            key: None,
        },
    };
    recorder.record(&call, outcome, Duration::ZERO);
    recorder.check_bookings(&BTreeMap::from([(order, runs)]));
    let summary = recorder.summarize(Duration::from_secs(1));
    let LoadSummary {
        answered,
        not_run,
        wrong,
        lost,
        doubled,
        ..
    } = summary;
    assert_eq!([answered, not_run, wrong, lost, doubled], counts);
}

fn answered() -> CallOutcome {
    CallOutcome::Answered(TokenTimes::default())
}

test_cases! {
    fn check_audit(outcome: CallOutcome, runs: u64, counts: [u64; 5]);
    answered_booking_that_ran_is_answered: (answered(), 1, [1, 0, 0, 0, 0]);
    answered_booking_that_did_not_run_is_lost: (answered(), 0, [0, 0, 0, 1, 0]);
    refused_booking_that_ran_is_wrong: (CallOutcome::NotRun, 1, [0, 0, 1, 0, 0]);
    refused_booking_that_did_not_run_is_refused: (CallOutcome::NotRun, 0, [0, 1, 0, 0, 0]);
    unknown_booking_that_ran_twice_is_doubled: (CallOutcome::Unknown, 2, [0, 0, 0, 0, 1]);
}

fn token_line(prompt: &str, index: u64) -> String {
    json!({"index": index, "token": token_text(prompt, index)}).to_string()
}

/// Guards against a wrong answer that passes the check. The lines are an answer of two tokens to
/// the prompt `p`.
fn check_lines(lines: &[String], accepted: bool) {
    let mut reader = TokenReader::new("p", 2, Instant::now());
    let read = lines
        .iter()
        .try_for_each(|line| reader.read(format!("{line}\n").as_bytes()));
    assert_eq!(
        read.and_then(|()| reader.finish().map(|_| ())).is_ok(),
        accepted
    );
}

fn end_line(tokens: u64) -> String {
    json!({"end": true, "tokens": tokens}).to_string()
}

test_cases! {
    fn check_lines(lines: &[String], accepted: bool);
    whole_answer_is_accepted: (&[token_line("p", 0), token_line("p", 1), end_line(2)], true);
    missing_end_is_refused: (&[token_line("p", 0), token_line("p", 1)], false);
    missing_token_is_refused: (&[token_line("p", 0), end_line(2)], false);
    shortened_answer_is_refused: (&[token_line("p", 0), end_line(1)], false);
    repeated_token_is_refused: (&[token_line("p", 0), token_line("p", 0), end_line(2)], false);
    answer_of_another_prompt_is_refused:
        (&[token_line("q", 0), token_line("q", 1), end_line(2)], false);
    line_after_the_end_is_refused:
        (&[token_line("p", 0), token_line("p", 1), end_line(2), end_line(2)], false);
}

/// Guards against a plan that differs between runs with the same seed, which could not be repeated.
#[test]
fn plan_depends_only_on_the_seed() {
    let plan = |seed: &str| {
        let line = [
            "load",
            "--entry",
            "127.0.0.1:1",
            "--model-service",
            "a",
            "--seed",
            seed,
        ];
        let arguments = Arc::new(LoadArguments::parse_from(line));
        let calls = CallPlanner::new(arguments).map(|call| call.body);
        calls.collect::<Vec<_>>()
    };
    assert_eq!(plan("1"), plan("1"));
    assert_ne!(plan("1"), plan("2"));
}
