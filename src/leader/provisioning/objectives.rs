//! Service-level objectives of the settings, as provisioning sees them.

use super::demand::DemandRound;
use crate::jobs::Job;
use crate::leader::Leader;
use crate::settings::Objective;
use crate::types::{Duration, Timestamp};

/// How long tasks that may use spot machines wait for one before an on-demand one is rented: it costs several times as
/// much, and spot machines become free.
const SPOT_WAIT: Duration = Duration::from_secs(200);
/// A task that has waited for `SPOT_WAIT` still waits on if it is predicted to start within this time.
const IMMINENT_START: Duration = Duration::from_millis(SPOT_WAIT.as_millis() / 4);
/// Predictions count once a job has waited for one part in so many of its time: those made at once are poor, since most
/// backlogs are over sooner.
const WAITED_PARTS: u64 = 3;
/// Share of an objective's time within which a job should be complete, so that machines are rented early enough.
const COMPLETION_TARGET_SHARE: f64 = 0.25;

/// The kind of objective at meeting deadlines.
const DEADLINE: &str = "deadline";
/// The kind of objective at finishing within a time.
const FINISHED: &str = "finished";

impl Leader {
    /// Whether on-demand machines may be rented for a task that could wait for a spot machine: several times as dear,
    /// they are for what would else miss an objective that nearly all jobs must meet, and for what has waited very long.
    pub(super) fn justifies_on_demand(
        &self,
        job: &Job,
        round: DemandRound,
        predicted_start: Option<Timestamp>,
        run: Duration,
    ) -> bool {
        if !round.spot_unavailable {
            return false;
        }
        let now = round.now;
        let starts_after = |wait: Duration| predicted_start.is_none_or(|start| start > now + wait);
        let waited = now.since(job.submitted_at);
        if waited >= SPOT_WAIT && starts_after(IMMINENT_START) {
            return true;
        }
        let Some(deadline) = self.strict_deadline(job) else {
            return predicted_start.is_some() && starts_after(SPOT_WAIT);
        };
        let prediction_counts = waited * WAITED_PARTS >= deadline.since(job.submitted_at);
        let misses_deadline = predicted_start.is_none_or(|start| start + run > deadline);
        let new_machine_meets_it = round.machine_up_at() + run <= deadline;
        prediction_counts && misses_deadline && new_machine_meets_it
    }

    /// When a job must be over for an objective that allows few misses.
    fn strict_deadline(&self, job: &Job) -> Option<Timestamp> {
        let is_strict = |objective: &Objective| objective.share >= self.settings.tuning.strict_objective_share;
        if job.spec.deadline.is_some() && self.objectives(job, DEADLINE).any(is_strict) {
            return Some(job.deadline());
        }
        let strict = self.objectives(job, FINISHED).filter(|objective| is_strict(objective));
        let within_s = strict.filter_map(|objective| objective.within_s).reduce(f64::min)?;
        Some(job.submitted_at + Duration::from_secs_f64(within_s))
    }

    /// The objectives of one kind for a job's class.
    fn objectives(&self, job: &Job, kind: &str) -> impl Iterator<Item = &Objective> {
        let objectives = self.settings.deployment.objectives.iter();
        objectives.filter(move |objective| objective.kind == kind && objective.class == job.spec.class)
    }

    /// When a job's tasks should be over: its deadline, or a share of the time that the objectives allow its class.
    pub(super) fn completion_target(&self, job: &Job) -> Timestamp {
        if job.spec.deadline.is_some() {
            return job.deadline();
        }
        let within_s = self.objectives(job, FINISHED).filter_map(|objective| objective.within_s).reduce(f64::min);
        within_s.map_or(Timestamp::ZERO, |within_s| {
            job.submitted_at + Duration::from_secs_f64(within_s * COMPLETION_TARGET_SHARE)
        })
    }
}
