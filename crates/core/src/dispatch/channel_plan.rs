//! Choice between an idle channel and a new one for an attempt. A channel is a connection to a
//! target that carries one request at a time.

use {super::route_table::RepeatRule, std::time::Duration};

/// Longest idle time after which a channel is used again. Targets may drop idle channels without
/// notice; the shorter the idle time, the fewer requests are sent on a dropped channel.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Time before the target's idle timeout from which on a channel is no longer used, so that a
/// request is not sent while the target closes the channel.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Longest request body, in bytes, that is sent on a kept channel. A longer one gets a new channel
/// that is closed after the answer, because the target may answer before it has read the whole body
/// and then wait for the rest of it on the channel.
const MAX_KEPT_BODY_BYTES: usize = 16 * 1024;

/// Kind of channel that an attempt uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChannelPlan {
    /// An idle channel if there is one, else a new one. It is kept open after the answer.
    Kept {
        /// Longest idle time after which a channel may be used again.
        longest_idle: Duration,
    },
    /// A new channel, which is closed after the answer.
    SingleUse,
}

/// Returns the kind of channel for an attempt, given the rule and the body size of its request, and
/// whether it has an id. A request that may not be repeated gets a new channel: a kept one may be
/// reset or carry a late answer to an earlier request, and then it would be unknown whether the
/// request has run. Without an id, such an answer could not be told from the request's own.
pub fn plan_channel(repeat: RepeatRule, body_bytes: usize, has_id: bool) -> ChannelPlan {
    if !repeat.is_repeatable() || body_bytes > MAX_KEPT_BODY_BYTES || !has_id {
        return ChannelPlan::SingleUse;
    }
    ChannelPlan::Kept {
        longest_idle: MAX_IDLE,
    }
}

/// Returns how long a channel may stay idle, given the idle timeout that the target has announced,
/// if any.
pub fn idle_limit(announced: Option<Duration>) -> Duration {
    let announced = announced.map(|timeout| timeout.saturating_sub(IDLE_MARGIN));
    announced.map_or(MAX_IDLE, |limit| limit.min(MAX_IDLE))
}
