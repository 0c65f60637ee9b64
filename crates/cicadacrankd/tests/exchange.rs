//! Tests of gateways beside processes of older versions.

mod gateways;

use self::gateways::{deployment, wait_for_log};
use cicadacrank_bench::{deployment::Deployment, fleet};
use cicadacrank_node::platform::Collection;
use cicadacrank_wire::wire::{
    Beat, GatewayState, GrantAnswer, GrantRequest, Knowledge, Production, Released, Remembered,
    Results, StreamAnswer, StreamOrigins, StreamQuestion, Versions,
    gateway_client::GatewayClient,
    gateway_server::{Gateway, GatewayServer},
};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use tokio::net::TcpListener;
use tonic::{
    Request, Response, Status, async_trait,
    transport::{Server, server::TcpIncoming},
};

/// A process that neither sends nor understands digests. It keeps the heartbeats that it
/// receives.
#[derive(Clone, Default)]
struct Older {
    name: String,
    address: String,
    heartbeats: Arc<Mutex<Vec<Beat>>>,
}

impl Older {
    fn state(&self, heartbeats: u64) -> GatewayState {
        GatewayState {
            instance: self.name.clone(),
            incarnation: 1,
            address: self.address.clone(),
            leaving: false,
            heartbeats,
            ..GatewayState::default()
        }
    }

    fn heartbeat(&self, heartbeats: u64) -> Beat {
        Beat {
            me: Some(self.state(heartbeats)),
            ..Beat::default()
        }
    }
}

#[async_trait]
impl Gateway for Older {
    async fn exchange(&self, request: Request<Beat>) -> Result<Response<Beat>, Status> {
        let mut received = self.heartbeats.lock().expect("no test panicked");
        received.push(request.into_inner());
        Ok(Response::new(self.heartbeat(received.len() as u64)))
    }

    async fn fetch(&self, _: Request<Versions>) -> Result<Response<Knowledge>, Status> {
        Ok(Response::new(Knowledge::default()))
    }

    async fn produce(&self, _: Request<Production>) -> Result<Response<Results>, Status> {
        Err(Status::unimplemented("produce"))
    }

    async fn release(&self, _: Request<Results>) -> Result<Response<Released>, Status> {
        Err(Status::unimplemented("release"))
    }

    async fn grant(&self, _: Request<GrantRequest>) -> Result<Response<GrantAnswer>, Status> {
        Err(Status::unimplemented("grant"))
    }

    async fn remember(&self, _: Request<StreamOrigins>) -> Result<Response<Remembered>, Status> {
        Err(Status::unimplemented("remember"))
    }

    async fn recall(&self, _: Request<StreamQuestion>) -> Result<Response<StreamAnswer>, Status> {
        Err(Status::unimplemented("recall"))
    }
}

fn register(deployment: &Deployment, older: &Older) {
    let entry = json!({ "address": older.address, "incarnation": 1 });
    let mut store = deployment.store.state();
    store.put(Collection::Gateways, &older.name, entry);
}

async fn client(address: SocketAddr) -> GatewayClient<tonic::transport::Channel> {
    GatewayClient::connect(format!("http://{address}"))
        .await
        .expect("the gateway listens")
}

fn names(beat: &Beat) -> Vec<&str> {
    let others = beat.others.iter();
    others.map(|one| one.instance.as_str()).collect()
}

/// Sends heartbeats of a process until the answer names `name`.
async fn wait_for_name(address: SocketAddr, older: &Older, name: &str) -> Beat {
    let mut gateway = client(address).await;
    let found = Mutex::new(Beat::default());
    let named = fleet::wait_for("the name", async || {
        let mut gateway = gateway.clone();
        let answer = gateway.exchange(older.heartbeat(1)).await;
        let answer = answer.expect("an answer").into_inner();
        let is_named = names(&answer).contains(&name);
        *found.lock().expect("no test panicked") = answer;
        is_named
    });
    named.await.expect("the gateway is named");
    drop(gateway.exchange(Beat::default()).await);
    found.into_inner().expect("no test panicked")
}

#[tokio::test]
async fn exchange_names_all_live_gateways_to_an_older_process() {
    let deployment = deployment(2, 1).await;
    let older = Older {
        name: "older".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        ..Older::default()
    };
    let address = deployment.gateways[0].peer_address();
    let answer = wait_for_name(address, &older, "gateway-1").await;
    assert!(answer.ids.is_empty());
    assert!(answer.others.iter().all(|one| one.heartbeats > 0));
}

#[tokio::test]
async fn exchange_names_only_lacking_gateways_to_a_process_with_digests() {
    let deployment = deployment(2, 1).await;
    let older = Older {
        name: "older".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        ..Older::default()
    };
    let address = deployment.gateways[0].peer_address();
    wait_for_name(address, &older, "gateway-1").await;
    let mut me = older.state(2);
    me.reads_digests = true;
    let mut beat = Beat {
        me: Some(me),
        ..Beat::default()
    };
    let mut gateway = client(address).await;
    let answer = gateway.exchange(beat.clone()).await.expect("an answer");
    let answer = answer.into_inner();
    assert_eq!(names(&answer), ["gateway-1"]);
    assert_eq!(answer.ids.len(), 2, "the other gateway and the reader");
    beat.ids = answer.ids;
    beat.counts = answer.counts;
    let answer = gateway.exchange(beat).await.expect("an answer");
    assert_eq!(names(&answer.into_inner()), Vec::<&str>::new());
}

/// The gateway learns of the older process from the store, which does not say what it
/// understands.
#[tokio::test]
async fn heartbeats_to_an_older_process_name_all_live_gateways() {
    let mut deployment = deployment(2, 1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let older = Older {
        name: "older".to_owned(),
        address: listener.local_addr().expect("an address").to_string(),
        ..Older::default()
    };
    let server = Server::builder().add_service(GatewayServer::new(older.clone()));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    register(&deployment, &older);
    deployment.gateways[0]
        .kill()
        .expect("the gateway is killed");
    deployment.gateways[0]
        .restart()
        .expect("the gateway starts");
    wait_for_log(&deployment, 0, "Started").await;
    let named = fleet::wait_for("a heartbeat that names a gateway", async || {
        let heartbeats = older.heartbeats.lock().expect("no test panicked");
        let mut heartbeats = heartbeats.iter();
        heartbeats.any(|beat| names(beat).contains(&"gateway-1") && beat.ids.is_empty())
    });
    assert!(named.await.is_ok());
}
