//! Placement of gangs: Algorithm 3 of the paper, applied to all tasks of a gang at once.
//!
//! The paper rates the insertion of a single task on one machine after the other. A gang is instead inserted into
//! copies of the queues until each of its tasks has a machine. If all tasks have to share a zone, each zone is tried
//! separately. Of the complete placements, those that meet the deadline are preferred, then the one with the fewest
//! other tasks that newly miss theirs, then the one with the earliest common end. If there is no complete placement, no
//! task of the gang is planned.

use super::queues::insertion_position;
use super::simulation::{LateTasks, insertion_outcome, late_tasks};
use super::{
    JobDirectory, JobProfile, MAX_QUEUED_TASKS, PlannedMachine, PlannedTasks, Plans, QueueEntry,
    SERVICE_FINISH_GRANULARITY, ZoneAllowance,
};
use crate::types::{Duration, JobId, MachineId, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A task of the gang and its machine in a candidate placement.
#[derive(Debug, Clone, Copy)]
struct TaskSlot {
    machine: MachineId,
    /// Predicted duration of the task on this machine.
    predicted_duration: Duration,
    /// Predicted end of the task.
    finish: Timestamp,
}

/// A candidate placement of all tasks of a gang.
#[derive(Debug, Clone, Default)]
struct GangPlacement {
    slots: Vec<TaskSlot>,
    misses_deadline: bool,
    /// Number of tasks of other jobs that would newly miss their deadline.
    newly_late: u32,
    machine_count: usize,
}

/// Rates a candidate placement by the paper's order of preference. The derived order compares the fields from top to
/// bottom; the smallest rating is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GangPlacementRating {
    misses_deadline: bool,
    newly_late: u32,
    /// Predicted end of the last task, in units of the finish granularity.
    finish: u64,
    machine_count: usize,
}

impl GangPlacement {
    /// Predicted end of the last task.
    fn finish(&self) -> Timestamp {
        self.slots.iter().map(|slot| slot.finish).max().unwrap_or(Timestamp::NEVER)
    }

    fn rating(&self) -> GangPlacementRating {
        GangPlacementRating {
            misses_deadline: self.misses_deadline,
            newly_late: self.newly_late,
            finish: finish_bucket(self.finish()),
            machine_count: self.machine_count,
        }
    }

    fn machines(&self) -> BTreeSet<MachineId> {
        self.slots.iter().map(|slot| slot.machine).collect()
    }
}

/// Effect of placing one more task of the gang on a machine. The derived order compares the fields from top to bottom;
/// the smallest rating is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotRating {
    misses_deadline: bool,
    /// Number of tasks of other jobs that would newly miss their deadline.
    newly_late: u32,
    /// Predicted end of the task, in units of the finish granularity.
    finish: u64,
    /// Number of the gang's tasks without a machine that exceed what fits into this machine's free resources now.
    /// Prefers machines that can hold many of them, so that the gang uses few machines.
    tasks_beyond_free_resources: u64,
    /// The machine's `PlacementBias` for tasks that end by themselves.
    bias: u64,
}

/// Element of the heap of candidate machines for the next task, which is ordered by rating.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RatedSlot {
    rating: SlotRating,
    machine: MachineId,
    /// Predicted end of the task on this machine.
    finish: Timestamp,
}

/// Index of the interval of length `SERVICE_FINISH_GRANULARITY` into which a predicted end falls. Ends in the same
/// interval count as equal.
fn finish_bucket(finish: Timestamp) -> u64 {
    finish.as_millis() / SERVICE_FINISH_GRANULARITY.as_millis()
}

/// Rates placing one more task of a gang on a machine while `unplaced` of its tasks have no machine; `None` if the task
/// may not run there, the queue is full, or the task would never start.
fn rate_slot(
    machine: &PlannedMachine,
    now: Timestamp,
    task: &QueueEntry,
    profile: &JobProfile,
    unplaced: u32,
) -> Option<RatedSlot> {
    let predicted_duration = profile.predicted_duration(machine)?;
    let outcome = insertion_outcome(machine, now, QueueEntry { predicted_duration, count: 1, ..*task })?;
    let misses_deadline = outcome.finish > task.deadline;
    let rating = SlotRating {
        misses_deadline,
        newly_late: if misses_deadline { 0 } else { outcome.newly_late },
        finish: finish_bucket(outcome.finish),
        tasks_beyond_free_resources: u64::from(unplaced).saturating_sub(task.resources.count_fitting(&machine.free)),
        bias: machine.bias.for_other_tasks,
    };
    Some(RatedSlot { rating, machine: machine.id, finish: outcome.finish })
}

impl Plans {
    /// Inserts all `count` tasks of a gang into machine queues, or none; returns whether they were inserted.
    pub fn place_gang(&mut self, now: Timestamp, task: QueueEntry, count: u32, jobs: &dyn JobDirectory) -> bool {
        let Some(profile) = jobs.profile(task.job) else { return false };
        let zones = jobs.zone_allowance(task.job, &BTreeMap::new());
        let placements = candidate_zones(&zones)
            .into_iter()
            .filter_map(|zones| self.try_gang_placement(now, &task, count, &profile, zones));
        let Some(best) = placements.min_by_key(GangPlacement::rating) else { return false };
        let late_before: Vec<(MachineId, Vec<LateTasks>)> =
            best.machines().into_iter().map(|id| (id, late_tasks(&self.machines[&id], now))).collect();
        for slot in &best.slots {
            let predicted_duration = slot.predicted_duration;
            self.enqueue(slot.machine, QueueEntry { predicted_duration, count: 1, ..task });
        }
        if self.features.resubmission {
            for (id, late) in &late_before {
                self.resubmit(now, *id, task.job, late, jobs);
            }
        }
        true
    }

    /// Tries to place all tasks of a gang in copies of the queues; `None` if there is no machine for some of them.
    fn try_gang_placement(
        &self,
        now: Timestamp,
        task: &QueueEntry,
        count: u32,
        profile: &JobProfile,
        mut zones: ZoneAllowance,
    ) -> Option<GangPlacement> {
        let mut machine_copies: BTreeMap<MachineId, PlannedMachine> = BTreeMap::new();
        let mut candidates: BinaryHeap<Reverse<RatedSlot>> = self
            .machines
            .values()
            .filter(|machine| zones.allows_task(machine.zone))
            .filter_map(|machine| rate_slot(machine, now, task, profile, count).map(Reverse))
            .collect();
        let mut placement = GangPlacement::default();
        while (placement.slots.len() as u32) < count {
            let Reverse(RatedSlot { rating, machine: id, finish }) = candidates.pop()?;
            let Some(machine) = machine_copies.get(&id).or_else(|| self.machines.get(&id)) else { continue };
            if !zones.allows_task(machine.zone) {
                continue;
            }
            let Some(predicted_duration) = profile.predicted_duration(machine) else { continue };
            zones.add_task(machine.zone);
            placement.misses_deadline |= rating.misses_deadline;
            placement.newly_late += rating.newly_late;
            placement.slots.push(TaskSlot { machine: id, predicted_duration, finish });
            let machine_copy = machine_copies.entry(id).or_insert_with(|| self.machines[&id].clone());
            let position = insertion_position(&machine_copy.queue, task.queue_priority);
            machine_copy.queue.insert(position, QueueEntry { predicted_duration, count: 1, ..*task });
            machine_copy.queued_tasks = (machine_copy.queued_tasks + 1).min(MAX_QUEUED_TASKS);
            let unplaced = count - placement.slots.len() as u32;
            candidates.extend(rate_slot(machine_copy, now, task, profile, unplaced).map(Reverse));
        }
        placement.machine_count = machine_copies.len();
        Some(placement)
    }

    /// Earliest time at which all queued tasks of a job are predicted to fit at once; `None` if one of them never
    /// starts.
    pub fn common_start(&self, job: JobId, now: Timestamp) -> Option<Timestamp> {
        let mut latest = now;
        for PlannedTasks { machine, .. } in self.planned_tasks(job) {
            let starts = self.predicted_starts(machine, now).into_iter();
            for predicted in starts.filter(|predicted| predicted.task.job == job) {
                latest = latest.max(predicted.start?);
            }
        }
        Some(latest)
    }
}

/// The zone allowances to try for a gang: one per usable zone if all tasks have to share a zone, otherwise one for all
/// zones.
fn candidate_zones(zones: &ZoneAllowance) -> Vec<ZoneAllowance> {
    if !zones.colocate {
        return vec![zones.clone()];
    }
    let restricted_to = |zone: usize| ZoneAllowance {
        remaining_tasks: (zones.remaining_tasks.iter().enumerate())
            .map(|(other, remaining)| if other == zone { *remaining } else { 0 })
            .collect(),
        colocate: true,
    };
    (0..zones.remaining_tasks.len()).filter(|zone| zones.allows_task(*zone)).map(restricted_to).collect()
}
