//! Selection among model engines.
//!
//! Rendezvous hashing assigns the shared parts of a prompt to one engine, the home
//! of the prompt, which every process computes alike. A request goes there unless
//! its queue costs more than reading the parts again; from elsewhere, the parts are
//! fetched from the home.

use super::{Fleet, Key, Locality, TOKENS_PER_START, Track, rendezvous_weight};
use crate::config::Config;
use std::time::Duration;

/// Cost of one request in flight, in prompt tokens. Each running request slows
/// every step of the others slightly.
const TOKENS_PER_RUNNING_REQUEST: u64 = 60;

/// Bytes of results whose transfer from another data centre costs as much as
/// reading one prompt token, at the price that users pay for both.
const BYTES_PER_TOKEN: u64 = 2_600;

/// Cost of a prompt token that other requests wait to have read, relative to one
/// that is read again. Waiting costs nothing while the objective is met.
const QUEUE_WEIGHT: f64 = 0.4;

/// Reduction of the cost of an engine from which on it is worth asking for a grant
/// to use it, in prompt tokens.
const MIN_GRANT_GAIN: f64 = 300.0;

/// The engines among which a request may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Selection {
    /// The best engine within the share that this process has in the limits for
    /// cold starts.
    pub within_share: Option<Choice>,
    /// A better engine, which needs a grant from the reserve of its limit.
    pub beyond_share: Option<Choice>,
}

/// An engine selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub key: Key,
    /// Another engine that probably caches the shared parts of the prompt, while
    /// the selected one probably does not.
    pub source: Option<Key>,
    /// Number of prompt tokens that the engine probably has to read.
    pub unread: u64,
    cost: f64,
}

/// Size and shared parts of the prompt of a model engine request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Total number of tokens.
    pub tokens: u64,
    /// Number of tokens in the parts that are shared with other requests.
    pub shared_tokens: u64,
    /// Digest of the shared parts, or `None` if there are none.
    pub shared: Option<u64>,
}

impl Prompt {
    /// Returns the number of tokens that are not shared with other requests.
    #[must_use]
    pub const fn own_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.shared_tokens)
    }
}

impl Fleet {
    /// Selects the model engines with the earliest expected first token, and the
    /// engines from which they may fetch the shared parts of the prompt.
    #[must_use]
    pub fn choose_engine(
        &self,
        config: &Config,
        service: &str,
        prompt: Prompt,
        locality: &Locality<'_>,
        now: Duration,
    ) -> Selection {
        let cold_rate = config.service(service).map_or(0.0, |one| one.cold_rate);
        let share = self.share();
        let blocked: Vec<Key> = self
            .rows()
            .filter(|(_, row)| {
                row.endpoint.service == service && !row.may_send(cold_rate, share, now)
            })
            .map(|(key, _)| key)
            .collect();
        let within_share = self.choose_unblocked(service, prompt, locality, &blocked, now);
        let best = if blocked.is_empty() {
            None
        } else {
            self.choose_unblocked(service, prompt, locality, &[], now)
        };
        let cost = within_share.map_or(f64::INFINITY, |choice| choice.cost);
        Selection {
            within_share,
            beyond_share: best.filter(|best| best.cost + MIN_GRANT_GAIN <= cost),
        }
    }

    fn choose_unblocked(
        &self,
        service: &str,
        prompt: Prompt,
        locality: &Locality<'_>,
        blocked: &[Key],
        now: Duration,
    ) -> Option<Choice> {
        let home = self.home(service, prompt, locality);
        let total: u64 = locality.results.iter().map(|(_, bytes)| bytes).sum();
        let (key, cost) = self.choose(service, locality, now, |key, row| {
            if blocked.contains(&key) {
                return f64::INFINITY;
            }
            let near = locality
                .results
                .iter()
                .find(|(data_centre, _)| *data_centre == row.endpoint.data_centre);
            let far = total - near.map_or(0, |(_, bytes)| *bytes);
            let unread = if home == Some(key) {
                prompt.own_tokens()
            } else {
                prompt.tokens
            };
            let queue = row.unread() + u64::from(row.in_flight()) * TOKENS_PER_RUNNING_REQUEST;
            let tokens = unread + far / BYTES_PER_TOKEN + TOKENS_PER_START;
            tokens as f64 + queue as f64 * QUEUE_WEIGHT
        })?;
        let source = home.filter(|home| *home != key);
        let source = source.filter(|home| {
            self.row(*home)
                .is_some_and(|row| !row.health.in_backoff(now))
        });
        Some(Choice {
            key,
            source,
            unread: prompt.own_tokens(),
            cost,
        })
    }

    /// Returns the data centre of the engine that probably caches the shared parts
    /// of a prompt, or `None` if there are none.
    #[must_use]
    pub fn home_data_centre(&self, service: &str, prompt: Prompt) -> Option<&str> {
        let home = self.home(service, prompt, &Locality::default())?;
        let row = self.row(home)?;
        Some(row.endpoint.data_centre.as_str())
    }

    /// Returns the home of a prompt, or `None` if it has no shared parts. During a roll-out
    /// it is one of the endpoints that the request may use.
    fn home(&self, service: &str, prompt: Prompt, locality: &Locality<'_>) -> Option<Key> {
        let shared = prompt.shared?;
        self.usable(service)
            .filter(|(key, row)| locality.track == Track::Any || locality.allows(*key, row))
            .max_by_key(|(_, row)| rendezvous_weight(shared, &row.endpoint.life.id))
            .map(|(key, _)| key)
    }
}
