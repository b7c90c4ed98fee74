//! A small deployment on loopback: three controllers as processes of their own, and stand-ins for the state service,
//! the cloud, the workers and the users.

use crate::Outcome;
use crate::cloud::{KINDS, YARDS, capacity, flavors};
use crate::http::{self, Answer, Request};
use crate::json::{Json, object};
use crate::state::State;
use crate::worker::{JobFile, Key, Machine, Phase};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Process ids of the controllers that run, for the watchdog.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all controllers and this process if a case takes longer than it may.
pub fn watch(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        println!("COULD NOT RUN: the case took too long");
        for child in CHILDREN.lock().map(|children| children.clone()).unwrap_or_default() {
            let _ = Command::new("kill").arg("-KILL").arg(child.to_string()).status();
        }
        std::process::exit(2);
    });
}

pub const CONTROLLERS: usize = 3;
pub const REPORT_S: f64 = 2.0;
pub const LEASE_S: f64 = 16.0;
pub const CANCEL_S: f64 = 41.0;
/// Boot time as a share of the nominal one: machines are up within two seconds, as they are at times.
const BOOT_FACTOR: f64 = 0.1;
/// "No request body may exceed 64 KiB."
const MAX_BODY: usize = 64 * 1024;
const LIST_LAG: Duration = Duration::from_secs(8);

/// A direct command to a worker, as it was carried out.
#[derive(Clone)]
pub struct Carried {
    pub machine: u64,
    pub body: String,
}

pub struct Shared {
    pub state: State,
    pub machines: BTreeMap<u64, Machine>,
    pub jobs: BTreeMap<String, JobFile>,
    rented: u64,
    hires: BTreeMap<String, Vec<String>>,
    /// Machines that left the list, and when, since the list lags.
    gone: Vec<(u64, Json, Instant)>,
    pub carried: Vec<Carried>,
    /// Starts of tasks on machines: piece, attempt, machine, time.
    pub starts: Vec<(Key, u64, Instant)>,
    /// How tasks ended: piece and phase.
    pub endings: Vec<(String, Phase)>,
    /// Starts of a task while it was on another machine.
    pub doubles: Vec<String>,
    /// The next direct command that starts this task is held up for so long, and carried out without an answer.
    pub held: Option<(String, Duration)>,
    /// Whether the state service answers 503 to everybody.
    pub state_down: bool,
    record: File,
    begun: Instant,
}

impl Shared {
    pub fn note(&mut self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.begun.elapsed().as_secs_f64());
        let _ = self.record.write_all(line.as_bytes());
    }

    /// Lets all machines go on, and looks at what has begun.
    fn advance(&mut self) {
        let ids: Vec<u64> = self.machines.keys().copied().collect();
        for id in ids {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            machine.advance(&self.jobs);
            self.collect(id);
        }
    }

    /// Takes over what a machine did: for the record and for the check that no task is on two machines.
    fn collect(&mut self, id: u64) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let (events, starts) = (std::mem::take(&mut machine.events), std::mem::take(&mut machine.starts));
        let endings = self.machines.get_mut(&id).map(|machine| std::mem::take(&mut machine.endings));
        self.endings.extend(endings.unwrap_or_default());
        for event in events {
            self.note(&event);
        }
        for key in starts {
            let others: Vec<String> = self
                .machines
                .iter()
                .filter(|(other, machine)| **other != id && machine.runs(&key.0))
                .map(|(_, machine)| machine.name.clone())
                .collect();
            for other in others {
                let text = format!("{} starts on {} while it is on {other}", key.0, name(id));
                self.note(&format!("ON TWO MACHINES: {text}"));
                self.doubles.push(text);
            }
            self.starts.push((key, id, Instant::now()));
        }
    }

    /// Whether an attempt of this task has ended like this, on any machine.
    pub fn ended(&self, piece: &str, phase: Phase) -> bool {
        self.endings.iter().any(|(name, ending)| name == piece && *ending == phase)
    }

    /// The controller that holds the leader key.
    pub fn leader(&mut self) -> Option<usize> {
        for key in ["leader-2", "leader"] {
            if let Some(value) = self.state.value(key)
                && let Some(node) = value.get("node").text().strip_prefix("kraal-")
            {
                return node.parse().ok();
            }
        }
        None
    }
}

pub fn name(id: u64) -> String {
    format!("m-{id:06}")
}

pub struct World {
    pub shared: Arc<Mutex<Shared>>,
    pub api: Vec<SocketAddr>,
    nodes: Vec<Option<Child>>,
    folder: PathBuf,
    run: Vec<String>,
}

/// The program and its arguments that the deploy file names.
fn run_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").expect("deploy/service.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("a run command");
    line.trim().trim_matches('"').split(' ').map(str::to_string).collect()
}

impl World {
    /// Starts all stand-ins and controllers. `record` is the file for what was sent, answered and run. Starts them anew
    /// if a controller ends at once, because another process has taken a port that was free.
    pub fn start(record: &Path) -> World {
        for _ in 0..4 {
            let mut world = World::start_once(record);
            std::thread::sleep(Duration::from_millis(300));
            let ended = |child: &mut Child| !matches!(child.try_wait(), Ok(None));
            if !world.nodes.iter_mut().flatten().any(ended) {
                return world;
            }
        }
        World::start_once(record)
    }

    fn start_once(record: &Path) -> World {
        let folder = std::env::temp_dir().join(format!("caperstile-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let shared = Arc::new(Mutex::new(Shared {
            state: State::default(),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            rented: 0,
            hires: BTreeMap::new(),
            gone: Vec::new(),
            carried: Vec::new(),
            starts: Vec::new(),
            endings: Vec::new(),
            doubles: Vec::new(),
            held: None,
            state_down: false,
            record: File::create(record).expect("the record"),
            begun: Instant::now(),
        }));
        let (state_listener, state) = http::listen();
        let (cloud_listener, cloud) = http::listen();
        let listeners: Vec<_> = (0..2 * CONTROLLERS).map(|_| http::listen()).collect();
        let addresses: Vec<SocketAddr> = listeners.iter().map(|(_, address)| *address).collect();
        drop(listeners);
        let api = addresses[..CONTROLLERS].to_vec();
        let world_shared = shared.clone();
        http::serve(state_listener, move |request| {
            let mut shared = world_shared.lock().ok()?;
            if shared.state_down {
                return Some((503, "{}".into()));
            }
            let (status, body) = shared.state.handle(request);
            Some((status, body.to_string()))
        });
        let (world_shared, nodes) = (shared.clone(), api.clone());
        http::serve(cloud_listener, move |request| cloud_answer(&world_shared, &nodes, request));
        let world_shared = shared.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let Ok(mut shared) = world_shared.lock() else { return };
                shared.advance();
            }
        });
        let mut world =
            World { shared, api, nodes: (0..CONTROLLERS).map(|_| None).collect(), folder, run: run_command() };
        for node in 0..CONTROLLERS {
            world.write_settings(node, &addresses, state, cloud);
            world.start_node(node);
        }
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no thread panicked")
    }

    pub fn note(&self, text: &str) {
        self.lock().note(text);
    }

    fn file(&self, node: usize) -> PathBuf {
        self.folder.join(format!("kraal-{node}.toml"))
    }

    fn write_settings(&self, node: usize, addresses: &[SocketAddr], state: SocketAddr, cloud: SocketAddr) {
        let area = |node: usize| YARDS[(node + 1) % 2];
        let mut text = format!(
            "node = \"kraal-{node}\"\narea = \"{}\"\napi_addr = \"{}\"\npeer_bind = \"{}\"\n",
            area(node),
            addresses[node],
            addresses[CONTROLLERS + node]
        );
        for other in (0..CONTROLLERS).filter(|other| *other != node) {
            text += &format!(
                "[[seeds]]\nnode = \"kraal-{other}\"\narea = \"{}\"\naddress = \"{}\"\n",
                area(other),
                addresses[CONTROLLERS + other]
            );
        }
        text += &format!(
            "[external]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
             [deployment]\nsize = 3\nzones = [\"nyali\", \"westlands\"]\nclock_error_ms = 1000.0\n\
             [[deployment.teams]]\nname = \"studio-team\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\
             [[deployment.objectives]]\nkind = \"wait\"\nclass = \"narration-live\"\nwithin_s = 2.0\nshare = 0.92\n\
             [[deployment.objectives]]\nkind = \"deadline\"\nclass = \"tour-render\"\nshare = 0.9\ntimes = 1.0\n\
             [[deployment.objectives]]\nkind = \"finished\"\nclass = \"voice-cleanup\"\nwithin_s = 90.0\nshare = 0.78\n\
             [deployment.workers]\nreport_s = {REPORT_S:?}\nlease_s = {LEASE_S:?}\ngang_wait_s = 50.0\n\
             gang_peer_s = 8.0\ncancel_s = {CANCEL_S:?}\n\
             [deployment.state]\nrps = 200.0\nwrite_rps = 20.0\nvalue_kb = 16.0\ntxn_ops = 16\n\
             [deployment.cloud]\nrps = 6.0\nlist_lag_s = 8.0\n\
             [deployment.resources]\ncpu = 0.096\nmemory_mb = 56.0\nfd_limit = 900\n"
        );
        std::fs::write(self.file(node), text).expect("the settings");
    }

    pub fn start_node(&mut self, node: usize) {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("kraal-{node}.log")));
        let mut command = Command::new(&self.run[0]);
        command.args(&self.run[1..]).arg(self.file(node)).stdin(Stdio::null()).stdout(Stdio::null());
        command.env("LOG_LEVEL", std::env::var("REVIEW_LOG").unwrap_or_else(|_| "info".into()));
        command.stderr(log.expect("a log file"));
        let child = command.spawn().expect("the program starts");
        if let Ok(mut children) = CHILDREN.lock() {
            children.push(child.id());
        }
        self.nodes[node] = Some(child);
        self.note(&format!("started kraal-{node}"));
    }

    pub fn kill_node(&mut self, node: usize) {
        if let Some(mut child) = self.nodes[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            if let Ok(mut children) = CHILDREN.lock() {
                children.retain(|other| *other != child.id());
            }
            self.note(&format!("killed kraal-{node}"));
        }
    }

    /// Polls until `check` gives a value; `None` after `limit`.
    pub fn wait<T>(&self, limit: Duration, mut check: impl FnMut(&mut Shared) -> Option<T>) -> Option<T> {
        let begun = Instant::now();
        loop {
            if let Some(found) = check(&mut self.lock()) {
                return Some(found);
            }
            if begun.elapsed() >= limit {
                return None;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// A user's request to one controller, with the time that users wait for an answer.
    pub fn ask(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let timeout = Duration::from_secs(if method == "GET" { 2 } else { 5 });
        let answer = http::call(self.api[node], method, path, body, timeout);
        let (sent, got) = (if body.is_empty() { String::new() } else { format!(" {body}") }, &answer);
        let got = got.as_ref().map_or("no answer".to_string(), |(status, body)| format!("{status} {body}"));
        self.note(&format!("user: {method} {path}{sent} at kraal-{node}: {got}"));
        answer.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Repeats a user's request at one controller after the other until `accept` gives a value.
    pub fn insist<T>(
        &self,
        limit: Duration,
        (method, path, body): (&str, &str, &str),
        accept: impl Fn(u16, &Json) -> Option<T>,
    ) -> Option<T> {
        let begun = Instant::now();
        for turn in 0.. {
            if let Some((status, answer)) = self.ask(turn % CONTROLLERS, method, path, body)
                && let Some(found) = accept(status, &answer)
            {
                return Some(found);
            }
            if begun.elapsed() >= limit {
                break;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        None
    }

    /// The outcome for a job that has not begun for `waited` although this machine fits it, if that still has room.
    pub fn still_waits(&self, machine: u64, job: &Submission, waited: Duration) -> Outcome {
        let shared = self.lock();
        let (cores, memory) = shared.machines.get(&machine).map_or((0.0, 0.0), |machine| machine.free(&shared.jobs));
        if cores < job.cores || memory < job.memory_gb {
            return Outcome::CouldNotRun("the machine has no room".into());
        }
        let waited = waited.as_secs();
        Outcome::Broken(format!(
            "{} has waited for {waited} s since the troubles ended, while {} has {cores} CPUs and {memory} GB free",
            job.id,
            name(machine)
        ))
    }

    /// Submits a job as its user does; true once it is accepted.
    pub fn submit(&self, job: &Submission) -> bool {
        self.submit_with(job, false)
    }

    /// Like `submit`; `mistake` says whether it fails on every machine.
    pub fn submit_with(&self, job: &Submission, mistake: bool) -> bool {
        self.lock().jobs.insert(job.id.to_string(), JobFile { mistake, ..job.file() });
        let accepted = |status: u16, _: &Json| matches!(status, 200 | 201).then_some(());
        self.insist(Duration::from_secs(30), ("POST", "/work", &job.body()), accepted).is_some()
    }

    /// Cancels a job as its user does; true once its user is told that it is cancelled.
    pub fn cancel(&self, id: &str) -> bool {
        let told = |status: u16, body: &Json| (status == 200).then(|| body.get("Status").text() == "aborted");
        self.insist(Duration::from_secs(30), ("POST", &format!("/work/{id}/withdraw"), ""), told) == Some(true)
    }

    /// Waits until all controllers are healthy and one of them leads.
    pub fn ready(&self) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            let up = |api: &SocketAddr| {
                http::call(*api, "GET", "/up", "", Duration::from_secs(1)).is_some_and(|(status, _)| status == 200)
            };
            // The leader moves its key once when all controllers run this version; the case begins after that.
            let moved = self.lock().state.value("leader-2").is_some();
            if moved && self.api.iter().all(up) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for World {
    fn drop(&mut self) {
        (0..CONTROLLERS).for_each(|node| self.kill_node(node));
        if std::env::var("REVIEW_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A job as its user submits it.
#[derive(Debug, Clone)]
pub struct Submission {
    pub id: &'static str,
    pub class: &'static str,
    pub service: bool,
    pub rank: &'static str,
    pub pieces: u64,
    pub cores: f64,
    pub memory_gb: f64,
    pub image: &'static str,
    pub image_gb: f64,
    pub builds: Option<&'static str>,
    pub yard: Option<&'static str>,
    pub run_s: f64,
}

impl Submission {
    /// A service with one replica.
    pub fn service(id: &'static str, cores: f64) -> Submission {
        Submission {
            id,
            class: "narration-live",
            service: true,
            rank: "prod",
            pieces: 1,
            cores,
            memory_gb: 3.2,
            image: "narration-1",
            image_gb: 0.3,
            builds: None,
            yard: None,
            run_s: 0.0,
        }
    }

    /// A batch job with one task.
    pub fn batch(id: &'static str, cores: f64, run_s: f64) -> Submission {
        Submission {
            class: "tour-render",
            service: false,
            rank: "standard",
            memory_gb: 5.7,
            image: "tour-1",
            run_s,
            ..Submission::service(id, cores)
        }
    }

    /// The same job, bound to one type and one zone.
    pub fn on(self, build: &'static str, yard: &'static str) -> Submission {
        Submission { builds: Some(build), yard: Some(yard), ..self }
    }

    pub fn body(&self) -> String {
        object([
            ("Ref", self.id.into()),
            ("Lane", self.class.into()),
            ("Crew", "studio-team".into()),
            ("Shape", if self.service { "standing" } else { "batch" }.into()),
            ("Rank", self.rank.into()),
            ("Pieces", self.pieces.into()),
            ("Cores", self.cores.into()),
            ("Cards", 0.0.into()),
            ("MemoryGb", self.memory_gb.into()),
            ("Reel", self.image.into()),
            ("ImageGb", self.image_gb.into()),
            ("Builds", self.builds.map_or(Json::Null, |build| vec![Json::from(build)].into())),
            ("Yard", self.yard.map_or(Json::Null, Json::from)),
            ("Together", false.into()),
            ("Spread", false.into()),
            ("Loaners", false.into()),
            ("RuntimeS", if self.service { 0.0 } else { self.run_s }.into()),
            ("BookmarkS", 0.0.into()),
            ("StashS", 0.0.into()),
            ("DueS", Json::Null),
        ])
        .to_string()
    }

    fn file(&self) -> JobFile {
        JobFile {
            cores: self.cores,
            memory_gb: self.memory_gb,
            image: self.image.into(),
            image_gb: self.image_gb,
            run: (!self.service).then(|| Duration::from_secs_f64(self.run_s)),
            mistake: false,
        }
    }
}

fn cloud_answer(shared: &Arc<Mutex<Shared>>, api: &[SocketAddr], request: &Request) -> Option<Answer> {
    let path = request.path.split('?').next().unwrap_or_default();
    let (status, body) = match (request.method.as_str(), path) {
        ("GET", "/flavors") => (200, flavors()),
        ("POST", "/hosts") => hire(shared, api, &request.body),
        ("POST", "/hosts/return") => {
            let names = Json::parse(&request.body)?;
            let mut shared = shared.lock().ok()?;
            for id in names.get("Hosts").list().iter().filter_map(|name| name.text().strip_prefix("m-")?.parse().ok()) {
                if let Some(machine) = shared.machines.remove(&id) {
                    shared.note(&format!("cloud: {} is returned", name(id)));
                    let listed = listed(id, &machine);
                    shared.gone.push((id, listed, Instant::now()));
                }
            }
            (200, object([]))
        }
        ("GET", "/hosts") => {
            let mut shared = shared.lock().ok()?;
            shared.gone.retain(|(_, _, at)| at.elapsed() < LIST_LAG);
            let old_enough = |machine: &&Machine| machine.rented.elapsed() >= LIST_LAG;
            let mut hosts: BTreeMap<u64, Json> = shared.gone.iter().map(|(id, json, _)| (*id, json.clone())).collect();
            let known = shared.machines.iter().filter(|(_, machine)| old_enough(machine));
            hosts.extend(known.map(|(id, machine)| (*id, listed(*id, machine))));
            let since = request.path.split("Since=").nth(1).and_then(|rest| rest.split('&').next()).unwrap_or("");
            let after = hosts.into_iter().filter(|(id, _)| name(*id).as_str() > since);
            let items: Vec<Json> = after.map(|(_, json)| json).collect();
            (200, object([("Hosts", items.into()), ("More", false.into())]))
        }
        _ => (400, object([])),
    };
    Some((status, body.to_string()))
}

fn listed(id: u64, machine: &Machine) -> Json {
    object([
        ("Ref", name(id).into()),
        ("Endpoint", machine.endpoint.to_string().into()),
        ("Build", machine.build.as_str().into()),
        ("Yard", machine.yard.as_str().into()),
        ("Loaners", machine.spot.into()),
        ("Status", if machine.is_up() { "running" } else { "starting" }.into()),
        ("AgeS", machine.rented.elapsed().as_secs_f64().into()),
    ])
}

fn hire(shared: &Arc<Mutex<Shared>>, api: &[SocketAddr], body: &str) -> (u16, Json) {
    let Some(body) = Json::parse(body) else { return (400, object([])) };
    let hire = body.get("Hire").text().to_string();
    let (kind, yard) = (body.get("Build").text().to_string(), body.get("Yard").text().to_string());
    let (spot, count) = (*body.get("Loaners") == Json::Bool(true), body.get("HowMany").integer().unwrap_or(0));
    let Some(kind) = KINDS.iter().find(|other| other.name == kind) else { return (400, object([])) };
    let mut names = Vec::new();
    let mut new = Vec::new();
    if let Ok(mut world) = shared.lock() {
        if let Some(names) = world.hires.get(&hire) {
            let names: Vec<Json> = names.iter().map(|name| Json::from(name.as_str())).collect();
            return (200, object([("Hosts", names.into())]));
        }
        let in_pool = |machine: &&Machine| machine.build == kind.name && machine.yard == yard && machine.spot == spot;
        let used = world.machines.values().filter(in_pool).count();
        let left = capacity(kind.name, &yard, spot).saturating_sub(used);
        for _ in 0..count.min(left as u64) {
            world.rented += 1;
            let id = world.rented;
            let (listener, endpoint) = http::listen();
            let boot = Duration::from_secs_f64(kind.boot_s * BOOT_FACTOR);
            let lease = Duration::from_secs_f64(LEASE_S);
            let machine = Machine::new(name(id), kind, &yard, spot, endpoint, boot, lease);
            world.machines.insert(id, machine);
            names.push(name(id));
            new.push((id, listener));
        }
        let text = format!("cloud: {hire} wants {count} {} in {yard}, spot {spot}: {names:?}", kind.name);
        world.note(&text);
        if names.is_empty() {
            return (503, object([("error", "no capacity".into())]));
        }
        world.hires.insert(hire, names.clone());
    }
    for (id, listener) in new {
        let for_commands = shared.clone();
        http::serve(listener, move |request| worker_answer(&for_commands, id, request));
        let (for_reports, api) = (shared.clone(), api.to_vec());
        std::thread::spawn(move || report_for_ever(&for_reports, id, &api));
    }
    let names: Vec<Json> = names.into_iter().map(Json::from).collect();
    (200, object([("Hosts", names.into())]))
}

/// Direct requests to a worker.
fn worker_answer(shared: &Arc<Mutex<Shared>>, id: u64, request: &Request) -> Option<Answer> {
    let held = {
        let mut world = shared.lock().ok()?;
        let held = world.held.take_if(|(piece, _)| request.body.contains(&format!("\"run\",\"Piece\":\"{piece}\"")));
        if held.is_some() {
            world.note(&format!("a direct command to {} is held up: {}", name(id), request.body));
        }
        held
    };
    if let Some((_, late)) = held {
        std::thread::sleep(late);
        direct(shared, id, &request.path, &request.body, "held direct");
        return None;
    }
    direct(shared, id, &request.path, &request.body, "direct")
}

pub fn direct(shared: &Arc<Mutex<Shared>>, id: u64, path: &str, body: &str, via: &str) -> Option<Answer> {
    let mut world = shared.lock().ok()?;
    let jobs = world.jobs.clone();
    let machine = world.machines.get_mut(&id).filter(|machine| machine.is_up())?;
    let (status, answer) = match path {
        "/commands" => machine.commands(body, &jobs, via),
        "/status" => (200, machine.report()),
        _ => (404, object([])),
    };
    world.collect(id);
    if status == 200 && path == "/commands" {
        world.carried.push(Carried { machine: id, body: body.to_string() });
    }
    Some((status, answer.to_string()))
}

/// The reports of one worker, until its machine is gone.
fn report_for_ever(shared: &Arc<Mutex<Shared>>, id: u64, api: &[SocketAddr]) {
    let mut node = id as usize % api.len();
    let mut last = Instant::now() - Duration::from_secs(60);
    let mut turn = 0u64;
    loop {
        std::thread::sleep(Duration::from_millis(20));
        let (sent, shift, report) = {
            let Ok(mut world) = shared.lock() else { return };
            let Some(machine) = world.machines.get_mut(&id) else { return };
            // The interval varies by a quarter.
            let interval = Duration::from_secs_f64(REPORT_S * (0.75 + 0.125 * (turn % 5) as f64));
            let due = last.elapsed() >= interval || (machine.changed && last.elapsed() >= Duration::from_millis(500));
            if !machine.is_up() || !due {
                continue;
            }
            machine.changed = false;
            let report = machine.report().to_string();
            if report.len() > MAX_BODY {
                let tasks = machine.tasks.len();
                last = Instant::now();
                world.note(&format!("{} may not send its report: {tasks} tasks, {} bytes", name(id), report.len()));
                continue;
            }
            (Instant::now(), machine.shift, report)
        };
        turn += 1;
        last = sent;
        let answer = http::call(api[node], "POST", "/v1/report", &report, Duration::from_secs(4));
        let Ok(mut world) = shared.lock() else { return };
        let jobs = world.jobs.clone();
        match answer {
            Some((200, body)) => {
                if let Some(machine) = world.machines.get_mut(&id) {
                    machine.answered(sent, shift, &body, &jobs);
                }
                world.collect(id);
            }
            Some((421, body)) => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                let steward = body.get("Steward").text().strip_prefix("kraal-").and_then(|n| n.parse().ok());
                match steward.filter(|other: &usize| *other != node && *other < api.len()) {
                    Some(other) => {
                        node = other;
                        last = Instant::now() - Duration::from_secs(60);
                    }
                    None => {
                        drop(world);
                        std::thread::sleep(Duration::from_secs(1));
                        node = (node + 1) % api.len();
                        last = Instant::now() - Duration::from_secs(60);
                    }
                }
            }
            _ => {
                drop(world);
                std::thread::sleep(Duration::from_secs(1));
                node = (node + 1) % api.len();
                last = Instant::now() - Duration::from_secs(60);
            }
        }
    }
}

/// The machine on which a task of this name runs.
pub fn machine_running(shared: &Shared, piece: &str) -> Option<u64> {
    shared.machines.iter().find(|(_, machine)| machine.runs(piece)).map(|(id, _)| *id)
}
