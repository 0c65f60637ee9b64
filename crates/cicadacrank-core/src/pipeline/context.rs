//! The accumulated outputs of the stages of a request.

use crate::{
    error::{Failure, Kind},
    rules::{Pool, Service},
};
use serde::Deserialize;
use serde_json::{Value, json};

/// Number of documents requested from a retriever.
const TOP_K: u32 = 8;

/// Maximum number of generated tokens when the caller sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// The accumulated outputs of the stages of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Context {
    request: Value,
    query: String,
    vector: Value,
    documents: Vec<Value>,
    results: Vec<Value>,
    text: Option<String>,
}

#[derive(Deserialize)]
struct Embeddings {
    data: Vec<Embedding>,
}

#[derive(Deserialize)]
struct Embedding {
    embedding: Value,
}

#[derive(Deserialize)]
struct Documents {
    documents: Vec<Value>,
}

#[derive(Deserialize)]
struct Ranking {
    results: Vec<Rank>,
}

#[derive(Deserialize)]
struct Rank {
    index: usize,
}

impl Context {
    /// Creates the context of a request from the caller's body.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRequest`] if the body is not a JSON object with a
    /// text field `query`.
    pub fn new(body: &[u8]) -> Result<Self, Failure> {
        let request: Value = serde_json::from_slice(body).map_err(|error| {
            Failure::not_run(Kind::BadRequest, format!("reading the body: {error}"))
        })?;
        let query = request
            .get("query")
            .and_then(Value::as_str)
            .ok_or_else(|| {
                Failure::not_run(Kind::BadRequest, "the body needs a text field `query`")
            })?
            .to_owned();
        Ok(Self {
            request,
            query,
            vector: Value::Null,
            documents: Vec::new(),
            results: Vec::new(),
            text: None,
        })
    }

    /// Returns the request body for an endpoint of the pool.
    #[must_use]
    pub fn input(&self, pool: &Pool) -> Value {
        match pool.service {
            Service::Encode => json!({ "model": pool.model, "input": self.query }),
            Service::Retrieve => json!({
                "query": self.query, "embedding": self.vector, "top_k": TOP_K,
            }),
            Service::Rerank => json!({
                "model": pool.model, "query": self.query, "documents": self.documents,
            }),
            Service::Generate => generation(pool, &self.prompt(), self.token_limit()),
            Service::Plain => json!({
                "request": self.request, "results": self.results, "text": self.text,
            }),
        }
    }

    /// Returns the request body that continues a generation after `text`, of
    /// which the caller has already received `chunks` chunks.
    ///
    /// The text is appended to the prompt, so that the engine neither repeats
    /// nor skips any of it. Each chunk holds at least one token and counts as
    /// one against the token limit. Returns `None` if no tokens are left.
    #[must_use]
    pub fn continuation_input(&self, pool: &Pool, text: &str, chunks: u64) -> Option<Value> {
        let left = self
            .token_limit()
            .checked_sub(chunks)
            .filter(|left| *left > 0)?;
        Some(generation(pool, &format!("{}{text}", self.prompt()), left))
    }

    /// Adds the output of a stage.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::EndpointProtocol`] if the output is not in the format of
    /// the service.
    pub fn add_output(&mut self, service: Service, output: &[u8]) -> Result<(), Failure> {
        match service {
            Service::Encode => {
                let answer: Embeddings = parse(output)?;
                let first = answer.data.into_iter().next();
                self.vector = first
                    .ok_or_else(|| invalid_output("the response contains no embedding"))?
                    .embedding;
            }
            Service::Retrieve => self.documents = parse::<Documents>(output)?.documents,
            Service::Rerank => self.rerank(&parse(output)?)?,
            Service::Generate => {
                let text =
                    str::from_utf8(output).map_err(|error| invalid_output(&error.to_string()))?;
                self.text = Some(text.to_owned());
            }
            Service::Plain => self.results.push(parse(output)?),
        }
        Ok(())
    }

    /// Returns the response to the caller.
    #[must_use]
    pub fn answer(&self) -> Value {
        json!({ "text": self.text, "documents": self.documents, "results": self.results })
    }

    fn rerank(&mut self, ranking: &Ranking) -> Result<(), Failure> {
        let documents = ranking
            .results
            .iter()
            .map(|rank| self.documents.get(rank.index).cloned())
            .collect::<Option<Vec<_>>>();
        self.documents = documents
            .ok_or_else(|| invalid_output("a rank refers to a document that does not exist"))?;
        Ok(())
    }

    fn token_limit(&self) -> u64 {
        let requested = self.request.get("max_tokens").and_then(Value::as_u64);
        requested.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    fn prompt(&self) -> String {
        let mut prompt = String::new();
        for part in self.documents.iter().chain(&self.results) {
            prompt.push_str(&part.to_string());
            prompt.push('\n');
        }
        prompt.push_str(&self.query);
        prompt
    }
}

fn generation(pool: &Pool, prompt: &str, tokens: u64) -> Value {
    json!({ "model": pool.model, "prompt": prompt, "stream": true, "max_tokens": tokens })
}

fn parse<'a, T: Deserialize<'a>>(output: &'a [u8]) -> Result<T, Failure> {
    serde_json::from_slice(output).map_err(|error| invalid_output(&error.to_string()))
}

fn invalid_output(context: &str) -> Failure {
    Failure::partial(
        Kind::EndpointProtocol,
        format!("reading the output of a stage: {context}"),
    )
}
