//! Attempts that have ended: finished, failed, refused by their workers, or stopped.

use crate::jobs::Job;
use crate::leader::{CORRECTION_RECORD_INTERVAL, Leader};
use crate::types::{AttemptId, Duration, MachineId, TaskId, Timestamp};
use crate::wire::ExitReason;
use crate::workers::AttemptExit;
use crate::write_ahead_log::LogRecord;
use log::{debug, info};

/// Backoff of a job after a worker refused one of its tasks.
const REFUSED_BACKOFF: Duration = Duration::from_millis(500);

/// A finished attempt whose finish is not durable yet. Until it is, the worker must not discard the attempt, because
/// another leader can learn of the finish only from the worker.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct UnconfirmedFinish {
    machine: MachineId,
    attempt: AttemptId,
}

impl Leader {
    /// Allows a worker to discard a finished attempt, because the finish is durable or its job has ended.
    pub(in crate::leader) fn confirm_finish(&mut self, task: TaskId) {
        let Some(finish) = self.unconfirmed_finishes.remove(&task) else { return };
        let Some(machine) = self.machines.get_mut(&finish.machine) else { return };
        if let Some(attempt) = machine.attempts.get_mut(&finish.attempt) {
            attempt.forgettable = true;
        }
    }

    /// Applies the end of an attempt: its task is finished, or pending again.
    pub(in crate::leader) fn attempt_exited(&mut self, now: Timestamp, id: MachineId, exit: AttemptExit) {
        let task = exit.id.task;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(attempt) = machine.attempts.get_mut(&exit.id) else { return };
        attempt.forgettable = true;
        let was_assigned = std::mem::replace(&mut attempt.assigned, false);
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        if exit.reason == ExitReason::Done && !job.spec.is_service {
            return self.task_finished(now, id, exit, was_assigned);
        }
        if !was_assigned {
            return;
        }
        if let Some(gang) = &mut job.gang {
            gang.task_ended();
        }
        match exit.reason {
            ExitReason::Stopped => debug!("task stopped task={task} machine={id}"),
            // The fault lies with another task of the gang, or with the machine of that task.
            ExitReason::GangMemberLost | ExitReason::GangIncomplete => {
                info!("task ended task={task} machine={id} reason={:?}", exit.reason)
            }
            ExitReason::Error => self.task_failed(now, id, exit),
            reason => {
                info!("task refused task={task} machine={id} reason={reason:?}");
                job.retry_not_before = job.retry_not_before.max(now + REFUSED_BACKOFF);
            }
        }
        self.remove_placement(id, task);
    }

    /// Applies the finish of a task. If it belongs to a gang, all tasks of the gang are finished.
    fn task_finished(&mut self, now: Timestamp, id: MachineId, exit: AttemptExit, was_assigned: bool) {
        let task = exit.id.task;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        if machine.record_success(exit.requested_at) {
            self.note_passed_trial(id);
        }
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        job.consecutive_failures = 0;
        job.placements.remove(&task.index);
        let newly_finished = finish_tasks(job, task);
        if newly_finished.is_empty() {
            return;
        }
        let duration = now.since(exit.requested_at);
        debug!("task finished task={} machine={id} duration_s={}", exit.id, duration.as_secs_f64());
        if let Some(attempt) = machine.attempts.get_mut(&exit.id) {
            attempt.forgettable = false;
        }
        self.unconfirmed_finishes.insert(task, UnconfirmedFinish { machine: id, attempt: exit.id });
        for index in newly_finished {
            self.log.append_task_done(TaskId { job: task.job, index });
        }
        if was_assigned
            && self.started_by_this_leader(exit.id.attempt)
            && let Some(predicted) = exit.predicted_duration
        {
            self.learn_correction(duration, predicted);
        }
    }

    /// Updates the run-time correction from the actual and the predicted duration of an execution, and appends it to
    /// the log every `CORRECTION_RECORD_INTERVAL` executions.
    fn learn_correction(&mut self, actual: Duration, predicted: Duration) {
        let correction = &mut self.planning.correction;
        correction.learn(actual, predicted);
        if correction.executions.is_multiple_of(CORRECTION_RECORD_INTERVAL) {
            self.log.append(LogRecord::CorrectionUpdated(correction.percent, correction.executions));
        }
    }
}

/// Marks a task, or all tasks of its gang, as finished. Returns the indices of those that were not finished before.
fn finish_tasks(job: &mut Job, task: TaskId) -> Vec<u32> {
    let finished: Vec<u32> = if job.gang.is_some() { (0..job.spec.task_count).collect() } else { vec![task.index] };
    let newly_finished: Vec<u32> = finished.into_iter().filter(|index| job.finished.insert(*index)).collect();
    for index in &newly_finished {
        job.pending.remove(*index);
    }
    newly_finished
}
