//! Daemon of sassafrasslip, with the commands `entry`, `gateway`, `agent` and `check`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasslip_daemon::run()
}
