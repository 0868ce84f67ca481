//! Small fleets and callers for the tests of the guarantees P1 to P7.

// Each test file is a crate of its own and uses only some of these helpers.
#![allow(dead_code)]

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, body::Incoming},
    sassafrasslip_testkit::{
        engine::token_text,
        faults::{
            TrackedEntry,
            leaving::admitted_calls,
            observer::{ObservedRevision, read_revision},
        },
        harness::{Fleet, FleetTopology, GroupTopology, ServiceTopology, ZoneTopology},
        http::HttpClient,
        platform::{FaultMode, FaultSwitch, PlatformFaults},
        relay::{RelayMode, RelaySwitch},
        service::ServiceCounts,
    },
    serde_json::{Value, json},
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::{
        runtime::Runtime,
        time::{Instant, sleep},
    },
};

/// Longest wait for the fleet to reach an expected state.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(10);
const CALL_LIMIT: Duration = Duration::from_secs(12);
pub(crate) const TEAM: &str = "press";

/// Runs a test on a new Tokio runtime.
pub(crate) fn run(test: impl Future<Output = ()>) {
    Runtime::new().unwrap().block_on(test);
}

/// Returns two zones with one entry and one instance of the service `orders` each, which answers
/// after `delay_ms`. All links, and the connections of each zone to the platform, go through
/// relays.
pub(crate) fn two_zones(delay_ms: u64) -> FleetTopology {
    let orders = || {
        let mut service = ServiceTopology::new("orders", 1);
        service.service_arguments = vec!["--delay-ms".to_owned(), delay_ms.to_string()];
        service
    };
    let zones = ["ruwi", "qurum"].map(|zone| ZoneTopology::new(zone, 1).with_service(orders()));
    let mut topology = FleetTopology::new(zones.to_vec());
    topology.relays_links = true;
    topology.relays_platform = true;
    topology
}

/// Returns one zone with an entry and a number of model groups of one server each.
pub(crate) fn model_zone(groups: usize) -> FleetTopology {
    let mut zone = ZoneTopology::new("ruwi", 1);
    for number in 1..=groups {
        let name = format!("drafting-{number}");
        zone = zone.with_group(GroupTopology::new(&name, "drafting", 1));
    }
    FleetTopology::new(vec![zone])
}

pub(crate) async fn start(topology: FleetTopology) -> Fleet {
    let fleet = Fleet::start(topology).await.unwrap();
    for entry in &fleet.entries {
        let entry = TrackedEntry::from(entry);
        wait_until("a configuration lease", async || {
            poll_revision(&entry)
                .await
                .is_some_and(|seen| !seen.cut_off)
        })
        .await;
    }
    fleet
}

pub(crate) fn client() -> HttpClient {
    HttpClient::new(CALL_LIMIT)
}

/// Polls a condition until it holds; panics if it does not within [`WAIT_LIMIT`].
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition().await {
        assert!(Instant::now() < end, "no {what} after {WAIT_LIMIT:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

pub(crate) async fn poll_revision(entry: &TrackedEntry) -> Option<ObservedRevision> {
    read_revision(&HttpClient::new(Duration::from_secs(2)), entry).await
}

/// Answer to a booking.
#[derive(Clone, Debug)]
pub(crate) struct BookAnswer {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) body: Value,
}

impl BookAnswer {
    pub(crate) fn is(&self, outcome: &str) -> bool {
        self.outcome == outcome
    }
}

/// Books an order, with an idempotency key unless `key` is empty. Returns `None` if the connection
/// broke.
pub(crate) async fn book(
    entry: SocketAddr,
    order: &str,
    key: &str,
    deadline_ms: u64,
) -> Option<BookAnswer> {
    let body = json!({"order": order, "team": TEAM}).to_string();
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/services/orders/runs"))
        .header("content-type", "application/json")
        .header("sassafrasslip-team", TEAM)
        .header("sassafrasslip-deadline", deadline_ms);
    if !key.is_empty() {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::from(body)).unwrap();
    let response = client().send(entry, request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let outcome = head.headers.get("sassafrasslip-outcome");
    Some(BookAnswer {
        status: head.status.as_u16(),
        outcome: outcome
            .map_or("", |value| value.to_str().unwrap())
            .to_owned(),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    })
}

/// Looks up a run, which is an idempotent call, and returns the outcome header.
pub(crate) async fn look_up(entry: SocketAddr, run: u64) -> String {
    let request = Request::builder()
        .uri(format!("http://{entry}/services/orders/runs/{run}"))
        .header("sassafrasslip-team", TEAM)
        .body(Full::<Bytes>::default())
        .unwrap();
    let response = client().send(entry, request).await.unwrap();
    let outcome = response.headers().get("sassafrasslip-outcome").unwrap();
    outcome.to_str().unwrap().to_owned()
}

/// Retries a booking with the same key until it is answered; panics if it is not within
/// [`WAIT_LIMIT`].
pub(crate) async fn book_until_answered(entry: SocketAddr, order: &str, key: &str) -> BookAnswer {
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let answer = book(entry, order, key, 3_000).await;
        match answer {
            Some(answer) if answer.is("answered") => return answer,
            answer => assert!(Instant::now() < end, "{order} is still {answer:?}"),
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Returns how often an order ran, summed over all instances of the service.
pub(crate) async fn count_runs(fleet: &Fleet, order: &str) -> u64 {
    let mut runs = 0;
    for service in &fleet.services {
        let text = fleet.read(service.address, "/admin/counts").await.unwrap();
        let counts: ServiceCounts = serde_json::from_str(&text).unwrap();
        runs += counts.by_order.get(order).copied().unwrap_or(0);
    }
    runs
}

/// Sets the fault of the platform's table, and the share of the requests that it hits.
pub(crate) async fn set_table_fault(fleet: &Fleet, mode: FaultMode, probability: f64) {
    let switch = FaultSwitch {
        mode,
        probability,
        ..FaultSwitch::default()
    };
    let plan = PlatformFaults {
        table: Some(switch),
        ..PlatformFaults::default()
    };
    let address = fleet.platform_address;
    fleet
        .post_admin(address, "/admin/faults", &plan)
        .await
        .unwrap();
}

/// Sets the mode of a relay, which is named after its agent or, if it is in front of the platform,
/// `platform-ZONE`.
pub(crate) async fn set_relay_mode(fleet: &Fleet, name: &str, mode: RelayMode, delay_ms: u64) {
    let relay = fleet
        .relays
        .iter()
        .find(|relay| relay.name == name)
        .unwrap();
    let switch = RelaySwitch {
        mode,
        delay_ms,
        after_bytes: 0,
    };
    let address = relay.admin_address;
    fleet
        .post_admin(address, "/admin/mode", &switch)
        .await
        .unwrap();
}

/// Returns how many calls an agent has admitted so far; `None` if its process does not answer.
pub(crate) async fn admitted(fleet: &Fleet, agent: &str) -> Option<u64> {
    let agent = &fleet.agents[fleet.agent(agent).unwrap()];
    let client = HttpClient::new(Duration::from_secs(2));
    admitted_calls(&client, agent.metrics_address).await
}

/// Streamed generation and the part of its answer that has been read.
pub(crate) struct TokenStream {
    prompt: String,
    body: Incoming,
    text: Vec<u8>,
}

/// How the body of a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamEnd {
    /// The body ended properly.
    Complete,
    /// The connection broke before the end of the body.
    Broken,
}

/// Starts a streamed generation and checks that it is answered with status 200.
pub(crate) async fn stream(entry: SocketAddr, prompt: &str, tokens: u64) -> TokenStream {
    let body = json!({"prompt": prompt, "max_tokens": tokens, "kind": "captions"}).to_string();
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/services/drafting/v1/generate"))
        .header("content-type", "application/json")
        .header("accept", "application/x-ndjson")
        .header("sassafrasslip-team", TEAM)
        .body(Full::<Bytes>::from(body))
        .unwrap();
    let response: Response<Incoming> = client().send(entry, request).await.unwrap();
    assert_eq!(response.status(), 200);
    TokenStream {
        prompt: prompt.to_owned(),
        body: response.into_body(),
        text: Vec::new(),
    }
}

impl TokenStream {
    /// Reads until at least `count` token lines have arrived; panics if the stream ends before.
    pub(crate) async fn read_tokens(&mut self, count: usize) {
        while self.lines() < count {
            let frame = self.body.frame().await.unwrap().unwrap();
            self.text.extend_from_slice(&frame.into_data().unwrap());
        }
    }

    /// Reads until the body ends or breaks.
    pub(crate) async fn read_end(&mut self) -> StreamEnd {
        while let Some(frame) = self.body.frame().await {
            match frame {
                Ok(frame) => self.text.extend_from_slice(&frame.into_data().unwrap()),
                Err(_) => return StreamEnd::Broken,
            }
        }
        StreamEnd::Complete
    }

    fn lines(&self) -> usize {
        self.text.iter().filter(|byte| **byte == b'\n').count()
    }

    /// Checks that the lines so far have the expected tokens without gaps and repetitions. Returns
    /// whether the final line was among them.
    pub(crate) fn check(&self) -> bool {
        let text = String::from_utf8(self.text.clone()).unwrap();
        for (index, line) in text.lines().enumerate() {
            let line: Value = serde_json::from_str(line).unwrap();
            if line["end"] == true {
                assert_eq!(line["tokens"], index);
                return true;
            }
            assert_eq!(line["index"], index);
            assert_eq!(line["token"], token_text(&self.prompt, index as u64));
        }
        false
    }
}
