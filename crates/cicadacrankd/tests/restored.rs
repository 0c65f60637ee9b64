//! Tests of gateways whose store comes back from a copy.

mod gateways;

use self::gateways::{deployment, wait_for_directory};
use cicadacrank_bench::{
    deployment::{Caller, Deployment, Gateway, Impairment, Proxy, Role, config, route, send},
    fleet,
    platform::Copy,
};
use cicadacrank_node::platform::Collection;
use reqwest::Method;
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

/// Name of the data centre of all endpoints.
const DATA_CENTRE: &str = "one";

/// Changes that the store loses, so that it counts far below what the gateways hold.
const LOST_CHANGES: u64 = 60;

/// Time for which nothing may change after the return of the store. It is well within
/// the two seconds in which operators and endpoints write again.
const EARLY: Duration = Duration::from_millis(1_200);

/// Time after which everything must be written again.
const GRACE: Duration = Duration::from_secs(3);

fn logs(deployment: &Deployment) -> String {
    let logs = deployment.gateways.iter().map(Gateway::log_text);
    logs.collect::<Vec<_>>().join("\n")
}

/// Writes changes that the gateways read and that a copy made before does not hold.
async fn write_lost_changes(deployment: &Deployment) {
    let mut engines = deployment.endpoints_with(Role::Engine);
    let engine = engines.next().expect("there is an engine");
    for number in 0..LOST_CHANGES {
        let mut state = deployment.store.state();
        state.put(Collection::Evacuations, "elsewhere", json!(number));
        state.remove(Collection::Evacuations, "elsewhere");
        let entry = engine.entry("ready", 2 + number);
        state.put(Collection::Endpoints, &engine.id, entry);
    }
    for gateway in 0..deployment.gateways.len() {
        wait_for_directory(deployment, gateway).await;
    }
}

/// Lets the store come back and waits until each gateway has logged that.
async fn restore(deployment: &Deployment, copy: &Copy) {
    deployment.store.state().restore(copy);
    wait_for_era(deployment, 1).await;
}

async fn wait_for_era(deployment: &Deployment, era: u64) {
    let text = format!("PlatformRestored: era={era}");
    fleet::wait_for("the return of the store", async || {
        let mut gateways = deployment.gateways.iter();
        gateways.all(|gateway| gateway.log_text().contains(&text))
    })
    .await
    .expect("the gateways know that the store has come back");
}

async fn status(gateway: &Gateway, path: &str, attempt: &str) -> Option<u16> {
    let caller = Caller::new().expect("failed to create the caller");
    let request = caller.request(Method::GET, gateway.caller_address(), path, attempt);
    send(request).await.status
}

/// Returns whether all gateways answer a lookup with a status.
async fn all_answer(deployment: &Deployment, path: &str, expected: u16) -> bool {
    for gateway in &deployment.gateways {
        if status(gateway, path, "probe").await != Some(expected) {
            return false;
        }
    }
    true
}

/// Checks that all gateways answer a lookup with a status from now until `end`.
async fn assert_status_until(deployment: &Deployment, path: &str, expected: u16, end: Instant) {
    while Instant::now() < end {
        let answered = all_answer(deployment, path, expected).await;
        assert!(answered, "not {expected}: {}", logs(deployment));
    }
}

/// Waits until all gateways answer a lookup with a status.
async fn wait_for_status(deployment: &Deployment, path: &str, expected: u16) {
    let answered = fleet::wait_for("the status", async || {
        all_answer(deployment, path, expected).await
    });
    assert!(
        answered.await.is_ok(),
        "never {expected}: {}",
        logs(deployment)
    );
}

/// Writes the entries of all desks in a state.
fn register_desks(deployment: &Deployment, state: &str, sequence: u64) {
    for desk in deployment.endpoints_with(Role::Desk) {
        let entry = desk.entry(state, sequence);
        let mut store = deployment.store.state();
        store.put(Collection::Endpoints, &desk.id, entry);
    }
}

fn remove_desks(deployment: &Deployment) {
    for desk in deployment.endpoints_with(Role::Desk) {
        let mut store = deployment.store.state();
        store.remove(Collection::Endpoints, &desk.id);
    }
}

fn evacuate(deployment: &Deployment) {
    let mut store = deployment.store.state();
    store.put(Collection::Evacuations, DATA_CENTRE, json!({}));
}

/// Gateways ignored all lists of a store that counted below what they held.
#[tokio::test]
async fn endpoints_that_leave_after_the_return_of_the_store_get_no_request() {
    let deployment = deployment(2, 2).await;
    let copy = deployment.store.state().save();
    write_lost_changes(&deployment).await;
    restore(&deployment, &copy).await;
    assert!(all_answer(&deployment, "/look/1", 200).await);
    register_desks(&deployment, "draining", 2);
    wait_for_status(&deployment, "/look/1", 503).await;
}

/// Gateways ignored all evacuations of a store that counted below what they held.
#[tokio::test]
async fn evacuation_after_the_return_of_the_store_takes_effect() {
    let deployment = deployment(2, 2).await;
    let copy = deployment.store.state().save();
    write_lost_changes(&deployment).await;
    restore(&deployment, &copy).await;
    assert!(all_answer(&deployment, "/look/1", 200).await);
    evacuate(&deployment);
    wait_for_status(&deployment, "/look/1", 503).await;
}

/// Gateways would send to an evacuated data centre until the operator names it again.
#[tokio::test]
async fn evacuation_that_the_copy_lacks_stays_until_it_is_written_again() {
    let deployment = deployment(2, 2).await;
    let copy = deployment.store.state().save();
    write_lost_changes(&deployment).await;
    evacuate(&deployment);
    wait_for_status(&deployment, "/look/1", 503).await;
    let returned = Instant::now();
    restore(&deployment, &copy).await;
    assert_status_until(&deployment, "/look/1", 503, returned + EARLY).await;
    evacuate(&deployment);
    assert_status_until(&deployment, "/look/1", 503, returned + GRACE).await;
    // The operator does not write it again after the next return.
    deployment.store.state().restore(&copy);
    wait_for_status(&deployment, "/look/1", 200).await;
}

/// The entry of a copy would bring an endpoint back that has left.
#[tokio::test]
async fn endpoints_that_left_before_the_return_of_the_store_stay_away() {
    for state in ["draining", "removed"] {
        let deployment = deployment(2, 2).await;
        let copy = deployment.store.state().save();
        if state == "removed" {
            remove_desks(&deployment);
        } else {
            register_desks(&deployment, state, 2);
        }
        write_lost_changes(&deployment).await;
        wait_for_status(&deployment, "/look/1", 503).await;
        let returned = Instant::now();
        restore(&deployment, &copy).await;
        assert_status_until(&deployment, "/look/1", 503, returned + GRACE).await;
        // They start again under their ids.
        for desk in deployment.endpoints_with(Role::Desk) {
            let mut entry = desk.entry("ready", 1);
            entry["born"] = json!(2_000);
            let mut store = deployment.store.state();
            store.put(Collection::Endpoints, &desk.id, entry);
        }
        wait_for_status(&deployment, "/look/1", 200).await;
    }
}

/// Gateways would drop endpoints that registered after the copy was made.
#[tokio::test]
async fn endpoints_that_the_copy_lacks_have_time_to_register_again() {
    let deployment = deployment(2, 2).await;
    remove_desks(&deployment);
    let copy = deployment.store.state().save();
    wait_for_status(&deployment, "/look/1", 503).await;
    register_desks(&deployment, "ready", 5);
    write_lost_changes(&deployment).await;
    wait_for_status(&deployment, "/look/1", 200).await;
    let returned = Instant::now();
    restore(&deployment, &copy).await;
    assert_status_until(&deployment, "/look/1", 200, returned + EARLY).await;
    register_desks(&deployment, "ready", 6);
    assert_status_until(&deployment, "/look/1", 200, returned + GRACE).await;
    // They do not register again after the next return.
    deployment.store.state().restore(&copy);
    wait_for_status(&deployment, "/look/1", 503).await;
}

/// The store holds an older version for a moment, then the operator's newest again.
#[tokio::test]
async fn configuration_never_goes_back_when_the_store_does() {
    let deployment = deployment(2, 2).await;
    let copy = deployment.store.state().save();
    write_lost_changes(&deployment).await;
    let added = json!([route("/new/", "idempotent", "desk", 2)]);
    deployment.configure(5, &added);
    wait_for_status(&deployment, "/new/", 200).await;
    let returned = Instant::now();
    restore(&deployment, &copy).await;
    assert_status_until(&deployment, "/new/", 200, returned + EARLY).await;
    let older = fleet::wait_for("the older version is logged", async || {
        let mut gateways = deployment.gateways.iter();
        gateways.all(|gateway| gateway.log_text().contains("version=1 held_version=5"))
    });
    assert!(older.await.is_ok(), "{}", logs(&deployment));
    // The same version with another content, which only a newer era can hold.
    let other = json!([route("/other/", "idempotent", "desk", 2)]);
    let content = config(5, &other);
    deployment
        .store
        .state()
        .put(Collection::Config, "main", content);
    wait_for_status(&deployment, "/other/", 200).await;
}

/// A gateway that cannot read the store took no list of a lower revision from another.
#[tokio::test]
async fn gateway_without_the_store_learns_of_its_return_from_others() {
    let mut deployment = deployment(2, 2).await;
    let proxy = Proxy::start(deployment.store.address).await;
    let proxy = proxy.expect("failed to start the proxy");
    let program = env!("CARGO_BIN_EXE_cicadacrankd");
    deployment
        .add_gateway(program.as_ref(), proxy.address)
        .await
        .expect("failed to start a third gateway");
    let copy = deployment.store.state().save();
    write_lost_changes(&deployment).await;
    proxy.set_impairment(Impairment::Reset);
    deployment.store.state().restore(&copy);
    evacuate(&deployment);
    wait_for_status(&deployment, "/look/1", 503).await;
    deployment
        .store
        .state()
        .remove(Collection::Evacuations, DATA_CENTRE);
    wait_for_status(&deployment, "/look/1", 200).await;
    register_desks(&deployment, "draining", 2);
    wait_for_status(&deployment, "/look/1", 503).await;
    let log = deployment.gateways[2].log_text();
    assert!(!log.contains("PlatformRestored"), "{log}");
}

/// A gateway registered only once, so that gateways that started later did not find it.
#[tokio::test]
async fn gateway_registers_again_after_the_return_of_the_store() {
    let deployment = deployment(2, 2).await;
    let registered = || {
        let listing = deployment.store.state().list(Collection::Gateways);
        listing.objects.len()
    };
    fleet::wait_for("the gateways are registered", async || registered() == 2)
        .await
        .expect("the gateways are registered");
    for name in ["gateway-0", "gateway-1"] {
        let mut state = deployment.store.state();
        state.remove(Collection::Gateways, name);
    }
    let copy = deployment.store.state().save();
    assert_eq!(registered(), 0);
    restore(&deployment, &copy).await;
    let again = fleet::wait_for("the gateways are registered", async || registered() == 2);
    assert!(again.await.is_ok(), "{}", logs(&deployment));
}
