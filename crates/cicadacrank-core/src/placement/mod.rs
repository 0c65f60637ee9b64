//! Chooses the endpoint for a request.
//!
//! A [`Fleet`] keeps one row for each endpoint in an arena: what this process
//! has in flight there, what other processes told of theirs, how it answered
//! lately, and how much a cold one was sent. Plain requests go where an answer
//! is expected soonest ([`Fleet::choose_plain`]); requests to model engines also
//! count what the engine has yet to read of prompts, whether it probably holds
//! the parts of this one, and how far results of stages have to travel
//! ([`Fleet::choose_engine`]).

mod fleet;
mod health;

pub use self::{
    fleet::{Fleet, Key, Load, Locality, Prompt, Row},
    health::{Health, Report},
};
