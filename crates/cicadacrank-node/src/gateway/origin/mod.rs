//! Binds streams that callers take up again to the version that began them.
//!
//! Each gateway remembers the streams that it began. While engines of several versions
//! serve, it tells others too, since the stream may be taken up because it is gone. A
//! [record](record) in the store tells gateways that have just started which versions served
//! lately; if it was a single one, it began all streams.
//!
//! What a gateway believes of the versions may be old, since it may have stood still or been
//! cut off. So it takes a version for the only one if all others say so, and otherwise after
//! it has read the store.

mod record;

use self::record::Records;
use super::{
    reply::jitter,
    request::{Job, Refusal},
    state::{State, lock},
    watch,
};
use crate::clock::milliseconds;
use cicadacrank_core::{
    directory::Snapshot,
    error::Kind,
    event::Event,
    once::Unsent,
    stream::origin::{Origin, Origins, Release, Releases},
};
use cicadacrank_wire::wire::{StreamOrigin, StreamOrigins, StreamQuestion};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use std::{
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};
use tokio::{sync::Notify, time};

/// Number of other gateways that remember a stream while several versions serve.
const KEEPERS: usize = 3;

/// Maximum number of gateways that are asked for the origin of a stream. It exceeds
/// [`KEEPERS`], since gateways may disagree on which of them are live.
const MAX_ASKED: usize = 8;

/// Timeout of a question for the origin of a stream.
const RECALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of a message with the origins of streams.
const REMEMBER_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of the calls to the store that confirm which versions serve.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which a stream is taken up after it began, as a multiple of the timeout of
/// its route.
const STREAM_TIMEOUTS: u32 = 2;

/// Interval of the checks for services with several versions.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Allowance for gateways that learn late that a version has left, and for clocks that
/// differ.
const RECORD_MARGIN: Duration = Duration::from_secs(10);

/// Delay after which a caller may retry if the origin of its stream is unknown.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What a gateway knows of the origins of streams.
#[derive(Debug, Default)]
pub struct Memory {
    origins: Mutex<Origins>,
    /// The versions that serve. Its times are Unix times.
    releases: Mutex<Releases>,
    /// Notified when the versions of a service or the configuration change.
    changed: Notify,
    /// Time from which this gateway knows which versions serve.
    followed_since: OnceLock<Duration>,
    /// What the store recorded when it was read last, or `None` if it was not read yet.
    records: Mutex<Option<Records>>,
    /// The last read of the store that was to confirm which versions serve.
    confirmation: tokio::sync::Mutex<Confirmation>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Confirmation {
    began: Duration,
    succeeded: bool,
}

impl Memory {
    /// Follows the versions of the engines that a new list holds.
    pub(super) fn follow(&self, snapshot: &Snapshot, state: &State) {
        let mut releases = lock(&self.releases);
        let changed = releases.update(snapshot, unix_now(state));
        for release in &changed {
            Event::VersionsChanged.log(format_args!(
                "service={} versions={:?}",
                release.service, release.versions
            ));
        }
        if !changed.is_empty() {
            self.changed.notify_one();
        }
        self.followed_since.get_or_init(|| state.clock.now());
    }

    /// Has the records checked, because the configuration has changed.
    pub(super) fn recheck(&self) {
        self.changed.notify_one();
    }

    /// Remembers streams that another gateway began.
    pub(super) fn remember(&self, origins: StreamOrigins, now: Duration) {
        let mut known = lock(&self.origins);
        for origin in origins.origins {
            let origin = Origin {
                attempt: origin.attempt,
                service: origin.service,
                version: origin.version,
                at: now.saturating_sub(Duration::from_millis(origin.age_ms)),
            };
            known.record(origin, now);
        }
    }

    /// Returns the version that began a stream, if this gateway remembers it.
    pub(super) fn recall(&self, attempt: &str, service: &str) -> Option<String> {
        let origins = lock(&self.origins);
        origins.find(attempt, service).map(str::to_owned)
    }

    /// Returns the version that began all streams of a service within `recent`, or `None` if
    /// there may have been several. It is as far as this gateway knows, which may have stood
    /// still.
    pub(super) fn only_version(
        &self,
        service: &str,
        recent: Duration,
        state: &State,
    ) -> Option<String> {
        let followed = state
            .clock
            .now()
            .saturating_sub(*self.followed_since.get()?);
        if followed < recent {
            return self.recorded_version(service, recent, state);
        }
        self.listed_version(service, recent, state)
    }

    /// Returns the version of a service if only one has been listed within `recent`.
    fn listed_version(&self, service: &str, recent: Duration, state: &State) -> Option<String> {
        let releases = lock(&self.releases);
        let release = releases.find(service)?;
        let version = release.versions.first();
        version
            .filter(|_| !release.was_mixed(recent, unix_now(state)))
            .cloned()
    }

    /// Returns the version of a service if only one served within `recent`, as the store
    /// recorded and this gateway has seen since.
    fn recorded_version(&self, service: &str, recent: Duration, state: &State) -> Option<String> {
        let is_recorded = lock(&self.records)
            .as_ref()
            .is_some_and(|records| records.find(service).is_some());
        if !is_recorded {
            return None;
        }
        self.listed_version(service, recent + RECORD_MARGIN, state)
    }

    fn is_mixed(&self, service: &str) -> bool {
        let releases = lock(&self.releases);
        releases.find(service).is_some_and(Release::is_mixed)
    }
}

/// Remembers that a stream began, as far as its caller may take it up again.
pub fn record(state: &Arc<State>, job: &Job, version: &str) {
    if !job.route.repeat.is_repeatable() {
        return;
    }
    let now = state.clock.now();
    let attempt = job.caller.resumes.as_deref().unwrap_or(job.id());
    let origin = Origin {
        attempt: attempt.to_owned(),
        service: job.service.clone(),
        version: version.to_owned(),
        at: now,
    };
    lock(&state.streams.origins).record(origin.clone(), now);
    if state.streams.is_mixed(&job.service) {
        tell(state, &[origin]);
    }
}

/// Tells the gateways that keep them of the origins of streams.
fn tell(state: &Arc<State>, origins: &[Origin]) {
    let now = state.clock.now();
    let mut messages: Vec<(String, StreamOrigins)> = Vec::new();
    let roster = lock(&state.roster);
    for origin in origins {
        let message = StreamOrigin {
            attempt: origin.attempt.clone(),
            service: origin.service.clone(),
            version: origin.version.clone(),
            age_ms: milliseconds(now.saturating_sub(origin.at)),
        };
        for keeper in roster.keepers(&origin.attempt, KEEPERS, now) {
            match messages.iter_mut().find(|one| one.0 == keeper.address) {
                Some((_, origins)) => origins.origins.push(message.clone()),
                None => {
                    let origins = vec![message.clone()];
                    messages.push((keeper.address.clone(), StreamOrigins { origins }));
                }
            }
        }
    }
    drop(roster);
    for (address, origins) in messages {
        let state = Arc::clone(state);
        tokio::spawn(async move {
            let Ok(mut client) = state.links.client(&address) else {
                return;
            };
            let sent = time::timeout(REMEMBER_TIMEOUT, client.remember(origins)).await;
            if !matches!(sent, Ok(Ok(_))) {
                log::debug!("the origins of streams did not reach {address}");
            }
        });
    }
}

/// Binds a request that takes a stream up to the version that began the stream.
///
/// # Errors
///
/// Returns a refusal if that version is unknown: an engine of another one would go on with
/// a text that does not fit, without a sign of it.
pub async fn bind(state: &Arc<State>, job: &mut Job) -> Result<(), Refusal> {
    if job.caller.last_event.is_none() || !job.route.repeat.is_repeatable() {
        return Ok(());
    }
    let (version, source) = find(state, job).await;
    let (directory, _) = state.versions();
    let live = lock(&state.roster).live(state.clock.now()).count();
    Event::OriginFound.log(format_args!(
        "id={} resumes={:?} after={:?} service={} version={version:?} source={source} \
         directory={}/{} live_gateways={live}",
        job.id(),
        job.caller.resumes,
        job.caller.last_event,
        job.service,
        directory.era,
        directory.revision,
    ));
    if version.is_none() {
        let context = "the version that began the stream is unknown";
        let refusal = Refusal::from(Unsent::begin().refuse(Kind::NoEndpoint, context));
        return Err(refusal.with_retry_after(jitter(RETRY_AFTER)));
    }
    job.version = version;
    Ok(())
}

/// Returns the version that began the stream that a request takes up, and how it is known.
async fn find(state: &Arc<State>, job: &Job) -> (Option<String>, &'static str) {
    let resumes = job.caller.resumes.as_deref();
    let known = resumes.and_then(|attempt| state.streams.recall(attempt, &job.service));
    if known.is_some() {
        return (known, "memory");
    }
    let recent = job.route.timeout * STREAM_TIMEOUTS;
    let answers = ask(state, resumes.unwrap_or_default(), &job.service, recent).await;
    if let Answers::Version(version) = answers {
        return (Some(version), "peers");
    }
    let Some(only) = state.streams.only_version(&job.service, recent, state) else {
        return (None, resumes.map_or("unnamed", |_| "peers"));
    };
    match answers {
        Answers::OnlyVersion(answer) if answer == only => (Some(only), "single"),
        Answers::OnlyVersion(_) => (None, "peers"),
        Answers::Version(_) | Answers::Uncertain => {
            if !confirm(state).await {
                return (None, "store");
            }
            let streams = &state.streams;
            let version = streams.recorded_version(&job.service, recent, state);
            (version, "store")
        }
    }
}

/// What other gateways know of a stream.
enum Answers {
    /// The version that began it.
    Version(String),
    /// All of them say that it was begun by the only version that serves.
    OnlyVersion(String),
    /// They do not agree, not all answer, or there may be others.
    Uncertain,
}

/// Asks other gateways which version began a stream.
async fn ask(state: &Arc<State>, attempt: &str, service: &str, recent: Duration) -> Answers {
    let (addresses, is_in_touch) = {
        let now = state.clock.now();
        let roster = lock(&state.roster);
        let witnesses = roster.witnesses(attempt, MAX_ASKED, now);
        let addresses = witnesses.into_iter().map(|one| one.address.clone());
        let addresses: Vec<String> = addresses.collect();
        (addresses, roster.is_in_touch(now))
    };
    let mut questions: FuturesUnordered<_> = addresses
        .iter()
        .map(|address| async {
            let mut client = state.links.client(address).ok()?;
            let question = StreamQuestion {
                attempt: attempt.to_owned(),
                service: service.to_owned(),
                recent_ms: milliseconds(recent),
            };
            let answer = time::timeout(RECALL_TIMEOUT, client.recall(question)).await;
            Some(answer.ok()?.ok()?.into_inner())
        })
        .collect();
    let mut only_versions = Vec::new();
    while let Some(answer) = questions.next().await {
        let answer = answer.unwrap_or_default();
        if let Some(version) = answer.version {
            return Answers::Version(version);
        }
        only_versions.push(answer.only_version);
    }
    only_versions.dedup();
    match only_versions.as_slice() {
        [Some(version)] if is_in_touch => Answers::OnlyVersion(version.clone()),
        _ => Answers::Uncertain,
    }
}

/// Reads from the store which versions serve, and whether several did lately. Requests that
/// wait for it share a read. Returns whether the store answered.
async fn confirm(state: &Arc<State>) -> bool {
    let asked = state.clock.now();
    let mut confirmation = state.streams.confirmation.lock().await;
    if confirmation.began < asked {
        let began = state.clock.now();
        let read = async {
            let (records, endpoints) =
                tokio::join!(record::refresh(state), watch::refresh_endpoints(state));
            records.and(endpoints)
        };
        let read = time::timeout(CONFIRM_TIMEOUT, read).await;
        let succeeded = matches!(read, Ok(Ok(())));
        if !succeeded {
            log::debug!("failed to read which versions serve: {read:?}");
        }
        *confirmation = Confirmation { began, succeeded };
    }
    confirmation.succeeded
}

/// Starts recording the versions of services, and telling other gateways of streams when a
/// second version of a service begins to serve.
pub fn start(state: &Arc<State>) {
    tokio::spawn(record::run(Arc::clone(state)));
    tokio::spawn(run(Arc::clone(state)));
}

async fn run(state: Arc<State>) {
    let mut period = time::interval(CHECK_INTERVAL);
    period.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut told: Vec<String> = Vec::new();
    loop {
        period.tick().await;
        let now = state.clock.now();
        lock(&state.streams.origins).drop_old(now);
        let mixed: Vec<String> = {
            let releases = lock(&state.streams.releases);
            releases.mixed().map(|one| one.service.clone()).collect()
        };
        for service in mixed.iter().filter(|service| !told.contains(service)) {
            let origins = lock(&state.streams.origins);
            let recent: Vec<Origin> = origins.recent(service, now).cloned().collect();
            drop(origins);
            tell(&state, &recent);
        }
        told = mixed;
    }
}

fn unix_now(state: &State) -> Duration {
    Duration::from_millis(state.clock.unix_ms())
}
