//! Logs, metrics and health endpoints.

pub mod health;
pub mod logs;
pub mod metrics;

pub use {health::HealthState, metrics::MetricsRegistry};
