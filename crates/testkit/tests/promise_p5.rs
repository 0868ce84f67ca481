//! Tests of guarantee P5: a leaving target gets no new work after 2 s, and its work in flight
//! completes.

mod promise_support;

use {
    clap::Parser,
    promise_support::{
        StreamEnd, TEAM, admitted, client, model_zone, run, start, stream, wait_until,
    },
    sassafrasslip_testkit::{
        faults::leaving::LEAVING_LIMIT,
        harness::{Fleet, ProcessSignal},
        load::{self, LoadArguments, LoadSummary},
        platform::{
            FaultSwitch, PlatformFaults,
            instances::{InstanceBody, ListedState},
        },
    },
    serde_json::json,
    std::time::Duration,
    tokio::{task::JoinHandle, time::sleep},
};

const LEAVING: &str = "drafting-1-1";
/// Duration of the load in seconds, longer than the time limit for new work plus the time in which
/// the target is watched.
const LOAD_SECONDS: f64 = 4.5;
/// Tokens of a stream that is still in flight at the end of that time.
const LONG_STREAM: u64 = 850;
/// Time after the limit in which the target must not get new work.
const WATCHED: Duration = Duration::from_millis(1_500);

/// Sends short generations for a number of seconds.
fn start_load(fleet: &Fleet, seconds: f64) -> JoinHandle<LoadSummary> {
    let entry = format!("--entry={}", fleet.entries[0].caller_address);
    let duration = format!("--duration={seconds}");
    let arguments = [
        "load",
        &entry,
        "--model-service=drafting",
        "--rate=100",
        &duration,
        "--count=100000",
        "--max-tokens=8",
        "--prompt-prefixes=64",
    ];
    let arguments = LoadArguments::parse_from(arguments);
    tokio::spawn(load::run(arguments))
}

/// Checks that the target gets no new work after the time limit.
async fn check_no_new_work(fleet: &Fleet) {
    sleep(LEAVING_LIMIT).await;
    let baseline = admitted(fleet, LEAVING).await;
    sleep(WATCHED).await;
    // An agent that has ended does not answer, which must not count as getting no work.
    let later = admitted(fleet, LEAVING).await;
    assert!(
        later.is_some() && later == baseline,
        "{baseline:?}, then {later:?}"
    );
}

/// Returns the first two and the last two refusals in the log of the entry.
fn refusals(fleet: &Fleet) -> String {
    let log = fleet.entries[0].process.log();
    let refused: Vec<_> = log
        .lines()
        .filter(|line| line.contains("RequestRefused"))
        .collect();
    let shown = refused.iter().take(2).chain(refused.iter().rev().take(2));
    shown.copied().collect::<Vec<_>>().join("\n")
}

async fn check_all_answered(fleet: &Fleet, load: JoinHandle<LoadSummary>) {
    let summary = load.await.unwrap();
    assert!(summary.is_clean() && summary.cut == 0, "{summary}");
    assert!(summary.answered > 50, "{summary}");
    let refused = refusals(fleet);
    assert_eq!(summary.answered, summary.requests, "{summary}\n{refused}");
}

async fn set_listed_state(fleet: &Fleet, state: ListedState) {
    let text = fleet
        .read(fleet.platform_address, "/v1/instances")
        .await
        .unwrap();
    let mut body: InstanceBody = serde_json::from_str(&text).unwrap();
    let instances = body.instances.iter_mut();
    instances
        .filter(|instance| instance.instance == LEAVING)
        .for_each(|instance| instance.state = state);
    let address = fleet.platform_address;
    fleet
        .post_admin(address, "/admin/instances", &body)
        .await
        .unwrap();
}

/// Guards against agents and entries that use the instance list that they read before the target
/// was listed as leaving.
#[test]
fn listed_target_gets_no_new_work() {
    run(async {
        let fleet = start(model_zone(2)).await;
        let load = start_load(&fleet, LOAD_SECONDS);
        sleep(Duration::from_millis(500)).await;
        assert!(admitted(&fleet, LEAVING).await > Some(0));
        set_listed_state(&fleet, ListedState::Leaving).await;
        check_no_new_work(&fleet).await;
        check_all_answered(&fleet, load).await;
    });
}

/// Guards against routing by an instance list that is out of date although the target itself
/// reports that it is stopping, and against a process that ends before its work in flight is done.
#[test]
fn stopped_target_gets_no_new_work_although_the_list_lags() {
    run(async {
        let mut fleet = start(model_zone(2)).await;
        let switch = FaultSwitch {
            lag_ms: 30_000,
            ..FaultSwitch::default()
        };
        let plan = PlatformFaults {
            instances: Some(switch),
            ..PlatformFaults::default()
        };
        let address = fleet.platform_address;
        fleet
            .post_admin(address, "/admin/faults", &plan)
            .await
            .unwrap();
        let entry = fleet.entries[0].caller_address;
        let mut streams = Vec::new();
        for number in 0..8 {
            let prompt = format!("in flight {number}");
            streams.push(stream(entry, &prompt, LONG_STREAM).await);
        }
        let load = start_load(&fleet, LOAD_SECONDS);
        sleep(Duration::from_millis(300)).await;
        assert!(admitted(&fleet, LEAVING).await > Some(0));
        set_listed_state(&fleet, ListedState::Leaving).await;
        let leaving = fleet.agent(LEAVING).unwrap();
        let process = &mut fleet.agents[leaving].process;
        process.signal(ProcessSignal::Terminate).unwrap();
        check_no_new_work(&fleet).await;
        for stream in &mut streams {
            assert_eq!(stream.read_end().await, StreamEnd::Complete);
            assert!(stream.check(), "the end is missing");
        }
        let process = &mut fleet.agents[leaving].process;
        let status = process.wait_exit(Duration::from_secs(5)).await.unwrap();
        assert!(status.success(), "{status}");
        check_all_answered(&fleet, load).await;
    });
}

/// Guards against a drain that only the entry which received the order obeys, and against a drain
/// that cannot be ended.
#[test]
fn drained_target_gets_no_new_work() {
    run(async {
        let fleet = start(model_zone(2)).await;
        let load = start_load(&fleet, LOAD_SECONDS);
        sleep(Duration::from_millis(300)).await;
        let operator = fleet.entries[0].operator_address;
        let path = format!("/v1/drain/{LEAVING}");
        let mut body = json!({"operator": TEAM, "reason": "test", "draining": true});
        let answer = client().post(operator, &path, &body).await.unwrap();
        assert_eq!(answer.status, 200);
        check_no_new_work(&fleet).await;
        check_all_answered(&fleet, load).await;
        body["draining"] = false.into();
        let answer = client().post(operator, &path, &body).await.unwrap();
        assert_eq!(answer.status, 200);
        let baseline = admitted(&fleet, LEAVING).await;
        let load = start_load(&fleet, 1.0);
        wait_until("new work after the drain", async || {
            admitted(&fleet, LEAVING).await > baseline
        })
        .await;
        check_all_answered(&fleet, load).await;
    });
}
