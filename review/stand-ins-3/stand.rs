//! Stand-ins for the cases of the third review, with the standard library alone: the platform's
//! store, engines, and requesters. They run in one process, which starts
//! the gateways as separate processes with the command of the deploy file.
//!
//! `stand CASE FOLDER PROGRAM WORD...` plays a case, writes FOLDER/record.txt, and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. Without the disruption if
//! the environment has TROUBLE=0.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Key of the only tenant.
const KEY: &str = "9dnn2ctnfzs989anu6ws";

/// Parts of the answers that have no length.
const PARTS: [&str; 4] = ["booked: room 4, ", "9 June, 14 to 18, ", "deposit 400, ", "confirmed."];

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self {
            begun: Instant::now(),
            lines: Arc::default(),
        }
    }

    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    fn add(&self, text: impl Into<String>) {
        self.at(self.now(), text);
    }

    fn at(&self, at: Duration, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    fn save(&self, folder: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.0);
        let mut text = String::new();
        for (at, line) in lines {
            writeln!(text, "{:9.3} s  {line}", at.as_secs_f64()).unwrap();
        }
        if let Err(error) = fs::write(folder.join("record.txt"), text) {
            eprintln!("cannot write the record: {error}");
            exit(2);
        }
    }
}

/// A message of HTTP/1.1.
#[derive(Clone, Debug, Default)]
struct Message {
    /// Request line or status line.
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// Whether the body has come to its stated end.
    whole: bool,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(one, _)| one == name);
        found.map(|(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_line(stream: &mut impl Read) -> Option<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        if byte[0] == b'\n' {
            return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
        }
        line.push(byte[0]);
    }
}

/// Reads a message. Returns `None` if the connection ends before its head does.
fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut stream = std::io::BufReader::with_capacity(1, stream);
    let mut message = Message {
        first: read_line(&mut stream)?,
        ..Message::default()
    };
    loop {
        let line = read_line(&mut stream)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let name = name.trim().to_ascii_lowercase();
        message.headers.push((name, value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let Some(size) = read_line(&mut stream) else {
                return Some(message);
            };
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size];
            if stream.read_exact(&mut chunk).is_err() {
                return Some(message);
            }
            message.body.extend(chunk);
            if read_line(&mut stream).is_none() {
                return Some(message);
            }
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().unwrap_or(0)];
        if stream.read_exact(&mut body).is_err() {
            return Some(message);
        }
        message.body = body;
    }
    message.whole = true;
    Some(message)
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}");
    stream.write_all(text.as_bytes()).is_ok()
}

/// Returns the value of a field of a JSON object as it is written, found by the field's name.
fn raw<'a>(json: &'a str, field: &str) -> Option<&'a str> {
    let start = json.find(&format!("\"{field}\":"))? + field.len() + 3;
    let rest = json[start..].trim_start();
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    for (index, byte) in rest.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'{' | b'[' => depth += 1,
            b',' | b'}' | b']' if depth == 0 => return Some(rest[..index].trim_end()),
            b'}' | b']' => depth -= 1,
            _ => {}
        }
    }
    None
}

/// The platform's store.
#[derive(Clone)]
struct Store {
    state: Arc<(Mutex<Objects>, Condvar)>,
    address: SocketAddr,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Specification and revision, by kind and name.
    objects: BTreeMap<(String, String), (String, u64)>,
    /// Revision, kind, object and whether it was removed.
    events: Vec<(u64, String, String, bool)>,
    /// Number of times that the watches which were waiting were cut off.
    cuts: u64,
}

fn encode(name: &str, specification: &str, revision: u64) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deletionPending\":false}},\"specification\":{specification},\
         \"status\":null}}"
    )
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, specification: &str) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        self.objects
            .insert(key, (specification.to_owned(), revision));
        let object = encode(name, specification, revision);
        self.events.push((revision, kind.to_owned(), object, false));
        revision
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((specification, _)) = self.objects.remove(&key) {
            self.revision += 1;
            let object = encode(name, &specification, self.revision);
            self.events
                .push((self.revision, kind.to_owned(), object, true));
        }
    }
}

impl Store {
    fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store listens");
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((
                Mutex::new(Objects {
                    revision: 1,
                    ..Objects::default()
                }),
                Condvar::new(),
            )),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn put(&self, kind: &str, name: &str, specification: &str) {
        self.state.0.lock().unwrap().put(kind, name, specification);
        self.state.1.notify_all();
    }

    fn remove(&self, kind: &str, name: &str) {
        self.state.0.lock().unwrap().remove(kind, name);
        self.state.1.notify_all();
    }

    /// Cuts off all watches that are waiting.
    fn cut_watches(&self) {
        self.state.0.lock().unwrap().cuts += 1;
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_message(&mut stream) {
            thread::sleep(ms(4));
            let Some((status, body)) = self.answer(&request) else {
                return;
            };
            let headers = "content-type: application/json\r\n";
            if !respond(&mut stream, status, headers, &body) {
                return;
            }
        }
    }

    /// Answers a call, or returns `None` if it is a watch that is cut off.
    fn answer(&self, request: &Message) -> Option<(&'static str, String)> {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().unwrap_or_default().to_owned();
        let number = |field: &str| {
            let mut fields = query.split('&').filter_map(|one| one.split_once('='));
            fields.find(|one| one.0 == field)?.1.parse::<u64>().ok()
        };
        let mut objects = self.state.0.lock().unwrap();
        let answer = match request.word(0) {
            "GET" if !name.is_empty() => match objects.objects.get(&(kind, name.clone())) {
                Some((specification, revision)) => {
                    ("200 OK", encode(&name, specification, *revision))
                }
                None => ("404 Not Found", "{}".to_owned()),
            },
            "GET" => {
                let Some(after) = number("watch") else {
                    let listed = objects.objects.iter().filter(|one| one.0.0 == kind);
                    let items = listed.map(|(key, (text, revision))| encode(&key.1, text, *revision));
                    let items: Vec<String> = items.collect();
                    let body = format!(
                        "{{\"items\":[{}],\"hasMore\":false,\"at\":{}}}",
                        items.join(","),
                        objects.revision
                    );
                    return Some(("200 OK", body));
                };
                let cuts = objects.cuts;
                let until = Instant::now() + ms(number("waitMs").unwrap_or(0));
                loop {
                    if objects.cuts > cuts {
                        return None;
                    }
                    let events = objects.events.iter();
                    let events = events.filter(|one| one.0 > after && one.1 == kind);
                    let events: Vec<String> = events
                        .map(|one| format!("{{\"object\":{},\"deleted\":{}}}", one.2, one.3))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"events\":[{}],\"at\":{}}}",
                            events.join(","),
                            objects.revision
                        );
                        return Some(("200 OK", body));
                    }
                    objects = self.state.1.wait_timeout(objects, left).unwrap().0;
                }
            }
            method @ ("POST" | "PUT") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let specification = raw(&body, "specification").unwrap_or("null").to_owned();
                let named = raw(&body, "name").unwrap_or_default().trim_matches('"');
                let name = if method == "POST" { named.to_owned() } else { name };
                let known = objects.objects.get(&(kind.clone(), name.clone()));
                let held = known.map(|one| one.1);
                let stated = raw(&body, "revision").and_then(|text| text.parse().ok());
                if method == "POST" && held.is_some() || stated.is_some() && stated != held {
                    let (text, revision) = known.cloned().unwrap_or_default();
                    return Some(("409 Conflict", encode(&name, &text, revision)));
                }
                if method == "PUT" && held.is_none() {
                    return Some(("404 Not Found", "{}".to_owned()));
                }
                let revision = objects.put(&kind, &name, &specification);
                drop(objects);
                self.state.1.notify_all();
                ("200 OK", encode(&name, &specification, revision))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        Some(answer)
    }
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
struct Arrival {
    engine: String,
    attempt: String,
    at: Duration,
    is_deadly: bool,
}

/// An engine, whose process may end and begin again under the same id.
struct Engine {
    id: String,
    service: String,
    ip: IpAddr,
    /// Time until the answer begins, and the part of a prompt that then ends the process.
    begins_after: Duration,
    deadly: Option<String>,
    streams: bool,
    /// Time between the parts of an answer that has no length and ends with its channel.
    part_after: Option<Duration>,
    /// Time from a later start of the process until it checks in at the store.
    checks_in_after: Duration,
    /// Address of the first process, which the later ones take again.
    address: Mutex<Option<SocketAddr>>,
    store: Store,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    life: Mutex<Option<Life>>,
    crashes: Mutex<Vec<Duration>>,
    sequence: AtomicU64,
    /// Number of requests at work, and of those that were cut off by the end of the process.
    at_work: AtomicU64,
    cut_off: AtomicU64,
}

struct Life {
    address: SocketAddr,
    born: u64,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    fn new(id: &str, service: &str, ip: IpAddr, parts: (&Store, &Record, &Arc<Mutex<Vec<Arrival>>>)) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            ip,
            begins_after: ms(60),
            deadly: None,
            streams: false,
            part_after: None,
            checks_in_after: Duration::ZERO,
            address: Mutex::new(None),
            store: parts.0.clone(),
            record: parts.1.clone(),
            arrivals: Arc::clone(parts.2),
            life: Mutex::new(None),
            crashes: Mutex::default(),
            sequence: AtomicU64::new(0),
            at_work: AtomicU64::new(0),
            cut_off: AtomicU64::new(0),
        }
    }

    /// Starts the process and registers it.
    fn start(self: &Arc<Self>) {
        let address = *self.address.lock().unwrap();
        let is_first = address.is_none();
        let address = address.unwrap_or(SocketAddr::new(self.ip, 0));
        let listener = TcpListener::bind(address).expect("an engine listens");
        *self.address.lock().unwrap() = listener.local_addr().ok();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let life = Life {
            address: listener.local_addr().unwrap(),
            born: unix.as_millis() as u64,
            ended: Arc::default(),
            streams: Arc::default(),
        };
        let (ended, streams) = (Arc::clone(&life.ended), Arc::clone(&life.streams));
        listener.set_nonblocking(true).unwrap();
        let engine = Arc::clone(self);
        let born = life.born;
        thread::spawn(move || {
            while !ended.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_micros(300));
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                let Ok(copy) = stream.try_clone() else { continue };
                streams.lock().unwrap().push(copy);
                let (engine, ended) = (Arc::clone(&engine), Arc::clone(&ended));
                thread::spawn(move || engine.serve(stream, born, &ended));
            }
        });
        *self.life.lock().unwrap() = Some(life);
        if is_first || self.checks_in_after.is_zero() {
            self.register();
            return;
        }
        let engine = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(engine.checks_in_after);
            engine.register();
            engine.record.add(format!("{} checks in", engine.id));
        });
    }

    fn register(&self) {
        let life = self.life.lock().unwrap();
        let Some(life) = &*life else { return };
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"vest-a\",\"version\":\"v1\",\
             \"slots\":128,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, life.address, life.born
        );
        self.store.put("servers", &self.id, &text);
    }

    /// Ends the process: nothing listens any more, and all connections break.
    fn end(&self) {
        if let Some(life) = self.life.lock().unwrap().take() {
            life.ended.store(true, SeqCst);
            for stream in life.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            self.cut_off.fetch_add(self.at_work.load(SeqCst), SeqCst);
        }
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, born: u64, ended: &AtomicBool) {
        while let Some(request) = read_message(&mut stream) {
            let path = request.word(1).to_owned();
            let id = &self.id;
            if path == "/report" {
                let body = format!("{{\"born\":{born},\"phase\":\"combined\",\"models\":[]}}");
                respond(&mut stream, "200 OK", "", &body);
                continue;
            }
            if path == "/healthz" {
                respond(&mut stream, "200 OK", &format!("x-instance-id: {id}\r\n"), "");
                continue;
            }
            let attempt = request.header("x-attempt-id").unwrap_or("-").to_owned();
            let echo = format!("x-attempt-id: {attempt}\r\n");
            if request.header("x-expected-instance") != Some(id) {
                respond(&mut stream, "421 Misdirected Request", &echo, "");
                continue;
            }
            let parts = request.header("x-prompt-prefix").unwrap_or_default();
            let is_deadly = self.deadly.as_ref().is_some_and(|part| parts.contains(part.as_str()));
            let at = self.record.now();
            self.record.at(at, format!("{attempt} reaches {id} deadly={is_deadly}"));
            self.arrivals.lock().unwrap().push(Arrival {
                engine: id.clone(),
                attempt: attempt.clone(),
                at,
                is_deadly,
            });
            self.at_work.fetch_add(1, SeqCst);
            thread::sleep(self.begins_after);
            if is_deadly && !ended.load(SeqCst) {
                self.at_work.fetch_sub(1, SeqCst);
                self.crash(&attempt);
                return;
            }
            let head = format!("{echo}x-response-signature: 3e1b.{id}.{attempt}\r\n");
            if let Some(pause) = self.part_after {
                let head = format!("HTTP/1.1 200 OK\r\n{head}connection: close\r\n\r\n");
                let _ = stream.write_all(head.as_bytes());
                for part in PARTS {
                    if ended.load(SeqCst) || stream.write_all(part.as_bytes()).is_err() {
                        break;
                    }
                    thread::sleep(pause);
                }
                self.at_work.fetch_sub(1, SeqCst);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            if self.streams {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\n\
                     transfer-encoding: chunked\r\n\r\n"
                );
                let mut sent = stream.write_all(head.as_bytes()).is_ok();
                for number in 1..=8 {
                    let event = format!("id: {number}\ndata: {attempt}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    sent = sent && stream.write_all(chunk.as_bytes()).is_ok();
                    thread::sleep(ms(60));
                }
                sent = sent && stream.write_all(b"0\r\n\r\n").is_ok();
                self.record.add(format!("{attempt} ends at {id} sent={sent}"));
            } else {
                respond(&mut stream, "200 OK", &head, "booked");
                self.record.add(format!("{attempt} ends at {id}"));
            }
            self.at_work.fetch_sub(1, SeqCst);
        }
    }

    /// Ends the process by a request, and starts it again a second later.
    fn crash(self: &Arc<Self>, attempt: &str) {
        let cut_off = self.at_work.load(SeqCst);
        self.end();
        let at = self.record.now();
        self.crashes.lock().unwrap().push(at);
        let id = &self.id;
        self.record.at(at, format!("{attempt} crashes {id}, with {cut_off} other requests at work"));
        let engine = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(ms(1_000));
            engine.start();
            engine.record.add(format!("{} is back", engine.id));
        });
    }
}

/// A gateway, started with the command of the deploy file.
struct Gateway {
    frontend: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    command: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Prepares a gateway. Its addresses are free ports of an address of its own, since the port
    /// of the metrics is the same for all.
    fn new(ip: IpAddr, store: SocketAddr, peer: Option<SocketAddr>, parts: (&Path, &[String])) -> Self {
        let (folder, command) = parts;
        let free = || {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            listener.local_addr().unwrap()
        };
        let addresses = [free(), free(), free()];
        let [frontend, readiness, control] = addresses;
        let seeds: Vec<String> = peer.iter().chain([&control]).map(|one| format!("\"{one}\"")).collect();
        let name = format!("edge-{ip}");
        let text = format!(
            r#"nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control"]
ip = "{ip}"
zone = "vest-a"
region = "vestland"
seedNodes = [{seeds}]
bootstrap = true
discovery = "platform"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","stages"]
[zones]
vest-a = "vestland"
[listenAddresses]
frontend = "{frontend}"
readiness = "{readiness}"
controlPlane = "{control}"
[limits]
cpuFraction = 0.19
cpuCores = 1
memoryMb = 260
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
stabilityMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configDeadlineMs = 2000
regressionMs = 250
boundExtensionMs = 5000
revocationStrict = false
revocationMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 56
coldOverrun = 1.5
coldTolerance = 5
evacuationMs = 5000
recoveryS = 12
deliveryMs = 120
reuseWindowS = 7.1
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
            seeds = seeds.join(","),
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings are written");
        Self {
            frontend,
            readiness,
            log: folder.join(format!("{name}.log")),
            settings,
            command: command.to_vec(),
            child: None,
        }
    }

    fn control(&self) -> SocketAddr {
        let text = fs::read_to_string(&self.settings).unwrap();
        let line = text.lines().find(|line| line.starts_with("controlPlane"));
        line.unwrap().split('"').nth(1).unwrap().parse().unwrap()
    }

    fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", std::env::temp_dir())
            .env("CICADACRANK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("cannot start {}: {error}", self.command[0]);
                exit(2);
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal {name} is sent");
    }

    /// Returns the memory of the process, in bytes.
    fn memory(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS"))?;
        Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? << 10)
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn wait_ready(&self) -> bool {
        let until = Instant::now() + ms(15_000);
        while Instant::now() < until {
            let answer = send(self.readiness, "GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n", ms(1_000));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(ms(20));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a request on a new connection and reads the answer.
fn send(to: SocketAddr, request: &str, timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1_000)).ok()?;
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(timeout)));
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}

/// Returns a manifest with a service that books, and one of model engines.
fn manifest(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host":"pule25.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"phases":[],"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false}},{{"name":"r-group","host":"pule25.example","pathPrefix":"/group/","routeKind":"non_idempotent","timeoutMs":6000,"targetLatencyMs":1800,"priority":2,"service":"desk","maxAttempts":2,"phases":[],"anonymousAccess":false,"sessionAffinity":false,"streamResumption":false}},{{"name":"r-plan","host":"pule25.example","pathPrefix":"/plan/","routeKind":"streaming","timeoutMs":6000,"targetLatencyMs":1800,"priority":1,"service":"llm","maxAttempts":1,"phases":[],"anonymousAccess":false,"sessionAffinity":true,"streamResumption":false,"maxGapMs":300}}],"services":[{{"name":"desk","healthPath":"/healthz","connectionLimit":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}},{{"name":"llm","healthPath":"/healthz","connectionLimit":620,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":20.0,"engine":{{"slots":128,"kvCacheTokens":587454,"kvBytes":18432,"linkMbps":88000.0,"moves":false,"backups":false,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"bozi300","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// What all cases begin with.
struct Scene {
    folder: PathBuf,
    command: Vec<String>,
    record: Record,
    store: Store,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    has_trouble: bool,
}

impl Scene {
    fn new(command: &[String]) -> Self {
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let record = Record::new();
        record.add(format!("trouble={has_trouble}"));
        let folder = std::env::temp_dir().join(format!("stand-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start(ip(1));
        store.put("config", "main", &manifest(2));
        Self {
            folder,
            command: command.to_vec(),
            record,
            store,
            arrivals: Arc::default(),
            has_trouble,
        }
    }

    fn gateway(&self, number: u8, store: SocketAddr, peer: Option<&Gateway>) -> Gateway {
        let peer = peer.map(Gateway::control);
        Gateway::new(ip(10 + number), store, peer, (&self.folder, &self.command))
    }

    fn engine(&self, id: &str, service: &str, number: u8) -> Engine {
        let parts = (&self.store, &self.record, &self.arrivals);
        Engine::new(id, service, ip(100 + number), parts)
    }

    fn give_up(&self, folder: &Path, why: &str) -> ! {
        self.record.add(format!("the case could not run: {why}"));
        self.record.save(folder);
        if std::env::var_os("KEEP").is_none() { let _ = fs::remove_dir_all(&self.folder); }
        exit(2);
    }

    fn end(self, folder: &Path, broken: Option<String>) -> ! {
        match &broken {
            Some(text) => self.record.add(format!("broken: {text}")),
            None => self.record.add("the rule held"),
        }
        self.record.save(folder);
        if std::env::var_os("KEEP").is_none() { let _ = fs::remove_dir_all(&self.folder); }
        println!("{}", broken.as_deref().unwrap_or("the rule held"));
        exit(i32::from(broken.is_some()));
    }
}

/// Returns a loopback address that other runs of the cases hardly use at the same time.
fn ip(last: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, (pid >> 8) as u8 | 1, pid as u8, last))
}

include!("cases.rs");

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("stand CASE FOLDER PROGRAM WORD...");
        exit(2);
    };
    let (folder, command) = (PathBuf::from(folder), &words[3..]);
    // A panic ends the gateways too, since they are killed when they are dropped.
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "late-removal" => late_removal(&folder, command),
        "forgotten-part" => forgotten_part(&folder, command),
        "frozen-end" => frozen_end(&folder, command),
        "short-headers" => short_headers(&folder, command),
        _ => eprintln!("no such case: {case}"),
    });
    drop(played);
    exit(2);
}
