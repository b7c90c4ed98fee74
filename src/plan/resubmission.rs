//! Resubmission as in the paper: tasks that newly miss their deadline because of an insertion are moved to another
//! machine that meets it.

use super::simulation::{LateTasks, insertion_outcome, late_tasks};
use super::{JobDirectory, JobProfile, Plans, QueueEntry};
use crate::types::{Duration, JobId, MachineId, Timestamp};

/// A machine on which a late task would meet its deadline.
struct ResubmissionTarget {
    machine: MachineId,
    /// Predicted duration of the task on this machine.
    predicted_duration: Duration,
}

impl Plans {
    /// Moves tasks in this machine's queue that miss their deadline because of the insertion of job `inserted`, that
    /// is, in addition to those in `late_before`. Each task is moved at most once; it stays if no other machine meets
    /// its deadline. Tasks of services, of gangs and of jobs with zone constraints are not moved. Returns the machines
    /// that received tasks.
    pub(super) fn resubmit(
        &mut self,
        now: Timestamp,
        id: MachineId,
        inserted: JobId,
        late_before: &[LateTasks],
        jobs: &dyn JobDirectory,
    ) -> Vec<MachineId> {
        let mut receivers = Vec::new();
        for LateTasks { job, count } in late_tasks(&self.machines[&id], now) {
            let count_before = late_before.iter().find(|late| late.job == job).map_or(0, |late| late.count);
            let Some(profile) = jobs.profile(job) else { continue };
            for _ in count_before..count {
                let Some(position) = self.machines[&id].last_position_of(job) else { break };
                let entry = self.machines[&id].queue[position];
                if entry.job == inserted || entry.has_zone_constraints || entry.is_service || entry.is_gang {
                    break;
                }
                let Some(target) = self.resubmission_target(now, id, &entry, &profile) else { break };
                self.dequeue_one(id, position);
                let predicted_duration = target.predicted_duration;
                self.enqueue(target.machine, QueueEntry { predicted_duration, count: 1, ..entry });
                receivers.push(target.machine);
            }
        }
        receivers
    }

    /// The machine other than `from` on which the task meets its deadline, with the fewest other tasks that newly miss
    /// theirs, then with the earliest predicted end; `None` if there is none.
    fn resubmission_target(
        &self,
        now: Timestamp,
        from: MachineId,
        entry: &QueueEntry,
        profile: &JobProfile,
    ) -> Option<ResubmissionTarget> {
        let mut best: Option<((u32, Timestamp), ResubmissionTarget)> = None;
        for machine in self.machines.values().filter(|machine| machine.id != from) {
            let Some(predicted_duration) = profile.predicted_duration(machine) else { continue };
            let task = QueueEntry { predicted_duration, count: 1, ..*entry };
            let Some(outcome) = insertion_outcome(machine, now, task) else { continue };
            if outcome.finish > entry.deadline {
                continue;
            }
            let rating = (outcome.newly_late, outcome.finish);
            if best.as_ref().is_none_or(|(best_rating, _)| rating < *best_rating) {
                best = Some((rating, ResubmissionTarget { machine: machine.id, predicted_duration }));
            }
        }
        best.map(|(_, target)| target)
    }
}
