//! Machine queues: inserts and removes tasks, and keeps the indexes by job and by priority consistent.

use super::{PlannedMachine, Plans, QueueEntry, QueuePriority};
use crate::types::{JobId, MachineId};
use std::collections::BTreeMap;

/// A job with queued tasks, and the machines in whose queues they are.
#[derive(Debug)]
pub struct PlannedJob {
    job: JobId,
    queue_priority: QueuePriority,
    task_count: u32,
    tasks_by_machine: BTreeMap<MachineId, u32>,
}

/// Number of a job's tasks in one machine's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedTasks {
    /// Machine in whose queue the tasks are.
    pub machine: MachineId,
    /// Number of tasks; at least 1.
    pub count: u32,
}

impl PlannedJob {
    /// Identifies the job.
    pub fn id(&self) -> JobId {
        self.job
    }

    /// Position of the job's tasks in queues.
    pub fn queue_priority(&self) -> QueuePriority {
        self.queue_priority
    }

    /// Machines in whose queues the job has tasks, in order of id.
    pub fn machines(&self) -> impl DoubleEndedIterator<Item = MachineId> {
        self.tasks_by_machine.keys().copied()
    }
}

/// Index at which an entry of this priority is inserted: behind all entries of the same or a higher priority.
pub(super) fn insertion_position(queue: &[QueueEntry], queue_priority: QueuePriority) -> usize {
    queue.partition_point(|entry| entry.queue_priority <= queue_priority)
}

impl PlannedMachine {
    /// Index of the job's last entry in the queue.
    pub(super) fn last_position_of(&self, job: JobId) -> Option<usize> {
        self.queue.iter().rposition(|entry| entry.job == job)
    }
}

impl Plans {
    /// Number of a job's tasks in all queues.
    pub fn planned_count(&self, job: JobId) -> u32 {
        self.planned_jobs.get(&job).map_or(0, |planned| planned.task_count)
    }

    /// Jobs with queued tasks, highest priority first.
    pub fn planned_jobs(&self) -> impl Iterator<Item = &PlannedJob> {
        self.by_priority.iter().filter_map(|(_, job)| self.planned_jobs.get(job))
    }

    /// Number of a job's queued tasks by machine, in order of machine id.
    pub fn planned_tasks(&self, job: JobId) -> Vec<PlannedTasks> {
        let Some(planned) = self.planned_jobs.get(&job) else { return Vec::new() };
        let by_machine = planned.tasks_by_machine.iter();
        by_machine.map(|(machine, count)| PlannedTasks { machine: *machine, count: *count }).collect()
    }

    /// Number of a job's queued tasks by zone index.
    pub(super) fn planned_by_zone(&self, job: JobId) -> BTreeMap<usize, u32> {
        let mut tasks_by_zone = BTreeMap::new();
        for (id, count) in self.planned_jobs.get(&job).into_iter().flat_map(|planned| &planned.tasks_by_machine) {
            if let Some(machine) = self.machines.get(id) {
                *tasks_by_zone.entry(machine.zone).or_insert(0) += count;
            }
        }
        tasks_by_zone
    }

    /// Inserts an entry into a machine's queue. It is merged with the entry before it if that holds tasks of the same
    /// job with the same predicted duration.
    pub(super) fn enqueue(&mut self, id: MachineId, entry: QueueEntry) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let position = insertion_position(&machine.queue, entry.queue_priority);
        match position.checked_sub(1).map(|before| &mut machine.queue[before]) {
            Some(previous) if previous.job == entry.job && previous.predicted_duration == entry.predicted_duration => {
                previous.count += entry.count;
            }
            _ => machine.queue.insert(position, entry),
        }
        machine.queued_tasks += entry.count;
        self.changed_machines.insert(id);
        self.adjust_planned_count(id, entry.job, entry.queue_priority, i64::from(entry.count));
    }

    /// Removes one task of the entry at this position from a machine's queue.
    pub fn dequeue_one(&mut self, id: MachineId, position: usize) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(entry) = machine.queue.get_mut(position) else { return };
        let (job, queue_priority) = (entry.job, entry.queue_priority);
        entry.count -= 1;
        if entry.count == 0 {
            machine.queue.remove(position);
        }
        machine.queued_tasks -= 1;
        self.changed_machines.insert(id);
        self.adjust_planned_count(id, job, queue_priority, -1);
    }

    /// Removes this job's last task from a machine's queue.
    pub(crate) fn unplan_last(&mut self, id: MachineId, job: JobId) {
        if let Some(position) = self.machines.get(&id).and_then(|machine| machine.last_position_of(job)) {
            self.dequeue_one(id, position);
        }
    }

    /// Removes all of a job's tasks from one machine's queue.
    pub(crate) fn unplan_from(&mut self, id: MachineId, job: JobId) {
        while let Some(position) = self.machines.get(&id).and_then(|machine| machine.last_position_of(job)) {
            self.dequeue_one(id, position);
        }
    }

    /// Removes all of a job's tasks from all queues.
    pub fn unplan_job(&mut self, job: JobId) {
        let Some(planned) = self.planned_jobs.remove(&job) else { return };
        self.by_priority.remove(&(planned.queue_priority, job));
        for (id, count) in planned.tasks_by_machine {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.queue.retain(|entry| entry.job != job);
                machine.queued_tasks -= count;
                self.changed_machines.insert(id);
            }
        }
    }

    /// Removes all tasks from a machine's queue. They become unplanned.
    pub fn clear_queue(&mut self, id: MachineId) {
        let Some(machine) = self.machines.get_mut(&id) else { return };
        machine.queued_tasks = 0;
        for entry in std::mem::take(&mut machine.queue) {
            self.adjust_planned_count(id, entry.job, entry.queue_priority, -i64::from(entry.count));
        }
    }

    /// Updates the indexes after `change` tasks of a job have been added to a machine's queue; a negative value means
    /// removal.
    fn adjust_planned_count(&mut self, id: MachineId, job: JobId, queue_priority: QueuePriority, change: i64) {
        let planned = self.planned_jobs.entry(job).or_insert_with(|| PlannedJob {
            job,
            queue_priority,
            task_count: 0,
            tasks_by_machine: BTreeMap::new(),
        });
        let adjusted = |count: u32| (i64::from(count) + change).max(0) as u32;
        planned.task_count = adjusted(planned.task_count);
        let on_machine = planned.tasks_by_machine.entry(id).or_insert(0);
        *on_machine = adjusted(*on_machine);
        if *on_machine == 0 {
            planned.tasks_by_machine.remove(&id);
        }
        let key = (planned.queue_priority, job);
        if planned.task_count == 0 {
            self.planned_jobs.remove(&job);
            self.by_priority.remove(&key);
        } else {
            self.by_priority.insert(key);
        }
    }
}
