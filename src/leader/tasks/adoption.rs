//! Attempts that an earlier leader started: they are adopted by their jobs, or stopped.

use crate::gang::Adoption;
use crate::jobs::{Job, Placement};
use crate::leader::Leader;
use crate::types::{AttemptId, MachineId, Timestamp};
use crate::workers::{AttemptPhase, TaskAttempt};
use log::warn;

impl Leader {
    /// Adopts an attempt that this leader did not start, if its job is open and the task has no other placement.
    /// Otherwise it is stopped: every discovered attempt is marked to be stopped until it is adopted.
    pub(in crate::leader) fn adopt_attempt(
        &mut self,
        now: Timestamp,
        machine_id: MachineId,
        id: AttemptId,
        has_ended: bool,
    ) {
        let Some(machine) = self.machines.get_mut(&machine_id) else { return };
        let Some(attempt) = machine.attempts.get_mut(&id) else { return };
        let Some(job) = self.jobs.get_mut(id.task.job) else { return };
        let predicted_duration = (!job.spec.is_service).then_some(job.spec.estimated_duration);
        attempt.set_job_details(&job.spec, predicted_duration);
        let adoption = job.gang.as_mut().map(|gang| gang.adopt(now, id.attempt, machine_id, has_ended));
        let is_adoptable = match adoption {
            // The task is not part of a gang. An attempt that has ended is adopted as well, so that its exit is applied
            // to its job.
            None => true,
            Some(Adoption::Live | Adoption::Supersedes) => !has_ended,
            Some(Adoption::Stale) => false,
        };
        let replaced = if adoption == Some(Adoption::Supersedes) { take_placements(job) } else { Vec::new() };
        if is_adoptable && !job.cancelling && job.pending.remove(id.task.index) {
            let running = attempt.phase == AttemptPhase::Running;
            job.placements.insert(id.task.index, Placement { machine: machine_id, attempt: id, running });
            attempt.assigned = true;
            attempt.stop_grace_s = None;
            if attempt.phase == AttemptPhase::Checkpointing {
                continue_gang_stop(job, attempt);
            }
            if running {
                machine.images.insert(job.spec.image.clone());
                if let Some(gang) = &mut job.gang {
                    gang.task_running(id.attempt);
                }
            }
        } else if attempt.occupies_resources() {
            warn!("unexpected attempt stopped task={id} machine={machine_id}");
        }
        for placement in replaced {
            self.abandon_attempt(placement);
        }
    }
}

/// Continues the stop of a gang that an earlier leader has begun, so that the gang's other tasks receive the stop in
/// time as well.
fn continue_gang_stop(job: &mut Job, attempt: &mut TaskAttempt) {
    let Some(gang) = &mut job.gang else { return };
    let grace = job.spec.checkpoint_duration;
    gang.stop(grace);
    attempt.stop_grace_s = Some(grace.as_secs_f64());
    attempt.stop_sent = true;
}

/// Removes and returns all placements of a job, whose tasks are then pending again.
fn take_placements(job: &mut Job) -> Vec<Placement> {
    let placements = std::mem::take(&mut job.placements);
    for index in placements.keys() {
        job.pending.insert(*index);
    }
    placements.into_values().collect()
}
