//! The life cycle of task attempts on machines: discovered, running, ended or lost.

mod adoption;
mod exits;
mod failures;

pub(super) use exits::UnconfirmedFinish;

use super::Leader;
use crate::gang::GangPhase;
use crate::jobs::Placement;
use crate::types::{AttemptId, AttemptNumber, MachineId, TaskId, Timestamp};
use crate::workers::StopReason;
use log::debug;

/// Number of low bits of an attempt number that hold the leader's counter of attempts; the bits above hold its fencing
/// token.
const ATTEMPT_COUNTER_BITS: u32 = 24;

impl Leader {
    /// Allocates an attempt number that is unique among those of all leaders.
    pub(crate) fn next_attempt(&mut self) -> AttemptNumber {
        self.attempt_counter += 1;
        AttemptNumber((self.token.0 << ATTEMPT_COUNTER_BITS) + self.attempt_counter)
    }

    /// Whether the attempt was started by this leader, not by an earlier one.
    fn started_by_this_leader(&self, attempt: AttemptNumber) -> bool {
        attempt.0 >> ATTEMPT_COUNTER_BITS == self.token.0
    }

    /// Stops an attempt whose placement has been removed from its job.
    pub(super) fn abandon_attempt(&mut self, placement: Placement) {
        self.stop_attempt(placement.machine, placement.attempt, 0.0, StopReason::Abandoned);
        let machine = self.machines.get_mut(&placement.machine);
        if let Some(attempt) = machine.and_then(|machine| machine.attempts.get_mut(&placement.attempt)) {
            attempt.assigned = false;
            attempt.forgettable = true;
        }
    }

    /// Records that an assigned attempt has started to run.
    pub(super) fn attempt_running(&mut self, now: Timestamp, id: AttemptId) {
        let Some(job) = self.jobs.get_mut(id.task.job) else { return };
        if let Some(placement) = job.placements.get_mut(&id.task.index).filter(|placement| placement.attempt == id) {
            placement.running = true;
        }
        if let Some(gang) = &mut job.gang {
            if let GangPhase::AwaitingMembers { since } = gang.phase {
                let waited_s = now.since(since).as_secs_f64();
                debug!("gang running job={} attempt={} waited_s={waited_s}", id.task.job, id.attempt);
            }
            gang.task_running(id.attempt);
        }
    }

    /// Records that the attempt of a task is lost: it certainly no longer runs, and no exit was reported.
    pub(super) fn attempt_lost(&mut self, now: Timestamp, id: MachineId, task: TaskId) {
        self.remove_placement(id, task);
        if let Some(gang) = self.jobs.get_mut(task.job).and_then(|job| job.gang.as_mut()) {
            gang.task_lost(now);
        }
    }

    /// Records that the attempt of a task was stopped before its worker started it.
    pub(super) fn attempt_never_started(&mut self, id: MachineId, task: TaskId) {
        if let Some(gang) = self.jobs.get_mut(task.job).and_then(|job| job.gang.as_mut()) {
            gang.task_ended();
        }
        self.remove_placement(id, task);
    }

    /// Removes a task's placement on a machine, so that the task is pending again.
    pub(super) fn remove_placement(&mut self, id: MachineId, task: TaskId) {
        if let Some(job) = self.jobs.get_mut(task.job)
            && job.placements.get(&task.index).is_some_and(|placement| placement.machine == id)
        {
            job.placements.remove(&task.index);
            self.jobs.return_to_pending(task);
        }
    }
}
