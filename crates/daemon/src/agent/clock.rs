//! Monotonic clock of an agent that accounts for pauses of the process and suspends of the machine.

use {
    crate::constants::{MAX_REMAINING_TIME, PAUSE_BACKLOG, PAUSE_CHECK_INTERVAL, PAUSE_THRESHOLD},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, SystemTime},
    },
    tokio::time::{Instant, sleep},
};

#[derive(Debug)]
struct ClockState {
    /// Latest reading of the monotonic clock.
    last_instant: Instant,
    last_system_time: SystemTime,
    /// Time that the monotonic clock did not count because the whole machine was suspended.
    suspended: Duration,
    /// Latest pause.
    pause: Option<ClockPause>,
}

#[derive(Clone, Copy, Debug)]
struct ClockPause {
    end: Instant,
    length: Duration,
}

/// Clock that also counts the time of machine suspends and detects pauses of the process. Clones
/// share the state.
#[derive(Clone, Debug)]
pub struct AgentClock {
    state: Arc<Mutex<ClockState>>,
}

impl Default for AgentClock {
    fn default() -> Self {
        let state = ClockState {
            last_instant: Instant::now(),
            last_system_time: SystemTime::now(),
            suspended: Duration::ZERO,
            pause: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl AgentClock {
    /// Returns the current time, including the time for which the machine was suspended.
    pub fn now(&self) -> Instant {
        self.observe(Instant::now(), SystemTime::now())
    }

    /// Returns the deadline of a request whose frame was just read and gives it `remaining` time,
    /// at most [`MAX_REMAINING_TIME`].
    ///
    /// A frame that is read shortly after a pause may have waited in the socket's buffer since the
    /// pause began, so the length of the pause is subtracted.
    pub fn deadline(&self, remaining: Duration) -> Instant {
        let now = self.now();
        let waited = self.with_state(|state| state.recent_pause(now));
        (now + remaining.min(MAX_REMAINING_TIME))
            .checked_sub(waited)
            .unwrap_or(now)
    }

    /// Waits until a deadline of this clock.
    pub async fn sleep_until(&self, deadline: Instant) {
        sleep(deadline.saturating_duration_since(self.now())).await;
    }

    /// Checks for pauses at [`PAUSE_CHECK_INTERVAL`] until the process ends.
    pub async fn run(self) {
        loop {
            sleep(PAUSE_CHECK_INTERVAL).await;
            let _ = self.now();
        }
    }

    /// Compares new readings of the monotonic and the system clock with the previous ones; returns
    /// the adjusted time. Public for tests, which simulate pauses by the times they pass.
    #[doc(hidden)]
    pub fn observe(&self, now: Instant, system: SystemTime) -> Instant {
        self.with_state(|state| state.observe(now, system))
    }

    fn with_state<T>(&self, run: impl FnOnce(&mut ClockState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ClockState {
    fn observe(&mut self, now: Instant, system: SystemTime) -> Instant {
        let gap = now.saturating_duration_since(self.last_instant);
        let system_gap = system.duration_since(self.last_system_time).unwrap_or(gap);
        if system_gap > gap + PAUSE_THRESHOLD {
            self.suspended += system_gap - gap;
        }
        self.last_instant = self.last_instant.max(now);
        self.last_system_time = system;
        let length = gap.max(system_gap);
        let adjusted = now + self.suspended;
        if length > PAUSE_THRESHOLD {
            self.pause = Some(ClockPause {
                end: adjusted,
                length,
            });
        }
        adjusted
    }

    /// Returns the length of the latest pause if it ended less than [`PAUSE_BACKLOG`] ago, else
    /// zero.
    fn recent_pause(&self, now: Instant) -> Duration {
        let recent = self
            .pause
            .filter(|pause| now.saturating_duration_since(pause.end) < PAUSE_BACKLOG);
        recent.map_or(Duration::ZERO, |pause| pause.length)
    }
}
