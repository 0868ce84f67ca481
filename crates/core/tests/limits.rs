//! Tests team limits, and the fairness and early refusals of the wait queue.

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
    let (mut limiter, start) = (TeamLimiter::default(), Instant::now());
    let shop = team("shop");
    let mut admitted = 0;
    for now in [start, start + after] {
        for _ in 0..tries {
            if limiter.admit(&shop, LIMITS, now).is_ok() {
                admitted += 1;
                if ends_each {
                    limiter.release(&shop);
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
    unused_rate_does_not_accumulate: (20, true, Duration::from_secs(60), 20);
}

#[test]
fn one_team_does_not_use_up_the_limit_of_another() {
    let (mut limiter, now) = (TeamLimiter::default(), Instant::now());
    while limiter.admit(&team("large"), LIMITS, now).is_ok() {}
    assert_eq!(limiter.admit(&team("small"), LIMITS, now), Ok(()));
}

#[test]
fn team_with_usage_at_peers_is_admitted() {
    let (mut limiter, now) = (TeamLimiter::default(), Instant::now());
    limiter.set_peer_usage([(team("shop"), 2), (team("shop"), 3)], now);
    assert_eq!(limiter.admit(&team("shop"), LIMITS, now), Ok(()));
    assert_eq!(limiter.fleet_in_flight(&team("shop")), 6);
    limiter.set_peer_usage([], now);
    assert_eq!(limiter.fleet_in_flight(&team("shop")), 1);
}

#[test]
fn refusal_says_when_the_rate_allows_the_next_request() {
    let (mut limiter, now) = (TeamLimiter::default(), Instant::now());
    let shop = team("shop");
    for _ in 0..LIMITS.rate {
        limiter.admit(&shop, LIMITS, now).unwrap();
        limiter.release(&shop);
    }
    let refused = limiter.admit(&shop, LIMITS, now);
    let Err(TeamRefusal::Rate { retry_after }) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(limiter.admit(&shop, LIMITS, now + retry_after), Ok(()));
}

#[test]
fn names_of_idle_teams_are_removed() {
    let (mut limiter, start) = (TeamLimiter::default(), Instant::now());
    for number in 0..20_000 {
        let now = start + Duration::from_millis(number);
        let name = team(&format!("team-{number}"));
        limiter.admit(&name, LIMITS, now).unwrap();
        limiter.release(&name);
    }
    assert!(format!("{limiter:?}").matches("TeamName(").count() < 10_000);
}

const QUEUE: QueueLimits = QueueLimits {
    length: 6,
    wait: Duration::from_secs(2),
};

/// Queue with the limiter of the teams, and the names of the requests that were pushed.
struct TestQueue {
    queue: WaitQueue,
    limiter: TeamLimiter,
    names: HashMap<TicketKey, String>,
    now: Instant,
}

impl TestQueue {
    fn new() -> Self {
        Self {
            queue: WaitQueue::default(),
            limiter: TeamLimiter::default(),
            names: HashMap::new(),
            now: Instant::now(),
        }
    }

    /// Queues a request named `team-priority-number`; returns the name of the one displaced.
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
        self.queue.start(ticket, &self.limiter, self.now);
        Some(self.names[&ticket].clone())
    }
}

fn check_order(pushed: &[&str], expected: &[&str]) {
    let mut test_queue = TestQueue::new();
    for name in pushed {
        test_queue.push(name).unwrap();
    }
    let order: Vec<_> = std::iter::from_fn(|| test_queue.pop()).collect();
    assert_eq!(order, expected);
    assert!(test_queue.queue.is_empty());
}

test_cases! {
    fn check_order(pushed: &[&str], expected: &[&str]);
    requests_of_one_team_start_in_order:
        (&["a-3-1", "a-3-2", "a-3-3"], &["a-3-1", "a-3-2", "a-3-3"]);
    urgent_request_goes_before_others_of_its_team: (&["a-3-1", "a-1-2"], &["a-1-2", "a-3-1"]);
    teams_take_turns:
        (&["a-3-1", "a-3-2", "a-3-3", "b-3-1"], &["a-3-1", "b-3-1", "a-3-2", "a-3-3"]);
    urgent_requests_do_not_starve_another_team:
        (&["a-0-1", "a-0-2", "a-0-3", "b-7-1"], &["a-0-1", "b-7-1", "a-0-2", "a-0-3"]);
}

#[test]
fn team_with_usage_at_peers_gets_fewer_turns() {
    let mut test_queue = TestQueue::new();
    test_queue.push("a-3-1").unwrap();
    test_queue.push("a-3-2").unwrap();
    for number in 1..5 {
        test_queue.push(&format!("b-3-{number}")).unwrap();
    }
    test_queue
        .limiter
        .set_peer_usage([(team("a"), 2)], test_queue.now);
    let order: Vec<_> = std::iter::from_fn(|| test_queue.pop()).collect();
    // With two requests in flight at peers, a turn of team `a` weighs as much as three of team `b`.
    assert_eq!(
        order,
        ["a-3-1", "b-3-1", "b-3-2", "b-3-3", "a-3-2", "b-3-4"]
    );
}

#[test]
fn request_without_a_suitable_target_does_not_block_others() {
    let mut test_queue = TestQueue::new();
    test_queue.push("a-1-1").unwrap();
    test_queue.push("a-3-2").unwrap();
    let first = test_queue.queue.peek(&service(), &[]).unwrap();
    let second = test_queue.queue.peek(&service(), &[first]).unwrap();
    assert_eq!(test_queue.names[&second], "a-3-2");
}

#[test]
fn full_queue_displaces_a_request_of_the_largest_team() {
    let mut test_queue = TestQueue::new();
    for number in 0..5 {
        test_queue.push(&format!("large-3-{number}")).unwrap();
    }
    test_queue.push("large-1-5").unwrap();
    assert_eq!(test_queue.push("large-0-6"), Err(QueueRefusal::QueueFull));
    // The least urgent and newest request of the team with the most waiting requests is displaced.
    assert_eq!(
        test_queue.push("small-3-1"),
        Ok(Some("large-3-4".to_owned()))
    );
    assert_eq!(test_queue.queue.len(), QUEUE.length);
}

#[test]
fn long_queue_of_one_team_does_not_refuse_another() {
    let mut test_queue = TestQueue::new();
    test_queue
        .queue
        .record_duration(&service(), Duration::from_millis(400));
    for number in 0..3 {
        test_queue.push(&format!("large-3-{number}")).unwrap();
    }
    let pushed = test_queue.push("large-3-3");
    assert!(
        matches!(pushed, Err(QueueRefusal::Late { .. })),
        "{pushed:?}"
    );
    assert_eq!(test_queue.push("small-3-1"), Ok(None));
}

#[test]
fn pace_accounts_for_slots_that_other_entries_take() {
    let mut test_queue = TestQueue::new();
    test_queue
        .queue
        .record_duration(&service(), Duration::from_millis(1));
    for number in 0..5 {
        test_queue.push(&format!("a-3-{number}")).unwrap();
    }
    for _ in 0..3 {
        test_queue.now += Duration::from_millis(600);
        test_queue.pop();
    }
    let pushed = test_queue.push("a-3-9");
    assert!(
        matches!(pushed, Err(QueueRefusal::Late { .. })),
        "{pushed:?}"
    );
}

/// Starts ten requests at a fixed pace while four others wait, which then have `remaining` until
/// their deadline. `expected` is the number of them that the queue refuses.
fn check_late(pace: Duration, remaining: Duration, expected: usize) {
    let (mut queue, limiter) = (WaitQueue::default(), TeamLimiter::default());
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
        queue.start(*ticket, &limiter, start + pace * number);
    }
    let refused = queue.remove_late(now);
    assert_eq!(refused.len(), expected);
    assert_eq!(queue.len(), 4 - expected);
    assert_eq!(queue.remove_late(now), []);
}

test_cases! {
    fn check_late(pace: Duration, remaining: Duration, expected: usize);
    requests_that_can_start_in_time_keep_waiting:
        (Duration::from_millis(100), Duration::from_millis(450), 0);
    requests_that_cannot_start_in_time_are_refused:
        (Duration::from_millis(100), Duration::from_millis(250), 2);
    all_requests_are_refused_at_a_slow_pace:
        (Duration::from_millis(400), Duration::from_millis(250), 4);
}

#[test]
fn pace_of_a_team_accounts_for_starts_of_other_teams() {
    let (mut queue, limiter) = (WaitQueue::default(), TeamLimiter::default());
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
    // Four of five starts go to a team that never waits long; the large team always waits.
    for _ in 0..12 {
        large.push(push(&mut queue, "large", now).unwrap());
        for _ in 0..4 {
            now += Duration::from_millis(100);
            let small = push(&mut queue, "small", now).unwrap();
            queue.start(small, &limiter, now);
        }
        now += Duration::from_millis(100);
        queue.start(large.remove(0), &limiter, now);
    }
    push(&mut queue, "large", now).unwrap();
    // Two requests of the large team wait, and one starts every 500 ms: a third one would wait for
    // 1.5 s or more.
    let third = push(&mut queue, "large", now);
    assert!(matches!(third, Err(QueueRefusal::Late { .. })), "{third:?}");
    assert!(push(&mut queue, "small", now).is_ok());
}

fn check_early_refusal(
    mean: Duration,
    waiting: u32,
    slots: u32,
    deadline: Duration,
    expected: bool,
) {
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
    assert_eq!(refused, expected);
}

test_cases! {
    fn check_early_refusal(
        mean: Duration, waiting: u32, slots: u32, deadline: Duration, expected: bool
    );
    request_that_starts_in_time_waits:
        (Duration::from_millis(100), 3, 1, Duration::from_secs(1), false);
    request_that_would_miss_its_deadline_is_refused:
        (Duration::from_millis(100), 3, 1, Duration::from_millis(300), true);
    request_that_would_wait_too_long_is_refused:
        (Duration::from_secs(1), 3, 1, Duration::from_secs(30), true);
    more_slots_shorten_the_wait: (Duration::from_secs(1), 3, 4, Duration::from_secs(30), false);
}
