//! Turns documents into the JSON values that the platform holds, and back.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Largest document, in bytes of JSON: the platform's bound on a value.
pub const DOCUMENT_LIMIT_BYTES: usize = 1_000_000;

/// Why a document could not be written or read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The document is over the platform's bound.
    #[error("the document takes {bytes} bytes, more than {DOCUMENT_LIMIT_BYTES}")]
    TooLarge {
        /// Size as JSON.
        bytes: usize,
    },
    /// The value is not a document.
    #[error("the document is damaged: {0}")]
    Damaged(String),
}

/// Encodes a document.
pub fn encode<T: Serialize>(document: &T) -> Result<Value, CodecError> {
    let value =
        serde_json::to_value(document).map_err(|error| CodecError::Damaged(error.to_string()))?;
    let bytes = value.to_string().len();
    if bytes > DOCUMENT_LIMIT_BYTES {
        return Err(CodecError::TooLarge { bytes });
    }
    Ok(value)
}

/// Decodes a document.
pub fn decode<T: DeserializeOwned>(value: Value) -> Result<T, CodecError> {
    serde_json::from_value(value).map_err(|error| CodecError::Damaged(error.to_string()))
}
