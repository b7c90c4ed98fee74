//! Places tasks on the machine with the best rating (the paper's `best_server`).

use super::simulation::{LateTasks, insertion_outcome, late_tasks};
use super::{
    JobDirectory, JobProfile, PlannedMachine, Plans, QueueEntry, SERVICE_FINISH_GRANULARITY, TASK_FINISH_GRANULARITY,
    ZoneAllowance,
};
use crate::types::{MachineId, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// Effect of inserting one task into a machine's queue. The derived order compares the fields from top to bottom; the
/// smallest rating is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MachineRating {
    misses_deadline: bool,
    /// Number of other queued tasks that would newly miss their deadline.
    newly_late: u32,
    /// Predicted end of the task, in units of the finish granularity.
    finish: u64,
    /// The machine's `PlacementBias` for this kind of task.
    bias: u64,
}

/// Element of the heap of candidate machines, which is ordered by rating.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RatedMachine {
    rating: MachineRating,
    machine: MachineId,
}

impl Plans {
    /// Inserts up to `count` tasks like `task` into machine queues; returns how many were inserted.
    ///
    /// Prefers a machine on which the task meets its deadline; among these, the one with the fewest other tasks that
    /// newly miss theirs, then the one with the earliest predicted end. If no machine meets the deadline, takes the one
    /// with the earliest predicted end. Each machine is rated once, and again only after its queue has received a task.
    pub fn place(&mut self, now: Timestamp, task: QueueEntry, count: u32, jobs: &dyn JobDirectory) -> u32 {
        let Some(profile) = jobs.profile(task.job) else { return 0 };
        let mut zones = self.zone_allowance(&task, jobs);
        let mut candidates: BinaryHeap<Reverse<RatedMachine>> = self
            .machines
            .values()
            .filter_map(|machine| self.rate(machine, now, &task, &profile))
            .map(Reverse)
            .collect();
        let mut outdated: BTreeSet<MachineId> = BTreeSet::new();
        let mut placed = 0;
        while placed < count
            && let Some(Reverse(RatedMachine { machine: id, .. })) = candidates.pop()
        {
            let Some(machine) = self.machines.get(&id) else { continue };
            if task.has_zone_constraints && !zones.allows_task(machine.zone) {
                continue;
            }
            if outdated.remove(&id) {
                // Resubmitted tasks were inserted into this machine's queue, so its rating may have become worse, but
                // not better.
                candidates.extend(self.rate(machine, now, &task, &profile).map(Reverse));
                continue;
            }
            let Some(predicted_duration) = profile.predicted_duration(machine) else { continue };
            let has_deadlines = machine.queue.iter().any(|entry| entry.deadline != Timestamp::NEVER);
            let late_before: Vec<LateTasks> = if has_deadlines { late_tasks(machine, now) } else { Vec::new() };
            zones.add_task(machine.zone);
            self.enqueue(id, QueueEntry { predicted_duration, count: 1, ..task });
            placed += 1;
            if has_deadlines && self.features.resubmission {
                outdated.extend(self.resubmit(now, id, task.job, &late_before, jobs));
            }
            candidates.extend(self.rate(&self.machines[&id], now, &task, &profile).map(Reverse));
        }
        placed
    }

    /// Number of tasks that may still be added to each zone; not computed for jobs without zone constraints.
    fn zone_allowance(&self, task: &QueueEntry, jobs: &dyn JobDirectory) -> ZoneAllowance {
        if task.has_zone_constraints {
            jobs.zone_allowance(task.job, &self.planned_by_zone(task.job))
        } else {
            ZoneAllowance::default()
        }
    }

    /// Rates the insertion of one task into a machine's queue; `None` if the task may not run there, the queue is full,
    /// or the task would never start.
    fn rate(
        &self,
        machine: &PlannedMachine,
        now: Timestamp,
        task: &QueueEntry,
        profile: &JobProfile,
    ) -> Option<RatedMachine> {
        let predicted_duration = profile.predicted_duration(machine)?;
        let outcome = insertion_outcome(machine, now, QueueEntry { predicted_duration, count: 1, ..*task })?;
        let misses_deadline = outcome.finish > task.deadline;
        let ignores_newly_late = misses_deadline || !self.features.minimize_newly_late;
        let newly_late = if ignores_newly_late { 0 } else { outcome.newly_late };
        let (bias, granularity) = if task.is_service {
            (machine.bias.for_services, SERVICE_FINISH_GRANULARITY)
        } else {
            (machine.bias.for_other_tasks, TASK_FINISH_GRANULARITY)
        };
        let finish = outcome.finish.as_millis() / granularity.as_millis();
        Some(RatedMachine { rating: MachineRating { misses_deadline, newly_late, finish, bias }, machine: machine.id })
    }
}
