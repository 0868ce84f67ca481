//! Connection that fails when its peer takes no bytes for too long.

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

/// Wraps a connection and bounds the time for which a write may make no progress.
#[derive(Debug)]
pub struct StallGuard<S> {
    stream: S,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
    stalled: bool,
}

impl<S> StallGuard<S> {
    /// Wraps a connection.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            timer: Box::pin(sleep(limit)),
            stalled: false,
        }
    }

    fn check<T>(
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
            let end = Instant::now() + self.limit;
            self.timer.as_mut().reset(end);
        }
        let expired = self.timer.as_mut().poll(context);
        expired.map(|()| {
            Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "peer takes no bytes",
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
        self.check(progress, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check(progress, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_flush(context);
        self.check(progress, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_shutdown(context);
        self.check(progress, context)
    }
}
