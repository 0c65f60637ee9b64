//! Many requests at once whose heads hold many short headers fill the memory of gateways.

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::{
    io::Write as _,
    net::TcpStream,
    path::Path,
    sync::{atomic::Ordering, Arc},
    thread,
    time::Duration,
};

/// Number of requests at once at one gateway.
const REQUESTS: usize = 600;

/// Number of further headers of each request. Their heads have 11.6 kB; the manifest allows
/// 16,384 bytes.
const HEADERS: usize = 1_900;

/// The same of a calm run.
const FEW_HEADERS: usize = 20;

/// Number of such crowds at each of the gateways.
const ROUNDS: usize = 3;

const ROUTE: &str = r#"{"name":"r-sum","host":"sum.example","pathPrefix":"/sum/",
"routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":1800,"priority":2,
"service":"samovar-llm","maxAttempts":1,"phases":[],"anonymousAccess":false,
"sessionAffinity":true,"streamResumption":false,"maxGapMs":300}"#;

const SERVICE: &str = r#"{"name":"samovar-llm","healthPath":"/healthz","connectionLimit":620,
"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":20.0,
"engine":{"slots":128,"kvCacheTokens":587454}}"#;

/// Returns so many short headers with different names.
fn short_headers(count: usize) -> String {
    let letters = b"abcdefghijklmnopqrstuvwxyz0123456789";
    let letter = |number: usize| letters[number % letters.len()] as char;
    let headers = (0..count).map(|number| {
        let (first, second) = (letter(number / 1_296 + 1), letter(number / 36));
        format!("{first}{second}{}:\r\n", letter(number))
    });
    headers.collect()
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments[0] == "engine" {
        return serve_engine(&arguments[1..]);
    }
    let (root, folder) = (Path::new(&arguments[0]), Path::new(&arguments[1]));
    let record = Record::open(&arguments[2], true);
    let store = Store::start(address(8624));
    let routes = [BOOKING_ROUTE.to_owned(), ROUTE.to_owned()];
    let services = [BOOKING_SERVICE.to_owned(), SERVICE.to_owned()];
    store.put("config", "main", &manifest(7, &routes, &services));
    let start = |id: String, service: &str, slots: u32, options: &[&str]| {
        let engine = Engine::new(&id, service, "vest-a", slots, options);
        let (process, born) = engine.start(&record);
        engine.register(&store, born, 1);
        process
    };
    let stream = ["kind=stream", "events=40", "gap=50", "quiet=1"];
    let processes: Vec<Process> = (0..12)
        .map(|number| start(format!("i-llm{number}"), "samovar-llm", 128, &stream))
        .chain((0..2).map(|number| {
            start(format!("i-book{number}"), "booking-desk", 6, &BOOKING_OPTIONS)
        }))
        .collect();
    let mut machines = ["a", "b"].map(|zone| {
        Machine::new(&format!("edge-{zone}"), &format!("vest-{zone}"), store.address)
    });
    let seeds: Vec<_> = machines.iter().map(|one| one.address).collect();
    machines.iter_mut().for_each(|one| one.seeds.clone_from(&seeds));
    let gateways: Vec<Arc<Supervised>> = machines
        .iter()
        .map(|one| Supervised::start(one, root, folder, &record))
        .collect();
    thread::sleep(Duration::from_secs(3));
    let frontends: Vec<_> = gateways.iter().map(|one| one.frontend()).collect();
    let ordinary = Ordinary::start(&frontends, &record);
    let headers = short_headers(if has_trouble() { HEADERS } else { FEW_HEADERS });
    for round in 0..ROUNDS {
        for gateway in &gateways {
            gateways.iter().for_each(|one| one.wait_until_ready());
            thread::sleep(Duration::from_secs(3));
            let mut crowd = Vec::new();
            let mut head_bytes = 0;
            for _ in 0..REQUESTS {
                let head = format!(
                    "POST /sum/1 HTTP/1.1\r\nHost: sum.example\r\nX-Attempt-Id: {}\r\n\
                     X-Deadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n{KEY}{headers}\r\n",
                    next_id()
                );
                head_bytes = head.len();
                if let Ok(mut channel) = TcpStream::connect(gateway.frontend()) {
                    drop(channel.write_all(head.as_bytes()));
                    drop(channel.write_all(b"5\r\nhello\r\n"));
                    crowd.push(channel);
                }
            }
            let name = &gateway.machine.name;
            record.line(&format!(
                "round {round}: {} requests with heads of {head_bytes} bytes and chunked bodies \
                 short of their ends are open at {name}",
                crowd.len()
            ));
            thread::sleep(Duration::from_millis(300));
            for channel in &mut crowd {
                drop(channel.write_all(b"0\r\n\r\n"));
            }
            record.line(&format!("round {round}: their bodies end"));
            thread::sleep(Duration::from_secs(3));
        }
    }
    gateways.iter().for_each(|one| one.wait_until_ready());
    ordinary.stop();
    gateways.iter().for_each(|one| one.stop());
    drop(processes);
    let mut often = 0;
    for gateway in &gateways {
        let exceeded = gateway.exceeded.load(Ordering::Relaxed);
        record.line(&format!(
            "{}: ended {exceeded} times over its memory, at most {} MB, {} questions for the \
             readiness in a row without 200",
            gateway.machine.name,
            gateway.peak_mb.load(Ordering::Relaxed),
            gateway.misses.load(Ordering::Relaxed),
        ));
        often += usize::from(exceeded >= 3);
    }
    let (sent, served) = (&ordinary.sent, &ordinary.served);
    let text = format!(
        "gateways that ended three times or more: {often}; ordinary bookings served: {} of {}",
        served.load(Ordering::Relaxed),
        sent.load(Ordering::Relaxed)
    );
    record.line(&text);
    println!("{text}");
    std::process::exit(i32::from(often >= 2));
}
