//! Which endpoints changed last.

use crate::version::Version;
use std::collections::VecDeque;

/// Maximum number of changes that are remembered.
const MAX_CHANGES: usize = 1_024;

/// The ids of the endpoints that changed last, in the order of their versions.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// Version from which on all changes are remembered.
    from: Version,
    changes: VecDeque<(Version, String)>,
}

impl History {
    /// Creates a history that begins with the list of a version.
    pub(super) fn new(from: Version) -> Self {
        Self {
            from,
            changes: VecDeque::new(),
        }
    }

    /// Records that an endpoint changed.
    pub(super) fn record(&mut self, version: Version, id: &str) {
        if version <= self.from {
            return;
        }
        self.changes.push_back((version, id.to_owned()));
        if self.changes.len() > MAX_CHANGES
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.from = dropped;
        }
    }

    /// Returns the ids of the endpoints that changed after a version, sorted, or `None` if
    /// they are no longer known.
    pub(super) fn since(&self, version: Version) -> Option<Vec<&str>> {
        if version < self.from || version.era != self.from.era {
            return None;
        }
        let changes = self.changes.iter();
        let newer = changes.filter(|(changed, _)| *changed > version);
        let mut ids: Vec<&str> = newer.map(|(_, id)| id.as_str()).collect();
        ids.sort_unstable();
        ids.dedup();
        Some(ids)
    }
}
