//! Work stealing: an idle machine takes over a task from another machine's queue.

use super::{PlannedMachine, Plans, QueueEntry};
use crate::types::{Duration, JobId, MachineId};

/// A queued task that the idle machine can start.
struct StealableTask {
    machine: MachineId,
    /// Index of its entry in that machine's queue.
    position: usize,
    /// Predicted duration on the machine that steals the task.
    predicted_duration: Duration,
}

impl Plans {
    /// Moves the task of the highest priority that fits into this machine's free resources from another machine's queue
    /// to this machine's queue, and returns it. `predict` returns a task's predicted duration on this machine, or
    /// `None` if the task may not start there.
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

    /// The job's first task in one other machine's queue, if `thief` can start it now. Only the queue of the machine
    /// with the highest id among those with tasks of the job is examined.
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
