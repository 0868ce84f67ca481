//! What becomes of requests while no group of their service runs.
//!
//! Load pattern: a zone is cut off, and for five seconds nobody can be served. The caller of a
//! stream leaves after two seconds without an event, and comes back once, at most a third of its
//! remaining time after a refusal. A request that is refused at once is still there when the group
//! opens up to 4.6 of its 8 seconds after it was sent, and its caller knows where it stands.
//!
//! Nobody knows the end of an outage. One that has lasted for some time lasts as long again with
//! even odds, and a request waits while the odds are with it. When all ranks answer again the group
//! is about to form, and the clock starts anew.

use {super::waiting_line::LineEntry, std::time::Duration, tokio::time::Instant};

/// Part of the time left at which a caller comes back at the latest, however late it is told to.
const LATEST_RETURN_SHARE: u32 = 3;

/// What becomes of a request for now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutageStep {
    /// It waits.
    Wait,
    /// It is refused, and its caller may come back after this time.
    Refuse(Duration),
}

/// Decides on a request whose service has no group that runs, since `since`.
pub fn decide_during_outage(entry: &LineEntry, since: Instant, now: Instant) -> OutageStep {
    let lasted = now.saturating_duration_since(since);
    let can_wait = entry.start_until.saturating_duration_since(now);
    if can_wait >= lasted {
        return OutageStep::Wait;
    }
    // The latest return reaches furthest into the time after the outage.
    let left = entry.deadline.saturating_duration_since(now);
    OutageStep::Refuse(left / LATEST_RETURN_SHARE)
}
