//! Choice between a kept channel and a new one for an attempt.

use {super::route_table::RepeatRule, std::time::Duration};

/// Longest idle time of a channel that is used again. Targets may drop idle channels without
/// notice; the shorter the idle time, the fewer requests meet a dropped one.
const LONGEST_IDLE: Duration = Duration::from_secs(4);

/// Time before the target's own idle timeout at which a channel is no longer used, so that a
/// request never crosses the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Request bodies above this size get a channel of their own, which is closed afterwards: a target
/// may answer before it has read a long body and then waits for the rest of it on the channel.
const KEPT_BODY_BYTES: usize = 16 * 1024;

/// Which channel an attempt uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChannelPlan {
    /// A kept channel that has been idle for at most this long, else a new one.
    Kept {
        /// Longest idle time.
        longest_idle: Duration,
    },
    /// A new channel, closed after the answer.
    Own,
}

/// Plans the channel of an attempt. A request that may not be repeated gets a channel of its own:
/// a kept one may be reset or carry a late answer of an earlier request, and whether the request
/// has run would then be unknown.
pub fn plan_channel(repeat: RepeatRule, body_bytes: usize) -> ChannelPlan {
    if !repeat.is_repeatable() || body_bytes > KEPT_BODY_BYTES {
        return ChannelPlan::Own;
    }
    ChannelPlan::Kept {
        longest_idle: LONGEST_IDLE,
    }
}

/// Returns how long a channel may stay idle, given the timeout that the target has announced.
pub fn idle_limit(announced: Option<Duration>) -> Duration {
    let announced = announced.map(|timeout| timeout.saturating_sub(IDLE_MARGIN));
    announced.map_or(LONGEST_IDLE, |limit| limit.min(LONGEST_IDLE))
}
