//! The record of work that may not be repeated.

use super::ExecutionError;
use crate::{error::Kind, id};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Shards of the claims of one stage.
pub const SHARDS: usize = 16;

/// Name of a claim: a digest over pipeline and stage, then one over team and
/// idempotency key as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Name(u128);

impl Name {
    /// Length of the digest over pipeline and stage, in bits.
    const STAGE_BITS: u32 = 32;

    /// Digits of a mark.
    pub const MARK_DIGITS: usize = 6;

    /// Creates the name; parts are length-prefixed, so that none runs into the
    /// next.
    #[must_use]
    pub fn new(team: &str, pipeline: &str, stage: &str, key: &str) -> Self {
        let stage_digest = digest(&[pipeline, stage]) << (u128::BITS - Self::STAGE_BITS);
        Self(stage_digest | digest(&[team, pipeline, stage, key]) >> Self::STAGE_BITS)
    }

    /// Returns the shard of the name among those of its stage.
    #[must_use]
    pub const fn shard(self) -> usize {
        (self.0 % SHARDS as u128) as usize
    }

    /// Returns the name of the object that holds the shard.
    #[must_use]
    pub fn object(self) -> String {
        let stage = self.0 >> (u128::BITS - Self::STAGE_BITS);
        format!("shard-{stage:08x}-{:02x}", self.shard())
    }

    /// Returns a short mark of the name, in hexadecimal digits.
    #[must_use]
    pub fn mark(self) -> String {
        let bits = 4 * Self::MARK_DIGITS as u32;
        let mark = (self.0 / SHARDS as u128) & ((1 << bits) - 1);
        format!("{mark:06x}")
    }
}

fn digest(parts: &[&str]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut bytes = [0; size_of::<u128>()];
    hasher.finalize_xof().fill(&mut bytes);
    u128::from_le_bytes(bytes)
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.to_string()
    }
}

impl TryFrom<String> for Name {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let name = u128::from_str_radix(&text, 16).map(Self);
        name.map_err(|_| "a name is 32 hexadecimal digits")
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// How far claimed work has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// The holder may have sent the work.
    Open,
    /// The holder surely did not send the work; another may take it over.
    Unsent,
    /// The work ended.
    Done {
        /// What it answered.
        outcome: Outcome,
    },
}

/// How claimed work ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The endpoint answered whole; the answer is kept.
    Answer {
        /// Output of the stage, as JSON text.
        output: String,
    },
    /// The endpoint answered whole, but the answer is too large to keep.
    Oversized,
    /// The endpoint refused the work as invalid.
    Refused {
        /// What it said.
        context: String,
    },
}

impl Outcome {
    /// Returns the kept output for a replay.
    ///
    /// # Errors
    ///
    /// Returns why there is none; the work is known to have ended.
    pub fn replay(self) -> Result<String, ExecutionError> {
        match self {
            Self::Answer { output } => Ok(output),
            Self::Oversized => Err(ExecutionError::partial(
                Kind::OutcomeUnknown,
                "the work ran; its answer was not kept",
            )),
            Self::Refused { context } => {
                Err(ExecutionError::partial(Kind::EndpointRefused, context))
            }
        }
    }
}

/// The record that one holder alone may run some work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Holder of the claim.
    pub holder: id::Holder,
    /// Attempt it was made for.
    pub attempt: id::Attempt,
    /// Digest of the caller's body, in hexadecimal digits.
    pub digest: String,
    /// Time the claim ends, in milliseconds since the Unix epoch.
    pub ends_unix_ms: u64,
    /// How far the work has come.
    #[serde(flatten)]
    pub state: State,
}

/// What a holder-to-be that meets a claim must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is its own: run the work.
    Run,
    /// Take the claim over, conditional on its version.
    TakeOver,
    /// Another holds the claim: look again later.
    Wait,
    /// Answer with the recorded outcome.
    Replay(Outcome),
    /// Refuse: the key was used with another body.
    Reused,
}

impl Claim {
    /// Creates an open claim.
    #[must_use]
    pub const fn new(
        holder: id::Holder,
        attempt: id::Attempt,
        digest: String,
        ends_unix_ms: u64,
    ) -> Self {
        Self {
            holder,
            attempt,
            digest,
            ends_unix_ms,
            state: State::Open,
        }
    }

    /// Returns the claim in another state.
    #[must_use]
    pub fn with_state(mut self, state: State) -> Self {
        self.state = state;
        self
    }

    /// Returns whether the claim has ended and may be deleted.
    #[must_use]
    pub const fn is_ended(&self, now_unix_ms: u64) -> bool {
        self.ends_unix_ms <= now_unix_ms
    }

    /// Decides what one that wants the claim must do on finding this one.
    ///
    /// The claim of the same attempt under another holder is another's: the
    /// job arrived twice, and only one of the two may run it.
    #[must_use]
    pub fn verdict(&self, wanted: &Self) -> Verdict {
        if self.digest != wanted.digest {
            return Verdict::Reused;
        }
        match &self.state {
            State::Open if self.holder == wanted.holder => Verdict::Run,
            State::Open => Verdict::Wait,
            State::Unsent => Verdict::TakeOver,
            State::Done { outcome } => Verdict::Replay(outcome.clone()),
        }
    }
}
