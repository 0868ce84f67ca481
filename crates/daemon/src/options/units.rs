//! Adapters that read values with their unit or range.

use {
    serde::{Deserialize, Deserializer, de},
    serde_with::DeserializeAs,
    std::{net::SocketAddr, result, time::Duration},
};

/// Address written as `IP:PORT`.
#[derive(Debug)]
pub struct AddressText;

/// Addresses written as `IP:PORT`, separated by commas.
#[derive(Debug)]
pub struct AddressesText;

/// Share from 0 to 1.
#[derive(Debug)]
pub struct RatioText;

/// Duration written as `250 ms` or `2 s`; the unit is mandatory.
#[derive(Debug)]
pub struct DurationText;

/// Like [`DurationText`], but above zero.
#[derive(Debug)]
pub struct PositiveDurationText;

/// Whole number from 0.
#[derive(Debug)]
pub struct NumberText;

/// Whole number from 1.
#[derive(Debug)]
pub struct CountText;

/// HTTP methods, separated by commas.
#[derive(Debug)]
pub struct MethodsText;

impl<'de> DeserializeAs<'de, SocketAddr> for AddressText {
    fn deserialize_as<D: Deserializer<'de>>(
        deserializer: D,
    ) -> result::Result<SocketAddr, D::Error> {
        let text = String::deserialize(deserializer)?;
        let address = text.trim().parse();
        address.map_err(|_| de::Error::custom("expected IP:PORT, such as 127.0.0.1:7000"))
    }
}

impl<'de> DeserializeAs<'de, Vec<SocketAddr>> for AddressesText {
    fn deserialize_as<D: Deserializer<'de>>(
        deserializer: D,
    ) -> result::Result<Vec<SocketAddr>, D::Error> {
        let text = String::deserialize(deserializer)?;
        let addresses = text.split(',').map(str::trim);
        let addresses = addresses.filter(|address| !address.is_empty());
        let addresses: result::Result<Vec<_>, _> = addresses.map(str::parse).collect();
        addresses.map_err(|_| de::Error::custom("expected IP:PORT, separated by commas"))
    }
}

impl<'de> DeserializeAs<'de, f64> for RatioText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> result::Result<f64, D::Error> {
        let text = String::deserialize(deserializer)?;
        let ratio = text.trim().parse().ok();
        let ratio = ratio.filter(|ratio| (0.0..=1.0).contains(ratio));
        ratio.ok_or_else(|| de::Error::custom("expected a number from 0 to 1"))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> result::Result<Duration, D::Error> {
        read_duration(deserializer, Duration::ZERO, "a whole number with ms or s")
    }
}

impl<'de> DeserializeAs<'de, Duration> for PositiveDurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> result::Result<Duration, D::Error> {
        let least = Duration::from_millis(1);
        read_duration(deserializer, least, "a whole number above 0 with ms or s")
    }
}

impl<'de> DeserializeAs<'de, u32> for NumberText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> result::Result<u32, D::Error> {
        read_number(deserializer, 0)
    }
}

impl<'de> DeserializeAs<'de, u32> for CountText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> result::Result<u32, D::Error> {
        read_number(deserializer, 1)
    }
}

impl<'de> DeserializeAs<'de, Vec<String>> for MethodsText {
    fn deserialize_as<D: Deserializer<'de>>(
        deserializer: D,
    ) -> result::Result<Vec<String>, D::Error> {
        let text = String::deserialize(deserializer)?;
        let methods: Vec<_> = text
            .split(',')
            .map(|method| method.trim().to_owned())
            .collect();
        // Methods are compared as they are, so a lower-case one would never match.
        let is_method = |method: &String| {
            !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase())
        };
        if methods.iter().all(is_method) {
            return Ok(methods);
        }
        let fault = "expected methods in capital letters, separated by commas";
        Err(de::Error::custom(fault))
    }
}

fn read_duration<'de, D: Deserializer<'de>>(
    deserializer: D,
    least: Duration,
    expected: &str,
) -> result::Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    let duration = parse_duration(&text).filter(|duration| *duration >= least);
    duration.ok_or_else(|| de::Error::custom(format!("expected {expected}")))
}

fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    if let Some(number) = text.strip_suffix("ms") {
        return number.trim().parse().ok().map(Duration::from_millis);
    }
    let number = text.strip_suffix('s')?.trim();
    number.parse().ok().map(Duration::from_secs)
}

fn read_number<'de, D: Deserializer<'de>>(
    deserializer: D,
    least: u32,
) -> result::Result<u32, D::Error> {
    let text = String::deserialize(deserializer)?;
    let number = text.trim().parse().ok().filter(|number| *number >= least);
    number.ok_or_else(|| {
        let fault = format!("expected a whole number from {least} to {}", u32::MAX);
        de::Error::custom(fault)
    })
}
