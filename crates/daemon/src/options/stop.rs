//! Section `stop`.

use {super::units::DurationText, serde::Deserialize, serde_with::serde_as, std::time::Duration};

/// Times of a graceful stop.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopOptions {
    /// Time between failing readiness and closing the listener, so that the balancer notices.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_notice")]
    pub notice: Duration,
    /// Longest wait for work in flight.
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
