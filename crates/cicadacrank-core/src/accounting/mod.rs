//! Busy and idle slot time of endpoints, and what it costs whom.
//!
//! A sidecar keeps a [`Ledger`] for each endpoint and stores its [`Account`]
//! under the name of its own incarnation. Accounts are cumulative, so a write
//! that is lost or repeated changes no sum, and the time before a restart stays
//! in the account of the earlier incarnation. A [`Bill`] prices accounts by the
//! rules.

mod bill;
mod ledger;

pub use self::{
    bill::{Bill, Busy, Idle},
    ledger::{Account, Key, LINES_LIMIT, Ledger, Line, OTHER_TEAM},
};
