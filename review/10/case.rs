//! One request with a large number of pieces stops gateways and fills their memory.

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::{
    path::Path,
    sync::{atomic::Ordering, Arc},
    thread,
    time::Duration,
};

/// Number of pieces that the request names.
const PIECES: u32 = 2_000_000_000;

/// Number of such requests at each of the gateways.
const ROUNDS: usize = 3;

const ROUTE: &str = r#"{"name":"r-menu","host":"menu.example","pathPrefix":"/menu/",
"routeKind":"streaming","timeoutMs":5000,"targetLatencyMs":910,"priority":1,
"service":"samovar-llm","maxAttempts":1,
"phases":[{"service":"resident-portal","after":[],"byteCount":1500000}],
"anonymousAccess":false,"sessionAffinity":true,"streamResumption":false,"maxGapMs":300}"#;

const SERVICES: [&str; 2] = [
    r#"{"name":"resident-portal","healthPath":"/healthz","connectionLimit":620,"protocol":"h1",
"tls":false,"coldStartS":0.0,"coldPerS":0.0,"segments":{"slots":1,"queue":2,"batch":14,
"callTimeMs":200.0,"itemTimeMs":12.0,"headroomMb":32.0,"handleTtlS":4.0,"linkMbps":10000}}"#,
    r#"{"name":"samovar-llm","healthPath":"/healthz","connectionLimit":620,"protocol":"h1",
"tls":false,"coldStartS":3.0,"coldPerS":20.0,"engine":{"slots":128,"kvCacheTokens":587454}}"#,
];

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments[0] == "engine" {
        return serve_engine(&arguments[1..]);
    }
    let (root, folder) = (Path::new(&arguments[0]), Path::new(&arguments[1]));
    let record = Record::open(&arguments[2], true);
    let store = Store::start(address(8624));
    let mut services = vec![BOOKING_SERVICE.to_owned()];
    services.extend(SERVICES.map(str::to_owned));
    let routes = [BOOKING_ROUTE.to_owned(), ROUTE.to_owned()];
    store.put("config", "main", &manifest(7, &routes, &services));
    let stage = ["kind=stage", "slots=1", "queue=2"];
    let stream = ["kind=stream", "events=10", "gap=30"];
    let engines = [
        ("i-book1", "booking-desk", 6, &BOOKING_OPTIONS[..]),
        ("i-book2", "booking-desk", 6, &BOOKING_OPTIONS[..]),
        ("i-portal1", "resident-portal", 1, &stage[..]),
        ("i-portal2", "resident-portal", 1, &stage[..]),
        ("i-llm1", "samovar-llm", 128, &stream[..]),
    ];
    let processes = engines.map(|(id, service, slots, options)| {
        let engine = Engine::new(id, service, "vest-a", slots, options);
        let (process, born) = engine.start(&record);
        engine.register(&store, born, 1);
        process
    });
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
    thread::sleep(Duration::from_secs(2));
    let pieces = if has_trouble() { PIECES } else { 2 };
    for round in 0..ROUNDS {
        for gateway in &gateways {
            gateways.iter().for_each(|one| one.wait_until_ready());
            thread::sleep(Duration::from_secs(2));
            let id = next_id();
            let headers = format!(
                "X-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 100,10\r\n\
                 X-Prompt-Prefix: aa:50,bb:50\r\nX-Segment-Count: {pieces}\r\n\
                 X-Segment-Key: 7c1e07a291bd\r\nX-Deadline-Ms: 5000\r\n{KEY}"
            );
            let name = &gateway.machine.name;
            record.line(&format!("round {round}: {id} with {pieces} pieces is sent to {name}"));
            let bytes = request("POST", "/menu/1", "menu.example", &headers, "hello");
            let answer = exchange(gateway.frontend(), &bytes, Duration::from_millis(5_500));
            record.line(&format!(
                "{id}: status {}, looks complete {}, after {} ms",
                answer.status,
                answer.complete,
                answer.took.as_millis()
            ));
            if !has_trouble() && !(answer.status == 200 && answer.complete) {
                record.line("the request of the calm run was not served");
            }
        }
    }
    thread::sleep(Duration::from_secs(1));
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
    let is_broken = often >= 2;
    let text = format!(
        "gateways that ended three times or more: {often}; ordinary bookings served: {} of {}",
        served.load(Ordering::Relaxed),
        sent.load(Ordering::Relaxed)
    );
    record.line(&text);
    println!("{text}");
    std::process::exit(i32::from(is_broken));
}
