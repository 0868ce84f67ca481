//! Time that a caller has for the next request on its connection, which follows the configuration.

use {
    hyper::rt::{Sleep, Timer},
    sassafrasslip_core::dispatch::CallerLimits,
    std::{
        future::Future,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
        time,
    },
    tokio::time::{Duration, Instant, sleep_until},
};

/// Longest time from the end of a response, or the start of a connection, to the end of the next
/// request head. Clones share the value.
#[derive(Clone, Debug)]
pub struct HeadTimeout {
    values: Arc<Mutex<TimeoutValues>>,
}

#[derive(Clone, Copy, Debug)]
struct TimeoutValues {
    configured: Duration,
    /// Longer value that was lowered, and until when it stays in force.
    earlier: Option<(Duration, Instant)>,
}

impl TimeoutValues {
    fn in_force(&self, now: Instant) -> Duration {
        let earlier = self.earlier.filter(|(_, until)| now < *until);
        earlier.map_or(self.configured, |(longer, _)| longer.max(self.configured))
    }
}

impl HeadTimeout {
    /// Creates the timeout with its first value.
    pub fn new(timeout: Duration) -> Self {
        let values = TimeoutValues {
            configured: timeout,
            earlier: None,
        };
        Self {
            values: Arc::new(Mutex::new(values)),
        }
    }

    /// Returns the value in force.
    pub fn get(&self) -> Duration {
        self.lock().in_force(Instant::now())
    }

    /// Changes the value to that of `limits`. A longer one holds at once, for connections that are
    /// already idle too. A shorter one holds after `delay`, for connections that become idle then:
    /// callers that do not know the change yet use their connections as before.
    pub fn apply(&self, limits: &CallerLimits, delay: Duration) {
        // A connection may be idle for the idle timeout before its next request head, which may then
        // take the header timeout.
        let timeout = limits.header_timeout + limits.idle_timeout;
        let now = Instant::now();
        let mut values = self.lock();
        if timeout < values.configured {
            values.earlier = Some((values.in_force(now), now + delay));
        }
        values.configured = timeout;
    }

    fn lock(&self) -> MutexGuard<'_, TimeoutValues> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Timer for [`header_read_timeout`](hyper::server::conn::http1::Builder::header_read_timeout). The
/// server computes deadlines with the value that a connection began with; this timer uses the value
/// in force instead.
#[derive(Clone, Debug)]
pub struct HeadTimer {
    timeout: HeadTimeout,
}

impl HeadTimer {
    /// Creates a timer that uses the value of `timeout`.
    pub fn new(timeout: HeadTimeout) -> Self {
        Self { timeout }
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, _: time::Duration) -> Pin<Box<dyn Sleep>> {
        let started_at = Instant::now();
        Box::pin(HeadSleep {
            started_at,
            timeout: self.timeout.clone(),
            sleep: Box::pin(sleep_until(started_at + self.timeout.get())),
        })
    }

    fn sleep_until(&self, _: time::Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(self.timeout.get())
    }

    fn now(&self) -> time::Instant {
        Instant::now().into()
    }
}

#[derive(Debug)]
struct HeadSleep {
    started_at: Instant,
    timeout: HeadTimeout,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let expires_at = self.started_at + self.timeout.get();
            if Instant::now() >= expires_at {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(expires_at);
        }
    }
}

impl Sleep for HeadSleep {}
