//! Time that a caller has for the next request on its connection, which follows the configuration.

use {
    hyper::rt::{Sleep, Timer},
    std::{
        future::Future,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
        time,
    },
    tokio::time::{Duration, Instant, sleep_until},
};

/// Longest time from the end of a response, or the start of a connection, to the end of the next
/// request head. Clones share the value.
#[derive(Clone, Debug)]
pub struct HeadTimeout {
    millis: Arc<AtomicU64>,
}

impl HeadTimeout {
    /// Creates the timeout with its first value.
    pub fn new(timeout: Duration) -> Self {
        let created = Self {
            millis: Arc::default(),
        };
        created.set(timeout);
        created
    }

    /// Returns the value in force.
    pub fn get(&self) -> Duration {
        Duration::from_millis(self.millis.load(Ordering::Relaxed))
    }

    /// Changes the value. A longer one holds for connections that are already idle too, a shorter
    /// one from their next request on.
    pub fn set(&self, timeout: Duration) {
        let millis = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        self.millis.store(millis, Ordering::Relaxed);
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
