//! At-most-once execution of non-idempotent work.
//!
//! Two mechanisms guarantee this. A [`Claim`] is created in the platform before
//! the work is sent to its endpoint, and is never taken over while the work may
//! have been sent. The types [`Unsent`] and [`Sent`] ensure that only code that
//! runs before the first byte is sent can report that the work did not run.

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
