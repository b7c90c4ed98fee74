//! All jobs: those that are not over in full, the others as their final state only.

use super::JobSpec;
use crate::gang::Gang;
use crate::types::{AttemptId, JobId, MachineId, TaskId, TaskIndexSet, Timestamp, WallClock};
use crate::wire::{JobStatus, JobStatusResponse};
use crate::write_ahead_log::{LogRecord, MAX_ENDED_JOBS, MAX_TASK_RANGES};
use std::collections::{BTreeMap, BTreeSet, HashMap};
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

/// A job that is not over.
#[derive(Debug)]
pub struct Job {
    /// What was accepted.
    pub spec: Rc<JobSpec>,
    /// Order among jobs of the same rank.
    pub queue_sequence: u64,
    /// Its rank, or a better one when nothing of it has begun for long, until something has.
    pub effective_priority: u8,
    /// When it was submitted, by this process's clock.
    pub submitted_at: Timestamp,
    /// Whether its acceptance is durable.
    pub durable: bool,
    /// Whether it was accepted under this leader's token.
    pub accepted_by_this_leader: bool,
    /// Tasks that are on no machine and not done.
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
    /// No task is started before, because of failures.
    pub retry_not_before: Timestamp,
    /// When planning looked for machines for it last.
    pub last_planned_at: Timestamp,
    /// Its life as a gang, if it is one.
    pub gang: Option<Gang>,
}

impl Job {
    /// When the job should be complete.
    pub fn deadline(&self) -> Timestamp {
        self.spec.deadline.map_or(Timestamp::NEVER, |d| self.submitted_at + d)
    }
    /// Whether it has a better rank than its own.
    pub fn is_promoted(&self) -> bool {
        self.effective_priority != self.spec.priority
    }
    /// How many tasks run, as users see it: of a gang all or none.
    fn running_tasks(&self) -> usize {
        let running = self.placements.values().filter(|p| p.running).count();
        match &self.gang {
            Some(gang) if !gang.is_running() || running < self.spec.task_count as usize => 0,
            _ => running,
        }
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminalState {
    /// All tasks are done; how many there were.
    Done(u32),
    /// Cancelled.
    Cancelled,
}

/// All jobs: those that are not over in full, the others as their final state only.
#[derive(Debug, Default)]
pub struct JobStore {
    live: BTreeMap<JobId, Job>,
    terminal: HashMap<JobId, TerminalState>,
    /// Jobs with tasks that are on no machine, most important first; others may be among them until
    /// `settle_waiting`.
    waiting: BTreeSet<(u8, u64, JobId)>,
    /// Gangs that are not over.
    gangs: BTreeSet<JobId>,
}

/// What became of a durable fact.
#[derive(Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Nothing that anyone waits for.
    Unchanged,
    /// The job is accepted.
    JobAccepted(JobId),
    /// The job is over; what was left of it on machines.
    JobEnded(JobId, Vec<Placement>),
}

impl JobStore {
    /// A job that is not over.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.live.get(&id)
    }
    /// A job that is not over.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.live.get_mut(&id)
    }
    /// All jobs that are not over.
    pub fn live(&self) -> impl Iterator<Item = &Job> {
        self.live.values()
    }
    /// How many jobs are not over.
    pub fn open_count(&self) -> usize {
        self.live.len()
    }
    /// How a job ended, if it did.
    pub fn terminal_state(&self, id: JobId) -> Option<TerminalState> {
        self.terminal.get(&id).copied()
    }
    /// Jobs that are over.
    pub fn terminal_count(&self) -> usize {
        self.terminal.len()
    }

    /// Jobs with tasks that are on no machine, most important first.
    pub fn waiting(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter().filter_map(|(.., id)| self.live.get(id)).filter(|j| !j.pending.is_empty())
    }

    /// Gangs that are not over.
    pub fn gangs(&self) -> impl Iterator<Item = &Job> {
        self.gangs.iter().filter_map(|id| self.live.get(id))
    }

    /// Forgets as waiting what does not wait any more.
    pub fn prune_waiting(&mut self) {
        let live = &self.live;
        self.waiting.retain(|(.., id)| live.get(id).is_some_and(|j| !j.pending.is_empty()));
    }

    /// A task is on no machine any more: it waits again, unless it is done.
    pub fn return_to_pending(&mut self, task: TaskId) {
        if let Some(job) = self.live.get_mut(&task.job)
            && !job.finished.contains(task.index)
        {
            job.pending.insert(task.index);
            self.waiting.insert((job.effective_priority, job.queue_sequence, task.job));
        }
    }

    /// Gives a job another rank among those that wait.
    pub fn promote(&mut self, id: JobId, urgency: u8) {
        if let Some(job) = self.live.get_mut(&id) {
            self.waiting.remove(&(job.effective_priority, job.queue_sequence, id));
            job.effective_priority = urgency;
            self.waiting.insert((urgency, job.queue_sequence, id));
        }
    }

    /// Enters a job whose acceptance is not durable yet.
    pub fn insert(&mut self, record: JobSpec, now: Timestamp, ours: bool) {
        // Among equals, short tasks go first, but nothing waits for ever: it is as if a job had come
        // later by half of what its tasks take.
        let seq = now.as_millis() + record.estimated_duration.as_millis() / 2;
        self.waiting.insert((record.priority, seq, record.id));
        let job = Job {
            queue_sequence: seq,
            effective_priority: record.priority,
            submitted_at: now,
            durable: false,
            accepted_by_this_leader: ours,
            pending: TaskIndexSet::below(record.task_count),
            finished: TaskIndexSet::default(),
            durably_finished: TaskIndexSet::default(),
            placements: BTreeMap::new(),
            cancelling: false,
            failed_on: Vec::new(),
            consecutive_failures: 0,
            retry_not_before: Timestamp::ZERO,
            last_planned_at: Timestamp::ZERO,
            gang: record.is_gang.then(Gang::default),
            spec: Rc::new(record),
        };
        if job.gang.is_some() {
            self.gangs.insert(job.spec.id);
        }
        self.live.insert(job.spec.id, job);
    }

    /// Applies a durable fact, in the order of the log; the same when it is read back as when it
    /// has just been written, so that leaders agree.
    pub fn apply(&mut self, record: &LogRecord, now: Timestamp, wall: WallClock) -> ApplyOutcome {
        match record {
            LogRecord::JobAccepted(job) => {
                if self.terminal.contains_key(&job.id) {
                    return ApplyOutcome::Unchanged;
                }
                if !self.live.contains_key(&job.id) {
                    self.insert(job.clone(), wall.timestamp_of(now, job.submitted_at), false);
                }
                if let Some(entry) = self.live.get_mut(&job.id) {
                    entry.durable = true;
                }
                ApplyOutcome::JobAccepted(job.id)
            }
            LogRecord::TasksDone(id, tasks) => {
                let Some(job) = self.live.get_mut(id) else { return ApplyOutcome::Unchanged };
                for index in tasks.iter().filter(|i| *i < job.spec.task_count) {
                    job.finished.insert(index);
                    job.pending.remove(index);
                    // A set, not a sum: a fact that is read twice must not make a job look done.
                    job.durably_finished.insert(index);
                }
                if job.durably_finished.len() < job.spec.task_count {
                    return ApplyOutcome::Unchanged;
                }
                let tasks = job.spec.task_count;
                self.end(*id, TerminalState::Done(tasks))
            }
            LogRecord::JobCancelled(id) if self.live.contains_key(id) => self.end(*id, TerminalState::Cancelled),
            LogRecord::EndedJobs(done, cancelled) => {
                let mut id = 0;
                for (step, tasks) in done {
                    id += step;
                    self.terminal.insert(JobId(id), TerminalState::Done(*tasks));
                }
                id = 0;
                for step in cancelled {
                    id += step;
                    self.terminal.insert(JobId(id), TerminalState::Cancelled);
                }
                ApplyOutcome::Unchanged
            }
            _ => ApplyOutcome::Unchanged,
        }
    }

    fn end(&mut self, id: JobId, how: TerminalState) -> ApplyOutcome {
        let left = self.live.remove(&id).map(|job| job.placements.into_values().collect()).unwrap_or_default();
        self.gangs.remove(&id);
        self.terminal.insert(id, how);
        ApplyOutcome::JobEnded(id, left)
    }

    /// All durable facts, for a snapshot.
    pub fn snapshot_records(&self) -> Vec<LogRecord> {
        let mut facts = Vec::new();
        let mut done: Vec<(u64, u32)> = Vec::new();
        let mut cancelled: Vec<u64> = Vec::new();
        for (id, how) in &self.terminal {
            match how {
                TerminalState::Done(tasks) => done.push((id.0, *tasks)),
                TerminalState::Cancelled => cancelled.push(id.0),
            }
        }
        done.sort_unstable();
        cancelled.sort_unstable();
        for part in done.chunks(MAX_ENDED_JOBS) {
            let mut last = 0;
            facts.push(LogRecord::EndedJobs(
                part.iter().map(|(id, n)| (id - std::mem::replace(&mut last, *id), *n)).collect(),
                vec![],
            ));
        }
        for part in cancelled.chunks(MAX_ENDED_JOBS) {
            let mut last = 0;
            facts.push(LogRecord::EndedJobs(
                vec![],
                part.iter().map(|id| id - std::mem::replace(&mut last, *id)).collect(),
            ));
        }
        for job in self.live.values().filter(|j| j.durable) {
            facts.push(LogRecord::JobAccepted((*job.spec).clone()));
            for part in job.durably_finished.split_by_ranges(MAX_TASK_RANGES) {
                facts.push(LogRecord::TasksDone(job.spec.id, part));
            }
        }
        facts
    }

    /// A job's state as users see it; `None` for a job that was never accepted.
    pub fn status(&self, id: JobId) -> Option<JobStatusResponse> {
        if let Some(state) = self.terminal.get(&id) {
            let (status, done) = match state {
                TerminalState::Done(tasks) => (JobStatus::Done, *tasks),
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
