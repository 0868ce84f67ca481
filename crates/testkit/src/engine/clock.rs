//! Clock that runs the steps of a group.

use {
    super::group::EngineGroup,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Interval at which a group that cannot step checks again whether it can.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Steps the group until the process ends. A group also steps without requests, as real ones do, so
/// that it reaches the gate step of a map change.
pub async fn run(group: Arc<EngineGroup>) {
    let mut due = Instant::now();
    loop {
        let Some(duration) = group.begin_step() else {
            sleep(BLOCKED_POLL_INTERVAL).await;
            due = Instant::now();
            continue;
        };
        // The timer is coarse. Adding each duration to the time at which the last step was due, not
        // to the time at which the timer fired, keeps the mean step rate.
        due = (due + duration).max(Instant::now());
        sleep_until(due).await;
        group.end_step();
    }
}
