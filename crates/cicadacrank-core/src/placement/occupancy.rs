//! What an endpoint states about its own load.

/// Load of an endpoint, as it states it in one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub slots: u32,
    /// Time that work takes at this moment, relative to the usual time, or `None` if the
    /// endpoint does not state it.
    pub pace: Option<f64>,
}
