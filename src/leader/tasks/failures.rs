//! Failed tasks: what is concluded from them about their jobs and machines, and the trials of suspected machines.

use crate::leader::Leader;
use crate::types::{Duration, MachineId, TaskId, Timestamp};
use crate::workers::{AttemptExit, TaskFailure};
use log::info;

/// Number of machines on which a job must fail before its retries are delayed by a backoff.
const FAILED_MACHINES_BEFORE_BACKOFF: usize = 3;
/// Number of consecutive failures of a job without any success that show that the fault is in the job, not in the
/// machine.
const FAILURES_OF_FAULTY_JOB: u32 = 3;
/// Maximum exponent of the backoff of a job that fails on every machine; the base is 2.
const MAX_BACKOFF_EXPONENT: u32 = 8;
/// Maximum backoff of a job that fails on every machine, in seconds.
const MAX_BACKOFF_S: u64 = 60;

impl Leader {
    /// Applies the failure of a task. A job that fails on several machines is retried after increasing backoffs; a
    /// machine on which different jobs fail is considered faulty itself.
    pub(super) fn task_failed(&mut self, now: Timestamp, id: MachineId, exit: AttemptExit) {
        let task = exit.id.task;
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let ran_s = exit.running_since.map_or(0.0, |since| now.since(since).as_secs_f64());
        info!("task failed task={task} machine={id} ran_s={ran_s}");
        job.consecutive_failures += 1;
        job.failed_on.add(now, id);
        self.planning.plans.unplan_from(id, task.job);
        if job.failed_on.count() >= FAILED_MACHINES_BEFORE_BACKOFF {
            job.retry_not_before = now + failure_backoff(job.consecutive_failures);
            job.failed_on.clear();
            self.planning.plans.unplan_job(task.job);
        }
        self.quarantine_if_at_fault(now, id, task);
    }

    /// Quarantines a machine on which a task failed if the fault is in the machine.
    fn quarantine_if_at_fault(&mut self, now: Timestamp, id: MachineId, task: TaskId) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(job) = self.jobs.get(task.job) else { return };
        let job_succeeded = !job.finished.is_empty();
        let job_at_fault = !job_succeeded && job.consecutive_failures >= FAILURES_OF_FAULTY_JOB;
        let failure = TaskFailure { job: task.job, job_succeeded, job_at_fault };
        if let Some(trial_delay) = machine.record_failure(now, failure) {
            let (failed_jobs, trial_in_s) = (machine.quarantine.failed_jobs(), trial_delay.as_secs_f64());
            info!("machine quarantined machine={id} failed_jobs={failed_jobs} trial_in_s={trial_in_s}");
            self.planning.changed_machines.insert(id);
        }
    }

    /// Begins the trials of machines whose quarantine is over, except of those that are being released.
    pub(in crate::leader) fn begin_trials(&mut self, now: Timestamp, due: Vec<MachineId>) {
        for id in due.into_iter().filter(|id| !self.cloud.is_releasing(*id)) {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            machine.begin_trial(now);
            info!("machine trial begun machine={id}");
            self.planning.changed_machines.insert(id);
            self.planning.replan_needed = true;
        }
    }

    /// Plans further tasks for a machine that has passed its trial.
    pub(in crate::leader) fn note_passed_trial(&mut self, id: MachineId) {
        info!("machine trial passed machine={id}");
        self.planning.changed_machines.insert(id);
        self.planning.replan_needed = true;
    }
}

/// The backoff of a job that fails on every machine, after this many consecutive failures.
fn failure_backoff(consecutive_failures: u32) -> Duration {
    let seconds = 2u64.saturating_pow(consecutive_failures.min(MAX_BACKOFF_EXPONENT));
    Duration::from_secs(seconds.min(MAX_BACKOFF_S))
}
