//! Runs the actual program as three processes over loopback, against fakes of the state service, the cloud and a
//! worker. The test polls for each expected condition with a generous timeout, so that it does not depend on timing.

mod support;

use bytes::Bytes;
use caperstile::wire::{CommandBatch, HeartbeatResponse, ScaleOutRequest, WorkerCommand};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{FakeStore, store_request};
use warp::Filter;
use warp::http::{Method, Response, StatusCode};

const TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a request on a connection of its own. Returns the status and body of the response, or `None` without a
/// well-formed response.
fn send_request(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n")?.1;
    Some((status, body.to_string()))
}

fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if let Some(found) = check() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{what}: not seen within {TIMEOUT:?}");
}

#[derive(Default)]
struct Fakes {
    store: FakeStore,
    /// Tasks of the only worker: attempt number, and the task's name and state.
    tasks: BTreeMap<u64, (String, &'static str)>,
    token: u64,
    seq: u64,
    provisioned: bool,
    worker: Option<SocketAddr>,
}

impl Fakes {
    fn heartbeat(&mut self) -> Value {
        self.seq += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(attempt, (task, state))| {
                let cause = if *state == "exited" { json!("done") } else { Value::Null };
                json!({"Piece": task, "Try": attempt, "Status": state, "Cause": cause})
            })
            .collect();
        json!({"Host": "m-000001", "Endpoint": self.worker.map(|a| a.to_string()), "Build": "small", "Yard": "a",
            "Loaners": false, "Shift": 1, "Tally": self.seq, "Baton": self.token, "RecallS": null, "Pieces": tasks})
    }

    /// Executes the commands. Before that, batch tasks that were running become done; services run for ever.
    fn execute(&mut self, commands: &[WorkerCommand]) {
        for (_, state) in self.tasks.values_mut().filter(|(task, _)| !task.starts_with("job-000002")) {
            *state = "exited";
        }
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    self.tasks.entry(*attempt).or_insert((task.clone(), "running"));
                }
                WorkerCommand::Stop { attempt, .. } => {
                    if let Some(t) = self.tasks.get_mut(attempt) {
                        t.1 = "exited";
                    }
                }
                WorkerCommand::Forget { attempt, .. } => {
                    self.tasks.remove(attempt);
                }
            }
        }
    }
}

fn respond(status: u16, body: &Value) -> Response<String> {
    let status = StatusCode::from_u16(status).unwrap();
    Response::builder().status(status).body(body.to_string()).unwrap()
}

fn state_service(fakes: &mut Fakes, now: u64, method: &Method, path: &str, query: &str, body: &[u8]) -> (u16, Value) {
    assert!(matches!(method, &Method::GET | &Method::POST));
    fakes.store.handle(now, 0, &store_request(path, query, body))
}

fn serve_fakes(fakes: &Arc<Mutex<Fakes>>) -> Vec<SocketAddr> {
    let (send_address, addresses) = std::sync::mpsc::channel();
    let fakes = fakes.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let start = Instant::now();
            for service in 0..3 {
                let fakes = fakes.clone();
                let query = warp::query::raw().or(warp::any().map(String::new)).unify();
                let routes = warp::method().and(warp::path::full()).and(query).and(warp::body::bytes()).map(
                    move |method: Method, path: warp::path::FullPath, query: String, body: Bytes| {
                        let mut fakes = fakes.lock().unwrap();
                        let now = start.elapsed().as_millis() as u64;
                        let (status, response) = match (service, path.as_str()) {
                            (0, path) => state_service(&mut fakes, now, &method, path, &query, &body),
                            (1, "/flavors") => (
                                200,
                                json!({"Builds": [{"Label": "small", "Cores": 8, "MemoryGb": 32.0,
                                "FetchGbPerS": 1.0, "Hourly": 0.2, "MarketPrice": 0.1, "BootS": 5, "Yards": ["a"]}]}),
                            ),
                            (1, "/hosts") if method == Method::POST => {
                                let _: ScaleOutRequest = serde_json::from_slice(&body).unwrap();
                                let first_request = !std::mem::replace(&mut fakes.provisioned, true);
                                if first_request {
                                    (200, json!({"Hosts": ["m-000001"]}))
                                } else {
                                    (503, json!({"error": "no capacity"}))
                                }
                            }
                            (1, "/hosts") => (200, json!({"Hosts": []})),
                            (1, _) => (200, json!({})),
                            (_, "/commands") => {
                                let commands: CommandBatch = serde_json::from_slice(&body).unwrap();
                                let accepted = commands.fencing_token >= fakes.token && commands.epoch == 1;
                                fakes.token = fakes.token.max(commands.fencing_token);
                                if accepted {
                                    fakes.execute(&commands.commands);
                                }
                                (if accepted { 200 } else { 409 }, fakes.heartbeat())
                            }
                            _ => (200, fakes.heartbeat()),
                        };
                        respond(status, &response)
                    },
                );
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                send_address.send(listener.local_addr().unwrap()).unwrap();
                tokio::spawn(warp::serve(routes).incoming(listener).run());
            }
            std::future::pending::<()>().await;
        });
    });
    (0..3).map(|_| addresses.recv().unwrap()).collect()
}

/// Child processes that are killed at the end of the test.
struct Nodes(Vec<Option<Child>>);

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in self.0.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

#[test]
fn three_processes_accept_run_cancel_and_survive_a_leader() {
    let fakes = Arc::new(Mutex::new(Fakes::default()));
    let services = serve_fakes(&fakes);
    fakes.lock().unwrap().worker = Some(services[2]);

    // All listeners are open at the same time, so that no port is assigned twice, and are then closed for the nodes.
    let listeners: Vec<TcpListener> = (0..6).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    drop(listeners);
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let mut nodes = Nodes(Vec::new());
    for n in 0..3 {
        let mut text = format!(
            "node = \"kraal-{n}\"\napi_addr = \"{}\"\npeer_bind = \"{}\"\n[external]\nstate = \"{}\"\ncloud = \"{}\"\n",
            addresses[n],
            addresses[n + 3],
            services[0],
            services[1]
        );
        text += "[deployment]\nsize = 3\n[[deployment.teams]]\nname = \"crew\"\n[deployment.workers]\nreport_s = 0.5\n\
            lease_s = 16.0\ncancel_s = 41.0\n[deployment.state]\nrps = 200.0\nwrite_rps = 20.0\nvalue_kb = 1.0\n\
            txn_ops = 16\n[deployment.cloud]\nrps = 6.0\n[deployment.resources]\nmemory_mb = 56.0\n";
        for other in (0..3).filter(|o| *o != n) {
            text += &format!("[[seeds]]\nnode = \"kraal-{other}\"\naddress = \"{}\"\n", addresses[other + 3]);
        }
        let file = dir.join(format!("loopback-{n}.toml"));
        std::fs::write(&file, text).unwrap();
        let program = env!("CARGO_BIN_EXE_caperstile");
        assert!(Command::new(program).arg("check").arg(&file).stdout(Stdio::null()).status().unwrap().success());
        let child = Command::new(program).arg("--config").arg(&file).env("LOG_LEVEL", "error").spawn().unwrap();
        nodes.0.push(Some(child));
    }

    // The worker sends its heartbeats to a node until that node does not accept them, and then to the next one.
    let worker_fakes = fakes.clone();
    let api: Vec<SocketAddr> = addresses[..3].to_vec();
    let heartbeats_to = api.clone();
    std::thread::spawn(move || {
        let mut node = 0;
        loop {
            std::thread::sleep(Duration::from_millis(100));
            if !worker_fakes.lock().unwrap().provisioned {
                continue;
            }
            let heartbeat = worker_fakes.lock().unwrap().heartbeat().to_string();
            match send_request(heartbeats_to[node], "POST", "/v1/report", &heartbeat) {
                Some((200, body)) => {
                    let response: HeartbeatResponse = serde_json::from_str(&body).unwrap();
                    let mut fakes = worker_fakes.lock().unwrap();
                    if response.fencing_token >= fakes.token {
                        fakes.token = response.fencing_token;
                        fakes.execute(&response.commands);
                    }
                }
                _ => node = (node + 1) % 3,
            }
        }
    });

    let job = |id: &str, shape: &str, run: f64| {
        json!({"Ref": id, "Lane": "x", "Crew": "crew", "Shape": shape, "Rank": "prod", "Pieces": 2, "Cores": 1.0, "Cards": 0.0,
            "MemoryGb": 1.0, "Reel": "img", "ImageGb": 0.5, "Together": false, "Spread": false, "Loaners": false,
            "RuntimeS": run, "BookmarkS": 0, "StashS": 0})
        .to_string()
    };
    let status = |node: usize, id: &str| {
        let (code, body) = send_request(api[node], "GET", &format!("/work/{id}"), "")?;
        (code == 200).then(|| serde_json::from_str::<Value>(&body).unwrap()["Status"].as_str().unwrap().to_string())
    };
    for node in &api {
        wait_for("a healthy node", || send_request(*node, "GET", "/up", "").filter(|a| a.0 == 200));
    }
    // Any node accepts requests: followers forward them to the leader.
    wait_for("an accepted job", || {
        send_request(api[0], "POST", "/work", &job("job-000001", "batch", 1.0)).filter(|a| a.0 == 201)
    });
    wait_for("an accepted service", || {
        send_request(api[1], "POST", "/work", &job("job-000002", "standing", 0.0)).filter(|a| a.0 < 202)
    });
    for node in 0..3 {
        wait_for("a finished job", || status(node, "job-000001").filter(|s| s == "done"));
        wait_for("a running service", || status(node, "job-000002").filter(|s| s == "running"));
    }
    for (method, path, body, expected) in [
        ("POST", "/work", "{", 400),
        ("POST", "/work", "[]", 400),
        ("POST", "/work", &*"x".repeat(70_000), 413),
        ("POST", "/v1/report", "{}", 400),
        ("GET", "/work/job-9", "", 404),
        ("GET", "/work/job-000009", "", 404),
        ("POST", "/work/job-9/withdraw", "", 400),
        ("POST", "/work/job-000009/withdraw", "", 404),
        ("DELETE", "/work", "", 405),
        ("GET", "/nothing", "", 404),
    ] {
        let response = wait_for("a response", || send_request(api[2], method, path, body));
        assert_eq!(response.0, expected, "{method} {path}: {}", response.1);
    }

    // The leader is killed: the service keeps running, and another node answers requests about it. All three nodes are
    // of this version, so the leader key was relocated, and the value under its former name has no holder.
    wait_for("a relocated leader key", || fakes.lock().unwrap().store.keys.contains_key("leader-2").then_some(()));
    assert_eq!(fakes.lock().unwrap().store.keys["leader"].0, json!({"moved_to": "leader-2"}));
    let key = fakes.lock().unwrap().store.keys["leader-2"].0["node"].as_str().unwrap().to_string();
    let leader: usize = key.strip_prefix("kraal-").unwrap().parse().unwrap();
    let mut child = nodes.0[leader].take().unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    let node = (leader + 1) % 3;
    wait_for("a response of the next leader", || status(node, "job-000002").filter(|s| s == "running"));
    wait_for("the final state", || status(node, "job-000001").filter(|s| s == "done"));
    let attempts = fakes.lock().unwrap().tasks.values().filter(|t| t.0.starts_with("job-000002")).count();
    assert_eq!(attempts, 2, "the service's replicas were started again");
    wait_for("a cancelled service", || {
        send_request(api[node], "POST", "/work/job-000002/withdraw", "").filter(|a| a.0 == 200)
    });
    wait_for("a worker without running tasks", || {
        let fakes = fakes.lock().unwrap();
        fakes.tasks.values().all(|t| t.1 == "exited").then_some(())
    });
    wait_for("the final state", || status(node, "job-000002").filter(|s| s == "aborted"));
}
