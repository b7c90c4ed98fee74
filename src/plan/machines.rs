//! Adds, updates and removes machines of the plan, and removes queued tasks that should be planned again as a
//! consequence.

use super::simulation::simulate_queue;
use super::{PlannedMachine, Plans, QueueEntry};
use crate::types::{Duration, MachineId, Resources, Timestamp};

/// Maximum number of tasks that are planned again when machines are added, unless the new machines have capacity for
/// more.
const MAX_REPLANNED_TASKS: usize = 500;
/// A task is planned again only if the first new machine is ready earlier than the task's predicted start by more than
/// this.
const MIN_REPLANNING_GAIN: Duration = Duration::from_secs(1);
/// A machine that can start tasks within this time counts as up.
const READY_WITHIN: Duration = Duration::from_millis(500);
/// A service that is predicted to wait for longer than this on a machine that is up is planned again.
const MAX_SERVICE_WAIT: Duration = Duration::from_secs(1);

/// A queued task that is predicted to start later than a new machine is ready.
struct LateStartingTask {
    entry: QueueEntry,
    machine: MachineId,
}

impl Plans {
    /// Replaces a known machine's state; its queue is kept.
    pub fn update_machine(&mut self, updated: PlannedMachine) {
        self.changed_machines.insert(updated.id);
        let Some(machine) = self.machines.get_mut(&updated.id) else { return };
        let (queue, queued_tasks) = (std::mem::take(&mut machine.queue), machine.queued_tasks);
        *machine = PlannedMachine { queue, queued_tasks, ..updated };
    }

    /// Sets a machine's free resources after a start in the same round.
    pub fn set_free(&mut self, id: MachineId, free: Resources) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.free = free;
        }
    }

    /// Adds new machines. Queued tasks that are predicted to start considerably later than a new machine is ready are
    /// removed from their queues, to be planned again: up to `MAX_REPLANNED_TASKS`, highest priority first, and more as
    /// long as they need at most twice the CPUs of the new machines.
    pub fn add_machines(&mut self, now: Timestamp, new_machines: Vec<PlannedMachine>) {
        let Some(ready_at) = new_machines.iter().map(|machine| machine.ready_at).min() else { return };
        let mut cpus_left = 2 * new_machines.iter().map(|machine| machine.free.cpus).sum::<u64>();
        for (n, task) in self.tasks_starting_after(now, ready_at + MIN_REPLANNING_GAIN).into_iter().enumerate() {
            let cpus = task.entry.resources.cpus;
            if n >= MAX_REPLANNED_TASKS && cpus > cpus_left {
                break;
            }
            cpus_left = cpus_left.saturating_sub(cpus);
            self.unplan_last(task.machine, task.entry.job);
        }
        for machine in new_machines {
            self.changed_machines.insert(machine.id);
            self.machines.insert(machine.id, machine);
        }
    }

    /// Queued tasks that are predicted to start after `limit` or never, highest priority first.
    fn tasks_starting_after(&self, now: Timestamp, limit: Timestamp) -> Vec<LateStartingTask> {
        let mut late_starting: Vec<LateStartingTask> = Vec::new();
        for machine in self.machines.values().filter(|machine| !machine.queue.is_empty()) {
            simulate_queue(machine, now, |entry, start| {
                if start.is_none_or(|at| at > limit) {
                    late_starting.push(LateStartingTask { entry: *entry, machine: machine.id });
                }
            });
        }
        late_starting.sort_unstable_by_key(|task| (task.entry.queue_priority, task.machine));
        late_starting
    }

    /// Removes tasks from these machines' queues that are predicted never to start there, because services hold the
    /// resources. Also removes services that would have to wait on a machine that is up, since resources may be free,
    /// or can be freed by preemption, on another machine. Removed tasks are planned again.
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

    /// Removes a machine. The tasks in its queue become unplanned.
    pub fn remove_machine(&mut self, id: MachineId) {
        self.clear_queue(id);
        self.machines.remove(&id);
    }
}
