//! All jobs: those that are not over in full, the others as their final state only.

use super::JobRecord;
use crate::gang::Gang;
use crate::records::{FINALS_LIMIT, RANGES_LIMIT, Record};
use crate::types::{AttemptId, JobId, MachineId, TaskId, TaskIndexSet, Timestamp, WallClock};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Where a task is, or may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placed {
    /// Machine.
    pub machine: MachineId,
    /// The attempt.
    pub key: AttemptId,
    /// Whether it is reported to run.
    pub running: bool,
}

/// A job that is not over.
#[derive(Debug)]
pub struct Job {
    /// What was accepted.
    pub record: Rc<JobRecord>,
    /// Order among jobs of the same rank.
    pub seq: u64,
    /// Its rank, or a better one when nothing of it has begun for long, until something has.
    pub urgency: u8,
    /// When it was submitted, by this process's clock.
    pub submitted: Timestamp,
    /// Whether its acceptance is durable.
    pub durable: bool,
    /// Whether it was accepted under this leader's token.
    pub ours: bool,
    /// Tasks that are on no machine and not done.
    pub pending: TaskIndexSet,
    /// Tasks whose finish was reported, durable or not.
    pub done: TaskIndexSet,
    /// Tasks whose finish is durable.
    pub durably_done: TaskIndexSet,
    /// Tasks on machines.
    pub placed: BTreeMap<u32, Placed>,
    /// A cancellation is on its way to be durable.
    pub cancelling: bool,
    /// Machines on which its tasks failed.
    pub failed_on: Vec<MachineId>,
    /// Failures in a row, over all tasks.
    pub failures: u32,
    /// No task is started before, because of failures.
    pub not_before: Timestamp,
    /// When planning looked for machines for it last.
    pub looked: Timestamp,
    /// Its life as a gang, if it is one.
    pub gang: Option<Gang>,
}

impl Job {
    /// When the job should be complete.
    pub fn deadline(&self) -> Timestamp {
        self.record.deadline.map_or(Timestamp::NEVER, |d| self.submitted + d)
    }
    /// Whether it has a better rank than its own.
    pub fn promoted(&self) -> bool {
        self.urgency != self.record.rank
    }
    /// How many tasks run, as users see it: of a gang all or none.
    fn running(&self) -> usize {
        let running = self.placed.values().filter(|p| p.running).count();
        match &self.gang {
            Some(gang) if !gang.runs() || running < self.record.tasks as usize => 0,
            _ => running,
        }
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Final {
    /// All tasks are done; how many there were.
    Done(u32),
    /// Cancelled.
    Cancelled,
}

/// All jobs: those that are not over in full, the others as their final state only.
#[derive(Debug, Default)]
pub struct JobStore {
    live: BTreeMap<JobId, Job>,
    finals: HashMap<JobId, Final>,
    /// Jobs with tasks that are on no machine, most important first; others may be among them until
    /// `settle_waiting`.
    waiting: BTreeSet<(u8, u64, JobId)>,
    /// Gangs that are not over.
    gangs: BTreeSet<JobId>,
}

/// What became of a durable fact.
#[derive(Debug, PartialEq, Eq)]
pub enum Applied {
    /// Nothing that anyone waits for.
    Nothing,
    /// The job is accepted.
    Accepted(JobId),
    /// The job is over; what was left of it on machines.
    Over(JobId, Vec<Placed>),
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
    pub fn open(&self) -> usize {
        self.live.len()
    }
    /// How a job ended, if it did.
    pub fn ended(&self, id: JobId) -> Option<Final> {
        self.finals.get(&id).copied()
    }
    /// Jobs that are over.
    pub fn finals(&self) -> usize {
        self.finals.len()
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
    pub fn settle_waiting(&mut self) {
        let live = &self.live;
        self.waiting.retain(|(.., id)| live.get(id).is_some_and(|j| !j.pending.is_empty()));
    }

    /// A task is on no machine any more: it waits again, unless it is done.
    pub fn waits_again(&mut self, task: TaskId) {
        if let Some(job) = self.live.get_mut(&task.job)
            && !job.done.contains(task.index)
        {
            job.pending.insert(task.index);
            self.waiting.insert((job.urgency, job.seq, task.job));
        }
    }

    /// Gives a job another rank among those that wait.
    pub fn promote(&mut self, id: JobId, urgency: u8) {
        if let Some(job) = self.live.get_mut(&id) {
            self.waiting.remove(&(job.urgency, job.seq, id));
            job.urgency = urgency;
            self.waiting.insert((urgency, job.seq, id));
        }
    }

    /// Enters a job whose acceptance is not durable yet.
    pub fn enter(&mut self, record: JobRecord, now: Timestamp, ours: bool) {
        // Among equals, short tasks go first, but nothing waits for ever: it is as if a job had come
        // later by half of what its tasks take.
        let seq = now.as_millis() + record.estimate.as_millis() / 2;
        self.waiting.insert((record.rank, seq, record.id));
        let job = Job {
            seq,
            urgency: record.rank,
            submitted: now,
            durable: false,
            ours,
            pending: TaskIndexSet::below(record.tasks),
            done: TaskIndexSet::default(),
            durably_done: TaskIndexSet::default(),
            placed: BTreeMap::new(),
            cancelling: false,
            failed_on: Vec::new(),
            failures: 0,
            not_before: Timestamp::ZERO,
            looked: Timestamp::ZERO,
            gang: record.gang.then(Gang::default),
            record: Rc::new(record),
        };
        if job.gang.is_some() {
            self.gangs.insert(job.record.id);
        }
        self.live.insert(job.record.id, job);
    }

    /// Applies a durable fact, in the order of the log; the same when it is read back as when it
    /// has just been written, so that leaders agree.
    pub fn apply(&mut self, record: &Record, now: Timestamp, wall: WallClock) -> Applied {
        match record {
            Record::Job(job) => {
                if self.finals.contains_key(&job.id) {
                    return Applied::Nothing;
                }
                if !self.live.contains_key(&job.id) {
                    self.enter(job.clone(), wall.timestamp_of(now, job.at), false);
                }
                if let Some(entry) = self.live.get_mut(&job.id) {
                    entry.durable = true;
                }
                Applied::Accepted(job.id)
            }
            Record::Done(id, tasks) => {
                let Some(job) = self.live.get_mut(id) else { return Applied::Nothing };
                for index in tasks.iter().filter(|i| *i < job.record.tasks) {
                    job.done.insert(index);
                    job.pending.remove(index);
                    // A set, not a sum: a fact that is read twice must not make a job look done.
                    job.durably_done.insert(index);
                }
                if job.durably_done.len() < job.record.tasks {
                    return Applied::Nothing;
                }
                let tasks = job.record.tasks;
                self.end(*id, Final::Done(tasks))
            }
            Record::Cancelled(id) if self.live.contains_key(id) => self.end(*id, Final::Cancelled),
            Record::Finals(done, cancelled) => {
                let mut id = 0;
                for (step, tasks) in done {
                    id += step;
                    self.finals.insert(JobId(id), Final::Done(*tasks));
                }
                id = 0;
                for step in cancelled {
                    id += step;
                    self.finals.insert(JobId(id), Final::Cancelled);
                }
                Applied::Nothing
            }
            _ => Applied::Nothing,
        }
    }

    fn end(&mut self, id: JobId, how: Final) -> Applied {
        let left = self.live.remove(&id).map(|job| job.placed.into_values().collect()).unwrap_or_default();
        self.gangs.remove(&id);
        self.finals.insert(id, how);
        Applied::Over(id, left)
    }

    /// All durable facts, for a snapshot.
    pub fn facts(&self) -> Vec<Record> {
        let mut facts = Vec::new();
        let mut done: Vec<(u64, u32)> = Vec::new();
        let mut cancelled: Vec<u64> = Vec::new();
        for (id, how) in &self.finals {
            match how {
                Final::Done(tasks) => done.push((id.0, *tasks)),
                Final::Cancelled => cancelled.push(id.0),
            }
        }
        done.sort_unstable();
        cancelled.sort_unstable();
        for part in done.chunks(FINALS_LIMIT) {
            let mut last = 0;
            facts.push(Record::Finals(
                part.iter().map(|(id, n)| (id - std::mem::replace(&mut last, *id), *n)).collect(),
                vec![],
            ));
        }
        for part in cancelled.chunks(FINALS_LIMIT) {
            let mut last = 0;
            facts.push(Record::Finals(vec![], part.iter().map(|id| id - std::mem::replace(&mut last, *id)).collect()));
        }
        for job in self.live.values().filter(|j| j.durable) {
            facts.push(Record::Job((*job.record).clone()));
            for part in job.durably_done.split_by_ranges(RANGES_LIMIT) {
                facts.push(Record::Done(job.record.id, part));
            }
        }
        facts
    }

    /// A job's state as users see it; `None` for a job that was never accepted.
    pub fn state(&self, id: JobId) -> Option<Value> {
        let reference = id.to_string();
        if let Some(how) = self.finals.get(&id) {
            return Some(match how {
                Final::Done(n) => json!({"Ref": reference, "Status": "done", "done": n, "running": 0}),
                Final::Cancelled => json!({"Ref": reference, "Status": "aborted", "done": 0, "running": 0}),
            });
        }
        let job = self.live.get(&id)?;
        let running = job.running();
        let status = if running > 0 { "running" } else { "queued" };
        Some(json!({"Ref": reference, "Status": status, "done": job.durably_done.len(), "running": running}))
    }
}
