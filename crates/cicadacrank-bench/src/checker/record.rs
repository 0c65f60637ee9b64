//! Records of calls and runs that the checker compares.

/// Stage of the pipeline that a request goes through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Path of the stage's request to an endpoint.
    pub path: String,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Whether the stage generates the text of the answer.
    pub generates: bool,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer is complete.
    Whole {
        /// Text of the answer.
        text: String,
        /// Marks that the results of plain services contain, in order.
        marks: Vec<String>,
    },
    /// No part of the work ran.
    NotRun,
    /// Some of the work ran.
    Partial,
    /// It is unknown whether the work ran.
    Unknown,
    /// The connection closed or the caller timed out without an answer.
    Nothing,
}

/// Request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies the request in runs and answers; a resent request keeps it.
    pub mark: String,
    /// Stages of its pipeline, in order.
    pub stages: Vec<Stage>,
    /// Number of tokens of a complete generation.
    pub tokens: u64,
    /// What the caller was told.
    pub reply: Reply,
}

/// Request that reached an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Path of the request.
    pub path: String,
    /// Mark in the body; empty if there is none.
    pub mark: String,
    /// Whether the endpoint produced the complete answer.
    pub finished: bool,
}
