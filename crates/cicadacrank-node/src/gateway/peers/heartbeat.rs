//! Heartbeats between gateways.

use super::{
    codec::{
        decode_gateway, decode_life, decode_limit, decode_rollout, encode_gateway, encode_life,
        encode_limit, encode_rollout,
    },
    knowledge,
};
use crate::{
    gateway::{
        lifetime, rollout,
        state::{State, lock},
    },
    metrics::gateway::{Direction, Purpose},
    step::Step,
};
use cicadacrank_core::{
    event::Event,
    placement::Load,
    roster::{self, Gateway, Sign},
};
use cicadacrank_wire::{
    Message,
    wire::{Beat, EndpointLoad},
};
use futures_util::future::join_all;
use rand::seq::IteratorRandom as _;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time after its start for which a gateway waits until another has told it what it
/// knows. It covers two heartbeats that are not answered.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two tries to reach another gateway after the start.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(20);

/// Number of heartbeats between two log lines on the traffic between processes.
const HEARTBEATS_PER_REPORT: u64 = 40;

/// Maximum number of gateways in the answer to a heartbeat whose sender lacks them.
const MAX_LACKING: usize = 64;

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

/// What the reader of a heartbeat is told of other gateways.
enum Members<'a> {
    /// All live ones, since it does not understand digests.
    All,
    /// A digest.
    Digest,
    /// A digest, and the gateways that its own digest lacks.
    Answer { reader: &'a str, digest: &'a [Sign] },
}

/// Learns what other gateways know and the store does not hold, such as which requests crash
/// endpoints, before this one takes requests.
async fn introduce(state: &Arc<State>) {
    let began = state.clock.now();
    let mut answered = 0;
    let mut is_alone = false;
    while answered == 0 && !is_alone && state.clock.now() < began + INTRODUCTION_TIMEOUT {
        let is_listed = state.are_gateways_listed();
        let receivers = choose_receivers(state);
        is_alone = is_listed && receivers.is_empty();
        let heartbeats = receivers
            .into_iter()
            .map(|(address, gateway)| send(Arc::clone(state), address, gateway));
        answered = join_all(heartbeats)
            .await
            .into_iter()
            .filter(|one| *one)
            .count();
        if answered == 0 && !is_alone {
            time::sleep(INTRODUCTION_INTERVAL).await;
        }
    }
    Event::Introduced.log(format_args!(
        "answers={answered} quarantined={} took_ms={}",
        state.causes.quarantined_count(),
        state.clock.now().saturating_sub(began).as_millis(),
    ));
    state.record_introduction();
}

/// Sends heartbeats for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    introduce(&state).await;
    let mut period = time::interval(HEARTBEAT_INTERVAL);
    period.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        lock(&state.roster).count_heartbeat();
        report_silent(&state);
        lock(&state.fleet).expire_peer_loads(state.clock.now());
        state.update_shares();
        state.links.drop_idle();
        for (address, gateway) in choose_receivers(&state) {
            tokio::spawn(send(Arc::clone(&state), address, gateway));
        }
        let heartbeats = lock(&state.roster).local().heartbeats;
        if heartbeats.is_multiple_of(HEARTBEATS_PER_REPORT) {
            let traffic = state.metrics.traffic_text();
            Event::TrafficCounted.log(format_args!("heartbeats={heartbeats} {traffic}"));
        }
    }
}

/// Returns the addresses to which the next heartbeat is sent, with the gateways that are
/// known there: some of the partners, and one of all that are known, so that parts of the
/// fleet that have lost one another meet again.
fn choose_receivers(state: &State) -> Vec<(String, Option<Gateway>)> {
    let own = state.settings.listen.to_string();
    let roster = lock(&state.roster);
    let known: Vec<&Gateway> = roster.others().collect();
    let partners = roster.partners(state.clock.now());
    let seeds = state.settings.seeds.iter().map(ToString::to_string);
    let seeds = seeds.filter(|seed| *seed != own && known.iter().all(|one| one.address != *seed));
    let address = |gateway: &&Gateway| gateway.address.clone();
    let all: Vec<String> = known.iter().map(address).chain(seeds).collect();
    let fan_out = roster::fan_out(known.len());
    let random = &mut rand::rng();
    let mut chosen: Vec<String> = if partners.len() < known.len() {
        partners.iter().map(address).sample(random, fan_out - 1)
    } else {
        Vec::new()
    };
    let others = all.into_iter().filter(|one| !chosen.contains(one));
    let others: Vec<String> = others.sample(random, fan_out - chosen.len());
    chosen.extend(others);
    let at = |address: &String| known.iter().find(|one| one.address == *address);
    chosen
        .into_iter()
        .map(|address| {
            let gateway = at(&address).map(|one| (*one).clone());
            (address, gateway)
        })
        .collect()
}

/// Logs the gateways that have become silent, and drops their load.
fn report_silent(state: &State) {
    let silent = lock(&state.roster).take_silent(state.clock.now());
    for instance in silent {
        report_lost(state, &instance, "no heartbeat");
    }
}

fn report_lost(state: &State, instance: &str, fault: &str) {
    Event::PeerLost.log(format_args!("instance={instance} fault=\"{fault}\""));
    lock(&state.fleet).drop_peer_loads(instance);
}

/// Sends a heartbeat. Returns whether it was answered.
async fn send(state: Arc<State>, address: String, gateway: Option<Gateway>) -> bool {
    let client = state.links.client(&address);
    let members = match &gateway {
        Some(gateway) if !gateway.reads_digests => Members::All,
        Some(_) | None => Members::Digest,
    };
    let beat = build(&state, &members, LIMITS_REPORT_TIME);
    let answer = match client {
        Ok(mut client) => time::timeout(HEARTBEAT_TIMEOUT, client.exchange(beat)).await,
        Err(error) => {
            log::error!("invalid gateway address {address}: {error}");
            return false;
        }
    };
    if let Ok(Ok(beat)) = answer {
        apply(&state, beat.into_inner(), &address);
        return true;
    }
    state.links.drop_link(&address);
    if let Some(gateway) = gateway {
        let now = state.clock.now();
        if lock(&state.roster).record_failure(&gateway.instance, now) {
            report_lost(&state, &gateway.instance, "no answer");
        }
    }
    false
}

/// Processes the heartbeat of another gateway and returns the answer.
pub(super) fn answer(state: &Arc<State>, beat: Beat) -> Beat {
    let sender = beat.me.clone().unwrap_or_default();
    let limits_time = match sender.heartbeats {
        1..=FIRST_HEARTBEATS => Duration::MAX,
        _ => LIMITS_REPORT_TIME,
    };
    let digest = decode_digest(&beat);
    apply(state, beat, "");
    let members = if sender.reads_digests {
        Members::Answer {
            reader: &sender.instance,
            digest: &digest,
        }
    } else {
        Members::All
    };
    build(state, &members, limits_time)
}

/// Builds a heartbeat, which reports the limits that endpoints stated within
/// `limits_time`.
fn build(state: &State, members: &Members<'_>, limits_time: Duration) -> Beat {
    let now = state.clock.now();
    let mut beat = Beat::default();
    let roster = lock(&state.roster);
    beat.me = Some(encode_gateway(roster.local()));
    let digest = match members {
        Members::All => {
            beat.others = roster.live(now).map(encode_gateway).collect();
            Vec::new()
        }
        Members::Digest => roster.digest(now),
        Members::Answer { reader, digest } => {
            let lacking = roster.lacking(digest, reader, MAX_LACKING, now);
            beat.others = lacking.into_iter().map(encode_gateway).collect();
            roster.digest(now)
        }
    };
    drop(roster);
    beat.ids = digest.iter().map(|sign| sign.id).collect();
    beat.counts = digest.iter().map(|sign| sign.count()).collect();
    let fleet = lock(&state.fleet);
    let limits = fleet.stated_limits(now, limits_time);
    let limits = limits.map(|(endpoint, limit)| encode_limit(endpoint, limit, now));
    beat.limits = limits.collect();
    let leaving = fleet.leaving().take(MAX_DEPARTURES);
    beat.leaving = leaving.map(encode_life).collect();
    beat.ended = fleet.ended().take(MAX_ENDS).map(encode_life).collect();
    beat.loads = fleet
        .own_loads()
        .map(|(id, load)| EndpointLoad {
            endpoint: id.to_owned(),
            in_flight: load.in_flight,
            unread: load.unread,
        })
        .collect();
    drop(fleet);
    beat.suspects = state.causes.report(CAUSES_REPORT_TIME, MAX_CAUSES);
    beat.versions = Some(knowledge::versions(state));
    let (rollouts, knows_rollouts) = rollout::news(state);
    beat.rollouts = rollouts.into_iter().map(encode_rollout).collect();
    beat.knows_rollouts = knows_rollouts;
    count(state, &beat, Direction::Sent);
    beat
}

/// Processes a heartbeat. If its sender has newer state, fetches that from
/// `address` or, if `address` is empty, from the address that the sender names.
fn apply(state: &Arc<State>, beat: Beat, address: &str) {
    count(state, &beat, Direction::Received);
    let _step = Step::new("merge_heartbeat", beat.ids.len() + beat.loads.len());
    let now = state.clock.now();
    let digest = decode_digest(&beat);
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
    let mut regained = Vec::new();
    if roster.record_contact(sender, now) {
        regained.push(instance.clone());
    }
    for other in beat.others {
        let other = decode_gateway(other);
        let instance = other.instance.clone();
        if roster.learn(other, now) {
            regained.push(instance);
        }
    }
    regained.extend(roster.merge(&digest, now));
    drop(roster);
    for instance in regained {
        Event::PeerRegained.log(format_args!("instance={instance} source={source}"));
    }
    let loads = beat.loads.into_iter().map(|load| {
        let EndpointLoad {
            endpoint,
            in_flight,
            unread,
        } = load;
        (endpoint, Load { in_flight, unread })
    });
    lock(&state.fleet).set_peer_loads(&instance, loads.collect(), now);
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
    let news = beat.rollouts.into_iter().filter_map(decode_rollout);
    rollout::merge(state, news.collect(), beat.knows_rollouts, &instance);
    if let Some(theirs) = beat.versions {
        knowledge::follow(state, &theirs, source);
    }
}

fn decode_digest(beat: &Beat) -> Vec<Sign> {
    let signs = beat.ids.iter().zip(&beat.counts);
    signs.map(|(id, count)| Sign::new(*id, *count)).collect()
}

/// Counts the bytes of a heartbeat by what they are for.
fn count(state: &State, beat: &Beat, direction: Direction) {
    fn size(messages: &[impl Message]) -> usize {
        messages.iter().map(|one| one.encoded_len() + 2).sum()
    }
    let loads = size(&beat.loads);
    let beliefs =
        size(&beat.limits) + size(&beat.leaving) + size(&beat.ended) + size(&beat.suspects);
    let members = beat.encoded_len().saturating_sub(loads + beliefs);
    let metrics = &state.metrics;
    metrics.record_traffic(Purpose::Members, direction, members);
    metrics.record_traffic(Purpose::Loads, direction, loads);
    metrics.record_traffic(Purpose::Beliefs, direction, beliefs);
}
