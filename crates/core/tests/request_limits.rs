//! Tests that the gateways of a fleet together keep the limits that targets name, and use them.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    sassafrasslip_core::dispatch::{
        DispatchQueue, FleetShare, LimitNews, RequestLimits, RequestRate, StartPace, WaitingRequest,
    },
    sassafrasslip_testkit::test_cases,
    std::time::Duration,
    tokio::time::Instant,
};

const TARGET: u32 = 7;
const STEP: Duration = Duration::from_millis(10);
const SPAN: Duration = Duration::from_secs(4);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_value(per_second).unwrap()
}

fn share(gateways: u32) -> FleetShare {
    FleetShare {
        gateways,
        draw: 0.5,
    }
}

/// Replays a target that names `limit` while each of the gateways has more requests for it than
/// that. The users allow one and a half times the limit and five requests in 4 s; less than half of
/// the limit would waste the target.
fn check_fleet(gateways: u32, limit: f64) {
    let mut random = StdRng::seed_from_u64(u64::from(gateways));
    let start = Instant::now();
    let mut fleet: Vec<_> = (0..gateways).map(|_| RequestLimits::default()).collect();
    for limits in &mut fleet {
        let share = FleetShare {
            gateways,
            draw: random.random(),
        };
        let news = LimitNews {
            limit: Some(rate(limit)),
            as_of: start,
        };
        assert!(limits.note(TARGET, news, share, start));
    }
    let mut starts = Vec::new();
    for step in 0..2_800 {
        let now = start + STEP * step;
        for limits in &mut fleet {
            if limits.admits(TARGET, now) {
                limits.record_start(TARGET, share(gateways), now);
                starts.push(now);
            }
        }
    }
    let allowed = 1.5 * limit * SPAN.as_secs_f64() + 5.0;
    for begin in &starts {
        let count = starts
            .iter()
            .filter(|at| *at >= begin && **at < *begin + SPAN);
        let count = count.count();
        assert!(count as f64 <= allowed, "{count} in 4 s, allowed {allowed}");
    }
    let used = starts.len() as f64 / 28.0;
    assert!(used >= limit / 2.0, "{used} of {limit} a second");
    assert!(used <= limit.max(0.2), "{used} of {limit} a second");
}

test_cases! {
    fn check_fleet(gateways: u32, limit: f64);
    one_gateway_and_a_low_limit: (1, 0.5);
    four_gateways_and_a_low_limit: (4, 2.4);
    four_gateways_and_a_high_limit: (4, 60.0);
    seventeen_gateways_and_a_low_limit: (17, 3.0);
    forty_gateways_and_a_low_limit: (40, 2.4);
    forty_gateways_and_a_high_limit: (40, 200.0);
    target_that_wants_nothing: (4, 0.0);
}

/// Each answer names the limit again. It must not make the gateway forget the spacing of the requests
/// that it has sent.
fn check_repeated_limit(limit: f64) {
    let start = Instant::now();
    let mut limits = RequestLimits::default();
    limits.record_answer(TARGET, Some(rate(limit)), start, share(1), start);
    let mut starts = Vec::new();
    for step in 1..2_800 {
        let now = start + STEP * step;
        if limits.admits(TARGET, now) {
            limits.record_start(TARGET, share(1), now);
            starts.push(now);
        }
        limits.record_answer(TARGET, Some(rate(limit)), now, share(1), now);
    }
    let allowed = 1.5 * limit * SPAN.as_secs_f64() + 5.0;
    for begin in &starts {
        let count = starts
            .iter()
            .filter(|at| *at >= begin && **at < *begin + SPAN);
        let count = count.count();
        assert!(count as f64 <= allowed, "{count} in 4 s, allowed {allowed}");
    }
}

test_cases! {
    fn check_repeated_limit(limit: f64);
    repeated_low_limit_is_kept: (2.4);
    repeated_high_limit_is_kept: (10.0);
}

/// A stream that the target began before it named its limit may arrive after the limit.
#[test]
fn answer_from_before_a_limit_does_not_end_it() {
    let start = Instant::now();
    let mut limits = RequestLimits::default();
    let named_at = start + STEP;
    assert!(limits.record_answer(TARGET, Some(rate(2.0)), start, share(1), named_at));
    let later = named_at + STEP;
    assert!(!limits.record_answer(TARGET, None, start, share(1), later));
    assert_eq!(limits.limit(TARGET, later), Some(rate(2.0)));
    assert!(limits.record_answer(TARGET, None, later, share(1), later + STEP));
    assert_eq!(limits.limit(TARGET, later + STEP), None);
    assert!(limits.admits(TARGET, later + STEP));
}

/// Without answers, nothing shows that a limit still holds.
#[test]
fn limit_without_news_is_forgotten() {
    let start = Instant::now();
    let mut limits = RequestLimits::default();
    limits.record_answer(TARGET, Some(rate(0.0)), start, share(1), start);
    let later = start + Duration::from_secs(31);
    assert_eq!(limits.limit(TARGET, later), None);
    limits.drop_outdated(later);
    assert!(limits.is_empty());
}

/// A gateway that has no requests for the target learns of the limit and of its end from its peers,
/// and does not pass them on as its own.
#[test]
fn limits_and_their_ends_reach_the_peers() {
    let start = Instant::now();
    let (mut first, mut second) = (RequestLimits::default(), RequestLimits::default());
    first.record_answer(TARGET, Some(rate(2.0)), start, share(2), start);
    let tell = |from: &RequestLimits, to: &mut RequestLimits, now| {
        for (target, news) in from.news(now) {
            to.note(target, news, share(2), now);
        }
    };
    tell(&first, &mut second, start);
    assert_eq!(second.limit(TARGET, start), Some(rate(2.0)));
    assert_eq!(second.news(start).count(), 0);
    let later = start + Duration::from_secs(1);
    first.record_answer(TARGET, None, later, share(2), later + STEP);
    tell(&first, &mut second, later + STEP);
    assert_eq!(second.limit(TARGET, later + STEP), None);
}

/// A limit that rises must not leave a gateway waiting for the long interval of the lower one.
#[test]
fn raised_limit_counts_at_once() {
    let start = Instant::now();
    let mut limits = RequestLimits::default();
    limits.record_answer(TARGET, Some(rate(0.1)), start, share(1), start);
    limits.record_start(TARGET, share(1), start);
    assert!(!limits.admits(TARGET, start + Duration::from_secs(1)));
    limits.record_answer(
        TARGET,
        Some(rate(10.0)),
        start + STEP,
        share(1),
        start + STEP,
    );
    assert!(limits.admits(TARGET, start + Duration::from_secs(1)));
}

/// Requests that the limits of all targets leave no time for are refused at once, in the order of
/// the queue, and told when there will be room.
#[test]
fn queue_refuses_what_the_limits_leave_no_time_for() {
    let start = Instant::now();
    let mut queue = DispatchQueue::default();
    let request = WaitingRequest {
        priority: 1,
        on_time_until: start + Duration::from_millis(300),
        start_until: start + Duration::from_secs(2),
        arrived_at: start,
        deadline: start + Duration::from_secs(3),
        can_return: true,
    };
    for _ in 0..20 {
        queue.push(request);
    }
    let pace = StartPace {
        next_at: start + Duration::from_millis(400),
        interval: Duration::from_millis(500),
    };
    let refused = queue.refuse_unservable(Some(pace), start);
    // Starts at 0.4, 0.9, 1.4 and 1.9 s are in time.
    assert_eq!((queue.len(), refused.len()), (4, 16));
    let delays = refused.iter().map(|(_, refusal)| refusal.retry_after);
    assert!(
        delays
            .into_iter()
            .all(|delay| delay >= Duration::from_secs(2))
    );
    let mut limits = RequestLimits::default();
    limits.record_answer(TARGET, Some(rate(2.0)), start, share(1), start);
    assert!(limits.pace([TARGET].into_iter(), share(1), start).is_some());
    assert_eq!(limits.pace([TARGET, 8].into_iter(), share(1), start), None);
}
