//! When a gateway asks another one for what that knows of the store.

use crate::version::Version;
use std::time::Duration;

/// Time between two requests to other gateways.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a request that has not been answered no longer keeps others back.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Time that a gateway waits for changes before it asks for the whole list of endpoints,
/// while its own calls to the store succeed. A watch that has gone silent is found only
/// later.
const PATIENCE: Duration = Duration::from_secs(2);

/// What a gateway asks another one for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// What is newer, but of the endpoints only the changes.
    Changes,
    /// What is newer, and all endpoints if their changes are not known.
    Whole,
}

/// The requests of one gateway for newer knowledge of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Catchup {
    /// A newer version of the endpoints that another gateway has, and the time at which
    /// that became known.
    missing: Option<(Version, Duration)>,
    asked_at: Option<Duration>,
    is_asking: bool,
}

impl Catchup {
    /// Returns what to ask a gateway for that knows more, or `None` if a request is under
    /// way or was made just now. `own` and `theirs` are versions of the endpoints, and
    /// `has_store` states that the calls of the local gateway to the store succeed.
    pub fn begin(
        &mut self,
        own: Version,
        theirs: Version,
        has_store: bool,
        now: Duration,
    ) -> Option<Request> {
        self.missing = self.missing.filter(|(version, _)| *version > own);
        if theirs > own {
            self.missing.get_or_insert((theirs, now));
        }
        let pause = if self.is_asking { TIMEOUT } else { INTERVAL };
        if self.asked_at.is_some_and(|at| now < at + pause) {
            return None;
        }
        self.is_asking = true;
        self.asked_at = Some(now);
        let is_late = self
            .missing
            .is_some_and(|(_, since)| now >= since + PATIENCE);
        Some(if is_late || !has_store {
            Request::Whole
        } else {
            Request::Changes
        })
    }

    /// Records the end of a request.
    pub const fn end(&mut self) {
        self.is_asking = false;
    }
}
