//! Selection among model engines.
//!
//! Rendezvous hashing assigns the shared parts of a prompt to one engine, the home
//! of the prompt, which every process computes alike. A request goes there unless
//! its queue costs more than reading the parts again; from elsewhere, the parts are
//! fetched from the home.

use super::{Fleet, Key, Locality, Row, TOKENS_PER_START, Track, rendezvous_weight, select::Cost};
use crate::{config::Config, placement::draw};
use std::time::Duration;

/// Cost of one request in flight, in prompt tokens. Each running request slows
/// every step of the others slightly.
const TOKENS_PER_RUNNING_REQUEST: f64 = 60.0;

/// Bytes of results whose transfer from another data centre costs as much as
/// reading one prompt token, at the price that users pay for both.
const BYTES_PER_TOKEN: u64 = 2_600;

/// Divisor of the shared tokens of a prompt. The quotient is what the engine that its
/// requests go to after its home is expected to cache.
const KEPT_AT_SECOND_DIVISOR: u64 = 2;

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
        let (home, second) = self.homes(service, prompt, locality);
        let total: u64 = locality.results.iter().map(|(_, bytes)| bytes).sum();
        let knowledge = self.knowledge(service, now);
        let per_endpoint = |sum: f64| sum / knowledge.endpoints.max(1) as f64;
        let mut candidates = self.candidates(service, locality, now, |key, row| {
            let near = locality
                .results
                .iter()
                .find(|(data_centre, _)| *data_centre == row.endpoint.data_centre);
            let far = total - near.map_or(0, |(_, bytes)| *bytes);
            let read_again = if home == Some(key) {
                0
            } else {
                prompt.shared_tokens
            };
            // What others have sent since has gone to the homes of its prompts, which are
            // spread evenly.
            let waiting = row.waiting(&knowledge) + per_endpoint(knowledge.unread);
            let running = row.staying(&knowledge) + per_endpoint(knowledge.requests);
            let queue = running.mul_add(TOKENS_PER_RUNNING_REQUEST, waiting);
            let own = prompt.own_tokens();
            let tokens = (own + far / BYTES_PER_TOKEN + TOKENS_PER_START) as f64;
            (!blocked.contains(&key)).then_some(Cost {
                own: queue.mul_add(QUEUE_WEIGHT, tokens),
                step: ((own + read_again) as f64 + TOKENS_PER_RUNNING_REQUEST) * QUEUE_WEIGHT,
                extra: read_again as f64,
            })
        });
        let mut take = |home: Option<Key>| {
            let found = candidates.iter().position(|one| home == Some(one.key));
            found.map(|index| candidates.remove(index))
        };
        let (at_home, at_second) = (take(home), take(second));
        let others = knowledge.prompts(prompt.tokens);
        let elsewhere = draw::draw(&mut candidates, others, locality.seed);
        // Requests that leave their home for the same engine find the parts there.
        let kept = (prompt.shared_tokens / KEPT_AT_SECOND_DIVISOR) as f64;
        let kept = kept * self.average_times(service);
        let away = match (at_second, elsewhere) {
            (Some(second), Some(elsewhere)) if second.cost - kept > elsewhere.cost => elsewhere,
            (Some(second), _) => second,
            (None, Some(elsewhere)) => elsewhere,
            (None, None) => at_home?,
        };
        let drawn = at_home
            .filter(|home| home.cost <= away.cost)
            .unwrap_or(away);
        let (key, cost) = (drawn.key, drawn.cost);
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

    /// Returns the engine that probably caches the shared parts of a prompt, the home of
    /// the prompt, or `None` if there are none. During a roll-out it is one of the engines
    /// that the request may use.
    #[must_use]
    pub fn home(&self, service: &str, prompt: Prompt, locality: &Locality<'_>) -> Option<Key> {
        self.homes(service, prompt, locality).0
    }

    /// Returns the home of a prompt, and the engine to which its requests go first when
    /// that one is slow or busy.
    fn homes(
        &self,
        service: &str,
        prompt: Prompt,
        locality: &Locality<'_>,
    ) -> (Option<Key>, Option<Key>) {
        let Some(shared) = prompt.shared else {
            return (None, None);
        };
        let may_use =
            |(key, row): &(Key, &Row)| locality.track == Track::Any || locality.allows(*key, row);
        let weighed = self.usable(service).filter(may_use).map(|(key, row)| {
            let weight = rendezvous_weight(shared, &row.endpoint.life.id);
            Some((weight, key))
        });
        let (home, second) = weighed.fold((None, None), |(home, second), one| {
            if one > home {
                (one, home)
            } else {
                (home, second.max(one))
            }
        });
        (home.map(|(_, key)| key), second.map(|(_, key)| key))
    }
}
