//! A job that has not ended: its tasks and where they are.

use super::JobSpec;
use crate::gang::Gang;
use crate::types::{AttemptId, MachineId, TaskIndexSet, Timestamp};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Where a task is, or may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Machine.
    pub machine: MachineId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether it is reported to run.
    pub running: bool,
}

/// A job that has not ended.
#[derive(Debug)]
pub struct Job {
    /// What was accepted.
    pub spec: Rc<JobSpec>,
    /// Order among jobs of the same priority.
    pub queue_order: u64,
    /// Its priority, or a better one when nothing of it has started for long, until something has.
    pub effective_priority: u8,
    /// When it was submitted, by this process's clock.
    pub submitted_at: Timestamp,
    /// Whether its acceptance is durable.
    pub durable: bool,
    /// Whether it was accepted under this leader's token.
    pub accepted_by_this_leader: bool,
    /// Tasks that are on no machine and have not finished.
    pub pending: TaskIndexSet,
    /// Tasks whose finish was reported, durable or not.
    pub finished: TaskIndexSet,
    /// Tasks whose finish is durable.
    pub durably_finished: TaskIndexSet,
    /// Tasks on machines.
    pub placements: BTreeMap<u32, Placement>,
    /// A cancellation is on its way to be durable.
    pub cancelling: bool,
    /// Machines on which its tasks failed.
    pub failed_on: Vec<MachineId>,
    /// Failures in a row, over all tasks.
    pub consecutive_failures: u32,
    /// No task is started before this time, because of failures.
    pub retry_not_before: Timestamp,
    /// When planning looked for machines for it last.
    pub last_planned_at: Timestamp,
    /// The state of its gang scheduling, if it is a gang.
    pub gang: Option<Gang>,
}

impl Job {
    /// When the job should be complete.
    pub fn deadline(&self) -> Timestamp {
        self.spec.deadline.map_or(Timestamp::NEVER, |deadline| self.submitted_at + deadline)
    }

    /// Whether it has a better priority than its own.
    pub fn is_promoted(&self) -> bool {
        self.effective_priority != self.spec.priority
    }

    /// How many tasks run, as users see it: of a gang all or none.
    pub(super) fn running_tasks(&self) -> usize {
        let running = self.placements.values().filter(|placement| placement.running).count();
        match &self.gang {
            Some(gang) if !gang.is_running() || running < self.spec.task_count as usize => 0,
            _ => running,
        }
    }

    /// A job that was submitted at this time and of which nothing has started.
    pub(super) fn new(spec: JobSpec, submitted_at: Timestamp, accepted_by_this_leader: bool) -> Job {
        // Among equals, short tasks go first, but nothing waits for ever: it is as if a job had come later by half of what its
        // tasks take.
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
            failed_on: Vec::new(),
            consecutive_failures: 0,
            retry_not_before: Timestamp::ZERO,
            last_planned_at: Timestamp::ZERO,
            gang: spec.is_gang.then(Gang::default),
            spec: Rc::new(spec),
        }
    }
}
