//! Copies the bytes of one connection in both directions, as the mode of the relay allows.

use {
    super::switch::{RelayMode, RelaySwitch},
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        time::sleep,
    },
};

const BUFFER_BYTES: usize = 16 * 1024;

/// Direction in which a [`Pump`] copies bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToCaller,
    ToTarget,
}

/// Copies the bytes of one direction of a connection.
struct Pump {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    switch: watch::Receiver<RelaySwitch>,
    direction: Direction,
    forwarded: u64,
}

/// Copies bytes in both directions until both ends have closed their side, an error occurs or the
/// mode of the relay ends the connection.
pub(super) async fn copy_both_directions(
    caller: TcpStream,
    target: TcpStream,
    switch: watch::Receiver<RelaySwitch>,
) {
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (caller_reader, caller_writer) = caller.into_split();
    let (target_reader, target_writer) = target.into_split();
    let mut refusal = switch.clone();
    let to_target = Pump {
        reader: caller_reader,
        writer: target_writer,
        switch: switch.clone(),
        direction: Direction::ToTarget,
        forwarded: 0,
    };
    let to_caller = Pump {
        reader: target_reader,
        writer: caller_writer,
        switch,
        direction: Direction::ToCaller,
        forwarded: 0,
    };
    let refused = refusal.wait_for(|switch| switch.mode == RelayMode::Refuse);
    tokio::select! {
        _ = refused => {}
        // An error in one direction ends both.
        _ = async { tokio::try_join!(to_target.run(), to_caller.run()) } => {}
    }
}

impl Pump {
    async fn run(mut self) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = self.reader.read(&mut buffer).await?;
            self.wait_while_held().await?;
            if length == 0 {
                return self.writer.shutdown().await;
            }
            let switch = *self.switch.borrow();
            if switch.mode == RelayMode::Delay {
                sleep(Duration::from_millis(switch.delay_ms)).await;
            }
            let allowed = self.allowed(&switch, length);
            self.writer.write_all(&buffer[..allowed]).await?;
            self.forwarded += allowed as u64;
            if allowed < length {
                return Err(io::Error::other("connection closed by the mode `cut`"));
            }
        }
    }

    /// Waits while the mode holds all bytes.
    async fn wait_while_held(&mut self) -> io::Result<()> {
        let passes = |switch: &RelaySwitch| switch.mode != RelayMode::BlackHole;
        let held = self.switch.wait_for(passes).await;
        held.map(|_| ()).map_err(io::Error::other)
    }

    /// Returns how many of `length` bytes may be forwarded before the connection is cut.
    fn allowed(&self, switch: &RelaySwitch, length: usize) -> usize {
        if switch.mode != RelayMode::Cut || self.direction == Direction::ToTarget {
            return length;
        }
        let left = switch.after_bytes.saturating_sub(self.forwarded);
        length.min(left.try_into().unwrap_or(usize::MAX))
    }
}
