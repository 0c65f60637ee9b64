//! Selects the versions that an attempt may use.

use super::made;
use crate::gateway::state::{State, lock};
use cicadacrank_core::{
    directory::Endpoint,
    placement::{Fleet, Key, Track},
    rollout::{Choice, Exposure, Phase, Stage},
};

/// The endpoints that an attempt may use.
#[derive(Debug, Default)]
pub struct Guide {
    choice: Choice,
    /// Endpoints that must not be selected, because they were tried or take no part in the
    /// trial.
    pub tried: Vec<Key>,
    /// Phase that the choice was made in, and whether the version was stopped.
    pub(super) made: Option<(Phase, bool)>,
}

impl Guide {
    /// Returns the versions that the attempt may use.
    pub fn track(&self) -> Track<'_> {
        match &self.choice {
            Choice::Any => Track::Any,
            Choice::Only(version) | Choice::Sample(version) => Track::Only(version),
            Choice::Without(versions) => Track::Without(versions),
        }
    }

    /// Returns the guide for an attempt for which this one leaves no endpoint, if there is
    /// another.
    pub fn fallback(&self, tried: &[Key]) -> Option<Self> {
        let (Choice::Only(version) | Choice::Sample(version)) = &self.choice else {
            return None;
        };
        Some(Self {
            choice: Choice::Without(vec![version.clone()]),
            tried: tried.to_vec(),
            made: self.made,
        })
    }
}

/// Returns the endpoints that the next attempt at a service may use, beside those that were
/// `tried`. If only endpoints of one version can run the request, it is `bound`. A guide
/// to use the new version takes a request from the limit of its trial.
pub fn guide(state: &State, service: &str, bound: Option<&str>, tried: &[Key]) -> Guide {
    let now = state.clock.now();
    let guide = state.rollouts.with(service, |rollout| {
        let choice = match bound {
            Some(version) if rollout.try_continue(version, now) => Choice::Any,
            Some(version) => Choice::Without(vec![version.to_owned()]),
            None => rollout.choose(now),
        };
        (choice, rollout.stage(now), made(rollout))
    });
    complete(state, service, tried, guide)
}

/// Returns the endpoints that an attempt may use beyond a trial, beside those that were
/// `tried`. If only endpoints of one version can run the request, it is `bound`.
pub fn outlook(state: &State, service: &str, bound: Option<&str>, tried: &[Key]) -> Guide {
    let now = state.clock.now();
    let guide = state.rollouts.with(service, |rollout| {
        let choice = match bound {
            Some(version) if rollout.may_continue(version, now) => Choice::Any,
            Some(version) => Choice::Without(vec![version.to_owned()]),
            None => rollout.outlook(now),
        };
        (choice, rollout.stage(now), made(rollout))
    });
    complete(state, service, tried, guide)
}

fn complete(
    state: &State,
    service: &str,
    tried: &[Key],
    guide: Option<(Choice, Stage, (Phase, bool))>,
) -> Guide {
    let Some((mut choice, stage, made)) = guide else {
        return Guide {
            tried: tried.to_vec(),
            ..Guide::default()
        };
    };
    let mut tried = tried.to_vec();
    if choice != Choice::Any {
        let fleet = lock(&state.fleet);
        match &choice {
            Choice::Sample(version) => {
                tried.extend(left_out(state, &fleet, service, version, stage));
            }
            // Nothing else could run the request.
            Choice::Without(versions)
                if !fleet
                    .listed(service)
                    .any(|one| Track::Without(versions).allows(&one.version)) =>
            {
                choice = Choice::Any;
            }
            Choice::Any | Choice::Only(_) | Choice::Without(_) => {}
        }
    }
    Guide {
        choice,
        tried,
        made: Some(made),
    }
}

/// Returns the endpoints of a new version that take no part in its trial. They are about
/// the same for all gateways.
fn left_out(state: &State, fleet: &Fleet, service: &str, version: &str, stage: Stage) -> Vec<Key> {
    let usable = fleet.usable(service);
    let (mut new, old): (Vec<_>, Vec<_>) =
        usable.partition(|(_, row)| row.endpoint.version == version);
    let Some(bounds) = &state.rollouts.bounds else {
        return Vec::new();
    };
    let count = Exposure::endpoints(bounds, stage, old.len(), new.len());
    new.sort_by_key(|(_, row)| row.endpoint.life.digest());
    new.into_iter().skip(count).map(|(key, _)| key).collect()
}

/// Returns whether calls with pieces of stages may go to an endpoint now, for each of the
/// usable endpoints of a service.
pub fn allowed_workers(state: &State, endpoints: &[Endpoint]) -> Vec<bool> {
    let Some(service) = endpoints.first().map(|one| one.service.as_str()) else {
        return Vec::new();
    };
    let now = state.clock.now();
    let allowed = state.rollouts.with(service, |rollout| {
        let choice = rollout.outlook(now);
        let mut new: Vec<u64> = endpoints
            .iter()
            .filter(|one| rollout.is_new(&one.version))
            .map(|one| one.life.digest())
            .collect();
        new.sort_unstable();
        let old = endpoints.len() - new.len();
        let bounds = state.rollouts.bounds.filter(|_| rollout.has_room(now));
        let count = bounds.map_or(0, |bounds| {
            Exposure::endpoints(&bounds, rollout.stage(now), old, new.len())
        });
        let is_trial = rollout.phase() == Phase::Trial;
        new.truncate(if is_trial { count } else { 0 });
        let track = match &choice {
            Choice::Any => Track::Any,
            Choice::Only(version) | Choice::Sample(version) => Track::Only(version),
            Choice::Without(versions) => Track::Without(versions),
        };
        let allows = |one: &Endpoint| {
            track.allows(&one.version) || new.binary_search(&one.life.digest()).is_ok()
        };
        endpoints.iter().map(allows).collect()
    });
    let allowed: Vec<bool> = allowed.unwrap_or_default();
    // Without any other endpoint, all may be used.
    if allowed.contains(&true) {
        allowed
    } else {
        vec![true; endpoints.len()]
    }
}
