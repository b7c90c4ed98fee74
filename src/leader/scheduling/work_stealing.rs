//! Work stealing: machines with an empty queue take over tasks from the queues of other machines.

use super::*;

/// Maximum number of tasks that one machine steals in a round.
const MAX_STOLEN_TASKS: usize = 64;

impl Leader {
    /// Lets each of these machines whose queue is empty steal tasks that fit into its free resources, in order of
    /// priority, and starts them.
    pub(super) fn steal_work(&mut self, now: Timestamp, machines: &[MachineId], usage: &mut TeamUsage) {
        for id in machines.iter().copied() {
            for _ in 0..MAX_STOLEN_TASKS {
                if self.planning.plans.planned_jobs().next().is_none() {
                    return;
                }
                let Some(entry) = self.steal_task(now, id, usage) else { break };
                self.planning.plans.clear_queue(id);
                self.start_task(now, id, entry, usage);
            }
        }
    }

    /// Moves one task from another machine's queue to this machine, which has an empty queue. Returns `None` if this
    /// machine has queued tasks or does not accept any, or if no queued task may start on it.
    fn steal_task(&mut self, now: Timestamp, id: MachineId, usage: &TeamUsage) -> Option<QueueEntry> {
        let machine = self.machines.get(&id).filter(|machine| machine.accepts_tasks())?;
        let free = machine.free_resources();
        if free.cpus == 0 || self.planning.plans.machine(id).is_none_or(|machine| !machine.queue.is_empty()) {
            return None;
        }
        let mut plans = std::mem::take(&mut self.planning.plans);
        plans.set_free(id, free);
        let view = self.planning_view();
        let stolen = plans.steal_for(id, &|entry, planned_machine| {
            let job = self.jobs.get(entry.job)?;
            if !self.may_start(job, machine, now, usage) {
                return None;
            }
            view.job_profile(job).predicted_duration(planned_machine)
        });
        self.planning.plans = plans;
        stolen
    }
}
