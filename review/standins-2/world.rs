//! The world around the controllers: state service, cloud, machines with their workers, users, and the controllers'
//! processes. All of it follows the operators' pages; what is asked of it goes to `record.txt`.

use crate::http::{self, Answer};
use crate::json::Json;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub const LEASE_MS: u64 = 16_000;
pub const CANCEL_MS: u64 = 41_000;

/// A machine type of the cloud, with the numbers of ordinary and of spot machines that it has of this type in each zone.
#[derive(Clone)]
pub struct Flavor {
    pub label: &'static str,
    pub cores: f64,
    pub memory_gb: f64,
    pub hourly: f64,
    pub market: f64,
    pub boot_s: f64,
    pub capacity: Vec<(&'static str, usize, usize)>,
}

/// What the pages say of the machines in the first deployment of the museums' guide, ordinary machines only.
pub fn museum_flavors() -> Vec<Flavor> {
    let flavor = |label, cores, memory_gb, hourly, market, boot_s, west, nyali| Flavor {
        label,
        cores,
        memory_gb,
        hourly,
        market,
        boot_s,
        capacity: vec![("westlands", west, 0), ("nyali", nyali, 0)],
    };
    vec![
        flavor("kibanda", 4.0, 16.0, 0.26, 0.1, 15.0, 9, 10),
        flavor("nyumba", 16.0, 64.0, 0.99, 0.38, 20.0, 1, 1),
        flavor("jengo", 64.0, 512.0, 4.79, 1.83, 15.0, 1, 1),
    ]
}

/// A job as its user wrote it.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub class: &'static str,
    pub team: String,
    pub service: bool,
    pub gang: bool,
    pub rank: &'static str,
    pub pieces: u32,
    pub cores: f64,
    pub memory_gb: f64,
    pub builds: Option<Vec<&'static str>>,
    pub yard: Option<&'static str>,
    pub together: bool,
    pub spread: bool,
    pub spot: bool,
    pub run_s: f64,
    pub bookmark_s: f64,
    pub stash_s: f64,
    /// Submitted with a mistake: every task fails shortly after its start, on every machine.
    pub mistaken: bool,
}

impl Job {
    pub fn batch(number: u64, class: &'static str, pieces: u32, cores: f64, run_s: f64) -> Job {
        Job {
            id: format!("job-{number:06}"),
            class,
            team: "studio-team".into(),
            service: false,
            gang: false,
            rank: "standard",
            pieces,
            cores,
            memory_gb: cores * 2.0,
            builds: None,
            yard: None,
            together: false,
            spread: false,
            spot: false,
            run_s,
            bookmark_s: 0.0,
            stash_s: 0.0,
            mistaken: false,
        }
    }

    pub fn service(number: u64, class: &'static str, pieces: u32, cores: f64) -> Job {
        Job { service: true, rank: "prod", ..Job::batch(number, class, pieces, cores, 0.0) }
    }

    pub fn body(&self) -> String {
        let shape = if self.service {
            "standing"
        } else if self.gang {
            "group"
        } else {
            "batch"
        };
        let builds =
            self.builds.as_ref().map_or(Json::Null, |b| Json::List(b.iter().map(|b| Json::text(*b)).collect()));
        Json::object([
            ("Ref", Json::text(&self.id)),
            ("Lane", Json::text(self.class)),
            ("Crew", Json::text(&self.team)),
            ("Shape", Json::text(shape)),
            ("Rank", Json::text(self.rank)),
            ("Pieces", Json::number(self.pieces)),
            ("Cores", Json::number(format!("{:?}", self.cores))),
            ("Cards", Json::number("0.0")),
            ("MemoryGb", Json::number(format!("{:?}", self.memory_gb))),
            ("Reel", Json::text("img-01")),
            ("ImageGb", Json::number("0.1")),
            ("Builds", builds),
            ("Yard", self.yard.map_or(Json::Null, Json::text)),
            ("Together", Json::Bool(self.together)),
            ("Spread", Json::Bool(self.spread)),
            ("Loaners", Json::Bool(self.spot)),
            ("RuntimeS", Json::number(format!("{:?}", self.run_s))),
            ("BookmarkS", Json::number(format!("{:?}", self.bookmark_s))),
            ("StashS", Json::number(format!("{:?}", self.stash_s))),
            ("DueS", Json::Null),
        ])
        .to_string()
    }
}

#[derive(Debug, Clone)]
pub struct Task {
    pub state: &'static str,
    pub cause: Option<&'static str>,
    pub since: u64,
    /// Fails shortly after its start.
    pub doomed: bool,
}

impl Task {
    /// Whether it holds its image and has not ended: the protocol's "on its machine".
    pub fn is_on_machine(&self) -> bool {
        matches!(self.state, "running" | "flushing" | "gathering")
    }
}

pub struct Machine {
    pub flavor: usize,
    pub zone: &'static str,
    pub spot: bool,
    pub rented_at: u64,
    pub up_at: u64,
    pub endpoint: SocketAddr,
    pub shift: u64,
    tally: u64,
    pub baton: u64,
    pub answered_report_sent: u64,
    pub tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    changed: bool,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (Json, u64, Option<u64>)>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    ledger: u64,
}

pub struct World {
    pub started: Instant,
    pub flavors: Vec<Flavor>,
    pub boot_ms: u64,
    record: File,
    store: Store,
    pub machines: BTreeMap<u64, Machine>,
    next_machine: u64,
    hires: BTreeMap<String, Vec<u64>>,
    pub jobs: BTreeMap<String, Job>,
    pub accepted: BTreeMap<String, u64>,
    pub cancelled: BTreeMap<String, u64>,
    done: BTreeSet<String>,
    /// Number of starts of each task, and when it was last on a machine.
    pub starts: BTreeMap<String, u32>,
    pub violations: Vec<String>,
    random: u64,
    api: Vec<SocketAddr>,
    first_zones: BTreeMap<String, &'static str>,
    /// Number of direct commands that workers have answered.
    commands_answered: u64,
    /// Addresses of machines that were taken; the cloud gives them to new machines.
    free_addresses: Vec<SocketAddr>,
}

pub fn job_of(piece: &str) -> &str {
    piece.split('/').next().unwrap_or("")
}

impl World {
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&mut self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.record, "{:>4}.{:03} {text}", now / 1000, now % 1000);
    }

    pub fn violation(&mut self, text: String) {
        self.note(&format!("RULE BROKEN {text}"));
        self.violations.push(text);
    }

    pub fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn free_cores(&self, id: u64) -> f64 {
        let Some(machine) = self.machines.get(&id) else { return 0.0 };
        let used = machine.tasks.iter().filter(|(_, task)| task.state != "exited");
        let used: f64 = used.filter_map(|((piece, _), _)| self.jobs.get(job_of(piece))).map(|job| job.cores).sum();
        self.flavors[machine.flavor].cores - used
    }

    pub fn free_memory(&self, id: u64) -> f64 {
        let Some(machine) = self.machines.get(&id) else { return 0.0 };
        let used = machine.tasks.iter().filter(|(_, task)| task.state != "exited");
        let used: f64 = used.filter_map(|((piece, _), _)| self.jobs.get(job_of(piece))).map(|job| job.memory_gb).sum();
        self.flavors[machine.flavor].memory_gb - used
    }

    /// Whether a task of the job could start on the machine now, by its type, zone and kind and the room there.
    pub fn has_room(&self, id: u64, job: &Job) -> bool {
        let Some(machine) = self.machines.get(&id) else { return false };
        let now = self.now();
        now >= machine.up_at
            && job.builds.as_ref().is_none_or(|builds| builds.contains(&self.flavors[machine.flavor].label))
            && job.yard.is_none_or(|yard| yard == machine.zone)
            && (job.spot || !machine.spot)
            && self.free_cores(id) >= job.cores
            && self.free_memory(id) >= job.memory_gb
    }

    /// Number of the job's tasks that are on machines or fetch their image.
    pub fn live_tasks(&self, job: &str) -> usize {
        let tasks = self.machines.values().flat_map(|machine| &machine.tasks);
        tasks.filter(|((piece, _), task)| job_of(piece) == job && task.state != "exited").count()
    }

    pub fn running_tasks(&self, job: &str) -> usize {
        let tasks = self.machines.values().flat_map(|machine| &machine.tasks);
        tasks.filter(|((piece, _), task)| job_of(piece) == job && task.state == "running").count()
    }

    /// The cloud takes a cheap machine back, without a notice. Its address is free from now on.
    pub fn take_machine(&mut self, id: u64) {
        if let Some(machine) = self.machines.remove(&id) {
            self.note(&format!("cloud: m-{id:06} at {} is taken with all that is on it", machine.endpoint));
            self.free_addresses.push(machine.endpoint);
        }
    }

    /// The zone of the machine on which a task of the job was first started.
    pub fn zone_of_first_start(&self, job: &str) -> Option<&'static str> {
        self.first_zones.get(job).copied()
    }

    /// When the last report of a machine was sent that got an answer.
    pub fn last_answered_report(&self, id: u64) -> u64 {
        self.machines.get(&id).map_or(0, |machine| machine.answered_report_sent)
    }

    pub fn leader(&self) -> Option<usize> {
        let key = self.store.keys.get("leader-2").or_else(|| self.store.keys.get("leader"))?;
        key.0.get("node").str().strip_prefix("kraal-")?.parse().ok()
    }

    // The state service.

    fn expire_leases(&mut self) {
        let now = self.now();
        let store = &mut self.store;
        let ended: Vec<u64> = store.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            store.leases.remove(&lease);
            let keys: Vec<String> =
                store.keys.iter().filter(|(_, v)| v.2 == Some(lease)).map(|(key, _)| key.clone()).collect();
            for key in keys {
                store.keys.remove(&key);
                store.ledger += 1;
            }
        }
    }

    fn transaction(&mut self, body: &Json) -> (u16, Json) {
        self.expire_leases();
        let store = &mut self.store;
        let stamp = |store: &Store, key: &str| store.keys.get(key).map_or(0, |v| v.1);
        for write in body.get("Writes").list() {
            if write.get("Permit").u64() > 0 && !store.leases.contains_key(&write.get("Permit").u64()) {
                return (400, Json::object([("error", Json::text("no such lease"))]));
            }
        }
        let failed: Vec<Json> = (body.get("When").list().iter())
            .filter(|c| stamp(store, c.get("K").str()) != c.get("Stamp").u64())
            .map(|c| c.get("K").clone())
            .collect();
        if !failed.is_empty() {
            return (409, Json::object([("failed", Json::List(failed)), ("Ledger", Json::number(store.ledger))]));
        }
        if !body.get("Writes").list().is_empty() {
            store.ledger += 1;
        }
        for write in body.get("Writes").list() {
            if !write.get("Remove").is_null() {
                store.keys.remove(write.get("Remove").str());
            } else {
                let lease = Some(write.get("Permit").u64()).filter(|lease| *lease > 0);
                store.keys.insert(write.get("Write").str().into(), (write.get("V").clone(), store.ledger, lease));
            }
        }
        (200, Json::object([("Ledger", Json::number(store.ledger))]))
    }

    fn read_state(&mut self, method: &str, path: &str, body: &Json) -> (u16, Json) {
        self.expire_leases();
        let now = self.now();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |name: &str| query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')).unwrap_or("");
        let store = &mut self.store;
        if path == "/leases" {
            store.next_lease += 1;
            let life = body.get("LifeMs").u64();
            store.leases.insert(store.next_lease, (life, now + life));
            return (200, Json::object([("Permit", Json::number(store.next_lease))]));
        }
        if let Some(rest) = path.strip_prefix("/leases/") {
            let id = rest.split('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
            let Some(lease) = store.leases.get_mut(&id) else { return (404, Json::object([])) };
            if method == "DELETE" {
                lease.1 = 0;
                self.expire_leases();
            } else {
                lease.1 = now + lease.0;
            }
            return (200, Json::object([]));
        }
        if let Some(key) = path.strip_prefix("/keys/") {
            return match store.keys.get(key) {
                Some((value, stamp, lease)) => {
                    let lease = lease.map_or(Json::Null, Json::number);
                    let fields = [
                        ("K", Json::text(key)),
                        ("V", value.clone()),
                        ("Stamp", Json::number(stamp)),
                        ("Permit", lease),
                    ];
                    (200, Json::object(fields))
                }
                None => (404, Json::object([("Ledger", Json::number(store.ledger))])),
            };
        }
        let limit = field("Limit").parse().unwrap_or(1000usize).min(1000);
        let (prefix, since) = (field("Under"), field("Since"));
        let found = store.keys.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > since);
        let mut pairs: Vec<Json> = found
            .take(limit + 1)
            .map(|(key, (value, stamp, _))| {
                Json::object([("K", Json::text(key)), ("V", value.clone()), ("Stamp", Json::number(stamp))])
            })
            .collect();
        let more = pairs.len() > limit;
        pairs.truncate(limit);
        let ledger = Json::number(store.ledger);
        (200, Json::object([("Pairs", Json::List(pairs)), ("More", Json::Bool(more)), ("Ledger", ledger)]))
    }

    // The cloud.

    fn flavors_json(&self) -> Json {
        let builds = self.flavors.iter().map(|flavor| {
            Json::object([
                ("Label", Json::text(flavor.label)),
                ("Cores", Json::number(flavor.cores)),
                ("Cards", Json::number(0)),
                ("MemoryGb", Json::number(flavor.memory_gb)),
                ("LocalGb", Json::number(100.0)),
                ("FetchGbPerS", Json::number(0.5)),
                ("Hourly", Json::number(flavor.hourly)),
                ("MarketPrice", Json::number(flavor.market)),
                ("BootS", Json::number(flavor.boot_s)),
                ("Yards", Json::List(flavor.capacity.iter().map(|(zone, ..)| Json::text(*zone)).collect())),
            ])
        });
        Json::object([("Builds", Json::List(builds.collect()))])
    }

    fn task_started(&mut self, id: u64, piece: &str, attempt: u64) {
        *self.starts.entry(piece.to_string()).or_default() += 1;
        if let Some(machine) = self.machines.get(&id) {
            self.first_zones.entry(job_of(piece).to_string()).or_insert(machine.zone);
        }
        self.note(&format!("m-{id:06} starts {piece} attempt {attempt}"));
        let elsewhere = self.machines.iter().find(|(other, machine)| {
            **other != id && machine.tasks.iter().any(|((name, _), task)| name == piece && task.is_on_machine())
        });
        if let Some(other) = elsewhere.map(|(other, _)| *other) {
            self.violation(format!("ran_twice: {piece} starts on m-{id:06} while it is on m-{other:06}"));
        }
        let cancelled = self.cancelled.get(job_of(piece)).copied();
        if cancelled.is_some_and(|at| self.now() > at + CANCEL_MS) {
            self.violation(format!("ran_cancelled: {piece} starts on m-{id:06}"));
        }
    }

    pub fn is_done(&self, piece: &str) -> bool {
        self.done.contains(piece)
    }

    /// Checks the rules that concern a task that has just started.
    fn check_start(&mut self, id: u64, piece: &str) {
        let Some(job) = self.jobs.get(job_of(piece)).cloned() else { return };
        let Some(machine) = self.machines.get(&id) else { return };
        let mut broken = Vec::new();
        if job.yard.is_some_and(|yard| yard != machine.zone) || (machine.spot && !job.spot) {
            broken.push(format!("wrong_place: {piece} on m-{id:06}"));
        }
        let zones = |zone: &str| {
            let machines = self.machines.values().filter(|m| m.zone == zone).flat_map(|m| &m.tasks);
            machines.filter(|((p, _), t)| job_of(p) == job.id && t.is_on_machine()).count()
        };
        let here = zones(machine.zone);
        if job.together && self.machines.values().any(|m| m.zone != machine.zone && zones(m.zone) > 0) {
            broken.push(format!("wrong_place: {piece} apart from its job"));
        }
        if job.spread && here > job.pieces.div_ceil(2) as usize {
            broken.push(format!("wrong_place: {piece}, {here} in one zone"));
        }
        broken.into_iter().for_each(|text| self.violation(text));
    }

    /// Cancelled tasks that are on a machine too long.
    pub fn check_cancelled(&mut self) {
        let now = self.now();
        let late: Vec<String> = (self.machines.iter())
            .flat_map(|(id, m)| m.tasks.iter().filter(|(_, t)| t.is_on_machine()).map(move |((p, _), _)| (id, p)))
            .filter(|(_, p)| self.cancelled.get(job_of(p)).is_some_and(|at| now > at + CANCEL_MS))
            .map(|(id, p)| format!("ran_cancelled: {p} on m-{id:06}"))
            .collect();
        for text in late {
            if !self.violations.contains(&text) {
                self.violation(text);
            }
        }
    }

    /// Advances a machine's tasks.
    fn advance(&mut self, id: u64) {
        let now = self.now();
        let Some(machine) = self.machines.get_mut(&id) else { return };
        if now < machine.up_at {
            return;
        }
        if now > machine.answered_report_sent + LEASE_MS {
            let lost: Vec<String> = machine
                .tasks
                .iter()
                .filter(|(_, t)| t.state != "exited")
                .map(|((p, a), _)| format!("{p}:{a}"))
                .collect();
            machine.tasks.clear();
            machine.shift += 1;
            machine.tally = 0;
            machine.answered_report_sent = now;
            machine.changed = true;
            let shift = machine.shift;
            self.note(&format!("m-{id:06} lease over, session {shift} begins, killed {lost:?}"));
            return;
        }
        let keys: Vec<(String, u64)> = machine.tasks.keys().cloned().collect();
        for key in keys {
            let Some(job) = self.jobs.get(job_of(&key.0)).cloned() else { continue };
            let done = self.done.contains(&key.0);
            let Some(machine) = self.machines.get_mut(&id) else { return };
            let Some(task) = machine.tasks.get_mut(&key) else { continue };
            let age = now - task.since;
            let (mut started, mut ended) = (false, None);
            match task.state {
                "fetching" if age >= 200 => {
                    (task.state, task.since) = ("running", now);
                    task.doomed = job.mistaken;
                    started = true;
                    machine.images.insert("img-01".into());
                }
                "running" if task.doomed && age >= 200 => ended = Some("error"),
                "running" if done && !job.service => ended = Some("done"),
                "running" if !job.service && age as f64 >= job.run_s * 1000.0 => ended = Some("done"),
                "flushing" if age as f64 >= job.stash_s * 1000.0 => ended = Some("halted"),
                _ => {}
            }
            if let Some(cause) = ended {
                (task.state, task.cause, task.since) = ("exited", Some(cause), now);
                if cause == "done" {
                    self.done.insert(key.0.clone());
                }
                self.note(&format!("m-{id:06} {} attempt {} exits: {cause}", key.0, key.1));
            }
            if started {
                self.task_started(id, &key.0, key.1);
                self.check_start(id, &key.0);
            }
            if (started || ended.is_some())
                && let Some(machine) = self.machines.get_mut(&id)
            {
                machine.changed = true;
            }
        }
    }

    fn execute(&mut self, id: u64, orders: &[Json]) {
        let now = self.now();
        for order in orders {
            let (verb, piece, attempt) = (order.get("Verb").str(), order.get("Piece").str(), order.get("Try").u64());
            let key = (piece.to_string(), attempt);
            let job = self.jobs.get(job_of(piece)).cloned();
            let (free, memory) = (self.free_cores(id), self.free_memory(id));
            self.note(&format!("m-{id:06} executes {verb} {piece} attempt {attempt}"));
            let Some(machine) = self.machines.get_mut(&id) else { return };
            match verb {
                "run" if !machine.tasks.contains_key(&key) => {
                    let busy = machine.tasks.iter().any(|((name, _), task)| name == piece && task.state != "exited");
                    let cause = match &job {
                        None => Some("unknown"),
                        Some(_) if busy => Some("in_use"),
                        Some(job) if job.cores > free + 1e-9 || job.memory_gb > memory + 1e-9 => Some("full"),
                        Some(_) => None,
                    };
                    let state = if cause.is_some() { "exited" } else { "fetching" };
                    machine.tasks.insert(key, Task { state, cause, since: now, doomed: false });
                    machine.changed = true;
                    if job.is_none() {
                        self.violation(format!("work that nobody sent: {piece}"));
                    }
                }
                "kill" => {
                    let saves =
                        job.is_some_and(|job| job.bookmark_s > 0.0 && order.get("WindDownS").f64() >= job.stash_s);
                    if let Some(task) = machine.tasks.get_mut(&key).filter(|task| task.state != "exited") {
                        if task.state == "running" && saves {
                            (task.state, task.since) = ("flushing", now);
                        } else {
                            (task.state, task.cause, task.since) = ("exited", Some("halted"), now);
                        }
                        machine.changed = true;
                    }
                }
                "reap" => {
                    if machine.tasks.get(&key).is_some_and(|task| task.state == "exited") {
                        machine.tasks.remove(&key);
                        machine.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn report(&mut self, id: u64) -> Json {
        let label = self.machines.get(&id).map_or("", |machine| self.flavors[machine.flavor].label);
        let Some(machine) = self.machines.get_mut(&id) else { return Json::Null };
        machine.tally += 1;
        machine.changed = false;
        let pieces = machine.tasks.iter().map(|((piece, attempt), task)| {
            Json::object([
                ("Piece", Json::text(piece)),
                ("Try", Json::number(attempt)),
                ("Status", Json::text(task.state)),
                ("Cause", task.cause.map_or(Json::Null, Json::text)),
            ])
        });
        Json::object([
            ("Host", Json::text(format!("m-{id:06}"))),
            ("Endpoint", Json::text(machine.endpoint.to_string())),
            ("Build", Json::text(label)),
            ("Yard", Json::text(machine.zone)),
            ("Loaners", Json::Bool(machine.spot)),
            ("Shift", Json::number(machine.shift)),
            ("Tally", Json::number(machine.tally)),
            ("Baton", Json::number(machine.baton)),
            ("RecallS", Json::Null),
            ("Pieces", Json::List(pieces.collect())),
        ])
    }

    /// Handles a direct command; `None` if the worker does not answer.
    fn command(&mut self, id: u64, body: &Json) -> Option<(u16, Json)> {
        let now = self.now();
        let machine = self.machines.get_mut(&id).filter(|machine| now >= machine.up_at)?;
        let (baton, shift) = (body.get("Baton"), body.get("Shift"));
        if baton.is_null() || shift.is_null() {
            return Some((400, Json::object([])));
        }
        let fits = baton.u64() >= machine.baton && shift.u64() == machine.shift;
        if baton.u64() > machine.baton {
            machine.baton = baton.u64();
            machine.changed = true;
        }
        if fits {
            self.execute(id, body.get("Orders").list());
        }
        let status = if fits { 200 } else { 409 };
        self.commands_answered += 1;
        if self.commands_answered < 500 || self.commands_answered.is_multiple_of(10_000) {
            let count = self.commands_answered;
            self.note(&format!("m-{id:06} answers direct command {count} with {status}: {body}"));
        }
        let report = self.report(id);
        Some((status, report))
    }
}

/// A running deployment: the world and the controllers.
pub struct Deployment {
    pub world: Arc<Mutex<World>>,
    pub api: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
    settings: Vec<PathBuf>,
    run: Vec<String>,
    folder: PathBuf,
    logs: PathBuf,
}

fn lock(world: &Arc<Mutex<World>>) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

// Numbers of Linux, the same on x86-64 and on arm64.
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// Time after which a case is given up, in seconds. It may run for 120 s.
const GIVE_UP_AFTER_S: u64 = 118;

impl Deployment {
    /// Starts the stand-ins and three controllers. `record` is the file of the case, `run` the command of the deploy
    /// file.
    pub fn start(record: &Path, run: Vec<String>, flavors: Vec<Flavor>, boot_ms: u64, teams: &str) -> Deployment {
        let folder = std::env::temp_dir().join(format!("caperstile-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seed = now.map_or(1, |d| d.as_nanos() as u64) ^ u64::from(std::process::id()) << 32;
        let mut addresses = http::reserve(6, seed);
        let (states, clouds): (Vec<_>, Vec<_>) = (0..3).map(|_| (http::listen(), http::listen())).unzip();
        addresses.extend(states.iter().chain(&clouds).map(|(_, address)| *address));
        let (states, clouds) = (states.into_iter().map(|s| s.0), clouds.into_iter().map(|c| c.0));
        let world = Arc::new(Mutex::new(World {
            started: Instant::now(),
            flavors,
            boot_ms,
            record: File::create(record).expect("the record can be written"),
            store: Store::default(),
            machines: BTreeMap::new(),
            next_machine: 0,
            hires: BTreeMap::new(),
            jobs: BTreeMap::new(),
            accepted: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            done: BTreeSet::new(),
            starts: BTreeMap::new(),
            violations: Vec::new(),
            random: seed | 1,
            api: addresses[..3].to_vec(),
            first_zones: BTreeMap::new(),
            commands_answered: 0,
            free_addresses: Vec::new(),
        }));
        for listener in states {
            serve_state(&world, listener);
        }
        for listener in clouds {
            serve_cloud(&world, listener);
        }
        std::thread::spawn(|| {
            std::thread::sleep(Duration::from_secs(GIVE_UP_AFTER_S));
            // The controllers end with this process, see `start_node`.
            std::process::exit(2);
        });
        let ticker = world.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(25));
                let ids: Vec<u64> = lock(&ticker).machines.keys().copied().collect();
                for id in ids {
                    lock(&ticker).advance(id);
                }
                lock(&ticker).check_cancelled();
            }
        });
        let mut deployment = Deployment {
            world,
            api: addresses[..3].to_vec(),
            children: vec![None, None, None],
            settings: (0..3).map(|node| folder.join(format!("kraal-{node}.toml"))).collect(),
            run,
            folder,
            logs: record.with_file_name("controllers"),
        };
        for node in 0..3 {
            deployment.write_settings(node, &addresses, teams);
            deployment.start_node(node);
        }
        deployment
    }

    fn write_settings(&self, node: usize, addresses: &[SocketAddr], teams: &str) {
        let areas = ["westlands", "nyali", "westlands"];
        let mut text = format!(
            "node = \"kraal-{node}\"\narea = \"{}\"\napi_addr = \"{}\"\npeer_bind = \"{}\"\n",
            areas[node],
            addresses[node],
            addresses[3 + node]
        );
        for other in (0..3).filter(|other| *other != node) {
            text += &format!(
                "[[seeds]]\nnode = \"kraal-{other}\"\narea = \"{}\"\naddress = \"{}\"\n",
                areas[other],
                addresses[3 + other]
            );
        }
        text += &format!(
            "[external]\ncloud = \"{}\"\nstate = \"{}\"\n[deployment]\nsize = 3\nzones = [\"nyali\", \"westlands\"]\n\
             clock_error_ms = 1000.0\n{teams}\n\
             [[deployment.objectives]]\nkind = \"wait\"\nclass = \"narration-live\"\nwithin_s = 2.0\nshare = 0.92\n\
             [[deployment.objectives]]\nkind = \"finished\"\nclass = \"voice-cleanup\"\nwithin_s = 90.0\nshare = 0.78\n\
             [deployment.workers]\nreport_s = 2.0\nlease_s = 16.0\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = 41.0\n\
             [deployment.state]\nrps = 200.0\nwrite_rps = 20.0\nvalue_kb = 16.0\ntxn_ops = 16\n\
             [deployment.cloud]\nrps = 6.0\nlist_lag_s = 8.0\n\
             [deployment.resources]\ncpu = 0.096\nmemory_mb = 56.0\nfd_limit = 900\n",
            addresses[9 + node],
            addresses[6 + node]
        );
        std::fs::write(&self.settings[node], text).expect("the settings can be written");
    }

    pub fn start_node(&mut self, node: usize) {
        let mut command = Command::new(&self.run[0]);
        command.args(&self.run[1..]).arg(&self.settings[node]).stdin(Stdio::null()).stdout(Stdio::null());
        let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "error".into());
        if level == "error" {
            command.stderr(Stdio::null());
        } else {
            let name = format!("{}-{node}.log", self.logs.display());
            let log = File::options().append(true).create(true).open(name).expect("a log file");
            command.stderr(log);
        }
        // The controller is killed when this process ends, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command.env("LOG_LEVEL", level).spawn().expect("the controller starts");
        self.note(&format!("controller kraal-{node} started"));
        self.children[node] = Some(child);
    }

    pub fn kill_node(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.note(&format!("controller kraal-{node} killed"));
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        lock(&self.world)
    }

    pub fn note(&self, text: &str) {
        self.lock().note(text);
    }

    pub fn now(&self) -> u64 {
        self.lock().now()
    }

    pub fn sleep_until(&self, ms: u64) {
        while self.now() < ms {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Polls `check` until it holds; false if it does not until `ms`.
    pub fn wait_until(&self, ms: u64, mut check: impl FnMut(&mut World) -> bool) -> bool {
        loop {
            if check(&mut self.lock()) {
                return true;
            }
            if self.now() >= ms {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a user's request to a node and records it.
    pub fn ask(&self, node: usize, method: &str, path: &str, body: &str, timeout_ms: u64) -> Option<http::Response> {
        ask(&self.world, self.api[node], method, path, body, timeout_ms)
    }

    /// Submits a job as a user does, with retries, for up to 60 s. Returns whether it was accepted.
    pub fn submit(&self, job: &Job) -> bool {
        submit(&self.world, &self.api, job)
    }

    /// Cancels a job as a user does, with retries, for up to 60 s. Returns the state told.
    pub fn withdraw(&self, id: &str) -> Option<String> {
        withdraw(&self.world, &self.api, id)
    }

    pub fn withdraw_in_background(&self, id: &str) {
        let (world, api, id) = (self.world.clone(), self.api.clone(), id.to_string());
        std::thread::spawn(move || withdraw(&world, &api, &id));
    }

    /// The state of a job as a node tells it now, from the first node that answers.
    pub fn status(&self, id: &str) -> Option<Json> {
        for node in 0..self.api.len() {
            if let Some((200, _, text)) = self.ask(node, "GET", &format!("/work/{id}"), "", 2000) {
                return Json::parse(text.as_bytes());
            }
        }
        None
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in 0..self.children.len() {
            self.kill_node(node);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn ask(
    world: &Arc<Mutex<World>>,
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout_ms: u64,
) -> Option<http::Response> {
    let sent_at = lock(world).now();
    let answer = http::request(to, method, path, body, Duration::from_millis(timeout_ms));
    let mut world = lock(world);
    let node = world.api.iter().position(|api| *api == to).unwrap_or(9);
    let text = answer.as_ref().map_or("no answer".to_string(), |(status, _, text)| format!("{status} {text}"));
    world.note(&format!("user asked kraal-{node} at {sent_at} ms: {method} {path} {body} -> {text}"));
    answer
}

fn submit(world: &Arc<Mutex<World>>, api: &[SocketAddr], job: &Job) -> bool {
    let until = {
        let mut world = lock(world);
        world.jobs.insert(job.id.clone(), job.clone());
        world.now() + 60_000
    };
    let mut node = (lock(world).chance() * 3.0) as usize;
    while lock(world).now() < until {
        let answer = ask(world, api[node % 3], "POST", "/work", &job.body(), 5000);
        node += 1;
        match answer {
            Some((200 | 201, _, _)) => {
                let mut world = lock(world);
                let now = world.now();
                world.accepted.insert(job.id.clone(), now);
                return true;
            }
            Some((400 | 422, _, _)) => return false,
            Some((_, after, _)) => std::thread::sleep(Duration::from_secs_f64(after.clamp(1.0, 30.0))),
            None => std::thread::sleep(Duration::from_secs(1)),
        }
    }
    false
}

fn withdraw(world: &Arc<Mutex<World>>, api: &[SocketAddr], id: &str) -> Option<String> {
    let until = lock(world).now() + 60_000;
    let mut node = (lock(world).chance() * 3.0) as usize;
    while lock(world).now() < until {
        let answer = ask(world, api[node % 3], "POST", &format!("/work/{id}/withdraw"), "", 5000);
        node += 1;
        match answer {
            Some((200, _, text)) => {
                let state = Json::parse(text.as_bytes())?.get("Status").str().to_string();
                let mut world = lock(world);
                let now = world.now();
                if state == "aborted" {
                    world.cancelled.entry(id.to_string()).or_insert(now);
                }
                return Some(state);
            }
            Some((_, after, _)) => std::thread::sleep(Duration::from_secs_f64(after.clamp(1.0, 30.0))),
            None => std::thread::sleep(Duration::from_secs(1)),
        }
    }
    None
}

fn answer((status, body): (u16, Json)) -> Answer {
    Answer::Send(status, body.to_string())
}

fn serve_state(world: &Arc<Mutex<World>>, listener: TcpListener) {
    let world = world.clone();
    http::serve(listener, move |method, path, bytes| {
        let body = Json::parse(bytes).unwrap_or(Json::Null);
        std::thread::sleep(Duration::from_millis(3));
        let mut world = lock(&world);
        answer(if path == "/txn" { world.transaction(&body) } else { world.read_state(method, path, &body) })
    });
}

fn serve_cloud(world: &Arc<Mutex<World>>, listener: TcpListener) {
    let world = world.clone();
    http::serve(listener, move |method, path, bytes| {
        let body = Json::parse(bytes).unwrap_or(Json::Null);
        std::thread::sleep(Duration::from_millis(100));
        match (method, path.split('?').next().unwrap_or("")) {
            (_, "/flavors") => Answer::Send(200, lock(&world).flavors_json().to_string()),
            ("POST", "/hosts") => rent(&world, &body),
            ("POST", _) => {
                let mut world = lock(&world);
                for name in body.get("Hosts").list() {
                    let id: u64 = name.str().strip_prefix("m-").and_then(|id| id.parse().ok()).unwrap_or(0);
                    if world.machines.remove(&id).is_some() {
                        world.note(&format!("cloud: m-{id:06} returned"));
                    }
                }
                Answer::Send(200, "{}".into())
            }
            _ => {
                let world = lock(&world);
                let now = world.now();
                // The list lags by 8 s.
                let hosts = world.machines.iter().filter(|(_, m)| now >= m.rented_at + 8000).map(|(id, machine)| {
                    Json::object([
                        ("Ref", Json::text(format!("m-{id:06}"))),
                        ("Endpoint", Json::text(machine.endpoint.to_string())),
                        ("Build", Json::text(world.flavors[machine.flavor].label)),
                        ("Yard", Json::text(machine.zone)),
                        ("Loaners", Json::Bool(machine.spot)),
                        ("Status", Json::text(if now < machine.up_at + 8000 { "starting" } else { "running" })),
                        ("AgeS", Json::number((now - machine.rented_at) as f64 / 1000.0 - 8.0)),
                    ])
                });
                let hosts = Json::List(hosts.collect());
                Answer::Send(200, Json::object([("Hosts", hosts), ("More", Json::Bool(false))]).to_string())
            }
        }
    });
}

fn rent(world: &Arc<Mutex<World>>, body: &Json) -> Answer {
    let mut guard = lock(world);
    let hire = body.get("Hire").str().to_string();
    let names = |ids: &[u64]| {
        let hosts = ids.iter().map(|id| Json::text(format!("m-{id:06}")));
        Answer::Send(200, Json::object([("Hosts", Json::List(hosts.collect()))]).to_string())
    };
    if let Some(ids) = guard.hires.get(&hire) {
        return names(ids);
    }
    let spot = body.get("Loaners").is_true();
    let wanted = body.get("HowMany").u64() as usize;
    let Some(flavor) = guard.flavors.iter().position(|flavor| flavor.label == body.get("Build").str()) else {
        return Answer::Send(400, "{}".into());
    };
    let capacity = guard.flavors[flavor].capacity.iter().find(|(zone, ..)| *zone == body.get("Yard").str()).copied();
    let Some((zone, ordinary, cheap)) = capacity else { return Answer::Send(400, "{}".into()) };
    let rented = guard.machines.values().filter(|m| m.flavor == flavor && m.zone == zone && m.spot == spot).count();
    let left = if spot { cheap } else { ordinary }.saturating_sub(rented);
    let text =
        format!("cloud: {hire} asks for {wanted} {} in {zone}, spot {spot}: {left} left", body.get("Build").str());
    guard.note(&text);
    if left == 0 {
        return Answer::Send(503, "{\"error\":\"no capacity\"}".into());
    }
    let mut ids = Vec::new();
    for _ in 0..wanted.min(left) {
        guard.next_machine += 1;
        let id = guard.next_machine;
        let endpoint = match guard.free_addresses.pop() {
            Some(address) => address,
            None => {
                let (listener, address) = http::listen();
                serve_worker(world, address, listener);
                address
            }
        };
        let now = guard.now();
        guard.note(&format!("cloud: m-{id:06} rented, address {endpoint}"));
        let machine = Machine {
            flavor,
            zone,
            spot,
            rented_at: now,
            up_at: now + guard.boot_ms,
            endpoint,
            shift: 1,
            tally: 0,
            baton: 0,
            answered_report_sent: now + guard.boot_ms,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            changed: false,
        };
        guard.machines.insert(id, machine);
        let reporter = world.clone();
        std::thread::spawn(move || report_loop(&reporter, id));
        ids.push(id);
    }
    guard.hires.insert(hire, ids.clone());
    names(&ids)
}

/// Serves the worker of the machine that has this address. An address that no machine has, or one that is not up, stays
/// silent.
fn serve_worker(world: &Arc<Mutex<World>>, address: SocketAddr, listener: TcpListener) {
    let world = world.clone();
    http::serve(listener, move |_, path, bytes| {
        let body = Json::parse(bytes).unwrap_or(Json::Null);
        let mut guard = lock(&world);
        let now = guard.now();
        let machine = guard.machines.iter().find(|(_, m)| m.endpoint == address && now >= m.up_at);
        let Some(id) = machine.map(|(id, _)| *id) else {
            drop(guard);
            std::thread::sleep(Duration::from_secs(5));
            return Answer::Drop;
        };
        if path != "/commands" {
            return Answer::Send(200, guard.report(id).to_string());
        }
        guard.command(id, &body).map_or(Answer::Drop, answer)
    });
}

/// Sends a worker's reports, as the protocol has it.
fn report_loop(world: &Arc<Mutex<World>>, id: u64) {
    let mut node = id as usize % 3;
    let mut next_at = 0;
    let mut last_sent = 0;
    loop {
        std::thread::sleep(Duration::from_millis(20));
        let (report, to, sent_at) = {
            let mut guard = lock(world);
            let now = guard.now();
            let Some(machine) = guard.machines.get(&id) else { return };
            let due = now >= next_at || (machine.changed && now >= last_sent + 500);
            if now < machine.up_at || !due {
                continue;
            }
            let interval = 1500 + (guard.chance() * 1000.0) as u64;
            next_at = now + interval;
            last_sent = now;
            (guard.report(id), guard.api[node], now)
        };
        let answer = http::request(to, "POST", "/v1/report", &report.to_string(), Duration::from_secs(4));
        let mut guard = lock(world);
        let now = guard.now();
        let Some(machine) = guard.machines.get_mut(&id) else { return };
        if now > sent_at + 4000 {
            next_at = now + 1000;
            node = (node + 1) % 3;
            continue;
        }
        match answer {
            Some((200, _, text)) => {
                let Some(body) = Json::parse(text.as_bytes()) else { continue };
                let baton = body.get("Baton").u64();
                if baton < machine.baton || report.get("Shift").u64() != machine.shift {
                    continue;
                }
                if baton > machine.baton {
                    machine.baton = baton;
                    machine.changed = true;
                }
                machine.answered_report_sent = sent_at;
                guard.execute(id, body.get("Orders").list());
            }
            Some((421, _, text)) => {
                let steward = Json::parse(text.as_bytes()).map(|body| body.get("Steward").str().to_string());
                let named = steward.and_then(|name| name.strip_prefix("kraal-")?.parse::<usize>().ok());
                match named.filter(|named| *named < 3 && *named != node) {
                    Some(named) => (node, next_at) = (named, now + 200),
                    None => (node, next_at) = ((node + 1) % 3, now + 1000),
                }
            }
            _ => (node, next_at) = ((node + 1) % 3, now + 1000),
        }
    }
}
