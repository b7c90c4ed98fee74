//! What only the leader has: the slices put together for one token.

use crate::arrivals::Arrivals;
use crate::controller::{Effect, Origin, Slot, accepted, unavailable};
use crate::drains;
use crate::failure_detection::LostZone;
use crate::intake::{self, Applied, Final, JobStore, Refusal};
use crate::inventory::{self, Inventory};
use crate::peers::{Answer, UserCall};
use crate::plan::{Correction, Plans};
use crate::records::{self, MachineRecord, Record, Records};
use crate::scheduling::{Names, Pacing};
use crate::settings::Settings;
use crate::store::Reply;
use crate::types::{
    AttemptId, AttemptNumber, Duration, FencingToken, JobId, MachineId, Resources, TaskId, Timestamp, WallClock,
};
use crate::upgrade::Format;
use crate::wire::{Cause, Report, ReportAnswer};
use crate::workers::{self, Enrolment, Machine};
use caperstile_admission::{AdmissionControl, AdmissionTable, Decision, Submission};
use caperstile_disruption::Coordinator;
use log::{debug, info, warn};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod admission;
mod facts;
mod reports;
mod tasks;
mod users;

pub(crate) use users::too_many;

/// Direct commands are given up after this time; they may still be executed later.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a commit may take before its users are told to come back.
const COMMIT_PATIENCE: Duration = Duration::from_millis(1800);

/// Executions between two records of what CorrecFAST has learnt.
const LEARNT_EVERY: u64 = 20;
/// Direct commands that may be under way however far a leader is behind.
const FEW_COMMANDS: usize = 8;
/// Facts that may wait to become durable before submissions are refused, beside one for each machine: a fleet that comes up at once
/// is no backlog.
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
    until: Timestamp,
}

/// One node's time as leader.
pub struct Term {
    pub(crate) settings: Settings,
    pub(crate) token: FencingToken,
    /// What may be written: gangs are taken only under a format that has them.
    format: Format,
    pub(crate) since: Timestamp,
    records: Records,
    pub(crate) jobs: JobStore,
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) inventory: Inventory,
    pub(crate) plans: Plans,
    pub(crate) correction: Correction,
    /// What came lately, by class.
    pub(crate) arrivals: Arrivals,
    /// Classes whose jobs are to start sooner than a machine boots.
    pub(crate) prompt_classes: BTreeSet<String>,
    /// Free room of machines that is kept for jobs that must start at once.
    pub(crate) headroom: BTreeMap<MachineId, Resources>,
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
    pub(crate) wave: Timestamp,
    opened: bool,
    attempts: u64,
    pub(crate) commands: u64,
    pub(crate) admission: AdmissionControl,
    admission_written: admission::StatusWritten,
    accepting: HashMap<JobId, Vec<Waiter>>,
    cancelling: HashMap<JobId, Vec<Waiter>>,
    /// Finished attempts that may be reaped once their finish is durable.
    finished: HashMap<TaskId, (MachineId, AttemptNumber)>,
    /// Started early because the plan may have changed.
    pub(crate) dirty: bool,
    pub(crate) scheduled: Timestamp,
    pub(crate) demanded: Timestamp,
    watched: Timestamp,
    ticked: Timestamp,
    /// How long nothing of ours has reached any worker, counted in ticks, so that a process that stood still
    /// does not take its own absence for silence.
    pub(crate) silent_for: Duration,
    /// Whether anything has reached a worker in this term.
    pub(crate) reaches: bool,
    /// How often and how much is planned.
    pub(crate) pacing: Pacing,
    pub(crate) over: Option<Over>,
    pub(crate) drains: Option<Coordinator>,
    /// When drains had their round last.
    pub(crate) drained: Timestamp,
}

impl Term {
    /// Begins a term.
    pub fn new(token: FencingToken, format: Format, now: Timestamp, settings: &Settings) -> Term {
        Term {
            token,
            format,
            since: now,
            records: Records::new(token, format, now, &settings.deployment.state, &settings.tuning),
            jobs: JobStore::default(),
            machines: BTreeMap::new(),
            inventory: Inventory::new(token, now, &settings.deployment.cloud),
            plans: Plans::default(),
            correction: Correction::default(),
            arrivals: Arrivals::default(),
            prompt_classes: BTreeSet::new(),
            headroom: BTreeMap::new(),
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
            admission_written: admission::StatusWritten::default(),
            admission: AdmissionControl::new(token, now, settings.admission.clone()),
            accepting: HashMap::new(),
            cancelling: HashMap::new(),
            finished: HashMap::new(),
            dirty: true,
            scheduled: Timestamp::ZERO,
            demanded: Timestamp::ZERO,
            watched: now,
            ticked: now,
            silent_for: Duration::ZERO,
            reaches: false,
            pacing: Pacing::default(),
            over: None,
            drains: drains::coordinator(settings, now),
            drained: Timestamp::ZERO,
            settings: settings.clone(),
        }
    }

    /// Reads back what is durable and asks the cloud for its machine types.
    pub fn start(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.records.start(now, &mut events);
        self.recorded(now, wall, events, out);
        let mut events = Vec::new();
        self.inventory.tick(now, &mut events);
        self.hired(now, wall, events, out);
    }

    /// The token of this term.
    pub fn token(&self) -> FencingToken {
        self.token
    }
    /// What may be written.
    pub(crate) fn format(&self) -> Format {
        self.format
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
    /// The job store.
    pub fn jobs(&self) -> &JobStore {
        &self.jobs
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
    pub(crate) fn next_attempt(&mut self) -> AttemptNumber {
        self.attempts += 1;
        AttemptNumber((self.token.0 << 24) + self.attempts)
    }

    // ---- cloud ----

    /// The cloud answered.
    pub fn cloud(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        certain: bool,
        id: u64,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        let mut events = Vec::new();
        let machines = &self.machines;
        let knew = self.inventory.flavors().is_some();
        self.inventory.reply(now, id, reply, &|id| machines.contains_key(&id), &mut events);
        if !knew && self.inventory.flavors().is_some() {
            self.changed.extend(self.machines.keys());
        }
        self.hired(now, wall, events, out);
        self.maybe_schedule(now, wall, certain, out);
        self.flush(now, out);
    }

    pub(crate) fn hired(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        events: Vec<inventory::Event>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            match event {
                inventory::Event::Call(id, call) => out.push(Effect::Cloud(self.token.0, id, call)),
                inventory::Event::Failed(id) => {
                    if let Some(machine) = self.machines.get_mut(&id) {
                        machine.draining.get_or_insert("failed");
                        self.changed.insert(id);
                    }
                    self.inventory.give_back(id, "failed");
                }
                inventory::Event::Rented(ids) => {
                    for id in ids {
                        if let Some(b) = self.inventory.booting_one(id) {
                            self.records.push(rented(id, b, wall.at_timestamp(now, b.since)));
                        }
                    }
                }
                inventory::Event::Returned(ids) => {
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
    pub fn tick(&mut self, now: Timestamp, wall: WallClock, certain: bool, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.records.tick(now, &mut events);
        self.recorded(now, wall, events, out);
        let passed = now.since(self.ticked).min(Duration::from_millis(200));
        self.ticked = now;
        if !self.loaded() {
            return;
        }
        self.silent_for = self.silent_for + passed;
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
            facts.extend(self.inventory.booting().map(|(id, b)| rented(*id, b, wall.at_timestamp(now, b.since))));
            facts.push(Record::Learnt(self.correction.percent, self.correction.executions));
            facts.extend(self.jobs.facts());
            debug!("snapshot facts={}", facts.len());
            self.records.begin_snapshot(facts.into_iter());
        }
        if certain {
            let mut events = Vec::new();
            self.inventory.tick(now, &mut events);
            self.hired(now, wall, events, out);
        }
        if now.since(self.watched) >= Duration::from_millis(250) {
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
            info!("open token={} after={}s", self.token, now.since(self.since).as_secs_f64());
        }
        self.maybe_schedule(now, wall, certain, out);
        self.sync_drains(now, certain, out);
        self.flush(now, out);
    }

    /// Direct commands that may be under way: fewer when behind, since reports do the same, only later.
    pub(crate) fn commands_at_once(&self) -> usize {
        let most = self.settings.deployment.resources.commands_at_once();
        (most / (1 + self.pacing.behind.as_millis() as usize / 50)).max(FEW_COMMANDS)
    }

    /// Sends what is to be sent at once: direct commands and due commits.
    pub(crate) fn flush(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
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
fn rented(id: MachineId, b: &inventory::Booting, at: WallClock) -> Record {
    let (kind, zone, endpoint) = (b.kind.clone(), b.zone.clone(), String::new());
    Record::Rented(MachineRecord { id, endpoint, kind, zone, spot: b.spot, at })
}

#[cfg(test)]
mod tests;
