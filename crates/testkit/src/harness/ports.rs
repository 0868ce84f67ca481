//! Allocation of loopback ports for the processes of a fleet.

use {
    super::{HarnessError, Result},
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        process,
        sync::{Mutex, PoisonError},
    },
};

/// First port of the range. The range lies below the system's ephemeral ports, so that an outgoing
/// connection cannot take a port between the check that it is free and its use.
const FIRST_PORT: u16 = 12_000;
/// Number of port blocks; each is held by at most one process at a time.
const BLOCK_COUNT: u32 = 100;
/// Ports of a block. The first one is the lock of the block; a fleet needs fewer than 100.
const BLOCK_PORTS: u16 = 200;

/// Block of ports that this process holds.
#[derive(Debug)]
struct PortBlock {
    /// Listener on the first port, which keeps the block locked while it is open. Without the lock,
    /// two processes that start fleets at the same time could choose the same port between the
    /// check and its use.
    _lock: TcpListener,
    next: u16,
    end: u16,
}

static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Returns a loopback address with a port that nothing listens on. Within a process each port is
/// returned once, and no other process gets it from this function until this one ends.
///
/// # Errors
///
/// Returns an error if all blocks are in use.
pub fn free_address() -> Result<SocketAddr> {
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if let Some(address) = blocks.last_mut().and_then(PortBlock::next_free) {
            return Ok(address);
        }
        blocks.push(take_block()?);
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Locks the first free block. The search starts at a block that depends on the process id, so that
/// concurrent processes rarely try the same one.
fn take_block() -> Result<PortBlock> {
    let start = process::id() % BLOCK_COUNT;
    for offset in 0..BLOCK_COUNT {
        let block = ((start + offset) % BLOCK_COUNT) as u16;
        let first = FIRST_PORT + block * BLOCK_PORTS;
        if let Ok(lock) = TcpListener::bind(loopback(first)) {
            return Ok(PortBlock {
                _lock: lock,
                next: first + 1,
                end: first + BLOCK_PORTS,
            });
        }
    }
    Err(HarnessError::report(
        "loopback",
        "all blocks of ports are in use",
    ))
}

impl PortBlock {
    fn next_free(&mut self) -> Option<SocketAddr> {
        while self.next < self.end {
            let address = loopback(self.next);
            self.next += 1;
            if check_free(address).is_ok() {
                return Some(address);
            }
        }
        None
    }
}

/// Checks that nothing listens on an address.
///
/// The socket is bound but never listens. A child process that another thread starts at the same
/// time inherits a copy of the socket until the child executes its program; a copy that listens
/// would keep the port in use after the check.
fn check_free(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}
