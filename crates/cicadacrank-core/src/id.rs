//! Identifiers of requests and attempts, and digests of bodies.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! ids {
    ($($(#[$doc:meta])* $id:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
            #[serde(into = "String", try_from = "String")]
            pub struct $id(u128);

            impl $id {
                /// Creates the identifier from random bits.
                #[must_use]
                pub const fn new(random: u128) -> Self {
                    Self(random)
                }

                /// Parses the identifier from 32 hexadecimal digits.
                ///
                /// Returns `None` if the text has another form.
                #[must_use]
                pub fn parse(text: &str) -> Option<Self> {
                    if text.len() != 32 {
                        return None;
                    }
                    u128::from_str_radix(text, 16).ok().map(Self)
                }
            }

            impl fmt::Display for $id {
                fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write!(formatter, "{:032x}", self.0)
                }
            }

            impl From<$id> for String {
                fn from(id: $id) -> Self {
                    id.to_string()
                }
            }

            impl TryFrom<String> for $id {
                type Error = &'static str;

                fn try_from(text: String) -> Result<Self, Self::Error> {
                    Self::parse(&text).ok_or("an identifier must be 32 hexadecimal digits")
                }
            }
        )*
    };
}

ids! {
    /// Identifies a caller's request across all its attempts.
    Request;
    /// Identifies one attempt to run one stage.
    Attempt;
    /// Identifies one try to acquire a claim; each copy of a job that arrives
    /// twice has its own.
    Holder;
}

/// Length of a digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// Returns the digest of a caller's request body.
#[must_use]
pub fn digest(body: &[u8]) -> [u8; DIGEST_BYTES] {
    *blake3::hash(body).as_bytes()
}
