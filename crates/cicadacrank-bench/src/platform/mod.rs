//! Stand-in for the platform's object API.
//!
//! [`State`] holds the objects and the faults it has been told to show;
//! [`Server`] serves it over HTTP as the users' platform does.

mod server;
mod state;
mod watch;

pub use self::{
    server::Server,
    state::{Counts, Faults, Rejection, State, Step},
    watch::steps,
};
