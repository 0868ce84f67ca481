//! Limit on the bytes that a target may send before the head of its response is complete.
//!
//! Load pattern: a faulty target that sends interim (1xx) responses or header lines without end.
//! The HTTP client drops interim responses one by one, so that neither its buffer nor its limit on
//! the head size would ever end such an exchange.

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

/// Bytes that a target may send while the head of its response is awaited. A head has a few hundred
/// bytes, and the beginning of the body may arrive with it.
const MAX_HEAD_BYTES: u64 = 256 * 1024;

/// Bytes of an awaited head after which a connection lets other tasks run. A large group has hundreds
/// of ranks that are asked at the same time, and a complete head has a few hundred bytes.
const BYTES_PER_TURN: usize = 16 * 1024;

/// Number of bytes that may still arrive before the awaited head is complete; no limit applies
/// while no head is awaited. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct HeadAllowance {
    left: Rc<Cell<Option<u64>>>,
}

impl HeadAllowance {
    /// Starts the limit when a request is sent.
    pub fn begin(&self) {
        self.left.set(Some(MAX_HEAD_BYTES));
    }

    /// Lifts the limit once the head has been received.
    pub fn end(&self) {
        self.left.set(None);
    }

    fn is_limited(&self) -> bool {
        self.left.get().is_some()
    }

    fn spend(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.left.get() else {
            return Ok(());
        };
        let left = left.checked_sub(bytes as u64);
        self.left.set(Some(left.unwrap_or_default()));
        left.map(|_| ())
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "response head is too long"))
    }
}

/// Connection whose reads fail once the allowance is used up.
#[derive(Debug)]
pub struct HeadGuard<T> {
    inner: T,
    allowance: HeadAllowance,
    /// Bytes of an awaited head that have arrived since other tasks could run.
    turn: usize,
}

impl<T> HeadGuard<T> {
    /// Wraps a connection so that its reads count against `allowance`.
    pub fn new(inner: T, allowance: HeadAllowance) -> Self {
        Self {
            inner,
            allowance,
            turn: 0,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadGuard<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let guard = self.get_mut();
        if guard.turn >= BYTES_PER_TURN {
            guard.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut guard.inner).poll_read(context, buffer))?;
        let arrived = buffer.filled().len() - before;
        if guard.allowance.is_limited() {
            guard.turn += arrived;
        }
        Poll::Ready(guard.allowance.spend(arrived))
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
