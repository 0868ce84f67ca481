//! Reloads the settings on SIGHUP.

use {
    crate::{arguments::GatewayArguments, options::DaemonOptions, telemetry},
    sassafrasslip_core::{
        events::LogEvent::{SettingsRejected, SettingsReloaded},
        log_event,
    },
    tokio::signal::unix::{SignalKind, signal},
};

/// Reads the settings again on each SIGHUP until the process ends. A new log level takes effect
/// immediately, changes to the gateway section need a restart, and invalid settings change nothing.
pub async fn reload_on_hangup(arguments: GatewayArguments, mut options: DaemonOptions) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log_event!(SettingsRejected, error = error);
            return;
        }
    };
    while hangups.recv().await.is_some() {
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
