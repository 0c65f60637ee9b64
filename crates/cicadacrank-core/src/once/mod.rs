//! Work that may not be repeated runs at most once.
//!
//! Two things make this hold. A [`Claim`] in the platform is created before
//! the work goes to its endpoint and is never taken over while it may have been
//! sent. And the types [`Unsent`] and [`Sent`] leave only the code before the
//! first byte able to say that the work did not run.

mod claim;
mod dedup;
mod error;
mod page;
mod send;
mod shard;

pub use self::{
    claim::{Claim, Name, Outcome, SHARDS, State, Verdict},
    dedup::{ATTEMPTS_LIMIT, Deduplicator},
    error::ExecutionError,
    page::Page,
    send::{Declined, Sent, Unsent},
    shard::{Entry, SHARD_BYTES, SPILL_BYTES, Shard},
};
