//! What becomes of tasks: those found on machines, those that run, end, or are lost.

use super::*;
use crate::gang::{Adoption, GangPhase};
use crate::jobs::{Job, Placement};
use crate::workers::{AttemptExit, AttemptPhase};

/// Machines on which a job fails before it is tried less and less often.
const FAILED_ON_LIMIT: usize = 3;
/// Different jobs that fail on a machine before it gets no further tasks.
const FAILED_JOBS_LIMIT: usize = 2;
/// Longest pause between tries of a job that fails wherever it runs, in seconds.
const LONGEST_PAUSE_S: u64 = 60;
/// Pause after a worker refused a task.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

impl Leader {
    /// A task that an earlier leader started: taken over if its job is not over.
    pub(super) fn adopt_attempt(&mut self, now: Timestamp, id: MachineId, key: AttemptId, ended: bool) {
        let task = key.task;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(hold) = machine.attempts.get_mut(&key) else { return };
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        hold.resources = job.spec.resources;
        hold.priority = job.spec.priority;
        hold.image.clone_from(&job.spec.image);
        hold.predicted_duration = (!job.spec.is_service).then_some(job.spec.estimated_duration);
        hold.in_gang = job.gang.is_some();
        let running = hold.phase == AttemptPhase::Running;
        let adoption = job.gang.as_mut().map(|gang| gang.adopt(now, key.attempt, id, ended));
        let live = match adoption {
            None => true,
            Some(Adoption::Live | Adoption::Replaces) => !ended,
            Some(Adoption::Stale) => false,
        };
        let left_over = if adoption == Some(Adoption::Replaces) { unclaim_all(job) } else { Vec::new() };
        if live && !job.cancelling && job.pending.remove(task.index) {
            job.placements.insert(task.index, Placement { machine: id, attempt: key, running });
            hold.assigned = true;
            hold.stop_grace_s = None;
            if hold.phase == AttemptPhase::Checkpointing
                && let Some(gang) = &mut job.gang
            {
                // An earlier leader has begun to stop the gang: the others must be told in time, too.
                gang.stop(job.spec.checkpoint_duration);
                hold.stop_grace_s = Some(job.spec.checkpoint_duration.as_secs_f64());
                hold.stop_sent = true;
            }
            if running {
                machine.images.insert(job.spec.image.clone());
                if let Some(gang) = &mut job.gang {
                    gang.task_runs(key.attempt);
                }
            }
        } else if hold.occupies_resources() {
            warn!("stopping unexpected {key} machine={id}");
        }
        for placed in left_over {
            self.abandon_attempt(placed);
        }
    }

    /// Stops an attempt that its job does not count as its own any more.
    pub(super) fn abandon_attempt(&mut self, placed: Placement) {
        self.stop_attempt(placed.machine, placed.attempt, 0.0);
        let machine = self.machines.get_mut(&placed.machine);
        if let Some(hold) = machine.and_then(|m| m.attempts.get_mut(&placed.attempt)) {
            hold.assigned = false;
            hold.forgettable = true;
        }
    }

    /// A claimed attempt began to run.
    pub(super) fn attempt_running(&mut self, now: Timestamp, key: AttemptId) {
        let Some(job) = self.jobs.get_mut(key.task.job) else { return };
        if let Some(placed) = job.placements.get_mut(&key.task.index).filter(|p| p.attempt == key) {
            placed.running = true;
        }
        if let Some(gang) = &mut job.gang {
            if let GangPhase::AwaitingMembers { since } = gang.phase {
                debug!(
                    "gang runs {} attempt={} gathered={}s",
                    key.task.job,
                    key.attempt,
                    now.since(since).as_secs_f64()
                );
            }
            gang.task_runs(key.attempt);
        }
    }

    /// The task is on no machine any more.
    pub(super) fn remove_placement(&mut self, id: MachineId, task: TaskId) {
        if let Some(job) = self.jobs.get_mut(task.job)
            && job.placements.get(&task.index).is_some_and(|p| p.machine == id)
        {
            job.placements.remove(&task.index);
            self.jobs.return_to_pending(task);
        }
    }

    /// An attempt has ended.
    pub(super) fn attempt_exited(&mut self, now: Timestamp, id: MachineId, exit: AttemptExit) {
        let task = exit.id.task;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(hold) = machine.attempts.get_mut(&exit.id) else { return };
        hold.forgettable = true;
        let ours = std::mem::replace(&mut hold.assigned, false);
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        if exit.reason == ExitReason::Done && !job.spec.is_service {
            return self.task_done(now, id, exit, ours);
        }
        if !ours {
            return;
        }
        if let Some(gang) = &mut job.gang {
            gang.task_ended();
        }
        match exit.reason {
            ExitReason::Stopped => debug!("stopped {task} machine={id}"),
            // The task or machine at fault is another one.
            ExitReason::GangMemberLost | ExitReason::GangIncomplete => {
                info!("ended {task} machine={id} cause={:?}", exit.reason)
            }
            ExitReason::Error => self.task_failed(now, id, exit),
            other => {
                info!("refused {task} machine={id} cause={other:?}");
                job.retry_not_before = job.retry_not_before.max(now + REFUSED_PAUSE);
            }
        }
        self.remove_placement(id, task);
    }

    /// A task is done; of a gang all are.
    fn task_done(&mut self, now: Timestamp, id: MachineId, exit: AttemptExit, ours: bool) {
        let task = exit.id.task;
        let inherited = exit.id.attempt.0 >> 24 != self.token.0;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        machine.failed_jobs.clear();
        job.consecutive_failures = 0;
        job.placements.remove(&task.index);
        let done: Vec<u32> = if job.gang.is_some() { (0..job.spec.task_count).collect() } else { vec![task.index] };
        let news: Vec<u32> = done.into_iter().filter(|index| job.finished.insert(*index)).collect();
        if news.is_empty() {
            return;
        }
        for index in &news {
            job.pending.remove(*index);
        }
        debug!("done {} machine={id} took={}s", exit.id, now.since(exit.requested_at).as_secs_f64());
        if let Some(hold) = machine.attempts.get_mut(&exit.id) {
            hold.forgettable = false;
        }
        self.unconfirmed_finishes.insert(task, (id, exit.id.attempt));
        for index in news {
            self.log.append_task_done(TaskId { job: task.job, index });
        }
        if ours
            && !inherited
            && let Some(predicted) = exit.predicted_duration
        {
            self.planning.correction.learn(now.since(exit.requested_at), predicted);
            if self.planning.correction.executions.is_multiple_of(LEARNT_EVERY) {
                self.log.append(LogRecord::CorrectionLearnt(
                    self.planning.correction.percent,
                    self.planning.correction.executions,
                ));
            }
        }
    }

    /// A task has failed. A job that fails wherever it runs is tried less and less often; a machine that fails different jobs is at
    /// fault itself.
    fn task_failed(&mut self, now: Timestamp, id: MachineId, exit: AttemptExit) {
        let task = exit.id.task;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        info!("failed {task} machine={id} ran={:?}", exit.running_since.map(|r| now.since(r).as_secs_f64()));
        job.consecutive_failures += 1;
        if !job.failed_on.contains(&id) {
            job.failed_on.push(id);
        }
        if job.failed_on.len() >= FAILED_ON_LIMIT {
            let pause = 2u64.saturating_pow(job.consecutive_failures.min(8)).min(LONGEST_PAUSE_S);
            job.retry_not_before = now + Duration::from_millis(pause * 1000);
            job.failed_on.clear();
            self.planning.plans.unplan_job(task.job);
        }
        let job = self.jobs.get(task.job);
        let faulty = job.is_some_and(|j| j.finished.is_empty() && j.consecutive_failures >= 3);
        if !faulty {
            machine.failed_jobs.insert(task.job);
        }
        let succeeded_elsewhere = job.is_some_and(|j| !j.finished.is_empty());
        let at_fault = machine.failed_jobs.len() >= FAILED_JOBS_LIMIT || (succeeded_elsewhere && !faulty);
        if at_fault && machine.draining.is_none() {
            info!("quarantined machine={id} failed_jobs={}", machine.failed_jobs.len());
            machine.draining = Some("fails its tasks");
            self.planning.changed_machines.insert(id);
        }
    }
}

/// Takes all of a job's attempts from it; its tasks wait again.
fn unclaim_all(job: &mut Job) -> Vec<Placement> {
    let placed = std::mem::take(&mut job.placements);
    for index in placed.keys() {
        job.pending.insert(*index);
    }
    placed.into_values().collect()
}
