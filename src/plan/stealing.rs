//! Work stealing: a machine without planned tasks takes one from another machine's queue.

use super::{PlannedMachine, Plans, QueueEntry};
use crate::types::{Duration, JobId, MachineId};

/// A queued task that another machine can take.
struct StealableTask {
    machine: MachineId,
    /// Position of its entry in that machine's queue.
    position: usize,
    /// Predicted time on the machine that takes it.
    predicted_duration: Duration,
}

impl Plans {
    /// Moves the highest-priority task of another machine's queue that fits into this one's free resources now to
    /// this one. `predict` tells how long a task takes here, `None` if it may not start here.
    pub fn steal_for(
        &mut self,
        id: MachineId,
        predict: &dyn Fn(&QueueEntry, &PlannedMachine) -> Option<Duration>,
    ) -> Option<QueueEntry> {
        let thief = self.machines.get(&id)?;
        let task = self.by_priority.iter().find_map(|(_, job)| self.stealable_task(thief, *job, predict))?;
        let queue = &self.machines[&task.machine].queue;
        let entry = QueueEntry { predicted_duration: task.predicted_duration, count: 1, ..queue[task.position] };
        self.dequeue_one(task.machine, task.position);
        self.enqueue(id, entry);
        Some(entry)
    }

    /// The first task of a job in the last other machine's queue, if this machine can start it now.
    fn stealable_task(
        &self,
        thief: &PlannedMachine,
        job: JobId,
        predict: &dyn Fn(&QueueEntry, &PlannedMachine) -> Option<Duration>,
    ) -> Option<StealableTask> {
        let machine = self.planned_jobs.get(&job)?.machines().rev().find(|other| *other != thief.id)?;
        let queue = &self.machines.get(&machine)?.queue;
        let position = queue.iter().position(|entry| entry.job == job)?;
        let entry = &queue[position];
        if !entry.resources.fits(&thief.free) {
            return None;
        }
        let predicted_duration = predict(entry, thief)?;
        Some(StealableTask { machine, position, predicted_duration })
    }
}
