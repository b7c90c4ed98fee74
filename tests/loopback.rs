//! One run over loopback: the real program as three processes, against stand-ins for the state
//! service, the cloud and a worker. Waits for what must come, with a generous limit, and never
//! races a clock.

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

const LIMIT: Duration = Duration::from_secs(60);

/// A request on a connection of its own; `None` when nothing sensible comes back.
fn ask(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
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

fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        if let Some(found) = check() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{what} did not come within {LIMIT:?}");
}

#[derive(Default)]
struct StandIns {
    store: FakeStore,
    /// Attempt -> task and state of the one worker.
    tasks: BTreeMap<u64, (String, &'static str)>,
    token: u64,
    seq: u64,
    rented: bool,
    worker: Option<SocketAddr>,
}

impl StandIns {
    fn report(&mut self) -> Value {
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

    /// Services run for ever, batch tasks are done when they are looked at next.
    fn execute(&mut self, orders: &[WorkerCommand]) {
        for (_, state) in self.tasks.values_mut().filter(|(task, _)| !task.starts_with("job-000002")) {
            *state = "exited";
        }
        for order in orders {
            match order {
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

fn state_service(
    stand_ins: &mut StandIns,
    now: u64,
    method: &Method,
    path: &str,
    query: &str,
    body: &[u8],
) -> (u16, Value) {
    assert!(matches!(method, &Method::GET | &Method::POST));
    stand_ins.store.handle(now, 0, &store_request(path, query, body))
}

fn serve_stand_ins(stand_ins: &Arc<Mutex<StandIns>>) -> Vec<SocketAddr> {
    let (tell, addresses) = std::sync::mpsc::channel();
    let stand_ins = stand_ins.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let start = Instant::now();
            for part in 0..3 {
                let stand_ins = stand_ins.clone();
                let query = warp::query::raw().or(warp::any().map(String::new)).unify();
                let routes = warp::method().and(warp::path::full()).and(query).and(warp::body::bytes()).map(
                    move |method: Method, path: warp::path::FullPath, query: String, body: Bytes| {
                        let mut stand_ins = stand_ins.lock().unwrap();
                        let now = start.elapsed().as_millis() as u64;
                        let (status, answer) = match (part, path.as_str()) {
                            (0, path) => state_service(&mut stand_ins, now, &method, path, &query, &body),
                            (1, "/flavors") => (
                                200,
                                json!({"Builds": [{"Label": "small", "Cores": 8, "MemoryGb": 32.0,
                                "FetchGbPerS": 1.0, "Hourly": 0.2, "MarketPrice": 0.1, "BootS": 5, "Yards": ["a"]}]}),
                            ),
                            (1, "/hosts") if method == Method::POST => {
                                let _: ScaleOutRequest = serde_json::from_slice(&body).unwrap();
                                let fresh = !std::mem::replace(&mut stand_ins.rented, true);
                                if fresh {
                                    (200, json!({"Hosts": ["m-000001"]}))
                                } else {
                                    (503, json!({"error": "no capacity"}))
                                }
                            }
                            (1, "/hosts") => (200, json!({"Hosts": []})),
                            (1, _) => (200, json!({})),
                            (_, "/commands") => {
                                let commands: CommandBatch = serde_json::from_slice(&body).unwrap();
                                let good = commands.fencing_token >= stand_ins.token && commands.epoch == 1;
                                stand_ins.token = stand_ins.token.max(commands.fencing_token);
                                if good {
                                    stand_ins.execute(&commands.commands);
                                }
                                (if good { 200 } else { 409 }, stand_ins.report())
                            }
                            _ => (200, stand_ins.report()),
                        };
                        respond(status, &answer)
                    },
                );
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                tell.send(listener.local_addr().unwrap()).unwrap();
                tokio::spawn(warp::serve(routes).incoming(listener).run());
            }
            std::future::pending::<()>().await;
        });
    });
    (0..3).map(|_| addresses.recv().unwrap()).collect()
}

/// Processes that end with the test.
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
    let stand_ins = Arc::new(Mutex::new(StandIns::default()));
    let services = serve_stand_ins(&stand_ins);
    stand_ins.lock().unwrap().worker = Some(services[2]);

    // Addresses are taken together, so that none is handed out twice, and then released.
    let held: Vec<TcpListener> = (0..6).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> = held.iter().map(|l| l.local_addr().unwrap()).collect();
    drop(held);
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

    // The worker reports to whichever node takes its reports.
    let reporting = stand_ins.clone();
    let api: Vec<SocketAddr> = addresses[..3].to_vec();
    let reports_to = api.clone();
    std::thread::spawn(move || {
        let mut node = 0;
        loop {
            std::thread::sleep(Duration::from_millis(100));
            if !reporting.lock().unwrap().rented {
                continue;
            }
            let report = reporting.lock().unwrap().report().to_string();
            match ask(reports_to[node], "POST", "/v1/report", &report) {
                Some((200, body)) => {
                    let answer: HeartbeatResponse = serde_json::from_str(&body).unwrap();
                    let mut stand_ins = reporting.lock().unwrap();
                    if answer.fencing_token >= stand_ins.token {
                        stand_ins.token = answer.fencing_token;
                        stand_ins.execute(&answer.commands);
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
        let (code, body) = ask(api[node], "GET", &format!("/work/{id}"), "")?;
        (code == 200).then(|| serde_json::from_str::<Value>(&body).unwrap()["Status"].as_str().unwrap().to_string())
    };
    for node in &api {
        until("a healthy node", || ask(*node, "GET", "/up", "").filter(|a| a.0 == 200));
    }
    // Any node takes requests: followers forward them.
    until("an accepted job", || ask(api[0], "POST", "/work", &job("job-000001", "batch", 1.0)).filter(|a| a.0 == 201));
    until("an accepted service", || {
        ask(api[1], "POST", "/work", &job("job-000002", "standing", 0.0)).filter(|a| a.0 < 202)
    });
    for node in 0..3 {
        until("a finished job", || status(node, "job-000001").filter(|s| s == "done"));
        until("a running service", || status(node, "job-000002").filter(|s| s == "running"));
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
        let answer = until("an answer", || ask(api[2], method, path, body));
        assert_eq!(answer.0, expected, "{method} {path}: {}", answer.1);
    }

    // The leader is killed: the service stays as it was, and another node answers for it.
    // All three are of this version, so the leader key has moved, and what is left under its old name is no holder.
    until("a moved key", || stand_ins.lock().unwrap().store.keys.contains_key("leader-2").then_some(()));
    assert_eq!(stand_ins.lock().unwrap().store.keys["leader"].0, json!({"moved_to": "leader-2"}));
    let key = stand_ins.lock().unwrap().store.keys["leader-2"].0["node"].as_str().unwrap().to_string();
    let leader: usize = key.strip_prefix("kraal-").unwrap().parse().unwrap();
    let mut child = nodes.0[leader].take().unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    let node = (leader + 1) % 3;
    until("an answer of the next leader", || status(node, "job-000002").filter(|s| s == "running"));
    until("the final state", || status(node, "job-000001").filter(|s| s == "done"));
    let attempts = stand_ins.lock().unwrap().tasks.values().filter(|t| t.0.starts_with("job-000002")).count();
    assert_eq!(attempts, 2, "the service's replicas were not started again");
    until("a cancelled service", || ask(api[node], "POST", "/work/job-000002/withdraw", "").filter(|a| a.0 == 200));
    until("an empty worker", || {
        let stand_ins = stand_ins.lock().unwrap();
        stand_ins.tasks.values().all(|t| t.1 == "exited").then_some(())
    });
    until("the final state", || status(node, "job-000002").filter(|s| s == "aborted"));
}
