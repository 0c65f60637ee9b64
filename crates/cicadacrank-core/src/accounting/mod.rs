//! Busy and idle slot time of endpoints, and its cost by owner and team.
//!
//! A sidecar keeps a [`Ledger`] for each endpoint and stores its [`Account`]
//! under a name that is unique to the sidecar's incarnation. Accounts are
//! cumulative, so a lost or repeated write does not change the totals, and the
//! time before a restart remains in the account of the earlier incarnation. A
//! [`Bill`] applies the prices in the rules to the accounts.

mod bill;
mod ledger;

pub use self::{
    bill::{Bill, Busy, Idle},
    ledger::{Account, Key, LINES_LIMIT, Ledger, Line, OTHER_TEAM},
};
