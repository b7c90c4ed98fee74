//! A machine and its worker, as PROTOCOL describes them: reports, commands, sessions, tokens, leases, image fetches.

use crate::json::{Json, object};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A job as its user uploaded it, from where workers fetch it.
#[derive(Debug, Clone)]
pub struct JobFile {
    pub cores: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    /// Real run time of a task; `None` for a service.
    pub run: Option<Duration>,
    /// Whether it was submitted with a mistake, so that it fails on every machine.
    pub mistake: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Fetching,
    Running,
    Exited(&'static str),
}

#[derive(Debug, Clone)]
pub struct Task {
    pub phase: Phase,
    since: Instant,
}

/// Piece (`job-000001/0`) and attempt.
pub type Key = (String, u64);

pub struct Machine {
    pub name: String,
    pub build: String,
    pub yard: String,
    pub spot: bool,
    pub cores: f64,
    pub memory_gb: f64,
    pub fetch_gb_per_s: f64,
    pub endpoint: SocketAddr,
    pub rented: Instant,
    pub boots: Instant,
    pub lease: Duration,
    pub shift: u64,
    pub tally: u64,
    pub baton: u64,
    /// When the last answered report was sent, or when the session began.
    pub lease_from: Instant,
    pub tasks: BTreeMap<Key, Task>,
    images: BTreeMap<String, f64>,
    fetching: BTreeMap<String, Instant>,
    /// Whether the machine fails every task that it starts.
    pub sick: bool,
    pub changed: bool,
    /// What happened since this was last taken, for the record.
    pub events: Vec<String>,
    /// How tasks ended since this was last taken.
    pub endings: Vec<(String, Phase)>,
    /// Tasks that began to be on this machine (they hold their image) since this was last taken.
    pub starts: Vec<Key>,
}

impl Machine {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        name: String,
        kind: &crate::cloud::Kind,
        yard: &str,
        spot: bool,
        endpoint: SocketAddr,
        boot: Duration,
        lease: Duration,
    ) -> Machine {
        let now = Instant::now();
        Machine {
            name,
            build: kind.name.to_string(),
            yard: yard.to_string(),
            spot,
            cores: kind.cores,
            memory_gb: kind.memory_gb,
            fetch_gb_per_s: kind.fetch_gb_per_s,
            endpoint,
            rented: now,
            boots: now + boot,
            lease,
            shift: 1,
            tally: 0,
            baton: 0,
            lease_from: now + boot,
            tasks: BTreeMap::new(),
            images: BTreeMap::new(),
            fetching: BTreeMap::new(),
            sick: false,
            changed: true,
            events: Vec::new(),
            endings: Vec::new(),
            starts: Vec::new(),
        }
    }

    pub fn is_up(&self) -> bool {
        Instant::now() >= self.boots
    }

    /// Whether a task of this name is on the machine: it holds its image and has not exited.
    pub fn runs(&self, piece: &str) -> bool {
        self.tasks.iter().any(|((name, _), task)| name == piece && task.phase == Phase::Running)
    }

    pub fn free(&self, jobs: &BTreeMap<String, JobFile>) -> (f64, f64) {
        let (mut cores, mut memory) = (self.cores, self.memory_gb);
        for ((piece, _), task) in &self.tasks {
            if let (Some(job), false) = (jobs.get(job_of(piece)), matches!(task.phase, Phase::Exited(_))) {
                cores -= job.cores;
                memory -= job.memory_gb;
            }
        }
        (cores, memory)
    }

    /// Lets time pass: the lease may run out, images arrive, tasks end.
    pub fn advance(&mut self, jobs: &BTreeMap<String, JobFile>) {
        let now = Instant::now();
        if !self.is_up() {
            return;
        }
        if now.duration_since(self.lease_from) > self.lease {
            self.shift += 1;
            self.tally = 0;
            self.lease_from = now;
            self.changed = true;
            self.events.push(format!("lease of {} ran out, session {}", self.name, self.shift));
            self.tasks.clear();
            self.fetching.clear();
        }
        let arrived: Vec<String> =
            self.fetching.iter().filter(|(_, at)| **at <= now).map(|(image, _)| image.clone()).collect();
        for image in arrived {
            self.fetching.remove(&image);
            self.images.insert(image, 0.0);
        }
        let mut wanted = BTreeSet::new();
        for (key, task) in &mut self.tasks {
            let Some(job) = jobs.get(job_of(&key.0)) else { continue };
            match task.phase {
                Phase::Fetching if self.images.contains_key(&job.image) => {
                    task.phase = Phase::Running;
                    task.since = now;
                    self.changed = true;
                    self.starts.push(key.clone());
                    self.events.push(format!("{} runs {} try {}", self.name, key.0, key.1));
                    if self.sick || job.mistake {
                        task.phase = Phase::Exited("error");
                        self.events.push(format!("{} fails {} try {}", self.name, key.0, key.1));
                        self.endings.push((key.0.clone(), task.phase));
                    }
                }
                Phase::Fetching => {
                    wanted.insert(job.image.clone());
                }
                Phase::Running if job.run.is_some_and(|run| now.duration_since(task.since) >= run) => {
                    task.phase = Phase::Exited("done");
                    self.changed = true;
                    self.events.push(format!("{} completes {} try {}", self.name, key.0, key.1));
                    self.endings.push((key.0.clone(), task.phase));
                }
                _ => {}
            }
        }
        self.fetching.retain(|image, _| wanted.contains(image));
    }

    pub fn execute(&mut self, orders: &[Json], jobs: &BTreeMap<String, JobFile>, via: &str) {
        for order in orders {
            let piece = order.get("Piece").text().to_string();
            let Some(attempt) = order.get("Try").integer() else { continue };
            let key = (piece.clone(), attempt);
            let verb = order.get("Verb").text();
            self.events.push(format!("{} ordered {verb} {piece} try {attempt} ({via})", self.name));
            match verb {
                "run" if !self.tasks.contains_key(&key) => self.run(key, jobs),
                "kill" => {
                    if let Some(task) = self.tasks.get_mut(&key)
                        && !matches!(task.phase, Phase::Exited(_))
                    {
                        task.phase = Phase::Exited("halted");
                        self.changed = true;
                        self.events.push(format!("{} stopped {piece} try {attempt}", self.name));
                        self.endings.push((piece.clone(), task.phase));
                    }
                }
                "reap" if self.tasks.get(&key).is_some_and(|task| matches!(task.phase, Phase::Exited(_))) => {
                    self.tasks.remove(&key);
                    self.changed = true;
                    self.events.push(format!("{} reaped {piece} try {attempt}", self.name));
                }
                _ => {}
            }
        }
        self.advance(jobs);
    }

    fn run(&mut self, key: Key, jobs: &BTreeMap<String, JobFile>) {
        let now = Instant::now();
        let is_live = |task: &Task| !matches!(task.phase, Phase::Exited(_));
        let in_use = self.tasks.iter().any(|((piece, _), task)| *piece == key.0 && is_live(task));
        let phase = match jobs.get(job_of(&key.0)) {
            None => Phase::Exited("unknown"),
            Some(_) if in_use => Phase::Exited("in_use"),
            Some(job) => {
                let (cores, memory) = self.free(jobs);
                if job.cores > cores + 1e-9 || job.memory_gb > memory + 1e-9 {
                    Phase::Exited("full")
                } else {
                    if !self.images.contains_key(&job.image) {
                        let fetch = Duration::from_secs_f64(job.image_gb / self.fetch_gb_per_s);
                        self.fetching.entry(job.image.clone()).or_insert(now + fetch);
                    }
                    Phase::Fetching
                }
            }
        };
        self.changed = true;
        self.tasks.insert(key, Task { phase, since: now });
    }

    /// The next report; also the body of the answer to a direct command.
    pub fn report(&mut self) -> Json {
        self.tally += 1;
        let pieces: Vec<Json> = self
            .tasks
            .iter()
            .map(|((piece, attempt), task)| {
                let mut fields = object([("Piece", piece.as_str().into()), ("Try", (*attempt).into())]);
                match task.phase {
                    Phase::Fetching => fields.set("Status", "fetching".into()),
                    Phase::Running => fields.set("Status", "running".into()),
                    Phase::Exited(cause) => {
                        fields.set("Status", "exited".into());
                        fields.set("Cause", cause.into());
                    }
                }
                fields
            })
            .collect();
        object([
            ("Host", self.name.as_str().into()),
            ("Endpoint", self.endpoint.to_string().into()),
            ("Build", self.build.as_str().into()),
            ("Yard", self.yard.as_str().into()),
            ("Loaners", self.spot.into()),
            ("Shift", self.shift.into()),
            ("Tally", self.tally.into()),
            ("Baton", self.baton.into()),
            ("RecallS", Json::Null),
            ("Pieces", pieces.into()),
        ])
    }

    /// `POST /commands`.
    pub fn commands(&mut self, body: &str, jobs: &BTreeMap<String, JobFile>, via: &str) -> (u16, Json) {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let (Some(baton), Some(shift)) = (body.get("Baton").integer(), body.get("Shift").integer()) else {
            return (400, object([]));
        };
        self.advance(jobs);
        if baton < self.baton || shift != self.shift {
            self.events.push(format!("{} refuses commands with token {baton}, session {shift} ({via})", self.name));
            return (409, self.report());
        }
        self.take_token(baton);
        self.execute(body.get("Orders").list(), jobs, via);
        (200, self.report())
    }

    fn take_token(&mut self, baton: u64) {
        if baton > self.baton {
            self.baton = baton;
            self.changed = true;
        }
    }

    /// The answer 200 to a report that was sent at `sent` in session `shift`.
    pub fn answered(&mut self, sent: Instant, shift: u64, body: &str, jobs: &BTreeMap<String, JobFile>) {
        let Some(body) = Json::parse(body) else { return };
        let Some(baton) = body.get("Baton").integer() else { return };
        self.advance(jobs);
        if baton < self.baton || shift != self.shift {
            return;
        }
        self.take_token(baton);
        self.lease_from = sent;
        self.execute(body.get("Orders").list(), jobs, "report");
    }
}

pub fn job_of(piece: &str) -> &str {
    piece.split('/').next().unwrap_or_default()
}
