//! A part of a prompt crashes engines. The gateways find it and refuse it. Then they are
//! stopped and started in turn, and send it to engines again.

#[path = "../stand.rs"]
mod stand;

use stand::*;
use std::{
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The part that crashes engines, as requests name it.
const DEADLY: &str = "dead0001:410";
const GATEWAYS: usize = 4;
const ENGINES: usize = 8;
/// Time for which a crashed engine is away.
const AWAY: Duration = Duration::from_secs(3);
/// Silence after which the store removes an entry: three check-in intervals.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Time between two requests with the deadly part. They come at the gateways in turn.
const DEADLY_GAP: Duration = Duration::from_millis(1_500);
/// Time between two sound requests at each gateway.
const SOUND_GAP: Duration = Duration::from_millis(200);
const RESTARTS_BEGIN: Duration = Duration::from_secs(18);
/// Time between two restarts.
const RESTART_GAP: Duration = Duration::from_millis(13_500);
const LENGTH: Duration = Duration::from_secs(76);
/// `stabilityMs` of the settings.
const STABILITY: Duration = Duration::from_millis(3_000);
/// Crashes after which the rule counts, and the requests that it allows then.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;

#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    /// Arrival of each request with the deadly part, and its attempt.
    deadly: Vec<(Instant, String)>,
}

#[derive(Clone)]
struct World {
    store: Store,
    seen: Arc<Mutex<Seen>>,
    record: Record,
    next: Arc<AtomicU32>,
}

/// Starts an engine, which registers itself. After a crash it comes back with another id.
fn start_engine(world: &World) {
    let number = world.next.fetch_add(1, Ordering::SeqCst);
    let id = format!("i-llm-{number:04x}");
    let crashed = Arc::new(AtomicBool::new(false));
    let port = {
        let (world, id, crashed) = (world.clone(), id.clone(), Arc::clone(&crashed));
        Port::open(move |stream| run(&world, &id, stream, &crashed))
    };
    world
        .store
        .put("servers", &id, &entry("llm", port.address, "ready", 128, 1));
    let world = world.clone();
    thread::spawn(move || {
        while !crashed.load(Ordering::SeqCst) {
            thread::sleep(ms(1));
        }
        port.crash();
        lock(&world.seen).crashes.push(Instant::now());
        world.record.line(&format!("{id} crashes"));
        thread::sleep(AWAY);
        start_engine(&world);
        thread::sleep(LAPSE - AWAY);
        world.store.delete("servers", &id);
    });
}

fn run(world: &World, id: &str, stream: TcpStream, crashed: &AtomicBool) {
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.request() {
        if misdirected(&request, id, &mut reader.stream) {
            continue;
        }
        let parts = request.header("x-prompt-prefix").unwrap_or_default();
        let is_deadly = parts.contains(DEADLY);
        if is_deadly {
            let attempt = request.attempt().to_owned();
            world
                .record
                .line(&format!("{attempt} with the deadly part reaches {id}"));
            lock(&world.seen).deadly.push((Instant::now(), attempt));
        }
        thread::sleep(ms(60));
        if is_deadly {
            crashed.store(true, Ordering::SeqCst);
            return;
        }
        if respond_events(&mut reader.stream, &request).is_err() {
            return;
        }
    }
}

fn main() {
    let record = Record::new();
    let trouble = has_trouble();
    let folder = folder();
    let store = Store::start();
    store.put(
        "config",
        "main",
        &manifest(7, &[draft_route(5_000)], &[llm_service()]),
    );
    let world = World {
        store: store.clone(),
        seen: Arc::default(),
        record: record.clone(),
        next: Arc::default(),
    };
    for _ in 0..ENGINES {
        start_engine(&world);
    }
    let mut gateways = start_gateways(&folder, store.address, GATEWAYS, &record);
    thread::sleep(ms(2_000));

    let start = Instant::now();
    let addresses: Vec<_> = gateways.iter().map(|one| one.caller).collect();
    let mut callers = Vec::new();
    let send = |address, attempt: String, parts: String, record: Record| {
        thread::spawn(move || {
            let headers = format!(
                "{}X-Model: m\r\nX-Token-Usage: 1460,20\r\nX-Prompt-Prefix: {parts}\r\n",
                headers(&attempt, 5_000)
            );
            let answer = call(address, "POST", "/draft/1", &headers, b"draft", ms(6_000));
            record.line(&format!("answer {attempt}: {}", answer.status_text()));
            answer.status
        })
    };
    let sound: Arc<Mutex<(usize, usize)>> = Arc::default();
    for (index, address) in addresses.iter().copied().enumerate() {
        let (record, sound) = (record.clone(), Arc::clone(&sound));
        callers.push(thread::spawn(move || {
            repeat(start, SOUND_GAP, start + LENGTH, |number| {
                let attempt = format!("{:016x}", 0x1000_0000 * (index + 1) + number);
                let shared = number % 7;
                let parts = format!("5c1e07a2:800,91bd3f0{shared}:410,{attempt}:250");
                let sound = Arc::clone(&sound);
                let caller = send(address, attempt, parts, record.clone());
                thread::spawn(move || {
                    let served = caller.join().is_ok_and(|status| status == Some(200));
                    let mut sound = lock(&sound);
                    sound.0 += usize::from(served);
                    sound.1 += 1;
                });
            });
        }));
    }
    let targets: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
    let (log, sent) = (record.clone(), Arc::clone(&targets));
    callers.push(thread::spawn(move || {
        repeat(start + ms(2_000), DEADLY_GAP, start + LENGTH, |number| {
            let index = number % GATEWAYS;
            let attempt = format!("{:016x}", 0x7000_0000 + number);
            lock(&sent).push((attempt.clone(), index));
            let parts = format!("5c1e07a2:800,{DEADLY},{attempt}:250");
            drop(send(addresses[index], attempt, parts, log.clone()));
        });
    }));

    // The platform stops the gateways in turn and starts each again at once.
    let mut away: Vec<(usize, Instant, Instant)> = Vec::new();
    if trouble {
        for index in 0..GATEWAYS {
            sleep_until(start + RESTARTS_BEGIN + RESTART_GAP * index as u32);
            let stopped = Instant::now();
            record.line(&format!("SIGTERM to {}", gateways[index].name));
            gateways[index].signal("TERM");
            while !gateways[index].has_ended() && stopped.elapsed() < ms(8_000) {
                thread::sleep(ms(20));
            }
            gateways[index].kill();
            gateways[index].restart();
            record.line(&format!("{} starts again", gateways[index].name));
            away.push((index, stopped, Instant::now() + STABILITY));
        }
    }
    sleep_until(start + LENGTH);
    for caller in callers {
        drop(caller.join());
    }
    thread::sleep(ms(5_500));

    let seen = lock(&world.seen);
    let targets = lock(&targets);
    let gateway_of = |attempt: &str| {
        let found = targets.iter().find(|one| one.0 == attempt);
        found.map(|one| one.1)
    };
    let counted = seen.crashes.get(CRASHES - 1).map_or(0, |fifth| {
        let late = seen.deadly.iter().filter(|one| one.0 > *fifth + STABILITY);
        late.filter(|(at, attempt)| {
            let index = gateway_of(attempt);
            !away
                .iter()
                .any(|(gateway, from, to)| index == Some(*gateway) && *from <= *at && *at <= *to)
        })
        .count()
    });
    let sound = lock(&sound);
    record.say(&format!(
        "sound requests served: {} of {}",
        sound.0, sound.1
    ));
    record.say(&format!(
        "requests with the deadly part: {} sent, {} reached engines; {} crashes; {counted} \
         reached engines later than {} ms after the fifth crash, from gateways in touch",
        targets.len(),
        seen.deadly.len(),
        seen.crashes.len(),
        STABILITY.as_millis()
    ));
    finish(&record, gateways, &folder, "BUDGET", counted > ALLOWED)
}
