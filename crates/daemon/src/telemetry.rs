//! Logs, metrics, and the HTTP endpoints for metrics and health.

pub mod health;
pub mod logs;
pub mod metrics;

pub use {health::HealthState, metrics::MetricsRegistry};
