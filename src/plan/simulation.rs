//! Simulates a machine's queue: predicts when each task starts as running tasks release their resources, and how the
//! insertion of another task changes that.

use super::queues::insertion_position;
use super::{MAX_QUEUED_TASKS, PREEMPTING_PRIORITIES, PREEMPTION_PENALTY, PlannedMachine, QueueEntry, ResourceRelease};
use crate::types::{JobId, Resources, Timestamp};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Predicted effect of inserting a task into a machine's queue.
pub(super) struct InsertionOutcome {
    /// Predicted end of the inserted task.
    pub(super) finish: Timestamp,
    /// Number of other queued tasks that newly miss their deadline.
    pub(super) newly_late: u32,
}

/// Number of a job's tasks in one queue that are predicted to miss their deadline.
pub(super) struct LateTasks {
    pub(super) job: JobId,
    pub(super) count: u32,
}

/// Predicted effect of inserting this task; `None` if the queue is full or the task would never start.
pub(super) fn insertion_outcome(
    machine: &PlannedMachine,
    now: Timestamp,
    task: QueueEntry,
) -> Option<InsertionOutcome> {
    if machine.queued_tasks >= MAX_QUEUED_TASKS {
        return None;
    }
    if machine.queue.is_empty() && task.resources.fits(&task.usable_resources(&machine.free, &machine.headroom)) {
        // Fast path for the common case of an empty queue and sufficient free resources.
        let finish = machine.earliest_start(now) + task.predicted_duration;
        return Some(InsertionOutcome { finish, newly_late: 0 });
    }
    let mut task_finish = None;
    let mut late_after = 0_u32;
    simulate_insertion(machine, now, &task, |entry, start, is_inserted| {
        if is_inserted {
            task_finish = start.map(|at| at + entry.predicted_duration);
        } else if misses_deadline(entry, start) {
            late_after += 1;
        }
    });
    let late_before = if late_after > 0 { count_late_tasks(machine, now) } else { 0 };
    task_finish.map(|finish| InsertionOutcome { finish, newly_late: late_after.saturating_sub(late_before) })
}

/// Number of tasks in a machine's queue that are predicted to miss their deadline.
fn count_late_tasks(machine: &PlannedMachine, now: Timestamp) -> u32 {
    let mut late = 0;
    if machine.queue.iter().any(|entry| entry.deadline != Timestamp::NEVER) {
        simulate_queue(machine, now, |entry, start| late += u32::from(misses_deadline(entry, start)));
    }
    late
}

/// Tasks in a machine's queue that are predicted to miss their deadline, counted by job, in the order of the queue.
pub(super) fn late_tasks(machine: &PlannedMachine, now: Timestamp) -> Vec<LateTasks> {
    let mut late: Vec<LateTasks> = Vec::new();
    simulate_queue(machine, now, |entry, start| {
        if misses_deadline(entry, start) {
            match late.iter_mut().find(|late| late.job == entry.job) {
                Some(late) => late.count += 1,
                None => late.push(LateTasks { job: entry.job, count: 1 }),
            }
        }
    });
    late
}

/// Whether a task with this predicted start ends after its deadline; true for a task that never starts and has a
/// deadline.
fn misses_deadline(entry: &QueueEntry, start: Option<Timestamp>) -> bool {
    entry.deadline != Timestamp::NEVER && start.is_none_or(|at| at + entry.predicted_duration > entry.deadline)
}

/// Simulates the queue: starts its tasks in order as resources become free, and calls `visit` with each task and its
/// predicted start.
pub(super) fn simulate_queue(
    machine: &PlannedMachine,
    now: Timestamp,
    mut visit: impl FnMut(&QueueEntry, Option<Timestamp>),
) {
    let mut simulation = QueueSimulation::new(machine, now);
    for entry in &machine.queue {
        simulation.start_tasks(entry, entry.count, &mut visit);
    }
}

/// Simulates the queue with one more task inserted at its position. The last argument of `visit` is true for the
/// inserted task.
fn simulate_insertion(
    machine: &PlannedMachine,
    now: Timestamp,
    inserted: &QueueEntry,
    mut visit: impl FnMut(&QueueEntry, Option<Timestamp>, bool),
) {
    let mut simulation = QueueSimulation::new(machine, now);
    let (ahead, behind) = machine.queue.split_at(insertion_position(&machine.queue, inserted.queue_priority));
    for entry in ahead {
        simulation.start_tasks(entry, entry.count, &mut |entry, start| visit(entry, start, false));
    }
    simulation.start_tasks(inserted, 1, &mut |entry, start| visit(entry, start, true));
    for entry in behind {
        simulation.start_tasks(entry, entry.count, &mut |entry, start| visit(entry, start, false));
    }
}

/// State of a machine during the simulation of its queue.
struct QueueSimulation {
    clock: Timestamp,
    free: Resources,
    headroom: Resources,
    preemptible: [Resources; PREEMPTING_PRIORITIES],
    /// Pending releases as a min-heap, the earliest on top.
    releases: BinaryHeap<Reverse<ResourceRelease>>,
    /// The gang whose tasks are being started at the moment.
    current_gang: Option<JobId>,
    /// Releases by the tasks of `current_gang`, withheld until all of its tasks have started. The tasks of a gang run
    /// at the same time, so none may start with resources that another one releases. Otherwise, a gang would be planned
    /// task after task on a machine that can never hold all of its tasks at once.
    gang_releases: Vec<ResourceRelease>,
}

impl QueueSimulation {
    fn new(machine: &PlannedMachine, now: Timestamp) -> QueueSimulation {
        QueueSimulation {
            clock: machine.earliest_start(now),
            free: machine.free,
            headroom: machine.headroom,
            preemptible: machine.preemptible,
            releases: machine.releases.iter().copied().map(Reverse).collect(),
            current_gang: None,
            gang_releases: Vec::new(),
        }
    }

    /// Starts `count` tasks of an entry and calls `visit` with the predicted start of each.
    fn start_tasks(&mut self, entry: &QueueEntry, count: u32, visit: &mut impl FnMut(&QueueEntry, Option<Timestamp>)) {
        self.finish_previous_gang(entry);
        for _ in 0..count {
            let start = self.start_by_preemption(entry).or_else(|| self.start_when_free(entry));
            visit(entry, start);
        }
    }

    /// Makes the releases of the previous gang available, if this entry does not belong to it.
    fn finish_previous_gang(&mut self, entry: &QueueEntry) {
        if self.current_gang != Some(entry.job) {
            self.releases.extend(self.gang_releases.drain(..).map(Reverse));
            self.current_gang = entry.is_gang.then_some(entry.job);
        }
    }

    /// Starts a task that does not fit into the free resources, by preempting tasks of lower priority. Returns `None`
    /// if the entry may not preempt or the preemptible resources are not sufficient. The start is not delayed by
    /// releases, but by `PREEMPTION_PENALTY`.
    fn start_by_preemption(&mut self, entry: &QueueEntry) -> Option<Timestamp> {
        let priority = entry.preempts_below.map(usize::from).filter(|priority| *priority < PREEMPTING_PRIORITIES)?;
        if entry.resources.fits(&self.free) {
            return None;
        }
        let mut with_preemption = self.free;
        with_preemption.add(&self.preemptible[priority]);
        if !entry.resources.fits(&with_preemption) {
            return None;
        }
        let mut preempted = entry.resources;
        preempted.saturating_sub(&self.free);
        self.free.saturating_sub(&entry.resources);
        self.preemptible.iter_mut().for_each(|resources| resources.saturating_sub(&preempted));
        let start = self.clock + PREEMPTION_PENALTY;
        if entry.is_gang {
            self.gang_releases
                .push(ResourceRelease { at: start + entry.predicted_duration, resources: entry.resources });
        }
        Some(start)
    }

    /// Starts a task as soon as enough resources have been released; returns `None` if that never happens.
    fn start_when_free(&mut self, entry: &QueueEntry) -> Option<Timestamp> {
        while !self.fits(entry) {
            let Some(Reverse(release)) = self.releases.pop() else { break };
            self.clock = self.clock.max(release.at);
            self.free.add(&release.resources);
        }
        if !self.fits(entry) {
            // Services hold the missing resources until they are cancelled. Later entries of the queue are not blocked
            // by this one.
            return None;
        }
        self.free.saturating_sub(&entry.resources);
        if entry.uses_headroom {
            self.headroom.saturating_sub(&entry.resources);
        }
        let release = ResourceRelease { at: self.clock + entry.predicted_duration, resources: entry.resources };
        if entry.is_gang {
            self.gang_releases.push(release);
        } else if !entry.is_service {
            self.releases.push(Reverse(release));
        }
        Some(self.clock)
    }

    /// Whether a task of this entry fits into the resources that are free at the current simulated time.
    fn fits(&self, entry: &QueueEntry) -> bool {
        entry.resources.fits(&entry.usable_resources(&self.free, &self.headroom))
    }
}
