//! Stand-ins for what surrounds cicadacrank, and tools that measure it.
//!
//! [`platform`] stands in for the object API, [`engine`] for model engines and
//! plain services, and [`process`] runs the daemons as processes of their own.
//! [`fleet`] puts them together from a rule file. [`memory`] holds fakes of the
//! edges for tests in one process. [`load`] drives a fleet, [`checker`] compares
//! what callers were told with what ran, and [`report`] shows the figures.
//! Nothing here is published.

pub mod checker;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod load;
pub mod memory;
pub mod platform;
pub mod process;
pub mod report;
mod socket;
