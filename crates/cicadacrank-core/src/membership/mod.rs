//! Which processes there are, as each process knows it.
//!
//! Each process states itself: its incarnation, whether it is alive or leaving,
//! and its endpoints. The platform's list names processes that may be there.
//! A process that does not answer becomes suspect, then dead, unless it refutes
//! that with a higher incarnation. [`Table`] joins all three; [`is_watcher`]
//! picks the processes that watch the platform for the rest.

mod member;
mod table;
mod watcher;

pub use self::{
    member::{Member, Role, State},
    table::{BUCKETS, Buckets, Table},
    watcher::{WATCHERS, is_watcher},
};
