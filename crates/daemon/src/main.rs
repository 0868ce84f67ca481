//! Daemon of sassafrasslip: `sassafrasslipd entry`, `sassafrasslipd agent`, `sassafrasslipd check`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasslip_daemon::run()
}
