//! Stand-ins for the platform, the engines and the services, and helpers for tests and
//! measurements. This package is not shipped.

pub mod balance;
pub mod capacity;
pub mod cases;
pub mod demo;
pub mod engine;
pub mod faults;
pub mod harness;
pub mod http;
pub mod load;
pub mod measure;
pub mod platform;
pub mod promela;
pub mod relay;
pub mod service;
