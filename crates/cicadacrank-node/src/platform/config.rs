//! Decodes the operators' configuration.

use cicadacrank_core::config::{
    Config, Engine, Key, Limits, Repeat, Route, Service, Stage, Target, Team, Worker,
};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;
use std::{fmt, time::Duration};

/// Name of the object that contains the configuration.
pub const NAME: &str = "main";

/// Number of bytes in a megabyte, by the definition of the platform.
const MEGABYTE: f64 = 1_000_000.0;

/// Maximum time in a configuration.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 60 * 60);

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    route_kind: WireKind,
    timeout_ms: f64,
    target_latency_ms: f64,
    #[serde(default)]
    priority: u32,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<WireTarget>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    phases: Vec<WireStage>,
    #[serde(default)]
    anonymous_access: bool,
    #[serde(default)]
    session_affinity: bool,
    #[serde(default)]
    stream_resumption: bool,
    max_gap_ms: Option<f64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireKind {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Deserialize)]
struct WireTarget {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireStage {
    service: String,
    #[serde(default)]
    after: Vec<usize>,
    #[serde(default)]
    byte_count: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: String,
    #[serde(default)]
    health_path: String,
    connection_limit: u32,
    #[serde(default)]
    cold_start_s: f64,
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<WireEngine>,
    /// Parameters of stage workers, not the pieces themselves.
    segments: Option<WireWorker>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEngine {
    slots: u32,
    kv_cache_tokens: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireWorker {
    slots: u32,
    queue: u32,
    batch: usize,
    call_time_ms: f64,
    item_time_ms: f64,
    /// Total memory for results, not the free part.
    headroom_mb: f64,
    handle_ttl_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTeam {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u32>,
}

const fn one() -> u32 {
    1
}

/// An invalid field of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The list and the position of the entry, or the name of the field.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}

/// Decodes a configuration.
///
/// # Errors
///
/// Returns a message that describes the first invalid field.
pub fn decode(content: &Value) -> Result<Config, String> {
    let (config, faults) = decode_valid(content);
    match faults.first() {
        Some(fault) => Err(fault.to_string()),
        None => Ok(config),
    }
}

/// Decodes what is valid in a configuration, and returns all faults of the rest.
#[must_use]
pub fn decode_valid(content: &Value) -> (Config, Vec<Fault>) {
    let mut reader = Reader {
        content,
        faults: Vec::new(),
    };
    let version = reader.field("version", |version: u64| Ok(version));
    let routes = reader.entries("routes", route);
    let services = reader.entries("services", service);
    let tenants: Vec<WireTeam> = reader.entries("tenants", Ok);
    let limits = reader.field("limits", limits);
    let mut keys = Vec::new();
    for (team, wire) in tenants.iter().enumerate() {
        keys.extend(wire.api_keys.iter().map(|secret| Key {
            secret: secret.clone(),
            team,
        }));
    }
    let teams = tenants.into_iter().map(|team| Team {
        name: team.name,
        rank: team.priority,
    });
    let config = Config::new(Config {
        version: version.unwrap_or_default(),
        routes,
        services,
        teams: teams.collect(),
        keys,
        limits: limits.unwrap_or_default(),
    });
    (config, reader.faults)
}

/// Reads the parts of a configuration, and collects the faults.
struct Reader<'a> {
    content: &'a Value,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn field<W: DeserializeOwned, T>(
        &mut self,
        name: &str,
        convert: impl FnOnce(W) -> Result<T, String>,
    ) -> Option<T> {
        let value = self.content.get(name);
        let wire = value.map_or_else(|| Err("the field is missing".to_owned()), read);
        self.take(name.to_owned(), wire.and_then(convert))
    }

    fn entries<W: DeserializeOwned, T>(
        &mut self,
        name: &str,
        convert: impl Fn(W) -> Result<T, String>,
    ) -> Vec<T> {
        let entries = match self.content.get(name) {
            None => return Vec::new(),
            Some(Value::Array(entries)) => entries.as_slice(),
            Some(_) => {
                self.take::<()>(name.to_owned(), Err("it is not a list".to_owned()));
                return Vec::new();
            }
        };
        let entries = entries.iter().enumerate();
        let read = entries.filter_map(|(number, entry)| {
            self.take(format!("{name}[{number}]"), read(entry).and_then(&convert))
        });
        read.collect()
    }

    fn take<T>(&mut self, place: String, result: Result<T, String>) -> Option<T> {
        result
            .map_err(|message| self.faults.push(Fault { place, message }))
            .ok()
    }
}

fn read<W: DeserializeOwned>(value: &Value) -> Result<W, String> {
    W::deserialize(value).map_err(|error| error.to_string())
}

fn limits(wire: WireLimits) -> Result<Limits, String> {
    Ok(Limits {
        head_bytes: wire.max_header_bytes,
        body_bytes: wire.max_body_bytes,
        idle: milliseconds(wire.idle_timeout_ms, "idleTimeoutMs")?,
        head_time: match wire.header_timeout_ms {
            Some(time) => milliseconds(time, "headerTimeoutMs")?,
            None => Limits::default_head_time(),
        },
    })
}

fn route(wire: WireRoute) -> Result<Route, String> {
    let repeat = match wire.route_kind {
        WireKind::Idempotent => Repeat::Idempotent,
        WireKind::NonIdempotent => Repeat::Once,
        WireKind::Streaming if wire.stream_resumption => Repeat::ResumableStream,
        WireKind::Streaming => Repeat::Stream,
    };
    let split = wire.traffic_split.into_iter().map(|target| Target {
        service: target.service,
        weight: target.weight,
    });
    let mut targets: Vec<Target> = split.collect();
    if targets.is_empty() {
        targets.extend(wire.service.map(|service| Target { service, weight: 1 }));
    }
    let stages: Result<Vec<_>, String> = wire.phases.into_iter().enumerate().map(stage).collect();
    Ok(Route {
        timeout: milliseconds(wire.timeout_ms, "timeoutMs")?,
        objective: milliseconds(wire.target_latency_ms, "targetLatencyMs")?,
        event_gap: match wire.max_gap_ms {
            Some(gap) => Some(milliseconds(gap, "maxGapMs")?),
            None => None,
        },
        name: wire.name,
        host: wire.host.to_ascii_lowercase(),
        prefix: wire.path_prefix,
        repeat,
        attempts: wire.max_attempts,
        rank: wire.priority,
        targets,
        stages: stages?,
        anonymous: wire.anonymous_access,
        prompt_parts: wire.session_affinity,
    })
}

fn stage((number, wire): (usize, WireStage)) -> Result<Stage, String> {
    if wire.after.iter().any(|before| *before >= number) {
        return Err(format!(
            "phase {number} is `after` a phase that does not precede it"
        ));
    }
    Ok(Stage {
        service: wire.service,
        after: wire.after,
        result_bytes: wire.byte_count.max(0.0) as u64,
    })
}

fn service(wire: WireService) -> Result<Service, String> {
    let worker = match wire.segments {
        Some(worker) => Some(Worker {
            slots: worker.slots,
            queue: worker.queue,
            batch: worker.batch.max(1),
            call_time: milliseconds(worker.call_time_ms, "callTimeMs")?,
            piece_time: milliseconds(worker.item_time_ms, "itemTimeMs")?,
            room_bytes: (worker.headroom_mb * MEGABYTE).max(0.0) as u64,
            result_life: milliseconds(worker.handle_ttl_s * 1_000.0, "handleTtlS")?,
        }),
        None => None,
    };
    Ok(Service {
        name: wire.name,
        connections: wire.connection_limit,
        cold_time: milliseconds(wire.cold_start_s * 1_000.0, "coldStartS")?,
        cold_rate: wire.cold_per_s,
        health_path: wire.health_path,
        engine: wire.engine.map(|engine| Engine {
            slots: engine.slots,
            memory_tokens: engine.kv_cache_tokens,
        }),
        worker,
    })
}

/// Converts a time. Longer times than [`MAX_TIME`] have the same effect.
fn milliseconds(value: f64, name: &str) -> Result<Duration, String> {
    let bounded = value.min(MAX_TIME.as_secs_f64() * 1_000.0);
    Duration::try_from_secs_f64(bounded / 1_000.0)
        .map_err(|error| format!("`{name}` is {value}: {error}"))
}
