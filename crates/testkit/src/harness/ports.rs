//! Free loopback ports.

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

/// First port. The range lies below the system's ephemeral ports, so that an outgoing connection
/// does not take a port between the check and its use.
const FIRST_PORT: u16 = 12_000;
/// Blocks of ports; each belongs to one process at a time.
const BLOCK_COUNT: u32 = 100;
/// Ports of a block, the first of which marks it as taken. A fleet needs fewer than 100.
const BLOCK_PORTS: u16 = 200;

/// Block of this process.
#[derive(Debug)]
struct PortBlock {
    /// Listens on the first port as long as the block is taken. Without it, processes that start
    /// fleets at the same time can take the same port between the check and its use.
    _mark: TcpListener,
    next: u16,
    end: u16,
}

static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Returns a loopback address with a port that nothing listens on. Each port is returned once in
/// a process, and no other process that uses this function gets it meanwhile.
///
/// # Errors
///
/// Fails if all blocks are taken.
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

/// Takes the first free block, starting at one that depends on the process.
fn take_block() -> Result<PortBlock> {
    let start = process::id() % BLOCK_COUNT;
    for offset in 0..BLOCK_COUNT {
        let block = ((start + offset) % BLOCK_COUNT) as u16;
        let first = FIRST_PORT + block * BLOCK_PORTS;
        if let Ok(mark) = TcpListener::bind(loopback(first)) {
            return Ok(PortBlock {
                _mark: mark,
                next: first + 1,
                end: first + BLOCK_PORTS,
            });
        }
    }
    Err(HarnessError::report("loopback", "no free block of ports"))
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
/// The socket is bound but never listens. A child process that another thread starts just then
/// inherits a copy of it until the child executes its program, and a copy that listens would keep
/// the port in use after the check.
fn check_free(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}
