//! The leader's view of a task attempt on a machine.

use super::message_position::MessagePosition;
use crate::job_spec::JobSpec;
use crate::types::{AttemptId, Duration, FencingToken, Resources, TaskId, Timestamp};
use crate::wire::{ExitReason, TaskState};

/// Priority of an attempt whose job is not known to this leader: the lowest priority.
const UNKNOWN_JOB_PRIORITY: u8 = 3;

/// The phase of an attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// The leader has requested its start, and the worker has not reported it yet.
    StartRequested,
    /// The worker is fetching its image.
    Fetching,
    /// The image is cached, and the task waits for the other tasks of its gang to be ready.
    AwaitingGang,
    /// The task is running.
    Running,
    /// The task is saving a checkpoint after a request to stop.
    Checkpointing,
    /// The attempt has ended, for any reason.
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

/// An attempt that is known to be on a machine, or whose start was requested there.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// The task that it executes.
    pub task: TaskId,
    /// Its phase as last reported by the worker; `StartRequested` until the worker has reported it for the first time.
    pub phase: AttemptPhase,
    /// Whether the worker has reported it, and so has received its start.
    pub acknowledged: bool,
    /// Grace period in seconds that it gets for a checkpoint when it is stopped; `None` unless it is to be stopped.
    pub stop_grace_s: Option<f64>,
    /// Whether its start was sent, in a direct command or a heartbeat response.
    pub start_sent: bool,
    /// Whether the current stop request was sent, in a direct command or a heartbeat response.
    pub stop_sent: bool,
    /// Fencing token of the direct command that contained its start; `None` if its start was sent in heartbeat responses
    /// only. The command, or a duplicate of it, may be executed until the worker has seen a higher token.
    pub direct_start_token: Option<FencingToken>,
    /// Position of the latest heartbeat whose response contained its start; `None` if no response did. The response is
    /// executed before the worker sends its next heartbeat, or never.
    pub start_responded_to: Option<MessagePosition>,
    /// Whether the worker may forget it once it has ended: its end is durable, or the leader does not need its result.
    pub forgettable: bool,
    /// Whether its job considers the task placed on this machine under this attempt.
    pub assigned: bool,
    /// The resources that it occupies until it has ended.
    pub resources: Resources,
    /// The priority of its job; 0 is the highest.
    pub priority: u8,
    /// Name of its image; empty if its job is not known.
    pub image: String,
    /// When its start was requested, or when this leader discovered it.
    pub requested_at: Timestamp,
    /// When it was first reported running.
    pub running_since: Option<Timestamp>,
    /// Predicted time from the start request to the end; `None` for services.
    pub predicted_duration: Option<Duration>,
    /// Whether its job is a gang.
    pub in_gang: bool,
}

impl TaskAttempt {
    /// Creates an attempt at a task of this job whose start is requested now.
    pub fn requested(
        task: TaskId,
        spec: &JobSpec,
        predicted_duration: Option<Duration>,
        now: Timestamp,
    ) -> TaskAttempt {
        let mut attempt =
            TaskAttempt { assigned: true, ..TaskAttempt::unknown(task, AttemptPhase::StartRequested, now) };
        attempt.set_job_details(spec, predicted_duration);
        attempt
    }

    /// Creates an attempt that a worker reports and that this leader did not start. It is stopped unless its job adopts
    /// it.
    pub(super) fn discovered(task: TaskId, phase: AttemptPhase, now: Timestamp) -> TaskAttempt {
        // The end of an attempt is processed when its phase changes to `Exited`, so it must have another phase before.
        let phase = if phase == AttemptPhase::Exited { AttemptPhase::StartRequested } else { phase };
        TaskAttempt {
            acknowledged: true,
            stop_grace_s: Some(0.0),
            start_sent: true,
            forgettable: true,
            running_since: (phase == AttemptPhase::Running).then_some(now),
            ..TaskAttempt::unknown(task, phase, now)
        }
    }

    /// An attempt of which nothing is known but its task and phase.
    fn unknown(task: TaskId, phase: AttemptPhase, now: Timestamp) -> TaskAttempt {
        TaskAttempt {
            task,
            phase,
            acknowledged: false,
            stop_grace_s: None,
            start_sent: false,
            stop_sent: false,
            direct_start_token: None,
            start_responded_to: None,
            forgettable: false,
            assigned: false,
            resources: Resources::default(),
            priority: UNKNOWN_JOB_PRIORITY,
            image: String::new(),
            requested_at: now,
            running_since: None,
            predicted_duration: None,
            in_gang: false,
        }
    }

    /// Sets the properties that follow from the attempt's job, which workers do not report.
    pub fn set_job_details(&mut self, spec: &JobSpec, predicted_duration: Option<Duration>) {
        self.resources = spec.resources;
        self.priority = spec.priority;
        self.image.clone_from(&spec.image);
        self.predicted_duration = predicted_duration;
        self.in_gang = spec.is_gang;
    }

    /// Whether a direct command that starts it, however late, may still be executed by a worker that has seen no higher
    /// fencing token than this.
    pub(super) fn may_start_late(&self, highest_seen: FencingToken) -> bool {
        self.direct_start_token.is_some_and(|token| token >= highest_seen)
    }

    /// Whether it is to be stopped although the worker has not reported it: its start was not sent, is on its way, or
    /// was lost.
    pub(super) fn is_unwanted_start(&self) -> bool {
        !self.acknowledged && self.stop_grace_s.is_some() && self.phase != AttemptPhase::Exited
    }

    /// Whether a message that does not list the attempt proves that the worker will never start it. The message has this
    /// fencing token as the highest that the worker has seen; `heartbeat` is its position if it is a heartbeat.
    pub(super) fn is_never_started(&self, highest_seen: FencingToken, heartbeat: Option<MessagePosition>) -> bool {
        let no_direct_start = !self.may_start_late(highest_seen);
        let no_start_by_response = self.start_responded_to.is_none_or(|sent| heartbeat.is_some_and(|at| at > sent));
        no_direct_start && no_start_by_response
    }

    /// Whether it occupies resources on the machine: it has not ended, as far as is known.
    pub fn occupies_resources(&self) -> bool {
        self.phase != AttemptPhase::Exited
    }
}

/// The end of an attempt as reported by its worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptExit {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Why it ended; `ExitReason::Other` if the worker gave no known reason.
    pub reason: ExitReason,
    /// When its start was requested, or when this leader discovered it.
    pub requested_at: Timestamp,
    /// When it was first reported running; `None` if it never was.
    pub running_since: Option<Timestamp>,
    /// Predicted time from the start request to the end; `None` for services.
    pub predicted_duration: Option<Duration>,
}
