//! A job that has not ended, and the placements of its tasks.

use super::{FailedMachines, JobSpec};
use crate::gang::Gang;
use crate::types::{AttemptId, MachineId, TaskIndexSet, Timestamp};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The assignment of a task to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The machine on which the task was started.
    pub machine: MachineId,
    /// The attempt under which the task was started there.
    pub attempt: AttemptId,
    /// Whether the worker has reported the attempt as running.
    pub running: bool,
}

/// A job that has not ended.
#[derive(Debug)]
pub struct Job {
    /// The job as it was accepted.
    pub spec: Rc<JobSpec>,
    /// Its rank among jobs of the same effective priority, the lowest first: its submission time in milliseconds plus
    /// half of the estimated duration of a task.
    pub queue_order: u64,
    /// Its own priority, or a higher one while the job is promoted because none of its tasks has been started for a
    /// long time. 0 is the highest.
    pub effective_priority: u8,
    /// When it was submitted, by this process's monotonic clock.
    pub submitted_at: Timestamp,
    /// Whether the record of its acceptance is durable.
    pub durable: bool,
    /// Whether this leader accepted it, rather than loading it from the write-ahead log.
    pub accepted_by_this_leader: bool,
    /// Indices of tasks that have no machine and have not finished.
    pub pending: TaskIndexSet,
    /// Indices of tasks that a worker has reported as finished, whether or not that is durable yet.
    pub finished: TaskIndexSet,
    /// Indices of tasks whose completion is durable.
    pub durably_finished: TaskIndexSet,
    /// Tasks that are assigned to machines, by task index.
    pub placements: BTreeMap<u32, Placement>,
    /// Whether a cancellation was requested and is not durable yet.
    pub cancelling: bool,
    /// Machines on which tasks of the job failed since its last backoff. The job avoids each of them for a while.
    pub failed_on: FailedMachines,
    /// Consecutive failures of any of its tasks.
    pub consecutive_failures: u32,
    /// Time before which no task is started, as backoff after failures.
    pub retry_not_before: Timestamp,
    /// When planning last tried to place its tasks.
    pub last_planned_at: Timestamp,
    /// Its gang scheduling state; `None` unless it is a gang.
    pub gang: Option<Gang>,
}

impl Job {
    /// Returns the time by which the job should be complete; `Timestamp::NEVER` if it has no deadline.
    pub fn deadline(&self) -> Timestamp {
        self.spec.deadline.map_or(Timestamp::NEVER, |deadline| self.submitted_at + deadline)
    }

    /// Whether its effective priority differs from its own, because it was promoted.
    pub fn is_promoted(&self) -> bool {
        self.effective_priority != self.spec.priority
    }

    /// Returns the number of running tasks as shown to users. A gang's tasks count as running only when all of them
    /// are.
    pub(super) fn running_tasks(&self) -> usize {
        let running = self.placements.values().filter(|placement| placement.running).count();
        match &self.gang {
            Some(gang) if !gang.is_running() || running < self.spec.task_count as usize => 0,
            _ => running,
        }
    }

    /// Creates a job that was submitted at this time. All its tasks are pending, and its acceptance is not durable yet.
    pub(super) fn new(spec: JobSpec, submitted_at: Timestamp, accepted_by_this_leader: bool) -> Job {
        // Jobs with short tasks precede others of the same priority without starving them: a job is ordered as if it
        // had been submitted later by half of the estimated duration of a task.
        let queue_order = submitted_at.as_millis() + spec.estimated_duration.as_millis() / 2;
        Job {
            queue_order,
            effective_priority: spec.priority,
            submitted_at,
            durable: false,
            accepted_by_this_leader,
            pending: TaskIndexSet::below(spec.task_count),
            finished: TaskIndexSet::default(),
            durably_finished: TaskIndexSet::default(),
            placements: BTreeMap::new(),
            cancelling: false,
            failed_on: FailedMachines::default(),
            consecutive_failures: 0,
            retry_not_before: Timestamp::ZERO,
            last_planned_at: Timestamp::ZERO,
            gang: spec.is_gang.then(Gang::default),
            spec: Rc::new(spec),
        }
    }
}
