//! Real controller processes on the loopback interface, with a fake state service, a fake cloud and fake workers. The
//! fakes record which tasks were stopped by command and do not run again yet.

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

/// Number of controllers.
pub const CONTROLLERS: usize = 3;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
const LEASE_MS: u64 = 8000;
const IMAGE_FETCH_MS: u64 = 150;

/// A job as the fake workers run it.
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
    exit_reason: Option<&'static str>,
    state_since: u64,
}

#[derive(Debug)]
struct Machine {
    zone: String,
    spot: bool,
    boot_completes_at: u64,
    endpoint: SocketAddr,
    token: u64,
    epoch: u64,
    sequence: u64,
    lease_renewed_at: u64,
    /// Whether the machine is partitioned: it sends no heartbeats and gets no commands.
    partitioned: bool,
    /// Tasks by attempt and name.
    tasks: BTreeMap<(u64, String), Task>,
}

/// State of the fake services, and what they recorded.
#[derive(Default)]
pub struct FakeServices {
    store: FakeStore,
    pub jobs: BTreeMap<String, JobProfile>,
    machines: BTreeMap<u64, Machine>,
    provisioned: u64,
    /// Maximum number of machines that the cloud provides; None: unlimited.
    pub max_machines: Option<usize>,
    finished: BTreeSet<String>,
    evicted_tasks: BTreeMap<String, &'static str>,
    /// Maximum number of tasks that were unavailable at once, by class.
    pub peak_unavailable: BTreeMap<&'static str, usize>,
    pub evictions: BTreeMap<&'static str, usize>,
    /// Descriptions of broken invariants, such as a task that ran on two machines at once.
    pub violations: Vec<String>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl FakeServices {
    fn running_instances(&self, task: &str) -> usize {
        let on = |m: &Machine| m.tasks.iter().filter(|((_, name), t)| name == task && t.state == "running").count();
        self.machines.values().map(on).sum()
    }

    /// Returns the number of running tasks of a job.
    pub fn running_tasks(&self, job: &str) -> usize {
        let tasks = self.machines.values().flat_map(|m| &m.tasks);
        tasks.filter(|((_, name), t)| job_of(name) == job && t.state == "running").count()
    }

    fn machines_left(&self) -> usize {
        self.max_machines.map_or(u32::MAX as usize, |limit| limit.saturating_sub(self.machines.len()))
    }

    /// Returns the provisioned machines.
    pub fn machine_ids(&self) -> Vec<u64> {
        self.machines.keys().copied().collect()
    }

    /// Returns how often the lease of a machine has expired.
    pub fn expired_leases(&self) -> u64 {
        self.machines.values().map(|machine| machine.epoch - 1).sum()
    }

    /// Starts or ends a machine's network partition.
    pub fn set_partitioned(&mut self, machine: u64, partitioned: bool) {
        if let Some(m) = self.machines.get_mut(&machine) {
            m.partitioned = partitioned;
        }
    }

    /// Returns the node that holds the leader key.
    pub fn leader(&self) -> Option<usize> {
        let key = self.store.keys.get("leader-2").or_else(|| self.store.keys.get("leader"))?;
        key.0["node"].as_str()?.strip_prefix("kraal-")?.parse().ok()
    }

    fn task_started(&mut self, task: &str) {
        self.evicted_tasks.remove(task);
        if self.running_instances(task) > 1 {
            self.violations.push(format!("{task} runs more than once at a time"));
        }
    }

    fn task_evicted(&mut self, task: &str) {
        let Some(profile) = self.jobs.get(job_of(task)) else { return };
        *self.evictions.entry(profile.class).or_default() += 1;
        self.evicted_tasks.insert(task.to_string(), profile.class);
        let unavailable = self.evicted_tasks.values().filter(|class| **class == profile.class).count();
        let peak = self.peak_unavailable.entry(profile.class).or_default();
        *peak = (*peak).max(unavailable);
    }

    /// Advances a machine to the time `now`: its lease may expire, fetches complete, gangs start and tasks end.
    fn advance(&mut self, id: u64, now: u64) {
        let Some(m) = self.machines.get_mut(&id) else { return };
        if now >= m.lease_renewed_at + LEASE_MS {
            m.tasks.clear();
            (m.epoch, m.sequence, m.lease_renewed_at) = (m.epoch + 1, 0, now);
        }
        let due: Vec<(u64, String)> = m.tasks.keys().cloned().collect();
        for key in due {
            let profile = self.jobs[job_of(&key.1)].clone();
            let Some(task) = self.machines.get_mut(&id).and_then(|m| m.tasks.get_mut(&key)) else { continue };
            match task.state {
                "fetching" if now >= task.state_since + IMAGE_FETCH_MS => {
                    (task.state, task.state_since) =
                        (if profile.shape == "group" { "gathering" } else { "running" }, now);
                    if profile.shape != "group" {
                        self.task_started(&key.1);
                    }
                }
                "running" if profile.shape != "standing" && now >= task.state_since + profile.run_ms => {
                    (task.state, task.exit_reason) = ("exited", Some("done"));
                    self.finished.insert(key.1);
                }
                "gathering" => self.start_complete_gang(&key, &profile, now),
                _ => {}
            }
        }
    }

    /// Starts all tasks of a gang together if each of them has its image.
    fn start_complete_gang(&mut self, key: &(u64, String), profile: &JobProfile, now: u64) {
        let mut tasks: Vec<(&String, &mut Task)> = Vec::new();
        for m in self.machines.values_mut() {
            let of_attempt = |(k, t): &(&(u64, String), &mut Task)| {
                k.0 == key.0 && job_of(&k.1) == job_of(&key.1) && t.state == "gathering"
            };
            tasks.extend(m.tasks.iter_mut().filter(of_attempt).map(|(k, t)| (&k.1, t)));
        }
        if tasks.len() == profile.tasks as usize {
            let started: Vec<String> = tasks
                .into_iter()
                .map(|(name, task)| {
                    (task.state, task.state_since) = ("running", now);
                    name.clone()
                })
                .collect();
            started.iter().for_each(|task| self.task_started(task));
        }
    }

    fn execute(&mut self, id: u64, commands: &[WorkerCommand], now: u64) {
        for command in commands {
            let Some(m) = self.machines.get_mut(&id) else { return };
            match command {
                WorkerCommand::Start { task, attempt } => {
                    let known = m.tasks.keys().any(|(_, name)| name == task);
                    let key = (*attempt, task.clone());
                    let (state, exit_reason) = if known { ("exited", Some("in_use")) } else { ("fetching", None) };
                    m.tasks.entry(key).or_insert(Task { state, exit_reason, state_since: now });
                }
                WorkerCommand::Stop { task, attempt, .. } => {
                    let Some(t) = m.tasks.get_mut(&(*attempt, task.clone())) else { continue };
                    let ran = t.state == "running";
                    if t.state != "exited" {
                        (t.state, t.exit_reason) = ("exited", Some("halted"));
                    }
                    if ran {
                        self.task_evicted(task);
                    }
                }
                WorkerCommand::Forget { task, attempt } => drop(m.tasks.remove(&(*attempt, task.clone()))),
            }
        }
    }

    fn next_heartbeat(&mut self, id: u64) -> Option<Value> {
        let m = self.machines.get_mut(&id)?;
        m.sequence += 1;
        let tasks: Vec<Value> = m
            .tasks
            .iter()
            .map(|((attempt, task), t)| json!({"Piece": task, "Try": attempt, "Status": t.state, "Cause": t.exit_reason, "Kept": true}))
            .collect();
        Some(json!({"Host": format!("m-{id:06}"), "Endpoint": m.endpoint.to_string(), "Build": "small", "Yard": m.zone,
            "Loaners": m.spot, "Shift": m.epoch, "Tally": m.sequence, "Baton": m.token, "RecallS": null, "Pieces": tasks}))
    }

    fn handle_commands(&mut self, id: u64, body: &[u8], now: u64) -> Option<(u16, Value)> {
        let commands: CommandBatch = serde_json::from_slice(body).ok()?;
        let m = self.machines.get_mut(&id).filter(|m| !m.partitioned)?;
        let accepted = commands.fencing_token >= m.token && commands.epoch == m.epoch;
        m.token = m.token.max(commands.fencing_token);
        if accepted {
            self.execute(id, &commands.commands, now);
        }
        Some((if accepted { 200 } else { 409 }, self.next_heartbeat(id)?))
    }
}

/// A running deployment.
pub struct ProcessHarness {
    pub fake_services: Arc<Mutex<FakeServices>>,
    started_at: Instant,
    api: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
    files: Vec<PathBuf>,
    operators: PathBuf,
}

/// Reads a request; returns its method, its path with the query, and its body.
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

/// Serves requests, with one thread per connection. The connection is closed when `handler` returns None.
fn serve(listener: TcpListener, handler: impl Fn(&str, &str, &[u8]) -> Option<(u16, Value)> + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                while let Some((method, path, body)) = read_request(&mut stream) {
                    let Some((status, body)) = handler(&method, &path, &body) else { return };
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

/// Sends a request on a connection of its own; returns the status and body of the response.
pub fn http_request(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
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
    /// Starts the fake services and all controllers; `operators` is the text of the operators' settings file.
    pub fn start(name: &str, operators: &str) -> ProcessHarness {
        let fake_services = Arc::new(Mutex::new(FakeServices::default()));
        let started_at = Instant::now();
        let ((state_listener, state), (cloud_listener, cloud)) = (listen(), listen());
        // All addresses are bound before any is released, so that no address is assigned twice.
        let listeners: Vec<(TcpListener, SocketAddr)> = (0..2 * CONTROLLERS).map(|_| listen()).collect();
        let addresses: Vec<SocketAddr> = listeners.iter().map(|(_, address)| *address).collect();
        drop(listeners);
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let operators_file = dir.join(format!("{name}.ini"));
        std::fs::write(&operators_file, operators).expect("the file is writable");
        let files = (0..CONTROLLERS).map(|n| dir.join(format!("{name}-{n}.toml"))).collect();
        let mut harness = ProcessHarness {
            fake_services,
            started_at,
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
        self.fake_services.lock().expect("no thread panicked while holding the lock")
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
        std::fs::write(&self.files[node], text).expect("the file is writable");
    }

    /// Returns the address of a controller's HTTP API.
    pub fn api(&self, node: usize) -> SocketAddr {
        self.api[node]
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
        let (fake_services, started_at) = (self.fake_services.clone(), self.started_at);
        serve(listener, move |_, path, body| {
            let (path, query) = path.split_once('?').unwrap_or((path, ""));
            let now = started_at.elapsed().as_millis() as u64;
            let mut fake_services = fake_services.lock().ok()?;
            Some(fake_services.store.handle(now, 0, &store_request(path, query, body)))
        });
    }

    fn serve_cloud(&self, listener: TcpListener) {
        let (fake_services, started_at, api) = (self.fake_services.clone(), self.started_at, self.api.clone());
        serve(listener, move |method, path, body| {
            let now = started_at.elapsed().as_millis() as u64;
            match (method, path.split('?').next().unwrap_or_default()) {
                (_, "/flavors") => Some((
                    200,
                    json!({"Builds": [{"Label": "small", "Cores": 8, "MemoryGb": 32.0, "FetchGbPerS": 8.0, "Hourly": 0.2,
                        "MarketPrice": 0.1, "BootS": 1, "Yards": ["a", "b"]}]}),
                )),
                ("POST", "/hosts") => {
                    let request: ScaleOutRequest = serde_json::from_slice(body).ok()?;
                    let available = fake_services.lock().ok()?.machines_left();
                    if available == 0 {
                        return Some((503, json!({"error": "no capacity"})));
                    }
                    let ids: Vec<u64> = (0..request.count.min(available as u32))
                        .map(|_| provision(&fake_services, started_at, &api, &request, now))
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
                            fake_services.violations.push(format!("{name} was released while tasks ran on it"));
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

    /// Submits a job, with retries, until a controller accepts it.
    pub fn submit(&self, id: &str, profile: JobProfile, cores: f64) {
        self.wait_until("an accepted job", || {
            (0..CONTROLLERS)
                .find(|node| self.try_submit(*node, id, profile.clone(), cores).is_some_and(|status| status < 202))
        });
    }

    /// Submits a job once to this node; returns the status of the response, None without a response.
    pub fn try_submit(&self, node: usize, id: &str, profile: JobProfile, cores: f64) -> Option<u16> {
        self.fake_services().jobs.insert(id.to_string(), profile.clone());
        let rank = if profile.shape == "standing" { "prod" } else { "standard" };
        let run_s = if profile.shape == "standing" { 0.0 } else { profile.run_ms as f64 / 1000.0 };
        let checkpoint_s = if profile.shape == "group" { 1.0 } else { 0.0 };
        let body = json!({"Ref": id, "Lane": profile.class, "Crew": "studio", "Shape": profile.shape, "Rank": rank,
            "Pieces": profile.tasks, "Cores": cores, "Cards": 0.0, "MemoryGb": 1.0, "Reel": "img", "ImageGb": 0.5,
            "Together": false, "Spread": false, "Loaners": false, "RuntimeS": run_s, "BookmarkS": checkpoint_s, "StashS": 0.0});
        http_request(self.api[node], "POST", "/work", &body.to_string()).map(|(status, _)| status)
    }

    /// Runs `caperstile drain` with these arguments; returns its exit code and JSON output.
    pub fn run_drain_command(&self, arguments: &[&str]) -> (i32, Value) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_caperstile"));
        command.arg("drain").args(arguments).arg("--json").arg("--config").arg(&self.files[0]).stdin(Stdio::null());
        let Output { status, stdout, .. } = command.output().expect("the program runs");
        (status.code().unwrap_or(-1), serde_json::from_slice(&stdout).unwrap_or_default())
    }

    /// Runs `caperstile admission status`; returns its exit code and JSON output.
    pub fn admission_status(&self) -> (i32, Value) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_caperstile"));
        command.args(["admission", "status", "--json", "--config"]).arg(&self.files[0]).stdin(Stdio::null());
        let Output { status, stdout, .. } = command.output().expect("the program runs");
        (status.code().unwrap_or(-1), serde_json::from_slice(&stdout).unwrap_or_default())
    }

    /// Returns the status record of a drain.
    pub fn drain_status(&self, name: &str) -> Value {
        self.run_drain_command(&["status", name]).1["drains"][0]["status"].clone()
    }

    /// Polls `check` until it returns a value; panics after 150 s.
    pub fn wait_until<T>(&self, what: &str, mut check: impl FnMut() -> Option<T>) -> T {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(150) {
            if let Some(found) = check() {
                return found;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("timed out after 150 s waiting for {what}");
    }
}

impl Drop for ProcessHarness {
    fn drop(&mut self) {
        (0..CONTROLLERS).for_each(|node| self.kill_node(node));
    }
}

/// Provisions a machine, whose worker listens for commands immediately and sends heartbeats once it has booted.
fn provision(
    fake_services: &Arc<Mutex<FakeServices>>,
    started_at: Instant,
    api: &[SocketAddr],
    request: &ScaleOutRequest,
    now: u64,
) -> u64 {
    const BOOT_MS: u64 = 1000;
    let (listener, endpoint) = listen();
    let id = {
        let mut fake_services = fake_services.lock().expect("no thread panicked while holding the lock");
        fake_services.provisioned += 1;
        let id = fake_services.provisioned;
        let machine = Machine {
            zone: request.zone.clone(),
            spot: request.spot,
            boot_completes_at: now + BOOT_MS,
            endpoint,
            token: 0,
            epoch: 1,
            sequence: 0,
            lease_renewed_at: now + BOOT_MS,
            partitioned: false,
            tasks: BTreeMap::new(),
        };
        fake_services.machines.insert(id, machine);
        id
    };
    let services = fake_services.clone();
    serve(listener, move |_, path, body| {
        let now = started_at.elapsed().as_millis() as u64;
        let mut fake_services = services.lock().ok()?;
        if path == "/commands" {
            fake_services.handle_commands(id, body, now)
        } else {
            fake_services.next_heartbeat(id).map(|heartbeat| (200, heartbeat))
        }
    });
    let (fake_services, api) = (fake_services.clone(), api.to_vec());
    std::thread::spawn(move || run_worker(&fake_services, started_at, &api, id));
    id
}

/// Runs a worker: it advances its tasks, sends heartbeats, and executes the commands in the responses.
fn run_worker(fake_services: &Mutex<FakeServices>, started_at: Instant, api: &[SocketAddr], id: u64) {
    let mut node = 0;
    loop {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        let now = started_at.elapsed().as_millis() as u64;
        let heartbeat = {
            let mut fake_services = fake_services.lock().expect("no thread panicked while holding the lock");
            let Some(machine) = fake_services.machines.get(&id) else { return };
            if now < machine.boot_completes_at {
                continue;
            }
            let partitioned = machine.partitioned;
            fake_services.advance(id, now);
            if partitioned { None } else { fake_services.next_heartbeat(id) }
        };
        let Some(heartbeat) = heartbeat else { continue };
        match http_request(api[node], "POST", "/v1/report", &heartbeat.to_string()) {
            Some((200, body)) => {
                let Ok(response) = serde_json::from_str::<HeartbeatResponse>(&body) else { continue };
                let mut fake_services = fake_services.lock().expect("no thread panicked while holding the lock");
                let Some(machine) = fake_services.machines.get_mut(&id) else { return };
                if response.fencing_token >= machine.token
                    && !machine.partitioned
                    && heartbeat["Shift"] == machine.epoch
                {
                    (machine.token, machine.lease_renewed_at) = (response.fencing_token, now);
                    fake_services.execute(id, &response.commands, now);
                }
            }
            _ => node = (node + 1) % CONTROLLERS,
        }
    }
}
