//! Tests which requests get the blame when targets crash, on the crashes that the gateways of a fleet
//! observe: one request that is sent again and again, among others that wait at the same targets.

use {
    sassafrasslip_core::dispatch::{
        CrashEvidence::{self, Begun, WaitingSince},
        CrashId, PartChange, PromptPart, RequestChange, RequestQuarantine, RequestRestriction,
        RequestTraits,
    },
    sassafrasslip_testkit::test_cases,
    std::time::Duration,
    tokio::time::Instant,
};

const SECOND: Duration = Duration::from_secs(1);

/// Time between the start of a request and the crash of its target.
const RUN_TIME: Duration = Duration::from_millis(100);

/// Returns the request with this body; all requests share a part of their prompts.
fn request(body: &str) -> RequestTraits {
    let shared = PromptPart::from_name("shared");
    let own = PromptPart::from_name(body);
    let prompt = [shared, own];
    RequestTraits {
        shared_parts: vec![shared],
        whole: PromptPart::of_request("POST", "shop", "/a/", prompt, body.as_bytes()),
    }
}

/// Returns the request with this body whose prompt has a part of its own that others may share.
fn request_with(part: &str, body: &str) -> RequestTraits {
    let shared = ["shared", part].map(PromptPart::from_name);
    let own = PromptPart::from_name(body);
    let prompt = shared.into_iter().chain([own]);
    RequestTraits {
        shared_parts: shared.to_vec(),
        whole: PromptPart::of_request("POST", "shop", "/a/", prompt, body.as_bytes()),
    }
}

/// Returns a request without a prompt.
fn plain(path: &str) -> RequestTraits {
    RequestTraits {
        shared_parts: Vec::new(),
        whole: PromptPart::of_request("GET", "shop", path, [], b""),
    }
}

/// Gateways that tell each other what they know, as load reports do.
struct Fleet {
    gateways: Vec<RequestQuarantine>,
    crashes: u64,
}

impl Fleet {
    fn new(gateways: usize) -> Self {
        let gateways = (0..gateways).map(|_| RequestQuarantine::default());
        Self {
            gateways: gateways.collect(),
            crashes: 0,
        }
    }

    fn tell(&mut self, now: Instant) {
        for from in 0..self.gateways.len() {
            for to in 0..self.gateways.len() {
                if let Ok([from, to]) = self.gateways.get_disjoint_mut([from, to]) {
                    let pairs = [(&from.parts, &mut to.parts), (&from.wholes, &mut to.wholes)];
                    for (from, to) in pairs {
                        for news in from.quarantine_news() {
                            to.note_quarantined(news, now);
                        }
                        for proof in from.proof_news() {
                            to.note_proof(proof, now);
                        }
                        for crash in from.crash_news(now) {
                            to.note_crash(&crash, now);
                        }
                    }
                }
            }
        }
    }

    /// Crashes a target with open requests, each of one gateway.
    fn crash(&mut self, open: &[(usize, RequestTraits, CrashEvidence)], now: Instant) {
        self.crashes += 1;
        let crash = CrashId::from_hash(self.crashes);
        for (gateway, traits, evidence) in open {
            self.gateways[*gateway].record_crash(crash, traits, *evidence, now);
        }
        self.tell(now);
    }

    fn answer(&mut self, gateway: usize, traits: &RequestTraits, now: Instant) {
        self.gateways[gateway].record_answer(traits, now);
        self.tell(now);
    }

    /// Sends a request through a gateway; returns whether it was not refused.
    fn send(&mut self, gateway: usize, traits: &RequestTraits, now: Instant) -> bool {
        let is_first = gateway == 0;
        self.gateways[gateway].start(traits, is_first, now).is_ok()
    }
}

/// A target crashes for another reason while requests with a part that is in use and one with a new
/// part wait there. Callers of the new part must not be refused for longer than it takes to try it.
#[test]
fn new_part_of_a_waiting_request_is_tried_soon() {
    let start = Instant::now();
    let mut fleet = Fleet::new(2);
    fleet.answer(0, &request("before"), start);
    let crashed_at = start + SECOND;
    let new = request_with("new", "a");
    let open = [
        (0, new, WaitingSince(start)),
        (1, request("b"), WaitingSince(start)),
    ];
    fleet.crash(&open, crashed_at);
    let trial_at = crashed_at + SECOND * 3;
    let trial = request_with("new", "c");
    assert!(fleet.send(1, &trial, trial_at));
    fleet.answer(1, &trial, trial_at + RUN_TIME);
    assert!(fleet.send(0, &request_with("new", "d"), trial_at + RUN_TIME));
}

/// A new part that only waited beside the one whose answer the target had begun gets no blame, and
/// the one that had begun is not tried soon for its sake.
#[test]
fn waiting_part_does_not_share_the_blame_of_a_begun_one() {
    let start = Instant::now();
    let mut fleet = Fleet::new(2);
    fleet.answer(0, &request("before"), start);
    let crashed_at = start + SECOND;
    let open = [
        (0, request_with("deadly", "a"), Begun),
        (1, request_with("new", "b"), WaitingSince(start)),
    ];
    fleet.crash(&open, crashed_at);
    assert!(fleet.send(0, &request_with("new", "c"), crashed_at));
    for gateway in 0..2 {
        let later = crashed_at + SECOND * 29;
        assert!(!fleet.send(gateway, &request_with("deadly", "d"), later));
    }
}

/// Requests of one kind crash targets before any byte of an answer, twice a second through one
/// gateway after the other. Returns how many targets they crash in 25 s.
fn replay_part(others: u32) -> u64 {
    let start = Instant::now();
    let mut fleet = Fleet::new(4);
    fleet.answer(0, &request("before"), start);
    for round in 0..50 {
        let now = start + SECOND + Duration::from_millis(500) * round;
        let gateway = round as usize % 4;
        let deadly = request_with("deadly", &format!("deadly{round}"));
        let waiting = (0..others).map(|other| {
            let traits = request_with(&format!("new{round}-{other}"), &format!("{round}-{other}"));
            (gateway, traits, WaitingSince(now - RUN_TIME))
        });
        if fleet.send(gateway, &deadly, now) {
            let mut open: Vec<_> = waiting.collect();
            open.push((gateway, deadly, WaitingSince(now)));
            fleet.crash(&open, now + RUN_TIME);
        }
    }
    fleet.crashes
}

/// The users allow five crashes by requests of one kind.
fn check_replay_part(others: u32, most: u64) {
    let crashes = replay_part(others);
    assert!(crashes <= most, "{crashes} crashes");
}

test_cases! {
    fn check_replay_part(others: u32, most: u64);
    part_that_crashes_targets_before_their_answer: (0, 5);
    part_that_crashes_targets_before_their_answer_beside_new_ones: (3, 5);
}

/// Sends a request that crashes targets twice a second through one gateway after the other, with
/// sound requests beside it. Returns how many targets it crashes in 25 s.
fn replay(deadly: &RequestTraits, has_head: bool) -> u64 {
    let start = Instant::now();
    let mut fleet = Fleet::new(4);
    fleet.answer(0, &request("before"), start);
    for round in 0..50 {
        let now = start + SECOND + Duration::from_millis(500) * round;
        let crashed_at = now + RUN_TIME;
        let gateway = round as usize % 4;
        let waiting = [0, 1, 2].map(|other| {
            let traits = request(&format!("waiting{round}-{other}"));
            ((gateway + other) % 4, traits, WaitingSince(now - RUN_TIME))
        });
        for (other, traits, _) in &waiting {
            assert!(fleet.send(*other, traits, now), "round {round}");
        }
        if fleet.send(gateway, deadly, now) {
            let evidence = match has_head {
                true => Begun,
                false => WaitingSince(now),
            };
            let mut open = waiting.to_vec();
            open.push((gateway, deadly.clone(), evidence));
            fleet.crash(&open, crashed_at);
        }
        // The others are sent again at once, and answered.
        for (other, traits, _) in &waiting {
            assert!(fleet.send(*other, traits, crashed_at), "round {round}");
            fleet.answer(*other, traits, crashed_at + RUN_TIME);
        }
    }
    fleet.crashes
}

/// The users count each time that a request is sent again after it has ended three servers.
fn check_replay(deadly: &RequestTraits, has_head: bool, most: u64) {
    let crashes = replay(deadly, has_head);
    assert!(crashes <= most, "{crashes} crashes");
}

test_cases! {
    fn check_replay(deadly: &RequestTraits, has_head: bool, most: u64);
    request_that_crashes_as_its_answer_begins: (&request("deadly"), true, 1);
    request_that_crashes_before_its_answer: (&request("deadly"), false, 3);
    plain_request_that_crashes_before_its_answer: (&plain("/deadly"), false, 3);
}

/// A crash of another cause must not make the requests that wait there wait longer.
#[test]
fn waiting_requests_are_not_refused_after_one_crash() {
    let start = Instant::now();
    let mut fleet = Fleet::new(2);
    fleet.answer(0, &request("before"), start);
    let crashed_at = start + SECOND;
    let waiting = ["a", "b"].map(request);
    let open = waiting
        .clone()
        .map(|traits| (0, traits, WaitingSince(start)));
    fleet.crash(&open, crashed_at);
    for traits in &waiting {
        assert!(fleet.send(1, traits, crashed_at));
    }
}

/// One fault stops several targets at once, and the same request was sent to all of them before.
#[test]
fn simultaneous_crashes_blame_no_waiting_request() {
    let start = Instant::now();
    let mut fleet = Fleet::new(2);
    for number in 0..4 {
        let at = start + SECOND + Duration::from_millis(50) * number;
        let gateway = number as usize % 2;
        fleet.crash(&[(gateway, plain("/"), WaitingSince(start))], at);
    }
    assert!(fleet.send(0, &plain("/"), start + SECOND * 2));
}

/// A request that many callers send alike is near crashes of other causes by chance.
#[test]
fn request_that_is_answered_between_crashes_gets_no_blame() {
    let mut now = Instant::now();
    let mut fleet = Fleet::new(2);
    for round in 0..8 {
        fleet.answer(0, &plain("/"), now);
        let since = now + SECOND;
        now = since + RUN_TIME;
        let evidence = match round % 2 {
            0 => Begun,
            _ => WaitingSince(since),
        };
        fleet.crash(&[(0, plain("/"), evidence)], now);
        assert!(fleet.send(1, &plain("/"), now), "round {round}");
        now += RUN_TIME;
    }
}

/// Engines that send the head of an answer before they begin it leave several suspects. They are
/// tried one at a time, so that the next crash has only one.
#[test]
fn several_begun_requests_are_tried_one_at_a_time() {
    let start = Instant::now();
    let mut fleet = Fleet::new(1);
    fleet.answer(0, &request("before"), start);
    let begun = ["a", "deadly", "b"].map(request);
    let open = begun.clone().map(|traits| (0, traits, Begun));
    fleet.crash(&open, start + SECOND);
    let trial_at = start + SECOND * 4;
    assert!(!fleet.send(0, &begun[0], start + SECOND * 2));
    assert!(fleet.send(0, &begun[0], trial_at));
    assert!(!fleet.send(0, &begun[1], trial_at));
    fleet.answer(0, &begun[0], trial_at + RUN_TIME);
    assert!(fleet.send(0, &begun[1], trial_at + RUN_TIME));
    let crashed_at = trial_at + RUN_TIME * 2;
    fleet.crash(&[(0, begun[1].clone(), Begun)], crashed_at);
    assert_eq!(fleet.gateways[0].wholes.quarantined(), 1);
    assert!(!fleet.send(0, &begun[1], crashed_at + SECOND * 50));
    assert!(fleet.send(0, &begun[2], crashed_at));
}

/// Requests that wait where another one crashes target after target get no blame, although they are
/// near several crashes.
#[test]
fn request_that_waits_beside_a_begun_one_gets_no_blame() {
    let start = Instant::now();
    let mut fleet = Fleet::new(2);
    fleet.answer(0, &request("before"), start);
    for round in 1..=3 {
        let since = start + SECOND * 3 * round;
        let open = [
            (0, request(&format!("deadly{round}")), Begun),
            (1, request("waiting"), WaitingSince(since)),
        ];
        assert!(fleet.send(1, &request("waiting"), since), "round {round}");
        fleet.crash(&open, since + RUN_TIME);
        fleet.answer(0, &request("other"), since + RUN_TIME * 2);
    }
    assert!(fleet.send(1, &request("waiting"), start + SECOND * 12));
}

/// Gateways restart one after the other, the one that has seen the crash first. The others pass on
/// what it has reported, and forget it in time.
#[test]
fn suspect_outlives_the_gateway_that_saw_the_crash() {
    let start = Instant::now();
    let mut fleet = Fleet::new(3);
    let deadly = plain("/deadly");
    fleet.crash(&[(0, deadly.clone(), Begun)], start);
    for restarted in 0..3 {
        fleet.gateways[restarted] = RequestQuarantine::default();
        let now = start + SECOND * (5 + restarted as u32);
        fleet.tell(now);
        assert!(!fleet.send(restarted, &deadly, now), "gateway {restarted}");
    }
    for step in 0..800 {
        fleet.tell(start + Duration::from_millis(100) * step);
    }
    let later = start + SECOND * 80;
    for gateway in 0..3 {
        fleet.gateways[gateway].drop_outdated(later);
        assert_eq!(fleet.gateways[gateway].suspects(), 0);
        assert!(fleet.send(gateway, &deadly, later));
    }
}

/// After its time, one gateway tries the request again. An answer ends its restriction everywhere,
/// and another crash puts it in quarantine.
fn check_trial(crashes: bool) {
    let start = Instant::now();
    let mut fleet = Fleet::new(2);
    let deadly = plain("/deadly");
    fleet.crash(&[(1, deadly.clone(), Begun)], start);
    let trial_at = start + SECOND * 31;
    assert!(!fleet.send(1, &deadly, start + SECOND * 29));
    assert!(!fleet.send(1, &deadly, trial_at));
    assert!(fleet.send(0, &deadly, trial_at));
    if crashes {
        fleet.crash(&[(0, deadly.clone(), Begun)], trial_at + RUN_TIME);
    } else {
        fleet.answer(0, &deadly, trial_at + RUN_TIME);
    }
    let later = trial_at + SECOND * 50;
    assert_eq!(fleet.send(0, &deadly, later), !crashes);
    assert_eq!(fleet.send(1, &deadly, later), !crashes);
}

test_cases! {
    fn check_trial(crashes: bool);
    answered_trial_ends_the_restriction: (false);
    crash_of_a_trial_begins_a_quarantine: (true);
}

/// The log and the answer of a gateway name what they refuse.
#[test]
fn restriction_tells_the_request_from_its_parts() {
    let start = Instant::now();
    let mut quarantine = RequestQuarantine::default();
    quarantine.record_answer(&request("before"), start);
    let deadly = request("deadly");
    let (first, second) = (CrashId::from_hash(1), CrashId::from_hash(2));
    quarantine.record_crash(first, &deadly, Begun, start + SECOND);
    let refused = quarantine.restriction(&deadly, true, start + SECOND * 2);
    let Some(RequestRestriction::Whole(restriction)) = refused else {
        panic!("not refused as a request: {refused:?}");
    };
    assert_eq!(restriction.part, deadly.whole);
    assert_eq!(restriction.retry_after, SECOND * 29);
    let changes = quarantine.record_crash(second, &deadly, Begun, start + SECOND * 40);
    let is_whole = |change: &RequestChange| matches!(change, RequestChange::Whole(PartChange::Quarantined(news)) if news.part == deadly.whole);
    assert!(changes.iter().any(is_whole), "{changes:?}");
}

/// Each field of a request tells it from others, and its id and deadline do not.
#[test]
fn requests_that_differ_in_one_field_are_not_confused() {
    let part = |name| PromptPart::from_name(name);
    let wholes = [
        PromptPart::of_request("GET", "a", "/", [], b""),
        PromptPart::of_request("POST", "a", "/", [], b""),
        PromptPart::of_request("GET", "b", "/", [], b""),
        PromptPart::of_request("GET", "a", "/x", [], b""),
        PromptPart::of_request("GET", "a", "/", [], b"x"),
        PromptPart::of_request("GET", "a", "/", [part("p")], b""),
        PromptPart::of_request("GET", "a", "/", [part("p"), part("q")], b""),
        PromptPart::of_request("GET", "a", "/", [part("q"), part("p")], b""),
    ];
    for (index, whole) in wholes.iter().enumerate() {
        assert!(!wholes[..index].contains(whole), "request {index}");
    }
    assert_eq!(request("a"), request("a"));
}

/// Each request of a caller adds a hash, so that their number must not grow without bound. The
/// latest answers are the ones that are kept.
#[test]
fn many_requests_and_crashes_stay_bounded() {
    let start = Instant::now();
    let mut quarantine = RequestQuarantine::default();
    let mut now = start;
    for number in 0..10_000 {
        now = start + Duration::from_millis(1) * number;
        quarantine.record_answer(&plain(&format!("/{number}")), now);
        let waiting = plain(&format!("/waiting{number}"));
        let crash = CrashId::from_hash(u64::from(number / 200));
        quarantine.record_crash(crash, &waiting, WaitingSince(now), now);
    }
    assert!(quarantine.suspects() <= 64 * (128 + 32));
    assert!(quarantine.wholes.proofs() <= 4096 + quarantine.suspects());
    let crash = CrashId::from_hash(7);
    quarantine.record_crash(crash, &plain("/9999"), Begun, now);
    let refused = quarantine.restriction(&plain("/9999"), true, now);
    assert_eq!(refused, None);
}
