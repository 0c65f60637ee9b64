//! Accounts of slot time that sidecars store in the platform.

mod common;

use cicadacrank_bench::fleet::{self, Fleet};
use cicadacrank_core::accounting::Account;
use cicadacrank_node::{operator::Status, platform::Collection};
use common::{plan, profile, request, send};

/// Number of slots of each endpoint, cold or warm.
const SLOTS: u64 = 64;
/// Minimum duration of each run, in microseconds.
const MIN_RUN_US: u64 = 50_000;

async fn start(account_ms: u64) -> Fleet {
    let mut plan = plan("tests/samples/small.rules");
    plan.timeouts["account_ms"] = account_ms.into();
    plan.profile = profile(MIN_RUN_US, 0, 3);
    Fleet::start(plan).await.expect("failed to start the fleet")
}

fn accounts(fleet: &Fleet) -> Vec<Account> {
    let listing = fleet.platform.state().list(Collection::Accounts);
    let objects = listing.objects.into_iter();
    objects
        .map(|object| serde_json::from_value(object.spec).expect("invalid account"))
        .collect()
}

/// Returns the busy time of a stage for the team `desk`, in microseconds.
fn busy_us(accounts: &[Account], stage: &str) -> u64 {
    let lines = accounts.iter().flat_map(|account| &account.busy);
    lines
        .filter(|line| line.key.stage == stage && line.key.team == "desk")
        .map(|line| line.busy_us)
        .sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accounts_grow_while_work_runs() {
    let fleet = start(100).await;
    let answer = send(request(&fleet, 0, "order", "key-1")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    fleet::wait_for("accounts of all stages", async || {
        let accounts = accounts(&fleet);
        let stages = ["stock", "place", "note"].into_iter();
        stages
            .clone()
            .all(|stage| busy_us(&accounts, stage) >= MIN_RUN_US)
    })
    .await
    .expect("the accounts of all stages are stored");
    for account in accounts(&fleet) {
        let busy: u64 = account.busy.iter().map(|line| line.busy_us).sum();
        // `observed_us` is truncated to whole microseconds, so the observed time is longer by
        // less than one microsecond.
        let slot_time = (account.observed_us + 1) * SLOTS;
        assert!(busy + account.idle_us < slot_time, "{account:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accounts_are_complete_after_shutdown() {
    let mut fleet = start(3_600_000).await;
    let answer = send(request(&fleet, 0, "order", "key-1")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(
        accounts(&fleet).is_empty(),
        "accounts were stored before the first interval ended"
    );
    for backend in &mut fleet.backends {
        backend
            .sidecar
            .terminate()
            .expect("failed to send the signal");
        assert!(
            backend
                .sidecar
                .wait()
                .await
                .expect("failed to wait for the process")
                .success()
        );
    }
    let accounts = accounts(&fleet);
    assert_eq!(accounts.len(), fleet.backends.len());
    assert!(busy_us(&accounts, "place") >= MIN_RUN_US, "{accounts:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_endpoints() {
    let fleet = start(3_600_000).await;
    for backend in &fleet.backends {
        let url = format!(
            "http://{}/status",
            backend.sidecar.addresses.operator_listen
        );
        let page = fleet::client()
            .expect("failed to create the client")
            .get(url)
            .send()
            .await;
        let status: Status = page
            .expect("request failed")
            .json()
            .await
            .expect("invalid status");
        let [endpoint] = &status.endpoints[..] else {
            panic!("expected one endpoint: {status:?}");
        };
        assert_eq!(endpoint.name, backend.endpoint);
        assert_eq!((endpoint.in_flight, u64::from(endpoint.slots)), (0, SLOTS));
    }
}
