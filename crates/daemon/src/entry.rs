//! Entry: accepts callers, admits and routes their requests.

pub mod configuration;
pub mod fleet;
pub mod operators;

use crate::{Result, options::DaemonOptions};

/// Runs an entry until it is stopped.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn serve(options: DaemonOptions) -> Result<()> {
    let _ = options;
    Ok(())
}
