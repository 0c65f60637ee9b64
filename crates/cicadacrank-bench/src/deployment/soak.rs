//! Randomized soak test, which injects faults while callers send requests.
//!
//! The seed determines the kinds, times and durations of the faults, which are
//! injected one after the other and overlap. At the end, each answer is checked
//! against what the endpoints ran.

use super::{Answer, Caller, Deployment, EVENTS, Fault, Impairment, Plan, route, send};
use crate::platform::{Copy, Faults};
use cicadacrank_node::platform::Collection;
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use reqwest::Method;
use serde_json::json;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

/// Number of concurrent callers, each of which sends one request at a time.
const CALLERS: u64 = 6;

/// Number of requests after the last fault, all of which must succeed.
const FINAL_REQUESTS: usize = 12;

/// Time for the deployment to recover after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Parameters of a soak test.
#[derive(Clone, Debug)]
pub struct Soak {
    /// Deployment to test.
    pub plan: Plan,
    /// Seed that determines faults and requests.
    pub seed: u64,
    /// Time for which faults are injected.
    pub duration: Duration,
}

/// Result of a soak test.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of requests sent while faults were injected.
    pub requests: usize,
    /// Number of these requests that were answered completely with status 200.
    pub served: usize,
    /// Descriptions of violated guarantees, each with the attempt id.
    pub violations: Vec<String>,
}

/// Kind of a request, which determines its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Book,
    Look,
    Draft,
    Chat,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Book, Self::Look, Self::Draft, Self::Chat];

    const fn is_idempotent(self) -> bool {
        matches!(self, Self::Look | Self::Chat)
    }

    const fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::Chat)
    }

    async fn send(self, caller: &Caller, gateway: SocketAddr, attempt: &str) -> Answer {
        let request = match self {
            Self::Book => caller
                .request(Method::POST, gateway, "/book/1", attempt)
                .body("two seats"),
            Self::Look => caller.request(Method::GET, gateway, "/look/1", attempt),
            Self::Draft => caller.stream(gateway, "/draft/1", attempt),
            Self::Chat => caller.stream(gateway, "/chat/1", attempt),
        };
        send(request).await
    }
}

/// Request with its answer.
struct Sent {
    kind: Kind,
    attempt: String,
    answer: Answer,
}

/// Runs a soak test.
///
/// # Errors
///
/// Returns an error if a part of the deployment cannot be started or controlled.
pub async fn run(soak: &Soak) -> io::Result<Report> {
    let mut deployment = Deployment::start(&soak.plan).await?;
    let gateways: Vec<SocketAddr> = deployment
        .gateways
        .iter()
        .map(super::Gateway::caller_address)
        .collect();
    let deadline = Instant::now() + soak.duration;
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(send_until(soak.seed, number, gateways.clone(), deadline));
    }
    inject_faults(&mut deployment, soak.seed, deadline).await?;
    let mut all = Vec::new();
    while let Some(sent) = callers.join_next().await {
        all.extend(sent.map_err(io::Error::other)??);
    }
    let mut report = Report {
        requests: all.len(),
        ..Report::default()
    };
    report.served = all
        .iter()
        .filter(|sent| sent.answer.status == Some(200) && sent.answer.whole)
        .count();
    recover(&mut deployment).await?;
    all.extend(send_final_requests(&gateways, &mut report).await?);
    for sent in &all {
        check(&deployment, sent, &mut report.violations);
    }
    Ok(report)
}

/// Sends one request after the other until `deadline`, and returns them with
/// their answers.
async fn send_until(
    seed: u64,
    number: u64,
    gateways: Vec<SocketAddr>,
    deadline: Instant,
) -> io::Result<Vec<Sent>> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed ^ (number + 1) << 32);
    let caller = Caller::new()?;
    let mut all = Vec::new();
    while Instant::now() < deadline {
        let kind = *Kind::ALL.choose(&mut random).unwrap_or(&Kind::Look);
        let gateway = gateways[random.random_range(0..gateways.len())];
        let attempt = format!("{seed:x}-{number}-{}", all.len());
        let answer = kind.send(&caller, gateway, &attempt).await;
        all.push(Sent {
            kind,
            attempt,
            answer,
        });
        time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
    Ok(all)
}

/// Injects one random fault or change after the other until `deadline`, and then
/// restarts all stopped gateways.
async fn inject_faults(
    deployment: &mut Deployment,
    seed: u64,
    deadline: Instant,
) -> io::Result<()> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut version = 1;
    let mut copy = deployment.store.state().save();
    let mut stopped: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < deadline {
        restart_due(deployment, &mut stopped).await?;
        let endpoint = random.random_range(0..deployment.endpoints.len());
        let gateway = random.random_range(0..deployment.gateways.len());
        match random.random_range(0..12) {
            0 => deployment
                .store_proxy
                .set_impairment(random_impairment(&mut random)),
            1 => deployment.endpoints[endpoint]
                .proxy
                .set_impairment(random_impairment(&mut random)),
            2 => deployment.endpoints[endpoint].set_fault(random_fault(&mut random)),
            3 => stop_gateway(deployment, gateway, &mut random, &mut stopped)?,
            4 => freeze_gateway(deployment, gateway, &mut random).await?,
            5 => {
                version += random.random_range(1..4);
                let added = json!([route("/new/", "idempotent", "desk", 2)]);
                deployment.configure(version, &added);
            }
            6 => change_entry(deployment, endpoint, &mut version, &mut random),
            7 => deployment.store.set_faults(Faults {
                lose_answers: random.random_range(0..3),
                list_lag_ms: random.random_range(0..1_500),
                delay_ms: random.random_range(0..200),
                ..Faults::default()
            }),
            8 => copy = deployment.store.state().save(),
            9 => {
                version += 1;
                restore_store(deployment, &copy, version, &mut random).await;
            }
            10 => {
                let seconds = random.random_range(0.1..1.0);
                deployment.endpoints[endpoint].set_retry_after(Some(seconds));
            }
            _ => clear_faults(deployment),
        }
        time::sleep(Duration::from_millis(random.random_range(100..700))).await;
    }
    for (at, _) in &mut stopped {
        *at = Instant::now();
    }
    restart_due(deployment, &mut stopped).await
}

/// Lets the store come back from a copy. Operators and endpoints write again soon after.
async fn restore_store(
    deployment: &Deployment,
    copy: &Copy,
    version: u64,
    random: &mut Xoshiro256PlusPlus,
) {
    deployment.store.state().restore(copy);
    time::sleep(Duration::from_millis(random.random_range(0..1_500))).await;
    deployment.configure(version, &json!([]));
    register_endpoints(deployment, version);
}

fn random_impairment(random: &mut Xoshiro256PlusPlus) -> Impairment {
    match random.random_range(0..4) {
        0 => Impairment::Delay(random.random_range(10..400)),
        1 => Impairment::Reset,
        2 => Impairment::Stall,
        _ => Impairment::StallResponses,
    }
}

fn random_fault(random: &mut Xoshiro256PlusPlus) -> Fault {
    let faults = [
        Fault::Decline,
        Fault::LoseAnswer,
        Fault::Foreign,
        Fault::Unsigned,
        Fault::BreakOff,
        Fault::Fail,
        Fault::FailAndBreakOff,
        Fault::Misdirected,
        Fault::Pause,
        Fault::PauseAfterEvent,
        Fault::StallAfterEvent,
        Fault::EarlyRefusal,
        Fault::EarlyForeignRefusal,
        Fault::Refuse,
    ];
    *faults.choose(random).unwrap_or(&Fault::None)
}

/// Kills or terminates a gateway, and schedules its restart.
fn stop_gateway(
    deployment: &Deployment,
    number: usize,
    random: &mut Xoshiro256PlusPlus,
    stopped: &mut Vec<(Instant, usize)>,
) -> io::Result<()> {
    if stopped.iter().any(|(_, one)| *one == number) {
        return Ok(());
    }
    let gateway = &deployment.gateways[number];
    let delay = if random.random_bool(0.5) {
        gateway.kill()?;
        random.random_range(0..1_500)
    } else {
        gateway.terminate()?;
        random.random_range(0..9_000)
    };
    stopped.push((Instant::now() + Duration::from_millis(delay), number));
    Ok(())
}

/// Restarts the stopped gateways whose restart time has passed.
async fn restart_due(
    deployment: &mut Deployment,
    stopped: &mut Vec<(Instant, usize)>,
) -> io::Result<()> {
    let now = Instant::now();
    for (_, number) in stopped.extract_if(.., |(at, _)| *at <= now) {
        let gateway = &mut deployment.gateways[number];
        gateway.wait().await?;
        gateway.restart()?;
    }
    Ok(())
}

async fn freeze_gateway(
    deployment: &Deployment,
    number: usize,
    random: &mut Xoshiro256PlusPlus,
) -> io::Result<()> {
    let gateway = &deployment.gateways[number];
    if gateway.freeze().is_ok() {
        time::sleep(Duration::from_millis(random.random_range(50..1_500))).await;
        gateway.thaw()?;
    }
    Ok(())
}

/// Removes an endpoint's entry from the store or replaces it by one that is
/// draining or ready.
fn change_entry(
    deployment: &Deployment,
    number: usize,
    sequence: &mut u64,
    random: &mut Xoshiro256PlusPlus,
) {
    *sequence += 1;
    let endpoint = &deployment.endpoints[number];
    let mut store = deployment.store.state();
    match random.random_range(0..3) {
        0 => store.remove(Collection::Endpoints, &endpoint.id),
        1 => {
            let entry = endpoint.entry("draining", *sequence);
            store.put(Collection::Endpoints, &endpoint.id, entry);
        }
        _ => {
            let entry = endpoint.entry("ready", *sequence);
            store.put(Collection::Endpoints, &endpoint.id, entry);
        }
    }
}

/// Removes the faults of proxies, store and endpoints.
fn clear_faults(deployment: &Deployment) {
    deployment.store_proxy.set_impairment(Impairment::None);
    deployment.store.set_faults(Faults::default());
    for endpoint in &deployment.endpoints {
        endpoint.proxy.set_impairment(Impairment::None);
        endpoint.set_fault(Fault::None);
        endpoint.set_retry_after(None);
    }
}

/// Writes an entry for each endpoint, with the given sequence number.
fn register_endpoints(deployment: &Deployment, sequence: u64) {
    let mut store = deployment.store.state();
    for endpoint in &deployment.endpoints {
        let entry = endpoint.entry("ready", sequence);
        store.put(Collection::Endpoints, &endpoint.id, entry);
    }
}

async fn recover(deployment: &mut Deployment) -> io::Result<()> {
    clear_faults(deployment);
    register_endpoints(deployment, 1_000_000);
    for gateway in &deployment.gateways {
        gateway.wait_ready().await?;
    }
    time::sleep(RECOVERY_TIME).await;
    Ok(())
}

/// Sends requests after the recovery, all of which must succeed.
async fn send_final_requests(
    gateways: &[SocketAddr],
    report: &mut Report,
) -> io::Result<Vec<Sent>> {
    let caller = Caller::new()?;
    let mut all = Vec::new();
    for number in 0..FINAL_REQUESTS {
        let kind = Kind::ALL[number % Kind::ALL.len()];
        let attempt = format!("last-{number}");
        let gateway = gateways[number % gateways.len()];
        let answer = kind.send(&caller, gateway, &attempt).await;
        if answer.status != Some(200) {
            let violation =
                format!("{attempt}: {kind:?} request failed after the recovery: {answer:?}");
            report.violations.push(violation);
        }
        all.push(Sent {
            kind,
            attempt,
            answer,
        });
    }
    Ok(all)
}

/// Checks an answer against what the endpoints ran.
fn check(deployment: &Deployment, sent: &Sent, violations: &mut Vec<String>) {
    let Sent {
        kind,
        attempt,
        answer,
    } = sent;
    let runs = deployment.runs(attempt);
    let mut fail = |violation: &str| {
        let told = (answer.status, answer.whole, answer.body.len());
        violations.push(format!(
            "{attempt}: {kind:?}: {violation}: told {told:?}, runs {runs:?}"
        ));
    };
    if runs.len() > 1 && !kind.is_idempotent() {
        fail("a non-idempotent request ran more than once");
    }
    if matches!(answer.status, Some(429 | 503)) && !answer.signed && !runs.is_empty() {
        fail("the request was rejected although it ran");
    }
    if runs.iter().any(|run| run.team != "desk-team" || run.leaked) {
        fail("an endpoint got a wrong team or a header that must not be forwarded");
    }
    if answer.status != Some(200) {
        return;
    }
    if !answer.signed || answer.attempt != *attempt || runs.is_empty() {
        fail("the answer does not come from an endpoint that ran the request");
    }
    let expected = if kind.is_stream() {
        (1..=EVENTS)
            .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
            .collect()
    } else {
        format!("answer to {attempt}")
    };
    let whole = answer.body == expected;
    let part = kind.is_stream() && expected.as_bytes().starts_with(&answer.body);
    if answer.whole && !whole {
        fail("the response ended normally with a wrong body");
    }
    if !answer.whole && !part {
        fail("the partial body is not the start of the expected answer");
    }
    if kind.is_stream()
        && !runs
            .iter()
            .all(|run| has_only_own_results(attempt, &run.results))
    {
        fail("an endpoint got stage results of another request");
    }
}

fn has_only_own_results(attempt: &str, results: &str) -> bool {
    let mut handles: Vec<&str> = results.split(',').collect();
    handles.sort_unstable();
    handles.dedup();
    let own = format!("/{attempt}-1-");
    handles.len() == 2 && handles.iter().all(|handle| handle.contains(&own))
}
