//! Simulated dependencies of cicadacrank, and tools to test and measure it.
//!
//! [`platform`] simulates the object API, [`engine`] simulates model engines and
//! plain services, and [`process`] runs the daemons as separate processes.
//! [`fleet`] starts a complete system from a rule file, and [`deployment`] starts
//! gateways with their endpoints. [`memory`] holds in-memory fakes for tests in
//! one process. [`load`] generates load for a fleet, [`checker`] compares what
//! callers were told with what ran, and [`report`] formats the results. This
//! package is not published.

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
