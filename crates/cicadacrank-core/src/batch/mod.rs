//! Gathers pieces of stages into calls.
//!
//! A call costs its endpoint a fixed time beside what each piece adds, and an
//! endpoint works on one call at a time. One [`Pool`] therefore holds all pieces
//! for one service: while every endpoint is busy, pieces gather, and the next
//! call is the fuller. Pieces that can still be on time go first, the most
//! pressing of them at the front; pieces that are late already fill what is
//! left, those that are least late first; pieces that will not have their turn
//! before they expire are given back at once. A piece with time to spare is left
//! for endpoints in the data centre of its inputs.
//!
//! Results take up room at their endpoint until they are given up, and a call is
//! no larger than the room that is left; endpoints without room are passed by.

mod endpoint;
mod pool;

pub use self::{
    endpoint::{Outcome, Results},
    pool::{Call, Expired, Pool},
};

use std::time::Duration;

/// Identifies a piece within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One piece of one stage of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Identifies the piece.
    pub ticket: Ticket,
    /// Pieces of one stage of one request share this number.
    pub job: u64,
    /// When the result must be there for the request to be on time.
    pub due: Duration,
    /// When the result is of no use any more.
    pub expires: Duration,
    /// Rank of the request, 0 first.
    pub rank: u32,
    /// About how large the result is, in bytes.
    pub bytes: u64,
    /// Data centre of what it is made of, where bringing that to another one
    /// matters.
    pub near: Option<DataCentre>,
}

/// Identifies a data centre within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DataCentre(pub u32);
