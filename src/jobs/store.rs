//! The store of all jobs: those that have not ended in full, the others as their terminal state only.

use super::{Job, JobSpec, Placement};
use crate::types::{JobId, TaskId, TaskIndexSet, Timestamp, WallClock};
use crate::wire::{JobStatus, JobStatusResponse};
use crate::write_ahead_log::{LogRecord, MAX_ENDED_JOBS, MAX_TASK_RANGES};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminalState {
    /// All tasks are done; how many there were.
    Done(u32),
    /// Cancelled.
    Cancelled,
}

/// Where a job stands among those that wait, the most important first.
type QueueKey = (u8, u64, JobId);

/// All jobs.
#[derive(Debug, Default)]
pub struct JobStore {
    /// Jobs that have not ended.
    live: BTreeMap<JobId, Job>,
    /// Jobs that have ended.
    terminal: HashMap<JobId, TerminalState>,
    /// Jobs with tasks that are on no machine, by effective priority and order; others may be among them until
    /// `prune_pending_jobs`.
    pending_jobs: BTreeSet<QueueKey>,
    /// Gangs that have not ended.
    gangs: BTreeSet<JobId>,
}

/// What a durable record has changed.
#[derive(Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Nothing that anyone waits for.
    Unchanged,
    /// The job is accepted.
    JobAccepted(JobId),
    /// The job has ended; what was left of it on machines.
    JobEnded(JobId, Vec<Placement>),
}

fn queue_key(job: &Job) -> QueueKey {
    (job.effective_priority, job.queue_order, job.spec.id)
}

impl JobStore {
    /// A job that has not ended.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.live.get(&id)
    }

    /// A job that has not ended.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.live.get_mut(&id)
    }

    /// All jobs that have not ended.
    pub fn live(&self) -> impl Iterator<Item = &Job> {
        self.live.values()
    }

    /// How many jobs have not ended.
    pub fn open_count(&self) -> usize {
        self.live.len()
    }

    /// How a job ended, if it did.
    pub fn terminal_state(&self, id: JobId) -> Option<TerminalState> {
        self.terminal.get(&id).copied()
    }

    /// How many jobs have ended.
    pub fn terminal_count(&self) -> usize {
        self.terminal.len()
    }

    /// Jobs with tasks that are on no machine, the most important first.
    pub fn pending_jobs(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.pending_jobs.iter().filter_map(|(.., id)| self.live.get(id));
        jobs.filter(|job| !job.pending.is_empty())
    }

    /// Gangs that have not ended.
    pub fn gangs(&self) -> impl Iterator<Item = &Job> {
        self.gangs.iter().filter_map(|id| self.live.get(id))
    }

    /// Forgets as waiting what does not wait any more.
    pub fn prune_pending_jobs(&mut self) {
        let live = &self.live;
        self.pending_jobs.retain(|(.., id)| live.get(id).is_some_and(|job| !job.pending.is_empty()));
    }

    /// A task is on no machine any more: it waits again, unless it has finished.
    pub fn return_to_pending(&mut self, task: TaskId) {
        if let Some(job) = self.live.get_mut(&task.job)
            && !job.finished.contains(task.index)
        {
            job.pending.insert(task.index);
            self.pending_jobs.insert(queue_key(job));
        }
    }

    /// Gives a job another effective priority among those that wait.
    pub fn promote(&mut self, id: JobId, effective_priority: u8) {
        if let Some(job) = self.live.get_mut(&id) {
            self.pending_jobs.remove(&queue_key(job));
            job.effective_priority = effective_priority;
            self.pending_jobs.insert(queue_key(job));
        }
    }

    /// Adds a job whose acceptance is not durable yet.
    pub fn insert(&mut self, spec: JobSpec, submitted_at: Timestamp, accepted_by_this_leader: bool) {
        let job = Job::new(spec, submitted_at, accepted_by_this_leader);
        self.pending_jobs.insert(queue_key(&job));
        if job.gang.is_some() {
            self.gangs.insert(job.spec.id);
        }
        self.live.insert(job.spec.id, job);
    }

    /// Applies a durable record, in the order of the log; the same when it is read back as when it
    /// has just been written, so that leaders agree.
    pub fn apply(&mut self, record: &LogRecord, now: Timestamp, wall: WallClock) -> ApplyOutcome {
        match record {
            LogRecord::JobAccepted(spec) => self.apply_acceptance(spec, now, wall),
            LogRecord::TasksDone(id, tasks) => self.apply_finishes(*id, tasks),
            LogRecord::JobCancelled(id) if self.live.contains_key(id) => self.end(*id, TerminalState::Cancelled),
            LogRecord::EndedJobs(done, cancelled) => {
                self.apply_ended_jobs(done, cancelled);
                ApplyOutcome::Unchanged
            }
            _ => ApplyOutcome::Unchanged,
        }
    }

    fn apply_acceptance(&mut self, spec: &JobSpec, now: Timestamp, wall: WallClock) -> ApplyOutcome {
        if self.terminal.contains_key(&spec.id) {
            return ApplyOutcome::Unchanged;
        }
        if !self.live.contains_key(&spec.id) {
            self.insert(spec.clone(), wall.timestamp_of(now, spec.submitted_at), false);
        }
        if let Some(job) = self.live.get_mut(&spec.id) {
            job.durable = true;
        }
        ApplyOutcome::JobAccepted(spec.id)
    }

    fn apply_finishes(&mut self, id: JobId, tasks: &TaskIndexSet) -> ApplyOutcome {
        let Some(job) = self.live.get_mut(&id) else { return ApplyOutcome::Unchanged };
        let task_count = job.spec.task_count;
        for index in tasks.iter().filter(|index| *index < task_count) {
            job.finished.insert(index);
            job.pending.remove(index);
            // A set, not a sum: a record that is read twice must not make a job look done.
            job.durably_finished.insert(index);
        }
        if job.durably_finished.len() < task_count {
            return ApplyOutcome::Unchanged;
        }
        self.end(id, TerminalState::Done(task_count))
    }

    /// Ids are given as differences from the one before.
    fn apply_ended_jobs(&mut self, done: &[(u64, u32)], cancelled: &[u64]) {
        let mut id = 0;
        for (step, task_count) in done {
            id += step;
            self.terminal.insert(JobId(id), TerminalState::Done(*task_count));
        }
        id = 0;
        for step in cancelled {
            id += step;
            self.terminal.insert(JobId(id), TerminalState::Cancelled);
        }
    }

    fn end(&mut self, id: JobId, state: TerminalState) -> ApplyOutcome {
        let placements = self.live.remove(&id).map(|job| job.placements.into_values().collect()).unwrap_or_default();
        self.gangs.remove(&id);
        self.terminal.insert(id, state);
        ApplyOutcome::JobEnded(id, placements)
    }

    /// Everything durable as records, for a snapshot.
    pub fn snapshot_records(&self) -> Vec<LogRecord> {
        let mut records = self.ended_job_records();
        for job in self.live.values().filter(|job| job.durable) {
            records.push(LogRecord::JobAccepted((*job.spec).clone()));
            for tasks in job.durably_finished.split_by_ranges(MAX_TASK_RANGES) {
                records.push(LogRecord::TasksDone(job.spec.id, tasks));
            }
        }
        records
    }

    fn ended_job_records(&self) -> Vec<LogRecord> {
        let mut done: Vec<(u64, u32)> = Vec::new();
        let mut cancelled: Vec<u64> = Vec::new();
        for (id, state) in &self.terminal {
            match state {
                TerminalState::Done(task_count) => done.push((id.0, *task_count)),
                TerminalState::Cancelled => cancelled.push(id.0),
            }
        }
        done.sort_unstable();
        cancelled.sort_unstable();
        let done_records = done.chunks(MAX_ENDED_JOBS).map(|chunk| {
            let steps = differences(chunk.iter().map(|(id, _)| *id));
            let task_counts = chunk.iter().map(|(_, task_count)| *task_count);
            LogRecord::EndedJobs(steps.zip(task_counts).collect(), Vec::new())
        });
        let cancelled_records = cancelled
            .chunks(MAX_ENDED_JOBS)
            .map(|chunk| LogRecord::EndedJobs(Vec::new(), differences(chunk.iter().copied()).collect()));
        done_records.chain(cancelled_records).collect()
    }

    /// A job's state as users see it; `None` for a job that was never accepted.
    pub fn status(&self, id: JobId) -> Option<JobStatusResponse> {
        if let Some(state) = self.terminal.get(&id) {
            let (status, done) = match state {
                TerminalState::Done(task_count) => (JobStatus::Done, *task_count),
                TerminalState::Cancelled => (JobStatus::Cancelled, 0),
            };
            return Some(JobStatusResponse { job: id, status, done, running: 0 });
        }
        let job = self.live.get(&id)?;
        let running = job.running_tasks() as u32;
        let status = if running > 0 { JobStatus::Running } else { JobStatus::Queued };
        Some(JobStatusResponse { job: id, status, done: job.durably_finished.len(), running })
    }
}

/// Each number as its difference from the one before, the first from 0.
fn differences(numbers: impl Iterator<Item = u64>) -> impl Iterator<Item = u64> {
    let mut last = 0;
    numbers.map(move |number| number - std::mem::replace(&mut last, number))
}
