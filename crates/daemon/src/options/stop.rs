//! Section `stop`.

use {
    serde::{Deserialize, Deserializer, de},
    serde_with::{DeserializeAs, serde_as},
    std::time::Duration,
};

/// Adapter for durations written as `250 ms` or `2 s`; the unit is mandatory.
#[derive(Debug)]
pub struct MillisecondsText;

impl<'de> DeserializeAs<'de, Duration> for MillisecondsText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_duration(&text).ok_or_else(|| {
            de::Error::custom(format!(
                "`{text}` is no duration: expected a number with ms or s"
            ))
        })
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    if let Some(number) = text.strip_suffix("ms") {
        return number.trim().parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?
        .trim()
        .parse()
        .ok()
        .map(Duration::from_secs)
}

/// Times of a graceful stop.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopOptions {
    /// Time between failing readiness and closing the listener, so that the balancer notices.
    #[serde_as(as = "MillisecondsText")]
    #[serde(default = "default_notice")]
    pub notice: Duration,
    /// Longest wait for work in flight.
    #[serde_as(as = "MillisecondsText")]
    #[serde(default = "default_grace")]
    pub grace: Duration,
}

fn default_notice() -> Duration {
    Duration::from_secs(2)
}

fn default_grace() -> Duration {
    Duration::from_secs(120)
}
