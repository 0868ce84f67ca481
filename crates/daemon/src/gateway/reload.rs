//! Reloading of settings on SIGHUP.

use {
    crate::{arguments::GatewayArguments, options::DaemonOptions, telemetry},
    sassafrasslip_core::{
        events::LogEvent::{SettingsRejected, SettingsReloaded},
        log_event,
    },
    tokio::signal::unix::{SignalKind, signal},
};

/// Reads the settings again on each SIGHUP. The log level takes effect at once; other changes
/// need a restart, and a file with a fault changes nothing.
pub async fn follow_hangups(arguments: GatewayArguments, mut options: DaemonOptions) {
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
