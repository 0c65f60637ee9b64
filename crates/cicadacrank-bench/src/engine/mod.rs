//! Stand-ins for model engines and plain services.
//!
//! A [`Server`] answers the protocols that endpoints speak and keeps a
//! [`Run`] for each piece of work, so that a checker apart from the code under
//! test can compare what ran with what callers were told.

mod profile;
mod server;

pub use self::{
    profile::Profile,
    server::{Run, Server},
};
