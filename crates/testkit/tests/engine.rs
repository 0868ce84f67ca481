//! Tests of the engine stand-in, on whose answers and counters other tests rely: a caller must be
//! able to check each answer, also a resumed one, and each step with mixed expert maps must be
//! counted. Otherwise a fault of the system could pass unnoticed.

use {
    sassafrasslip_testkit::{
        engine::{ExpertMap, MapReply, token_text},
        harness::{Fleet, FleetTopology, GroupTopology, ZoneTopology},
        http::HttpClient,
        test_cases,
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{runtime::Runtime, time::sleep},
};

/// Starts a group of two servers with two ranks each and runs a check against it.
fn with_group(arguments: &[&str], check: impl AsyncFnOnce(&Fleet, &HttpClient)) {
    Runtime::new().unwrap().block_on(async {
        let mut group = GroupTopology::new("g1", "drafting", 2);
        group.ranks = 2;
        let arguments = arguments.iter().map(|argument| (*argument).to_owned());
        group.engine_arguments = arguments.collect();
        let zone = ZoneTopology::new("z1", 0).with_group(group);
        let fleet = Fleet::start_stand_ins(FleetTopology::new(vec![zone]))
            .await
            .unwrap();
        check(&fleet, &HttpClient::new(Duration::from_secs(5))).await;
    });
}

fn lines(body: &[u8]) -> Vec<Value> {
    let text = std::str::from_utf8(body).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Guards against answers whose tokens depend on more than the prompt and the index: a caller could
/// not check them, and an answer resumed at `resume_from` would not continue the tokens before it.
fn check_generation(resume_from: u64, max_tokens: u64) {
    with_group(&[], async |fleet, client| {
        let address = fleet.groups[0].servers[1];
        let body = json!({
            "prompt": "a caption", "max_tokens": max_tokens, "kind": "captions",
            "resume_from": resume_from,
        });
        let answer = client.post(address, "/v1/generate", &body).await.unwrap();
        let mut lines = lines(&answer.body);
        let end = lines.pop().unwrap();
        assert_eq!(end, json!({"end": true, "tokens": max_tokens}));
        let expected = (resume_from..max_tokens)
            .map(|index| json!({"index": index, "token": token_text("a caption", index)}));
        assert_eq!(lines, expected.collect::<Vec<_>>());
    });
}

test_cases! {
    fn check_generation(resume_from: u64, max_tokens: u64);
    whole_answer_is_deterministic: (0, 20);
    resumed_answer_continues_the_same_tokens: (7, 20);
}

/// Guards against a load report with a wrong token count of a kind, without the step times of the
/// server's ranks, or with requests in flight after the last one ended.
#[test]
fn load_report_shows_tokens_and_rank_times() {
    with_group(&["--load-lag-ms", "0"], async |fleet, client| {
        let address = fleet.groups[0].servers[0];
        let body = json!({"prompt": "p", "max_tokens": 5, "kind": "captions"});
        client.post(address, "/v1/generate", &body).await.unwrap();
        sleep(Duration::from_millis(200)).await;
        let load: Value = client
            .get(address, "/v1/load")
            .await
            .unwrap()
            .json()
            .unwrap();
        assert_eq!(
            load["kind_tokens"]["captions"], 6,
            "five tokens and one step of prefill"
        );
        assert_eq!(load["rank_step_us"].as_array().unwrap().len(), 2);
        assert_eq!(load["in_flight"], 0);
    });
}

/// Guards against a group that steps without a stalled rank. Ranks step in lockstep, so the stall
/// of one must stop all, and the group must go on after it.
#[test]
fn stalled_rank_stalls_the_group() {
    with_group(&[], async |fleet, client| {
        let address = fleet.groups[0].servers[0];
        let stall = json!({"rank": 3, "mode": "stall"});
        fleet
            .post_admin(address, "/admin/ranks", &stall)
            .await
            .unwrap();
        let steps = async || {
            let answer = client.get(address, "/admin/violations").await.unwrap();
            let body: Value = answer.json().unwrap();
            body["steps"].as_u64().unwrap()
        };
        sleep(Duration::from_millis(50)).await;
        let before = steps().await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(steps().await, before);
        let resume = json!({"rank": 3, "mode": "ok"});
        fleet
            .post_admin(address, "/admin/ranks", &resume)
            .await
            .unwrap();
        sleep(Duration::from_millis(200)).await;
        assert!(steps().await > before);
    });
}

async fn order(fleet: &Fleet, client: &HttpClient, server: usize, body: Value) -> MapReply {
    let address = fleet.groups[0].servers[server];
    let answer = client.post(address, "/v1/orders", &body).await.unwrap();
    answer.json().unwrap()
}

fn new_map() -> ExpertMap {
    let mut map = ExpertMap::initial(4, 16, 4);
    map.version = 2;
    map.layers[0][0] = vec![0, 3];
    map
}

/// Prepares and arms the servers in `armed` for a map change at a gate step, commits the change at
/// those in `committed`, and waits until the gate has been reached.
async fn change_map(fleet: &Fleet, client: &HttpClient, armed: &[usize], committed: &[usize]) {
    let map = new_map();
    for server in armed {
        let body = json!({"order": "prepare", "fencing": 1, "change": 9, "map": map});
        let reply = order(fleet, client, *server, body).await;
        assert!(reply.accepted, "{:?}", reply.reason);
    }
    let query = json!({"order": "query", "fencing": 1});
    let gate = order(fleet, client, 0, query).await.step + 100;
    for server in armed {
        let body = json!({"order": "arm", "fencing": 1, "change": 9, "gate_step": gate});
        assert!(order(fleet, client, *server, body).await.accepted);
    }
    for server in committed {
        let body = json!({"order": "commit", "fencing": 1, "change": 9});
        assert!(order(fleet, client, *server, body).await.accepted);
    }
    sleep(Duration::from_millis(900)).await;
}

/// Guards against a missed violation: servers that step with different map versions must be
/// counted, and servers that wait at the gate for a decision must not. The steps are short, so that
/// the gate is reached within the wait.
fn check_map_change(armed: &[usize], committed: &[usize], versions: [u64; 2], mixes: bool) {
    with_group(&["--step-us", "2000"], async |fleet, client| {
        change_map(fleet, client, armed, committed).await;
        for (server, version) in versions.iter().enumerate() {
            let query = json!({"order": "query", "fencing": 1});
            let reply = order(fleet, client, server, query).await;
            assert_eq!(reply.map_version, *version, "server {server}");
        }
        let address = fleet.groups[0].servers[0];
        let answer = client.get(address, "/admin/violations").await.unwrap();
        let violations: Value = answer.json().unwrap();
        assert_eq!(violations["mixed_map_steps"].as_u64().unwrap() > 0, mixes);
    });
}

test_cases! {
    fn check_map_change(armed: &[usize], committed: &[usize], versions: [u64; 2], mixes: bool);
    commit_at_all_servers_switches_together: (&[0, 1], &[0, 1], [2, 2], false);
    undecided_server_holds_the_group_at_the_gate: (&[0, 1], &[0], [1, 1], false);
    server_left_out_of_a_change_is_a_violation: (&[0], &[0], [2, 1], true);
}

/// Guards against a stand-in with the wrong fencing mode: an order with a lower fencing token than
/// an earlier one must be refused by an engine that checks tokens, and accepted by one that ignores
/// them.
fn check_fencing(mode: &str, accepted: bool) {
    with_group(&["--fencing", mode], async |fleet, client| {
        order(fleet, client, 0, json!({"order": "query", "fencing": 5})).await;
        let map = new_map();
        let body = json!({"order": "prepare", "fencing": 4, "change": 1, "map": map});
        let reply = order(fleet, client, 0, body).await;
        assert_eq!((reply.accepted, reply.fencing), (accepted, 5));
    });
}

test_cases! {
    fn check_fencing(mode: &str, accepted: bool);
    checking_engine_refuses_an_old_token: ("checks", false);
    other_engine_accepts_an_old_token: ("ignores", true);
}
