//! Stand-ins for the platform's store, the endpoints and the callers of a gateway, and the
//! start of the gateways themselves. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Host of all routes.
pub const HOST: &str = "tea.example";
/// Objects on one page of a list.
const PAGE_ITEMS: usize = 500;
/// Bytes of objects on one page of a list.
const PAGE_BYTES: usize = 1_000_000;
/// API key of the only tenant.
pub const KEY: &str = "k-desk";

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Whether the case runs with its disruption. It does not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The file `record.txt`, with the time since the start of the case on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    /// Creates the file that the variable `RECORD` names.
    pub fn new() -> Self {
        let path = env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = fs::File::create(path).expect("record.txt can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = lock(&self.file);
        writeln!(file, "{at:9.3} {text}").expect("record.txt can be written");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A request as it was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|one| one.0 == name);
        found.map(|one| one.1.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.target.split_once('?')?.1.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    pub fn attempt(&self) -> &str {
        self.header("x-attempt-id").unwrap_or("-")
    }
}

/// Reads bytes with a buffer.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 65_536];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length)
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        self.buffer.drain(..length).collect()
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.take(end + 2);
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.take(length))
    }

    fn headers(&mut self) -> io::Result<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(headers);
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the next chunk of a chunked body. An empty one is the end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.exactly(size)?;
        self.line()?;
        Ok(chunk)
    }

    fn body(&mut self, headers: &[(String, String)], to_end: bool) -> io::Result<Vec<u8>> {
        let find = |name: &str| headers.iter().find(|one| one.0 == name).map(|one| &one.1);
        if find("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk);
            }
        }
        if let Some(length) = find("content-length") {
            return self.exactly(length.parse().unwrap_or(0));
        }
        if to_end {
            while self.fill()? > 0 {}
            let length = self.buffer.len();
            return Ok(self.take(length));
        }
        Ok(Vec::new())
    }

    /// Reads a request, or `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let start = self.line()?;
        let mut words = start.split(' ');
        let mut next = || words.next().unwrap_or_default().to_owned();
        let (method, target) = (next(), next());
        let headers = self.headers()?;
        let body = self.body(&headers, false)?;
        Ok(Some(Request {
            method,
            target,
            headers,
            body,
        }))
    }

    /// Reads the head of a response.
    pub fn head(&mut self) -> io::Result<(u16, Vec<(String, String)>)> {
        loop {
            let start = self.line()?;
            let status = start.split(' ').nth(1).and_then(|word| word.parse().ok());
            let status: u16 = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
            let headers = self.headers()?;
            if status >= 200 {
                return Ok((status, headers));
            }
        }
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// An answer as a caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status, or `None` if no head came.
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as its head announced.
    pub whole: bool,
    pub took: Duration,
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|one| one.0 == name);
        found.map(|one| one.1.as_str())
    }

    pub fn status_text(&self) -> String {
        self.status
            .map_or_else(|| "none".to_owned(), |status| status.to_string())
    }
}

/// Sends a request on a connection of its own and reads the answer for at most `wait`.
pub fn call(
    gateway: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    wait: Duration,
) -> Answer {
    let start = Instant::now();
    let mut answer = Answer::default();
    let result = (|| -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&gateway, ms(1_000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        stream.set_write_timeout(Some(wait))?;
        let mut reader = Reader::new(stream);
        let length = match (method, body.len()) {
            ("GET", 0) => String::new(),
            (_, length) => format!("Content-Length: {length}\r\n"),
        };
        let head = format!("{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{headers}{length}\r\n");
        reader.stream.write_all(head.as_bytes())?;
        reader.stream.write_all(body)?;
        let (status, headers) = reader.head()?;
        answer.status = Some(status);
        answer.headers = headers;
        let headers = answer.headers.clone();
        answer.body = reader.body(&headers, true)?;
        answer.whole = true;
        Ok(())
    })();
    answer.took = start.elapsed();
    if let Err(error) = result {
        answer.error = error.to_string();
    }
    answer
}

/// Headers that each request of a caller has.
pub fn headers(attempt: &str, deadline_ms: u64) -> String {
    format!(
        "X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
    )
}

/// Accepts connections on a free port of 127.0.0.1 and serves each in a thread.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            drop(stream.set_nodelay(true));
            let handle = Arc::clone(&handle);
            drop(thread::Builder::new().spawn(move || handle(stream)));
        }
    });
    address
}

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\
             \"finalizers\":[],\"deletionPending\":false}},\"specification\":{},\"status\":null}}",
            self.revision, self.created, self.spec
        )
    }
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and JSON of each event.
    events: Vec<(u64, String, String)>,
}

/// The platform's store, which keeps all its history.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let shared: Arc<(Mutex<Content>, Condvar)> = Arc::default();
        lock(&shared.0).revision = 100;
        let served = Arc::clone(&shared);
        let address = serve(move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(Some(request)) = reader.request() {
                let (status, body) = answer(&served, &request);
                let json = "Content-Type: application/json\r\n";
                if respond(&mut reader.stream, status, json, body.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, shared }
    }

    /// Writes an object, as the operator or an endpoint does. Returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut content = lock(&self.shared.0);
        let revision = put(&mut content, kind, name, spec);
        self.shared.1.notify_all();
        revision
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut content = lock(&self.shared.0);
        delete(&mut content, kind, name);
        self.shared.1.notify_all();
    }
}

/// Decodes the percent-encoding of a value in a query.
fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = text.get(index + 1..index + 3);
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if bytes[index] == b'%' => {
                decoded.push(byte);
                index += 3;
            }
            _ => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn put(content: &mut Content, kind: &str, name: &str, spec: &str) -> u64 {
    content.revision += 1;
    let revision = content.revision;
    let key = (kind.to_owned(), name.to_owned());
    let created = content
        .objects
        .get(&key)
        .map_or(revision, |one| one.created);
    let object = Object {
        revision,
        created,
        spec: spec.to_owned(),
    };
    let event = format!("{{\"deleted\":false,\"object\":{}}}", object.json(name));
    content.events.push((revision, kind.to_owned(), event));
    content.objects.insert(key, object);
    revision
}

fn delete(content: &mut Content, kind: &str, name: &str) {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(mut object) = content.objects.remove(&key) {
        content.revision += 1;
        object.revision = content.revision;
        let event = format!("{{\"deleted\":true,\"object\":{}}}", object.json(name));
        content
            .events
            .push((content.revision, kind.to_owned(), event));
    }
}

fn answer(shared: &(Mutex<Content>, Condvar), request: &Request) -> (&'static str, String) {
    let parts: Vec<&str> = request.path().trim_start_matches('/').split('/').collect();
    let (kind, name) = match parts[..] {
        ["objects", kind] => (kind, None),
        ["objects", kind, name] => (kind, Some(name)),
        _ => return ("404 Not Found", "{}".to_owned()),
    };
    let body = String::from_utf8_lossy(&request.body).into_owned();
    match (request.method.as_str(), name) {
        ("GET", None) if request.query("watch").is_some() => {
            let number = |name| {
                request
                    .query(name)
                    .and_then(|text| text.parse::<u64>().ok())
            };
            let after = number("watch").unwrap_or(0);
            let until = Instant::now() + ms(number("waitMs").unwrap_or(0).min(30_000));
            let mut content = lock(&shared.0);
            loop {
                let events: Vec<&str> = content
                    .events
                    .iter()
                    .filter(|event| event.0 > after && event.1 == kind)
                    .map(|event| event.2.as_str())
                    .collect();
                let now = Instant::now();
                if !events.is_empty() || now >= until {
                    let at = content.revision;
                    let events = events.join(",");
                    return ("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}"));
                }
                let waited = shared.1.wait_timeout(content, until - now);
                content = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        }
        ("GET", None) => {
            let after = request
                .query("after")
                .map(decode_percent)
                .unwrap_or_default();
            let content = lock(&shared.0);
            let listed = content.objects.iter();
            let mut rest = listed
                .filter(|one| one.0.0 == kind && one.0.1 > after)
                .peekable();
            let (mut items, mut bytes) = (Vec::new(), 0);
            while let Some(((_, name), object)) = rest.peek() {
                let item = object.json(name);
                let is_full = items.len() >= PAGE_ITEMS || bytes + item.len() > PAGE_BYTES;
                if is_full && !items.is_empty() {
                    break;
                }
                bytes += item.len();
                items.push(item);
                rest.next();
            }
            let (items, more) = (items.join(","), rest.peek().is_some());
            let at = content.revision;
            let page = format!("{{\"items\":[{items}],\"hasMore\":{more},\"at\":{at}}}");
            ("200 OK", page)
        }
        ("GET", Some(name)) => {
            let content = lock(&shared.0);
            let found = content.objects.get(&(kind.to_owned(), name.to_owned()));
            found.map_or(("404 Not Found", "{}".to_owned()), |object| {
                ("200 OK", object.json(name))
            })
        }
        ("POST" | "PUT", _) => {
            // The gateways send no revision with what they write here.
            let named = body.split("\"name\":\"").nth(1);
            let named = named.and_then(|rest| rest.split('"').next()).unwrap_or("");
            let name = name.unwrap_or(named).to_owned();
            let spec = body
                .split_once("\"specification\":")
                .map_or("null", |one| one.1);
            let spec = spec.trim_end().strip_suffix('}').unwrap_or("null");
            let mut content = lock(&shared.0);
            let key = (kind.to_owned(), name.clone());
            match (request.method.as_str(), content.objects.get(&key)) {
                ("POST", Some(object)) => return ("409 Conflict", object.json(&name)),
                ("PUT", None) => return ("404 Not Found", "{}".to_owned()),
                _ => {}
            }
            put(&mut content, kind, &name, spec);
            shared.1.notify_all();
            ("200 OK", content.objects[&key].json(&name))
        }
        ("DELETE", Some(name)) => {
            delete(&mut lock(&shared.0), kind, name);
            shared.1.notify_all();
            ("200 OK", "{}".to_owned())
        }
        _ => ("404 Not Found", "{}".to_owned()),
    }
}

/// A gateway process. Dropping it kills the process.
pub struct Gateway {
    pub name: String,
    pub caller: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    child: Child,
    file: PathBuf,
    log: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Returns a loopback address on which the port of the metrics is free.
fn free_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let last = u8::try_from(number % 250).unwrap_or(0) + 2;
        let ip = Ipv4Addr::new(127, 64 | (high & 63), low, last);
        if TcpListener::bind((ip, 9464)).is_ok() {
            return ip;
        }
    }
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file.
    pub fn start(folder: &Path, name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let ip = free_ip();
        let listeners: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
            .collect();
        let ports: Vec<SocketAddr> = listeners
            .iter()
            .map(|one| one.local_addr().expect("the address"))
            .collect();
        let (caller, readiness, control) = (ports[0], ports[1], ports[2]);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed:?}")).collect();
        let seeds = seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect::<Vec<_>>()
            .join(",");
        let settings = format!(
            "nodeName = \"{name}\"\nrole = \"gateway\"\nmachineClass = \"edge\"\n\
             serves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"one\"\nregion = \"here\"\n\
             internalPortRange = [7740,7755]\nseedNodes = [{seeds}]\nbootstrap = true\n\
             heartbeatIntervalMs = 1200\n[zones]\none = \"here\"\n[listenAddresses]\n\
             frontend = \"{caller}\"\nreadiness = \"{readiness}\"\ncontrolPlane = \"{control}\"\n\
             [limits]\ncpuFraction = 0.19\ncpuCores = 1\nmemoryMb = 260\nfileDescriptors = 4100\n\
             linkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 1\n\
             regions = 0\n[bounds]\nseedLagS = 3\naddressReuseS = 2\nstabilityMs = 3000\n\
             ackTimeoutMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngracePeriodS = 8\n\
             lossSlackMs = 200\nconfigDeadlineMs = 2000\nregressionMs = 250\n\
             boundExtensionMs = 5000\nrevocationStrict = false\nrevocationMs = 5000\n\
             retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetExtra = 56\n\
             coldOverrun = 1.5\ncoldTolerance = 5\nevacuationMs = 5000\nrecoveryS = 12\n\
             deliveryMs = 120\nreuseWindowS = 7.1\n[platform]\naddress = \"{store}\"\n\
             form = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n\
             valueBytes = 1048576\nttlMinMs = 1000\n"
        );
        let file = folder.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        drop(listeners);
        Self {
            child: spawn(&file, &log),
            name: name.to_owned(),
            caller,
            readiness,
            control,
            file,
            log,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as TERM, STOP or CONT.
    pub fn signal(&self, signal: &str) {
        let command = format!("kill -s {signal} {}", self.pid());
        let status = Command::new("sh").args(["-c", &command]).status();
        assert!(status.is_ok_and(|status| status.success()), "{command}");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) {
        self.child = spawn(&self.file, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.readiness, "GET", "/readyz", "", &[], ms(1_000));
        answer.status == Some(200)
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + ms(15_000);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(20));
        }
        false
    }

    /// Resident memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn spawn(file: &Path, log: &Path) -> Child {
    let program = env::var("GATEWAY").unwrap_or_else(|_| "target/release/cicadacrankd".to_owned());
    let append = |path: &Path| fs::File::options().create(true).append(true).open(path);
    let output = append(log).expect("the log can be written");
    let child = Command::new(program)
        .args(["gateway", "--metrics-port", "9464"])
        .env_clear()
        .env("CICADACRANK_BOOT", file)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a copy of the log"))
        .stderr(output)
        .spawn()
        .expect("the gateway starts");
    // The script ends what is left of these processes.
    if let Ok(path) = env::var("PIDS") {
        let mut file = append(Path::new(&path)).expect("the list of processes can be written");
        writeln!(file, "{}", child.id()).expect("the list of processes can be written");
    }
    child
}

/// Starts gateways and waits until they are ready. Ends the case if one is not.
pub fn start_gateways(
    folder: &Path,
    store: SocketAddr,
    count: usize,
    record: &Record,
) -> Vec<Gateway> {
    let mut gateways: Vec<Gateway> = Vec::new();
    for number in 1..=count {
        let seeds: Vec<_> = gateways.iter().map(|one| one.control).take(3).collect();
        let name = format!("edge-one-{number}");
        gateways.push(Gateway::start(folder, &name, store, &seeds));
    }
    if !gateways.iter().all(Gateway::wait_ready) {
        drop(gateways);
        give_up(record, "a gateway is not ready");
    }
    gateways
}

/// Ends a case that couldn't run. All gateways must have been dropped.
pub fn give_up(record: &Record, reason: &str) -> ! {
    record.say(reason);
    std::process::exit(2);
}

/// Ends a case with its result, and its processes and files before.
pub fn finish(
    record: &Record,
    gateways: Vec<Gateway>,
    folder: &Path,
    rule: &str,
    broken: bool,
) -> ! {
    drop(gateways);
    drop(fs::remove_dir_all(folder));
    let broken_text = format!("BROKEN: {rule}");
    record.say(if broken { &broken_text } else { "held" });
    std::process::exit(i32::from(broken));
}

/// Calls `act` with 0, 1, 2 and so on, each `gap` after the one before, until `end`.
pub fn repeat(start: Instant, gap: Duration, end: Instant, mut act: impl FnMut(usize)) {
    for number in 0.. {
        sleep_until(start + gap * number);
        if Instant::now() >= end {
            return;
        }
        act(number as usize);
    }
}

/// The route of bookings, which may run once at most.
pub fn book_route() -> String {
    route(
        "/book/",
        "non_idempotent",
        "desk",
        1_000,
        "\"targetLatencyMs\":150,\"priority\":2,\"maxAttempts\":1,\"phases\":[],\
         \"sessionAffinity\":false,\"streamResumption\":false",
    )
}

/// The route of streams of model engines, which may not be resumed.
pub fn draft_route(timeout_ms: u64) -> String {
    route(
        "/draft/",
        "streaming",
        "llm",
        timeout_ms,
        "\"targetLatencyMs\":910,\"priority\":1,\"maxAttempts\":1,\"phases\":[],\
         \"sessionAffinity\":true,\"streamResumption\":false,\"maxGapMs\":300",
    )
}

/// The service of the bookings, in the manifest.
pub fn desk_service() -> String {
    service("desk", ",\"coldStartS\":0.0,\"coldPerS\":0.0")
}

/// The service of the model engines, in the manifest.
pub fn llm_service() -> String {
    service(
        "llm",
        ",\"coldStartS\":0.0,\"coldPerS\":0.0,\
         \"engine\":{\"slots\":128,\"kvCacheTokens\":587454}",
    )
}

/// Starts an endpoint that takes bookings. It calls `ran` with the attempt of each.
pub fn desk(id: &'static str, ran: impl Fn(&str) + Send + Sync + 'static) -> SocketAddr {
    serve(move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.request() {
            if misdirected(&request, id, &mut reader.stream) {
                continue;
            }
            ran(request.attempt());
            thread::sleep(ms(30));
            if respond(&mut reader.stream, "200 OK", &echo(&request), b"booked").is_err() {
                return;
            }
        }
    })
}

/// Answers a stream of two events.
pub fn respond_events(stream: &mut TcpStream, request: &Request) -> io::Result<()> {
    let head = format!("{}Content-Type: text/event-stream\r\n", echo(request));
    respond(
        stream,
        "200 OK",
        &head,
        b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    )
}

/// A port that can be closed with all its connections, as by a crash.
pub struct Port {
    pub address: SocketAddr,
    crashed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Port {
    pub fn open(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> Self {
        Self::open_at(None, handle)
    }

    /// Opens the port at an address, or a free one.
    pub fn open_at(
        address: Option<SocketAddr>,
        handle: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> Self {
        let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = TcpListener::bind(address).expect("a free port");
        listener.set_nonblocking(true).expect("a mode of the port");
        let address = listener.local_addr().expect("the address");
        let crashed = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (flag, streams, handle) = (Arc::clone(&crashed), Arc::clone(&open), Arc::new(handle));
        thread::spawn(move || {
            while !flag.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ms(1));
                    continue;
                };
                drop(stream.set_nonblocking(false));
                drop(stream.set_nodelay(true));
                lock(&streams).push(stream.try_clone().expect("a copy"));
                let handle = Arc::clone(&handle);
                thread::spawn(move || handle(stream));
            }
        });
        Self {
            address,
            crashed,
            open,
        }
    }

    /// Closes the port, then all connections.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        thread::sleep(ms(10));
        for stream in lock(&self.open).drain(..) {
            close(&stream);
        }
    }
}

/// Returns a route as operators write it.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, more: &str) -> String {
    format!(
        "{{\"name\":\"r{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
         \"routeKind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"service\":\"{service}\",\
         \"anonymousAccess\":false,{more}}}",
        prefix.replace('/', "")
    )
}

/// Returns a manifest.
pub fn manifest(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"desk-team\",\
         \"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns a service of the manifest.
pub fn service(name: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"connectionLimit\":620,\
         \"protocol\":\"h1\",\"tls\":false{more}}}"
    )
}

/// Returns the whole entry of an endpoint.
pub fn entry(service: &str, address: SocketAddr, state: &str, slots: u32, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"one\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\
         \"sequence\":{sequence},\"born\":1700000000000}}"
    )
}

/// Returns the headers with which an endpoint answers a request.
pub fn echo(request: &Request) -> String {
    format!(
        "X-Attempt-Id: {}\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
        request.attempt()
    )
}

/// Answers 421 if the request expects another endpoint. Returns whether it did.
pub fn misdirected(request: &Request, id: &str, stream: &mut TcpStream) -> bool {
    let expected = request.header("x-expected-instance");
    if expected.is_none_or(|expected| expected == id) {
        return false;
    }
    let headers = format!(
        "X-Attempt-Id: {}\r\nX-Instance-Id: {id}\r\n",
        request.attempt()
    );
    drop(respond(stream, "421 Misdirected Request", &headers, b""));
    true
}

/// Returns a temporary folder of this process.
pub fn folder() -> PathBuf {
    let folder = env::temp_dir().join(format!("cicadacrank-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

pub fn close(stream: &TcpStream) {
    drop(stream.shutdown(Shutdown::Both));
}
