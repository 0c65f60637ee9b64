//! Tests of engines that answer before they have read a long request, and of answers that are
//! none in the protocol.

mod gateways;

use self::gateways::{wait_for_directory, wait_for_log};
use cicadacrank_bench::deployment::{Answer, Caller, Deployment, Plan, config, send};
use cicadacrank_node::platform::Collection;
use reqwest::Method;
use serde_json::json;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time,
};

/// Size of a request, more than the sockets between a gateway and an engine hold.
const UPLOAD_BYTES: usize = 12 << 20;

/// Sizes of requests that sockets hold in part, or whole.
const SMALL_UPLOADS: [usize; 3] = [1 << 16, 1 << 19, 1 << 20];

/// Memory of the gateway, in megabytes.
const MEMORY_MB: u64 = 512;

/// Time from the end of an engine's answer to the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// Part of an answer. A stream could end there.
const PART: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// How an engine ends an answer without a length before it has read the request.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It resets the connection at once.
    Reset,
    /// It resets the connection some time after its last byte.
    LateReset,
    /// It ends its side of the connection, and resets it some time later.
    Finish,
    /// It ends its side of the connection, and resets it at once.
    FinishAndReset,
}

/// What an engine does with a request.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// It answers a part without a length before it has read the request.
    Early(End),
    /// It answers with a whole body and this status.
    Status(&'static str),
}

/// Starts an engine of its own manner. Returns its address.
async fn start_engine(manner: Manner, tasks: &mut JoinSet<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tasks.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // An error is a gateway that closed the connection.
            tokio::spawn(async move { drop(answer(stream, manner).await) });
        }
    });
    address
}

async fn answer(mut stream: TcpStream, manner: Manner) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let attempt = head.split("x-attempt-id: ").nth(1).unwrap_or_default();
    let attempt = attempt.split('\r').next().unwrap_or_default();
    let headers = format!(
        "x-attempt-id: {attempt}\r\nx-response-signature: s\r\ncontent-type: text/event-stream\r\n"
    );
    match manner {
        Manner::Early(end) => {
            let early = format!("HTTP/1.1 200 OK\r\n{headers}\r\n{PART}");
            stream.write_all(early.as_bytes()).await?;
            match end {
                End::Reset => {}
                End::LateReset => time::sleep(RESET_DELAY).await,
                End::Finish => {
                    stream.shutdown().await?;
                    time::sleep(RESET_DELAY).await;
                }
                End::FinishAndReset => stream.shutdown().await?,
            }
            // The request is not read, so that this resets the connection.
            drop(stream);
        }
        Manner::Status(status) => {
            let length = PART.len();
            let whole =
                format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{PART}");
            stream.write_all(whole.as_bytes()).await?;
            stream.shutdown().await?;
            time::sleep(RESET_DELAY).await;
        }
    }
    Ok(())
}

/// Starts a gateway before engines of this manner.
async fn start(manner: Manner, tasks: &mut JoinSet<()>) -> Deployment {
    let plan = Plan {
        program: env!("CARGO_BIN_EXE_cicadacrankd").into(),
        gateways: 1,
        endpoints: 1,
    };
    let deployment = Deployment::start_with(&plan, |one| one.with_memory_mb(MEMORY_MB));
    let deployment = deployment.await.expect("failed to start the deployment");
    let mut content = config(2, &json!([]));
    content["limits"]["maxBodyBytes"] = json!(UPLOAD_BYTES);
    {
        let mut store = deployment.store.state();
        store.put(Collection::Config, "main", content);
    }
    for endpoint in &deployment.endpoints {
        let mut entry = endpoint.entry("ready", 2);
        entry["address"] = json!(start_engine(manner, tasks).await.to_string());
        let mut store = deployment.store.state();
        store.put(Collection::Endpoints, &endpoint.id, entry);
    }
    wait_for_log(&deployment, 0, "ConfigAdopted: version=2").await;
    wait_for_directory(&deployment, 0).await;
    deployment
}

/// Sends requests of a size on all routes. Returns the path and the answer of each.
async fn ask(deployment: &Deployment, bytes: usize) -> Vec<(&'static str, Answer)> {
    let caller = Caller::new().expect("failed to create the caller");
    let address = deployment.gateways[0].caller_address();
    let mut answers = Vec::new();
    for path in ["/look/1", "/book/1", "/draft/1", "/chat/1"] {
        let attempt = path.replace('/', "");
        let request = caller
            .request(Method::POST, address, path, &attempt)
            .header("x-model", "m")
            .header("x-token-usage", "100,20")
            .header("x-prompt-prefix", "aa:60,bb:40")
            .header("x-segment-count", "0,0")
            .header("x-segment-key", "7c1e");
        let answer = send(request.body(vec![b'x'; bytes])).await;
        println!("{path}: {:?}, whole: {}", answer.status, answer.whole);
        answers.push((path, answer));
    }
    answers
}

async fn check_early(end: End, uploads: &[usize]) {
    let mut tasks = JoinSet::new();
    let deployment = start(Manner::Early(end), &mut tasks).await;
    for upload in uploads {
        for (path, answer) in ask(&deployment, *upload).await {
            assert!(answer.status.is_some(), "{path}: no answer");
            let is_complete = answer.status == Some(200) && answer.whole;
            let log = deployment.gateways[0].log_text();
            assert!(!is_complete, "{path}, {upload} bytes, {end:?}: {log}");
        }
    }
}

#[tokio::test]
async fn answer_that_is_reset_while_its_request_is_written_is_incomplete() {
    check_early(End::Reset, &[UPLOAD_BYTES]).await;
    check_early(End::Reset, &SMALL_UPLOADS).await;
}

#[tokio::test]
async fn answer_that_is_reset_late_while_its_request_is_written_is_incomplete() {
    check_early(End::LateReset, &[UPLOAD_BYTES]).await;
    check_early(End::LateReset, &SMALL_UPLOADS).await;
}

/// The part of an answer that came before the end of the engine's side counted as the whole
/// answer, although the request could not be written any further.
#[tokio::test]
async fn answer_that_ends_while_its_request_is_written_is_incomplete() {
    check_early(End::Finish, &[UPLOAD_BYTES]).await;
    check_early(End::FinishAndReset, &[UPLOAD_BYTES]).await;
}

/// The same where the sockets had taken the request that the engine did not read.
#[tokio::test]
async fn answer_that_ends_before_its_request_is_read_is_incomplete() {
    check_early(End::FinishAndReset, &SMALL_UPLOADS).await;
}

/// Statuses from 600 on were passed on to callers.
#[tokio::test]
async fn answer_with_an_invalid_status_is_no_answer() {
    for status in [
        "000 OK", "099 OK", "101 OK", "600 OK", "999 OK", "20 OK", "2000 OK",
    ] {
        let mut tasks = JoinSet::new();
        let deployment = start(Manner::Status(status), &mut tasks).await;
        for (path, answer) in ask(&deployment, 100).await {
            assert_eq!(answer.status, Some(502), "{path} after {status}");
            assert!(!answer.signed, "{path} after {status}");
        }
    }
}
