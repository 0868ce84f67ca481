//! Clock of an agent, which also notices when the process was paused.

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
    seen: Instant,
    seen_by_system: SystemTime,
    /// Time that the runtime's clock did not count because the whole machine was suspended.
    suspended: Duration,
    pause: Option<ClockPause>,
}

#[derive(Clone, Copy, Debug)]
struct ClockPause {
    end: Instant,
    length: Duration,
}

/// Clock that counts pauses of the process and of the machine. Clones share the state.
#[derive(Clone, Debug)]
pub struct AgentClock {
    state: Arc<Mutex<ClockState>>,
}

impl Default for AgentClock {
    fn default() -> Self {
        let state = ClockState {
            seen: Instant::now(),
            seen_by_system: SystemTime::now(),
            suspended: Duration::ZERO,
            pause: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl AgentClock {
    /// Returns the current time; time for which the machine was suspended is added.
    pub fn now(&self) -> Instant {
        self.look(Instant::now(), SystemTime::now())
    }

    /// Returns the deadline of a request that was read just now with this much time left.
    ///
    /// A frame that is read after a pause may have waited in the socket's buffer since the
    /// pause began, so the pause counts as waiting time.
    pub fn deadline(&self, remaining: Duration) -> Instant {
        let now = self.now();
        let waited = self.with(|state| state.backlog(now));
        (now + remaining.min(MAX_REMAINING_TIME))
            .checked_sub(waited)
            .unwrap_or(now)
    }

    /// Waits until a deadline by this clock.
    pub async fn sleep_until(&self, deadline: Instant) {
        sleep(deadline.saturating_duration_since(self.now())).await;
    }

    /// Looks for pauses until the process ends.
    pub async fn run(self) {
        loop {
            sleep(PAUSE_CHECK_INTERVAL).await;
            let _ = self.now();
        }
    }

    /// Looks at both clocks. Public for tests, which pass the times of a pause.
    #[doc(hidden)]
    pub fn look(&self, now: Instant, system: SystemTime) -> Instant {
        self.with(|state| state.look(now, system))
    }

    fn with<T>(&self, run: impl FnOnce(&mut ClockState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ClockState {
    fn look(&mut self, now: Instant, system: SystemTime) -> Instant {
        let gap = now.saturating_duration_since(self.seen);
        let system_gap = system.duration_since(self.seen_by_system).unwrap_or(gap);
        if system_gap > gap + PAUSE_THRESHOLD {
            self.suspended += system_gap - gap;
        }
        self.seen = self.seen.max(now);
        self.seen_by_system = system;
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

    fn backlog(&self, now: Instant) -> Duration {
        let recent = self
            .pause
            .filter(|pause| now.saturating_duration_since(pause.end) < PAUSE_BACKLOG);
        recent.map_or(Duration::ZERO, |pause| pause.length)
    }
}
