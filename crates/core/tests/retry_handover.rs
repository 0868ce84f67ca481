//! Guards against retries beyond the budget after restarts: a process that starts must not use what
//! the previous process of its gateway has used already, nor a part that the others still use.
//!
//! Replays a fleet of gateways that report to each other while all targets of a service fail and
//! gateways are killed one after the other.

use {
    sassafrasslip_core::{
        dispatch::{
            PeerReport, PeerTable, PreviousUsage, RetryAllowance, RetryBudgets, RetryHandover,
            RetryRule, RetryUsage, UsageReport,
        },
        ids::ServiceName,
    },
    sassafrasslip_testkit::{retry_excess::retry_excess, test_cases},
    std::{net::Ipv4Addr, time::Duration},
    tokio::time::Instant,
};

const RULE: RetryRule = RetryRule {
    window: Duration::from_secs(10),
    ratio: 0.2,
    fixed: 94.0,
};

const STEP: Duration = Duration::from_millis(10);

/// Steps between two reports of a gateway.
const REPORT_STEPS: u32 = 10;

/// Steps between two requests to a gateway.
const REQUEST_STEPS: u32 = 6;

/// Time from the end of a process to the start of the next one.
const DOWN_TIME: Duration = Duration::from_millis(500);

fn service() -> ServiceName {
    "orders".parse().unwrap()
}

fn address(gateway: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, gateway as u8 + 1)
}

struct ReplayedGateway {
    incarnation: u64,
    sequence: u64,
    starts_at: Instant,
    budgets: RetryBudgets,
    handover: RetryHandover,
}

impl ReplayedGateway {
    fn start(incarnation: u64, is_first_start: bool, starts_at: Instant) -> Self {
        Self {
            incarnation,
            sequence: 0,
            starts_at,
            budgets: RetryBudgets::new(RULE, is_first_start, starts_at),
            handover: RetryHandover::new(RULE.window),
        }
    }

    fn report(&mut self, now: Instant) -> UsageReport {
        self.sequence += 1;
        UsageReport {
            incarnation: self.incarnation,
            sequence: self.sequence,
            has_part: self.budgets.has_part(now),
            services: self.budgets.usage(now),
        }
    }
}

/// Sends the report of a gateway to all others that run.
fn send_report(fleet: &mut [ReplayedGateway], sender: usize, now: Instant) {
    let report = fleet[sender].report(now);
    let news = fleet[sender].handover.news(now);
    let news: Vec<(Ipv4Addr, PreviousUsage)> = news
        .map(|(address, previous)| (address, previous.clone()))
        .collect();
    let gateways = fleet.len() as u32;
    for (index, gateway) in fleet.iter_mut().enumerate() {
        if index == sender || now < gateway.starts_at {
            continue;
        }
        for (_, previous) in news.iter().filter(|(to, _)| *to == address(index)) {
            gateway.budgets.take_over(previous, now);
        }
        let (from, report) = (address(sender), report.clone());
        gateway.handover.record(from, report, gateways, now);
    }
}

/// Ends `at_once` of the gateways in each interval, one group after the other.
fn check_kills(gateways: usize, at_once: usize, interval: Duration) {
    let start = Instant::now();
    let mut fleet: Vec<_> = (0..gateways)
        .map(|index| ReplayedGateway::start(index as u64, true, start))
        .collect();
    let (mut first_tries, mut retries) = (Vec::new(), Vec::new());
    let (mut next_kill, mut next_gateway, mut incarnation) = (start + interval, 0, 100);
    for step in 0..2_500 {
        let now = start + STEP * step;
        if now >= next_kill {
            next_kill += interval;
            for _ in 0..at_once {
                incarnation += 1;
                let next = ReplayedGateway::start(incarnation, false, now + DOWN_TIME);
                fleet[next_gateway] = next;
                next_gateway = (next_gateway + 1) % gateways;
            }
        }
        for index in 0..gateways {
            let offset = index as u32;
            let gateway = &mut fleet[index];
            if now < gateway.starts_at {
                continue;
            }
            if (step + offset).is_multiple_of(REQUEST_STEPS) {
                first_tries.push(now);
                gateway.budgets.record_first_try(&service(), now);
                let known = gateways as u32;
                if gateway.budgets.try_spend(&service(), known, now) {
                    retries.push(now);
                }
            }
            if (step + offset).is_multiple_of(REPORT_STEPS) {
                send_report(&mut fleet, index, now);
            }
        }
    }
    let excess = retry_excess(RULE, &first_tries, &retries);
    assert!(excess <= 0.0, "{excess:.1} retries above the budget");
    assert!(retries.len() > 200, "{} retries", retries.len());
}

test_cases! {
    fn check_kills(gateways: usize, at_once: usize, interval: Duration);
    budget_is_used_again_after_each_kill: (4, 1, Duration::from_millis(700));
    budget_is_used_again_after_kills_of_half_of_the_gateways: (4, 2, Duration::from_millis(1_200));
    budget_is_used_again_after_kills_of_all_gateways: (4, 4, Duration::from_millis(2_000));
    budget_is_used_again_in_a_large_fleet: (13, 5, Duration::from_millis(700));
}

fn usage(first_tries: &[u32], retries: &[u32]) -> RetryUsage {
    RetryUsage {
        first_tries: first_tries.to_vec(),
        retries: retries.to_vec(),
    }
}

fn report(incarnation: u64, sequence: u64, has_part: bool, retries: u32) -> UsageReport {
    let services = match retries {
        0 => Vec::new(),
        retries => vec![(service(), usage(&[], &[retries]))],
    };
    UsageReport {
        incarnation,
        sequence,
        has_part,
        services,
    }
}

/// Returns the retries that are handed to the next process of the gateway; `None` if there is no
/// news of it.
fn handed_over(handover: &RetryHandover, now: Instant) -> Option<u32> {
    let mut news = handover.news(now);
    let (_, previous) = news.find(|(to, _)| *to == address(0))?;
    let retries = previous
        .services
        .iter()
        .flat_map(|(_, usage)| &usage.retries);
    Some(retries.sum())
}

/// Records reports of one gateway, one each 100 ms, and checks what is handed over then.
fn check_handover(reports: Vec<UsageReport>, expected: Option<u32>) {
    let mut now = Instant::now();
    let mut handover = RetryHandover::new(RULE.window);
    for report in reports {
        now += Duration::from_millis(100);
        handover.record(address(0), report, 4, now);
    }
    assert_eq!(handed_over(&handover, now), expected);
    assert_eq!(handed_over(&handover, now + RULE.window), None);
}

test_cases! {
    fn check_handover(reports: Vec<UsageReport>, expected: Option<u32>);
    running_process_needs_no_news: (vec![report(1, 1, true, 7), report(1, 2, true, 9)], None);
    use_of_the_previous_process_is_forgotten:
        (vec![report(1, 1, true, 7), report(2, 1, false, 0)], Some(7));
    gateway_without_retries_waits_for_its_part:
        (vec![report(1, 1, true, 0), report(2, 1, false, 0)], Some(0));
    process_that_counts_the_use_is_told_again:
        (vec![report(1, 1, true, 7), report(2, 1, false, 0), report(2, 2, true, 7)], None);
    use_is_forgotten_when_a_process_ends_before_it_is_told:
        (vec![report(1, 1, true, 7), report(2, 1, false, 2), report(3, 1, false, 0)], Some(9));
    late_report_of_the_previous_process_counts:
        (vec![report(1, 1, true, 7), report(2, 1, false, 0), report(1, 2, true, 1)], Some(7));
    older_report_replaces_a_newer_one:
        (vec![report(1, 5, true, 7), report(1, 4, true, 1), report(2, 1, false, 0)], Some(7));
    gateway_at_a_new_address_gets_a_part_early:
        (vec![report(1, 1, false, 3), report(2, 1, false, 0)], None);
}

/// A gateway without news of its previous process must not use a part that the others use until
/// they have counted it for a window.
#[test]
fn process_without_news_has_no_part_for_a_window() {
    let start = Instant::now();
    let mut budgets = RetryBudgets::new(RULE, false, start);
    let before = start + RULE.window - STEP;
    assert!(!budgets.try_spend(&service(), 1, before));
    assert!(budgets.try_spend(&service(), 1, start + RULE.window));
}

fn peer_report(incarnation: u64) -> PeerReport {
    PeerReport {
        incarnation,
        sequence: 1,
        availability_zone: None,
        loads: Vec::new(),
        leaving: false,
        settled: false,
        interval: Duration::from_millis(100),
    }
}

/// A process that starts knows few gateways at first, and would take a larger part than its own.
#[test]
fn process_that_starts_divides_by_the_number_of_gateways_that_it_is_told() {
    let start = Instant::now();
    let mut budgets = RetryBudgets::new(RULE, false, start);
    let mut peers = PeerTable::default();
    peers.record(address(1), peer_report(1), start);
    let previous = PreviousUsage {
        as_of: start,
        gateways: 4,
        services: Vec::new(),
    };
    assert!(budgets.take_over(&previous, start));
    // A peer that has started too may name fewer gateways.
    for gateways in [previous.gateways, 2] {
        peers.note_sharing(gateways, budgets.starts_until());
    }
    let gateways = peers.sharing_gateways(start);
    let retries = (0..100).filter(|_| budgets.try_spend(&service(), gateways, start));
    assert!(retries.count() as f64 <= RULE.fixed / 4.0);
    assert_eq!(peers.sharing_gateways(start + RULE.window), 2);
}

/// A peer that has heard the previous process last must be believed, in whatever order news arrive.
fn check_latest_news(ages_ms: &[u64], expected: usize) {
    let now = Instant::now() + RULE.window;
    let mut budgets = RetryBudgets::new(RULE, false, now);
    for age in ages_ms {
        let previous = PreviousUsage {
            as_of: now - Duration::from_millis(*age),
            gateways: 4,
            services: vec![(service(), usage(&[], &[*age as u32]))],
        };
        budgets.take_over(&previous, now);
    }
    assert_eq!(budgets.status(&service(), 4, now).used, expected);
}

test_cases! {
    fn check_latest_news(ages_ms: &[u64], expected: usize);
    later_news_replace_earlier_ones: (&[900, 500], 500);
    earlier_news_replace_later_ones: (&[500, 900], 500);
    same_news_count_twice: (&[500, 500, 499], 500);
}

/// Counts of a faulty peer must neither end the process nor allow retries for longer than a window.
#[test]
fn counts_of_any_size_are_taken_over() {
    let start = Instant::now();
    let mut allowance = RetryAllowance::new(RULE.window, RULE.ratio, RULE.fixed);
    let counts = [u32::MAX; 40];
    for as_of in [start, start + STEP] {
        let mut usage = usage(&[], &counts);
        usage.add(&usage.clone());
        allowance.take_over(&usage, as_of);
        let reported = allowance.usage(as_of + STEP).unwrap();
        allowance.take_over(&reported, as_of + STEP);
    }
    assert!(!allowance.try_spend(Some(1), start + STEP));
    let later = start + RULE.window + STEP * 3;
    assert!(allowance.try_spend(Some(1), later));
}

/// Where intervals leave it open, what is taken over must not allow more than the window does.
#[test]
fn usage_in_intervals_counts_at_least_the_retries_of_the_window() {
    let start = Instant::now();
    let new = || RetryAllowance::new(RULE.window, RULE.ratio, RULE.fixed);
    let (mut previous, mut next) = (new(), new());
    for step in 0..900 {
        let now = start + STEP * step;
        previous.record_first_try(now);
        if step % 37 == 0 {
            previous.try_spend(Some(1), now);
        }
    }
    let as_of = start + STEP * 900;
    let usage = previous.usage(as_of).unwrap();
    next.take_over(&usage, as_of);
    for step in 0..1_100 {
        let now = as_of + STEP * step;
        let (known, taken) = (previous.status(Some(1), now), next.status(Some(1), now));
        assert!(taken.used >= known.used, "{taken:?}, {known:?}");
        assert!(taken.allowed <= known.allowed, "{taken:?}, {known:?}");
    }
    assert!(next.usage(as_of + RULE.window + STEP).is_none());
}
