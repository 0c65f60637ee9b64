//! Claims on non-idempotent work.

use super::ExecutionError;
use crate::{error::Kind, id};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of shards that hold the claims of one stage.
pub const SHARDS: usize = 16;

/// Name of a claim.
///
/// The high bits are a digest of pipeline and stage, the low bits a digest of
/// team, pipeline, stage and idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Name(u128);

impl Name {
    /// Length of the digest of pipeline and stage, in bits.
    const STAGE_BITS: u32 = 32;

    /// Length of a mark, in hexadecimal digits.
    pub const MARK_DIGITS: usize = 6;

    /// Creates the name of a claim.
    ///
    /// Each part is hashed with its length as a prefix, so that different
    /// splits of the same text give different names.
    #[must_use]
    pub fn new(team: &str, pipeline: &str, stage: &str, key: &str) -> Self {
        let stage_digest = digest(&[pipeline, stage]) << (u128::BITS - Self::STAGE_BITS);
        Self(stage_digest | digest(&[team, pipeline, stage, key]) >> Self::STAGE_BITS)
    }

    /// Returns the index of the shard among those of the stage.
    #[must_use]
    pub const fn shard(self) -> usize {
        (self.0 % SHARDS as u128) as usize
    }

    /// Returns the name of the platform object that holds the shard.
    #[must_use]
    pub fn object(self) -> String {
        let stage = self.0 >> (u128::BITS - Self::STAGE_BITS);
        format!("shard-{stage:08x}-{:02x}", self.shard())
    }

    /// Returns a short fingerprint of the name, in hexadecimal digits.
    ///
    /// Different names may have the same mark.
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
        name.map_err(|_| "a claim name must be 32 hexadecimal digits")
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// State of the work that a claim covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// The holder may have sent the work.
    Open,
    /// The holder did not send the work; another holder may take the claim over.
    Unsent,
    /// The work has ended.
    Done {
        /// Outcome of the work.
        outcome: Outcome,
    },
}

/// Outcome of the work that a claim covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The endpoint answered completely, and the answer is stored.
    Answer {
        /// Output of the stage, as JSON text.
        output: String,
    },
    /// The endpoint answered completely, but the answer is too large to store.
    Oversized,
    /// The endpoint rejected the work as invalid.
    Refused {
        /// Reason given by the endpoint.
        context: String,
    },
}

impl Outcome {
    /// Returns the stored output, to replay it.
    ///
    /// # Errors
    ///
    /// Returns an error with [`Effect::Partial`](crate::error::Effect::Partial)
    /// if the answer was not stored or the endpoint rejected the work.
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

/// Record that gives one holder the exclusive right to run some work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identifier of the holder.
    pub holder: id::Holder,
    /// Attempt that the claim was created for.
    pub attempt: id::Attempt,
    /// Digest of the caller's request body, in hexadecimal digits.
    pub digest: String,
    /// Expiry time of the claim, in milliseconds since the Unix epoch.
    pub ends_unix_ms: u64,
    /// State of the work.
    #[serde(flatten)]
    pub state: State,
}

/// What a prospective holder must do when a claim exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run the work: the prospective holder has the claim.
    Run,
    /// Take the claim over, by an update conditional on its version.
    TakeOver,
    /// Retry later: another holder has the claim.
    Wait,
    /// Answer with the recorded outcome.
    Replay(Outcome),
    /// Refuse the work: the idempotency key was used with another body.
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

    /// Returns the claim with the given state.
    #[must_use]
    pub fn with_state(mut self, state: State) -> Self {
        self.state = state;
        self
    }

    /// Returns whether the claim has expired and may be deleted.
    #[must_use]
    pub const fn is_ended(&self, now_unix_ms: u64) -> bool {
        self.ends_unix_ms <= now_unix_ms
    }

    /// Returns what the holder of `wanted` must do, given that this claim
    /// exists.
    ///
    /// Holders are compared, not attempts: if the same job arrives twice, both
    /// copies have the same attempt, and only one of them may run it.
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
