//! Exchanges state with other gateways that the store does not hold: which
//! gateways are live, what each has in flight and which requests crash endpoints.
//! Also passes on the content of the store to gateways that cannot read it.

mod codec;

use self::codec::{
    decode_gateway, decode_life, decode_limit, decode_output, decode_task, encode_gateway,
    encode_life, encode_limit, encode_output, encode_task,
};
use super::{
    lifetime,
    owner::{self, Failure, Task},
    stages::Output,
    state::{State, lock},
};
use crate::{clock::milliseconds, daemon};
use cicadacrank_core::{
    directory::Incarnation,
    error::Kind,
    event::Event,
    placement::{Load, Row},
    roster::Gateway,
    version::Version,
};
use cicadacrank_wire::wire::{
    Beat, EndpointLoad, GrantAnswer, GrantRequest, Knowledge, Production, Released, Remembered,
    Results, StreamAnswer, StreamOrigins, StreamQuestion, Versions,
    gateway_client::GatewayClient,
    gateway_server::{Gateway as Serve, GatewayServer},
};
use miette::Result;
use rand::seq::IteratorRandom as _;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::{self, Instant};
use tonic::{
    Request, Response, Status, async_trait,
    transport::{Channel, Endpoint, Server, server::TcpIncoming},
};

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of gateways to which one heartbeat is sent.
const FAN_OUT: usize = 8;

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which heartbeats report a changed cause of crashes. Gateways that learn
/// of it report it in turn.
const CAUSES_REPORT_TIME: Duration = Duration::from_millis(1_500);

/// Time for which heartbeats report a limit that an endpoint stated. Gateways that
/// learn of it report it in turn.
const LIMITS_REPORT_TIME: Duration = Duration::from_secs(2);

/// Number of heartbeats of a process that has just started. It is told all limits that
/// endpoints stated, since it has no answers yet.
const FIRST_HEARTBEATS: u64 = 8;

/// Maximum number of causes of crashes in one heartbeat.
const MAX_CAUSES: usize = 256;

/// Maximum number of leaving endpoints in one heartbeat.
const MAX_DEPARTURES: usize = 256;

/// Maximum number of endpoints whose processes have ended in one heartbeat.
const MAX_ENDS: usize = 256;

/// Timeout of a fetch of newer state, and of a release, at another gateway.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a request for a grant. It also bounds the age of a grant that is
/// used, so that sends stay within the window in which they were granted.
const GRANT_TIMEOUT: Duration = Duration::from_millis(40);

/// Timeout of a connection attempt to another gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Silence on a connection after which a client sends a keepalive ping, and the
/// timeout of that ping.
const KEEPALIVE: Duration = Duration::from_millis(400);

/// Added to the remaining time of a task before the gateway that processes it
/// counts as failed.
const PRODUCE_TIMEOUT_EXTRA: Duration = Duration::from_millis(200);

/// Maximum size of a message in bytes. The largest messages carry the
/// configuration of a large deployment.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Connections to other gateways, by address.
#[derive(Debug, Default)]
pub struct Links {
    channels: Mutex<Vec<Link>>,
}

#[derive(Debug)]
struct Link {
    address: String,
    channel: Channel,
}

impl Links {
    /// Returns a client for the gateway at an address, which connects when it is
    /// first used.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is invalid.
    pub(super) fn client(&self, address: &str) -> Result<GatewayClient<Channel>, String> {
        let mut links = lock(&self.channels);
        let found = links.binary_search_by(|link| link.address.as_str().cmp(address));
        let channel = match found {
            Ok(index) => links[index].channel.clone(),
            Err(index) => {
                let channel = Endpoint::from_shared(format!("http://{address}"))
                    .map_err(|error| error.to_string())?
                    .connect_timeout(CONNECT_TIMEOUT)
                    .tcp_nodelay(true)
                    .http2_keep_alive_interval(KEEPALIVE)
                    .keep_alive_timeout(KEEPALIVE)
                    .keep_alive_while_idle(true)
                    .connect_lazy();
                let link = Link {
                    address: address.to_owned(),
                    channel: channel.clone(),
                };
                links.insert(index, link);
                channel
            }
        };
        Ok(GatewayClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Drops a connection that may no longer respond. The next call reconnects.
    fn drop_link(&self, address: &str) {
        lock(&self.channels).retain(|link| link.address != address);
    }
}

/// Starts the server for other gateways and the heartbeats to them.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(state: &Arc<State>) -> Result<()> {
    let listener = daemon::bind(state.settings.listen)?;
    let service = GatewayServer::new(Handler(Arc::clone(state)))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE * 4))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .add_service(service)
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)));
    tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the server for other gateways stopped: {error}");
        }
    });
    tokio::spawn(run_heartbeats(Arc::clone(state)));
    Ok(())
}

async fn run_heartbeats(state: Arc<State>) {
    let mut period = time::interval(HEARTBEAT_INTERVAL);
    period.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let own = state.settings.listen.to_string();
    loop {
        period.tick().await;
        lock(&state.roster).count_heartbeat();
        report_silent(&state);
        state.update_shares();
        let known: Vec<Gateway> = lock(&state.roster).others().cloned().collect();
        let mut addresses: Vec<String> = known
            .iter()
            .map(|gateway| gateway.address.clone())
            .collect();
        for seed in &state.settings.seeds {
            let seed = seed.to_string();
            if seed != own && !addresses.contains(&seed) {
                addresses.push(seed);
            }
        }
        let chosen = addresses.into_iter().sample(&mut rand::rng(), FAN_OUT);
        for address in chosen {
            let instance = known
                .iter()
                .find(|gateway| gateway.address == address)
                .map(|gateway| gateway.instance.clone());
            tokio::spawn(send_heartbeat(Arc::clone(&state), address, instance));
        }
    }
}

/// Logs the gateways that have become silent, and drops their load.
fn report_silent(state: &State) {
    let silent = lock(&state.roster).take_silent(state.clock.now());
    for instance in silent {
        Event::PeerLost.log(format_args!("instance={instance} fault=\"no heartbeat\""));
        state.drop_peer_loads(&instance);
    }
}

async fn send_heartbeat(state: Arc<State>, address: String, instance: Option<String>) {
    let client = state.links.client(&address);
    let beat = heartbeat(&state, LIMITS_REPORT_TIME);
    let answer = match client {
        Ok(mut client) => time::timeout(HEARTBEAT_TIMEOUT, client.exchange(beat)).await,
        Err(error) => {
            log::error!("invalid gateway address {address}: {error}");
            return;
        }
    };
    match answer {
        Ok(Ok(beat)) => handle_heartbeat(&state, beat.into_inner(), &address),
        Ok(Err(_)) | Err(_) => {
            state.links.drop_link(&address);
            let Some(instance) = instance else { return };
            let now = state.clock.now();
            if lock(&state.roster).record_failure(&instance, now) {
                Event::PeerLost.log(format_args!("instance={instance} fault=\"no answer\""));
                state.drop_peer_loads(&instance);
            }
        }
    }
}

/// Returns a heartbeat, which reports the limits that endpoints stated within
/// `limits_time`.
fn heartbeat(state: &State, limits_time: Duration) -> Beat {
    let now = state.clock.now();
    let roster = lock(&state.roster);
    let local = Some(encode_gateway(roster.local()));
    let others = roster.live(now).map(encode_gateway).collect();
    drop(roster);
    let fleet = lock(&state.fleet);
    let limits = fleet.stated_limits(now, limits_time);
    let limits = limits.map(|(endpoint, limit)| encode_limit(endpoint, limit, now));
    let limits = limits.collect();
    let leaving = fleet.leaving().take(MAX_DEPARTURES);
    let leaving = leaving.map(encode_life).collect();
    let ended = fleet.ended().take(MAX_ENDS).map(encode_life).collect();
    let loads = fleet
        .own_loads()
        .map(|(id, load)| EndpointLoad {
            endpoint: id.to_owned(),
            in_flight: load.in_flight,
            unread: load.unread,
        })
        .collect();
    drop(fleet);
    Beat {
        limits,
        leaving,
        ended,
        me: local,
        versions: Some(versions(state)),
        others,
        loads,
        suspects: state.causes.report(CAUSES_REPORT_TIME, MAX_CAUSES),
    }
}

fn versions(state: &State) -> Versions {
    let (endpoints, evacuation) = state.versions();
    Versions {
        config: state.config().map_or(0, |config| config.version),
        endpoints: endpoints.revision,
        evacuation: evacuation.revision,
        endpoints_era: endpoints.era,
        evacuation_era: evacuation.era,
        config_era: state.config_era(),
    }
}

/// Returns the version of the configuration, which operators number, and the era of
/// the store that held it last.
const fn config_version(versions: &Versions) -> (u64, u64) {
    (versions.config, versions.config_era)
}

/// Returns the version of the list of endpoints.
const fn endpoints_version(versions: &Versions) -> Version {
    Version::new(versions.endpoints_era, versions.endpoints)
}

/// Returns the version of the list of evacuated data centres.
const fn evacuation_version(versions: &Versions) -> Version {
    Version::new(versions.evacuation_era, versions.evacuation)
}

/// Processes a heartbeat. If its sender has newer state, fetches that from
/// `address` or, if `address` is empty, from the address that the sender names.
fn handle_heartbeat(state: &Arc<State>, beat: Beat, address: &str) {
    let now = state.clock.now();
    let Some(sender) = beat.me.map(decode_gateway) else {
        return;
    };
    let instance = sender.instance.clone();
    let source = if address.is_empty() {
        sender.address.clone()
    } else {
        address.to_owned()
    };
    let mut roster = lock(&state.roster);
    if roster.record_contact(sender, now) {
        Event::PeerRegained.log(format_args!("instance={instance} address={source}"));
    }
    for other in beat.others {
        let other = decode_gateway(other);
        let (instance, address) = (other.instance.clone(), other.address.clone());
        if roster.learn(other, now) {
            Event::PeerRegained.log(format_args!(
                "instance={instance} address={address} source={source}"
            ));
        }
    }
    drop(roster);
    let loads = beat.loads.into_iter().map(|load| {
        let EndpointLoad {
            endpoint,
            in_flight,
            unread,
        } = load;
        (endpoint, Load { in_flight, unread })
    });
    state.set_peer_loads(&instance, loads.collect());
    state.causes.merge(beat.suspects, &instance);
    for limit in beat.limits {
        let (endpoint, limit) = decode_limit(limit, now);
        state.record_limit(&endpoint, limit, &instance);
    }
    for endpoint in beat.leaving.into_iter().take(MAX_DEPARTURES) {
        state.record_leaving(&decode_life(endpoint), &instance);
    }
    for endpoint in beat.ended.into_iter().take(MAX_ENDS) {
        lifetime::record_reported_end(state, &decode_life(endpoint), &instance);
    }
    let own = versions(state);
    if let Some(theirs) = beat.versions
        && (config_version(&theirs) > config_version(&own)
            || endpoints_version(&theirs) > endpoints_version(&own)
            || evacuation_version(&theirs) > evacuation_version(&own))
    {
        tokio::spawn(fetch(Arc::clone(state), source, own));
    }
}

/// Fetches the state that is newer than `own` from another gateway and applies it.
async fn fetch(state: Arc<State>, address: String, own: Versions) {
    let Ok(mut client) = state.links.client(&address) else {
        return;
    };
    let answer = time::timeout(FETCH_TIMEOUT, client.fetch(own)).await;
    let Ok(Ok(knowledge)) = answer else { return };
    let Knowledge {
        config,
        endpoints,
        evacuation,
        config_era,
    } = knowledge.into_inner();
    if let Some(config) = parse_json(&config, &address) {
        state.adopt_config(config, config_era, &address);
    }
    if let Some(snapshot) = parse_json(&endpoints, &address)
        && lock(&state.tracker).adopt(snapshot, state.clock.now())
    {
        state.adopt_endpoints(&address);
    }
    if let Some(evacuation) = parse_json(&evacuation, &address) {
        state.adopt_evacuation(evacuation, &address);
    }
}

/// Parses JSON from another gateway. Returns `None` if `bytes` is empty, which
/// means that nothing was newer, or if parsing fails.
fn parse_json<T: serde::de::DeserializeOwned>(bytes: &[u8], address: &str) -> Option<T> {
    if bytes.is_empty() {
        return None;
    }
    serde_json::from_slice(bytes)
        .inspect_err(|error| {
            Event::ConfigRejected.log(format_args!("source={address} error={error}"));
        })
        .ok()
}

/// Has the pieces of a task processed by the gateway at an address. The inner
/// result is the answer of that gateway.
///
/// # Errors
///
/// Returns an error if the gateway does not answer in time or the call fails.
pub async fn produce(
    state: &Arc<State>,
    address: &str,
    task: &Task,
) -> Result<Result<Vec<Output>, Failure>, String> {
    let mut client = state.links.client(address)?;
    let call = client.produce(encode_task(task));
    let results = time::timeout(task.expires + PRODUCE_TIMEOUT_EXTRA, call)
        .await
        .map_err(|_| "timed out waiting for results".to_owned())?
        .map_err(|status| status.to_string())?
        .into_inner();
    if results.failure.is_empty() {
        return Ok(Ok(results.results.into_iter().map(decode_output).collect()));
    }
    Ok(Err(Failure {
        kind: Kind::from_name(&results.failure).unwrap_or(Kind::Internal),
        retry_after: Duration::from_millis(results.retry_after_ms),
    }))
}

/// Asks for a grant to send one request to an endpoint beyond the share of this
/// gateway, from the gateway that keeps the reserve of the endpoint's limit.
pub async fn grant(state: &Arc<State>, endpoint: &Incarnation) -> bool {
    let grantor = lock(&state.roster)
        .grantor(&endpoint.id, state.clock.now())
        .map(|gateway| gateway.address.clone());
    let answer = match grantor {
        Some(address) => request_grant(state, &address, endpoint).await,
        None => Some(state.try_grant(endpoint, &state.settings.instance)),
    };
    let outcome = match answer {
        Some(true) => "granted",
        Some(false) => "refused",
        None => "unanswered",
    };
    state.metrics.grants.with_label_values(&[outcome]).inc();
    answer == Some(true)
}

/// Asks the gateway at an address for a grant. Returns `None` without a timely
/// answer.
async fn request_grant(state: &State, address: &str, endpoint: &Incarnation) -> Option<bool> {
    let mut client = state.links.client(address).ok()?;
    let asked_at = Instant::now();
    let now = state.clock.now();
    let limit = lock(&state.fleet)
        .row_of(endpoint)
        .and_then(Row::last_limit);
    let request = GrantRequest {
        endpoint: endpoint.id.clone(),
        born: endpoint.born,
        instance: state.settings.instance.clone(),
        limit: limit.map(|limit| encode_limit(endpoint, limit, now)),
    };
    let answer = time::timeout(GRANT_TIMEOUT, client.grant(request)).await;
    // A process that was paused finds the answer although its time has passed.
    let is_current = asked_at.elapsed() <= GRANT_TIMEOUT;
    let answer = answer.ok()?.ok().filter(|_| is_current)?;
    Some(answer.into_inner().granted)
}

/// Releases results through the gateway at an address, or locally if that
/// gateway does not answer.
pub fn release(state: &Arc<State>, address: String, outputs: Vec<Output>) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let Ok(mut client) = state.links.client(&address) else {
            return;
        };
        let results = Results {
            results: outputs.iter().cloned().map(encode_output).collect(),
            failure: String::new(),
            retry_after_ms: 0,
        };
        let call = time::timeout(FETCH_TIMEOUT, client.release(results));
        if !matches!(call.await, Ok(Ok(_))) {
            owner::release(&state, &outputs);
        }
    });
}

/// Handles the calls of other gateways.
#[derive(Debug)]
struct Handler(Arc<State>);

#[async_trait]
impl Serve for Handler {
    async fn exchange(&self, request: Request<Beat>) -> Result<Response<Beat>, Status> {
        let beat = request.into_inner();
        let sender = beat.me.as_ref();
        let limits_time = match sender.map(|sender| sender.heartbeats) {
            Some(1..=FIRST_HEARTBEATS) => Duration::MAX,
            _ => LIMITS_REPORT_TIME,
        };
        handle_heartbeat(&self.0, beat, "");
        Ok(Response::new(heartbeat(&self.0, limits_time)))
    }

    async fn fetch(&self, request: Request<Versions>) -> Result<Response<Knowledge>, Status> {
        let theirs = request.into_inner();
        let (snapshot, evacuation) = self.0.directory();
        let mut knowledge = Knowledge::default();
        let config_era = self.0.config_era();
        if let Some(config) = self.0.config()
            && (config.version, config_era) > config_version(&theirs)
        {
            knowledge.config = to_json(&*config)?;
            knowledge.config_era = config_era;
        }
        if let Some(snapshot) = snapshot
            && snapshot.version > endpoints_version(&theirs)
        {
            knowledge.endpoints = to_json(&snapshot)?;
        }
        if let Some(evacuation) = evacuation
            && evacuation.version > evacuation_version(&theirs)
        {
            knowledge.evacuation = to_json(&evacuation)?;
        }
        Ok(Response::new(knowledge))
    }

    async fn produce(&self, request: Request<Production>) -> Result<Response<Results>, Status> {
        let task = decode_task(request.into_inner());
        let results = match owner::produce(&self.0, task).await {
            Ok(outputs) => Results {
                results: outputs.into_iter().map(encode_output).collect(),
                failure: String::new(),
                retry_after_ms: 0,
            },
            Err(failure) => Results {
                results: Vec::new(),
                failure: failure.kind.as_str().to_owned(),
                retry_after_ms: milliseconds(failure.retry_after),
            },
        };
        Ok(Response::new(results))
    }

    async fn grant(&self, request: Request<GrantRequest>) -> Result<Response<GrantAnswer>, Status> {
        let request = request.into_inner();
        let endpoint = Incarnation {
            id: request.endpoint,
            born: request.born,
        };
        // This gateway may have started after the endpoint stated its limit.
        if let Some(limit) = request.limit {
            let (endpoint, limit) = decode_limit(limit, self.0.clock.now());
            self.0.record_limit(&endpoint, limit, &request.instance);
        }
        let granted = self.0.try_grant(&endpoint, &request.instance);
        Ok(Response::new(GrantAnswer { granted }))
    }

    async fn remember(
        &self,
        request: Request<StreamOrigins>,
    ) -> Result<Response<Remembered>, Status> {
        let now = self.0.clock.now();
        self.0.streams.remember(request.into_inner(), now);
        Ok(Response::new(Remembered {}))
    }

    async fn recall(
        &self,
        request: Request<StreamQuestion>,
    ) -> Result<Response<StreamAnswer>, Status> {
        let StreamQuestion {
            attempt,
            service,
            recent_ms,
        } = request.into_inner();
        let recent = Duration::from_millis(recent_ms);
        let streams = &self.0.streams;
        Ok(Response::new(StreamAnswer {
            version: streams.recall(&attempt, &service),
            only_version: streams.only_version(&service, recent, &self.0),
        }))
    }

    async fn release(&self, request: Request<Results>) -> Result<Response<Released>, Status> {
        let results = request.into_inner().results;
        let outputs: Vec<Output> = results.into_iter().map(decode_output).collect();
        owner::release(&self.0, &outputs);
        Ok(Response::new(Released {}))
    }
}

fn to_json(value: &impl serde::Serialize) -> Result<Vec<u8>, Status> {
    serde_json::to_vec(value).map_err(|error| Status::internal(error.to_string()))
}
