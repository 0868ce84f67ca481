//! Bound on the bytes that a target sends before the head of its answer is whole.
//!
//! Load pattern: a target in trouble that sends interim answers or head lines without end. Interim
//! answers are dropped one by one, so that neither memory nor a limit on the head ends them.

use {
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Bytes that may arrive while the head of an answer is awaited. Heads have some hundred bytes, and
/// the beginning of the body may come with them.
const MOST_HEAD_BYTES: u64 = 256 * 1024;

/// Whether a head is awaited, and how much may still arrive before it is whole.
#[derive(Clone, Debug, Default)]
pub struct HeadAllowance {
    left: Rc<Cell<Option<u64>>>,
}

impl HeadAllowance {
    /// Starts counting, because a request is sent.
    pub fn begin(&self) {
        self.left.set(Some(MOST_HEAD_BYTES));
    }

    /// Ends counting, because the head has arrived.
    pub fn end(&self) {
        self.left.set(None);
    }

    fn spend(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.left.get() else {
            return Ok(());
        };
        let left = left.checked_sub(bytes as u64);
        self.left.set(Some(left.unwrap_or_default()));
        left.map(|_| ())
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "head has no end"))
    }
}

/// Connection whose reads fail once an allowance is spent.
#[derive(Debug)]
pub struct HeadGuard<T> {
    inner: T,
    allowance: HeadAllowance,
}

impl<T> HeadGuard<T> {
    /// Guards a connection.
    pub fn new(inner: T, allowance: HeadAllowance) -> Self {
        Self { inner, allowance }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadGuard<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let guard = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut guard.inner).poll_read(context, buffer))?;
        Poll::Ready(guard.allowance.spend(buffer.filled().len() - before))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadGuard<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
