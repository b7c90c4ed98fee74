//! What only the leader has: the slices put together for one token.

use crate::controller::{Effect, Origin, Slot, accepted, unavailable};
use crate::fleet::{self, Fleet};
use crate::intake::{self, Applied, Final, JobBook, Refusal};
use crate::peers::{Answer, UserCall};
use crate::plan::{Correction, Plans};
use crate::records::{self, MachineRecord, Record, Records};
use crate::scheduling::Names;
use crate::settings::Settings;
use crate::store::Reply;
use crate::units::{Attempt, JobId, MachineId, Room, Span, TaskId, Time, Token, Wall};
use crate::watching::LostZone;
use crate::wire::{Cause, Report, ReportAnswer};
use crate::workers::{self, Enrolment, Machine, Phase};
use log::{debug, info, warn};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Direct commands are given up after this time; they may still be executed later.
pub const COMMAND_TIMEOUT: Span = Span(1500);
/// How long a commit may take before its users are told to come back.
const COMMIT_PATIENCE: Span = Span(1800);

/// Executions between two records of what CorrecFAST has learnt.
const LEARNT_EVERY: u64 = 20;
/// Direct commands that may be under way however far a leader is behind.
const FEW_COMMANDS: usize = 8;
/// Facts that may wait to become durable.
const BACKLOG_LIMIT: usize = 5000;

/// Why a term is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Over {
    /// Somebody else has won the key.
    KeyChanged,
    /// A worker obeys a later leader.
    HigherToken,
    /// This node reaches no worker.
    NoWorkers,
}

impl Over {
    /// For the log.
    pub fn reason(self) -> &'static str {
        match self {
            Over::KeyChanged => "the leader key has changed",
            Over::HigherToken => "a worker has seen a higher token",
            Over::NoWorkers => "no worker is reached",
        }
    }
}

/// A user who waits for a commit.
#[derive(Debug, Clone, Copy)]
struct Waiter {
    origin: Origin,
    until: Time,
}

/// One node's time as leader.
pub struct Term {
    pub(crate) settings: Settings,
    pub(crate) token: Token,
    pub(crate) since: Time,
    records: Records,
    pub(crate) book: JobBook,
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) fleet: Fleet,
    pub(crate) plans: Plans,
    pub(crate) correction: Correction,
    pub(crate) names: Names,
    /// Machines of which the plan must learn something.
    pub(crate) changed: BTreeSet<MachineId>,
    /// Machines to which a direct command should be sent soon.
    pub(crate) wanting: BTreeSet<MachineId>,
    /// Machines that the cloud takes back.
    pub(crate) noticed: BTreeSet<MachineId>,
    /// Zones of the nodes that led not long ago: if such a zone is cut off, that node most likely keeps the
    /// leases of its machines alive.
    pub(crate) led_from_within: BTreeSet<String>,
    /// Zones in which most machines fell silent.
    pub(crate) lost_zones: HashMap<String, LostZone>,
    /// Zones in which no machine is up while others have several.
    pub(crate) empty_zones: BTreeSet<String>,
    /// Those of them where machines fell silent or do not come up.
    pub(crate) doubtful: BTreeSet<String>,
    /// Where the last round of planning stopped, if it did not get through.
    pub(crate) stopped: Option<JobId>,
    /// Direct commands under way.
    pub(crate) flights: usize,
    /// Enrolled by an earlier leader and not known to have seen this token.
    pub(crate) unfenced: BTreeSet<MachineId>,
    /// When an earlier leader's machine was fenced last.
    pub(crate) wave: Time,
    opened: bool,
    attempts: u64,
    pub(crate) commands: u64,
    accepting: HashMap<JobId, Vec<Waiter>>,
    cancelling: HashMap<JobId, Vec<Waiter>>,
    /// Finished attempts that may be reaped once their finish is durable.
    finished: HashMap<TaskId, (MachineId, Attempt)>,
    /// Started early because the plan may have changed.
    pub(crate) dirty: bool,
    pub(crate) scheduled: Time,
    pub(crate) demanded: Time,
    watched: Time,
    ticked: Time,
    /// How long nothing of ours has reached any worker, counted in ticks, so that a process that stood still
    /// does not take its own absence for silence.
    pub(crate) unheard: Span,
    /// Whether anything has reached a worker in this term.
    pub(crate) reaches: bool,
    /// So long inputs wait: planning does less then, so that reports and users come first.
    pub(crate) behind: Span,
    pub(crate) over: Option<Over>,
}

impl Term {
    /// Begins a term.
    pub fn new(token: Token, now: Time, settings: &Settings) -> Term {
        Term {
            token,
            since: now,
            records: Records::new(token, now, &settings.deployment.state, &settings.tuning),
            book: JobBook::default(),
            machines: BTreeMap::new(),
            fleet: Fleet::new(token, now, &settings.deployment.cloud),
            plans: Plans::default(),
            correction: Correction::default(),
            names: Names::default(),
            changed: BTreeSet::new(),
            wanting: BTreeSet::new(),
            noticed: BTreeSet::new(),
            led_from_within: BTreeSet::new(),
            lost_zones: HashMap::new(),
            empty_zones: BTreeSet::new(),
            doubtful: BTreeSet::new(),
            stopped: None,
            flights: 0,
            unfenced: BTreeSet::new(),
            wave: now,
            opened: false,
            attempts: 0,
            commands: 0,
            accepting: HashMap::new(),
            cancelling: HashMap::new(),
            finished: HashMap::new(),
            dirty: true,
            scheduled: Time(0),
            demanded: Time(0),
            watched: now,
            ticked: now,
            unheard: Span(0),
            reaches: false,
            behind: Span(0),
            over: None,
            settings: settings.clone(),
        }
    }

    /// Reads back what is durable and asks the cloud for its machine types.
    pub fn start(&mut self, now: Time, wall: Wall, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.records.start(now, &mut events);
        self.recorded(now, wall, events, out);
        let mut events = Vec::new();
        self.fleet.tick(now, &mut events);
        self.hired(now, wall, events, out);
    }

    /// The token of this term.
    pub fn token(&self) -> Token {
        self.token
    }
    /// Whether everything durable was read back.
    pub fn loaded(&self) -> bool {
        self.records.loaded()
    }
    /// Why this term is over, if it is.
    pub fn over(&self) -> Option<Over> {
        self.over
    }
    /// Whether every machine of earlier leaders was fenced or is gone, so that older jobs may start.
    pub fn open(&self) -> bool {
        self.unfenced.is_empty()
    }
    /// The job book.
    pub fn book(&self) -> &JobBook {
        &self.book
    }
    /// The machines.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// Those who wait for a commit are told to come back.
    pub fn abdicate(self, out: &mut Vec<Effect>) {
        for waiter in self.accepting.into_values().chain(self.cancelling.into_values()).flatten() {
            out.push(Effect::Answer(waiter.origin, unavailable("the leader has changed")));
        }
    }

    /// An attempt number that no leader has used or will use.
    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt((self.token.0 << 24) + self.attempts)
    }

    // ---- users ----

    /// A user asks.
    pub fn user(
        &mut self,
        now: Time,
        wall: Wall,
        certain: bool,
        origin: Origin,
        call: &UserCall,
        out: &mut Vec<Effect>,
    ) {
        let answer = match call {
            UserCall::Submit(body) => self.submit(now, wall, certain, origin, body),
            UserCall::Get(id) => Some(self.get(certain, id)),
            UserCall::Cancel(id) => self.cancel(now, certain, origin, id),
        };
        if let Some(answer) = answer {
            out.push(Effect::Answer(origin, answer));
        }
        self.flush(now, out);
    }

    fn submit(&mut self, now: Time, wall: Wall, certain: bool, origin: Origin, body: &[u8]) -> Option<Answer> {
        let parsed = intake::parse_job(body, wall);
        // A known id is answered with its state, whatever else the body says.
        let id = match &parsed {
            Ok(record) => Some(record.id),
            Err(_) => serde_json::from_slice::<serde_json::Value>(body)
                .ok()
                .and_then(|v| v.get("Ref").and_then(|r| r.as_str()).and_then(|r| r.parse().ok())),
        };
        if let Some(id) = id {
            let accepted = self.book.ended(id).is_some() || self.book.get(id).is_some_and(|j| j.durable);
            if accepted {
                return Some(self.get(certain, &id.to_string()));
            }
        }
        let mut record = match parsed {
            Ok(record) => record,
            Err(refusal) => return Some(refused(&refusal)),
        };
        if !certain {
            // An older answer could be wrong: another leader may have accepted it by now.
            return Some(unavailable("leadership is in doubt"));
        }
        let waiter = Waiter { origin, until: now + COMMIT_PATIENCE };
        if self.book.get(record.id).is_some() {
            self.accepting.entry(record.id).or_default().push(waiter);
            return None;
        }
        let teams = &self.settings.deployment.teams;
        if let Err(refusal) = intake::can_ever_run(&record, teams, self.fleet.flavors()) {
            return Some(refused(&refusal));
        }
        // Types that the cloud does not have cannot matter, and need no room in the log.
        let fleet = &self.fleet;
        if let Some(types) = &mut record.types {
            types.sort_unstable();
            types.dedup();
            types.retain(|t| fleet.flavor(t).is_some());
        }
        if !self.records.fits(&Record::Job(record.clone())) {
            return Some(refused(&Refusal::Malformed("Reel", "the job's names are too long to be kept")));
        }
        let limit = self.settings.deployment.resources.open_jobs();
        if self.book.open() >= limit || self.records.backlog() >= BACKLOG_LIMIT {
            // Answered at once: the user is told when to come back.
            return Some(Answer { retry_after: 10, ..unavailable("too many jobs are open") });
        }
        self.accepting.entry(record.id).or_default().push(waiter);
        self.records.push(Record::Job(record.clone()));
        self.book.enter(record, now, true);
        None
    }

    fn get(&self, certain: bool, id: &str) -> Answer {
        let not_found = || Answer { status: 404, retry_after: 0, body: json!({"error": "no such job"}).to_string() };
        let Ok(id) = id.parse::<JobId>() else { return not_found() };
        // A durable final state never changes; all else may be outdated if another node leads.
        if self.book.ended(id).is_none() && !certain {
            return unavailable("leadership is in doubt");
        }
        if self.book.get(id).is_some_and(|j| !j.durable) {
            return unavailable("not accepted yet");
        }
        match self.book.state(id) {
            Some(state) => Answer { status: 200, retry_after: 0, body: state.to_string() },
            None => not_found(),
        }
    }

    fn cancel(&mut self, now: Time, certain: bool, origin: Origin, id: &str) -> Option<Answer> {
        let Ok(job_id) = id.parse::<JobId>() else {
            return Some(Answer {
                status: 400,
                retry_after: 0,
                body: json!({"error": "the id has the wrong form", "field": "Ref"}).to_string(),
            });
        };
        if self.book.ended(job_id).is_some() {
            return Some(self.get(certain, id));
        }
        if !certain {
            return Some(unavailable("leadership is in doubt"));
        }
        let open = self.open();
        let mut stops = Vec::new();
        let Some(job) = self.book.get_mut(job_id) else { return Some(self.get(certain, id)) };
        if !job.durable {
            return Some(unavailable("not accepted yet"));
        }
        if !open && !job.ours {
            // A machine that has not seen this token may start its tasks by an earlier leader's word.
            return Some(unavailable("not all machines are fenced yet"));
        }
        let waiter = Waiter { origin, until: now + COMMIT_PATIENCE };
        self.cancelling.entry(job_id).or_default().push(waiter);
        // With all tasks done its state will be `done` as soon as that is durable.
        if !job.cancelling && job.done.len() < job.record.tasks {
            job.cancelling = true;
            stops.extend(job.placed.values().copied());
            self.plans.remove_job(job_id);
            self.records.push(Record::Cancelled(job_id));
        }
        // Stopped before the fact is written, not once it is known to be durable: if the answer to the commit is lost,
        // the next leader reads the fact and confirms it, while this one may go on renewing the leases. A leader
        // that never learnt that its commit was carried out let the tasks run on through an outage. If it was not
        // carried out, the tasks wait again.
        for placed in stops {
            self.stop(placed.machine, placed.attempt, 0.0);
        }
        None
    }

    // ---- durable facts ----

    /// The state service answered.
    pub fn state(&mut self, now: Time, wall: Wall, certain: bool, id: u64, reply: &Reply, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.records.reply(now, id, reply, &mut events);
        self.recorded(now, wall, events, out);
        self.maybe_schedule(now, wall, certain, out);
    }

    fn recorded(&mut self, now: Time, wall: Wall, events: Vec<records::Event>, out: &mut Vec<Effect>) {
        for event in events {
            match event {
                records::Event::Call(id, call) => out.push(Effect::State(Slot::Records(self.token.0), id, call)),
                records::Event::Loaded(record) => self.restore(now, wall, &record),
                records::Event::LoadDone => {
                    self.opened = self.unfenced.is_empty();
                    info!(
                        "loaded token={} jobs={} over={} machines={}",
                        self.token,
                        self.book.open(),
                        self.book.finals(),
                        self.machines.len()
                    );
                    self.wanting.extend(self.machines.keys());
                    self.changed.extend(self.machines.keys());
                    self.flush(now, out);
                }
                records::Event::Durable(facts) => {
                    for record in facts {
                        self.durable(now, wall, &record, out);
                    }
                }
                records::Event::Deposed => self.over = Some(Over::KeyChanged),
            }
        }
    }

    fn restore(&mut self, now: Time, wall: Wall, record: &Record) {
        match record {
            Record::Enrolled(machine) => {
                let mut m = Machine::new(machine.clone(), Room::default(), Enrolment::Durable, now);
                m.since = wall.instant(now, machine.at);
                self.fleet.up(machine.id);
                self.unfenced.insert(machine.id);
                self.machines.insert(machine.id, m);
            }
            // Such facts are written later than others: by now it may be known to be up, or gone.
            Record::Rented(machine) if self.machines.contains_key(&machine.id) || self.fleet.is_gone(machine.id) => {}
            Record::Rented(machine) => {
                let (kind, zone) = (machine.kind.clone(), machine.zone.clone());
                let since = wall.instant(now, machine.at);
                self.fleet.inherit(machine.id, fleet::Booting { kind, zone, spot: machine.spot, since });
            }
            Record::Image(id, image) => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.images.insert(image.clone());
                }
            }
            Record::Learnt(percent, executions) => {
                self.correction = Correction { percent: *percent, executions: *executions };
            }
            Record::Gone(id) => {
                self.fleet.lose(*id);
                self.unfenced.remove(id);
                self.machines.remove(id);
            }
            other => {
                self.book.apply(other, now, wall);
            }
        }
    }

    /// A fact of this term became durable: now it may be told and acted on.
    fn durable(&mut self, now: Time, wall: Wall, record: &Record, out: &mut Vec<Effect>) {
        self.dirty = true;
        match record {
            Record::Enrolled(machine) => {
                if let Some(m) = self.machines.get_mut(&machine.id) {
                    m.enrolment = Enrolment::Durable;
                    self.changed.insert(machine.id);
                }
            }
            Record::Gone(_) | Record::Rented(_) | Record::Image(..) | Record::Learnt(..) => {}
            other => {
                if let Record::Done(job, tasks) = other {
                    for index in tasks.iter() {
                        self.may_reap(TaskId { job: *job, index });
                    }
                }
                match self.book.apply(other, now, wall) {
                    Applied::Accepted(id) => {
                        if let Some(job) = self.book.get(id) {
                            debug!("accepted {id} class={} tasks={}", job.record.class, job.record.tasks);
                            for waiter in self.accepting.remove(&id).unwrap_or_default() {
                                out.push(Effect::Answer(waiter.origin, accepted(&job.record)));
                            }
                        }
                    }
                    Applied::Over(id, left) => self.job_over(now, id, &left, out),
                    Applied::Nothing => {}
                }
            }
        }
    }

    fn job_over(&mut self, now: Time, id: JobId, left: &[intake::Placed], out: &mut Vec<Effect>) {
        info!("over {id} {}", if matches!(self.book.ended(id), Some(Final::Done(_))) { "done" } else { "cancelled" });
        self.plans.remove_job(id);
        for placed in left {
            self.stop(placed.machine, placed.attempt, 0.0);
            let machine = self.machines.get_mut(&placed.machine);
            if let Some(hold) = machine.and_then(|m| m.holds.get_mut(&placed.attempt)) {
                hold.claimed = false;
                hold.reapable = true;
            }
        }
        let tasks: Vec<TaskId> = self.finished.keys().filter(|t| t.job == id).copied().collect();
        for task in tasks {
            self.may_reap(task);
        }
        let answer = self.get(true, &id.to_string());
        for waiter in self.cancelling.remove(&id).unwrap_or_default() {
            out.push(Effect::Answer(waiter.origin, answer.clone()));
        }
        self.flush(now, out);
    }

    fn may_reap(&mut self, task: TaskId) {
        if let Some((machine, attempt)) = self.finished.remove(&task)
            && let Some(hold) = self.machines.get_mut(&machine).and_then(|m| m.holds.get_mut(&attempt))
        {
            hold.reapable = true;
        }
    }

    // ---- workers ----

    /// A worker reports.
    pub fn report(
        &mut self,
        now: Time,
        wall: Wall,
        certain: bool,
        origin: Origin,
        report: &Report,
        out: &mut Vec<Effect>,
    ) {
        if report.token > self.token.0 {
            self.over = Some(Over::HigherToken);
            out.push(Effect::Answer(origin, unavailable("a newer leader exists")));
            return;
        }
        let Ok(id) = report.machine.parse::<MachineId>() else {
            let body = json!({"error": "the machine's name has the wrong form", "field": "Host"}).to_string();
            out.push(Effect::Answer(origin, Answer { status: 400, retry_after: 0, body }));
            return;
        };
        if self.fleet.is_gone(id) {
            // A late message of a machine that is no more.
            out.push(Effect::Answer(origin, unavailable("this machine was returned")));
            return;
        }
        self.machines.entry(id).or_insert_with(|| {
            let record = MachineRecord {
                id,
                endpoint: report.endpoint.clone(),
                kind: report.kind.clone(),
                zone: report.zone.clone(),
                spot: report.spot,
                at: wall,
            };
            info!("up machine={id} type={} zone={} spot={}", report.kind, report.zone, report.spot);
            Machine::new(record, Room::default(), Enrolment::None, now)
        });
        if let Some(rented) = self.fleet.up(id)
            && let Some(machine) = self.machines.get_mut(&id)
        {
            machine.since = rented;
            machine.record.at = wall.of(now, rented);
        }
        let others = !self.settings.seeds.is_empty();
        if !self.machines.get_mut(&id).is_some_and(|m| m.report(now, report, others)) {
            let body = json!({"error": "a newer report has come", "field": "Tally"}).to_string();
            out.push(Effect::Answer(origin, Answer { status: 409, retry_after: 0, body }));
            return;
        }
        let showed = self.message(now, id, report);
        self.heard_of(now, id);
        self.enrol(certain, id);
        if self.machines.get(&id).is_some_and(|m| !m.fenced && m.told.0.0 > 0) {
            // The answer to a worker's first report tells it our token, and it reports that at once; only where it does
            // not a command asks.
            self.wanting.insert(id);
        }
        self.maybe_schedule(now, wall, certain, out);
        if showed {
            // What is planned next here goes with the answer.
            self.go_on(now, id);
        }
        if let Some(machine) = self.machines.get_mut(&id) {
            let keep = self.settings.deployment.workers.copies_over();
            let orders = match machine.fenced {
                true => machine.orders(now, keep),
                // The answer renews the lease, whatever runs there. What is cancelled must not run on by that: each new
                // leader of a chain renewed it once, and the machine was out of reach before the next report.
                false => workers::kills(report, &|job| self.book.ended(job).is_some()),
            };
            machine.answered = now;
            machine.told = machine.last_report;
            let body = serde_json::to_string(&ReportAnswer { token: self.token.0, orders }).unwrap_or_default();
            out.push(Effect::Answer(origin, Answer { status: 200, retry_after: 0, body }));
        }
        self.flush(now, out);
    }

    /// Enrols a machine that is new. Only one that has seen this token is surely there: the report of a
    /// machine that an earlier leader returned may come late.
    fn enrol(&mut self, certain: bool, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id)
            && certain
            && machine.fenced
            && machine.enrolment == Enrolment::None
            && !self.fleet.is_returning(id)
        {
            machine.enrolment = Enrolment::Pending;
            self.records.push(Record::Enrolled(machine.record.clone()));
        }
    }

    /// A worker answered a direct command, or did not.
    #[allow(clippy::too_many_arguments)]
    pub fn command_answer(
        &mut self,
        now: Time,
        wall: Wall,
        certain: bool,
        id: MachineId,
        command: u64,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        // 200: executed. 409: nothing executed, and nothing will be. Else it may come to be late.
        let answered = matches!(reply.status, 200 | 409);
        self.flights = self.flights.saturating_sub(1);
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.command_over(now, command, answered);
            self.changed.insert(id);
        }
        if answered && let Some(report) = reply.parse::<Report>() {
            if report.token > self.token.0 {
                self.over = Some(Over::HigherToken);
                return;
            }
            if report.machine == id.to_string() {
                self.message(now, id, &report);
            }
        }
        self.heard_of(now, id);
        self.enrol(certain, id);
        if answered {
            // Orders may have come in the meantime, or it is not fenced yet.
            self.wanting.insert(id);
        }
        self.maybe_schedule(now, wall, certain, out);
        self.flush(now, out);
    }

    /// Takes a worker's message; true if it showed something.
    fn message(&mut self, now: Time, id: MachineId, report: &Report) -> bool {
        let token = self.token;
        let Some(machine) = self.machines.get_mut(&id) else { return false };
        let had_notice = machine.notice.is_some();
        let mut events = Vec::new();
        machine.message(now, report, token, &mut events);
        self.changed.insert(id);
        if !had_notice && machine.notice.is_some() {
            info!("spot notice machine={id} seconds={:?}", report.notice_s);
            self.noticed.insert(id);
            self.dirty = true;
        }
        let showed = !events.is_empty();
        self.dirty |= showed;
        self.observed(now, id, events);
        showed
    }

    pub(crate) fn observed(&mut self, now: Time, id: MachineId, events: Vec<workers::Event>) {
        for event in events {
            match event {
                workers::Event::Fenced => {
                    info!("fenced machine={id} token={}", self.token);
                    if self.unfenced.remove(&id) {
                        self.wave = now;
                    }
                }
                workers::Event::Image(image) => self.records.push(Record::Image(id, image)),
                workers::Event::Found(attempt, task) => self.found(id, attempt, task),
                workers::Event::Running(task) => {
                    if let Some(placed) = self.book.get_mut(task.job).and_then(|j| j.placed.get_mut(&task.index)) {
                        placed.running = true;
                    }
                }
                workers::Event::Lost(task) => {
                    debug!("lost {task} machine={id}");
                    self.unplace(id, task);
                }
                workers::Event::Exited { attempt, task, cause, since, running_since, predicted } => {
                    self.exited(now, id, attempt, task, cause, since, running_since, predicted);
                }
            }
        }
    }

    /// A task that an earlier leader started: taken over if its job is not over.
    fn found(&mut self, id: MachineId, attempt: Attempt, task: TaskId) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(hold) = machine.holds.get_mut(&attempt) else { return };
        let Some(job) = self.book.get_mut(task.job) else { return };
        hold.need = job.record.need;
        hold.rank = job.record.rank;
        hold.image.clone_from(&job.record.image);
        hold.predicted = (!job.record.service).then_some(job.record.estimate);
        let running = hold.phase == Phase::Running;
        if !job.cancelling && job.pending.remove(task.index) {
            job.placed.insert(task.index, intake::Placed { machine: id, attempt, running });
            hold.claimed = true;
            hold.stop = None;
            if running {
                machine.images.insert(job.record.image.clone());
            }
        } else if hold.occupies() {
            warn!("stopping unexpected {task} attempt={attempt} machine={id}");
        }
    }

    /// The task is on no machine any more.
    fn unplace(&mut self, id: MachineId, task: TaskId) {
        if let Some(job) = self.book.get_mut(task.job)
            && job.placed.get(&task.index).is_some_and(|p| p.machine == id)
        {
            job.placed.remove(&task.index);
            self.book.waits_again(task);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn exited(
        &mut self,
        now: Time,
        id: MachineId,
        attempt: Attempt,
        task: TaskId,
        cause: Cause,
        since: Time,
        running_since: Option<Time>,
        predicted: Option<Span>,
    ) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(hold) = machine.holds.get_mut(&attempt) else { return };
        hold.reapable = true;
        let ours = std::mem::replace(&mut hold.claimed, false);
        let inherited = attempt.0 >> 24 != self.token.0;
        let Some(job) = self.book.get_mut(task.job) else { return };
        if cause == Cause::Done && !job.record.service {
            machine.failed_jobs.clear();
            job.failures = 0;
            if ours
                && !inherited
                && let Some(predicted) = predicted
            {
                self.correction.learn(now.since(since), predicted);
                if self.correction.executions.is_multiple_of(LEARNT_EVERY) {
                    self.records.push(Record::Learnt(self.correction.percent, self.correction.executions));
                }
            }
            if job.done.insert(task.index) {
                debug!("done {task} attempt={attempt} machine={id} took={}s", now.since(since).as_secs());
                job.placed.remove(&task.index);
                job.pending.remove(task.index);
                hold.reapable = false;
                self.finished.insert(task, (id, attempt));
                self.records.push_done(task);
            }
            return;
        }
        if !ours {
            return;
        }
        match cause {
            Cause::Halted => debug!("stopped {task} machine={id}"),
            Cause::Error => {
                info!("failed {task} machine={id} ran={:?}", running_since.map(|r| now.since(r).as_secs()));
                job.failures += 1;
                if !job.failed_on.contains(&id) {
                    job.failed_on.push(id);
                }
                // A job that fails wherever it runs is tried less and less often; a machine that
                // fails different jobs is at fault itself.
                if job.failed_on.len() >= 3 {
                    let pause = 2u64.saturating_pow(job.failures.min(8)).min(60);
                    job.not_before = now + Span(pause * 1000);
                    job.failed_on.clear();
                    self.plans.remove_job(task.job);
                }
                let job = self.book.get(task.job);
                let faulty = job.is_some_and(|j| j.done.is_empty() && j.failures >= 3);
                if !faulty {
                    machine.failed_jobs.insert(task.job);
                }
                let succeeded_elsewhere = job.is_some_and(|j| !j.done.is_empty());
                if (machine.failed_jobs.len() >= 2 || (succeeded_elsewhere && !faulty)) && machine.draining.is_none() {
                    info!("quarantined machine={id} failed_jobs={}", machine.failed_jobs.len());
                    machine.draining = Some("fails its tasks");
                    self.changed.insert(id);
                }
            }
            other => {
                info!("refused {task} machine={id} cause={other:?}");
                job.not_before = job.not_before.max(now + Span(500));
            }
        }
        self.unplace(id, task);
    }

    // ---- cloud ----

    /// The cloud answered.
    pub fn cloud(&mut self, now: Time, wall: Wall, certain: bool, id: u64, reply: &Reply, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        let machines = &self.machines;
        let knew = self.fleet.flavors().is_some();
        self.fleet.reply(now, id, reply, &|id| machines.contains_key(&id), &mut events);
        if !knew && self.fleet.flavors().is_some() {
            self.changed.extend(self.machines.keys());
        }
        self.hired(now, wall, events, out);
        self.maybe_schedule(now, wall, certain, out);
        self.flush(now, out);
    }

    pub(crate) fn hired(&mut self, now: Time, wall: Wall, events: Vec<fleet::Event>, out: &mut Vec<Effect>) {
        for event in events {
            match event {
                fleet::Event::Call(id, call) => out.push(Effect::Cloud(self.token.0, id, call)),
                fleet::Event::Failed(id) => {
                    if let Some(machine) = self.machines.get_mut(&id) {
                        machine.draining.get_or_insert("failed");
                        self.changed.insert(id);
                    }
                    self.fleet.give_back(id, "failed");
                }
                fleet::Event::Rented(ids) => {
                    for id in ids {
                        if let Some(b) = self.fleet.booting_one(id) {
                            self.records.push(rented(id, b, wall.of(now, b.since)));
                        }
                    }
                }
                fleet::Event::Returned(ids) => {
                    self.dirty = true;
                    for id in ids {
                        self.records.push(Record::Gone(id));
                        self.plans.remove(id);
                        self.unfenced.remove(&id);
                        if let Some(mut machine) = self.machines.remove(&id) {
                            info!("gone machine={id}");
                            let mut events = Vec::new();
                            machine.drop_holds(&mut events);
                            self.observed(now, id, events);
                        }
                    }
                }
            }
        }
    }

    // ---- time ----

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, wall: Wall, certain: bool, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.records.tick(now, &mut events);
        self.recorded(now, wall, events, out);
        let passed = now.since(self.ticked).min(Span(200));
        self.ticked = now;
        if !self.loaded() {
            return;
        }
        self.unheard = self.unheard + passed;
        if self.records.wants_snapshot() {
            let mut facts: Vec<Record> = self
                .machines
                .values()
                .filter(|m| m.enrolment == Enrolment::Durable)
                .map(|m| Record::Enrolled(m.record.clone()))
                .collect();
            for m in self.machines.values().filter(|m| m.enrolment == Enrolment::Durable) {
                facts.extend(m.images.iter().map(|image| Record::Image(m.id(), image.clone())));
            }
            facts.extend(self.fleet.booting().map(|(id, b)| rented(*id, b, wall.of(now, b.since))));
            facts.push(Record::Learnt(self.correction.percent, self.correction.executions));
            facts.extend(self.book.facts());
            debug!("snapshot facts={}", facts.len());
            self.records.begin_snapshot(facts.into_iter());
        }
        if certain {
            let mut events = Vec::new();
            self.fleet.tick(now, &mut events);
            self.hired(now, wall, events, out);
        }
        if now.since(self.watched) >= Span(250) {
            self.watched = now;
            self.watch(now, certain, out);
        }
        for waiters in [&mut self.accepting, &mut self.cancelling] {
            for list in waiters.values_mut() {
                list.retain(|w| {
                    if w.until <= now {
                        out.push(Effect::Answer(w.origin, unavailable("the state service does not answer")));
                    }
                    w.until > now
                });
            }
            waiters.retain(|_, list| !list.is_empty());
        }
        if !self.opened && self.open() {
            self.opened = true;
            self.dirty = true;
            info!("open token={} after={}s", self.token, now.since(self.since).as_secs());
        }
        self.maybe_schedule(now, wall, certain, out);
        self.flush(now, out);
    }

    /// Direct commands that may be under way: fewer when behind, since reports do the same, only later.
    pub(crate) fn commands_at_once(&self) -> usize {
        let most = self.settings.deployment.resources.commands_at_once();
        (most / (1 + self.behind.0 as usize / 50)).max(FEW_COMMANDS)
    }

    /// Sends what is to be sent at once: direct commands and due commits.
    pub(crate) fn flush(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.records.tick(now, &mut events);
        for event in events {
            if let records::Event::Call(id, call) = event {
                out.push(Effect::State(Slot::Records(self.token.0), id, call));
            }
        }
        let most = self.commands_at_once();
        while self.flights < most
            && let Some(id) = self.wanting.pop_first()
        {
            self.command(now, id, false, out);
        }
    }
}

/// The fact that a machine was rented; where its worker is will be told by its first report.
fn rented(id: MachineId, b: &fleet::Booting, at: Wall) -> Record {
    let (kind, zone, endpoint) = (b.kind.clone(), b.zone.clone(), String::new());
    Record::Rented(MachineRecord { id, endpoint, kind, zone, spot: b.spot, at })
}

fn refused(refusal: &Refusal) -> Answer {
    let (status, body) = match refusal {
        Refusal::Malformed(field, problem) => (400, json!({"error": problem, "field": field})),
        Refusal::Never(why) => (422, json!({"error": why})),
        Refusal::NotYet(why) => return unavailable(why),
    };
    Answer { status, retry_after: 0, body: body.to_string() }
}

#[cfg(test)]
mod tests;
