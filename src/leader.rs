//! What only the leader has: the slices put together for one token.

use crate::api::{ApiResponse, UserRequest};
use crate::cloud::{self, CloudInstances};
use crate::effects::{Effect, RequestOrigin, StoreCaller};
use crate::jobs::{self, ApplyOutcome, JobStore, Refusal, TerminalState};
use crate::settings::Settings;
use crate::store::ServiceResponse;
use crate::types::{Duration, FencingToken, JobId, MachineId, Resources, TaskId, Timestamp, WallClock};
use crate::upgrade::Format;
use crate::workers::{DrainReason, Machine, Registration};
use crate::write_ahead_log::{self, LogRecord, MachineRecord, WriteAheadLog};
use caperstile_admission::{AdmissionControl, AdmissionTable, Decision, Submission};
use command_dispatch::CommandDispatch;
use drains::DrainState;
use failure_detection::{WorkerReachability, ZoneHealth};
use fencing::Fencing;
use log::{debug, info};
use pending_requests::PendingRequests;
use scheduling::Planning;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tasks::UnconfirmedFinish;

mod admission;
mod command_dispatch;
mod drains;
mod failure_detection;
mod fencing;
mod heartbeats;
mod log_records;
mod pending_requests;
mod provisioning;
mod scheduling;
mod tasks;
mod user_requests;

/// Direct commands are given up after this time; they may still be executed later.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);

/// Executions between two records of what CorrecFAST has learnt.
const LEARNT_EVERY: u64 = 20;
/// Facts that may wait to become durable before submissions are refused, beside one for each machine: a fleet that comes up at once
/// is no backlog.
const BACKLOG_LIMIT: usize = 5000;

/// Why a term is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// Somebody else has won the key.
    LeaderKeyChanged,
    /// A worker obeys a later leader.
    HigherFencingToken,
    /// This node reaches no worker.
    NoWorkerReachable,
}

impl StepDownReason {
    /// For the log.
    pub fn reason(self) -> &'static str {
        match self {
            StepDownReason::LeaderKeyChanged => "the leader key has changed",
            StepDownReason::HigherFencingToken => "a worker has seen a higher token",
            StepDownReason::NoWorkerReachable => "no worker is reached",
        }
    }
}

/// The state of a node while it leads. It is made anew at each election, and lasts until the node steps down.
pub struct Leader {
    settings: Settings,
    token: FencingToken,
    /// What may be written: gangs are taken only under a format that has them.
    format: Format,
    /// When this node was elected.
    leader_since: Timestamp,
    log: WriteAheadLog,
    jobs: JobStore,
    machines: BTreeMap<MachineId, Machine>,
    cloud: CloudInstances,
    planning: Planning,
    fencing: Fencing,
    zones: ZoneHealth,
    reachability: WorkerReachability,
    command_dispatch: CommandDispatch,
    pending: PendingRequests,
    admission: AdmissionControl,
    admission_status: admission::StatusWriter,
    drain_state: DrainState,
    /// Machines that the cloud takes back.
    reclaimed_machines: BTreeSet<MachineId>,
    /// Finished attempts that workers may forget once their finish is durable.
    unconfirmed_finishes: HashMap<TaskId, UnconfirmedFinish>,
    /// Attempts that this leader has numbered.
    attempt_counter: u64,
    last_health_check_at: Timestamp,
    last_tick_at: Timestamp,
    step_down_reason: Option<StepDownReason>,
}

impl Leader {
    /// The state of a node that was elected just now; it knows nothing yet.
    pub fn new(token: FencingToken, format: Format, now: Timestamp, settings: &Settings) -> Leader {
        Leader {
            token,
            format,
            leader_since: now,
            log: WriteAheadLog::new(token, format, now, &settings.deployment.state, &settings.tuning),
            jobs: JobStore::default(),
            machines: BTreeMap::new(),
            cloud: CloudInstances::new(token, now, &settings.deployment.cloud),
            planning: Planning::default(),
            fencing: Fencing::new(now),
            zones: ZoneHealth::default(),
            reachability: WorkerReachability::default(),
            command_dispatch: CommandDispatch::default(),
            pending: PendingRequests::default(),
            admission: AdmissionControl::new(token, now, settings.admission.clone()),
            admission_status: admission::StatusWriter::default(),
            drain_state: DrainState::new(settings, now),
            reclaimed_machines: BTreeSet::new(),
            unconfirmed_finishes: HashMap::new(),
            attempt_counter: 0,
            last_health_check_at: now,
            last_tick_at: now,
            step_down_reason: None,
            settings: settings.clone(),
        }
    }

    /// Reads back what is durable and asks the cloud for its machine types.
    pub fn start(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.log.start(now, &mut events);
        self.apply_log_events(now, wall, events, out);
        let mut events = Vec::new();
        self.cloud.tick(now, &mut events);
        self.apply_cloud_events(now, wall, events, out);
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
    pub fn is_loaded(&self) -> bool {
        self.log.is_loaded()
    }
    /// Why this term is over, if it is.
    pub fn step_down_reason(&self) -> Option<StepDownReason> {
        self.step_down_reason
    }
    /// Whether every machine of earlier leaders was fenced or is gone, so that older jobs may start.
    pub fn all_machines_fenced(&self) -> bool {
        self.fencing.unfenced.is_empty()
    }
    /// The job store.
    pub fn jobs(&self) -> &JobStore {
        &self.jobs
    }
    /// The machines.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// How long inputs wait for this node: planning does less when they wait long.
    pub(crate) fn set_input_delay(&mut self, delay: Duration) {
        self.planning.pacing.input_delay = delay;
    }
    /// The last input was slow.
    pub(crate) fn note_slow_input(&mut self, took: Duration) {
        self.planning.pacing.note_slow_input(took);
    }
    /// The zones of the nodes that led not long ago.
    pub(crate) fn set_recent_leader_zones(&mut self, zones: BTreeSet<String>) {
        self.zones.recent_leader_zones = zones;
    }

    /// Those who wait for a commit are told to come back.
    pub fn refuse_pending_requests(self, out: &mut Vec<Effect>) {
        self.pending.refuse_all(out);
    }

    // ---- cloud ----

    /// The cloud answered.
    pub fn handle_cloud_response(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        id: u64,
        reply: &ServiceResponse,
        out: &mut Vec<Effect>,
    ) {
        let mut events = Vec::new();
        let machines = &self.machines;
        let knew = self.cloud.machine_types().is_some();
        self.cloud.handle_response(now, id, reply, &|id| machines.contains_key(&id), &mut events);
        if !knew && self.cloud.machine_types().is_some() {
            self.planning.changed_machines.extend(self.machines.keys());
        }
        self.apply_cloud_events(now, wall, events, out);
        self.schedule_if_due(now, wall, lease_valid, out);
        self.flush(now, out);
    }

    pub(crate) fn apply_cloud_events(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        events: Vec<cloud::CloudEvent>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            match event {
                cloud::CloudEvent::Request(id, call) => out.push(Effect::CallCloud(self.token.0, id, call)),
                cloud::CloudEvent::MachineFailed(id) => {
                    if let Some(machine) = self.machines.get_mut(&id) {
                        machine.draining.get_or_insert(DrainReason::CloudFailure);
                        self.planning.changed_machines.insert(id);
                    }
                    self.cloud.release(id, DrainReason::CloudFailure);
                }
                cloud::CloudEvent::MachinesRented(ids) => {
                    for id in ids {
                        if let Some(b) = self.cloud.pending_instance(id) {
                            self.log.append(rented(id, b, wall.at_timestamp(now, b.requested_at)));
                        }
                    }
                }
                cloud::CloudEvent::MachinesGone(ids) => {
                    self.planning.replan_needed = true;
                    for id in ids {
                        self.log.append(LogRecord::MachineGone(id));
                        self.planning.plans.remove_machine(id);
                        self.fencing.unfenced.remove(&id);
                        if let Some(mut machine) = self.machines.remove(&id) {
                            info!("gone machine={id}");
                            let mut events = Vec::new();
                            machine.drop_attempts(&mut events);
                            self.apply_machine_events(now, id, events);
                        }
                    }
                }
            }
        }
    }

    // ---- time ----

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp, wall: WallClock, lease_valid: bool, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.log.tick(now, &mut events);
        self.apply_log_events(now, wall, events, out);
        let passed = now.since(self.last_tick_at).min(Duration::from_millis(200));
        self.last_tick_at = now;
        if !self.is_loaded() {
            return;
        }
        self.reachability.time_passed(passed);
        if self.log.snapshot_due() {
            let mut facts: Vec<LogRecord> = self
                .machines
                .values()
                .filter(|m| m.registration == Registration::Durable)
                .map(|m| LogRecord::MachineRegistered(m.record.clone()))
                .collect();
            for m in self.machines.values().filter(|m| m.registration == Registration::Durable) {
                facts.extend(m.images.iter().map(|image| LogRecord::ImageCached(m.id(), image.clone())));
            }
            facts.extend(self.cloud.pending().map(|(id, b)| rented(*id, b, wall.at_timestamp(now, b.requested_at))));
            facts.push(LogRecord::CorrectionLearnt(
                self.planning.correction.percent,
                self.planning.correction.executions,
            ));
            facts.extend(self.jobs.snapshot_records());
            debug!("snapshot facts={}", facts.len());
            self.log.begin_snapshot(facts.into_iter());
        }
        if lease_valid {
            let mut events = Vec::new();
            self.cloud.tick(now, &mut events);
            self.apply_cloud_events(now, wall, events, out);
        }
        if now.since(self.last_health_check_at) >= Duration::from_millis(250) {
            self.last_health_check_at = now;
            self.check_machine_health(now, lease_valid, out);
        }
        self.pending.expire(now, out);
        if !self.fencing.completion_logged && self.all_machines_fenced() {
            self.fencing.completion_logged = true;
            self.planning.replan_needed = true;
            info!("open token={} after={}s", self.token, now.since(self.leader_since).as_secs_f64());
        }
        self.schedule_if_due(now, wall, lease_valid, out);
        self.sync_drain_records(now, lease_valid, out);
        self.flush(now, out);
    }

    /// Sends what is to be sent at once: direct commands and due commits.
    pub(crate) fn flush(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.log.tick(now, &mut events);
        for event in events {
            if let write_ahead_log::LogEvent::Request(id, call) = event {
                out.push(Effect::QueryStore(StoreCaller::WriteAheadLog(self.token.0), id, call));
            }
        }
        self.send_waiting_commands(now, out);
    }
}

/// The fact that a machine was rented; where its worker is will be told by its first report.
fn rented(id: MachineId, b: &cloud::PendingInstance, at: WallClock) -> LogRecord {
    let (kind, zone, endpoint) = (b.machine_type.clone(), b.zone.clone(), String::new());
    LogRecord::MachineRented(MachineRecord { id, endpoint, machine_type: kind, zone, spot: b.spot, rented_at: at })
}

#[cfg(test)]
mod tests;
