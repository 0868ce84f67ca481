//! Write timeout for connections: a write fails if the peer reads no bytes for too long.

use {
    std::{
        future::Future,
        io,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::{Instant, Sleep, sleep},
    },
};

/// Connection whose writes, flushes and shutdown fail with [`io::ErrorKind::TimedOut`] if they make
/// no progress for a given time. Reads are not limited.
#[derive(Debug)]
pub struct StallGuard<S> {
    stream: S,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
    stalled: bool,
}

impl<S> StallGuard<S> {
    /// Wraps `stream`; `limit` is the longest time without progress.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            timer: Box::pin(sleep(limit)),
            stalled: false,
        }
    }

    fn fail_if_stalled<T>(
        &mut self,
        progress: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.stalled = false;
            return progress;
        }
        if !self.stalled {
            self.stalled = true;
            let expires_at = Instant::now() + self.limit;
            self.timer.as_mut().reset(expires_at);
        }
        let expired = self.timer.as_mut().poll(context);
        expired.map(|()| {
            Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "peer accepted no bytes in time",
            ))
        })
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.fail_if_stalled(progress, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.fail_if_stalled(progress, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_flush(context);
        self.fail_if_stalled(progress, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_shutdown(context);
        self.fail_if_stalled(progress, context)
    }
}
