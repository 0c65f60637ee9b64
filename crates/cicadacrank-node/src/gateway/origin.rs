//! Binds streams that callers take up again to the version that began them.
//!
//! Each gateway remembers the streams that it began. While engines of several versions
//! serve, it tells others too, since the stream may be taken up because it is gone. A mark in
//! the store tells gateways that have just started whether several versions served lately;
//! if not, the single one began all streams.
//!
//! What a gateway believes of the versions may be old, since it may have stood still or been
//! cut off. So it takes a version for the only one if all others say so, and otherwise after
//! it has read the store.

use super::{
    reply::jitter,
    request::{Job, Refusal},
    state::{State, lock},
    watch,
};
use crate::{
    clock::milliseconds,
    platform::{Collection, Fault, Listing, Store as _},
};
use cicadacrank_core::{
    directory::Snapshot,
    error::Kind,
    event::Event,
    once::Unsent,
    stream::origin::{Origin, Origins, Release, Releases},
};
use cicadacrank_wire::wire::{StreamOrigin, StreamOrigins, StreamQuestion};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use serde_json::json;
use std::{
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};
use tokio::time;

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

/// Interval at which a service with several versions is marked in the store.
const MARK_INTERVAL: Duration = Duration::from_secs(5);

/// Allowance for the age of a mark and for clocks that differ.
const MARK_MARGIN: Duration = Duration::from_secs(10);

/// Delay after which a caller may retry if the origin of its stream is unknown.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What a gateway knows of the origins of streams.
#[derive(Debug, Default)]
pub struct Memory {
    origins: Mutex<Origins>,
    releases: Mutex<Releases>,
    /// Time from which this gateway knows which versions serve.
    followed_since: OnceLock<Duration>,
    /// Services that the store marked when it was read last, each with the Unix time of the
    /// mark in milliseconds, or `None` if they are not known yet.
    marks: Mutex<Option<Vec<(String, u64)>>>,
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
    pub(super) fn follow(&self, snapshot: &Snapshot, now: Duration) {
        let mut releases = lock(&self.releases);
        for release in releases.update(snapshot, now) {
            Event::VersionsChanged.log(format_args!(
                "service={} versions={:?}",
                release.service, release.versions
            ));
        }
        self.followed_since.get_or_init(|| now);
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
        let now = state.clock.now();
        let followed = now.saturating_sub(*self.followed_since.get()?);
        if followed < recent && !self.is_unmarked(service, recent, state) {
            return None;
        }
        self.listed_version(service, recent, now)
    }

    /// Returns the version of a service if only one has been listed within `recent`.
    fn listed_version(&self, service: &str, recent: Duration, now: Duration) -> Option<String> {
        let releases = lock(&self.releases);
        let release = releases.find(service)?;
        let version = release.versions.first();
        version.filter(|_| !release.was_mixed(recent, now)).cloned()
    }

    /// Returns whether the store shows that only one version of a service served within
    /// `recent`.
    fn is_unmarked(&self, service: &str, recent: Duration, state: &State) -> bool {
        let unix_now = Duration::from_millis(state.clock.unix_ms());
        let marks = lock(&self.marks);
        let Some(marks) = &*marks else {
            return false;
        };
        let mark = marks.iter().find(|mark| mark.0 == service);
        mark.is_none_or(|mark| {
            unix_now.saturating_sub(Duration::from_millis(mark.1)) > recent + MARK_MARGIN
        })
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
            let is_confirmed =
                confirm(state).await && state.streams.is_unmarked(&job.service, recent, state);
            let now = state.clock.now();
            let listed = state.streams.listed_version(&job.service, recent, now);
            (listed.filter(|_| is_confirmed), "store")
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
            let (marks, endpoints) =
                tokio::join!(refresh_marks(state), watch::refresh_endpoints(state));
            marks.and(endpoints)
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

/// Starts reading and writing marks, and telling other gateways of streams when a second
/// version of a service begins to serve.
pub fn start(state: &Arc<State>) {
    tokio::spawn(read_marks(Arc::clone(state)));
    tokio::spawn(run(Arc::clone(state)));
}

async fn read_marks(state: Arc<State>) {
    while let Err(fault) = refresh_marks(&state).await {
        log::debug!("failed to read when several versions served: {fault}");
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Reads the marks now.
async fn refresh_marks(state: &State) -> Result<(), Fault> {
    state.metrics.store_calls.inc();
    let listing = state.store.list(Collection::Releases).await?;
    *lock(&state.streams.marks) = Some(decode_marks(&listing));
    Ok(())
}

/// Returns the services with the time of their marks. An object that cannot be read counts
/// as a mark that has just been made.
fn decode_marks(listing: &Listing) -> Vec<(String, u64)> {
    let marks = listing.objects.iter().map(|object| {
        let at = object.spec["at"].as_u64().unwrap_or_else(|| {
            Event::ConfigRejected.log(format_args!(
                "object={} lacks the time at which several versions served",
                object.name
            ));
            u64::MAX
        });
        (object.name.clone(), at)
    });
    marks.collect()
}

async fn run(state: Arc<State>) {
    let mut period = time::interval(CHECK_INTERVAL);
    period.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut told: Vec<String> = Vec::new();
    let mut marked: Vec<(String, Duration)> = Vec::new();
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
        marked.retain(|(service, at)| now < *at + MARK_INTERVAL && mixed.contains(service));
        for service in &mixed {
            let is_marked = marked.iter().any(|one| one.0 == *service);
            if !is_marked && marks_service(&state, service, now) && mark(&state, service).await {
                marked.push((service.clone(), now));
            }
        }
        told = mixed;
    }
}

/// Returns whether this gateway marks a service in the store. It is chosen like the one that
/// keeps the reserve of an endpoint's limit.
fn marks_service(state: &State, service: &str, now: Duration) -> bool {
    lock(&state.roster).reserve_held(service, now).is_some()
}

/// Marks in the store that several versions of a service serve now. Returns whether it was
/// written.
async fn mark(state: &State, service: &str) -> bool {
    // One call to create the object, and one to replace it if it exists.
    state.metrics.store_calls.inc_by(2);
    let content = json!({ "at": state.clock.unix_ms() });
    let written = state
        .store
        .put(Collection::Releases, service, content)
        .await;
    if let Err(fault) = &written {
        log::warn!("failed to mark that several versions of {service} serve: {fault}");
    }
    written.is_ok()
}
