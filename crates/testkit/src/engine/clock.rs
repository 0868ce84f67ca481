//! Step clock of a group.

use {
    super::group::EngineGroup,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Interval at which a group that cannot step looks again.
const BLOCKED_POLL: Duration = Duration::from_millis(1);

/// Steps the group until the process ends. Groups also step without requests, as real ones do, so
/// that gates are reached.
pub async fn run(group: Arc<EngineGroup>) {
    let mut due = Instant::now();
    loop {
        let Some(duration) = group.begin_step() else {
            sleep(BLOCKED_POLL).await;
            due = Instant::now();
            continue;
        };
        // The timer is coarse; counting from the due time keeps the mean rate.
        due = (due + duration).max(Instant::now());
        sleep_until(due).await;
        group.end_step();
    }
}
