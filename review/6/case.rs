//! A stream that was begun by one version of an engine's software goes on at another one,
//! after all gateways have lost power while the version was changed.

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Time limit of the requesters, which the route allows too.
const LIMIT: Duration = Duration::from_millis(6_000);

/// Time for which the gateways have no power.
const DARK: Duration = Duration::from_millis(2_000);

/// Number of streams that may break the rule.
const TOLERATED: usize = 2;

const ROUTE: &str = r#"{"name":"r-ask","host":"ask.example","pathPrefix":"/ask/",
"routeKind":"streaming","timeoutMs":6000,"targetLatencyMs":1800,"priority":0,
"service":"samovar-llm","maxAttempts":2,"phases":[],"anonymousAccess":false,
"sessionAffinity":true,"streamResumption":true,"maxGapMs":300}"#;

const SERVICE: &str = r#"{"name":"samovar-llm","healthPath":"/healthz","connectionLimit":620,
"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":20.0,
"engine":{"slots":128,"kvCacheTokens":587454}}"#;

/// An event as its requester got it.
#[derive(Clone, Debug)]
struct Event {
    number: String,
    engine: String,
}

fn events(body: &[u8]) -> Vec<Event> {
    let text = String::from_utf8_lossy(body).into_owned();
    let parts = text.split_inclusive("\n\n").filter(|part| part.ends_with("\n\n"));
    parts
        .filter_map(|part| {
            let number = part.strip_prefix("id: ")?.split('\n').next()?.to_owned();
            let engine = part.split("data: ").nth(1)?.split(' ').next()?.to_owned();
            Some(Event { number, engine })
        })
        .collect()
}

/// Asks for a stream, and takes it up again where it breaks off, until the time limit.
fn ask(number: usize, frontends: &[SocketAddr], record: &Record) -> Vec<Event> {
    let began = Instant::now();
    let (mut first, mut got): (String, Vec<Event>) = Default::default();
    for attempt in 0.. {
        let left = LIMIT.saturating_sub(began.elapsed());
        if left < Duration::from_millis(300) {
            break;
        }
        let id = next_id();
        let take_up = got.last().map(|last| {
            format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", last.number)
        });
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 100,40\r\n\
             X-Prompt-Prefix: aa:50,b{number}:50\r\nX-Deadline-Ms: {}\r\n{}{KEY}",
            left.as_millis(),
            take_up.clone().unwrap_or_default(),
        );
        let frontend = frontends[(number + attempt) % frontends.len()];
        let bytes = request("POST", "/ask/1", "ask.example", &headers, "hello");
        let answer = exchange(frontend, &bytes, left);
        let new = events(&answer.message.body);
        record.line(&format!(
            "requester {number} sent {id} to {frontend} {:?}: status {}, looks complete {}, {new:?}",
            take_up.unwrap_or_default(),
            answer.status,
            answer.complete,
        ));
        if answer.status == 200 {
            if got.is_empty() {
                first = id;
            }
            got.extend(new);
            if answer.complete {
                break;
            }
        }
        let pause = answer.message.header("retry-after");
        let pause = pause.and_then(|text| text.parse().ok()).unwrap_or(1.0);
        thread::sleep(Duration::from_secs_f64(pause));
    }
    got
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments[0] == "engine" {
        return serve_engine(&arguments[1..]);
    }
    let (root, folder) = (Path::new(&arguments[0]), Path::new(&arguments[1]));
    let record = Record::open(&arguments[2], true);
    let store = Store::start(address(8624));
    store.put("config", "main", &manifest(7, &[ROUTE.to_owned()], &[SERVICE.to_owned()]));
    let start = |id: &str, version: &str| {
        let options = ["kind=stream", "events=18", "gap=150"];
        let mut engine = Engine::new(id, "samovar-llm", "vest-a", 128, &options);
        engine.version = version.to_owned();
        let (process, born) = engine.start(&record);
        engine.register(&store, born, 1);
        (engine, process)
    };
    let old = [start("i-old1", "v1"), start("i-old2", "v1")];
    let mut machines: Vec<Machine> = ["a", "b", "c"]
        .iter()
        .map(|zone| Machine::new(&format!("edge-{zone}"), &format!("vest-{zone}"), store.address))
        .collect();
    let seeds: Vec<SocketAddr> = machines.iter().map(|one| one.address).collect();
    machines.iter_mut().for_each(|one| one.seeds.clone_from(&seeds));
    let mut gateways: Vec<Gateway> = machines.iter().map(|one| one.start(root, folder)).collect();
    thread::sleep(Duration::from_secs(3));
    let frontends: Vec<SocketAddr> = gateways.iter().map(|one| one.frontend).collect();
    let requesters: Vec<_> = (0..6)
        .map(|number| {
            let (frontends, record) = (frontends.clone(), record.clone());
            thread::spawn(move || ask(number, &frontends, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    let dark_since = Instant::now();
    if has_trouble() {
        gateways.iter_mut().for_each(|one| one.process.kill());
        record.line("all gateways are killed");
    }
    // The release: the new engines start first; the old ones never report that they drain, so
    // that their entries are removed, and serve on to the end of this run.
    thread::sleep(Duration::from_millis(200));
    let new = [start("i-new1", "v2"), start("i-new2", "v2")];
    thread::sleep(Duration::from_millis(800));
    for (engine, _) in &old {
        store.delete("servers", &engine.id);
        record.line(&format!("the entry of {} is removed", engine.id));
    }
    thread::sleep(DARK.saturating_sub(dark_since.elapsed()));
    if has_trouble() {
        gateways = machines.iter().map(|one| one.start(root, folder)).collect();
        record.line("all gateways are ready again");
    }
    let mut mixed = 0;
    for (number, requester) in requesters.into_iter().enumerate() {
        let got = requester.join().expect("the requester ends");
        let by = |prefix: &str| got.iter().filter(|one| one.engine.starts_with(prefix)).count();
        let (by_old, by_new) = (by("i-old"), by("i-new"));
        record.line(&format!("stream {number}: {by_old} events of v1, {by_new} events of v2"));
        if by_old + by_new == 0 {
            give_up("a stream did not begin");
        }
        mixed += usize::from(by_old > 0 && by_new > 0);
    }
    drop((old, new, gateways));
    let is_broken = mixed > TOLERATED;
    record.line(&format!("streams with events of two versions: {mixed}, broken: {is_broken}"));
    println!("streams with events of two versions: {mixed}");
    std::process::exit(i32::from(is_broken));
}
