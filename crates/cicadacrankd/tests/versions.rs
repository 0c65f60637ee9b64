//! Tests of streams while engines of two software versions serve side by side.

mod gateways;

use self::gateways::{
    begin, begin_streams, deployment, engines, register, set_faults, take_up, wait_for_directory,
};
use cicadacrank_bench::{
    deployment::{Deployment, Endpoint, Fault, Role},
    fleet,
};
use cicadacrank_node::platform::Collection;
use serde_json::{Value, json};
use std::{ops::Range, time::Duration};
use tokio::time;

/// Time in which the retry budget of a gateway that has just started fills.
const BUDGET_TIME: Duration = Duration::from_secs(3);

const NEW: &str = "v2";

/// Number of streams of which some begin at engines of each version.
const STREAMS: usize = 12;

/// Registers the engines from `first` on with the new version, and waits until all
/// gateways know.
async fn release(deployment: &Deployment, first: usize) {
    release_range(deployment, first..engines(deployment).len()).await;
}

async fn release_range(deployment: &Deployment, range: Range<usize>) {
    for engine in &engines(deployment)[range] {
        register(deployment, engine, NEW, 2);
    }
    for gateway in 0..deployment.gateways.len() {
        wait_for_directory(deployment, gateway).await;
    }
}

/// Returns the numbers of the engines that ran an attempt.
fn engines_of(deployment: &Deployment, attempt: &str) -> Vec<usize> {
    let ran = |engine: &Endpoint| engine.runs().iter().any(|run| run.attempt == attempt);
    let engines = engines(deployment);
    let ran = engines.iter().enumerate().filter(|(_, engine)| ran(engine));
    ran.map(|(number, _)| number).collect()
}

/// Returns whether engines of the new version ran an attempt, and checks that none of
/// another version did.
fn is_new(deployment: &Deployment, attempt: &str) -> bool {
    let ran = engines_of(deployment, attempt);
    let first = *ran.first().expect("the attempt ran");
    let is_new = |engine: usize| engine >= deployment.endpoints_with(Role::Engine).count() / 2;
    assert!(
        ran.iter().all(|engine| is_new(*engine) == is_new(first)),
        "{attempt} ran at {ran:?}"
    );
    is_new(first)
}

/// Takes all streams up at a gateway, and checks that they go on at the version that began
/// them.
async fn check_take_ups(deployment: &Deployment, gateway: usize, began: &[String]) {
    let mut counts = [0, 0];
    for began in began {
        let attempt = format!("{began}-{gateway}");
        let answer = take_up(deployment, gateway, &attempt, began).await;
        let log = deployment.gateways[gateway].log_text();
        assert_eq!(answer.status, Some(200), "{attempt}: {log}");
        assert!(answer.whole, "{attempt}: {log}");
        let new = is_new(deployment, began);
        assert_eq!(is_new(deployment, &attempt), new, "{attempt}");
        counts[usize::from(new)] += 1;
    }
    assert!(
        counts.iter().all(|count| *count > 0),
        "both versions: {counts:?}"
    );
}

/// A stream that its caller took up at another gateway went on at another version.
#[tokio::test]
async fn stream_that_its_caller_takes_up_goes_on_at_the_version_that_began_it() {
    let deployment = deployment(3, 4).await;
    release(&deployment, 2).await;
    let began = begin_streams(&deployment, 0, STREAMS).await;
    for gateway in [0, 1] {
        check_take_ups(&deployment, gateway, &began).await;
    }
}

/// The gateway that had begun the streams was gone, and nobody else knew their versions.
#[tokio::test]
async fn stream_whose_gateway_is_gone_goes_on_at_the_version_that_began_it() {
    let deployment = deployment(3, 4).await;
    release(&deployment, 2).await;
    let began = begin_streams(&deployment, 0, STREAMS).await;
    time::sleep(Duration::from_millis(500)).await;
    deployment.gateways[0].kill().expect("failed to kill");
    check_take_ups(&deployment, 1, &began).await;
}

/// Streams that had begun before the second version served were unknown to other gateways.
#[tokio::test]
async fn stream_that_began_before_a_release_goes_on_at_the_version_that_began_it() {
    let deployment = deployment(2, 4).await;
    let began = begin_streams(&deployment, 0, STREAMS).await;
    let runs: Vec<usize> = engines(&deployment)
        .iter()
        .map(|engine| engine.runs().len())
        .collect();
    // The engines that would be chosen if the version did not matter.
    let is_first_half = runs[0] + runs[1] > runs[2] + runs[3];
    let released = if is_first_half { 0..2 } else { 2..4 };
    release_range(&deployment, released.clone()).await;
    time::sleep(BUDGET_TIME).await;
    deployment.gateways[0].kill().expect("failed to kill");
    for began in began {
        let attempt = format!("{began}-1");
        let answer = take_up(&deployment, 1, &attempt, &began).await;
        assert_eq!(answer.status, Some(200), "{attempt}");
        assert!(answer.whole, "{attempt}");
        let ran = engines_of(&deployment, &attempt);
        let is_new = ran.iter().any(|engine| released.contains(engine));
        assert!(!is_new, "{attempt}: {ran:?}");
    }
}

/// Kills all gateways and waits for their end.
async fn kill_all(deployment: &mut Deployment) {
    for gateway in &deployment.gateways {
        gateway.kill().expect("failed to kill");
    }
    for gateway in &mut deployment.gateways {
        gateway.wait().await.expect("failed to wait");
    }
}

/// Kills all gateways and starts them again.
async fn restart_all(deployment: &mut Deployment) {
    kill_all(deployment).await;
    start_all(deployment).await;
}

/// Starts all gateways again.
async fn start_all(deployment: &mut Deployment) {
    for gateway in &mut deployment.gateways {
        gateway.restart().expect("failed to restart the process");
    }
    for gateway in &deployment.gateways {
        gateway.wait_ready().await.expect("ready");
    }
}

/// After all gateways had been killed, streams went on at any version, also when the engines
/// of the one that had begun them had left.
#[tokio::test]
async fn stream_of_unknown_version_is_refused_after_all_gateways_were_killed() {
    for old_has_left in [false, true] {
        let mut deployment = deployment(2, 4).await;
        release(&deployment, 2).await;
        let began = begin_streams(&deployment, 0, STREAMS).await;
        // The mark in the store is written within this time.
        time::sleep(BUDGET_TIME).await;
        if old_has_left {
            for engine in &engines(&deployment)[..2] {
                let mut store = deployment.store.state();
                store.remove(Collection::Endpoints, &engine.id);
            }
        }
        restart_all(&mut deployment).await;
        for began in &began {
            let attempt = format!("{began}-1");
            let answer = take_up(&deployment, 1, &attempt, began).await;
            assert_eq!(answer.status, Some(503), "{attempt}");
            assert!(answer.retry_after.is_some(), "{attempt}");
            assert_eq!(engines_of(&deployment, &attempt), Vec::<usize>::new());
        }
        let answer = begin(&deployment, 1, "new").await;
        assert!(answer.whole, "new streams are served");
    }
}

/// Replaces all engines of the old version by as many of the new one.
fn replace(deployment: &Deployment) {
    let engines = engines(deployment);
    let (old, new) = engines.split_at(engines.len() / 2);
    for engine in new {
        register(deployment, engine, NEW, 2);
    }
    for engine in old {
        let mut store = deployment.store.state();
        store.remove(Collection::Endpoints, &engine.id);
    }
}

/// Checks that a gateway refuses to go on with streams, and serves new ones.
async fn check_refused(deployment: &Deployment, gateway: usize, began: &[String]) {
    for began in began {
        let attempt = format!("{began}-{gateway}");
        let answer = take_up(deployment, gateway, &attempt, began).await;
        let log = deployment.gateways[gateway].log_text();
        assert_eq!(answer.status, Some(503), "{attempt}: {log}");
        assert!(answer.retry_after.is_some(), "{attempt}");
        assert_eq!(engines_of(deployment, &attempt), Vec::<usize>::new());
    }
    let answer = begin(deployment, gateway, &format!("new-{gateway}")).await;
    assert!(answer.whole, "new streams are served");
}

/// All engines were replaced while no gateway ran. The gateways that started afterwards took
/// the only version that they saw for the one that had begun all streams.
#[tokio::test]
async fn stream_whose_version_was_replaced_while_no_gateway_ran_is_refused() {
    let mut deployment = deployment(2, 4).await;
    let began = begin_streams(&deployment, 0, STREAMS).await;
    kill_all(&mut deployment).await;
    replace(&deployment);
    start_all(&mut deployment).await;
    for gateway in 0..2 {
        check_refused(&deployment, gateway, &began).await;
    }
    // What the first gateways wrote when they saw the change holds for later ones.
    restart_all(&mut deployment).await;
    check_refused(&deployment, 1, &began).await;
}

/// All engines were replaced at once, and the gateways were killed before their next check.
#[tokio::test]
async fn stream_whose_version_was_replaced_before_all_gateways_were_killed_is_refused() {
    let mut deployment = deployment(2, 4).await;
    let began = begin_streams(&deployment, 0, STREAMS).await;
    replace(&deployment);
    for gateway in 0..2 {
        wait_for_directory(&deployment, gateway).await;
    }
    restart_all(&mut deployment).await;
    check_refused(&deployment, 1, &began).await;
}

/// A release was undone, and the store came back from a copy made before it. Gateways that
/// started afterwards took the version that serves for the one that had begun all streams.
#[tokio::test]
async fn stream_of_a_version_whose_record_was_lost_with_the_store_is_refused() {
    let mut deployment = deployment(2, 4).await;
    wait_for_record(&deployment, &json!(["v1"]), None).await;
    let copy = deployment.store.state().save();
    release(&deployment, 2).await;
    let began = begin_streams(&deployment, 0, STREAMS).await;
    for engine in &engines(&deployment)[2..] {
        register(&deployment, engine, "v1", 3);
    }
    wait_for_record(&deployment, &json!(["v1"]), Some(NEW)).await;
    // Both gateways have read the record by then.
    time::sleep(BUDGET_TIME).await;
    deployment.store.state().restore(&copy);
    wait_for_record(&deployment, &json!(["v1"]), Some(NEW)).await;
    restart_all(&mut deployment).await;
    check_refused(&deployment, 1, &began).await;
}

/// Waits until the store records that these versions of the engines serve, and that another
/// one has left.
async fn wait_for_record(deployment: &Deployment, versions: &Value, left: Option<&str>) {
    let recorded = fleet::wait_for("the record", async || {
        let listing = deployment.store.state().list(Collection::Releases);
        let mut objects = listing.objects.iter();
        objects.any(|object| {
            let has_left = object.spec["left"][0]["version"].as_str() == left;
            object.spec["versions"] == *versions && has_left
        })
    });
    assert!(
        recorded.await.is_ok(),
        "{versions} and {left:?} are not recorded"
    );
}

/// Without a release, nothing has to be known of a stream.
#[tokio::test]
async fn stream_of_the_only_version_goes_on_after_all_gateways_were_killed() {
    let mut deployment = deployment(2, 2).await;
    let began = begin_streams(&deployment, 0, STREAMS).await;
    restart_all(&mut deployment).await;
    for began in &began {
        let attempt = format!("{began}-1");
        let answer = take_up(&deployment, 1, &attempt, began).await;
        assert_eq!(answer.status, Some(200), "{attempt}");
        assert!(answer.whole, "{attempt}");
    }
}

/// A stream of a version without engines ran its stages, or went on at another version.
#[tokio::test]
async fn stream_of_a_version_that_has_left_is_refused_at_once() {
    let deployment = deployment(1, 4).await;
    let began = begin_streams(&deployment, 0, STREAMS).await;
    release(&deployment, 0).await;
    let worker = deployment.endpoints_with(Role::Worker).next();
    let calls = worker.expect("a worker").calls().len();
    for began in &began {
        let attempt = format!("{began}-0");
        let answer = take_up(&deployment, 0, &attempt, began).await;
        assert_eq!(answer.status, Some(503), "{attempt}");
    }
    assert_eq!(worker.expect("a worker").calls().len(), calls);
}

/// A stream that broke off went on at an engine of another version.
#[tokio::test]
async fn stream_goes_on_only_at_an_engine_of_the_version_that_began_it() {
    let deployment = deployment(1, 3).await;
    release(&deployment, 2).await;
    time::sleep(BUDGET_TIME).await;
    let mut resumed = 0;
    for broken in 0..3 {
        set_faults(&deployment, Role::Engine, Fault::None);
        engines(&deployment)[broken].set_fault(Fault::BreakOff);
        for number in 0..6 {
            let attempt = format!("s{broken}-{number}");
            let answer = begin(&deployment, 0, &attempt).await;
            let ran = engines_of(&deployment, &attempt);
            let versions = ran.iter().map(|engine| *engine >= 2);
            let is_mixed = versions.clone().any(|new| new) && versions.clone().any(|new| !new);
            assert!(!is_mixed, "{attempt} ran at {ran:?}");
            if ran.contains(&broken) {
                let has_other = broken < 2;
                assert_eq!(answer.whole, has_other, "{attempt} ran at {ran:?}");
                resumed += usize::from(has_other);
            }
        }
    }
    assert!(resumed > 0, "no stream was resumed");
}
