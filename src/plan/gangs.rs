//! Placing a gang: Algorithm 3 over all its machines at once.
//!
//! Where the paper asks one machine after the other what inserting one task would do, a gang is inserted into
//! trial copies of queues until all its tasks have a machine, zone by zone where the job wants one zone. The trial
//! that meets the deadline and pushes fewest tasks past theirs is taken, then the one whose common end is sooner;
//! without a complete trial nothing is planned.

use super::queues::insertion_position;
use super::simulation::{LateTasks, insertion_outcome, late_tasks};
use super::{
    JobDirectory, JobProfile, MAX_QUEUED_TASKS, PlannedMachine, PlannedTasks, Plans, QueueEntry,
    SERVICE_FINISH_GRANULARITY, ZoneAllowance,
};
use crate::types::{Duration, JobId, MachineId, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// One task of a gang on a machine, in a trial.
#[derive(Debug, Clone, Copy)]
struct TaskSlot {
    machine: MachineId,
    /// Predicted time of the task on this machine.
    predicted_duration: Duration,
    /// Predicted end.
    finish: Timestamp,
}

/// A way to place all tasks of a gang.
#[derive(Debug, Clone, Default)]
struct GangTrial {
    slots: Vec<TaskSlot>,
    misses_deadline: bool,
    /// Tasks of others that are pushed past their deadline.
    fallbacked: u32,
    machine_count: usize,
}

/// The paper's order of preference among trials: the fields stand in the order in which they decide, the smallest
/// rating is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TrialRating {
    misses_deadline: bool,
    fallbacked: u32,
    /// Common end, in units of the granularity.
    finish: u64,
    machine_count: usize,
}

impl GangTrial {
    /// When all tasks are predicted to be over.
    fn finish(&self) -> Timestamp {
        self.slots.iter().map(|slot| slot.finish).max().unwrap_or(Timestamp::NEVER)
    }

    fn rating(&self) -> TrialRating {
        TrialRating {
            misses_deadline: self.misses_deadline,
            fallbacked: self.fallbacked,
            finish: in_granules(self.finish()),
            machine_count: self.machine_count,
        }
    }

    fn machines(&self) -> BTreeSet<MachineId> {
        self.slots.iter().map(|slot| slot.machine).collect()
    }
}

/// What one more task of the gang would do to a machine. The fields stand in the order in which they decide; the
/// smallest rating is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotRating {
    misses_deadline: bool,
    /// Tasks of others that it pushes past their deadline.
    fallbacked: u32,
    /// Predicted end, in units of the granularity.
    finish: u64,
    /// How many of the gang's tasks that are not placed yet find no free resources there now.
    tasks_without_room: u64,
    /// `PlacementBias` of the machine.
    bias: u64,
}

/// A machine for the next task, as the heap of candidates orders them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RatedSlot {
    rating: SlotRating,
    machine: MachineId,
    /// Predicted end of the task there.
    finish: Timestamp,
}

/// A predicted end in units of the granularity below which ends of gangs count as equal.
fn in_granules(finish: Timestamp) -> u64 {
    finish.as_millis() / SERVICE_FINISH_GRANULARITY.as_millis()
}

/// Rates one more task of a gang on a machine, with so many of its tasks not placed yet; `None` if it may not or
/// cannot be placed there.
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
        fallbacked: if misses_deadline { 0 } else { outcome.fallbacked },
        finish: in_granules(outcome.finish),
        tasks_without_room: u64::from(unplaced).saturating_sub(task.resources.count_fitting(&machine.free)),
        bias: machine.bias.for_other_tasks,
    };
    Some(RatedSlot { rating, machine: machine.id, finish: outcome.finish })
}

impl Plans {
    /// Plans all `count` tasks of a gang, or none; whether it did.
    pub fn place_gang(&mut self, now: Timestamp, task: QueueEntry, count: u32, jobs: &dyn JobDirectory) -> bool {
        let Some(profile) = jobs.profile(task.job) else { return false };
        let zones = jobs.zone_allowance(task.job, &BTreeMap::new());
        let trials =
            zone_choices(&zones).into_iter().filter_map(|zones| self.gang_trial(now, &task, count, &profile, zones));
        let Some(best) = trials.min_by_key(GangTrial::rating) else { return false };
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

    /// Places all tasks of a gang in copies of the queues; `None` if some find no machine.
    fn gang_trial(
        &self,
        now: Timestamp,
        task: &QueueEntry,
        count: u32,
        profile: &JobProfile,
        mut zones: ZoneAllowance,
    ) -> Option<GangTrial> {
        let mut copies: BTreeMap<MachineId, PlannedMachine> = BTreeMap::new();
        let mut candidates: BinaryHeap<Reverse<RatedSlot>> = self
            .machines
            .values()
            .filter(|machine| zones.has_room(machine.zone))
            .filter_map(|machine| rate_slot(machine, now, task, profile, count).map(Reverse))
            .collect();
        let mut trial = GangTrial::default();
        while (trial.slots.len() as u32) < count {
            let Reverse(RatedSlot { rating, machine: id, finish }) = candidates.pop()?;
            let Some(machine) = copies.get(&id).or_else(|| self.machines.get(&id)) else { continue };
            if !zones.has_room(machine.zone) {
                continue;
            }
            let Some(predicted_duration) = profile.predicted_duration(machine) else { continue };
            zones.add_task(machine.zone);
            trial.misses_deadline |= rating.misses_deadline;
            trial.fallbacked += rating.fallbacked;
            trial.slots.push(TaskSlot { machine: id, predicted_duration, finish });
            let copy = copies.entry(id).or_insert_with(|| self.machines[&id].clone());
            let position = insertion_position(&copy.queue, task.queue_priority);
            copy.queue.insert(position, QueueEntry { predicted_duration, count: 1, ..*task });
            copy.queued_tasks = (copy.queued_tasks + 1).min(MAX_QUEUED_TASKS);
            let unplaced = count - trial.slots.len() as u32;
            candidates.extend(rate_slot(copy, now, task, profile, unplaced).map(Reverse));
        }
        trial.machine_count = copies.len();
        Some(trial)
    }

    /// When all planned tasks of a job are predicted to have room at once; `None` if some never have.
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

/// The zones in which a gang may be tried: each alone if all tasks must be in the same one.
fn zone_choices(zones: &ZoneAllowance) -> Vec<ZoneAllowance> {
    if !zones.colocate {
        return vec![zones.clone()];
    }
    let only = |zone: usize| ZoneAllowance {
        remaining_tasks: (zones.remaining_tasks.iter().enumerate())
            .map(|(other, remaining)| if other == zone { *remaining } else { 0 })
            .collect(),
        colocate: true,
    };
    (0..zones.remaining_tasks.len()).filter(|zone| zones.has_room(*zone)).map(only).collect()
}
