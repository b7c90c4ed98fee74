//! The state of a node while it leads, put together from the parts that own it.
//!
//! | part | owns |
//! | --- | --- |
//! | [`WriteAheadLog`] | what is durable, and what is on its way to be |
//! | [`JobStore`] | all jobs |
//! | [`Machine`]s | what is known of each machine and the attempts on it |
//! | [`CloudInstances`] | machines that were rented, are being released or are gone |
//! | `Planning` | the plans of all machines |
//! | `Fencing` | machines of earlier leaders that may still obey them |
//! | `ZoneHealth`, `WorkerReachability` | zones and workers out of reach |
//! | `CommandDispatch` | direct commands to workers |
//! | `PendingRequests` | users who wait for a commit |
//! | [`AdmissionControl`], `DrainState` | overload admission, drains |

mod admission;
mod cloud_events;
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

use crate::cloud::CloudInstances;
use crate::effects::{Effect, StoreCaller};
use crate::jobs::JobStore;
use crate::leadership::StepDownReason;
use crate::settings::Settings;
use crate::types::{Duration, FencingToken, MachineId, TaskId, Timestamp, WallClock};
use crate::upgrade::Format;
use crate::workers::Machine;
use crate::write_ahead_log::{LogEvent, WriteAheadLog};
use caperstile_admission::AdmissionControl;
use command_dispatch::CommandDispatch;
use drains::DrainState;
use failure_detection::{WorkerReachability, ZoneHealth};
use fencing::Fencing;
use log::info;
use pending_requests::PendingRequests;
use scheduling::Planning;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tasks::UnconfirmedFinish;

/// Direct commands are given up after this time; they may still be executed later.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);
/// Executions between two records of what CorrecFAST has learnt.
const CORRECTION_RECORD_INTERVAL: u64 = 20;
/// How often machines are looked after.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time that one tick counts for: a process that stood still has not watched meanwhile.
const MAX_TICK_DURATION: Duration = Duration::from_millis(200);

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
    pending_requests: PendingRequests,
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
            pending_requests: PendingRequests::default(),
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

    /// Begins to read back what is durable, and asks the cloud for its machine types.
    pub fn start(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.log.start(now, &mut events);
        self.apply_log_events(now, wall, events, out);
        self.tick_cloud(now, wall, out);
    }

    /// The fencing token of this leader.
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

    /// Why this node must step down, if it must.
    pub fn step_down_reason(&self) -> Option<StepDownReason> {
        self.step_down_reason
    }

    /// Whether every machine of earlier leaders was fenced or is gone, so that older jobs may start.
    pub fn all_machines_fenced(&self) -> bool {
        self.fencing.unfenced.is_empty()
    }

    /// All jobs.
    pub fn jobs(&self) -> &JobStore {
        &self.jobs
    }

    /// All machines.
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

    /// Refuses the requests that wait for a commit, because this node no longer leads.
    pub fn reject_pending_requests(self, out: &mut Vec<Effect>) {
        self.pending_requests.reject_all(out);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp, wall: WallClock, lease_valid: bool, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.log.tick(now, &mut events);
        self.apply_log_events(now, wall, events, out);
        let elapsed = now.since(self.last_tick_at).min(MAX_TICK_DURATION);
        self.last_tick_at = now;
        if !self.is_loaded() {
            return;
        }
        self.reachability.advance(elapsed);
        self.write_snapshot_if_due(now, wall);
        if lease_valid {
            self.tick_cloud(now, wall, out);
        }
        if now.since(self.last_health_check_at) >= HEALTH_CHECK_INTERVAL {
            self.last_health_check_at = now;
            self.check_machine_health(now, lease_valid, out);
        }
        self.pending_requests.expire(now, out);
        self.detect_fencing_completion(now);
        self.schedule_if_due(now, wall, lease_valid, out);
        self.sync_drain_records(now, lease_valid, out);
        self.flush(now, out);
    }

    fn tick_cloud(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.cloud.tick(now, &mut events);
        self.apply_cloud_events(now, wall, events, out);
    }

    /// Jobs of earlier leaders may start from the moment at which the last machine is fenced.
    fn detect_fencing_completion(&mut self, now: Timestamp) {
        if self.fencing.completion_logged || !self.all_machines_fenced() {
            return;
        }
        self.fencing.completion_logged = true;
        self.planning.replan_needed = true;
        let after = now.since(self.leader_since).as_secs_f64();
        info!("all machines fenced token={} after_s={after}", self.token);
    }

    /// Sends what is to be sent at once: direct commands and due commits.
    fn flush(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.log.tick(now, &mut events);
        for event in events {
            if let LogEvent::Request(id, request) = event {
                out.push(Effect::CallStore(StoreCaller::WriteAheadLog(self.token.0), id, request));
            }
        }
        self.send_queued_commands(now, out);
    }
}

#[cfg(test)]
mod tests;
