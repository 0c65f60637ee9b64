//! Callers outside the limits of the configuration: each test starts a small crowd of them,
//! which comes back whenever its connections are closed, and checks that the process lives,
//! keeps to its memory and its descriptors, and answers an ordinary request meanwhile.
//!
//! The tests run one at a time.

mod common;
mod gateways;

use cicadacrank_bench::{
    deployment::{Caller, Deployment, Fault, Plan, Role, config, send},
    fleet,
};
use cicadacrank_node::platform::Collection;
use common::start_small_fleet;
use gateways::{set_faults, wait_for_log};
use reqwest::Method;
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time::{self, Instant},
};

/// Memory that the settings allow a gateway, in megabytes.
const MEMORY_MB: u64 = 60;

/// Descriptors that the settings allow a gateway, of which 800 are for sockets, half of
/// them for callers.
const DESCRIPTORS: usize = 1_000;

/// Largest body that the configuration allows.
const BODY_BYTES: usize = 1 << 20;

/// Connections of the crowd, more than a gateway has for callers.
const CROWD: usize = 450;

/// Connections of a crowd whose requests are at work, fewer than a gateway has for callers.
const WORKING: usize = 300;

/// Connections of the crowd at the readiness port, more than a gateway has for it.
const INSPECTORS: usize = 40;

/// Connections of the crowd at the link between gateways, more than a gateway has
/// descriptors.
const GATEWAYS: usize = 1_200;

/// Connections of the crowd at an entry of our own interface.
const ENTRIES: usize = 40;

/// Size of the body of the ordinary request.
const ORDINARY_BODY_BYTES: usize = 32 << 10;

/// Time that the crowd takes to fill what it fills.
const FILL_TIME: Duration = Duration::from_secs(3);

/// Time between two parts of a crowd member's slow sends, and before it comes back.
const PAUSE: Duration = Duration::from_millis(50);

/// Time after which a crowd member that reads nothing comes back.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time for which an ordinary caller goes on to try.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(30);

/// Memory that one process of our own interface may take, in bytes.
const ENTRY_MEMORY_BYTES: u64 = 256 << 20;

static RUNNING: Mutex<()> = Mutex::const_new(());

/// What one member of a crowd sends on each of its connections, and whether it reads.
#[derive(Debug, Default)]
struct Shape {
    first: Vec<u8>,
    /// Sent again and again afterwards.
    then: Option<Vec<u8>>,
    is_mute: bool,
    /// Number of times that a member has sent its first bytes.
    filled: AtomicUsize,
}

impl Shape {
    /// Returns a shape that sends some bytes and nothing more.
    fn new(first: impl Into<Vec<u8>>) -> Self {
        let first = first.into();
        Self {
            first,
            ..Self::default()
        }
    }

    /// Lets it send some bytes again and again.
    fn with_repeated(mut self, then: impl Into<Vec<u8>>) -> Self {
        self.then = Some(then.into());
        self
    }

    /// Lets it read nothing.
    fn with_unread_answers(mut self) -> Self {
        self.is_mute = true;
        self
    }

    /// Sends without end.
    async fn write(&self, stream: &mut (impl AsyncWrite + Unpin)) -> std::io::Result<()> {
        stream.write_all(&self.first).await?;
        self.filled.fetch_add(1, Ordering::Relaxed);
        while let Some(then) = &self.then {
            stream.write_all(then).await?;
            time::sleep(PAUSE).await;
        }
        std::future::pending().await
    }

    /// Plays a member that comes back whenever its connection has ended.
    async fn play(&self, address: SocketAddr) {
        loop {
            time::sleep(PAUSE).await;
            let Ok(mut stream) = TcpStream::connect(address).await else {
                continue;
            };
            let (mut reader, mut writer) = stream.split();
            let read = async {
                if self.is_mute {
                    return time::sleep(PATIENCE).await;
                }
                let mut bytes = [0; 1_024];
                while reader.read(&mut bytes).await.is_ok_and(|bytes| bytes > 0) {}
            };
            tokio::select! {
                _ = self.write(&mut writer) => {}
                () = read => {}
            }
        }
    }
}

/// Starts a crowd, which leaves when it is dropped.
fn start_crowd(shape: &Arc<Shape>, size: usize, address: SocketAddr) -> JoinSet<()> {
    let members = (0..size).map(|_| {
        let shape = Arc::clone(shape);
        async move { shape.play(address).await }
    });
    members.collect()
}

/// Returns a request head up to and without its empty line, with some headers besides the
/// usual ones.
fn head(line: &str, headers: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nhost: tea.example\r\nauthorization: Bearer k-desk\r\n\
         x-attempt-id: crowd\r\nx-deadline-ms: 9000\r\n{headers}"
    )
}

/// Returns the head of a request whose body comes in chunks.
fn chunked(line: &str) -> Vec<u8> {
    let head = head(line, "transfer-encoding: chunked\r\n\r\n");
    head.into_bytes()
}

/// Appends chunks of a size until a body has so many bytes.
fn push_chunks(bytes: &mut Vec<u8>, size: usize, total: usize) {
    for _ in 0..total / size {
        bytes.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + size, b'x');
        bytes.extend_from_slice(b"\r\n");
    }
}

/// Starts a deployment with a gateway of little memory, and takes the turn of this test.
async fn start() -> (Deployment, MutexGuard<'static, ()>) {
    let turn = RUNNING.lock().await;
    let plan = Plan {
        program: env!("CARGO_BIN_EXE_cicadacrankd").into(),
        gateways: 1,
        endpoints: 1,
    };
    let deployment = Deployment::start_with(&plan, |settings| {
        settings
            .with_memory_mb(MEMORY_MB)
            .with_descriptors(DESCRIPTORS)
    });
    let deployment = deployment.await.expect("failed to start the deployment");
    let mut content = config(2, &json!([]));
    content["limits"]["maxBodyBytes"] = json!(BODY_BYTES);
    let store = &deployment.store;
    store.state().put(Collection::Config, "main", content);
    wait_for_log(&deployment, 0, "ConfigAdopted: version=2").await;
    (deployment, turn)
}

/// Sends ordinary requests until one is answered, as callers do after a refusal.
async fn check_ordinary(deployment: &Deployment, name: &str) {
    let caller = Caller::new().expect("failed to create the caller");
    let address = deployment.gateways[0].caller_address();
    let until = Instant::now() + ORDINARY_TIMEOUT;
    let mut answers = Vec::new();
    while Instant::now() < until {
        let attempt = format!("{name}{}", answers.len());
        let request = caller.request(Method::GET, address, "/look/1", &attempt);
        let answer = send(request.body(vec![b'x'; ORDINARY_BODY_BYTES])).await;
        if answer.status == Some(200) && answer.whole {
            return;
        }
        answers.push(answer.status);
        time::sleep(PAUSE).await;
    }
    panic!("{name}: no ordinary request was answered: {answers:?}");
}

/// Plays a crowd at an address of a gateway.
async fn check(deployment: &Deployment, address: SocketAddr, shape: Shape, size: usize) {
    let gateway = &deployment.gateways[0];
    let before = gateway.memory().expect("the gateway runs");
    let crowd = start_crowd(&Arc::new(shape), size, address);
    let (mut most_bytes, mut most_descriptors) = (0, 0);
    {
        let watch = async {
            loop {
                most_bytes = most_bytes.max(gateway.memory().expect("the gateway runs"));
                let descriptors = gateway.descriptors();
                most_descriptors = most_descriptors.max(descriptors.expect("the gateway runs"));
                time::sleep(PAUSE).await;
            }
        };
        let meet = async {
            time::sleep(FILL_TIME).await;
            fleet::wait_for("readiness", async || gateway.is_ready().await)
                .await
                .expect("the gateway is ready beside the crowd");
            check_ordinary(deployment, "beside").await;
        };
        tokio::select! {
            () = watch => {}
            met = time::timeout(ORDINARY_TIMEOUT * 2, meet) => met.expect("the gateway hangs"),
        }
    }
    drop(crowd);
    check_ordinary(deployment, "after").await;
    let peak = gateway.peak_memory().expect("the gateway runs");
    let peak = peak.max(most_bytes);
    println!(
        "memory {before} to {peak} bytes ({:?} resident), {most_descriptors} descriptors",
        gateway.peak_memory()
    );
    assert!(peak < MEMORY_MB << 20, "{peak} bytes, {before} at first");
    assert!(
        most_descriptors < DESCRIPTORS,
        "{most_descriptors} descriptors"
    );
}

/// Plays a crowd at the address for callers.
async fn check_callers(shape: Shape) {
    let (deployment, _turn) = start().await;
    let address = deployment.gateways[0].caller_address();
    check(&deployment, address, shape, CROWD).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_large_chunks_that_stop_short() {
    let mut bytes = chunked("POST /book/x");
    push_chunks(&mut bytes, 64 << 10, BODY_BYTES - (64 << 10));
    check_callers(Shape::new(bytes)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_tiny_chunks_that_stop_short() {
    let mut bytes = chunked("POST /book/x");
    push_chunks(&mut bytes, 1, 20_000);
    check_callers(Shape::new(bytes)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_tiny_chunks_that_drip() {
    let shape = Shape::new(chunked("POST /book/x")).with_repeated("1\r\nx\r\n");
    check_callers(shape).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_whose_announced_length_never_comes() {
    let announced = format!("content-length: {BODY_BYTES}\r\n\r\n");
    check_callers(Shape::new(head("POST /book/x", &announced))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_heads_that_drip() {
    let shape = Shape::new(head("GET /look/1", "x-drip: ")).with_repeated("x");
    check_callers(shape).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_large_heads_that_stop_short() {
    let large = "x".repeat(60 << 10);
    let large = format!("x-large: {large}");
    check_callers(Shape::new(head("GET /look/1", &large))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_that_sends_nothing() {
    check_callers(Shape::default()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_chunk_extensions_without_end() {
    let mut bytes = chunked("POST /book/x");
    bytes.extend_from_slice(b"1;");
    check_callers(Shape::new(bytes).with_repeated(vec![b'x'; 4 << 10])).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_trailers_without_end() {
    let mut bytes = chunked("POST /book/x");
    bytes.extend_from_slice(b"1\r\nx\r\n0\r\n");
    let shape = Shape::new(bytes).with_repeated("x-trailer: x\r\n");
    check_callers(shape).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_requests_behind_an_open_one() {
    let (deployment, _turn) = start().await;
    set_faults(&deployment, Role::Engine, Fault::Hang);
    let stream = "x-model: m\r\nx-token-usage: 100,20\r\nx-segment-count: 0,0\r\n\
                  x-segment-key: 7c1e\r\ncontent-length: 0\r\n\r\n";
    let mut bytes = head("POST /draft/x", stream).into_bytes();
    bytes.extend(
        head("GET /look/1", "content-length: 0\r\n\r\n")
            .repeat(10_000)
            .into_bytes(),
    );
    let address = deployment.gateways[0].caller_address();
    check(&deployment, address, Shape::new(bytes), WORKING).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_that_reads_no_refusal() {
    let refused = head("GET /nowhere", "content-length: 0\r\n\r\n").repeat(10_000);
    check_callers(Shape::new(refused).with_unread_answers()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_that_reads_no_answer() {
    let (deployment, _turn) = start().await;
    set_faults(&deployment, Role::Engine, Fault::CommentsAfterEvent);
    let stream = "x-model: m\r\nx-token-usage: 100,20\r\nx-segment-count: 0,0\r\n\
                  x-segment-key: 7c1e\r\ncontent-length: 0\r\n\r\n";
    let shape = Shape::new(head("POST /draft/x", stream)).with_unread_answers();
    let address = deployment.gateways[0].caller_address();
    check(&deployment, address, shape, CROWD).await;
}

/// Returns the head of a request for a stream that names a number of pieces and their key.
fn stream_head(pieces: &str, key: &str) -> String {
    let headers = format!(
        "x-model: m\r\nx-token-usage: 100,20\r\nx-prompt-prefix: aa:60,bb:40\r\n\
         x-segment-count: {pieces}\r\nx-segment-key: {key}\r\ncontent-length: 0\r\n\r\n"
    );
    head("POST /draft/x", &headers)
}

/// One request that named two thousand million pieces filled the memory of a gateway.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_that_names_many_pieces() {
    for pieces in [
        "2000000000,2",
        "2,4294967295",
        "4097",
        "99999999999999999999",
    ] {
        check_callers(Shape::new(stream_head(pieces, "7c1e"))).await;
    }
}

/// Each piece of a request held its own copy of the key and the id.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_many_pieces_with_a_long_key() {
    let (deployment, _turn) = start().await;
    let mut content = config(3, &json!([]));
    // All pieces of a request are done in time.
    content["services"][2]["segments"]["batch"] = json!(1_024);
    content["services"][2]["segments"]["itemTimeMs"] = json!(0.0);
    let store = &deployment.store;
    store.state().put(Collection::Config, "main", content);
    wait_for_log(&deployment, 0, "ConfigAdopted: version=3").await;
    let key = "x".repeat(14 << 10);
    let shape = Shape::new(stream_head("1000,0", &key));
    let address = deployment.gateways[0].caller_address();
    check(&deployment, address, shape, WORKING).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_at_the_readiness_port() {
    let (deployment, _turn) = start().await;
    let address = deployment.gateways[0].readiness_address();
    let shape = Shape::new("GET /readyz HTTP/1.1\r\nx-drip: ").with_repeated("x");
    check(&deployment, address, shape, INSPECTORS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_at_the_link_between_gateways() {
    let (deployment, _turn) = start().await;
    let address = deployment.gateways[0].peer_address();
    let preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    check(&deployment, address, Shape::new(preface), GATEWAYS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_of_tiny_chunks_at_an_entry() {
    let _turn = RUNNING.lock().await;
    let fleet = start_small_fleet().await;
    let entry = &fleet.entries[0];
    let address = entry.addresses.caller_listen.expect("an entry");
    let mut bytes = b"POST /v1/pipelines/ask HTTP/1.1\r\nhost: x\r\nx-team: a\r\n\
                      transfer-encoding: chunked\r\n\r\n"
        .to_vec();
    push_chunks(&mut bytes, 1, 900_000);
    let shape = Arc::new(Shape::new(bytes));
    let crowd = start_crowd(&shape, ENTRIES, address);
    let until = Instant::now() + ORDINARY_TIMEOUT;
    while shape.filled.load(Ordering::Relaxed) < ENTRIES && Instant::now() < until {
        time::sleep(PAUSE).await;
    }
    time::sleep(FILL_TIME).await;
    let until = Instant::now() + ORDINARY_TIMEOUT;
    let mut served = false;
    while !served && Instant::now() < until {
        let answer = common::send(common::request(&fleet, 0, "order", "key")).await;
        served = answer.status == 200;
    }
    drop(crowd);
    let peak = entry.peak_memory().expect("the entry runs");
    println!("memory {peak} bytes, {:?} descriptors", entry.descriptors());
    assert!(served, "no ordinary request was answered");
    assert!(peak < ENTRY_MEMORY_BYTES, "{peak} bytes");
}
