//! Looks up routes, teams and services.

use super::{Config, Key, Route, Service, Team};

/// The reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route of the host has a prefix of the path.
    UnknownRoute,
    /// The route requires a key, and the request has none or an unknown one.
    UnknownKey,
}

impl Config {
    /// Creates a configuration with its lists in the order that the look-ups
    /// require.
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

    /// Returns whether a service neither streams answers nor runs stages.
    #[must_use]
    pub fn is_plain(&self, service: &Service) -> bool {
        let streams = |route: &Route| {
            let mut targets = route.targets.iter();
            route.repeat.is_stream() && targets.any(|target| target.service == service.name)
        };
        service.engine.is_none() && service.worker.is_none() && !self.routes.iter().any(streams)
    }

    /// Returns the services with streams that may be taken up at another endpoint, sorted.
    #[must_use]
    pub fn resumable_services(&self) -> Vec<String> {
        let routes = self.routes.iter();
        let resumable =
            routes.filter(|route| route.repeat.is_stream() && route.repeat.is_repeatable());
        let targets = resumable.flat_map(|route| &route.targets);
        let mut services: Vec<&str> = targets.map(|target| target.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        services.into_iter().map(str::to_owned).collect()
    }

    /// Returns the route of the host with the longest matching path prefix.
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

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        Some(&self.services[found.ok()?])
    }

    /// Returns the route of a request and the team that sent it.
    ///
    /// # Errors
    ///
    /// Returns an error if no route matches, or if the route requires a key and
    /// the request has no valid one.
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
    /// Selects the service for a request by weight, or `None` if all weights
    /// are 0. `draw` is a random number, uniform over all values.
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

    /// Returns the numbers of the stages that no other stage depends on.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(|number| {
            self.stages
                .iter()
                .all(|stage| !stage.after.contains(number))
        })
    }
}
