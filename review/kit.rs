//! Parts that the scripts of this review share: a stand-in of the platform's store, an HTTP server
//! and client, and the gateway as a process. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, atomic::{AtomicBool, Ordering}},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-1";

/// Returns whether the disruption is played (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The file `record.txt` beside the script; each line has the seconds since the start.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Self {
        let folder = std::env::args().nth(1).unwrap_or_else(|| unable("no folder"));
        let file = File::create(Path::new(&folder).join("record.txt"));
        let file = file.unwrap_or_else(|error| unable(&error.to_string()));
        Self { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.seconds(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Records and prints a line.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Processes that the script has started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Has a process ended with the script.
pub fn track(child: &Child) {
    STARTED.lock().unwrap().push(child.id());
}

/// Records that a process has been ended already.
pub fn untrack(child: &Child) {
    STARTED.lock().unwrap().retain(|process| *process != child.id());
}

/// Ends the script with `code` after all processes that it has started.
pub fn end(code: i32) -> ! {
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for process in started {
        let _ = Command::new("kill").arg("-9").arg(process.to_string()).status();
    }
    std::process::exit(code);
}

/// Ends the script because the case could not run.
pub fn unable(reason: &str) -> ! {
    println!("the case could not run: {reason}");
    end(2);
}

/// Ends the script if it takes too long.
pub fn watch_time() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        unable("it took too long");
    });
}

// JSON ---------------------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        Self::value(&bytes, &mut at)
    }

    fn space(text: &[char], at: &mut usize) {
        while text.get(*at).is_some_and(|c| c.is_whitespace()) {
            *at += 1;
        }
    }

    fn value(text: &[char], at: &mut usize) -> Option<Json> {
        Self::space(text, at);
        match *text.get(*at)? {
            '{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        '}' => {
                            *at += 1;
                            return Some(Json::Table(fields));
                        }
                        ',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Self::value(text, at)? else { return None };
                            Self::space(text, at);
                            *at += 1;
                            fields.push((name, Self::value(text, at)?));
                        }
                    }
                }
            }
            '[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        ']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        ',' => *at += 1,
                        _ => items.push(Self::value(text, at)?),
                    }
                }
            }
            '"' => {
                *at += 1;
                let mut found = String::new();
                loop {
                    match *text.get(*at)? {
                        '"' => {
                            *at += 1;
                            return Some(Json::Text(found));
                        }
                        '\\' => {
                            *at += 1;
                            found.push(*text.get(*at)?);
                        }
                        c => found.push(c),
                    }
                    *at += 1;
                }
            }
            _ => {
                let from = *at;
                while text.get(*at).is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                    *at += 1;
                }
                let word: String = text[from..*at].iter().collect();
                match word.as_str() {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else { return None };
        fields.iter().find(|(field, _)| field == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// HTTP ---------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Some(Message { first: first.trim_end().to_owned(), headers, body: Vec::new() })
}

/// Reads one chunk; an empty one is the last. `None` if the connection breaks.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

/// Reads a whole message; `None` if the connection ends or breaks before its end.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    }
    Some(message)
}

pub fn answer_text(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text + "\r\n" + body
}

/// Accepts connections at an address and serves each one on a thread of its own.
pub fn serve_at(
    listener: TcpListener,
    serve: impl Fn(TcpStream) + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
}

pub fn listen() -> TcpListener {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    listener.unwrap_or_else(|error| unable(&error.to_string()))
}

// Store --------------------------------------------------------------------------------------

#[derive(Default)]
struct StoreRows {
    version: u64,
    rows: BTreeMap<(String, String), (u64, String)>,
}

/// Stand-in of the platform's store. `refuse` decides by the path of a call whether it is rejected
/// with 429; `seen` is told of each list of servers that was sent.
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreRows>, Condvar)>,
}

type Refuse = Arc<dyn Fn(&str) -> bool + Send + Sync>;
type Seen = Arc<dyn Fn(&[String]) + Send + Sync>;

impl Store {
    pub fn start(refuse: Refuse, seen: Seen) -> Self {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let state: Arc<(Mutex<StoreRows>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        serve_at(listener, move |stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut stream = stream;
            while let Some(request) = read_message(&mut reader) {
                let path = request.word(1).to_owned();
                let text = if refuse(&path) {
                    answer_text("429 Too Many Requests", &[], "")
                } else {
                    let body = Self::rows(&shared, &path, &seen);
                    answer_text("200 OK", &[("Content-Type", "application/json")], &body)
                };
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, state }
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), key.into()), (version, base64(value.as_bytes())));
        changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        rows.rows.remove(&(table.to_owned(), key.to_owned()));
        changed.notify_all();
    }

    fn rows(state: &(Mutex<StoreRows>, Condvar), path: &str, seen: &Seen) -> String {
        let query = |name: &str| {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| {
                let (key, value) = pair.split_once('=')?;
                (key == name).then(|| value.to_owned())
            })
        };
        let table = query("table").unwrap_or_default();
        let (rows, changed) = state;
        let mut rows = rows.lock().unwrap();
        let mut after = 0;
        if path.starts_with("/-/rows-feed") {
            after = query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
            let wait = query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            let is_new = |rows: &StoreRows| {
                rows.rows.iter().any(|((of, _), (version, _))| *of == table && *version > after)
            };
            while !is_new(&rows) && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                rows = changed.wait_timeout(rows, left).unwrap().0;
            }
        }
        let found = rows.rows.iter().filter(|((of, _), (version, _))| *of == table && *version > after);
        let found: Vec<_> = found.collect();
        if table == "servers" {
            let keys: Vec<_> = found.iter().map(|((_, key), _)| key.clone()).collect();
            seen(&keys);
        }
        let texts = found.iter().map(|((table, key), (version, value))| {
            format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#)
        });
        let texts: Vec<_> = texts.collect();
        let version = rows.version;
        format!(r#"{{"rows":[{}],"has_more":false,"ver":{version},"now_ms":1}}"#, texts.join(","))
    }
}

pub fn server_row(service: &str, address: SocketAddr, more: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"ruwi","version":"v1","slots":12,"state":"ready","cold_remaining_ms":0,"seq":1,"born":1767541239839{more}}}"#
    )
}

pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    let can_resume = kind == "streaming";
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"{service}","attempts":2,"allow_anonymous":false,"sticky":false,"can_resume":{can_resume},"gap_target_ms":120}}"#
    )
}

pub fn manifest(version: u64, routes: &[String], services: &[String]) -> String {
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"press","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

// Gateway ------------------------------------------------------------------------------------

/// A gateway as a process of its own, started with the command of the deploy file. It is killed
/// when this is dropped.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|error| unable(&error.to_string()));
    listener.local_addr().unwrap().port()
}

impl Gateway {
    /// Starts a gateway and waits until it is ready. Another process may take a free port first, so
    /// that the start is tried again with others.
    pub fn start(store: SocketAddr) -> Self {
        for _ in 0..3 {
            let gateway = Self::start_once(store);
            if gateway.becomes_ready(Duration::from_secs(5)) {
                return gateway;
            }
        }
        unable("the gateway does not become ready");
    }

    fn start_once(store: SocketAddr) -> Self {
        let ip = Ipv4Addr::LOCALHOST;
        let port = || free_port(ip);
        let (front, ready, control, load, metrics) = (port(), port(), port(), port(), port());
        let folder = std::env::temp_dir().join(format!("review-{}-{front}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| unable(&error.to_string()));
        let settings = format!(
            "[instance]\nname = front-ruwi-1\navailability_zone = ruwi\nregion = muscat\n\n\
             [gateway]\ncaller_address = {ip}:{front}\nreadiness_address = {ip}:{ready}\n\
             peer_address = {ip}:{control}\nload_address = {ip}:{load}\nseeds = {ip}:{control}\n\
             retry_ratio = 0.2\nretry_allowance = 88\nretry_window = 10 s\nfirst_start = true\n\
             drain_limit = 2000 ms\nconfiguration_limit = 2000 ms\nstop_limit = 8 s\n\n\
             [platform]\naddress = {store}\ntimeout = 1000 ms\n\n\
             [metrics]\naddress = {ip}:{metrics}\n\n[log]\nlevel = info\nformat = json\n"
        );
        let file = folder.join("settings.ini");
        fs::write(&file, settings).unwrap_or_else(|error| unable(&error.to_string()));
        Self {
            front: (ip, front).into(),
            ready: (ip, ready).into(),
            child: Self::spawn(&folder),
            folder,
        }
    }

    fn spawn(folder: &Path) -> Child {
        let log = File::options().create(true).append(true).open(folder.join("gateway.log"));
        let log = log.unwrap_or_else(|error| unable(&error.to_string()));
        let child = Command::new("target/release/sassafrasslipd")
            .arg("gateway")
            .env("SASSAFRASSLIP_SETTINGS", folder.join("settings.ini"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|error| unable(&format!("gateway: {error}")));
        STARTED.lock().unwrap().push(child.id());
        child
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
    }

    /// Starts the process again, as the platform does after it has ended.
    pub fn restart(&mut self) {
        let file = self.folder.join("settings.ini");
        let settings = fs::read_to_string(&file).unwrap_or_default();
        let settings = settings.replace("first_start = true", "first_start = false");
        fs::write(&file, settings).unwrap_or_else(|error| unable(&error.to_string()));
        self.child = Self::spawn(&self.folder);
    }

    /// Waits until the process is ready.
    pub fn wait_ready(&self) {
        if !self.becomes_ready(Duration::from_secs(10)) {
            unable("the gateway does not become ready");
        }
    }

    fn becomes_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = call(self.ready, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the lines of the gateway's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("gateway.log")).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

// Clients ------------------------------------------------------------------------------------

pub fn request_text(method: &str, path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         Authorization: Token {KEY}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(address: SocketAddr, text: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let answer = read_message(&mut reader);
    answer.ok_or_else(|| io::Error::other("no complete answer"))
}

/// Outcome of a request of a consumer.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent_at: Instant,
    pub is_served: bool,
}

/// Consumers that each send one stream request after the other.
pub struct StreamClients {
    has_ended: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Outcome>>>,
}

/// Longest time without an event after which a consumer leaves a stream.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2000);

impl StreamClients {
    pub fn start(front: SocketAddr, count: usize, record: &Record) -> Self {
        let has_ended = Arc::new(AtomicBool::new(false));
        let tasks = (0..count).map(|client| {
            let (has_ended, record) = (Arc::clone(&has_ended), record.clone());
            thread::spawn(move || {
                let mut outcomes = Vec::new();
                for number in 0.. {
                    if has_ended.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("c{client}-{number}");
                    let sent_at = Instant::now();
                    let text = request_text("POST", "/stream/2f", &id, "prompt");
                    let answer = call(front, &text, EVENT_TIMEOUT);
                    let is_served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
                    if !is_served {
                        let text = answer.map_or_else(|error| error.to_string(), |answer| answer.first);
                        record.line(format!("client {id}: {text}"));
                        thread::sleep(Duration::from_millis(400));
                    }
                    outcomes.push(Outcome { sent_at, is_served });
                }
                outcomes
            })
        });
        Self { tasks: tasks.collect(), has_ended }
    }

    /// Ends the consumers after their current requests, and returns the outcomes of all.
    pub fn stop(self) -> Vec<Outcome> {
        self.has_ended.store(true, Ordering::Relaxed);
        let outcomes = self.tasks.into_iter().flat_map(|task| task.join().unwrap_or_default());
        outcomes.collect()
    }
}

/// Link that loses packets while `is_lossy`. TCP sends a lost packet again after 200 ms, so that the
/// bytes arrive that much later.
pub fn lossy_link(
    target: SocketAddr,
    is_lossy: impl Fn() -> bool + Clone + Send + 'static,
    share: f64,
) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    serve_at(listener, move |caller| {
        let Ok(server) = TcpStream::connect(target) else { return };
        let _ = server.set_nodelay(true);
        let pump = |mut from: TcpStream, mut to: TcpStream| {
            let is_lossy = is_lossy.clone();
            move || {
                let mut buffer = [0; 16 * 1024];
                while let Ok(bytes @ 1..) = from.read(&mut buffer) {
                    if is_lossy() && draw() < share {
                        thread::sleep(Duration::from_millis(200));
                    }
                    if to.write_all(&buffer[..bytes]).is_err() {
                        break;
                    }
                }
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
            }
        };
        let copies = (caller.try_clone(), server.try_clone());
        if let (Ok(caller_copy), Ok(server_copy)) = copies {
            thread::spawn(pump(caller_copy, server_copy));
            pump(server, caller)();
        }
    });
    address
}

fn draw() -> f64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(0) as f64 / u64::MAX as f64
}
