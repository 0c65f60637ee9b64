//! What stand-ins answer.

use serde_json::{Value, json};

/// Word before the text that ties an answer to its request.
const MARK: &str = "mark:";

/// Returns the mark of a request; empty when it has none.
///
/// A mark is the letters, digits and hyphens after `mark:`.
#[must_use]
pub fn mark_of(text: &str) -> &str {
    let Some(start) = text.find(MARK) else {
        return "";
    };
    let rest = &text[start + MARK.len()..];
    let end = rest.find(|character: char| !character.is_ascii_alphanumeric() && character != '-');
    &rest[..end.unwrap_or(rest.len())]
}

/// Returns one token of a generation; it holds the mark if there is one.
#[must_use]
pub fn token(mark: &str, index: u64) -> String {
    if mark.is_empty() {
        format!("word{index} ")
    } else {
        format!("{mark}.{index} ")
    }
}

/// Returns the number of the token that follows a prompt: a prompt that ends
/// with a token of the generation goes on after it.
pub(super) fn next_token(mark: &str, prompt: &str, tokens: u64) -> u64 {
    let is_suffix = |index: &u64| prompt.ends_with(&token(mark, *index));
    (0..tokens)
        .rev()
        .find(is_suffix)
        .map_or(0, |index| index + 1)
}

/// Returns the body of an answer that comes in one part.
pub(super) fn body(name: &str, path: &str, input: &Value) -> Value {
    match path {
        "/v1/embeddings" => json!({ "data": [{ "embedding": [0.25, 0.5, 0.75] }] }),
        "/v1/retrieve" => json!({ "documents": [
            { "id": 1, "text": "opening hours" }, { "id": 2, "text": "menu" },
        ]}),
        "/v1/rerank" => {
            let count = input["documents"].as_array().map_or(0, Vec::len);
            let results: Vec<Value> = (0..count)
                .rev()
                .map(|index| json!({ "index": index, "relevance_score": 0.5 }))
                .collect();
            json!({ "results": results })
        }
        _ => json!({ "service": name, "path": path, "for": input["request"]["query"] }),
    }
}
