//! Measures the CPU time and memory of the real program under load, over loopback, with fakes of the cloud, the state
//! service and the workers.
//!
//! Two nodes run through these phases: the start; a leader and a follower without jobs; a leader whose machines run
//! only services; and a leader whose machines run batch tasks while users submit jobs and query them. The environment
//! variables `MACHINES` (default 246) and `REPORT_S` (the heartbeat interval, default 2 s) set the load. It runs on
//! Linux only, because CPU time and memory are read from `/proc`. `cargo bench --bench node` prints a line for each
//! phase and asserts no limits.

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

/// Run time of a batch task, in seconds.
const RUN_S: u64 = 30;

/// State of the fakes and counters of the load, shared by all tasks of the benchmark.
#[derive(Default)]
struct Shared {
    store: FakeStore,
    provisioned: u64,
    max_machines: u64,
    heartbeats: u64,
    user_requests: u64,
}

/// A simulated worker. Its tasks are keyed by attempt; each has its name, the time at which it ends, and whether it was
/// stopped.
struct Worker {
    name: String,
    endpoint: SocketAddr,
    token: u64,
    sequence: u64,
    tasks_changed: bool,
    tasks: BTreeMap<u64, (String, Instant, bool)>,
}

impl Worker {
    fn heartbeat(&mut self) -> Value {
        self.sequence += 1;
        let now = Instant::now();
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(attempt, (task, ends_at, stopped))| match (stopped, now >= *ends_at) {
                (true, _) => json!({"Piece": task, "Try": attempt, "Status": "exited", "Cause": "halted"}),
                (_, true) => json!({"Piece": task, "Try": attempt, "Status": "exited", "Cause": "done"}),
                _ => json!({"Piece": task, "Try": attempt, "Status": "running"}),
            })
            .collect();
        json!({"Host": self.name, "Endpoint": self.endpoint.to_string(), "Build": "big", "Yard": "a", "Loaners": true,
            "Shift": 1, "Tally": self.sequence, "Baton": self.token, "RecallS": null, "Pieces": tasks})
    }

    fn execute(&mut self, commands: &[WorkerCommand]) {
        self.tasks_changed |= !commands.is_empty();
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    let ends_at = Instant::now() + Duration::from_secs(RUN_S);
                    self.tasks.entry(*attempt).or_insert((task.clone(), ends_at, false));
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

/// An HTTP client with one persistent connection, which is reopened for the next request after an error or a timeout of
/// 4 s.
struct HttpClient {
    server: SocketAddr,
    stream: Option<TcpStream>,
}

impl HttpClient {
    async fn request(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let stream = match &mut self.stream {
            Some(stream) => stream,
            closed => closed.insert(TcpStream::connect(self.server).await.ok()?),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let response = async {
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
        let response = tokio::time::timeout(Duration::from_secs(4), response).await.ok().flatten();
        if response.is_none() {
            self.stream = None;
        }
        response
    }
}

fn respond(status: u16, body: &Value) -> Response<String> {
    Response::builder().status(StatusCode::from_u16(status).unwrap()).body(body.to_string()).unwrap()
}

/// Runs a worker: executes the leader's commands and sends a heartbeat at the interval with a jitter of 25%, or as soon
/// as 0.5 s after the last one when a task has changed. After a failed heartbeat it tries the other node, 1 s later.
async fn run_worker(shared: Arc<Mutex<Shared>>, name: String, nodes: Vec<SocketAddr>, heartbeat_interval_s: f64) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let worker = Arc::new(Mutex::new(Worker {
        name,
        endpoint: listener.local_addr().unwrap(),
        token: 0,
        sequence: 0,
        tasks_changed: false,
        tasks: BTreeMap::new(),
    }));
    let commanded_worker = worker.clone();
    let routes = warp::path("commands").and(warp::body::bytes()).map(move |body: Bytes| {
        let commands: CommandBatch = serde_json::from_slice(&body).unwrap();
        let mut worker = commanded_worker.lock().unwrap();
        let is_current = commands.fencing_token >= worker.token;
        worker.token = worker.token.max(commands.fencing_token);
        if is_current {
            worker.execute(&commands.commands);
        }
        respond(if is_current { 200 } else { 409 }, &worker.heartbeat())
    });
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    let mut node = 0;
    let mut client = HttpClient { server: nodes[0], stream: None };
    let mut last_heartbeat_at = Instant::now();
    let mut wait_s = 0.0;
    let mut rng = SmallRng::from_os_rng();
    loop {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = Instant::now();
        let elapsed_s = now.duration_since(last_heartbeat_at).as_secs_f64();
        let heartbeat = {
            let mut worker = worker.lock().unwrap();
            let ended = worker.tasks.values().any(|t| t.1 <= now && t.1 > last_heartbeat_at);
            if elapsed_s < wait_s && !((worker.tasks_changed || ended) && elapsed_s >= 0.5) {
                continue;
            }
            worker.tasks_changed = false;
            worker.heartbeat().to_string()
        };
        last_heartbeat_at = now;
        wait_s = heartbeat_interval_s * rng.random_range(0.75..1.25);
        shared.lock().unwrap().heartbeats += 1;
        match client.request("POST", "/v1/report", &heartbeat).await {
            Some((200, body)) => {
                let response: HeartbeatResponse = serde_json::from_str(&body).unwrap();
                let mut worker = worker.lock().unwrap();
                if response.fencing_token >= worker.token {
                    worker.token = response.fencing_token;
                    worker.execute(&response.commands);
                }
            }
            _ => {
                node = (node + 1) % nodes.len();
                client = HttpClient { server: nodes[node], stream: None };
                wait_s = 1.0;
            }
        }
    }
}

/// Serves the fake state service (`service` 0) or the fake cloud (`service` 1), and returns its address.
async fn serve_fake(
    shared: Arc<Mutex<Shared>>,
    service: u8,
    nodes: Vec<SocketAddr>,
    heartbeat_interval_s: f64,
) -> SocketAddr {
    let start = Instant::now();
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let routes = warp::method().and(warp::path::full()).and(query).and(warp::body::bytes()).map(
        move |method: Method, path: warp::path::FullPath, query: String, body: Bytes| {
            let mut state = shared.lock().unwrap();
            let now = start.elapsed().as_millis() as u64;
            let (status, response) = match (service, path.as_str()) {
                (0, path) => state.store.handle(now, 0, &store_request(path, &query, &body)),
                (_, "/flavors") => (
                    200,
                    json!({"Builds": [{"Label": "big", "Cores": 32, "MemoryGb": 128.0, "FetchGbPerS": 1.0,
                        "Hourly": 2.0, "MarketPrice": 0.6, "BootS": 1, "Yards": ["a"]}]}),
                ),
                (_, "/hosts") if method == Method::POST => {
                    let request: ScaleOutRequest = serde_json::from_slice(&body).unwrap();
                    let n = u64::from(request.count).min(state.max_machines - state.provisioned);
                    let names: Vec<String> =
                        (state.provisioned + 1..=state.provisioned + n).map(|n| format!("m-{n:06}")).collect();
                    state.provisioned += n;
                    for name in &names {
                        tokio::spawn(run_worker(shared.clone(), name.clone(), nodes.clone(), heartbeat_interval_s));
                    }
                    if n > 0 { (200, json!({"Hosts": names})) } else { (503, json!({"error": "no capacity"})) }
                }
                (_, "/hosts") => (200, json!({"Hosts": []})),
                _ => (200, json!({})),
            };
            respond(status, &response)
        },
    );
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    address
}

/// Returns the CPU time that a process has used so far.
fn cpu_time(child: &Child) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", child.id())).unwrap_or_default();
    Duration::from_nanos(text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0))
}

/// Returns the resident memory of a process, in MB.
fn resident_memory_mb(child: &Child) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

/// The processes of the nodes, which are killed on drop.
struct Nodes(Vec<Child>);

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Measures for `seconds` and prints the rates of the load, and for each node its mean CPU use and its memory at the
/// end.
async fn measure_phase(name: &str, seconds: u64, shared: &Arc<Mutex<Shared>>, nodes: &Nodes) {
    let counters = |s: &Shared| (s.heartbeats, s.user_requests);
    let before: Vec<Duration> = nodes.0.iter().map(cpu_time).collect();
    let (heartbeats, user_requests) = counters(&shared.lock().unwrap());
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let (heartbeats_after, user_requests_after) = counters(&shared.lock().unwrap());
    print!(
        "{name}: {:.0} heartbeats/s, {:.0} user requests/s;",
        (heartbeats_after - heartbeats) as f64 / seconds as f64,
        (user_requests_after - user_requests) as f64 / seconds as f64
    );
    for (child, before) in nodes.0.iter().zip(before) {
        let share = (cpu_time(child) - before).as_secs_f64() / seconds as f64;
        print!(" {:.2}% of a core, {:.1} MB;", share * 100.0, resident_memory_mb(child));
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

/// Submits a job, retrying until it is accepted, and then polls its status every 5 s until it is done.
async fn run_user(shared: Arc<Mutex<Shared>>, server: SocketAddr, id: u64, service: bool, tasks: u64) {
    let mut client = HttpClient { server, stream: None };
    loop {
        shared.lock().unwrap().user_requests += 1;
        if client.request("POST", "/work", &job(id, service, tasks)).await.is_some_and(|response| response.0 < 300) {
            break;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    loop {
        tokio::time::sleep(Duration::from_secs(5)).await;
        shared.lock().unwrap().user_requests += 1;
        if let Some((200, body)) = client.request("GET", &format!("/work/job-{id:06}"), "").await
            && body.contains("\"done\"")
            && body.contains("\"Status\":\"done\"")
        {
            return;
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let env_setting =
        |name: &str, default: f64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let (machines, heartbeat_interval_s) = (env_setting("MACHINES", 246.0) as u64, env_setting("REPORT_S", 2.0));
    let mut state = FakeStore::default();
    (state.page, state.value_bytes) = (1000, 16 * 1024);
    let shared = Arc::new(Mutex::new(Shared { max_machines: machines, store: state, ..Shared::default() }));
    let reserved_listeners: Vec<TcpListener> = (0..4).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> = reserved_listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    drop(reserved_listeners);
    let api = addresses[..2].to_vec();
    let state = serve_fake(shared.clone(), 0, api.clone(), heartbeat_interval_s).await;
    let cloud = serve_fake(shared.clone(), 1, api.clone(), heartbeat_interval_s).await;
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let mut nodes = Nodes(Vec::new());
    for n in 0..2 {
        let text = format!(
            "node = \"n{n}\"\napi_addr = \"{}\"\npeer_bind = \"{}\"\n[[seeds]]\nnode = \"n{}\"\naddress = \"{}\"\n\
            [external]\nstate = \"{state}\"\ncloud = \"{cloud}\"\n[deployment]\nsize = 2\n[[deployment.teams]]\n\
            name = \"crew\"\n[deployment.workers]\nreport_s = {heartbeat_interval_s:?}\nlease_s = 16.0\ncancel_s = 41.0\n\
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
        println!("node {n}: process {}", nodes.0[n].id());
        tokio::time::sleep(Duration::from_millis(2500)).await;
        println!("start: {:?}, {:.1} MB", cpu_time(&nodes.0[n]), resident_memory_mb(&nodes.0[n]));
    }
    measure_phase("no jobs (leader; follower)", 5, &shared, &nodes).await;
    for id in 0..100 {
        tokio::spawn(run_user(shared.clone(), api[(id % 2) as usize], id + 1, true, 4));
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    measure_phase("services only", 10, &shared, &nodes).await;
    let submitter_state = shared.clone();
    let submitter_nodes = api.clone();
    tokio::spawn(async move {
        for id in 1000u64.. {
            tokio::spawn(run_user(submitter_state.clone(), submitter_nodes[(id % 2) as usize], id, false, 40));
            // A machine runs 16 tasks at a time. The factor 1.2 keeps the offered load slightly below the capacity of
            // all machines.
            let tasks_each_s = machines as f64 * 16.0 / RUN_S as f64;
            tokio::time::sleep(Duration::from_secs_f64((40.0 / tasks_each_s).max(0.1) * 1.2)).await;
        }
    });
    tokio::time::sleep(Duration::from_secs(20)).await;
    measure_phase("batch load starts", 20, &shared, &nodes).await;
    measure_phase("batch load sustained", 30, &shared, &nodes).await;
}
