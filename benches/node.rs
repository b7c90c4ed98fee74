//! What the real program costs under a load: processor time by phase, over loopback, against stand-ins.
//!
//! Two nodes; the phases are start, a follower at rest, a leader of idle machines, and a leader whose machines run
//! batch tasks while users submit and ask. `MACHINES` (246) and `REPORT_S` (2) set the size. Linux only: processor
//! time comes from `/proc`. `cargo bench --bench node` prints a line for each phase; it passes no verdict.

#[path = "../tests/support/mod.rs"]
mod support;

use bytes::Bytes;
use caperstile::wire::{CommandBatch, HeartbeatResponse, ScaleOutRequest, WorkerCommand};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{FakeStore, store_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use warp::Filter;
use warp::http::{Method, Response, StatusCode};

/// How long a batch task runs.
const RUN_S: u64 = 30;

#[derive(Default)]
struct Shared {
    store: FakeStore,
    rented: u64,
    most: u64,
    reports: u64,
    asked: u64,
}

/// One worker: its tasks by attempt, with the time at which each ends.
struct Worker {
    name: String,
    endpoint: SocketAddr,
    token: u64,
    seq: u64,
    changed: bool,
    tasks: BTreeMap<u64, (String, Instant, bool)>,
}

impl Worker {
    fn report(&mut self) -> Value {
        self.seq += 1;
        let now = Instant::now();
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(attempt, (task, ends, stopped))| match (stopped, now >= *ends) {
                (true, _) => json!({"Piece": task, "Try": attempt, "Status": "exited", "Cause": "halted"}),
                (_, true) => json!({"Piece": task, "Try": attempt, "Status": "exited", "Cause": "done"}),
                _ => json!({"Piece": task, "Try": attempt, "Status": "running"}),
            })
            .collect();
        json!({"Host": self.name, "Endpoint": self.endpoint.to_string(), "Build": "big", "Yard": "a", "Loaners": true,
            "Shift": 1, "Tally": self.seq, "Baton": self.token, "RecallS": null, "Pieces": tasks})
    }

    fn obey(&mut self, orders: &[WorkerCommand]) {
        self.changed |= !orders.is_empty();
        for order in orders {
            match order {
                WorkerCommand::Start { task, attempt } => {
                    let ends = Instant::now() + Duration::from_secs(RUN_S);
                    self.tasks.entry(*attempt).or_insert((task.clone(), ends, false));
                }
                WorkerCommand::Stop { attempt, .. } => {
                    if let Some(t) = self.tasks.get_mut(attempt) {
                        t.2 = true;
                    }
                }
                WorkerCommand::Forget { attempt, .. } => {
                    self.tasks.remove(attempt);
                }
            }
        }
    }
}

/// A connection that is kept; opened anew when it broke.
struct Link {
    to: SocketAddr,
    stream: Option<TcpStream>,
}

impl Link {
    async fn ask(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let stream = match &mut self.stream {
            Some(stream) => stream,
            none => none.insert(TcpStream::connect(self.to).await.ok()?),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = async {
            stream.write_all(text.as_bytes()).await.ok()?;
            let mut bytes = Vec::new();
            loop {
                if stream.read_buf(&mut bytes).await.ok()? == 0 {
                    return None;
                }
                let text = String::from_utf8_lossy(&bytes);
                let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
                let head = head.to_ascii_lowercase();
                let length: usize = head.split("content-length:").nth(1)?.split("\r\n").next()?.trim().parse().ok()?;
                if body.len() >= length {
                    return Some((head.split(' ').nth(1)?.parse().ok()?, body.to_string()));
                }
            }
        };
        let answer = tokio::time::timeout(Duration::from_secs(4), answer).await.ok().flatten();
        if answer.is_none() {
            self.stream = None;
        }
        answer
    }
}

fn respond(status: u16, body: &Value) -> Response<String> {
    Response::builder().status(StatusCode::from_u16(status).unwrap()).body(body.to_string()).unwrap()
}

async fn work(shared: Arc<Mutex<Shared>>, name: String, nodes: Vec<SocketAddr>, every: f64) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let worker = Arc::new(Mutex::new(Worker {
        name,
        endpoint: listener.local_addr().unwrap(),
        token: 0,
        seq: 0,
        changed: false,
        tasks: BTreeMap::new(),
    }));
    let obeying = worker.clone();
    let routes = warp::path("commands").and(warp::body::bytes()).map(move |body: Bytes| {
        let commands: CommandBatch = serde_json::from_slice(&body).unwrap();
        let mut worker = obeying.lock().unwrap();
        let good = commands.fencing_token >= worker.token;
        worker.token = worker.token.max(commands.fencing_token);
        if good {
            worker.obey(&commands.commands);
        }
        respond(if good { 200 } else { 409 }, &worker.report())
    });
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    let mut node = 0;
    let mut link = Link { to: nodes[0], stream: None };
    let mut last = Instant::now();
    let mut pause = 0.0;
    let mut rng = SmallRng::from_os_rng();
    loop {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = Instant::now();
        let since = now.duration_since(last).as_secs_f64();
        let report = {
            let mut worker = worker.lock().unwrap();
            let ended = worker.tasks.values().any(|t| t.1 <= now && t.1 > last);
            if since < pause && !((worker.changed || ended) && since >= 0.5) {
                continue;
            }
            worker.changed = false;
            worker.report().to_string()
        };
        last = now;
        pause = every * rng.random_range(0.75..1.25);
        shared.lock().unwrap().reports += 1;
        match link.ask("POST", "/v1/report", &report).await {
            Some((200, body)) => {
                let answer: HeartbeatResponse = serde_json::from_str(&body).unwrap();
                let mut worker = worker.lock().unwrap();
                if answer.fencing_token >= worker.token {
                    worker.token = answer.fencing_token;
                    worker.obey(&answer.commands);
                }
            }
            _ => {
                node = (node + 1) % nodes.len();
                link = Link { to: nodes[node], stream: None };
                pause = 1.0;
            }
        }
    }
}

async fn serve(shared: Arc<Mutex<Shared>>, part: u8, nodes: Vec<SocketAddr>, every: f64) -> SocketAddr {
    let start = Instant::now();
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let routes = warp::method().and(warp::path::full()).and(query).and(warp::body::bytes()).map(
        move |method: Method, path: warp::path::FullPath, query: String, body: Bytes| {
            let mut held = shared.lock().unwrap();
            let now = start.elapsed().as_millis() as u64;
            let (status, answer) = match (part, path.as_str()) {
                (0, path) => held.store.handle(now, 0, &store_request(path, &query, &body)),
                (_, "/flavors") => (
                    200,
                    json!({"Builds": [{"Label": "big", "Cores": 32, "MemoryGb": 128.0, "FetchGbPerS": 1.0,
                        "Hourly": 2.0, "MarketPrice": 0.6, "BootS": 1, "Yards": ["a"]}]}),
                ),
                (_, "/hosts") if method == Method::POST => {
                    let request: ScaleOutRequest = serde_json::from_slice(&body).unwrap();
                    let n = u64::from(request.count).min(held.most - held.rented);
                    let names: Vec<String> = (held.rented + 1..=held.rented + n).map(|n| format!("m-{n:06}")).collect();
                    held.rented += n;
                    for name in &names {
                        tokio::spawn(work(shared.clone(), name.clone(), nodes.clone(), every));
                    }
                    if n > 0 { (200, json!({"Hosts": names})) } else { (503, json!({"error": "no capacity"})) }
                }
                (_, "/hosts") => (200, json!({"Hosts": []})),
                _ => (200, json!({})),
            };
            respond(status, &answer)
        },
    );
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    address
}

/// Processor time that a process has used.
fn used(child: &Child) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", child.id())).unwrap_or_default();
    Duration::from_nanos(text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0))
}

/// Memory that a process holds, in MB.
fn held(child: &Child) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

struct Nodes(Vec<Child>);

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn phase(name: &str, seconds: u64, shared: &Arc<Mutex<Shared>>, nodes: &Nodes) {
    let tally = |s: &Shared| (s.reports, s.asked);
    let before: Vec<Duration> = nodes.0.iter().map(used).collect();
    let (reports, asked) = tally(&shared.lock().unwrap());
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let (r, a) = tally(&shared.lock().unwrap());
    print!(
        "{name}: {:.0} reports/s, {:.0} requests/s;",
        (r - reports) as f64 / seconds as f64,
        (a - asked) as f64 / seconds as f64
    );
    for (child, before) in nodes.0.iter().zip(before) {
        let share = (used(child) - before).as_secs_f64() / seconds as f64;
        print!(" {:.2}% of a core, {:.1} MB;", share * 100.0, held(child));
    }
    println!();
}

fn job(id: u64, service: bool, tasks: u64) -> String {
    json!({"Ref": format!("job-{id:06}"), "Lane": "x", "Crew": "crew", "Shape": if service { "standing" } else { "batch" },
        "Rank": if service { "prod" } else { "low" }, "Pieces": tasks, "Cores": 2.0, "Cards": 0.0, "MemoryGb": 4.0,
        "Reel": format!("img-{}", id % 10), "ImageGb": 1.0, "Together": false, "Spread": false, "Loaners": true,
        "RuntimeS": if service { 0.0 } else { RUN_S as f64 }, "BookmarkS": 0.0, "StashS": 0.0})
    .to_string()
}

async fn user(shared: Arc<Mutex<Shared>>, to: SocketAddr, id: u64, service: bool, tasks: u64) {
    let mut link = Link { to, stream: None };
    loop {
        shared.lock().unwrap().asked += 1;
        if link.ask("POST", "/work", &job(id, service, tasks)).await.is_some_and(|a| a.0 < 300) {
            break;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    loop {
        tokio::time::sleep(Duration::from_secs(5)).await;
        shared.lock().unwrap().asked += 1;
        if let Some((200, body)) = link.ask("GET", &format!("/work/job-{id:06}"), "").await
            && body.contains("\"done\"")
            && body.contains("\"Status\":\"done\"")
        {
            return;
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let setting = |name: &str, or: f64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let (machines, every) = (setting("MACHINES", 246.0) as u64, setting("REPORT_S", 2.0));
    let mut state = FakeStore::default();
    (state.page, state.value_bytes) = (1000, 16 * 1024);
    let shared = Arc::new(Mutex::new(Shared { most: machines, store: state, ..Shared::default() }));
    let taken: Vec<TcpListener> = (0..4).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> = taken.iter().map(|l| l.local_addr().unwrap()).collect();
    drop(taken);
    let api = addresses[..2].to_vec();
    let state = serve(shared.clone(), 0, api.clone(), every).await;
    let cloud = serve(shared.clone(), 1, api.clone(), every).await;
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let mut nodes = Nodes(Vec::new());
    for n in 0..2 {
        let text = format!(
            "node = \"n{n}\"\napi_addr = \"{}\"\npeer_bind = \"{}\"\n[[seeds]]\nnode = \"n{}\"\naddress = \"{}\"\n\
            [external]\nstate = \"{state}\"\ncloud = \"{cloud}\"\n[deployment]\nsize = 2\n[[deployment.teams]]\n\
            name = \"crew\"\n[deployment.workers]\nreport_s = {every:?}\nlease_s = 16.0\ncancel_s = 41.0\n\
            [deployment.state]\nrps = 200.0\nwrite_rps = 20.0\nvalue_kb = 16.0\ntxn_ops = 16\n[deployment.cloud]\n\
            rps = 6.0\n[deployment.resources]\ncpu = 0.03\nmemory_mb = 37.0\nfd_limit = 3000\n",
            addresses[n],
            addresses[n + 2],
            1 - n,
            addresses[3 - n]
        );
        let file = dir.join(format!("node-{n}.toml"));
        std::fs::write(&file, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_caperstile")).arg("--config").arg(&file).spawn().unwrap();
        nodes.0.push(child);
        println!("node {n} is process {}", nodes.0[n].id());
        tokio::time::sleep(Duration::from_millis(2500)).await;
        println!("start: {:?}, {:.1} MB", used(&nodes.0[n]), held(&nodes.0[n]));
    }
    phase("at rest (leader; follower)", 5, &shared, &nodes).await;
    for id in 0..100 {
        tokio::spawn(user(shared.clone(), api[(id % 2) as usize], id + 1, true, 4));
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    phase("services only", 10, &shared, &nodes).await;
    let submitting = shared.clone();
    let nodes_of_users = api.clone();
    tokio::spawn(async move {
        for id in 1000u64.. {
            tokio::spawn(user(submitting.clone(), nodes_of_users[(id % 2) as usize], id, false, 40));
            // About as much work as the machines can do: 16 tasks each.
            let tasks_each_s = machines as f64 * 16.0 / RUN_S as f64;
            tokio::time::sleep(Duration::from_secs_f64((40.0 / tasks_each_s).max(0.1) * 1.2)).await;
        }
    });
    tokio::time::sleep(Duration::from_secs(20)).await;
    phase("batch begins", 20, &shared, &nodes).await;
    phase("batch in full", 30, &shared, &nodes).await;
}
