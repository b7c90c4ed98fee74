//! What becomes of tasks: those found on machines, those that run, end, or are lost.

use super::*;
use crate::gang::{Adoption, Phase};
use crate::intake::{Job, Placed};
use crate::workers::{Exit, Phase as TaskPhase};

/// Machines on which a job fails before it is tried less and less often.
const FAILED_ON_LIMIT: usize = 3;
/// Different jobs that fail on a machine before it gets no further tasks.
const FAILED_JOBS_LIMIT: usize = 2;
/// Longest pause between tries of a job that fails wherever it runs, in seconds.
const LONGEST_PAUSE_S: u64 = 60;
/// Pause after a worker refused a task.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

impl Term {
    /// A task that an earlier leader started: taken over if its job is not over.
    pub(super) fn found(&mut self, now: Timestamp, id: MachineId, key: AttemptId, ended: bool) {
        let task = key.task;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(hold) = machine.holds.get_mut(&key) else { return };
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        hold.need = job.record.need;
        hold.rank = job.record.rank;
        hold.image.clone_from(&job.record.image);
        hold.predicted = (!job.record.service).then_some(job.record.estimate);
        hold.gang = job.gang.is_some();
        let running = hold.phase == TaskPhase::Running;
        let adoption = job.gang.as_mut().map(|gang| gang.adopt(now, key.attempt, id, ended));
        let live = match adoption {
            None => true,
            Some(Adoption::Live | Adoption::Replaces) => !ended,
            Some(Adoption::Stale) => false,
        };
        let left_over = if adoption == Some(Adoption::Replaces) { unclaim_all(job) } else { Vec::new() };
        if live && !job.cancelling && job.pending.remove(task.index) {
            job.placed.insert(task.index, Placed { machine: id, key, running });
            hold.claimed = true;
            hold.stop = None;
            if hold.phase == TaskPhase::Saving
                && let Some(gang) = &mut job.gang
            {
                // An earlier leader has begun to stop the gang: the others must be told in time, too.
                gang.stop(job.record.save);
                hold.stop = Some(job.record.save.as_secs_f64());
                hold.stop_sent = true;
            }
            if running {
                machine.images.insert(job.record.image.clone());
                if let Some(gang) = &mut job.gang {
                    gang.task_runs(key.attempt);
                }
            }
        } else if hold.occupies() {
            warn!("stopping unexpected {key} machine={id}");
        }
        for placed in left_over {
            self.abandon(placed);
        }
    }

    /// Stops an attempt that its job does not count as its own any more.
    pub(super) fn abandon(&mut self, placed: Placed) {
        self.stop(placed.machine, placed.key, 0.0);
        let machine = self.machines.get_mut(&placed.machine);
        if let Some(hold) = machine.and_then(|m| m.holds.get_mut(&placed.key)) {
            hold.claimed = false;
            hold.reapable = true;
        }
    }

    /// A claimed attempt began to run.
    pub(super) fn task_runs(&mut self, now: Timestamp, key: AttemptId) {
        let Some(job) = self.jobs.get_mut(key.task.job) else { return };
        if let Some(placed) = job.placed.get_mut(&key.task.index).filter(|p| p.key == key) {
            placed.running = true;
        }
        if let Some(gang) = &mut job.gang {
            if let Phase::Gathering { since } = gang.phase {
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
    pub(super) fn unplace(&mut self, id: MachineId, task: TaskId) {
        if let Some(job) = self.jobs.get_mut(task.job)
            && job.placed.get(&task.index).is_some_and(|p| p.machine == id)
        {
            job.placed.remove(&task.index);
            self.jobs.waits_again(task);
        }
    }

    /// An attempt has ended.
    pub(super) fn exited(&mut self, now: Timestamp, id: MachineId, exit: Exit) {
        let task = exit.key.task;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(hold) = machine.holds.get_mut(&exit.key) else { return };
        hold.reapable = true;
        let ours = std::mem::replace(&mut hold.claimed, false);
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        if exit.cause == Cause::Done && !job.record.service {
            return self.task_done(now, id, exit, ours);
        }
        if !ours {
            return;
        }
        if let Some(gang) = &mut job.gang {
            gang.task_ended();
        }
        match exit.cause {
            Cause::Halted => debug!("stopped {task} machine={id}"),
            // The task or machine at fault is another one.
            Cause::Peers | Cause::Incomplete => info!("ended {task} machine={id} cause={:?}", exit.cause),
            Cause::Error => self.task_failed(now, id, exit),
            other => {
                info!("refused {task} machine={id} cause={other:?}");
                job.not_before = job.not_before.max(now + REFUSED_PAUSE);
            }
        }
        self.unplace(id, task);
    }

    /// A task is done; of a gang all are.
    fn task_done(&mut self, now: Timestamp, id: MachineId, exit: Exit, ours: bool) {
        let task = exit.key.task;
        let inherited = exit.key.attempt.0 >> 24 != self.token.0;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        machine.failed_jobs.clear();
        job.failures = 0;
        job.placed.remove(&task.index);
        let done: Vec<u32> = if job.gang.is_some() { (0..job.record.tasks).collect() } else { vec![task.index] };
        let news: Vec<u32> = done.into_iter().filter(|index| job.done.insert(*index)).collect();
        if news.is_empty() {
            return;
        }
        for index in &news {
            job.pending.remove(*index);
        }
        debug!("done {} machine={id} took={}s", exit.key, now.since(exit.since).as_secs_f64());
        if let Some(hold) = machine.holds.get_mut(&exit.key) {
            hold.reapable = false;
        }
        self.finished.insert(task, (id, exit.key.attempt));
        for index in news {
            self.records.push_done(TaskId { job: task.job, index });
        }
        if ours
            && !inherited
            && let Some(predicted) = exit.predicted
        {
            self.correction.learn(now.since(exit.since), predicted);
            if self.correction.executions.is_multiple_of(LEARNT_EVERY) {
                self.records.push(Record::Learnt(self.correction.percent, self.correction.executions));
            }
        }
    }

    /// A task has failed. A job that fails wherever it runs is tried less and less often; a machine that fails different jobs is at
    /// fault itself.
    fn task_failed(&mut self, now: Timestamp, id: MachineId, exit: Exit) {
        let task = exit.key.task;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        info!("failed {task} machine={id} ran={:?}", exit.running_since.map(|r| now.since(r).as_secs_f64()));
        job.failures += 1;
        if !job.failed_on.contains(&id) {
            job.failed_on.push(id);
        }
        if job.failed_on.len() >= FAILED_ON_LIMIT {
            let pause = 2u64.saturating_pow(job.failures.min(8)).min(LONGEST_PAUSE_S);
            job.not_before = now + Duration::from_millis(pause * 1000);
            job.failed_on.clear();
            self.plans.remove_job(task.job);
        }
        let job = self.jobs.get(task.job);
        let faulty = job.is_some_and(|j| j.done.is_empty() && j.failures >= 3);
        if !faulty {
            machine.failed_jobs.insert(task.job);
        }
        let succeeded_elsewhere = job.is_some_and(|j| !j.done.is_empty());
        let at_fault = machine.failed_jobs.len() >= FAILED_JOBS_LIMIT || (succeeded_elsewhere && !faulty);
        if at_fault && machine.draining.is_none() {
            info!("quarantined machine={id} failed_jobs={}", machine.failed_jobs.len());
            machine.draining = Some("fails its tasks");
            self.changed.insert(id);
        }
    }
}

/// Takes all of a job's attempts from it; its tasks wait again.
fn unclaim_all(job: &mut Job) -> Vec<Placed> {
    let placed = std::mem::take(&mut job.placed);
    for index in placed.keys() {
        job.pending.insert(*index);
    }
    placed.into_values().collect()
}
