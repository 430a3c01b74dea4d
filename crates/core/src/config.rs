//! The operators' configuration: routes, services, limits and teams.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::units::{Bytes, Millis, Tokens};

/// Which requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// Answers are streams of numbered events.
    Stream {
        /// Whether a stream may go on from its last event on another backend server.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run on a second server after it may have run on a first one.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Returns whether answers are streams.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Service.
    pub service: CompactString,
    /// Weight against the route's other services.
    pub weight: u32,
}

/// A route: the requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: CompactString,
    /// Host.
    pub host: CompactString,
    /// Beginning of the path, from slash to slash.
    pub prefix: CompactString,
    /// Which requests may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective: Millis,
    /// Longest pause between events that is on time.
    pub max_gap: Option<Millis>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Largest number of backend servers that get one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Services with their weights.
    pub backends: Vec<Backend>,
}

/// A model that an engine can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: CompactString,
    /// Number of VMs of a replica group.
    pub size: usize,
    /// Part of the work that is expected for the model.
    pub share: f64,
    /// Factor on all of the engine's times.
    pub time_factor: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Millis,
    /// Time to load the weights from the VM's own memory.
    pub warm_load_time: Millis,
}

/// Stated figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a replica group processes at once.
    pub slots: u32,
    /// Tokens that the KV cache of a replica group holds.
    pub kv_capacity: Tokens,
    /// Token steps of one pass.
    pub steps_per_pass: u32,
    /// Milliseconds of a token step.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub step_ms_per_request: f64,
    /// Milliseconds that each thousand tokens of context add to a step.
    pub step_ms_per_context: f64,
    /// Prompt tokens that are read in a millisecond.
    pub prefill_per_ms: f64,
    /// Milliseconds that a million pairs of prompt tokens add to reading.
    pub prefill_ms_per_million_pairs: f64,
    /// Mean number of prompt tokens of a request.
    pub mean_prompt_tokens: u32,
    /// Mean number of output tokens of a request.
    pub mean_output_tokens: u32,
    /// Loads that may begin in a second over all servers.
    pub loads_per_second: f64,
    /// Loads beyond which each one takes longer.
    pub concurrent_loads: u32,
    /// Time from the order to open a replica group until it serves.
    pub open_time: Millis,
    /// Models.
    pub models: Vec<Model>,
}

impl Engine {
    /// Gets a model by name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// A service of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Connections that a server accepts from all nodes together.
    pub max_connections: u32,
    /// Figures of the model engines, if the service's servers form replica groups.
    pub engine: Option<Engine>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request.
    pub header: Bytes,
    /// Largest body of a request.
    pub body: Bytes,
    /// Longest time for the head of a request.
    pub header_timeout: Millis,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Millis,
}

/// A team with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: CompactString,
    /// Priority that takes the place of the route's.
    pub priority: Option<u8>,
    /// Keys.
    pub keys: Vec<CompactString>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; later ones are larger.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds on callers, if the configuration has any.
    pub limits: Option<Limits>,
    /// Teams; none if callers need no key.
    pub teams: Vec<Team>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The key is missing or belongs to no team.
    NoTeam,
}

/// A configuration arranged for lookups by request.
#[derive(Clone, Debug, Default)]
pub struct Index {
    configuration: Configuration,
    hosts: HashMap<CompactString, Vec<usize>>,
    keys: HashMap<CompactString, usize>,
}

impl Index {
    /// Arranges a configuration.
    #[must_use]
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<CompactString, Vec<usize>> = HashMap::new();
        for (number, route) in configuration.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(number);
        }
        for routes in hosts.values_mut() {
            // The longest prefix goes first.
            routes.sort_by_key(|number| {
                std::cmp::Reverse(configuration.routes[*number].prefix.len())
            });
        }
        let mut keys = HashMap::new();
        for (number, team) in configuration.teams.iter().enumerate() {
            for key in &team.keys {
                keys.insert(key.clone(), number);
            }
        }
        Index {
            configuration,
            hosts,
            keys,
        }
    }

    /// Gets the configuration.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Gets the route of a host and a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name).or_else(|| self.hosts.get(host))?;
        routes
            .iter()
            .map(|number| &self.configuration.routes[*number])
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Gets the team that holds a key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.keys
            .get(key)
            .map(|number| &self.configuration.teams[*number])
    }

    /// Gets a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Returns the route and the team of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if no route matches or the key is not held by any team.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Team>), Denial> {
        let route = self.route(host, path).ok_or(Denial::NoRoute)?;
        if self.configuration.teams.is_empty() {
            return Ok((route, None));
        }
        match key.and_then(|key| self.team(key)) {
            Some(team) => Ok((route, Some(team))),
            None if route.anonymous => Ok((route, None)),
            None => Err(Denial::NoTeam),
        }
    }
}
