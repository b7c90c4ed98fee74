//! Placing a gang: Algorithm 3 over all its machines at once.
//!
//! Where the paper asks one machine after the other what inserting one task would do, a gang is inserted into trial copies of queues
//! until all its tasks have a machine, zone by zone where the job wants one zone. The trial that meets the deadline and pushes fewest
//! tasks past theirs is taken, then the one whose common end is sooner; without a complete trial nothing is planned.

use super::{
    Duration, FINE, JobDirectory, JobProfile, MAX_QUEUED_TASKS, MachineId, PlannedMachine, Plans, QueueEntry,
    Timestamp, ZoneAllowance, late_by_entry, outcome, position,
};
use crate::types::JobId;
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
    /// Tasks that are pushed past their deadline.
    newly_late: u32,
    machine_count: usize,
}

impl GangTrial {
    /// When all tasks are predicted to be over.
    fn finish(&self) -> Timestamp {
        self.slots.iter().map(|s| s.finish).max().unwrap_or(Timestamp::NEVER)
    }

    /// The paper's order of preference; smaller is better.
    fn rating(&self) -> (bool, u32, u64, usize) {
        (self.misses_deadline, self.newly_late, self.finish().as_millis() / FINE, self.machine_count)
    }
}

/// What one more task of the gang would do to a machine, in the order in which machines are preferred: whether it misses its
/// deadline, tasks pushed past theirs, its end, how many of the gang's tasks find no room there now, and the machine's bias.
type SlotRating = (bool, u32, u64, u64, u64);

impl Plans {
    /// Plans all `count` tasks of a gang, or none; whether it did.
    pub fn place_gang(&mut self, now: Timestamp, task: QueueEntry, count: u32, world: &dyn JobDirectory) -> bool {
        let Some(profile) = world.profile(task.job) else { return false };
        let zones = world.zone_allowance(task.job, &BTreeMap::new());
        let trials =
            zone_choices(&zones).into_iter().filter_map(|zones| self.trial(now, &task, count, &profile, zones));
        let Some(best) = trials.min_by_key(GangTrial::rating) else { return false };
        let machines: BTreeSet<MachineId> = best.slots.iter().map(|s| s.machine).collect();
        let late_before: Vec<(MachineId, Vec<(JobId, u32)>)> =
            machines.iter().map(|id| (*id, late_by_entry(&self.machines[id], now))).collect();
        for slot in &best.slots {
            self.enqueue(slot.machine, QueueEntry { predicted_duration: slot.predicted_duration, count: 1, ..task });
        }
        if self.features.resubmission {
            for (id, late) in &late_before {
                self.resubmit(now, *id, task.job, late, world);
            }
        }
        true
    }

    /// Places all tasks of a gang in copies of the queues.
    fn trial(
        &self,
        now: Timestamp,
        task: &QueueEntry,
        count: u32,
        profile: &JobProfile,
        mut zones: ZoneAllowance,
    ) -> Option<GangTrial> {
        let mut copies: BTreeMap<MachineId, PlannedMachine> = BTreeMap::new();
        let rate = |server: &PlannedMachine, left: u32| -> Option<(SlotRating, Timestamp)> {
            let run = profile.predicted_duration(server)?;
            let outcome = outcome(server, now, QueueEntry { predicted_duration: run, count: 1, ..*task })?;
            let misses = outcome.finish > task.deadline;
            let no_room = u64::from(left).saturating_sub(task.resources.copies_in(&server.free));
            let pushed = if misses { 0 } else { outcome.pushed };
            Some(((misses, pushed, outcome.finish.as_millis() / FINE, no_room, server.bias.1), outcome.finish))
        };
        let mut best: BinaryHeap<Reverse<(SlotRating, MachineId, Timestamp)>> = self
            .machines
            .values()
            .filter(|server| zones.has_room(server.zone))
            .filter_map(|server| rate(server, count).map(|(rating, finish)| Reverse((rating, server.id, finish))))
            .collect();
        let mut trial = GangTrial::default();
        while (trial.slots.len() as u32) < count {
            let Reverse(((misses, pushed, ..), id, finish)) = best.pop()?;
            let Some(server) = copies.get(&id).or_else(|| self.machines.get(&id)) else { continue };
            if !zones.has_room(server.zone) {
                continue;
            }
            let Some(run) = profile.predicted_duration(server) else { continue };
            zones.add_task(server.zone);
            trial.misses_deadline |= misses;
            trial.newly_late += pushed;
            trial.slots.push(TaskSlot { machine: id, predicted_duration: run, finish });
            let copy = copies.entry(id).or_insert_with(|| self.machines[&id].clone());
            let at = position(&copy.queue, task.queue_priority);
            copy.queue.insert(at, QueueEntry { predicted_duration: run, count: 1, ..*task });
            copy.queued_tasks = (copy.queued_tasks + 1).min(MAX_QUEUED_TASKS);
            let left = count - trial.slots.len() as u32;
            best.extend(rate(copy, left).map(|(rating, finish)| Reverse((rating, id, finish))));
        }
        trial.machine_count = copies.len();
        Some(trial)
    }

    /// Where a job's waiting tasks are planned, and how many on each machine.
    pub fn planned_machines(&self, job: JobId) -> Vec<(MachineId, u32)> {
        self.planned_jobs
            .get(&job)
            .map(|w| w.tasks_by_machine.iter().map(|(id, n)| (*id, *n)).collect())
            .unwrap_or_default()
    }

    /// When all planned tasks of a job are predicted to have room at once; `None` if some never have.
    pub fn common_start(&self, job: JobId, now: Timestamp) -> Option<Timestamp> {
        let mut latest = now;
        for (id, _) in self.planned_machines(job) {
            for (_, start) in self.predicted_starts(id, now).into_iter().filter(|(entry, _)| entry.job == job) {
                latest = latest.max(start?);
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
        remaining_tasks: zones
            .remaining_tasks
            .iter()
            .enumerate()
            .map(|(z, left)| if z == zone { *left } else { 0 })
            .collect(),
        colocate: true,
    };
    (0..zones.remaining_tasks.len()).filter(|zone| zones.remaining_tasks[*zone] > 0).map(only).collect()
}
