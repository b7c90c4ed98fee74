//! Placing tasks: the paper's `best_server`, which takes the machine with the best rating.

use super::simulation::{LateTasks, insertion_outcome, late_tasks};
use super::{
    JobDirectory, JobProfile, PlannedMachine, Plans, QueueEntry, SERVICE_FINISH_GRANULARITY, TASK_FINISH_GRANULARITY,
    ZoneAllowance,
};
use crate::types::{MachineId, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// What inserting a task would do to a machine. The fields stand in the order in which they decide; the
/// smallest rating is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MachineRating {
    misses_deadline: bool,
    /// Other tasks that it pushes past their deadline.
    newly_late: u32,
    /// Predicted end, in units of the granularity.
    finish: u64,
    /// `PlacementBias` of the machine.
    bias: u64,
}

/// A machine with its rating, as the heap of candidates orders them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RatedMachine {
    rating: MachineRating,
    machine: MachineId,
}

impl Plans {
    /// Places up to `count` tasks like `task`; returns how many found a machine.
    ///
    /// Among machines that meet the deadline the one with fewest fallbacked tasks is taken, then
    /// the one that is done sooner; if none meets it, the one that is done soonest. Each machine is
    /// rated once, and again only when it has received a task.
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
                // Others' tasks were submitted to it again: it can only have become worse.
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

    /// Where tasks of a job with zone constraints may be added; nothing is counted for others.
    fn zone_allowance(&self, task: &QueueEntry, jobs: &dyn JobDirectory) -> ZoneAllowance {
        if task.has_zone_constraints {
            jobs.zone_allowance(task.job, &self.planned_by_zone(task.job))
        } else {
            ZoneAllowance::default()
        }
    }

    /// Rates inserting one task into a machine's queue; `None` if it may not or cannot be placed there.
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
