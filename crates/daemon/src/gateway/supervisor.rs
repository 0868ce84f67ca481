//! Runs the background tasks of a gateway, and starts a task again that has ended.
//!
//! Load pattern: an input that nobody expected makes a task panic. The process goes on, and without
//! the task it would work with an old configuration, list of targets or view of its peers for good.

use {
    sassafrasslip_core::{events::LogEvent::TaskEnded, log_event},
    std::{future::Future, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep},
    },
};

/// Pause before a task starts again. It doubles with each end, up to the longest one: the cause may
/// still be there, and the calls of some tasks are billed.
const SHORTEST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Time that a task must have run for the next pause to be the shortest one again.
const STABLE_TIME: Duration = Duration::from_secs(60);

/// Spawns a task that runs until the process ends. Each time it returns or panics, that is logged,
/// and the task is started again after a pause, with nothing of its own state left.
pub fn supervise<S, F>(shared: &S, task: &'static str, mut start: impl FnMut(S) -> F + 'static)
where
    S: Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let shared = shared.clone();
    spawn_local(async move {
        let mut pause = SHORTEST_PAUSE;
        loop {
            let started_at = Instant::now();
            let ended = spawn_local(start(shared.clone())).await;
            if started_at.elapsed() >= STABLE_TIME {
                pause = SHORTEST_PAUSE;
            }
            let cause = ended.map_or_else(|error| error.to_string(), |()| "returned".to_owned());
            log_event!(
                TaskEnded,
                task = task,
                cause = cause,
                pause_ms = pause.as_millis()
            );
            sleep(pause).await;
            pause = LONGEST_PAUSE.min(pause * 2);
        }
    });
}
