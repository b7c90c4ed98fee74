//! Quarantine of a machine on which tasks fail.
//!
//! The failure of a task does not tell whether the machine or the job is at fault. A machine that is suspected gets no
//! tasks, but that also prevents the success that would clear it. So each quarantine ends with a trial: the machine
//! gets one task at a time, or the tasks of one gang, until one succeeds. The same evidence as at first closes it again,
//! each time for longer.

use super::{AttemptPhase, DrainReason, Machine, TaskAttempt};
use crate::jobs::Job;
use crate::types::{Duration, JobId, Timestamp};
use std::collections::BTreeSet;

/// Number of different jobs that must fail on a machine before it is quarantined.
const FAILED_JOBS_BEFORE_QUARANTINE: usize = 2;
/// Time from the first quarantine of a machine to its trial; doubles with each further quarantine.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(15);
/// Maximum time from a quarantine to the trial. With a trial by another job's task it stays below the 90 s for which a
/// job may wait beside a machine with free resources.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(40);
/// Maximum number of times that the delay of the first trial is doubled.
const MAX_DOUBLINGS: u32 = 8;
/// A task that has run for this long shows that the machine is sound, as does one that has finished.
pub const TRIAL_RUN_TIME: Duration = Duration::from_secs(10);

/// For this long from its beginning, a trial is made only with jobs that have not failed since a task of theirs last
/// succeeded: their failure says most about the machine.
const UNFAILED_JOBS_FIRST: Duration = Duration::from_secs(5);

/// How far a machine is trusted with tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Trust {
    #[default]
    Trusted,
    /// It gets no tasks until this time.
    Quarantined { until: Timestamp },
    /// It gets one task at a time, or the tasks of one gang; they show whether it is sound.
    OnTrial { since: Timestamp },
}

/// What the failed tasks of a machine say about it.
#[derive(Debug, Default)]
pub struct Quarantine {
    trust: Trust,
    /// Different jobs of which a task failed on the machine since a task last succeeded or a trial began.
    failed_jobs: BTreeSet<JobId>,
    /// Number of quarantines since a task last finished that was started in or after the last trial.
    count: u32,
    /// When the last trial began.
    last_trial_at: Timestamp,
}

/// The failure of a task, as evidence against its machine.
#[derive(Debug, Clone, Copy)]
pub struct TaskFailure {
    /// The job of the task.
    pub job: JobId,
    /// Whether another task of the job has finished, so that the job has no mistake.
    pub job_succeeded: bool,
    /// Whether the job fails so often, without any success, that the fault is in the job.
    pub job_at_fault: bool,
}

impl Quarantine {
    /// Number of different jobs that failed on the machine since a task last succeeded or a trial began.
    pub fn failed_jobs(&self) -> usize {
        self.failed_jobs.len()
    }

    /// Whether the machine is on trial, with or without a task.
    pub fn is_on_trial(&self) -> bool {
        matches!(self.trust, Trust::OnTrial { .. })
    }

    /// Whether a trial, if there is one, may be made with a task of this job.
    pub fn allows_trial_of(&self, job: &Job, now: Timestamp) -> bool {
        let Trust::OnTrial { since } = self.trust else { return true };
        job.consecutive_failures == 0 || now.since(since) >= UNFAILED_JOBS_FIRST
    }

    /// Whether the machine is on trial, and this attempt was started for it and has not ended.
    fn is_trial_attempt(&self, attempt: &TaskAttempt) -> bool {
        let Trust::OnTrial { since } = self.trust else { return false };
        attempt.requested_at >= since && attempt.occupies_resources()
    }

    fn is_evidence_of_fault(&self, failure: TaskFailure) -> bool {
        failure.job_succeeded || self.failed_jobs.len() >= FAILED_JOBS_BEFORE_QUARANTINE
    }

    fn next_trial_delay(&self) -> Duration {
        let factor = 1 << self.count.min(MAX_DOUBLINGS);
        (FIRST_TRIAL_DELAY * factor).min(MAX_TRIAL_DELAY)
    }

    fn trust(&mut self) {
        self.trust = Trust::Trusted;
        self.failed_jobs.clear();
    }
}

impl Machine {
    /// Records the failure of a task. Returns the time until the trial if the machine is quarantined for it.
    pub fn record_failure(&mut self, now: Timestamp, failure: TaskFailure) -> Option<Duration> {
        if !failure.job_at_fault {
            self.quarantine.failed_jobs.insert(failure.job);
        }
        if self.draining.is_some() || !self.quarantine.is_evidence_of_fault(failure) {
            return None;
        }
        let delay = self.quarantine.next_trial_delay();
        self.quarantine.count += 1;
        self.quarantine.trust = Trust::Quarantined { until: now + delay };
        self.draining = Some(DrainReason::FailingTasks);
        Some(delay)
    }

    /// Records that a task has finished whose start was requested at this time. Returns whether this ends a trial.
    pub fn record_success(&mut self, requested_at: Timestamp) -> bool {
        self.quarantine.failed_jobs.clear();
        if requested_at < self.quarantine.last_trial_at {
            return false;
        }
        if matches!(self.quarantine.trust, Trust::Quarantined { .. }) {
            // The machine was sound when the task was started, but may have become faulty since then.
            self.quarantine.count = 1;
            return false;
        }
        let ends_trial = self.quarantine.is_on_trial();
        self.quarantine.count = 0;
        self.quarantine.trust();
        ends_trial
    }

    /// Whether the quarantine is over, so that the trial may begin.
    pub fn is_trial_due(&self, now: Timestamp) -> bool {
        let is_over = matches!(self.quarantine.trust, Trust::Quarantined { until } if now >= until);
        is_over && self.draining == Some(DrainReason::FailingTasks)
    }

    /// Begins the trial. Must be called only if it is due.
    pub fn begin_trial(&mut self, now: Timestamp) {
        self.draining = None;
        self.quarantine.trust = Trust::OnTrial { since: now };
        self.quarantine.last_trial_at = now;
        self.quarantine.failed_jobs.clear();
    }

    /// Ends the trial if its worker has shown a task of it running for `TRIAL_RUN_TIME`. Returns whether it has ended.
    pub fn end_passed_trial(&mut self) -> bool {
        let has_run_long_enough = |attempt: &TaskAttempt| {
            attempt.phase == AttemptPhase::Running
                && attempt.running_since.is_some_and(|since| self.last_message_at.since(since) >= TRIAL_RUN_TIME)
        };
        let is_proof =
            |attempt: &TaskAttempt| self.quarantine.is_trial_attempt(attempt) && has_run_long_enough(attempt);
        let has_passed = self.quarantine.is_on_trial() && self.attempts.values().any(is_proof);
        if has_passed {
            self.quarantine.trust();
        }
        has_passed
    }

    /// Whether the machine has the task, or the tasks of the gang, that are to show whether it is sound.
    pub fn is_being_tried(&self) -> bool {
        self.quarantine.is_on_trial() && self.attempts.values().any(|attempt| self.quarantine.is_trial_attempt(attempt))
    }
}
