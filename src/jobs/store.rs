//! The store of all jobs. Jobs that have not ended are kept in full, others only as their terminal state.

use super::{Job, JobSpec, Placement};
use crate::types::{JobId, TaskId, TaskIndexSet, Timestamp, WallClock};
use crate::wire::{JobStatus, JobStatusResponse};
use crate::write_ahead_log::{LogRecord, MAX_ENDED_JOBS, MAX_TASK_RANGES};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminalState {
    /// All tasks finished; contains their number.
    Done(u32),
    /// The job was cancelled.
    Cancelled,
}

/// The sort key of a job with pending tasks: effective priority, queue order and id, the first job to be scheduled
/// first.
type QueueKey = (u8, u64, JobId);

/// All jobs.
#[derive(Debug, Default)]
pub struct JobStore {
    /// Jobs that have not ended.
    live: BTreeMap<JobId, Job>,
    /// Jobs that have ended.
    terminal: HashMap<JobId, TerminalState>,
    /// Jobs with pending tasks in scheduling order. Jobs without pending tasks and jobs that have ended may remain in
    /// the set until `prune_pending_jobs` is called.
    pending_jobs: BTreeSet<QueueKey>,
    /// Gangs that have not ended.
    gangs: BTreeSet<JobId>,
}

/// The effect of applying a durable record.
#[derive(Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// No job was accepted or has ended.
    Unchanged,
    /// The job is durably accepted.
    JobAccepted(JobId),
    /// The job has ended; contains the placements that its tasks still had.
    JobEnded(JobId, Vec<Placement>),
}

fn queue_key(job: &Job) -> QueueKey {
    (job.effective_priority, job.queue_order, job.spec.id)
}

impl JobStore {
    /// Returns a job that has not ended; `None` if it has ended or does not exist.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.live.get(&id)
    }

    /// Returns a job that has not ended, for modification; `None` if it has ended or does not exist.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.live.get_mut(&id)
    }

    /// All jobs that have not ended.
    pub fn live(&self) -> impl Iterator<Item = &Job> {
        self.live.values()
    }

    /// Returns the number of jobs that have not ended.
    pub fn open_count(&self) -> usize {
        self.live.len()
    }

    /// Returns how a job ended; `None` if it has not ended or does not exist.
    pub fn terminal_state(&self, id: JobId) -> Option<TerminalState> {
        self.terminal.get(&id).copied()
    }

    /// Returns the number of jobs that have ended.
    pub fn terminal_count(&self) -> usize {
        self.terminal.len()
    }

    /// Jobs with pending tasks, in scheduling order.
    pub fn pending_jobs(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.pending_jobs.iter().filter_map(|(.., id)| self.live.get(id));
        jobs.filter(|job| !job.pending.is_empty())
    }

    /// Gangs that have not ended.
    pub fn gangs(&self) -> impl Iterator<Item = &Job> {
        self.gangs.iter().filter_map(|id| self.live.get(id))
    }

    /// Removes jobs without pending tasks, and jobs that have ended, from the scheduling order.
    pub fn prune_pending_jobs(&mut self) {
        let live = &self.live;
        self.pending_jobs.retain(|(.., id)| live.get(id).is_some_and(|job| !job.pending.is_empty()));
    }

    /// Makes a task pending again after its attempt was lost, stopped or failed. Has no effect if the task has
    /// finished.
    pub fn return_to_pending(&mut self, task: TaskId) {
        if let Some(job) = self.live.get_mut(&task.job)
            && !job.finished.contains(task.index)
        {
            job.pending.insert(task.index);
            self.pending_jobs.insert(queue_key(job));
        }
    }

    /// Changes the effective priority of a job and its position in the scheduling order.
    pub fn promote(&mut self, id: JobId, effective_priority: u8) {
        if let Some(job) = self.live.get_mut(&id) {
            self.pending_jobs.remove(&queue_key(job));
            job.effective_priority = effective_priority;
            self.pending_jobs.insert(queue_key(job));
        }
    }

    /// Adds a job whose acceptance is not durable yet, with all its tasks pending.
    pub fn insert(&mut self, spec: JobSpec, submitted_at: Timestamp, accepted_by_this_leader: bool) {
        let job = Job::new(spec, submitted_at, accepted_by_this_leader);
        self.pending_jobs.insert(queue_key(&job));
        if job.gang.is_some() {
            self.gangs.insert(job.spec.id);
        }
        self.live.insert(job.spec.id, job);
    }

    /// Applies a durable record. Records must be applied in log order. The result is the same whether a record was just
    /// committed or loaded after an election, so that successive leaders have the same state.
    pub fn apply(&mut self, record: &LogRecord, now: Timestamp, wall: WallClock) -> ApplyOutcome {
        match record {
            LogRecord::JobAccepted(spec) => self.apply_acceptance(spec, now, wall),
            LogRecord::TasksDone(id, tasks) => self.apply_tasks_done(*id, tasks),
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

    fn apply_tasks_done(&mut self, id: JobId, tasks: &TaskIndexSet) -> ApplyOutcome {
        let Some(job) = self.live.get_mut(&id) else { return ApplyOutcome::Unchanged };
        let task_count = job.spec.task_count;
        for index in tasks.iter().filter(|index| *index < task_count) {
            job.finished.insert(index);
            job.pending.remove(index);
            // Finished tasks are kept as a set, not as a count: a record that is applied twice must not complete the
            // job early.
            job.durably_finished.insert(index);
        }
        if job.durably_finished.len() < task_count {
            return ApplyOutcome::Unchanged;
        }
        self.end(id, TerminalState::Done(task_count))
    }

    /// Applies an `EndedJobs` record, whose ids are delta-encoded.
    fn apply_ended_jobs(&mut self, done: &[(u64, u32)], cancelled: &[u64]) {
        let mut id = 0;
        for (delta, task_count) in done {
            id += delta;
            self.terminal.insert(JobId(id), TerminalState::Done(*task_count));
        }
        id = 0;
        for delta in cancelled {
            id += delta;
            self.terminal.insert(JobId(id), TerminalState::Cancelled);
        }
    }

    fn end(&mut self, id: JobId, state: TerminalState) -> ApplyOutcome {
        let placements = self.live.remove(&id).map(|job| job.placements.into_values().collect()).unwrap_or_default();
        self.gangs.remove(&id);
        self.terminal.insert(id, state);
        ApplyOutcome::JobEnded(id, placements)
    }

    /// Returns the durable state of all jobs as records for a snapshot.
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
            let deltas = delta_encoded(chunk.iter().map(|(id, _)| *id));
            let task_counts = chunk.iter().map(|(_, task_count)| *task_count);
            LogRecord::EndedJobs(deltas.zip(task_counts).collect(), Vec::new())
        });
        let cancelled_records = cancelled
            .chunks(MAX_ENDED_JOBS)
            .map(|chunk| LogRecord::EndedJobs(Vec::new(), delta_encoded(chunk.iter().copied()).collect()));
        done_records.chain(cancelled_records).collect()
    }

    /// Returns a job's state as shown to users; `None` if the job does not exist. Only durably finished tasks count as
    /// done.
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

/// Delta-encodes ascending numbers: each is replaced by its difference from the previous one, the first from 0.
fn delta_encoded(numbers: impl Iterator<Item = u64>) -> impl Iterator<Item = u64> {
    let mut previous = 0;
    numbers.map(move |number| number - std::mem::replace(&mut previous, number))
}
