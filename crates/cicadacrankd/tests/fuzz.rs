//! Heads and bodies in chunks with random faults, sent to a running gateway.
//!
//! `FUZZ_CASES` sets the number of cases and `FUZZ_SEED` the first seed.

mod gateways;

use cicadacrank_bench::deployment::{Caller, send};
use gateways::deployment;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use reqwest::Method;
use std::{env, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::JoinSet,
    time,
};

/// Number of cases without `FUZZ_CASES`.
const CASES: u64 = 400;

/// Number of cases at the same time.
const AT_ONCE: usize = 16;

/// Time for which a case waits for more of its answer.
const PATIENCE: Duration = Duration::from_millis(300);

/// Memory that the settings allow the gateway.
const MEMORY_BYTES: u64 = 260 << 20;

/// Pieces of requests that parsers may stumble over.
const PIECES: [&[u8]; 20] = [
    b"\r\n",
    b"\n",
    b"\r",
    b"\0",
    b"0\r\n\r\n",
    b"ffffffffffffffff\r\n",
    b"10000000000000000\r\n",
    b"-1\r\n",
    b"1;x=\"\r\n",
    b"5\r\nabc",
    b"content-length: 5\r\n",
    b"content-length: 18446744073709551616\r\n",
    b"transfer-encoding: chunked\r\n",
    b"transfer-encoding: gzip, chunked\r\n",
    b"expect: 100-continue\r\n",
    b"connection: close, keep-alive\r\n",
    b"x-prompt-prefix: :::,,,\r\n",
    b"x-deadline-ms: -1\r\n",
    b"host: \xff\xfe\r\n",
    b" HTTP/9.9\r\n",
];

/// Returns a setting from the environment.
fn setting(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

/// Returns a request with faults that follow from a seed.
fn request(seed: u64) -> Vec<u8> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let line = ["GET /look/1", "POST /book/x", "POST /draft/x", "PUT /none"];
    let line = line[random.random_range(0..line.len())];
    let mut bytes = format!(
        "{line} HTTP/1.1\r\nhost: tea.example\r\nauthorization: Bearer k-desk\r\n\
         x-attempt-id: f{seed}\r\nx-deadline-ms: 300\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for _ in 0..random.random_range(0..40) {
        let size = random.random_range(1..200);
        bytes.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + size, b'x');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    for _ in 0..random.random_range(0..6) {
        let at = random.random_range(0..bytes.len());
        match random.random_range(0..5) {
            0 => bytes[at] = (random.next_u32() & 0xff) as u8,
            1 => bytes.truncate(at.max(1)),
            2 => drop(bytes.remove(at)),
            3 => {
                let until = (at + random.random_range(1..300)).min(bytes.len());
                let copy = bytes[at..until].to_vec();
                bytes.splice(at..at, copy);
            }
            _ => {
                let piece = PIECES[random.random_range(0..PIECES.len())];
                bytes.splice(at..at, piece.iter().copied());
            }
        }
        if bytes.len() < 2 {
            break;
        }
    }
    bytes
}

/// Sends a request in parts, and returns what arrives until nothing more does.
async fn play(address: SocketAddr, seed: u64) -> Vec<u8> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(!seed);
    let bytes = request(seed);
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let mut rest = bytes.as_slice();
    while !rest.is_empty() {
        let (part, later) = rest.split_at(random.random_range(1..=rest.len()));
        if stream.write_all(part).await.is_err() {
            break;
        }
        rest = later;
        tokio::task::yield_now().await;
    }
    if random.random_bool(0.5) {
        // The gateway may have closed the connection already.
        drop(stream.shutdown().await);
    }
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    drop(time::timeout(PATIENCE, read).await);
    answer
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gateway_survives_faulty_requests() {
    let deployment = deployment(1, 1).await;
    let address = deployment.gateways[0].caller_address();
    let first = setting("FUZZ_SEED", 1);
    let seeds = first..first + setting("FUZZ_CASES", CASES);
    let mut cases = JoinSet::new();
    for seed in seeds {
        if cases.len() == AT_ONCE {
            cases.join_next().await.expect("a case").expect("it ends");
        }
        cases.spawn(async move {
            let answer = play(address, seed).await;
            let is_answer = answer.is_empty() || answer.starts_with(b"HTTP/1.");
            let text = String::from_utf8_lossy(&answer);
            assert!(is_answer, "seed {seed}: {text}");
        });
    }
    while let Some(case) = cases.join_next().await {
        case.expect("it ends");
    }
    let caller = Caller::new().expect("failed to create the caller");
    let answer = send(caller.request(Method::GET, address, "/look/1", "later")).await;
    assert_eq!(answer.status, Some(200), "{answer:?}");
    let peak = deployment.gateways[0].peak_memory();
    let peak = peak.expect("the gateway runs");
    assert!(peak < MEMORY_BYTES, "{peak} bytes");
}
