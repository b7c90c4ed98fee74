//! Diagnostics of jobs that wait: how many of the machines that a job allows could take one of its tasks, and what
//! prevents the others.

use crate::jobs::Job;
use crate::leader::Leader;
use crate::types::{Duration, Timestamp};
use crate::workers::{DrainReason, Machine};
use log::{Level, debug, log_enabled};

/// Minimum interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// A job is reported only if it was submitted at least this long ago.
const MIN_WAIT: Duration = Duration::from_secs(10);
/// Maximum number of jobs in one report, those of the highest priority first.
const MAX_REPORTED_JOBS: usize = 20;

/// Machines that a job's constraints allow, each counted under the first condition that keeps a task of the job from
/// starting there now.
#[derive(Debug, Default, PartialEq, Eq)]
struct AllowedMachines {
    /// Nothing prevents a start.
    open: u32,
    quarantined: u32,
    /// Drained for another reason, or being reclaimed.
    draining: u32,
    /// Not fenced, or not durably registered.
    not_ready: u32,
    unreachable: u32,
    /// Avoided by the job, because one of its tasks failed there.
    avoided: u32,
    /// Without enough free resources.
    occupied: u32,
    /// With enough free resources only if the headroom is used.
    reserved: u32,
}

impl Leader {
    /// Logs at `debug` for each waiting job what prevents a start on the machines that it allows.
    pub(super) fn log_waiting_jobs(&mut self, now: Timestamp) {
        if !log_enabled!(Level::Debug) || now.since(self.planning.waiting_jobs_logged_at) < REPORT_INTERVAL {
            return;
        }
        self.planning.waiting_jobs_logged_at = now;
        let has_waited = |job: &&Job| now.since(job.submitted_at) >= MIN_WAIT;
        for job in self.jobs.pending_jobs().filter(has_waited).take(MAX_REPORTED_JOBS) {
            let AllowedMachines { open, quarantined, draining, not_ready, unreachable, avoided, occupied, reserved } =
                self.count_allowed_machines(job, now);
            debug!(
                "job waits job={} waited_s={} startable={} queued={} open={open} quarantined={quarantined} \
                draining={draining} not_ready={not_ready} unreachable={unreachable} avoided={avoided} \
                occupied={occupied} reserved={reserved}",
                job.spec.id,
                now.since(job.submitted_at).as_secs_f64(),
                self.is_startable(job, now),
                self.planning.plans.planned_count(job.spec.id),
            );
        }
    }

    fn count_allowed_machines(&self, job: &Job, now: Timestamp) -> AllowedMachines {
        let mut counts = AllowedMachines::default();
        for machine in self.machines.values() {
            let record = &machine.record;
            if job.spec.allows(&record.machine_type, &record.zone, record.spot) {
                *self.obstacle(&mut counts, job, machine, now) += 1;
            }
        }
        counts
    }

    /// Selects the count under which a machine belongs.
    fn obstacle<'a>(
        &self,
        counts: &'a mut AllowedMachines,
        job: &Job,
        machine: &Machine,
        now: Timestamp,
    ) -> &'a mut u32 {
        let overdue_after = self.settings.deployment.workers.heartbeat_overdue_after();
        if machine.draining == Some(DrainReason::FailingTasks) {
            &mut counts.quarantined
        } else if machine.draining.is_some() || machine.reclaim_at.is_some() {
            &mut counts.draining
        } else if !machine.accepts_tasks() {
            &mut counts.not_ready
        } else if !machine.reached_within(now, overdue_after) {
            &mut counts.unreachable
        } else if !self.planning_view().allows_machine(job, machine.id()) {
            &mut counts.avoided
        } else if !job.spec.resources.fits(&machine.free_resources()) {
            &mut counts.occupied
        } else if !self.respects_headroom(job, machine) {
            &mut counts.reserved
        } else {
            &mut counts.open
        }
    }
}
