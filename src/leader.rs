//! The state of a node while it leads, composed of the parts that own it.
//!
//! | part | owns |
//! | --- | --- |
//! | [`WriteAheadLog`] | durable log records, and records whose commit is in flight |
//! | [`JobStore`] | all jobs |
//! | [`Machine`]s | the known state of each machine and the task attempts on it |
//! | [`CloudInstances`] | instances that are pending, being released or released |
//! | `Planning` | the plans of all machines |
//! | `Fencing` | machines of earlier leaders that may still execute those leaders' commands |
//! | `ZoneHealth`, `WorkerReachability` | unreachable zones; whether this node reaches any worker |
//! | `CommandDispatch` | direct commands to workers |
//! | `PendingRequests` | users' requests whose response waits for a commit |
//! | `RefusalLog` | counts of refused submissions |
//! | [`AdmissionControl`], `DrainState` | admission control under overload; drains |

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
mod refusals;
mod scheduling;
mod tasks;
mod user_requests;
mod worker_messages;

use crate::cloud::CloudInstances;
use crate::effects::{Effect, StoreCaller};
use crate::jobs::JobStore;
use crate::leadership::{StepDownReason, TermTokens};
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
use refusals::RefusalLog;
use scheduling::Planning;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tasks::UnconfirmedFinish;

/// Time after which a direct command without a response is given up. The worker may still execute it later.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of task executions between two log records of the run-time correction (CorrecFAST).
const CORRECTION_RECORD_INTERVAL: u64 = 20;
/// Interval between two health checks of all machines.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that one tick adds to the period without contact to any worker: a process that was suspended has not
/// observed its workers in the meantime.
const MAX_TICK_DURATION: Duration = Duration::from_millis(200);

/// The state of a node while it leads. It is created at each election and dropped when the node steps down.
pub struct Leader {
    settings: Settings,
    /// The fencing token under which this node was elected; it identifies the term.
    token: FencingToken,
    /// All fencing tokens that this leader may issue to workers.
    tokens: TermTokens,
    /// Format of the data that this leader may write. Gangs are accepted only under a format that supports them.
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
    refusals: RefusalLog,
    admission: AdmissionControl,
    admission_status: admission::StatusWriter,
    drain_state: DrainState,
    /// Machines that the cloud is about to reclaim: their interruption notices have arrived.
    reclaimed_machines: BTreeSet<MachineId>,
    /// Finished attempts whose finish is not durable yet. Their workers may discard them once it is.
    unconfirmed_finishes: HashMap<TaskId, UnconfirmedFinish>,
    /// Number of attempt numbers that this leader has allocated.
    attempt_counter: u64,
    last_health_check_at: Timestamp,
    last_tick_at: Timestamp,
    step_down_reason: Option<StepDownReason>,
}

/// When an input is handled, and whether this node is certainly still the leader then.
#[derive(Debug, Clone, Copy)]
pub struct InputContext {
    /// Monotonic time.
    pub now: Timestamp,
    /// Wall-clock time.
    pub wall: WallClock,
    /// Whether this node's lease guarantees that no other node has been elected.
    pub lease_valid: bool,
}

impl Leader {
    /// The state of a newly elected node, which has not loaded any log record yet.
    pub fn new(token: FencingToken, format: Format, now: Timestamp, settings: &Settings) -> Leader {
        Leader {
            token,
            tokens: TermTokens::new(token),
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
            refusals: RefusalLog::new(now),
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

    /// Starts loading the durable log records, and requests the list of machine types from the cloud.
    pub fn start(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.log.start(now, &mut events);
        self.apply_log_events(now, wall, events, out);
        self.tick_cloud(now, wall, out);
    }

    /// The fencing token under which this node was elected.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// The format of the data that this leader may write.
    pub(crate) fn format(&self) -> Format {
        self.format
    }

    /// Whether all durable log records have been loaded.
    pub fn is_loaded(&self) -> bool {
        self.log.is_loaded()
    }

    /// Why this node must step down; `None` while it may continue to lead.
    pub fn step_down_reason(&self) -> Option<StepDownReason> {
        self.step_down_reason
    }

    /// Whether every machine that an earlier leader registered is fenced or gone, so that jobs which earlier leaders
    /// accepted may be started.
    pub fn all_machines_fenced(&self) -> bool {
        self.fencing.unfenced.is_empty()
    }

    /// All jobs that this leader knows: open jobs, and the terminal states of ended ones.
    pub fn jobs(&self) -> &JobStore {
        &self.jobs
    }

    /// All machines that have sent a heartbeat to this leader or are registered in the log.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// Sets how long inputs are queued until this node processes them. The longer the delay, the less often this leader
    /// plans.
    pub(crate) fn set_input_delay(&mut self, delay: Duration) {
        self.planning.pacing.input_delay = delay;
    }

    /// Records how long a slow input took. Only inputs that ran a planning round are slow, so the next round is
    /// deferred accordingly.
    pub(crate) fn note_slow_input(&mut self, took: Duration) {
        self.planning.pacing.note_slow_input(took);
    }

    /// Sets the zones of the nodes that led recently.
    pub(crate) fn set_recent_leader_zones(&mut self, zones: BTreeSet<String>) {
        self.zones.recent_leader_zones = zones;
    }

    /// Rejects the requests whose response waits for a commit, because this node no longer leads.
    pub fn reject_pending_requests(self, out: &mut Vec<Effect>) {
        self.pending_requests.reject_all(out);
    }

    /// Runs the periodic work: commits, snapshots, requests to the cloud, health checks, timeouts of users' requests,
    /// planning and drains.
    pub fn tick(&mut self, context: InputContext, out: &mut Vec<Effect>) {
        let InputContext { now, wall, lease_valid } = context;
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
        self.schedule_if_due(context, out);
        self.sync_drain_records(now, lease_valid, out);
        self.flush(now, out);
    }

    fn tick_cloud(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.cloud.tick(now, &mut events);
        self.apply_cloud_events(now, wall, events, out);
    }

    /// Detects that the last machine of earlier leaders has been fenced. From then on jobs that earlier leaders
    /// accepted may be started, so a planning round is requested.
    fn detect_fencing_completion(&mut self, now: Timestamp) {
        if self.fencing.completion_logged || !self.all_machines_fenced() {
            return;
        }
        self.fencing.completion_logged = true;
        self.planning.replan_needed = true;
        let after = now.since(self.leader_since).as_secs_f64();
        info!("all machines fenced token={} after_s={after}", self.token);
    }

    /// Sends what must not wait for the next tick: due commits and queued direct commands.
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
