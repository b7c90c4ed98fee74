//! How the service-level objectives in the settings affect provisioning: completion targets, and when the higher price
//! of an on-demand machine is justified.

use super::demand::DemandRound;
use crate::jobs::Job;
use crate::leader::Leader;
use crate::settings::Objective;
use crate::types::{Duration, Timestamp};

/// How long tasks that may run on spot machines wait for one before an on-demand machine is requested for them. An
/// on-demand machine costs several times as much, and running spot machines become free in the meantime.
const SPOT_WAIT_TIMEOUT: Duration = Duration::from_secs(200);
/// A task that has waited for `SPOT_WAIT_TIMEOUT` keeps waiting if it is predicted to start within this time.
const IMMINENT_START_WINDOW: Duration = Duration::from_millis(SPOT_WAIT_TIMEOUT.as_millis() / 4);
/// A predicted miss of a deadline counts only once the job has waited for 1/3 of the time that it has. Earlier
/// predictions are poor: most backlogs end sooner than predicted.
const PREDICTION_WAIT_DIVISOR: u64 = 3;
/// A job should be complete within this share of the time that its objective allows, so that machines are requested
/// early enough.
const COMPLETION_TARGET_SHARE: f64 = 0.25;

/// Objective kind: share of jobs that meet their deadline.
const DEADLINE_KIND: &str = "deadline";
/// Objective kind: share of jobs that finish within a time after submission.
const FINISHED_KIND: &str = "finished";

impl Leader {
    /// Whether on-demand machines may be requested for a task that may run on spot machines. Since they cost several
    /// times as much, they are justified only while no spot machines are available, and only for three kinds of tasks:
    /// those that have waited for `SPOT_WAIT_TIMEOUT` and are not predicted to start soon, those that would miss a
    /// strict deadline on the existing machines and meet it on a new one, once `PREDICTION_WAIT_DIVISOR` lets the
    /// prediction count, and those without a strict deadline that are predicted to wait for longer than
    /// `SPOT_WAIT_TIMEOUT`.
    pub(super) fn justifies_on_demand(
        &self,
        job: &Job,
        round: DemandRound,
        predicted_start: Option<Timestamp>,
        predicted_duration: Duration,
    ) -> bool {
        if !round.spot_unavailable {
            return false;
        }
        let now = round.now;
        let starts_after = |wait: Duration| predicted_start.is_none_or(|start| start > now + wait);
        let waited = now.since(job.submitted_at);
        if waited >= SPOT_WAIT_TIMEOUT && starts_after(IMMINENT_START_WINDOW) {
            return true;
        }
        let Some(deadline) = self.strict_deadline(job) else {
            return predicted_start.is_some() && starts_after(SPOT_WAIT_TIMEOUT);
        };
        let prediction_counts = waited * PREDICTION_WAIT_DIVISOR >= deadline.since(job.submitted_at);
        let misses_deadline = predicted_start.is_none_or(|start| start + predicted_duration > deadline);
        let new_machine_meets_deadline = round.machine_up_at() + predicted_duration <= deadline;
        prediction_counts && misses_deadline && new_machine_meets_deadline
    }

    /// Returns when a job must have ended to meet a strict objective, which is one that at least the share
    /// `strict_objective_share` of jobs must meet. Returns `None` if its class has no such objective.
    fn strict_deadline(&self, job: &Job) -> Option<Timestamp> {
        let is_strict = |objective: &Objective| objective.share >= self.settings.tuning.strict_objective_share;
        if job.spec.deadline.is_some() && self.objectives(job, DEADLINE_KIND).any(is_strict) {
            return Some(job.deadline());
        }
        let strict = self.objectives(job, FINISHED_KIND).filter(|objective| is_strict(objective));
        let within_s = strict.filter_map(|objective| objective.within_s).reduce(f64::min)?;
        Some(job.submitted_at + Duration::from_secs_f64(within_s))
    }

    /// Returns the objectives of one kind for a job's class.
    fn objectives(&self, job: &Job, kind: &str) -> impl Iterator<Item = &Objective> {
        let objectives = self.settings.deployment.objectives.iter();
        objectives.filter(move |objective| objective.kind == kind && objective.class == job.spec.class)
    }

    /// Returns when a job's tasks should have ended: at its deadline, or after a share of the time that the objectives
    /// allow its class. Without either it returns `Timestamp::ZERO`, so that any predicted end is past the target.
    pub(super) fn completion_target(&self, job: &Job) -> Timestamp {
        if job.spec.deadline.is_some() {
            return job.deadline();
        }
        let within_s = self.objectives(job, FINISHED_KIND).filter_map(|objective| objective.within_s).reduce(f64::min);
        within_s.map_or(Timestamp::ZERO, |within_s| {
            job.submitted_at + Duration::from_secs_f64(within_s * COMPLETION_TARGET_SHARE)
        })
    }
}
