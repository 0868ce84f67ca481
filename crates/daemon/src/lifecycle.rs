//! Life cycle of a process as a typestate: [`Starting`], then [`Serving`], then [`Draining`].

use {
    crate::{options::StopOptions, telemetry::HealthState},
    sassafrasslip_core::{
        events::LogEvent::{
            ProcessServing, ProcessStarted, ProcessStopped, StopGraceExceeded, StopRequested,
        },
        log_event,
    },
    std::io,
    tokio::{
        signal::unix::{SignalKind, signal},
        time::timeout,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// State in which the process binds its addresses and reads its configuration.
#[derive(Debug)]
pub struct Starting;

/// State in which the process reports readiness and accepts work.
#[derive(Debug)]
pub struct Serving;

/// State in which the process finishes the work in flight and accepts no more.
#[derive(Debug)]
pub struct Draining;

/// Process in the state `S` of its life cycle.
#[derive(Debug)]
pub struct Daemon<S> {
    health: HealthState,
    options: StopOptions,
    /// Token that is cancelled when the graceful stop starts.
    draining: CancellationToken,
    /// Tasks that a graceful stop waits for.
    work: TaskTracker,
    state: S,
}

impl Daemon<Starting> {
    /// Logs the start of the process and creates its first state; the process is not ready yet.
    pub fn new(options: StopOptions, health: HealthState) -> Self {
        log_event!(ProcessStarted, version = env!("CARGO_PKG_VERSION"));
        let (draining, work) = (CancellationToken::new(), TaskTracker::new());
        Self {
            health,
            options,
            draining,
            work,
            state: Starting,
        }
    }

    /// Returns the token that is cancelled when the graceful stop starts.
    pub fn draining(&self) -> CancellationToken {
        self.draining.clone()
    }

    /// Returns the tracker of the tasks that a graceful stop waits for.
    pub fn work(&self) -> TaskTracker {
        self.work.clone()
    }

    /// Reports readiness and enters the state [`Serving`].
    pub fn serve(self) -> Daemon<Serving> {
        self.health.set_ready(true);
        log_event!(ProcessServing);
        self.enter(Serving)
    }
}

impl Daemon<Serving> {
    /// Waits for SIGTERM or SIGINT, then starts the graceful stop: readiness fails, and the token
    /// of [`Daemon::draining`] is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub async fn wait_for_stop(self) -> io::Result<Daemon<Draining>> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log_event!(StopRequested, in_flight = self.work.len());
        self.health.set_ready(false);
        self.draining.cancel();
        Ok(self.enter(Draining))
    }
}

impl Daemon<Draining> {
    /// Waits until all tracked tasks have ended, but no longer than [`StopOptions::grace`].
    pub async fn finish(self) {
        let Self {
            work,
            options,
            state: Draining,
            ..
        } = self;
        work.close();
        if timeout(options.grace, work.wait()).await.is_err() {
            log_event!(StopGraceExceeded, in_flight = work.len());
        }
        log_event!(ProcessStopped);
    }
}

impl<S> Daemon<S> {
    fn enter<T>(self, state: T) -> Daemon<T> {
        let Self {
            health,
            options,
            draining,
            work,
            ..
        } = self;
        Daemon {
            health,
            options,
            draining,
            work,
            state,
        }
    }
}
