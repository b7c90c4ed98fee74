//! What a machine's queue is predicted to do: when each task starts as room is given back, and what inserting
//! another one changes.

use super::queues::insertion_position;
use super::{MAX_QUEUED_TASKS, PREEMPTING_PRIORITIES, PREEMPTION_PENALTY, PlannedMachine, QueueEntry, ResourceRelease};
use crate::types::{JobId, Resources, Timestamp};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What inserting a task would do to a machine's plan.
pub(super) struct InsertionOutcome {
    /// Predicted end of the task.
    pub(super) finish: Timestamp,
    /// Other tasks that it pushes past their deadline.
    pub(super) newly_late: u32,
}

/// How many tasks of a job miss their deadline in one queue.
pub(super) struct LateTasks {
    pub(super) job: JobId,
    pub(super) count: u32,
}

/// What inserting this task would do; `None` if the queue is full, or the task would never start.
pub(super) fn insertion_outcome(
    machine: &PlannedMachine,
    now: Timestamp,
    task: QueueEntry,
) -> Option<InsertionOutcome> {
    if machine.queued_tasks >= MAX_QUEUED_TASKS {
        return None;
    }
    if machine.queue.is_empty() && task.resources.fits(&task.usable_resources(&machine.free, &machine.headroom)) {
        // Most machines, most of the time: nothing to simulate.
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

/// How many tasks of a machine's queue miss their deadline.
fn count_late_tasks(machine: &PlannedMachine, now: Timestamp) -> u32 {
    let mut late = 0;
    if machine.queue.iter().any(|entry| entry.deadline != Timestamp::NEVER) {
        simulate_queue(machine, now, |entry, start| late += u32::from(misses_deadline(entry, start)));
    }
    late
}

/// The tasks of a machine's queue that miss their deadline, by job in the order of the queue.
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

/// Whether a task with this start ends after its deadline; one that never starts does.
fn misses_deadline(entry: &QueueEntry, start: Option<Timestamp>) -> bool {
    entry.deadline != Timestamp::NEVER && start.is_none_or(|at| at + entry.predicted_duration > entry.deadline)
}

/// Lets the tasks of a queue start in order as resources are released, and tells each task's start.
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

/// The same with one more task in its place of the queue; the last argument of `visit` tells it from the others.
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

/// A machine as its queue is simulated.
struct QueueSimulation {
    clock: Timestamp,
    free: Resources,
    headroom: Resources,
    preemptible: [Resources; PREEMPTING_PRIORITIES],
    /// Releases that are still to come, the next one first.
    releases: BinaryHeap<Reverse<ResourceRelease>>,
    /// The gang whose tasks are starting.
    current_gang: Option<JobId>,
    /// What the tasks of that gang will release. They run at the same time, so that none starts in room that
    /// another one gives back. Without this a gang was planned one task after the other on a machine that never
    /// has room for all of them.
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

    /// Starts so many tasks of an entry and tells the start of each.
    fn start_tasks(&mut self, entry: &QueueEntry, count: u32, visit: &mut impl FnMut(&QueueEntry, Option<Timestamp>)) {
        self.finish_previous_gang(entry);
        for _ in 0..count {
            let start = self.start_by_preemption(entry).or_else(|| self.start_when_free(entry));
            visit(entry, start);
        }
    }

    /// Once the entries of a gang are through, what they release is there for others.
    fn finish_previous_gang(&mut self, entry: &QueueEntry) {
        if self.current_gang != Some(entry.job) {
            self.releases.extend(self.gang_releases.drain(..).map(Reverse));
            self.current_gang = entry.is_gang.then_some(entry.job);
        }
    }

    /// Starts a task that does not fit into free room by preempting lower ones, if it may and that is enough: room
    /// is made at once, at their cost.
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

    /// Starts a task once enough was released; `None` if it never is.
    fn start_when_free(&mut self, entry: &QueueEntry) -> Option<Timestamp> {
        while !self.fits(entry) {
            let Some(Reverse(release)) = self.releases.pop() else { break };
            self.clock = self.clock.max(release.at);
            self.free.add(&release.resources);
        }
        if !self.fits(entry) {
            // Services hold the room: what comes behind need not wait for this entry.
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

    /// Whether a task of this entry has room now.
    fn fits(&self, entry: &QueueEntry) -> bool {
        entry.resources.fits(&entry.usable_resources(&self.free, &self.headroom))
    }
}
