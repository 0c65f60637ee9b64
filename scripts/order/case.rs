//! Streams whose callers take them up, while one trouble strikes the engines or a gateway.
//!
//! Unlike the rule, which lets two streams pass, each stream counts that holds events of two
//! versions, whose numbers don't follow each other, or that ends as complete before its last
//! event.

#[path = "../../review/stand.rs"]
mod stand;

use stand::*;
use std::{
    env,
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const EVENTS: u64 = 40;
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Time between two new streams at each gateway.
const STREAM_GAP: Duration = Duration::from_millis(200);
const LENGTH: Duration = Duration::from_secs(20);
/// Time of the first trouble, and between two.
const FIRST_TROUBLE: Duration = Duration::from_secs(5);
const TROUBLE_GAP: Duration = Duration::from_secs(4);
/// Time for which an engine is away.
const AWAY: Duration = Duration::from_millis(300);
/// Time from its start to its first write to the store.
const FIRST_WRITE: Duration = Duration::from_millis(800);
/// Time for which a gateway stands still.
const STILL: Duration = Duration::from_secs(3);
const TRIES: usize = 4;
const TIME_LIMIT: Duration = Duration::from_secs(12);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// Engines start again in place with another version.
    InPlace,
    /// As before, beside engines that have few streams.
    Idle,
    /// Engines whose answers have neither a length nor chunks end.
    Unframed,
    /// A gateway stands still while engines of another version join; then their streams
    /// break off.
    Frozen,
    /// As before, but the gateway that served the streams is killed.
    Restart,
    None,
}

impl Trouble {
    fn named(name: &str) -> Option<Self> {
        Some(match name {
            "in-place" => Self::InPlace,
            "idle" => Self::Idle,
            "unframed" => Self::Unframed,
            "frozen" => Self::Frozen,
            "restart" => Self::Restart,
            "none" => Self::None,
            _ => return None,
        })
    }
}

/// An engine process at an address.
struct Engine {
    id: &'static str,
    address: SocketAddr,
    port: Mutex<Option<Port>>,
}

/// What engines share.
struct Plan {
    is_framed: bool,
    /// Whether streams that run break off now.
    breaks: AtomicBool,
    broken: AtomicU64,
    record: Record,
    start: Instant,
}

fn entry_of(engine: &Engine, version: &str, born: u64) -> String {
    entry("llm", engine.address, "ready", 128, 1)
        .replace("\"v1\"", &format!("\"{version}\""))
        .replace("1700000000000", &born.to_string())
}

/// Opens the port of an engine of a version that started at `born`.
fn open(
    plan: &Arc<Plan>,
    id: &'static str,
    version: &'static str,
    born: u64,
    at: Option<SocketAddr>,
) -> Port {
    let plan = Arc::clone(plan);
    Port::open_at(at, move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.request() {
            if misdirected(&request, id, &mut reader.stream) {
                continue;
            }
            if request.path() == "/report" {
                let report = format!("{{\"phase\":\"combined\",\"sequence\":1,\"born\":{born}}}");
                let json = "Content-Type: application/json\r\n";
                if respond(&mut reader.stream, "200 OK", json, report.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let last = request.header("last-event-id");
            plan.record.line(&format!(
                "{} runs at {id} of version {version}, after {last:?}",
                request.attempt()
            ));
            let last = last.and_then(|id| id.parse().ok()).unwrap_or(0);
            let written = write_events(&mut reader.stream, &plan, &request, last, version);
            if written.is_err() || !plan.is_framed {
                close(&reader.stream);
                return;
            }
        }
    })
}

fn write_events(
    stream: &mut TcpStream,
    plan: &Plan,
    request: &Request,
    last: u64,
    version: &str,
) -> io::Result<()> {
    let chunks = if plan.is_framed {
        "Transfer-Encoding: chunked\r\n"
    } else {
        ""
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n{chunks}\r\n",
        echo(request)
    );
    stream.write_all(head.as_bytes())?;
    for number in last + 1..=EVENTS {
        thread::sleep(EVENT_GAP);
        // Streams of the new version break off, as if their engines were in trouble.
        if plan.breaks.load(Ordering::SeqCst) && version == "v2" && number > 5 {
            plan.broken.fetch_add(1, Ordering::SeqCst);
            return Err(io::ErrorKind::Other.into());
        }
        let event = format!("id: {number}\ndata: {version} word {number}\n\n");
        let bytes = if plan.is_framed {
            format!("{:x}\r\n{event}\r\n", event.len())
        } else {
            event
        };
        stream.write_all(bytes.as_bytes())?;
    }
    if plan.is_framed {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

struct Try {
    status: Option<u16>,
    retry_after: Option<Duration>,
    text: String,
    whole: bool,
}

fn try_stream(
    gateway: SocketAddr,
    attempt: &str,
    subject: &str,
    more: &str,
    left: Duration,
) -> Try {
    let mut result = Try {
        status: None,
        retry_after: None,
        text: String::new(),
        whole: false,
    };
    let outcome = (|| -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&gateway, ms(1_000))?;
        stream.set_read_timeout(Some(left.min(ms(6_000))))?;
        let mut reader = Reader::new(stream);
        let headers = headers(attempt, u64::try_from(left.as_millis()).unwrap_or(0));
        let head = format!(
            "POST /chat/1 HTTP/1.1\r\nHost: {HOST}\r\n{headers}X-Model: m\r\n\
             X-Token-Usage: 1460,200\r\nX-Prompt-Prefix: {subject}:800,{attempt}:660\r\n{more}\
             Content-Length: 5\r\n\r\ndraft"
        );
        reader.stream.write_all(head.as_bytes())?;
        let (status, headers) = reader.head()?;
        result.status = Some(status);
        let retry_after = headers.iter().find(|one| one.0 == "retry-after");
        let seconds = retry_after.and_then(|one| one.1.parse::<f64>().ok());
        result.retry_after = seconds.map(Duration::from_secs_f64);
        if status != 200 {
            return Ok(());
        }
        loop {
            let chunk = reader.chunk()?;
            if chunk.is_empty() {
                result.whole = true;
                return Ok(());
            }
            result.text.push_str(&String::from_utf8_lossy(&chunk));
        }
    })();
    drop(outcome);
    result
}

/// What a caller got of a stream over all of its tries.
struct Taken {
    text: String,
    whole: bool,
    tries: usize,
}

fn take_stream(gateways: &[SocketAddr], index: usize, number: usize, plan: &Plan) -> Taken {
    let start = Instant::now();
    let first = format!("{:016x}", 0x6000_0000 + (index * 0x10_0000 + number) * 16);
    let subject = format!("5c1e07{:02x}", number % 16);
    let mut taken = Taken {
        text: String::new(),
        whole: false,
        tries: 0,
    };
    let mut origin = String::new();
    for number in 0..TRIES {
        let left = TIME_LIMIT.saturating_sub(start.elapsed());
        if left.is_zero() {
            break;
        }
        taken.tries += 1;
        let gateway = gateways[(index + number) % gateways.len()];
        let attempt = format!("{}{number:x}", &first[..first.len() - 1]);
        let last = taken
            .text
            .rsplit("id: ")
            .next()
            .filter(|_| !taken.text.is_empty());
        let last = last.and_then(|rest| rest.lines().next());
        let more = last.map_or_else(String::new, |last| {
            format!("Last-Event-Id: {last}\r\nResumes: {origin}\r\n")
        });
        let result = try_stream(gateway, &attempt, &subject, &more, left);
        let complete = result.text.rfind("\n\n").map_or(0, |end| end + 2);
        if taken.text.is_empty() && complete > 0 {
            origin = attempt.clone();
        }
        taken.text.push_str(&result.text[..complete]);
        plan.record.line(&format!(
            "answer {attempt} resumes {origin:?}: {:?}, {} events, whole: {}",
            result.status,
            result.text.matches("id: ").count(),
            result.whole
        ));
        if result.whole {
            taken.whole = true;
            break;
        }
        thread::sleep(result.retry_after.unwrap_or(ms(50)));
    }
    taken
}

/// Returns how a stream breaks the rule.
fn fault(taken: &Taken) -> Option<&'static str> {
    let ids = taken
        .text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
    if taken.text.contains("v1 word") && taken.text.contains("v2 word") {
        Some("two versions")
    } else if !ids.iter().zip(1..).all(|(id, number)| *id == number) {
        Some("numbers")
    } else if taken.whole && ids.len() as u64 != EVENTS {
        Some("incomplete")
    } else {
        None
    }
}

fn replace_in_place(plan: &Arc<Plan>, store: &Store, engine: &Engine, born: u64) {
    let old = lock(&engine.port).take().expect("an open port");
    old.crash();
    plan.record
        .line(&format!("{} of version v1 ends", engine.id));
    thread::sleep(AWAY);
    *lock(&engine.port) = Some(open(plan, engine.id, "v2", born, Some(engine.address)));
    plan.record
        .line(&format!("{} of version v2 serves", engine.id));
    thread::sleep(FIRST_WRITE);
    store.put("servers", engine.id, &entry_of(engine, "v2", born));
    plan.record
        .line(&format!("the entry of {} is of version v2", engine.id));
}

fn join(plan: &Arc<Plan>, store: &Store, id: &'static str, born: u64) -> Engine {
    let port = open(plan, id, "v2", born, None);
    let engine = Engine {
        id,
        address: port.address,
        port: Mutex::new(Some(port)),
    };
    store.put("servers", id, &entry_of(&engine, "v2", born));
    plan.record.line(&format!("{id} of version v2 joins"));
    engine
}

fn main() {
    let record = Record::new();
    let name = env::args().nth(1).unwrap_or_default();
    let Some(trouble) = Trouble::named(&name) else {
        give_up(&record, "no such trouble");
    };
    let folder = folder();
    let store = Store::start();
    let chat = route(
        "/chat/",
        "streaming",
        "llm",
        15_000,
        "\"targetLatencyMs\":1800,\"priority\":0,\"maxAttempts\":2,\"phases\":[],\
         \"sessionAffinity\":true,\"streamResumption\":true,\"maxGapMs\":300",
    );
    store.put("config", "main", &manifest(7, &[chat], &[llm_service()]));
    let plan = Arc::new(Plan {
        is_framed: trouble != Trouble::Unframed,
        breaks: AtomicBool::new(false),
        broken: AtomicU64::new(0),
        record: record.clone(),
        start: Instant::now(),
    });
    let born = 1_700_000_000_000;
    let mut engines = Vec::new();
    for id in ["i-llm-a", "i-llm-b", "i-llm-c"] {
        let port = open(&plan, id, "v1", born, None);
        let engine = Engine {
            id,
            address: port.address,
            port: Mutex::new(Some(port)),
        };
        store.put("servers", id, &entry_of(&engine, "v1", born));
        engines.push(engine);
    }
    let gateways = start_gateways(&folder, store.address, 2, &record);
    thread::sleep(ms(1_500));

    let start = Instant::now();
    let addresses: Vec<SocketAddr> = gateways.iter().map(|one| one.caller).collect();
    let all: Arc<Mutex<Vec<Taken>>> = Arc::default();
    let gap = if trouble == Trouble::Idle {
        STREAM_GAP * 5
    } else {
        STREAM_GAP
    };
    let mut callers = Vec::new();
    for index in 0..gateways.len() {
        let (addresses, all, plan) = (addresses.clone(), Arc::clone(&all), Arc::clone(&plan));
        callers.push(thread::spawn(move || {
            repeat(start, gap, start + LENGTH, |number| {
                let (addresses, all) = (addresses.clone(), Arc::clone(&all));
                let plan = Arc::clone(&plan);
                thread::spawn(move || {
                    let taken = take_stream(&addresses, index, number, &plan);
                    lock(&all).push(taken);
                });
            });
        }));
    }
    let mut gateways = gateways;
    let mut joined = Vec::new();
    sleep_until(start + FIRST_TROUBLE);
    match trouble {
        Trouble::InPlace | Trouble::Idle => {
            for (number, engine) in engines.iter().enumerate() {
                sleep_until(start + FIRST_TROUBLE + TROUBLE_GAP * number as u32);
                replace_in_place(&plan, &store, engine, born + 100_000);
            }
        }
        Trouble::Unframed => {
            for (number, engine) in engines.iter().take(2).enumerate() {
                sleep_until(start + FIRST_TROUBLE + TROUBLE_GAP * number as u32);
                let old = lock(&engine.port).take().expect("an open port");
                old.crash();
                record.line(&format!("{} ends", engine.id));
                store.delete("servers", engine.id);
            }
        }
        Trouble::Frozen | Trouble::Restart => {
            let still = &gateways[1];
            still.signal("STOP");
            record.line("the second gateway stands still");
            for id in ["i-llm-d", "i-llm-e", "i-llm-f"] {
                joined.push(join(&plan, &store, id, born + 100_000));
            }
            thread::sleep(STILL);
            plan.breaks.store(true, Ordering::SeqCst);
            if trouble == Trouble::Restart {
                gateways[0].kill();
                record.line("the first gateway is killed");
            }
            thread::sleep(ms(100));
            gateways[1].signal("CONT");
            record.line("the second gateway goes on");
            thread::sleep(ms(1_500));
            plan.breaks.store(false, Ordering::SeqCst);
            if trouble == Trouble::Restart {
                gateways[0].restart();
            }
        }
        Trouble::None => {}
    }
    sleep_until(start + LENGTH);
    for caller in callers {
        drop(caller.join());
    }
    thread::sleep(TIME_LIMIT);

    let all = lock(&all);
    let faults: Vec<(&'static str, &Taken)> = all
        .iter()
        .filter_map(|taken| Some((fault(taken)?, taken)))
        .collect();
    let count = |name: &str| faults.iter().filter(|fault| fault.0 == name).count();
    let whole = all.iter().filter(|taken| taken.whole).count();
    let taken_up = all.iter().filter(|taken| taken.tries > 1).count();
    let taken_up_whole = all
        .iter()
        .filter(|taken| taken.tries > 1 && taken.whole)
        .count();
    record.say(&format!(
        "streams: {}, complete: {whole}, taken up: {taken_up}, of these complete: \
         {taken_up_whole}; two versions: {}, numbers: {}, incomplete: {}; broken off: {}",
        all.len(),
        count("two versions"),
        count("numbers"),
        count("incomplete"),
        plan.broken.load(Ordering::SeqCst),
    ));
    if let Some((fault, taken)) = faults.first() {
        record.line(&format!("{fault}: {:?}", taken.text));
    }
    if env::var_os("KEEP").is_some() {
        for gateway in &gateways {
            let path = format!("target/order/{name}-{}.log", gateway.name);
            drop(std::fs::write(path, gateway.log_text()));
        }
    }
    let broken = !faults.is_empty();
    record.line(&format!("took {:?}", plan.start.elapsed()));
    drop(joined);
    finish(&record, gateways, &folder, "ORDER", broken)
}
