//! Reloads the settings on SIGHUP.

use {
    crate::{arguments::GatewayArguments, options::DaemonOptions, telemetry},
    sassafrasslip_core::{
        events::LogEvent::{SettingsRejected, SettingsReloaded},
        log_event,
    },
    std::{io, rc::Rc, result},
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        sync::Mutex,
    },
};

/// Result of installing a signal handler.
pub type Result<T> = result::Result<T, io::Error>;

/// SIGHUP signals of the process since the handler was installed. Clones share them, so that a task
/// that starts again misses none.
#[derive(Clone, Debug)]
pub struct HangupSignals {
    signals: Rc<Mutex<Signal>>,
}

impl HangupSignals {
    /// Installs the handler; before that, a SIGHUP ends the process. Has to be called in the context
    /// of a runtime.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses the handler.
    pub fn install() -> Result<Self> {
        let signals = signal(SignalKind::hangup())?;
        Ok(Self {
            signals: Rc::new(Mutex::new(signals)),
        })
    }

    /// Waits for a signal; returns `None` if there can be no further ones.
    async fn next(&self) -> Option<()> {
        self.signals.lock().await.recv().await
    }
}

/// Reads the settings again on each SIGHUP until the process ends. A new log level takes effect
/// immediately, changes to the gateway section need a restart, and invalid settings change nothing.
pub async fn reload_on_hangup(
    hangups: HangupSignals,
    arguments: GatewayArguments,
    mut options: DaemonOptions,
) {
    while hangups.next().await.is_some() {
        match DaemonOptions::load_gateway(&arguments) {
            Ok(new) => {
                telemetry::logs::set_level(&new.log);
                let needs_restart = new.gateway != options.gateway;
                log_event!(SettingsReloaded, needs_restart = needs_restart);
                options = new;
            }
            Err(report) => log_event!(SettingsRejected, error = crate::describe(&report)),
        }
    }
}
