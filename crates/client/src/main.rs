//! Operator client of sassafrasslip.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasslip_client::run()
}
