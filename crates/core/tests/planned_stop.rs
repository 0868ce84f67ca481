//! Guards against requests that a stopping gateway takes and cannot end, and against those that it
//! refuses although it could have served them.

use {
    sassafrasslip_core::dispatch::{DurationEstimate, RepeatRule, StopPlan, StoppingRequest},
    sassafrasslip_testkit::test_cases,
    std::time::Duration,
    tokio::time::{Instant, advance},
};

const GRACE: Duration = Duration::from_secs(8);

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Returns an estimate from many requests that take `usual_ms`.
fn estimate(usual_ms: u64) -> DurationEstimate {
    let mut estimate = DurationEstimate::new(milliseconds(usual_ms));
    for _ in 0..100 {
        estimate.record(milliseconds(usual_ms));
    }
    estimate
}

async fn check_request(
    repeat: RepeatRule,
    (at_ms, timeout_ms): (u64, u64),
    usual_ms: Option<u64>,
    expected: bool,
) {
    tokio::time::pause();
    let plan = StopPlan::new(Instant::now(), GRACE);
    advance(milliseconds(at_ms)).await;
    let now = Instant::now();
    let request = StoppingRequest {
        deadline: now + milliseconds(timeout_ms),
        repeat,
        usual: usual_ms.map(estimate),
    };
    assert_eq!(plan.serves(&request, now), expected);
}

const LONG: u64 = 12_000;
const ONCE: RepeatRule = RepeatRule::Once;
const SAFE: RepeatRule = RepeatRule::Repeatable;
const STREAM: RepeatRule = RepeatRule::Stream;
const RESUMABLE: RepeatRule = RepeatRule::ResumableStream;

test_cases! {
    async fn check_request(repeat: RepeatRule, time: (u64, u64), usual_ms: Option<u64>, expected: bool);
    early_unsafe_request_of_usual_length: (ONCE, (500, LONG), Some(300), true);
    early_unsafe_request_of_unknown_length: (ONCE, (500, LONG), None, true);
    early_stream_of_usual_length: (STREAM, (500, LONG), Some(3_000), true);
    early_stream_that_usually_takes_too_long: (STREAM, (2_500, LONG), Some(6_000), false);
    stream_on_the_last_new_connection: (STREAM, (2_900, LONG), Some(1_500), true);
    late_unsafe_request_with_a_deadline_in_time: (ONCE, (3_000, 4_000), None, true);
    late_unsafe_request_of_usual_length: (ONCE, (3_000, LONG), Some(300), false);
    late_stream_that_cannot_be_resumed: (STREAM, (3_000, LONG), Some(1_000), false);
    late_safe_request_of_usual_length: (SAFE, (3_000, LONG), Some(300), true);
    late_safe_request_of_unknown_length: (SAFE, (3_000, LONG), None, false);
    late_safe_request_that_usually_takes_too_long: (SAFE, (6_000, LONG), Some(2_000), false);
    late_resumable_stream_of_usual_length: (RESUMABLE, (4_000, LONG), Some(2_000), true);
    late_resumable_stream_that_usually_takes_too_long: (RESUMABLE, (5_000, LONG), Some(4_000), false);
    request_at_the_end: (SAFE, (7_500, 100), Some(1), false);
}

/// Guards against an estimate that leaves out the longer half of requests of unequal length.
#[test]
fn longest_duration_covers_unequal_requests() {
    let mut estimate = DurationEstimate::new(milliseconds(2_000));
    for _ in 0..100 {
        estimate.record(milliseconds(1_000));
        estimate.record(milliseconds(3_000));
    }
    assert!(estimate.longest() >= milliseconds(3_000));
    assert!(estimate.mean() <= milliseconds(2_500));
}

/// Guards against answers that are sent after the process has been killed.
#[test]
fn answers_are_due_before_the_end() {
    let now = Instant::now();
    for grace in [Duration::ZERO, milliseconds(500), GRACE] {
        let plan = StopPlan::new(now, grace);
        assert!(now <= plan.answer_until());
        assert!(plan.answer_until() <= plan.ends_at());
        assert!(plan.ends_at() <= now + grace);
    }
    let plan = StopPlan::new(now, GRACE);
    assert!(plan.answer_until() < plan.ends_at());
}
