//! Selects the endpoint for a request.
//!
//! A [`Fleet`] keeps one row per endpoint in an arena. The row holds the load
//! of this process, the load that other processes reported, the recent health
//! of the endpoint, and the sends that count towards its cold limit. Plain
//! requests go to the endpoint with the earliest expected response
//! ([`Fleet::choose_plain`]). For requests to model engines, the selection also
//! takes into account the prompt tokens that the engine has yet to read,
//! whether it probably caches the shared parts of the prompt, and the size of
//! stage results in other data centres ([`Fleet::choose_engine`]).
//!
//! What is known of the load that other processes put on an endpoint is late. [`Knowledge`]
//! says how much of it still holds, and [`mod@draw`] keeps processes with the same knowledge
//! from all selecting the same endpoint. [`Speed`] is how long an endpoint usually takes.

pub mod draw;
mod fleet;
mod health;
mod occupancy;
mod speed;

pub use self::{
    fleet::{
        Choice, Fleet, Key, Knowledge, Limit, Load, Locality, Prompt, Row, Selection, Software,
        Track, work,
    },
    health::{Health, Report},
    occupancy::Occupancy,
    speed::Speed,
};
