//! Stand-ins for the platform, the engines and the services, and tools that test and measure the
//! load balancer against them. This package is not part of a release.

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
pub mod retry_excess;
pub mod service;
