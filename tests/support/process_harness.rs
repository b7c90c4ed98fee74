//! Real processes on loopback: controllers, and stand-ins for the state service, the cloud and the workers, which record from their
//! side what was stopped by command and does not run again yet.

use super::{FakeStore, store_request};
use caperstile::wire::{CommandBatch, HeartbeatResponse, ScaleOutRequest, WorkerCommand};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Controllers.
pub const CONTROLLERS: usize = 3;
const REPORT_EVERY: Duration = Duration::from_millis(250);
const LEASE_MS: u64 = 8000;
const FETCH_MS: u64 = 150;

/// A job as the stand-ins run it.
#[derive(Debug, Clone)]
pub struct JobProfile {
    pub class: &'static str,
    pub shape: &'static str,
    pub tasks: u32,
    pub run_ms: u64,
}

#[derive(Debug)]
struct Task {
    state: &'static str,
    cause: Option<&'static str>,
    since: u64,
}

#[derive(Debug)]
struct Machine {
    zone: String,
    spot: bool,
    boots_at: u64,
    endpoint: SocketAddr,
    token: u64,
    epoch: u64,
    sequence: u64,
    renewed: u64,
    /// Reaches nobody, nor is it reached.
    cut: bool,
    /// By attempt and name.
    tasks: BTreeMap<(u64, String), Task>,
}

/// What the stand-ins know and record.
#[derive(Default)]
pub struct FakeServices {
    store: FakeStore,
    pub jobs: BTreeMap<String, JobProfile>,
    machines: BTreeMap<u64, Machine>,
    rented: u64,
    /// Machines that the cloud has, if they are few.
    pub max_machines: Option<usize>,
    finished: BTreeSet<String>,
    out: BTreeMap<String, &'static str>,
    /// Most that was out at once, by class.
    pub peak_unavailable: BTreeMap<&'static str, usize>,
    pub evictions: BTreeMap<&'static str, usize>,
    /// Tasks that ran on two machines at once, and other broken promises.
    pub violations: Vec<String>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl FakeServices {
    fn runs(&self, task: &str) -> usize {
        let on = |m: &Machine| m.tasks.iter().filter(|((_, name), t)| name == task && t.state == "running").count();
        self.machines.values().map(on).sum()
    }

    /// Tasks of a job that run.
    pub fn running_tasks(&self, job: &str) -> usize {
        let tasks = self.machines.values().flat_map(|m| &m.tasks);
        tasks.filter(|((_, name), t)| job_of(name) == job && t.state == "running").count()
    }

    fn machines_left(&self) -> usize {
        self.max_machines.map_or(u32::MAX as usize, |most| most.saturating_sub(self.machines.len()))
    }

    /// Machines that are up.
    pub fn machine_ids(&self) -> Vec<u64> {
        self.machines.keys().copied().collect()
    }

    /// Cuts a machine off, or ends its cut.
    pub fn set_partitioned(&mut self, machine: u64, cut: bool) {
        if let Some(m) = self.machines.get_mut(&machine) {
            m.cut = cut;
        }
    }

    /// The node that holds the leader key.
    pub fn leader(&self) -> Option<usize> {
        let held = self.store.keys.get("leader-2").or_else(|| self.store.keys.get("leader"))?;
        held.0["node"].as_str()?.strip_prefix("kraal-")?.parse().ok()
    }

    fn starts(&mut self, task: &str) {
        self.out.remove(task);
        if self.runs(task) > 1 {
            self.violations.push(format!("{task} runs twice"));
        }
    }

    fn evicted(&mut self, task: &str) {
        let Some(load) = self.jobs.get(job_of(task)) else { return };
        *self.evictions.entry(load.class).or_default() += 1;
        self.out.insert(task.to_string(), load.class);
        let out = self.out.values().filter(|class| **class == load.class).count();
        let highest = self.peak_unavailable.entry(load.class).or_default();
        *highest = (*highest).max(out);
    }

    /// What happens on a machine as time passes: its lease, fetches, gangs that are complete, tasks that end.
    fn advance(&mut self, id: u64, now: u64) {
        let Some(m) = self.machines.get_mut(&id) else { return };
        if now >= m.renewed + LEASE_MS {
            m.tasks.clear();
            (m.epoch, m.sequence, m.renewed) = (m.epoch + 1, 0, now);
        }
        let due: Vec<(u64, String)> = m.tasks.keys().cloned().collect();
        for key in due {
            let load = self.jobs[job_of(&key.1)].clone();
            let Some(task) = self.machines.get_mut(&id).and_then(|m| m.tasks.get_mut(&key)) else { continue };
            match task.state {
                "fetching" if now >= task.since + FETCH_MS => {
                    (task.state, task.since) = (if load.shape == "group" { "gathering" } else { "running" }, now);
                    if load.shape != "group" {
                        self.starts(&key.1);
                    }
                }
                "running" if load.shape != "standing" && now >= task.since + load.run_ms => {
                    (task.state, task.cause) = ("exited", Some("done"));
                    self.finished.insert(key.1);
                }
                "gathering" => self.gather(&key, &load, now),
                _ => {}
            }
        }
    }

    /// A gang's tasks start together once all have their image.
    fn gather(&mut self, key: &(u64, String), load: &JobProfile, now: u64) {
        let mut tasks: Vec<(&String, &mut Task)> = Vec::new();
        for m in self.machines.values_mut() {
            let of_attempt = |(k, t): &(&(u64, String), &mut Task)| {
                k.0 == key.0 && job_of(&k.1) == job_of(&key.1) && t.state == "gathering"
            };
            tasks.extend(m.tasks.iter_mut().filter(of_attempt).map(|(k, t)| (&k.1, t)));
        }
        if tasks.len() == load.tasks as usize {
            let started: Vec<String> = tasks
                .into_iter()
                .map(|(name, task)| {
                    (task.state, task.since) = ("running", now);
                    name.clone()
                })
                .collect();
            started.iter().for_each(|task| self.starts(task));
        }
    }

    fn execute(&mut self, id: u64, orders: &[WorkerCommand], now: u64) {
        for order in orders {
            let Some(m) = self.machines.get_mut(&id) else { return };
            match order {
                WorkerCommand::Start { task, attempt } => {
                    let known = m.tasks.keys().any(|(_, name)| name == task);
                    let key = (*attempt, task.clone());
                    let (state, cause) = if known { ("exited", Some("in_use")) } else { ("fetching", None) };
                    m.tasks.entry(key).or_insert(Task { state, cause, since: now });
                }
                WorkerCommand::Stop { task, attempt, .. } => {
                    let Some(t) = m.tasks.get_mut(&(*attempt, task.clone())) else { continue };
                    let ran = t.state == "running";
                    if t.state != "exited" {
                        (t.state, t.cause) = ("exited", Some("halted"));
                    }
                    if ran {
                        self.evicted(task);
                    }
                }
                WorkerCommand::Forget { task, attempt } => drop(m.tasks.remove(&(*attempt, task.clone()))),
            }
        }
    }

    fn report(&mut self, id: u64) -> Option<Value> {
        let m = self.machines.get_mut(&id)?;
        m.sequence += 1;
        let tasks: Vec<Value> = m
            .tasks
            .iter()
            .map(|((attempt, task), t)| json!({"Piece": task, "Try": attempt, "Status": t.state, "Cause": t.cause, "Kept": true}))
            .collect();
        Some(json!({"Host": format!("m-{id:06}"), "Endpoint": m.endpoint.to_string(), "Build": "small", "Yard": m.zone,
            "Loaners": m.spot, "Shift": m.epoch, "Tally": m.sequence, "Baton": m.token, "RecallS": null, "Pieces": tasks}))
    }

    fn commanded(&mut self, id: u64, body: &[u8], now: u64) -> Option<(u16, Value)> {
        let commands: CommandBatch = serde_json::from_slice(body).ok()?;
        let m = self.machines.get_mut(&id).filter(|m| !m.cut)?;
        let good = commands.fencing_token >= m.token && commands.epoch == m.epoch;
        m.token = m.token.max(commands.fencing_token);
        if good {
            self.execute(id, &commands.commands, now);
        }
        Some((if good { 200 } else { 409 }, self.report(id)?))
    }
}

/// One running deployment.
pub struct ProcessHarness {
    pub fake_services: Arc<Mutex<FakeServices>>,
    begin: Instant,
    api: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
    files: Vec<PathBuf>,
    operators: PathBuf,
}

/// Reads one request; method, path with query, and body.
fn read_request(stream: &mut TcpStream) -> Option<(String, String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut part = [0u8; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_string();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            });
            let all = end + 4 + length.unwrap_or(0);
            if bytes.len() >= all {
                let mut words = head.split(' ');
                return Some((words.next()?.into(), words.next()?.into(), bytes[end + 4..all].to_vec()));
            }
        }
        let read = stream.read(&mut part).ok().filter(|n| *n > 0)?;
        bytes.extend(&part[..read]);
    }
}

/// Serves requests, each connection on a thread of its own; no answer closes the connection.
fn serve(listener: TcpListener, answer: impl Fn(&str, &str, &[u8]) -> Option<(u16, Value)> + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                while let Some((method, path, body)) = read_request(&mut stream) {
                    let Some((status, body)) = answer(&method, &path, &body) else { return };
                    let body = body.to_string();
                    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A request on a connection of its own.
pub fn ask(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n")?.1.to_string()))
}

impl ProcessHarness {
    /// Starts everything; `operators` is the operators' file.
    pub fn start(name: &str, operators: &str) -> ProcessHarness {
        let fake_services = Arc::new(Mutex::new(FakeServices::default()));
        let begin = Instant::now();
        let ((state_listener, state), (cloud_listener, cloud)) = (listen(), listen());
        // Addresses are taken together, so that none is handed out twice, and then released.
        let held: Vec<(TcpListener, SocketAddr)> = (0..2 * CONTROLLERS).map(|_| listen()).collect();
        let addresses: Vec<SocketAddr> = held.iter().map(|(_, address)| *address).collect();
        drop(held);
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let operators_file = dir.join(format!("{name}.ini"));
        std::fs::write(&operators_file, operators).expect("a file");
        let files = (0..CONTROLLERS).map(|n| dir.join(format!("{name}-{n}.toml"))).collect();
        let mut harness = ProcessHarness {
            fake_services,
            begin,
            api: addresses[..CONTROLLERS].to_vec(),
            children: (0..CONTROLLERS).map(|_| None).collect(),
            files,
            operators: operators_file,
        };
        harness.fake_services().store.value_bytes = 8 * 1024;
        harness.serve_state(state_listener);
        harness.serve_cloud(cloud_listener);
        for node in 0..CONTROLLERS {
            harness.write_settings(node, &addresses, state, cloud);
            harness.start_node(node);
        }
        harness
    }

    pub fn fake_services(&self) -> MutexGuard<'_, FakeServices> {
        self.fake_services.lock().expect("no thread panics with it")
    }

    fn write_settings(&self, node: usize, addresses: &[SocketAddr], state: SocketAddr, cloud: SocketAddr) {
        let mut text = format!(
            "node = \"kraal-{node}\"\napi_addr = \"{}\"\npeer_bind = \"{}\"\n[external]\nstate = \"{state}\"\n\
            cloud = \"{cloud}\"\n[deployment]\nsize = 3\n[[deployment.teams]]\nname = \"studio\"\n[deployment.workers]\n\
            report_s = 0.5\nlease_s = {:?}\ncancel_s = 41.0\n[deployment.state]\nrps = 1000.0\nwrite_rps = 200.0\n\
            value_kb = 8.0\ntxn_ops = 16\n[[deployment.objectives]]\nkind = \"finished\"\nclass = \"flood\"\nwithin_s = 30.0\n\
            share = 0.5\n[deployment.cloud]\nrps = 20.0\n[deployment.resources]\nmemory_mb = 56.0\n",
            addresses[node],
            addresses[CONTROLLERS + node],
            LEASE_MS as f64 / 1000.0
        );
        for other in (0..CONTROLLERS).filter(|other| *other != node) {
            text += &format!("[[seeds]]\nnode = \"kraal-{other}\"\naddress = \"{}\"\n", addresses[CONTROLLERS + other]);
        }
        std::fs::write(&self.files[node], text).expect("a file");
    }

    /// Starts a controller's process.
    pub fn start_node(&mut self, node: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_caperstile"));
        command.arg("--config").arg(&self.files[node]).arg("--operators").arg(&self.operators);
        let level = std::env::var("HARNESS_LOG").unwrap_or_else(|_| "error".into());
        self.children[node] = Some(command.env("LOG_LEVEL", level).spawn().expect("the program starts"));
    }

    /// Kills a controller's process.
    pub fn kill_node(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn serve_state(&self, listener: TcpListener) {
        let (fake_services, begin) = (self.fake_services.clone(), self.begin);
        serve(listener, move |_, path, body| {
            let (path, query) = path.split_once('?').unwrap_or((path, ""));
            let now = begin.elapsed().as_millis() as u64;
            let mut fake_services = fake_services.lock().ok()?;
            Some(fake_services.store.handle(now, 0, &store_request(path, query, body)))
        });
    }

    fn serve_cloud(&self, listener: TcpListener) {
        let (fake_services, begin, api) = (self.fake_services.clone(), self.begin, self.api.clone());
        serve(listener, move |method, path, body| {
            let now = begin.elapsed().as_millis() as u64;
            match (method, path.split('?').next().unwrap_or_default()) {
                (_, "/flavors") => Some((
                    200,
                    json!({"Builds": [{"Label": "small", "Cores": 8, "MemoryGb": 32.0, "FetchGbPerS": 8.0, "Hourly": 0.2,
                        "MarketPrice": 0.1, "BootS": 1, "Yards": ["a", "b"]}]}),
                )),
                ("POST", "/hosts") => {
                    let request: ScaleOutRequest = serde_json::from_slice(body).ok()?;
                    let left = fake_services.lock().ok()?.machines_left();
                    if left == 0 {
                        return Some((503, json!({"error": "no capacity"})));
                    }
                    let ids: Vec<u64> = (0..request.count.min(left as u32))
                        .map(|_| rent(&fake_services, begin, &api, &request, now))
                        .collect();
                    let names: Vec<String> = ids.iter().map(|id| format!("m-{id:06}")).collect();
                    Some((200, json!({"Hosts": names})))
                }
                ("POST", _) => {
                    let names: Value = serde_json::from_slice(body).ok()?;
                    let mut fake_services = fake_services.lock().ok()?;
                    for name in names["Hosts"].as_array()?.iter().filter_map(Value::as_str) {
                        let id: u64 = name.strip_prefix("m-")?.parse().ok()?;
                        let m = fake_services.machines.remove(&id);
                        let busy = m.iter().flat_map(|m| &m.tasks).any(|(_, t)| t.state == "running");
                        if busy {
                            fake_services.violations.push(format!("{name} was returned with tasks on it"));
                        }
                    }
                    Some((200, json!({})))
                }
                _ => {
                    let fake_services = fake_services.lock().ok()?;
                    let hosts = fake_services.machines.iter().map(|(id, m)| {
                        json!({"Ref": format!("m-{id:06}"), "Build": "small", "Yard": m.zone, "Loaners": m.spot,
                            "Status": "running", "AgeS": 1.0})
                    });
                    Some((200, json!({"Hosts": hosts.collect::<Vec<_>>(), "More": false})))
                }
            }
        });
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, id: &str, load: JobProfile, cores: f64) {
        self.wait_until("an accepted job", || {
            (0..CONTROLLERS)
                .find(|node| self.try_submit(*node, id, load.clone(), cores).is_some_and(|status| status < 202))
        });
    }

    /// Submits a job once, at this node; the status of the answer.
    pub fn try_submit(&self, node: usize, id: &str, load: JobProfile, cores: f64) -> Option<u16> {
        self.fake_services().jobs.insert(id.to_string(), load.clone());
        let rank = if load.shape == "standing" { "prod" } else { "standard" };
        let run = if load.shape == "standing" { 0.0 } else { load.run_ms as f64 / 1000.0 };
        let saves = if load.shape == "group" { 1.0 } else { 0.0 };
        let body = json!({"Ref": id, "Lane": load.class, "Crew": "studio", "Shape": load.shape, "Rank": rank,
            "Pieces": load.tasks, "Cores": cores, "Cards": 0.0, "MemoryGb": 1.0, "Reel": "img", "ImageGb": 0.5,
            "Together": false, "Spread": false, "Loaners": false, "RuntimeS": run, "BookmarkS": saves, "StashS": 0.0});
        ask(self.api[node], "POST", "/work", &body.to_string()).map(|(status, _)| status)
    }

    /// Runs `caperstile drain` with these arguments; exit code and what it wrote.
    pub fn run_drain_command(&self, arguments: &[&str]) -> (i32, Value) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_caperstile"));
        command.arg("drain").args(arguments).arg("--json").arg("--config").arg(&self.files[0]).stdin(Stdio::null());
        let Output { status, stdout, .. } = command.output().expect("the program runs");
        (status.code().unwrap_or(-1), serde_json::from_slice(&stdout).unwrap_or_default())
    }

    /// What `caperstile admission status` says; exit code and what it wrote.
    pub fn admission_status(&self) -> (i32, Value) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_caperstile"));
        command.args(["admission", "status", "--json", "--config"]).arg(&self.files[0]).stdin(Stdio::null());
        let Output { status, stdout, .. } = command.output().expect("the program runs");
        (status.code().unwrap_or(-1), serde_json::from_slice(&stdout).unwrap_or_default())
    }

    /// How a drain stands.
    pub fn drain_status(&self, name: &str) -> Value {
        self.run_drain_command(&["status", name]).1["drains"][0]["status"].clone()
    }

    /// Waits for something, with a generous limit.
    pub fn wait_until<T>(&self, what: &str, mut check: impl FnMut() -> Option<T>) -> T {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(150) {
            if let Some(found) = check() {
                return found;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("{what} did not come in time");
    }
}

impl Drop for ProcessHarness {
    fn drop(&mut self) {
        (0..CONTROLLERS).for_each(|node| self.kill_node(node));
    }
}

/// Rents a machine: its worker listens, and reports once it is up.
fn rent(
    fake_services: &Arc<Mutex<FakeServices>>,
    begin: Instant,
    api: &[SocketAddr],
    request: &ScaleOutRequest,
    now: u64,
) -> u64 {
    const BOOT_MS: u64 = 1000;
    let (listener, endpoint) = listen();
    let id = {
        let mut fake_services = fake_services.lock().expect("no thread panics with it");
        fake_services.rented += 1;
        let id = fake_services.rented;
        let machine = Machine {
            zone: request.zone.clone(),
            spot: request.spot,
            boots_at: now + BOOT_MS,
            endpoint,
            token: 0,
            epoch: 1,
            sequence: 0,
            renewed: now + BOOT_MS,
            cut: false,
            tasks: BTreeMap::new(),
        };
        fake_services.machines.insert(id, machine);
        id
    };
    let commanded = fake_services.clone();
    serve(listener, move |_, path, body| {
        let now = begin.elapsed().as_millis() as u64;
        let mut fake_services = commanded.lock().ok()?;
        if path == "/commands" {
            fake_services.commanded(id, body, now)
        } else {
            fake_services.report(id).map(|report| (200, report))
        }
    });
    let (fake_services, api) = (fake_services.clone(), api.to_vec());
    std::thread::spawn(move || work(&fake_services, begin, &api, id));
    id
}

/// A worker's life: time passes, it reports, and does what the answer says.
fn work(fake_services: &Mutex<FakeServices>, begin: Instant, api: &[SocketAddr], id: u64) {
    let mut node = 0;
    loop {
        std::thread::sleep(REPORT_EVERY);
        let now = begin.elapsed().as_millis() as u64;
        let report = {
            let mut fake_services = fake_services.lock().expect("no thread panics with it");
            let Some(machine) = fake_services.machines.get(&id) else { return };
            if now < machine.boots_at {
                continue;
            }
            let cut = machine.cut;
            fake_services.advance(id, now);
            if cut { None } else { fake_services.report(id) }
        };
        let Some(report) = report else { continue };
        match ask(api[node], "POST", "/v1/report", &report.to_string()) {
            Some((200, body)) => {
                let Ok(answer) = serde_json::from_str::<HeartbeatResponse>(&body) else { continue };
                let mut fake_services = fake_services.lock().expect("no thread panics with it");
                let Some(machine) = fake_services.machines.get_mut(&id) else { return };
                if answer.fencing_token >= machine.token && !machine.cut && report["Shift"] == machine.epoch {
                    (machine.token, machine.renewed) = (answer.fencing_token, now);
                    fake_services.execute(id, &answer.commands, now);
                }
            }
            _ => node = (node + 1) % CONTROLLERS,
        }
    }
}
