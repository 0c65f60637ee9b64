//! Connections from callers, and the room that they take.
//!
//! [`core::crowd`](cicadacrank_core::crowd) decides which of them is closed when there is
//! none.

use super::state::{State, lock};
use crate::{
    clock::Clock,
    memory::{Memory, Permit},
    metrics::gateway::Metrics,
};
use cicadacrank_core::{
    crowd::{self, Need, Phase},
    event::Event,
};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Memory that is set aside for each connection, in bytes: its task and the buffers of the
/// HTTP library, what the operating system holds of it, and a small body.
pub const CONNECTION_BYTES: usize = 64 << 10;

/// Size of the receive buffer that the operating system keeps for a connection, in bytes.
/// What has arrived and was not read counts towards the memory of the process.
pub const RECEIVE_BYTES: usize = 16 << 10;

/// Maximum number of bytes that are read from a connection at once. The HTTP library doubles
/// its buffer after a read that fills it, so that it stays at the next power of two.
const READ_BYTES: usize = (8 << 10) - 1;

/// Time for which a connection that is closed for room is waited for, before another one is
/// looked for.
const ROOM_TIME: Duration = Duration::from_millis(20);

/// The open connections at one address.
#[derive(Debug, Default)]
pub struct Connections(Mutex<Vec<Arc<Shared>>>);

/// An open connection. It is no longer listed when all copies are dropped.
#[derive(Clone, Debug)]
pub struct Connection(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    usage: Mutex<crowd::Connection>,
    evicted: CancellationToken,
}

/// Removes a connection from the list when it is dropped.
#[derive(Debug)]
pub struct Listed {
    connections: Arc<Connections>,
    connection: Connection,
}

impl Connections {
    /// Lists a connection that was just accepted.
    pub fn add(self: &Arc<Self>, clock: Clock) -> Listed {
        let shared = Arc::new(Shared {
            clock,
            usage: Mutex::new(crowd::Connection::new(clock.now())),
            evicted: CancellationToken::new(),
        });
        lock(&self.0).push(Arc::clone(&shared));
        Listed {
            connections: Arc::clone(self),
            connection: Connection(shared),
        }
    }

    /// Closes a connection for what is short, or has its unfinished request refused. Returns
    /// whether there is one that may be closed.
    pub fn evict(&self, need: Need, now: Duration, metrics: &Metrics) -> bool {
        let listed = lock(&self.0);
        let open = listed.iter().filter(|one| !one.evicted.is_cancelled());
        let usages = open.map(|one| (one, *lock(&one.usage)));
        let Some(shared) = crowd::victim(usages, need, now) else {
            return false;
        };
        let usage = *lock(&shared.usage);
        shared.evicted.cancel();
        let phase = usage.phase.as_str();
        metrics.evictions.with_label_values(&[phase]).inc();
        Event::CallerEvicted.log(format_args!(
            "need={need:?} phase={phase} lag_ms={:?} known={} held_bytes={} connections={}",
            usage.lag(now).map(|lag| lag.as_millis()),
            usage.is_known,
            usage.held_bytes,
            listed.len(),
        ));
        true
    }
}

impl Listed {
    /// Returns the connection.
    pub const fn connection(&self) -> &Connection {
        &self.connection
    }
}

impl Drop for Listed {
    fn drop(&mut self) {
        lock(&self.connections.0).retain(|one| !Arc::ptr_eq(one, &self.connection.0));
    }
}

impl Connection {
    /// Returns what the connection is used for now.
    pub fn usage(&self) -> crowd::Connection {
        *lock(&self.0.usage)
    }

    /// Returns the time of the last progress.
    pub fn since(&self) -> tokio::time::Instant {
        self.0.clock.instant(self.usage().since)
    }

    /// Changes what the connection is used for.
    pub fn enter(&self, phase: Phase) {
        lock(&self.0.usage).enter(phase, self.0.clock.now());
    }

    /// Begins to wait for the body of a request.
    pub fn begin_body(&self) {
        let begun = self.0.clock.now();
        self.enter(Phase::Body { begun, bytes: 0 });
    }

    /// Records that a part of a body has arrived, and the memory that the body takes.
    pub fn record_body(&self, arrived: usize, held_bytes: usize) {
        let mut usage = lock(&self.0.usage);
        usage.record_body(arrived, self.0.clock.now());
        usage.held_bytes = held_bytes;
    }

    /// Records that the connection carries a request of a known team.
    pub fn record_known(&self) {
        lock(&self.0.usage).is_known = true;
    }

    /// Waits until the connection is to be closed for room.
    pub fn evicted(&self) -> WaitForCancellationFutureOwned {
        self.0.evicted.clone().cancelled_owned()
    }

    /// Returns whether the connection is to be closed for room.
    pub fn is_evicted(&self) -> bool {
        self.0.evicted.is_cancelled()
    }

    /// Returns whether the connection may be closed at once, because no request is at work on
    /// it and no refusal is due.
    pub fn is_disposable(&self) -> bool {
        let usage = self.usage();
        let is_body = matches!(usage.phase, Phase::Body { .. });
        !is_body && usage.lag(self.0.clock.now()).is_some()
    }
}

/// Room for connections at one address.
#[derive(Clone, Debug)]
pub struct Rooms {
    /// The open connections.
    pub open: Arc<Connections>,
    sockets: Arc<Semaphore>,
    memory: Memory,
}

/// Descriptor and memory of a connection.
#[derive(Debug)]
pub struct Room {
    _socket: OwnedSemaphorePermit,
    _memory: Permit,
}

impl Rooms {
    /// Creates room for so many connections, which take their memory from `memory`.
    pub fn new(open: Arc<Connections>, sockets: usize, memory: Memory) -> Self {
        Self {
            open,
            sockets: Arc::new(Semaphore::new(sockets)),
            memory,
        }
    }

    /// Creates room for so few connections that they count as memory of a process without
    /// callers.
    pub fn with_own_memory(sockets: usize) -> Self {
        let memory = Memory::new((sockets * CONNECTION_BYTES) as u64);
        Self::new(Arc::default(), sockets, memory)
    }

    /// Waits for room for a connection. While there is none, connections that are behind are
    /// closed.
    pub async fn wait(&self, state: &State) -> Room {
        let socket = loop {
            let free = Arc::clone(&self.sockets).acquire_owned();
            // The semaphore is never closed.
            if let Ok(Ok(socket)) = time::timeout(ROOM_TIME, free).await {
                break socket;
            }
            self.evict(state);
        };
        loop {
            if let Ok(memory) = self.memory.take(CONNECTION_BYTES) {
                return Room {
                    _socket: socket,
                    _memory: memory,
                };
            }
            self.evict(state);
            time::sleep(ROOM_TIME).await;
        }
    }

    fn evict(&self, state: &State) {
        let now = state.clock.now();
        self.open.evict(Need::Connection, now, &state.metrics);
    }
}

/// Stream of a connection that records its progress.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    connection: Connection,
}

impl Stream {
    /// Creates the stream of a connection.
    pub const fn new(stream: TcpStream, connection: Connection) -> Self {
        Self { stream, connection }
    }

    /// Records whether the caller takes what it is sent.
    fn record_write<T>(&self, written: &Poll<io::Result<T>>) {
        let phase = self.connection.usage().phase;
        match (phase, written.is_pending()) {
            (Phase::Working, true) => self.connection.enter(Phase::Blocked),
            (Phase::Blocked, false) => self.connection.enter(Phase::Working),
            _ => {}
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let result = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let read = part.filled().len();
        buffer.advance(read);
        if read > 0 && self.connection.usage().phase == Phase::Idle {
            self.connection.enter(Phase::Head);
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
