//! Section `stop` of the settings file.

use {super::units::DurationText, serde::Deserialize, serde_with::serde_as, std::time::Duration};

/// Times of a graceful stop.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopOptions {
    /// Time between failing the readiness check and closing the listener, in which the balancer can
    /// notice that the process is stopping.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_notice")]
    pub notice: Duration,
    /// Maximum time that a graceful stop waits for work in flight.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_grace")]
    pub grace: Duration,
}

fn default_notice() -> Duration {
    Duration::from_secs(2)
}

fn default_grace() -> Duration {
    Duration::from_secs(120)
}
