//! Measures how the cost of control traffic grows with the size of a fleet: small fleets run on
//! loopback, and a line is fitted to each measured series.

pub mod claims;
pub mod fakes;
pub mod frames;
pub mod links;
pub mod memory;
pub mod placement;
pub mod series;
pub mod table;
pub mod usage;

use {crate::harness::Result, series::MeasuredSeries};

/// Runs all measurements and prints the values and the fitted line of each series.
///
/// # Errors
///
/// Fails if a process cannot be started or a call fails.
pub async fn run() -> Result<()> {
    println!("capacity: sizes of encoded frames");
    frames::measure().iter().for_each(MeasuredSeries::print);
    println!("capacity: placement");
    placement::measure()?.iter().for_each(MeasuredSeries::print);
    println!("capacity: links of one entry");
    links::measure().await?;
    println!("capacity: memory of one entry");
    memory::measure().await?;
    println!("capacity: table calls");
    table::measure().await?;
    println!("capacity: table calls of non-idempotent calls");
    claims::measure().await
}
