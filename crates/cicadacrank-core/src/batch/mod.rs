//! Batches the pieces of stages into calls.
//!
//! A call has a fixed cost plus a cost per piece, and an endpoint processes one
//! call at a time. One [`Pool`] therefore holds all pieces for one service:
//! while every endpoint is busy, pieces queue up and the next call carries more
//! of them. Pieces that can still meet their due time go first, earliest due
//! time first, as long as the endpoints can process all of them in time. If they
//! cannot, room goes by rank, as described in `docs/design/pipelines.md`. Pieces
//! that cannot be processed before they expire are returned at once. A piece
//! with time to spare is deferred to endpoints in the data centre of its
//! inputs.
//!
//! Results occupy memory at their endpoint until they are released. A call is
//! limited to the free result memory, and endpoints without free memory are
//! skipped.

mod endpoint;
mod pool;
mod schedule;
mod selection;

pub use self::{
    endpoint::{Outcome, Results},
    pool::{Call, Expired, MAX_WAITING, Pool},
};

use std::time::Duration;

/// Identifies a piece within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One unit of work of one stage of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Identifier of the piece.
    pub ticket: Ticket,
    /// Number shared by all pieces of one stage of one request.
    pub job: u64,
    /// Time by which the result is needed for the request to be on time.
    pub due: Duration,
    /// Time after which the result is no longer useful.
    pub expires: Duration,
    /// Priority rank of the request. Rank 0 is the highest.
    pub rank: u32,
    /// Approximate size of the result in bytes.
    pub bytes: u64,
    /// Data centre of the inputs, or of the engine that the result goes to, if
    /// the transfer from or to another one is expensive.
    pub near: Option<DataCentre>,
    /// Whether the piece may wait for an endpoint in that data centre.
    pub deferrable: bool,
    /// Whether earlier stages of the request are complete.
    pub begun: bool,
}

/// Identifies a data centre within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DataCentre(pub u32);
