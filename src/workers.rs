//! What is known of the machines and their tasks, and what they are told.
//!
//! A machine is *fenced* once a message of its own says that it has seen this leader's token: from
//! then on nothing that an earlier leader sent can start or stop a task there.

use crate::types::{
    AgentEpoch, AttemptId, AttemptNumber, Duration, FencingToken, JobId, MachineId, MessageSequence, Resources, TaskId,
    Timestamp,
};
use crate::wire::{ExitReason, Heartbeat, TaskState, WorkerCommand};
use crate::write_ahead_log::MachineRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Most orders in one message: it must stay far below 64 KiB.
const ORDERS_LIMIT: usize = 300;
/// Ended attempts that a machine is left with: its reports must stay far below 64 KiB.
const ENDED_LIMIT: usize = 200;

/// Whether a machine's enrolment is durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registration {
    /// Not asked for yet.
    NotRequested,
    /// On its way.
    Pending,
    /// Durable: it may get tasks.
    Durable,
}

/// How far a task is on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Ordered; the worker has not shown it yet.
    StartRequested,
    /// Waiting for its image.
    Fetching,
    /// Waiting for the other tasks of its gang.
    AwaitingGang,
    /// Running.
    Running,
    /// Saving after it was stopped.
    Checkpointing,
    /// Ended.
    Exited,
}

/// Whether a direct command that starts the attempt may still arrive late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartUncertainty {
    /// No.
    None,
    /// It is under way, with this command number.
    InFlight(u64),
    /// It got no answer and may be executed until the session changes.
    Lost,
}

/// An attempt that a machine holds, or may hold.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// Task.
    pub task: TaskId,
    /// How far it is.
    pub phase: AttemptPhase,
    /// Whether the worker has shown it.
    pub acknowledged: bool,
    /// Whether a direct start may arrive late.
    pub start_uncertainty: StartUncertainty,
    /// Told, or to be told, to stop, with this much time for saving.
    pub stop_grace_s: Option<f64>,
    /// Whether the worker was told to start it, directly or with the answer to a report.
    pub start_sent: bool,
    /// Whether the stop was sent, directly or with the answer to a report.
    pub stop_sent: bool,
    /// Whether a direct command started it, of which a copy may come late.
    pub started_directly: bool,
    /// When it ended.
    pub ended_at: Timestamp,
    /// The worker may forget it (its end is durable or does not matter).
    pub forgettable: bool,
    /// The task counts as on this machine for its job.
    pub assigned: bool,
    /// What it takes.
    pub resources: Resources,
    /// Importance of its job, 0 first.
    pub priority: u8,
    /// Its image.
    pub image: String,
    /// When it was ordered or found.
    pub requested_at: Timestamp,
    /// When it was first seen running.
    pub running_since: Option<Timestamp>,
    /// Predicted time from order to end; `None` for services.
    pub predicted_duration: Option<Duration>,
    /// Whether it is a task of a gang.
    pub in_gang: bool,
}

impl TaskAttempt {
    /// Whether it takes room on the machine.
    pub fn occupies_resources(&self) -> bool {
        self.phase != AttemptPhase::Exited
    }
}

/// A direct command that has not been answered.
#[derive(Debug, Clone, Copy)]
pub struct InFlightCommand {
    /// Its number.
    pub id: u64,
    /// When it was sent.
    pub sent_at: Timestamp,
}

/// Orders to end what a report shows of jobs that are over.
pub fn kills(report: &Heartbeat, over: &dyn Fn(JobId) -> bool) -> Vec<WorkerCommand> {
    let shown = report.tasks.iter().flatten().filter(|t| t.state != TaskState::Exited);
    let kill = |(task, attempt): (TaskId, u64)| {
        over(task.job).then(|| WorkerCommand::Stop { task: task.to_string(), attempt, grace_s: 0.0 })
    };
    shown.filter_map(|t| kill((t.task?, t.attempt))).take(ORDERS_LIMIT).collect()
}

/// A machine whose worker has reported, or that an earlier leader enrolled.
#[derive(Debug)]
pub struct Machine {
    /// What is remembered of it.
    pub record: MachineRecord,
    /// Room in all.
    pub capacity: Resources,
    /// Whether its enrolment is durable.
    pub registration: Registration,
    /// Session of its last message.
    pub epoch: AgentEpoch,
    /// Order of its last message.
    pub sequence: MessageSequence,
    /// Whether it has seen this leader's token.
    pub fenced: bool,
    /// Its last report, answers to direct commands not counted: it has one under way at a time, so that
    /// what is not newer is a late copy, to whose answer nobody listens.
    pub last_heartbeat: (AgentEpoch, MessageSequence),
    /// The last report that was answered.
    pub last_answered_heartbeat: (AgentEpoch, MessageSequence),
    /// Whether it has come back to this node with the next report after an answered one.
    pub heartbeats_regularly: bool,
    /// When it was heard of last.
    pub last_message_at: Timestamp,
    /// When it was last certain that something of ours reaches it. A machine whose reports arrive while
    /// answers and commands do not reach it is as good as silent.
    pub last_reached_at: Timestamp,
    /// When a report of it was answered last.
    pub last_answer_at: Timestamp,
    /// When it came into this leader's view.
    pub known_since: Timestamp,
    /// When the cloud takes it away.
    pub reclaim_at: Option<Timestamp>,
    /// Attempts that it holds or may hold.
    pub attempts: BTreeMap<AttemptId, TaskAttempt>,
    /// Images that it is believed to hold.
    pub images: BTreeSet<String>,
    /// Direct command under way.
    pub in_flight_command: Option<InFlightCommand>,
    /// Last direct attempt to reach it.
    pub last_probe_at: Timestamp,
    /// Direct attempts without answer since something reached it.
    pub unanswered_commands: u32,
    /// Gets no new tasks; why.
    pub draining: Option<&'static str>,
    /// Idle since.
    pub idle_since: Option<Timestamp>,
    /// Different jobs that failed here since the last success.
    pub failed_jobs: BTreeSet<JobId>,
}

/// The end of an attempt, as a worker showed it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptExit {
    /// The attempt.
    pub id: AttemptId,
    /// Why.
    pub reason: ExitReason,
    /// When it had been ordered.
    pub requested_at: Timestamp,
    /// When it was first seen running.
    pub running_since: Option<Timestamp>,
    /// Predicted time from order to end.
    pub predicted_duration: Option<Duration>,
}

/// What a message of a worker showed.
#[derive(Debug, PartialEq)]
pub enum MachineEvent {
    /// An attempt that this leader did not know; it is to be claimed or stopped.
    AttemptFound {
        /// The attempt.
        id: AttemptId,
        /// Whether it has ended already.
        has_ended: bool,
    },
    /// A claimed attempt began to run.
    AttemptRunning(AttemptId),
    /// The machine now holds this image.
    ImageCached(String),
    /// An attempt ended.
    AttemptExited(AttemptExit),
    /// A claimed attempt is surely gone without an end.
    AttemptLost(TaskId),
    /// The machine has now seen this leader's token.
    Fenced,
}

impl Machine {
    /// A machine that came into view.
    pub fn new(record: MachineRecord, capacity: Resources, enrolment: Registration, now: Timestamp) -> Machine {
        Machine {
            record,
            capacity,
            registration: enrolment,
            epoch: AgentEpoch(0),
            sequence: MessageSequence(0),
            fenced: false,
            last_heartbeat: (AgentEpoch(0), MessageSequence(0)),
            last_answered_heartbeat: (AgentEpoch(0), MessageSequence(0)),
            heartbeats_regularly: false,
            last_message_at: now,
            last_reached_at: now,
            last_answer_at: now,
            known_since: now,
            reclaim_at: None,
            attempts: BTreeMap::new(),
            images: BTreeSet::new(),
            in_flight_command: None,
            last_probe_at: Timestamp::ZERO,
            unanswered_commands: 0,
            draining: None,
            idle_since: None,
            failed_jobs: BTreeSet::new(),
        }
    }

    /// Name.
    pub fn id(&self) -> MachineId {
        self.record.id
    }

    /// Whether tasks may be started here, as far as the machine is concerned.
    pub fn accepts_tasks(&self) -> bool {
        self.fenced
            && self.registration == Registration::Durable
            && self.draining.is_none()
            && self.reclaim_at.is_none()
    }

    /// Whether something of ours reached it within this time.
    pub fn reached_within(&self, now: Timestamp, within: Duration) -> bool {
        now.since(self.last_reached_at) <= within
    }

    /// Room that is not taken.
    pub fn free_resources(&self) -> Resources {
        let mut free = self.capacity;
        for hold in self.attempts.values().filter(|h| h.occupies_resources()) {
            free.saturating_sub(&hold.resources);
        }
        free
    }

    /// Whether it holds another attempt of this task, in any state.
    pub fn holds_task(&self, task: TaskId) -> bool {
        self.attempts.values().any(|h| h.task == task)
    }

    /// Whether it holds an attempt of any task of this job, in any state.
    pub fn holds_job(&self, job: JobId) -> bool {
        self.attempts.keys().any(|key| key.task.job == job)
    }

    /// Notes a report's place among the others; false for a late copy of one, which shows nothing,
    /// renews nothing and needs no answer.
    ///
    /// A report that is older than the answer to a direct command is no copy: its worker may be waiting
    /// for it, and an answer would renew its lease.
    pub fn accept_heartbeat(&mut self, now: Timestamp, report: &Heartbeat, others: bool) -> bool {
        let order = (AgentEpoch(report.epoch), MessageSequence(report.sequence));
        if order <= self.last_heartbeat || order.0 < self.epoch {
            return false;
        }
        self.last_heartbeat = order;
        // A worker whose report got no answer goes to another node: one that comes back at once with
        // the next report has taken the last answer in.
        if others && order == (self.last_answered_heartbeat.0, MessageSequence(self.last_answered_heartbeat.1.0 + 1)) {
            self.note_reached(now);
            self.heartbeats_regularly = true;
        }
        true
    }

    /// Something of ours has surely reached the machine.
    pub fn note_reached(&mut self, now: Timestamp) {
        self.last_reached_at = now;
        self.unanswered_commands = 0;
    }

    /// Takes a message (report or answer to a command) and says what it showed.
    ///
    /// Older messages than the last one change nothing: their task list is as old as they are.
    pub fn apply_message(
        &mut self,
        now: Timestamp,
        report: &Heartbeat,
        token: FencingToken,
        out: &mut Vec<MachineEvent>,
    ) {
        let (session, seq) = (AgentEpoch(report.epoch), MessageSequence(report.sequence));
        if (session, seq) <= (self.epoch, self.sequence) {
            return;
        }
        if session > self.epoch {
            if self.epoch.0 > 0 {
                // The lease ran out: the worker has killed and forgotten every task, and no direct
                // command of the earlier session is executed any more.
                self.drop_attempts(out);
            }
            self.epoch = session;
            // A session's lease counts from its beginning. Counting on from the last answer of the
            // session before gave tasks up that still ran, and started them twice.
            self.last_answer_at = now;
        }
        self.sequence = seq;
        self.last_message_at = now;
        self.record.endpoint.clone_from(&report.endpoint);
        self.reclaim_at = report.reclaim_in_s.map(|s| now + Duration::from_secs_f64(s));
        if report.fencing_token == token.0 && !self.fenced {
            self.fenced = true;
            // An earlier leader may have renewed the lease up to now, but no longer.
            self.last_answer_at = now;
            self.note_reached(now);
            out.push(MachineEvent::Fenced);
        }
        if !self.fenced {
            // What is on it can still change by an earlier leader's word.
            return;
        }
        let mut shown = Vec::with_capacity(report.tasks.as_ref().map_or(0, Vec::len));
        for item in report.tasks.iter().flatten() {
            let Some(task) = item.task else { continue };
            let key = AttemptId { attempt: AttemptNumber(item.attempt), task };
            shown.push(key);
            self.apply_task_status(now, key, item.state, item.exit_reason, out);
        }
        shown.sort_unstable();
        let gone: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(a, h)| h.acknowledged && shown.binary_search(a).is_err())
            .map(|(a, _)| *a)
            .collect();
        for key in gone {
            // Reaped, as ordered; a claimed one that vanished is treated as lost.
            if let Some(hold) = self.attempts.remove(&key)
                && hold.assigned
            {
                out.push(MachineEvent::AttemptLost(hold.task));
            }
        }
    }

    fn apply_task_status(
        &mut self,
        now: Timestamp,
        key: AttemptId,
        state: TaskState,
        cause: Option<ExitReason>,
        out: &mut Vec<MachineEvent>,
    ) {
        let phase = match state {
            TaskState::Fetching | TaskState::Other => AttemptPhase::Fetching,
            TaskState::AwaitingGang => AttemptPhase::AwaitingGang,
            TaskState::Running => AttemptPhase::Running,
            TaskState::Checkpointing => AttemptPhase::Checkpointing,
            TaskState::Exited => AttemptPhase::Exited,
        };
        if let std::collections::btree_map::Entry::Vacant(slot) = self.attempts.entry(key) {
            slot.insert(TaskAttempt {
                task: key.task,
                phase: if phase == AttemptPhase::Exited { AttemptPhase::StartRequested } else { phase },
                acknowledged: true,
                start_uncertainty: StartUncertainty::None,
                stop_grace_s: Some(0.0),
                start_sent: true,
                stop_sent: false,
                started_directly: false,
                ended_at: now,
                forgettable: true,
                assigned: false,
                resources: Resources::default(),
                priority: 3,
                image: String::new(),
                requested_at: now,
                running_since: (phase == AttemptPhase::Running).then_some(now),
                predicted_duration: None,
                in_gang: false,
            });
            out.push(MachineEvent::AttemptFound { id: key, has_ended: phase == AttemptPhase::Exited });
        }
        let Some(hold) = self.attempts.get_mut(&key) else { return };
        if !std::mem::replace(&mut hold.acknowledged, true) {
            // It has taken our order in.
            self.last_reached_at = now;
            self.unanswered_commands = 0;
        }
        if hold.phase == phase {
            return;
        }
        hold.phase = phase;
        match phase {
            AttemptPhase::Running | AttemptPhase::AwaitingGang => {
                if !hold.image.is_empty() && self.images.insert(hold.image.clone()) {
                    out.push(MachineEvent::ImageCached(hold.image.clone()));
                }
                if phase == AttemptPhase::Running {
                    hold.running_since = Some(now);
                    if hold.assigned {
                        out.push(MachineEvent::AttemptRunning(key));
                    }
                }
            }
            AttemptPhase::Exited => {
                hold.ended_at = now;
                out.push(MachineEvent::AttemptExited(AttemptExit {
                    id: key,
                    reason: cause.unwrap_or(ExitReason::Other),
                    requested_at: hold.requested_at,
                    running_since: hold.running_since,
                    predicted_duration: hold.predicted_duration,
                }));
            }
            _ => {}
        }
    }

    /// All attempts are surely gone: the lease is over, or the machine is.
    pub fn drop_attempts(&mut self, out: &mut Vec<MachineEvent>) {
        for (_, hold) in std::mem::take(&mut self.attempts) {
            if hold.assigned {
                out.push(MachineEvent::AttemptLost(hold.task));
            }
        }
        self.in_flight_command = None;
    }

    /// The orders for a report's answer, which is never executed late.
    ///
    /// What the worker has not shown is ordered again: `run` of an attempt that it holds has no
    /// effect. An attempt that is to be stopped unseen gets `run` before `kill`, so that the worker
    /// knows it, and a late copy of the direct `run` finds it exited. For the same reason the worker is
    /// left with an ended attempt that was started directly for `keep`: once it has forgotten it, a copy
    /// of the command, carried out late although the command was answered, would start it anew.
    pub fn heartbeat_commands(&mut self, now: Timestamp, keep: Duration) -> Vec<WorkerCommand> {
        let mut orders = Vec::new();
        let mut too_many =
            self.attempts.values().filter(|h| !h.occupies_resources()).count().saturating_sub(ENDED_LIMIT);
        for (key, hold) in &mut self.attempts {
            // Most attempts need no order, so their names are not written out.
            let (task, attempt) = (key.task, key.attempt.0);
            if hold.phase == AttemptPhase::Exited {
                let safe = !hold.started_directly || now.since(hold.ended_at) >= keep;
                if hold.forgettable && hold.start_uncertainty == StartUncertainty::None && (safe || too_many > 0) {
                    too_many = too_many.saturating_sub(1);
                    orders.push(WorkerCommand::Forget { task: task.to_string(), attempt });
                }
                continue;
            }
            if !hold.acknowledged {
                hold.start_sent = true;
                orders.push(WorkerCommand::Start { task: task.to_string(), attempt });
            }
            // One that saves is ended by a second order, when there is nothing to save it for any more.
            if let Some(grace_s) = hold.stop_grace_s
                && (hold.phase != AttemptPhase::Checkpointing || grace_s == 0.0)
            {
                hold.stop_sent = true;
                orders.push(WorkerCommand::Stop { task: task.to_string(), attempt, grace_s });
            }
            if orders.len() >= ORDERS_LIMIT {
                break;
            }
        }
        orders
    }

    /// The orders for a direct command: starts that were not sent and stops of what was seen.
    ///
    /// What went with the answer to a report is not sent again: the next answer repeats it if need be.
    pub fn direct_commands(&mut self, command: u64) -> Vec<WorkerCommand> {
        let mut orders = Vec::new();
        for (key, hold) in &mut self.attempts {
            let (task, attempt) = (key.task, key.attempt.0);
            match hold.stop_grace_s {
                None if !hold.acknowledged && !hold.start_sent => {
                    hold.start_sent = true;
                    hold.start_uncertainty = StartUncertainty::InFlight(command);
                    hold.started_directly = true;
                    orders.push(WorkerCommand::Start { task: task.to_string(), attempt });
                }
                Some(grace_s) if hold.acknowledged && hold.occupies_resources() && !hold.stop_sent => {
                    hold.stop_sent = true;
                    orders.push(WorkerCommand::Stop { task: task.to_string(), attempt, grace_s });
                }
                _ => {}
            }
            if orders.len() >= ORDERS_LIMIT {
                break;
            }
        }
        orders
    }

    /// A direct command was answered (`answered`) or may still be executed.
    pub fn command_finished(&mut self, now: Timestamp, command: u64, answered: bool) {
        if answered {
            self.note_reached(now);
        } else {
            self.unanswered_commands += 1;
        }
        if self.in_flight_command.is_some_and(|f| f.id == command) {
            self.in_flight_command = None;
        }
        for hold in self.attempts.values_mut().filter(|h| h.start_uncertainty == StartUncertainty::InFlight(command)) {
            hold.start_uncertainty = if answered { StartUncertainty::None } else { StartUncertainty::Lost };
        }
    }

    /// Orders an attempt to stop; true if the machine is to be told.
    pub fn request_stop(&mut self, key: AttemptId, grace_s: f64) -> bool {
        if let Some(hold) = self.attempts.get_mut(&key)
            && hold.occupies_resources()
            && hold.stop_grace_s.is_none_or(|g| g > grace_s)
        {
            hold.stop_grace_s = Some(grace_s);
            hold.stop_sent = false;
            return true;
        }
        false
    }
}

#[cfg(test)]
mod tests;
