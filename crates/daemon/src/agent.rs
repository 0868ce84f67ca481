//! Agent: guards one target.

pub mod orders;
pub mod placer;

use crate::{Result, options::DaemonOptions};

/// Runs an agent until it is stopped.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn serve(options: DaemonOptions) -> Result<()> {
    let _ = options;
    Ok(())
}
