//! Socket of a connection on which an answer may end with the connection.
//!
//! The end of a connection marks the end of an answer without a length only if the request
//! was written whole and the other side has not reset the connection. The HTTP library reports
//! such an end as that of the answer in any case, so the socket reports it as an error.
//!
//! The library also drops interim heads one by one as long as the socket has any, so the socket
//! bounds what comes before the head of an answer is complete.

use super::MAX_HEAD_BYTES;
use crate::sync::lock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
};

/// Time in which a connection whose other side has ended it may still be reset. It also is
/// the time within which a process that is killed closes all of its sockets.
const END_TIME: Duration = Duration::from_millis(10);

/// Maximum number of bytes that arrive until the head of an answer is known: interim heads, the
/// head, and what the library reads of the body with it, which is at most a buffer and a part.
const MAX_BYTES_TO_HEAD: usize = 3 * MAX_HEAD_BYTES;

/// How far a request has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// No request is under way.
    #[default]
    Idle,
    /// The HTTP library has not taken all of it.
    Begun,
    /// It is in the buffers of the HTTP library.
    Taken,
    /// The socket has taken all of it.
    Written,
}

/// How far a request and its answer have come.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    request: Phase,
    /// Number of bytes that have arrived, while the head of the answer is not known.
    bytes_to_head: Option<usize>,
}

/// How far the request on a connection and its answer have come, known to both and to the socket.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress(Arc<Mutex<State>>);

impl Progress {
    /// Returns the body of a request that is about to be sent.
    pub(super) fn begin(&self, body: Full<Bytes>) -> Upload {
        let phase = if body.is_end_stream() {
            Phase::Taken
        } else {
            Phase::Begun
        };
        *lock(&self.0) = State {
            request: phase,
            bytes_to_head: Some(0),
        };
        Upload {
            body,
            progress: self.clone(),
        }
    }

    /// Records that the head of the answer is known.
    pub(super) fn record_head(&self) {
        lock(&self.0).bytes_to_head = None;
    }

    /// Records that the answer is complete.
    pub(super) fn end(&self) {
        self.set(Phase::Idle);
    }

    /// Counts bytes that have arrived. Fails if too many came before the head was known.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let mut state = lock(&self.0);
        let Some(count) = &mut state.bytes_to_head else {
            return Ok(());
        };
        *count += bytes;
        if *count > MAX_BYTES_TO_HEAD {
            return Err(io::Error::other(
                "too many bytes before the end of the head",
            ));
        }
        Ok(())
    }

    fn get(&self) -> Phase {
        lock(&self.0).request
    }

    fn set(&self, phase: Phase) {
        lock(&self.0).request = phase;
    }
}

/// Body of a request, which records when all of it has been taken.
#[derive(Debug)]
pub(super) struct Upload {
    body: Full<Bytes>,
    progress: Progress,
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if self.body.is_end_stream() {
            self.progress.set(Phase::Taken);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A socket that tells whether an answer may end with its connection.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    progress: Progress,
    /// Ends the time in which the connection may still be reset after its end.
    end: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    pub(super) const fn new(stream: TcpStream, progress: Progress) -> Self {
        Self {
            stream,
            progress,
            end: None,
        }
    }

    /// Checks the end of the connection, which was read.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.progress.get() {
            Phase::Idle => return Poll::Ready(Ok(())),
            Phase::Begun | Phase::Taken => {
                let text = "the connection ended while the request was being written";
                let error = io::Error::new(io::ErrorKind::ConnectionReset, text);
                return Poll::Ready(Err(error));
            }
            Phase::Written => {}
        }
        let end = self
            .end
            .get_or_insert_with(|| Box::pin(time::sleep(END_TIME)));
        ready!(end.as_mut().poll(context));
        Poll::Ready(self.stream.take_error()?.map_or(Ok(()), Err))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.end.is_none() {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
            let arrived = buffer.filled().len() - before;
            if arrived > 0 || buffer.remaining() == 0 {
                return Poll::Ready(self.progress.count(arrived));
            }
        }
        self.poll_end(context)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes the socket once all that it holds has been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        if self.progress.get() == Phase::Taken {
            self.progress.set(Phase::Written);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
