//! Answers of simulated endpoints.

use serde_json::{Value, json};

/// Prefix of the mark that identifies a request.
const MARK: &str = "mark:";

/// Returns the mark in a request, or an empty string if it has none.
///
/// The mark consists of the ASCII letters, digits and hyphens after `mark:`.
#[must_use]
pub fn mark_of(text: &str) -> &str {
    let Some(start) = text.find(MARK) else {
        return "";
    };
    let rest = &text[start + MARK.len()..];
    let end = rest.find(|character: char| !character.is_ascii_alphanumeric() && character != '-');
    &rest[..end.unwrap_or(rest.len())]
}

/// Returns a token of a generation, which starts with the mark if there is one.
#[must_use]
pub fn token(mark: &str, index: u64) -> String {
    if mark.is_empty() {
        format!("word{index} ")
    } else {
        format!("{mark}.{index} ")
    }
}

/// Returns the index of the first token to generate. If the prompt ends with a
/// token of the generation, the generation continues after that token.
pub(super) fn next_token(mark: &str, prompt: &str, tokens: u64) -> u64 {
    let is_suffix = |index: &u64| prompt.ends_with(&token(mark, *index));
    (0..tokens)
        .rev()
        .find(is_suffix)
        .map_or(0, |index| index + 1)
}

/// Returns the body of an answer that is not streamed.
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
