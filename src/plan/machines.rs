//! The machines of the plan: added, brought up to date and removed, and what of their queues is planned anew
//! for that.

use super::simulation::simulate_queue;
use super::{PlannedMachine, Plans, QueueEntry};
use crate::types::{Duration, MachineId, Resources, Timestamp};

/// Tasks that are submitted again at the most when machines are added, unless the new machines take more.
const MAX_REPLANNED_TASKS: usize = 500;
/// A task is submitted again only if a new machine is ready sooner than its predicted start by more than this.
const MIN_REPLANNING_GAIN: Duration = Duration::from_secs(1);
/// A machine that can start something within this time counts as up.
const READY_WITHIN: Duration = Duration::from_millis(500);
/// A service that waits for longer than this on a machine that is up is planned anew.
const MAX_SERVICE_WAIT: Duration = Duration::from_secs(1);

/// A task that is predicted to start later than it could on a new machine.
struct LateStartingTask {
    entry: QueueEntry,
    machine: MachineId,
}

impl Plans {
    /// Brings what is known of a machine up to date; its queue stays.
    pub fn update_machine(&mut self, updated: PlannedMachine) {
        self.changed_machines.insert(updated.id);
        let Some(machine) = self.machines.get_mut(&updated.id) else { return };
        let (queue, queued_tasks) = (std::mem::take(&mut machine.queue), machine.queued_tasks);
        *machine = PlannedMachine { queue, queued_tasks, ..updated };
    }

    /// Sets the free resources of a machine after a start in the same round.
    pub fn set_free(&mut self, id: MachineId, free: Resources) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.free = free;
        }
    }

    /// Adds new machines. Tasks that would start later elsewhere are submitted again; if there are very
    /// many of them the most important ones, as many as the new machines take in two turns.
    pub fn add_machines(&mut self, now: Timestamp, new_machines: Vec<PlannedMachine>) {
        let Some(ready_at) = new_machines.iter().map(|machine| machine.ready_at).min() else { return };
        let mut cpus_left = 2 * new_machines.iter().map(|machine| machine.free.cpus).sum::<u64>();
        for (n, late_starting) in self.tasks_starting_after(now, ready_at + MIN_REPLANNING_GAIN).into_iter().enumerate()
        {
            let cpus = late_starting.entry.resources.cpus;
            if n >= MAX_REPLANNED_TASKS && cpus > cpus_left {
                break;
            }
            cpus_left = cpus_left.saturating_sub(cpus);
            self.unplan_last(late_starting.machine, late_starting.entry.job);
        }
        for machine in new_machines {
            self.changed_machines.insert(machine.id);
            self.machines.insert(machine.id, machine);
        }
    }

    /// Planned tasks that are predicted to start after this time or never, most important first.
    fn tasks_starting_after(&self, now: Timestamp, limit: Timestamp) -> Vec<LateStartingTask> {
        let mut late_starting: Vec<LateStartingTask> = Vec::new();
        for machine in self.machines.values().filter(|machine| !machine.queue.is_empty()) {
            simulate_queue(machine, now, |entry, start| {
                if start.is_none_or(|at| at > limit) {
                    late_starting.push(LateStartingTask { entry: *entry, machine: machine.id });
                }
            });
        }
        late_starting.sort_unstable_by_key(|late_starting| (late_starting.entry.queue_priority, late_starting.machine));
        late_starting
    }

    /// Takes tasks out of these machines' queues that will never start where they wait, because
    /// services have taken the room, and services that would wait for room on a machine that is up:
    /// room may have come up elsewhere, or may be made there.
    pub fn unplan_stuck(&mut self, now: Timestamp, ids: impl Iterator<Item = MachineId>) {
        for id in ids {
            let Some(machine) = self.machines.get(&id).filter(|machine| !machine.queue.is_empty()) else { continue };
            let is_up = machine.earliest_start(now) <= now + READY_WITHIN;
            let mut stuck = Vec::new();
            simulate_queue(machine, now, |entry, start| {
                if start.is_none_or(|at| is_up && entry.is_service && at > now + MAX_SERVICE_WAIT) {
                    stuck.push(entry.job);
                }
            });
            for job in stuck {
                self.unplan_last(id, job);
            }
        }
    }

    /// Removes a machine; the tasks of its queue are unplanned again.
    pub fn remove_machine(&mut self, id: MachineId) {
        self.clear_queue(id);
        self.machines.remove(&id);
    }
}
