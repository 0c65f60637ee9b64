//! The processes of the system, as each process knows them.
//!
//! Each process announces its own incarnation, whether it is alive or leaving,
//! and its endpoints. The platform's list names processes that may exist. A
//! process that does not answer becomes suspect and then dead, unless it
//! refutes that with a higher incarnation. [`Table`] combines these sources;
//! [`is_watcher`] selects the processes that watch the platform on behalf of
//! the others.

mod member;
mod table;
mod watcher;

pub use self::{
    member::{Member, Role, State},
    table::{BUCKETS, Buckets, Table},
    watcher::{WATCHERS, is_watcher},
};
