//! Encoding of documents as the JSON values that the platform stores.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Maximum size of a document, in bytes of JSON: the platform's limit for a
/// value.
pub const DOCUMENT_LIMIT_BYTES: usize = 1_000_000;

/// Error from encoding or decoding a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The document exceeds the platform's size limit.
    #[error("the document has {bytes} bytes, over the limit of {DOCUMENT_LIMIT_BYTES}")]
    TooLarge {
        /// Size of the document, in bytes of JSON.
        bytes: usize,
    },
    /// The value is not a valid document, or the document cannot be expressed as
    /// JSON.
    #[error("the document is invalid: {0}")]
    Damaged(String),
}

/// Encodes a document as a JSON value.
///
/// # Errors
///
/// Returns an error if the document exceeds [`DOCUMENT_LIMIT_BYTES`] or cannot
/// be expressed as JSON.
pub fn encode<T: Serialize>(document: &T) -> Result<Value, CodecError> {
    let value =
        serde_json::to_value(document).map_err(|error| CodecError::Damaged(error.to_string()))?;
    let bytes = value.to_string().len();
    if bytes > DOCUMENT_LIMIT_BYTES {
        return Err(CodecError::TooLarge { bytes });
    }
    Ok(value)
}

/// Decodes a document from a JSON value.
///
/// # Errors
///
/// Returns [`CodecError::Damaged`] if the value does not have the document's
/// form.
pub fn decode<T: DeserializeOwned>(value: Value) -> Result<T, CodecError> {
    serde_json::from_value(value).map_err(|error| CodecError::Damaged(error.to_string()))
}
