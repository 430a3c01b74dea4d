//! The operators' configuration: routes, services, limits and teams.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::units::{Bytes, Millis, Rate, Tokens};

/// How often a request of a route may run, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// An answer is a stream of numbered events.
    Stream {
        /// Whether another backend server may resume a stream after its last event.
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

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Service.
    pub service: CompactString,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// A route: the requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: CompactString,
    /// Host.
    pub host: CompactString,
    /// Path prefix that begins and ends with a slash.
    pub prefix: CompactString,
    /// How often a request may run, and whether its answer is a stream.
    pub kind: RouteKind,
    /// Longest time that a caller waits for an answer.
    pub timeout: Millis,
    /// Latency objective for an answer, or for the first event of a stream.
    pub objective: Millis,
    /// Objective for the longest pause between two events of a stream.
    pub max_gap: Option<Millis>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Largest number of backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests without a valid key are accepted.
    pub anonymous: bool,
    /// Services with their weights.
    pub backends: Vec<Backend>,
}

/// A model that an engine can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: CompactString,
    /// Number of VMs in a replica group.
    pub size: usize,
    /// Share of the expected load, relative to the other models.
    pub share: f64,
    /// Factor by which the engine's times are multiplied for this model.
    pub time_factor: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Millis,
    /// Time to load the weights from the VM's own memory.
    pub warm_load_time: Millis,
}

/// Configured performance figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a replica group processes at once.
    pub slots: u32,
    /// Tokens that the KV cache of a replica group holds.
    pub kv_capacity: Tokens,
    /// Number of token steps in one pass.
    pub steps_per_pass: u32,
    /// Milliseconds of a token step.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub step_ms_per_request: f64,
    /// Milliseconds that each thousand tokens of context add to a step.
    pub step_ms_per_context: f64,
    /// Prompt tokens that the prefill processes in a millisecond.
    pub prefill_per_ms: f64,
    /// Milliseconds that each million pairs of prompt tokens add to the prefill.
    pub prefill_ms_per_million_pairs: f64,
    /// Mean number of prompt tokens of a request.
    pub mean_prompt_tokens: u32,
    /// Mean number of output tokens of a request.
    pub mean_output_tokens: u32,
    /// Number of loads of weights that may begin per second across all servers.
    pub loads_per_second: f64,
    /// Number of concurrent loads beyond which each load takes longer.
    pub concurrent_loads: u32,
    /// Time from the order to open a replica group until it serves.
    pub open_time: Millis,
    /// Models that the engine can load.
    pub models: Vec<Model>,
}

impl Engine {
    /// Gets a model by name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// What the servers of a service can do while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Requests that a cold server can sustain.
    pub rate: Rate,
    /// Time for which a server is cold after a start during traffic.
    pub time: Millis,
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
    /// What a cold server can do; none if cold servers are loaded like others.
    pub warmup: Option<Warmup>,
}

/// Limits on requests and on connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of a request's head.
    pub header: Bytes,
    /// Largest size of a request's body.
    pub body: Bytes,
    /// Longest time to receive the head of a request.
    pub header_timeout: Millis,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Millis,
}

/// A team with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: CompactString,
    /// Priority that overrides the route's priority.
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
    /// Limits on callers, if any are configured.
    pub limits: Option<Limits>,
    /// Teams; empty if callers need no key.
    pub teams: Vec<Team>,
}

/// Reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The key is missing or belongs to no team.
    NoTeam,
}

/// A configuration with indexes for lookups by host and by key.
#[derive(Clone, Debug, Default)]
pub struct Index {
    configuration: Configuration,
    routes_by_host: HashMap<CompactString, Vec<usize>>,
    team_by_key: HashMap<CompactString, usize>,
}

impl Index {
    /// Builds the indexes of a configuration.
    #[must_use]
    pub fn new(configuration: Configuration) -> Self {
        let mut routes_by_host: HashMap<CompactString, Vec<usize>> = HashMap::new();
        for (position, route) in configuration.routes.iter().enumerate() {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(position);
        }
        for routes in routes_by_host.values_mut() {
            // Lookups take the first match, so the longest prefix comes first.
            routes.sort_by_key(|position| {
                std::cmp::Reverse(configuration.routes[*position].prefix.len())
            });
        }
        let mut team_by_key = HashMap::new();
        for (position, team) in configuration.teams.iter().enumerate() {
            for key in &team.keys {
                team_by_key.insert(key.clone(), position);
            }
        }
        Index {
            configuration,
            routes_by_host,
            team_by_key,
        }
    }

    /// Gets the configuration.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Gets the route for a host, with or without a port, and a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self
            .routes_by_host
            .get(name)
            .or_else(|| self.routes_by_host.get(host))?;
        routes
            .iter()
            .map(|position| &self.configuration.routes[*position])
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Gets the team that holds a key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.team_by_key
            .get(key)
            .map(|position| &self.configuration.teams[*position])
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
    /// Returns [`Denial::NoRoute`] if no route matches, and [`Denial::NoTeam`] if the route needs a
    /// key and no team holds the given one.
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
