//! Records that the checker compares.

/// A stage that a request should pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Path of its call at an endpoint.
    pub path: String,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Whether it generates the text of the answer.
    pub generates: bool,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer is whole.
    Whole {
        /// Text of the answer.
        text: String,
        /// Marks that the results of plain services name, in order.
        marks: Vec<String>,
    },
    /// No part of the work ran.
    NotRun,
    /// Some of the work ran.
    Partial,
    /// Whether the work ran is not known.
    Unknown,
    /// The connection ended, or the caller gave up, without any word.
    Nothing,
}

/// One call of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Ties the call to runs and answers; the same when it is sent again.
    pub mark: String,
    /// Stages of its pipeline, in order.
    pub stages: Vec<Stage>,
    /// Tokens of a whole generation.
    pub tokens: u64,
    /// What the caller was told.
    pub reply: Reply,
}

/// One piece of work that reached an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Endpoint that it reached.
    pub endpoint: String,
    /// Path of the call.
    pub path: String,
    /// Mark in the body; empty when there is none.
    pub mark: String,
    /// Whether the answer was made in full.
    pub finished: bool,
}
