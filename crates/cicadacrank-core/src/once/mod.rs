//! At-most-once execution of non-idempotent work.
//!
//! Two mechanisms guarantee this. A [`Claim`] is created in the platform before
//! the work is sent to its endpoint, and is never taken over while the work may
//! have been sent. The types [`Unsent`] and [`Sent`] ensure that only code that
//! runs before the first byte is sent can report that the work did not run.
//!
//! A store that comes back from a copy has lost its newest claims. Each process
//! remembers its [`Recent`] claims and writes them again, and during a [`Recovery`]
//! nobody makes a claim that the store does not show.

mod claim;
mod dedup;
mod error;
mod page;
mod recent;
mod send;
mod shard;

pub use self::{
    claim::{Claim, Name, Outcome, SHARDS, State, Verdict},
    dedup::{ATTEMPTS_LIMIT, Deduplicator},
    error::ExecutionError,
    page::Page,
    recent::{RECENT_TIME, Recent, Recovery},
    send::{Declined, Sent, Unsent},
    shard::{Entry, SHARD_BYTES, SPILL_BYTES, Shard},
};
