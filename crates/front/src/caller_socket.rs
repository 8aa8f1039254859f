//! Socket of a caller's connection: observes whether answers are read, and makes sure
//! that a refusal arrives when the rest of a body was not read.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

use crate::connection_keeper::OpenConnection;

/// Time for which the rest of a refused body is discarded: the time that callers have
/// for a head. A socket that is closed with unread bytes is reset, and the caller may
/// lose the answer.
const DISCARD_TIME: Duration = Duration::from_secs(3);
/// Bytes that are discarded at most: the largest body of the users' limits.
const DISCARD_BYTES_MAX: usize = 4 << 20;
const DISCARD_BUFFER_BYTES: usize = 8 << 10;

/// Socket of one connection.
pub(crate) struct CallerSocket {
    stream: TcpStream,
    connection: Arc<OpenConnection>,
    discard: Option<BodyDiscard>,
}

/// Discarding the rest of a body after the last answer.
struct BodyDiscard {
    end: Pin<Box<Sleep>>,
    left: usize,
}

impl CallerSocket {
    pub(crate) fn new(stream: TcpStream, connection: Arc<OpenConnection>) -> Self {
        Self {
            stream,
            connection,
            discard: None,
        }
    }

    fn observe<T>(&self, written: Poll<T>) -> Poll<T> {
        match &written {
            Poll::Pending => self.connection.activity().mark_stalled(Instant::now()),
            Poll::Ready(_) => self.connection.activity().mark_flowing(),
        }
        written
    }

    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let discard = self.discard.get_or_insert_with(|| {
            self.connection.activity().mark_refused();
            BodyDiscard {
                end: Box::pin(sleep(DISCARD_TIME)),
                left: DISCARD_BYTES_MAX,
            }
        });
        while discard.left > 0 {
            if discard.end.as_mut().poll(context).is_ready() {
                break;
            }
            let mut bytes = [0; DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            match buffer.filled().len() {
                0 => break,
                count => discard.left = discard.left.saturating_sub(count),
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observe(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.observe(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discard.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        if self.connection.has_unread_body() {
            return self.poll_discard(context);
        }
        Poll::Ready(Ok(()))
    }
}
