//! The rule file: what operators state, one rule a line.
//!
//! A [`Book`] is the file resolved into arenas.

mod model;

pub use self::model::{
    Book, DataCentre, DataCentreKey, Endpoint, EndpointKey, Grant, Owner, OwnerKey, Pipeline,
    PipelineKey, Pool, PoolKey, Reservation, Service, Stage, Team, TeamKey, Window,
};
