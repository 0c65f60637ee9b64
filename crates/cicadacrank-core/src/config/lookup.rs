//! Finds what a request is entitled to.

use super::{Config, Key, Route, Service, Team};

/// Why a request has no way to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route of the host has a prefix of the path.
    UnknownRoute,
    /// The route needs a key and the request has none that a team holds.
    UnknownKey,
}

impl Config {
    /// Creates a configuration, with its lists in the order that look-ups need.
    #[must_use]
    pub fn new(mut parts: Self) -> Self {
        parts
            .routes
            .sort_by(|one, other| (&one.host, &one.prefix).cmp(&(&other.host, &other.prefix)));
        parts
            .services
            .sort_by(|one, other| one.name.cmp(&other.name));
        parts.keys.sort();
        parts
    }

    /// Returns the route of the host whose prefix of the path is longest.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|route| route.host == host)
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the team that holds a key.
    #[must_use]
    pub fn team(&self, secret: &str) -> Option<&Team> {
        let found = self
            .keys
            .binary_search_by(|key: &Key| key.secret.as_str().cmp(secret));
        self.teams.get(self.keys[found.ok()?].team)
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        Some(&self.services[found.ok()?])
    }

    /// Returns the route of a request and the team that sends it.
    ///
    /// # Errors
    ///
    /// Says what the configuration lacks for the request.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        secret: Option<&str>,
    ) -> Result<(&Route, Option<&Team>), Rejection> {
        let route = self.route(host, path).ok_or(Rejection::UnknownRoute)?;
        let team = secret.and_then(|secret| self.team(secret));
        let needs_key = !route.anonymous && !self.teams.is_empty();
        if needs_key && team.is_none() {
            return Err(Rejection::UnknownKey);
        }
        Ok((route, team))
    }
}

impl Route {
    /// Returns the service that takes a request; `draw` is uniform over all
    /// numbers and makes the choice.
    #[must_use]
    pub fn target(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }

    /// Returns the numbers of the stages that no other stage follows.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(|number| {
            self.stages
                .iter()
                .all(|stage| !stage.after.contains(number))
        })
    }
}
