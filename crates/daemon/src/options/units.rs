//! Adapters for `serde_as` that parse a setting's text and check its unit or range.

use {
    sassafrasslip_core::dispatch::ZoneRegions,
    serde::{Deserialize, Deserializer, de},
    serde_with::DeserializeAs,
    std::{net::SocketAddr, result, time::Duration},
};

/// Maximum duration of a setting; longer ones are reduced to it, so that adding a duration to an
/// instant cannot overflow.
pub const MAX_DURATION: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// Least memory of a process, in MB. Below, its bodies of legal size would not fit.
const MIN_MEMORY_MB: f64 = 32.0;

/// Memory of a setting to which higher ones are reduced, in MB.
const MAX_MEMORY_MB: f64 = 1024.0;

/// Address written as `IP:PORT`.
#[derive(Debug)]
pub struct AddressText;

/// Addresses written as `IP:PORT`, separated by commas.
#[derive(Debug)]
pub struct AddressesText;

/// Availability zones with their regions, written as `ZONE/REGION` and separated by commas.
#[derive(Debug)]
pub struct ZoneRegionsText;

/// Ratio from 0 to 1.
#[derive(Debug)]
pub struct RatioText;

/// Finite number of at least 0, which may have a fraction.
#[derive(Debug)]
pub struct AmountText;

/// Duration written as `250 ms` or `2.5 s`; the unit is mandatory.
#[derive(Debug)]
pub struct DurationText;

/// Like [`DurationText`], but at least 1 ms.
#[derive(Debug)]
pub struct PositiveDurationText;

/// Memory written as `256 MB`, in units of 1,048,576 bytes; the unit is mandatory.
#[derive(Debug)]
pub struct MemoryText;

/// Whole number of at least 0; `3.0` is accepted too.
#[derive(Debug)]
pub struct NumberText;

/// Whole number of at least 1; `3.0` is accepted too.
#[derive(Debug)]
pub struct CountText;

/// HTTP methods in capital letters, separated by commas.
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

impl<'de> DeserializeAs<'de, ZoneRegions> for ZoneRegionsText {
    fn deserialize_as<D: Deserializer<'de>>(
        deserializer: D,
    ) -> result::Result<ZoneRegions, D::Error> {
        let text = String::deserialize(deserializer)?;
        let pairs = text.split(',').map(str::trim);
        let pairs = pairs.filter(|pair| !pair.is_empty()).map(|pair| {
            let (zone, region) = pair.split_once('/')?;
            Some((zone.trim().parse().ok()?, region.trim().parse().ok()?))
        });
        let regions: Option<ZoneRegions> = pairs.collect();
        regions.ok_or_else(|| de::Error::custom("expected ZONE/REGION, separated by commas"))
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

impl<'de> DeserializeAs<'de, f64> for AmountText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> result::Result<f64, D::Error> {
        let text = String::deserialize(deserializer)?;
        let amount = parse_amount(&text);
        amount.ok_or_else(|| de::Error::custom("expected a number from 0"))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> result::Result<Duration, D::Error> {
        read_duration(deserializer, Duration::ZERO, "a number with ms or s")
    }
}

impl<'de> DeserializeAs<'de, Duration> for PositiveDurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> result::Result<Duration, D::Error> {
        let minimum = Duration::from_millis(1);
        read_duration(deserializer, minimum, "a number above 0 with ms or s")
    }
}

impl<'de> DeserializeAs<'de, usize> for MemoryText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> result::Result<usize, D::Error> {
        let text = String::deserialize(deserializer)?;
        let amount = text.trim().strip_suffix("MB").and_then(parse_amount);
        let amount = amount.filter(|amount| *amount >= MIN_MEMORY_MB);
        let amount = amount.map(|amount| amount.min(MAX_MEMORY_MB) as usize * (1 << 20));
        amount.ok_or_else(|| de::Error::custom("expected a number from 32 with MB"))
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
        // Methods are compared byte by byte, so a lower-case one would never match.
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
    minimum: Duration,
    expected: &str,
) -> result::Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    let duration = parse_duration(&text).filter(|duration| *duration >= minimum);
    duration.ok_or_else(|| de::Error::custom(format!("expected {expected}")))
}

fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = parse_amount(number)? * unit;
    let maximum = MAX_DURATION.as_secs_f64();
    // Rounding to whole microseconds hides the inexact binary form of decimal fractions.
    let micros = (seconds.min(maximum) * 1e6).round();
    Some(Duration::from_micros(micros as u64))
}

/// Parses a finite number of at least 0.
fn parse_amount(text: &str) -> Option<f64> {
    let amount: f64 = text.trim().parse().ok()?;
    (amount.is_finite() && amount >= 0.0).then_some(amount)
}

fn read_number<'de, D: Deserializer<'de>>(
    deserializer: D,
    minimum: u32,
) -> result::Result<u32, D::Error> {
    let text = String::deserialize(deserializer)?;
    let number = parse_amount(&text).filter(|number| {
        number.fract() == 0.0 && (f64::from(minimum)..=f64::from(u32::MAX)).contains(number)
    });
    number.map(|number| number as u32).ok_or_else(|| {
        let fault = format!("expected a whole number from {minimum} to {}", u32::MAX);
        de::Error::custom(fault)
    })
}
