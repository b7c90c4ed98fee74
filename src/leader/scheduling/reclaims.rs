//! Spot interruptions: stops the tasks of machines that the cloud is about to reclaim, as late as their checkpoints
//! allow.

use super::machine_view::predicted_release;
use super::*;

/// Part of the assumed delivery time of a stop command, in seconds. Half of the heartbeat interval is added to it.
const STOP_DELIVERY_MARGIN_S: f64 = 1.0;
/// Tasks are stopped this much earlier than their checkpoints require, because the next round of planning may be late.
const ROUND_MARGIN: Duration = Duration::from_millis(500);

/// A task that has to be stopped because its machine is about to be reclaimed.
struct ReclaimedTask {
    machine: MachineId,
    attempt: AttemptId,
    is_gang: bool,
    /// Time for the task to save a checkpoint.
    grace: Duration,
}

impl Leader {
    /// Stops tasks on machines that are about to be reclaimed, unless they are predicted to end in time: tasks without
    /// checkpoints at once, others in the last round that leaves time for a checkpoint. If a task of a gang has to be
    /// stopped, the whole gang is.
    pub(super) fn stop_tasks_on_reclaimed_machines(&mut self, now: Timestamp) {
        self.reclaimed_machines.retain(|id| self.machines.contains_key(id));
        let due: Vec<ReclaimedTask> = self
            .reclaimed_machines
            .iter()
            .filter_map(|id| self.machines.get(id))
            .flat_map(|machine| self.reclaimed_tasks(machine, now))
            .collect();
        let (gangs, tasks): (Vec<ReclaimedTask>, Vec<ReclaimedTask>) = due.into_iter().partition(|task| task.is_gang);
        for task in tasks {
            let grace_s = task.grace.as_secs_f64();
            self.stop_attempt(task.machine, task.attempt, grace_s, StopReason::MachineReclaimed);
        }
        for task in gangs {
            self.stop_gang(task.attempt.task.job, task.grace);
        }
    }

    /// Tasks of a machine that have to be stopped now, because they are not predicted to end before the machine is
    /// reclaimed and cannot be stopped later.
    fn reclaimed_tasks(&self, machine: &Machine, now: Timestamp) -> Vec<ReclaimedTask> {
        let Some(reclaim_at) = machine.reclaim_at else { return Vec::new() };
        let is_running =
            |attempt: &TaskAttempt| attempt.assigned && attempt.occupies_resources() && attempt.stop_grace_s.is_none();
        let mut due = Vec::new();
        for (id, attempt) in machine.attempts.iter().filter(|(_, attempt)| is_running(attempt)) {
            let Some(job) = self.jobs.get(attempt.task.job) else { continue };
            let ends_at = predicted_release(attempt, now).unwrap_or(Timestamp::NEVER);
            if ends_at < reclaim_at || self.can_stop_later(job, reclaim_at.since(now)) {
                continue;
            }
            let grace = checkpoint_grace(job);
            due.push(ReclaimedTask { machine: machine.id(), attempt: *id, is_gang: job.gang.is_some(), grace });
        }
        due
    }

    /// Whether a task of this job could still save its checkpoint if it were stopped in a later round. False for tasks
    /// without checkpoints, which are stopped at once.
    fn can_stop_later(&self, job: &Job, time_left: Duration) -> bool {
        let heartbeat_interval_s = self.settings.deployment.workers.report_s;
        let delivery = Duration::from_secs_f64(heartbeat_interval_s * 0.5 + STOP_DELIVERY_MARGIN_S);
        let grace = checkpoint_grace(job);
        grace.as_millis() > 0 && time_left > grace + delivery + ROUND_MARGIN
    }
}

/// Time that a task of this job needs to save a checkpoint; zero for jobs without checkpoints.
fn checkpoint_grace(job: &Job) -> Duration {
    if job.spec.checkpoint_interval.as_millis() == 0 { Duration::ZERO } else { job.spec.checkpoint_duration }
}
