//! Decides whether a request waits or is refused during an outage of its service, while none of the
//! service's groups runs.
//!
//! Load pattern: an availability zone is cut off, and no request can be served for five seconds.
//! The caller of a stream leaves after two seconds without an event. A refused caller retries once,
//! at most a third of its remaining time after the refusal. With a deadline of 8 seconds, a request
//! that is refused at once can still be served if the group opens up to 4.6 seconds after the
//! request was sent, and its caller learns at once that it has to retry.
//!
//! The end of an outage is unknown. An outage of a given age lasts as long again with a probability
//! of one half, so a request waits as long as its latest start is at least that far away. When all
//! ranks answer again, the group is about to form, and the age of the outage counts from then.

use {super::dispatch_queue::WaitingRequest, std::time::Duration, tokio::time::Instant};

/// A refused caller retries after at most its remaining time divided by this number, even if it is
/// told to wait longer.
pub const RETRY_AFTER_DIVISOR: u32 = 3;

/// Decision on a request during an outage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutageStep {
    /// The request waits for a group to open.
    Wait,
    /// The request is refused; its caller may retry after this time.
    Refuse(Duration),
}

/// Decides on a request whose service has had no running group since `since`.
pub fn decide_during_outage(request: &WaitingRequest, since: Instant, now: Instant) -> OutageStep {
    let outage_age = now.saturating_duration_since(since);
    let time_to_start = request.start_until.saturating_duration_since(now);
    if time_to_start >= outage_age {
        return OutageStep::Wait;
    }
    // The latest possible retry is the most likely one to come after the outage.
    let remaining = request.deadline.saturating_duration_since(now);
    OutageStep::Refuse(remaining / RETRY_AFTER_DIVISOR)
}
