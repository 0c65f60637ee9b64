//! Mock of the platform's object API, with fault injection.
//!
//! [`State`] holds the objects and the faults to inject; [`Server`] serves it
//! over HTTP with the API of the real platform.

mod server;
mod state;
mod watch;

pub use self::{
    server::Server,
    state::{Copy, Counts, Faults, Rejection, State, Step},
    watch::steps,
};
