//! Free loopback ports.

use {
    super::{HarnessError, Result},
    std::{
        net::{Ipv4Addr, SocketAddr, TcpListener},
        process,
        sync::atomic::{AtomicU16, Ordering},
    },
};

/// First port. The range lies below the system's ephemeral ports, so that an outgoing connection
/// does not take a port between the check and its use.
const FIRST_PORT: u16 = 12_000;
/// Number of ports.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports of processes with neighbouring ids.
const PROCESS_STRIDE: u32 = 311;

static TAKEN: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address with a port that nothing listens on. Each port is returned once in
/// a process; other processes start elsewhere in the range.
///
/// # Errors
///
/// Fails if all ports are in use.
pub fn free_address() -> Result<SocketAddr> {
    let count = u32::from(PORT_COUNT);
    let start = process::id().wrapping_mul(PROCESS_STRIDE) % count;
    for _ in 0..PORT_COUNT {
        let taken = u32::from(TAKEN.fetch_add(1, Ordering::Relaxed));
        let offset = ((start + taken) % count) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + offset));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(HarnessError::report("loopback", "no free port"))
}
