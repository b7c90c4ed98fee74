//! A task attempt on a machine.

use crate::types::{AttemptId, Duration, Resources, TaskId, Timestamp};
use crate::wire::{ExitReason, TaskState};

/// Priority of an attempt whose job is not known: the lowest.
const UNKNOWN_JOB_PRIORITY: u8 = 3;

/// How far a task is on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Its start was requested; the worker has not reported it yet.
    StartRequested,
    /// Waiting for its image.
    Fetching,
    /// Waiting for the other tasks of its gang.
    AwaitingGang,
    /// Running.
    Running,
    /// Saving its progress after it was told to stop.
    Checkpointing,
    /// Ended.
    Exited,
}

impl From<TaskState> for AttemptPhase {
    fn from(state: TaskState) -> AttemptPhase {
        match state {
            TaskState::Fetching | TaskState::Other => AttemptPhase::Fetching,
            TaskState::AwaitingGang => AttemptPhase::AwaitingGang,
            TaskState::Running => AttemptPhase::Running,
            TaskState::Checkpointing => AttemptPhase::Checkpointing,
            TaskState::Exited => AttemptPhase::Exited,
        }
    }
}

/// Whether a direct command that starts the attempt may still be executed late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartUncertainty {
    /// No.
    None,
    /// The command with this number is in flight.
    InFlight(u64),
    /// The command got no answer and may be executed until the agent's epoch changes.
    Lost,
}

/// An attempt that a machine holds, or may hold.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// How far it is.
    pub phase: AttemptPhase,
    /// Whether the worker has reported it.
    pub acknowledged: bool,
    /// Whether a direct start may be executed late.
    pub start_uncertainty: StartUncertainty,
    /// Seconds that it has for its checkpoint if it is to stop; `None` while it may go on.
    pub stop_grace_s: Option<f64>,
    /// Whether the start was sent, directly or with the answer to a heartbeat.
    pub start_sent: bool,
    /// Whether the stop was sent, directly or with the answer to a heartbeat.
    pub stop_sent: bool,
    /// Whether a direct command started it, of which a copy may be executed late.
    pub started_directly: bool,
    /// When it ended.
    pub ended_at: Timestamp,
    /// Whether the worker may forget it, because its end is durable or does not matter.
    pub forgettable: bool,
    /// Whether its job counts the task as placed on this machine.
    pub assigned: bool,
    /// The resources that it takes.
    pub resources: Resources,
    /// The priority of its job, 0 first.
    pub priority: u8,
    /// Its image.
    pub image: String,
    /// When its start was requested, or when this leader found it.
    pub requested_at: Timestamp,
    /// When it was first reported running.
    pub running_since: Option<Timestamp>,
    /// Predicted time from request to end; `None` for services.
    pub predicted_duration: Option<Duration>,
    /// Whether it is a task of a gang.
    pub in_gang: bool,
}

impl TaskAttempt {
    /// An attempt that a worker reports and this leader did not start. It is to be stopped unless its job adopts it.
    pub(super) fn discovered(task: TaskId, phase: AttemptPhase, now: Timestamp) -> TaskAttempt {
        TaskAttempt {
            task,
            // The end is noted as a change of phase, like that of any other attempt.
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
            priority: UNKNOWN_JOB_PRIORITY,
            image: String::new(),
            requested_at: now,
            running_since: (phase == AttemptPhase::Running).then_some(now),
            predicted_duration: None,
            in_gang: false,
        }
    }

    /// Whether it takes resources on the machine.
    pub fn occupies_resources(&self) -> bool {
        self.phase != AttemptPhase::Exited
    }
}

/// The end of an attempt, as a worker reported it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptExit {
    /// The attempt.
    pub id: AttemptId,
    /// Why it ended.
    pub reason: ExitReason,
    /// When its start was requested.
    pub requested_at: Timestamp,
    /// When it was first reported running.
    pub running_since: Option<Timestamp>,
    /// Predicted time from request to end.
    pub predicted_duration: Option<Duration>,
}
