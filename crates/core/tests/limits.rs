//! Guards team limits and the fairness of the queue.

use {
    sassafrasslip_core::{
        ids::{ServiceName, TeamName},
        limits::{
            QueueLimits, QueueRefusal, TeamLimiter, TeamLimits, TeamRefusal, TicketKey, WaitQueue,
            WaitRequest,
        },
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

const LIMITS: TeamLimits = TeamLimits {
    concurrency: 3,
    rate: 10,
};

fn team(name: &str) -> TeamName {
    name.parse().unwrap()
}

fn service() -> ServiceName {
    "drafting".parse().unwrap()
}

fn check_admitted(tries: u32, ends_each: bool, after: Duration, expected: u32) {
    let (mut ledger, start) = (TeamLimiter::default(), Instant::now());
    let shop = team("shop");
    let mut admitted = 0;
    for now in [start, start + after] {
        for _ in 0..tries {
            if ledger.admit(&shop, LIMITS, now).is_ok() {
                admitted += 1;
                if ends_each {
                    ledger.release(&shop);
                }
            }
        }
    }
    assert_eq!(admitted, expected);
}

test_cases! {
    fn check_admitted(tries: u32, ends_each: bool, after: Duration, expected: u32);
    concurrency_is_bounded: (20, false, Duration::from_secs(1), 3);
    rate_is_bounded: (20, true, Duration::ZERO, 10);
    rate_recovers_with_time: (20, true, Duration::from_millis(500), 15);
    unused_rate_is_not_saved_up: (20, true, Duration::from_secs(60), 20);
}

#[test]
fn one_team_does_not_use_up_the_limit_of_another() {
    let (mut ledger, now) = (TeamLimiter::default(), Instant::now());
    while ledger.admit(&team("large"), LIMITS, now).is_ok() {}
    assert_eq!(ledger.admit(&team("small"), LIMITS, now), Ok(()));
}

#[test]
fn team_known_from_peers_may_start_at_once() {
    let (mut ledger, now) = (TeamLimiter::default(), Instant::now());
    ledger.set_peer_usage([(team("shop"), 2), (team("shop"), 3)], now);
    assert_eq!(ledger.admit(&team("shop"), LIMITS, now), Ok(()));
    assert_eq!(ledger.fleet_in_flight(&team("shop")), 6);
    ledger.set_peer_usage([], now);
    assert_eq!(ledger.fleet_in_flight(&team("shop")), 1);
}

#[test]
fn refusal_says_when_the_rate_allows_the_next_request() {
    let (mut ledger, now) = (TeamLimiter::default(), Instant::now());
    let shop = team("shop");
    for _ in 0..LIMITS.rate {
        ledger.admit(&shop, LIMITS, now).unwrap();
        ledger.release(&shop);
    }
    let refused = ledger.admit(&shop, LIMITS, now);
    let Err(TeamRefusal::Rate { retry_after }) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(ledger.admit(&shop, LIMITS, now + retry_after), Ok(()));
}

#[test]
fn names_of_idle_teams_do_not_pile_up() {
    let (mut ledger, start) = (TeamLimiter::default(), Instant::now());
    for number in 0..20_000 {
        let now = start + Duration::from_millis(number);
        let name = team(&format!("team-{number}"));
        ledger.admit(&name, LIMITS, now).unwrap();
        ledger.release(&name);
    }
    assert!(format!("{ledger:?}").matches("TeamName(").count() < 10_000);
}

const QUEUE: QueueLimits = QueueLimits {
    length: 6,
    wait: Duration::from_secs(2),
};

struct Waiters {
    queue: WaitQueue,
    ledger: TeamLimiter,
    names: HashMap<TicketKey, String>,
    now: Instant,
}

impl Waiters {
    fn new() -> Self {
        Self {
            queue: WaitQueue::default(),
            ledger: TeamLimiter::default(),
            names: HashMap::new(),
            now: Instant::now(),
        }
    }

    /// Queues a request that is named by team, priority and number.
    fn push(&mut self, name: &str) -> Result<Option<String>, QueueRefusal> {
        let mut parts = name.split('-');
        let request = WaitRequest {
            service: service(),
            team: team(parts.next().unwrap()),
            priority: parts.next().unwrap().parse().unwrap(),
            deadline: self.now + Duration::from_secs(30),
        };
        let (ticket, displaced) = self.queue.push(request, QUEUE, 1, self.now)?;
        self.names.insert(ticket, name.to_owned());
        Ok(displaced.map(|ticket| self.names[&ticket].clone()))
    }

    fn pop(&mut self) -> Option<String> {
        let ticket = self.queue.peek(&service(), &[])?;
        self.queue.start(ticket, &self.ledger, self.now);
        Some(self.names[&ticket].clone())
    }
}

fn check_order(pushed: &[&str], expected: &[&str]) {
    let mut waiters = Waiters::new();
    for name in pushed {
        waiters.push(name).unwrap();
    }
    let order: Vec<_> = std::iter::from_fn(|| waiters.pop()).collect();
    assert_eq!(order, expected);
    assert!(waiters.queue.is_empty());
}

test_cases! {
    fn check_order(pushed: &[&str], expected: &[&str]);
    one_team_waits_in_order: (&["a-3-1", "a-3-2", "a-3-3"], &["a-3-1", "a-3-2", "a-3-3"]);
    urgent_request_of_a_team_overtakes: (&["a-3-1", "a-1-2"], &["a-1-2", "a-3-1"]);
    teams_take_turns:
        (&["a-3-1", "a-3-2", "a-3-3", "b-3-1"], &["a-3-1", "b-3-1", "a-3-2", "a-3-3"]);
    urgency_does_not_starve_another_team:
        (&["a-0-1", "a-0-2", "a-0-3", "b-7-1"], &["a-0-1", "b-7-1", "a-0-2", "a-0-3"]);
}

#[test]
fn team_busy_at_peers_gets_fewer_turns() {
    let mut waiters = Waiters::new();
    waiters.push("a-3-1").unwrap();
    waiters.push("a-3-2").unwrap();
    for number in 1..5 {
        waiters.push(&format!("b-3-{number}")).unwrap();
    }
    waiters.ledger.set_peer_usage([(team("a"), 2)], waiters.now);
    let order: Vec<_> = std::iter::from_fn(|| waiters.pop()).collect();
    // One request of the busy team costs as much as three of the other.
    assert_eq!(
        order,
        ["a-3-1", "b-3-1", "b-3-2", "b-3-3", "a-3-2", "b-3-4"]
    );
}

#[test]
fn request_that_no_free_target_suits_does_not_block_the_others() {
    let mut waiters = Waiters::new();
    waiters.push("a-1-1").unwrap();
    waiters.push("a-3-2").unwrap();
    let first = waiters.queue.peek(&service(), &[]).unwrap();
    let second = waiters.queue.peek(&service(), &[first]).unwrap();
    assert_eq!(waiters.names[&second], "a-3-2");
}

#[test]
fn large_team_gives_way_when_the_queue_is_full() {
    let mut waiters = Waiters::new();
    for number in 0..5 {
        waiters.push(&format!("large-3-{number}")).unwrap();
    }
    waiters.push("large-1-5").unwrap();
    assert_eq!(waiters.push("large-0-6"), Err(QueueRefusal::QueueFull));
    // The least urgent and newest request of the team that waits most gives way.
    assert_eq!(waiters.push("small-3-1"), Ok(Some("large-3-4".to_owned())));
    assert_eq!(waiters.queue.len(), QUEUE.length);
}

#[test]
fn long_queue_of_one_team_does_not_refuse_another() {
    let mut waiters = Waiters::new();
    waiters
        .queue
        .record_duration(&service(), Duration::from_millis(400));
    for number in 0..3 {
        waiters.push(&format!("large-3-{number}")).unwrap();
    }
    let late = waiters.push("large-3-3");
    assert!(matches!(late, Err(QueueRefusal::Late { .. })), "{late:?}");
    assert_eq!(waiters.push("small-3-1"), Ok(None));
}

#[test]
fn pace_of_starts_includes_what_other_entries_take() {
    let mut waiters = Waiters::new();
    waiters
        .queue
        .record_duration(&service(), Duration::from_millis(1));
    for number in 0..5 {
        waiters.push(&format!("a-3-{number}")).unwrap();
    }
    for _ in 0..3 {
        waiters.now += Duration::from_millis(600);
        waiters.pop();
    }
    let late = waiters.push("a-3-9");
    assert!(matches!(late, Err(QueueRefusal::Late { .. })), "{late:?}");
}

/// Lets ten requests start at a fixed pace while others wait; the ones that still wait then have
/// `remaining` until their deadline.
fn check_late(pace: Duration, remaining: Duration, expected: usize) {
    let (mut queue, ledger) = (WaitQueue::default(), TeamLimiter::default());
    let start = Instant::now();
    let now = start + pace * 10;
    let limits = QueueLimits {
        length: 20,
        wait: Duration::from_secs(30),
    };
    let request = WaitRequest {
        service: service(),
        team: team("shop"),
        priority: 3,
        deadline: now + remaining,
    };
    let push = |_| queue.push(request.clone(), limits, 1, start).unwrap().0;
    let tickets: Vec<_> = (0..14).map(push).collect();
    for (number, ticket) in (1..).zip(&tickets[..10]) {
        queue.start(*ticket, &ledger, start + pace * number);
    }
    let late = queue.remove_late(now);
    assert_eq!(late.len(), expected);
    assert_eq!(queue.len(), 4 - expected);
    assert_eq!(queue.remove_late(now), []);
}

test_cases! {
    fn check_late(pace: Duration, remaining: Duration, expected: usize);
    requests_that_start_in_time_go_on_waiting:
        (Duration::from_millis(100), Duration::from_millis(450), 0);
    request_that_waits_in_vain_is_refused_at_once:
        (Duration::from_millis(100), Duration::from_millis(250), 2);
    all_are_refused_when_the_pace_has_dropped:
        (Duration::from_millis(400), Duration::from_millis(250), 4);
}

#[test]
fn pace_of_a_team_includes_teams_that_overtake_it() {
    let (mut queue, ledger) = (WaitQueue::default(), TeamLimiter::default());
    let mut now = Instant::now();
    let push = |queue: &mut WaitQueue, name: &str, now: Instant| {
        let request = WaitRequest {
            service: service(),
            team: team(name),
            priority: 3,
            deadline: now + Duration::from_secs(30),
        };
        let (ticket, _) = queue.push(request, QUEUE, 8, now)?;
        Ok::<_, QueueRefusal>(ticket)
    };
    let mut large = vec![push(&mut queue, "large", now).unwrap()];
    // Four of five starts are of a team that never waits long; the large team always waits.
    for _ in 0..12 {
        large.push(push(&mut queue, "large", now).unwrap());
        for _ in 0..4 {
            now += Duration::from_millis(100);
            let small = push(&mut queue, "small", now).unwrap();
            queue.start(small, &ledger, now);
        }
        now += Duration::from_millis(100);
        queue.start(large.remove(0), &ledger, now);
    }
    push(&mut queue, "large", now).unwrap();
    // Two requests of the team wait: at 500 ms each, a third one would take 1.5 s or more.
    let third = push(&mut queue, "large", now);
    assert!(matches!(third, Err(QueueRefusal::Late { .. })), "{third:?}");
    assert!(push(&mut queue, "small", now).is_ok());
}

fn check_early_refusal(mean: Duration, waiting: u32, slots: u32, deadline: Duration, late: bool) {
    let (mut queue, now) = (WaitQueue::default(), Instant::now());
    let push = |queue: &mut WaitQueue, deadline: Duration| {
        let request = WaitRequest {
            service: service(),
            team: team("shop"),
            priority: 3,
            deadline: now + deadline,
        };
        queue.push(request, QUEUE, slots, now)
    };
    for _ in 0..waiting {
        push(&mut queue, Duration::from_secs(30)).unwrap();
    }
    queue.record_duration(&service(), mean);
    let refused = matches!(push(&mut queue, deadline), Err(QueueRefusal::Late { .. }));
    assert_eq!(refused, late);
}

test_cases! {
    fn check_early_refusal(
        mean: Duration, waiting: u32, slots: u32, deadline: Duration, late: bool
    );
    request_that_starts_in_time_waits:
        (Duration::from_millis(100), 3, 1, Duration::from_secs(1), false);
    request_that_would_miss_its_deadline_is_refused:
        (Duration::from_millis(100), 3, 1, Duration::from_millis(300), true);
    request_that_would_wait_too_long_is_refused:
        (Duration::from_secs(1), 3, 1, Duration::from_secs(30), true);
    more_slots_shorten_the_wait: (Duration::from_secs(1), 3, 4, Duration::from_secs(30), false);
}
