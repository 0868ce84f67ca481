//! Stand-ins for the platform, the engines and the services, and helpers for tests and
//! measurements. This package is not shipped.

pub mod balance;
pub mod cases;
