//! Selects the jobs with pending tasks that are in no machine's queue, and assigns their tasks to queues within the
//! evaluation budget of a round.

use super::*;

/// Maximum number of tasks of one job that are placed in one turn.
const MAX_TASKS_PER_PLACEMENT: u32 = 128;
/// A job is promoted if it has neither a placed nor a finished task this long after its submission. The value leaves
/// time for its first task to start within four minutes of the submission.
const STARVATION_THRESHOLD: Duration = Duration::from_secs(120);
/// Priority of a promoted job until its first task has started. It precedes all jobs but those of priority 0, whose
/// services it must not displace.
const PROMOTED_PRIORITY: u8 = 1;

/// Pending tasks of one job that are in no machine's queue.
#[derive(Debug, Clone, Copy)]
struct UnplannedTasks {
    job: JobId,
    count: u32,
}

/// Tasks for which no machine was found in this round. Tasks that are alike and need at least as many resources are not
/// tried again in the same round.
#[derive(Debug)]
struct UnplaceableTasks {
    resources: Resources,
    allows_spot: bool,
    is_service: bool,
}

impl UnplaceableTasks {
    /// Whether tasks of this job cannot be placed in this round either, because these smaller or equal ones could not.
    fn covers(&self, job: &Job) -> bool {
        self.allows_spot == job.spec.allows_spot
            && self.is_service == job.spec.is_service
            && self.resources.fits(&job.spec.resources)
    }
}

/// State of a round of planning.
#[derive(Debug, Default)]
struct RoundProgress {
    /// Number of machine evaluations in this round, over all jobs.
    evaluations: usize,
    /// Tasks for which no machine was found, so that tasks of the same kind and of at least the same size are skipped.
    unplaceable: Vec<UnplaceableTasks>,
}

/// A queue entry for one task of this job. `predicted_duration` is set when a machine is chosen, because it depends on
/// the machine.
fn queue_entry(job: &Job, latency_sensitive_classes: &BTreeSet<String>) -> QueueEntry {
    let is_gang = job.gang.is_some();
    let may_preempt = (job.spec.is_service && job.spec.priority == 0) || is_gang;
    QueueEntry {
        job: job.spec.id,
        queue_priority: queue_priority(job),
        count: 1,
        resources: job.spec.resources,
        predicted_duration: Duration::ZERO,
        is_service: job.spec.is_service,
        deadline: job.deadline(),
        has_zone_constraints: job.spec.colocate_in_zone || job.spec.spread_over_zones,
        is_gang,
        // Uses the job's own priority, so that promotion does not allow a job to preempt tasks of others.
        preempts_below: may_preempt.then_some(job.spec.priority),
        uses_headroom: may_use_headroom(job, latency_sensitive_classes),
    }
}

impl Leader {
    /// Promotes jobs that have waited for `STARVATION_THRESHOLD` without any task started, so that one task of each is
    /// queued ahead of all jobs but those of priority 0.
    ///
    /// Priorities in the paper are strict: under a lasting overload by jobs of higher priority, a job of lower priority
    /// would never start (docs/design.md, exception 8).
    pub(super) fn promote_starved(&mut self, now: Timestamp) {
        let starved: Vec<JobId> =
            self.jobs.pending_jobs().filter(|job| self.is_starved(job, now)).map(|job| job.spec.id).collect();
        for id in starved {
            info!("job promoted job={id} reason=\"nothing of it has begun\"");
            self.planning.plans.unplan_job(id);
            self.jobs.promote(id, PROMOTED_PRIORITY);
        }
    }

    /// Whether a startable job of a lower priority than `PROMOTED_PRIORITY` was submitted at least
    /// `STARVATION_THRESHOLD` ago and has neither a placed nor a finished task. Tasks that were started and failed do
    /// not count.
    fn is_starved(&self, job: &Job, now: Timestamp) -> bool {
        let has_started = !job.placements.is_empty() || !job.finished.is_empty();
        job.effective_priority > PROMOTED_PRIORITY
            && !has_started
            && self.is_startable(job, now)
            && now.since(job.submitted_at) >= STARVATION_THRESHOLD
    }

    /// Removes queued tasks that violate their job's zone constraints: the job has its maximum of tasks in that zone
    /// already, or its tasks must share a zone and some run in another one. This happens when an idle machine steals a
    /// task from a queue in another zone: one of the job's tasks that are queued in the zone of the idle machine is
    /// then one too many. It fits on its machine, but may not start there, and would wait forever.
    pub(super) fn unplan_zone_violations(&mut self) {
        let mut violations: Vec<(MachineId, JobId)> = Vec::new();
        for planned in self.planning.plans.planned_jobs() {
            let Some(job) = self.jobs.get(planned.id()).filter(|job| job.gang.is_none()) else { continue };
            if !job.spec.spread_over_zones && !job.spec.colocate_in_zone {
                continue;
            }
            let tasks_by_zone = self.planning_view().tasks_by_zone(job);
            let is_disallowed = |zone: usize| {
                tasks_by_zone.get(&zone).is_some_and(|count| *count >= job.spec.max_tasks_per_zone())
                    || (job.spec.colocate_in_zone && tasks_by_zone.keys().any(|other| *other != zone))
            };
            let in_disallowed_zone =
                |id: &MachineId| self.planning.plans.machine(*id).is_some_and(|machine| is_disallowed(machine.zone));
            violations.extend(planned.machines().filter(in_disallowed_zone).map(|machine| (machine, planned.id())));
        }
        for (machine, job) in violations {
            self.planning.plans.unplan_last(machine, job);
        }
    }

    /// Assigns unplanned tasks to machine queues, those of the highest priority first, within the round's evaluation
    /// budget.
    ///
    /// Half of the budget is spent from the job of highest priority on, the other half from the job at which the last
    /// round stopped. If every round began with the job of highest priority, a few services that fit on no machine
    /// could use up the budget of each round, and no other job would be planned as long as they are pending.
    pub(super) fn plan_unplanned_tasks(&mut self, now: Timestamp, usage: &TeamUsage) {
        self.jobs.prune_pending_jobs();
        let unplanned = self.unplanned_tasks(now, usage);
        let mut progress = RoundProgress::default();
        let budget = self.planning.pacing.evaluation_budget(self.planning.plans.machines().count());
        let processed = self.plan_in_order(now, &unplanned, budget / 2, &mut progress);
        let rest = &unplanned[processed..];
        let resume_from = self.planning.resume_from.take();
        let first = resume_from.and_then(|id| rest.iter().position(|tasks| tasks.job == id)).unwrap_or(0);
        let rotated: Vec<UnplannedTasks> = rest[first..].iter().chain(&rest[..first]).copied().collect();
        let processed = self.plan_in_order(now, &rotated, budget, &mut progress);
        if let Some(next) = rotated.get(processed) {
            // The remaining jobs are left to the next round, so that heartbeats and users' requests are handled in
            // between.
            self.planning.replan_needed = true;
            self.planning.resume_from = Some(next.job);
        }
    }

    /// Startable tasks that are in no queue, by job in order of priority.
    fn unplanned_tasks(&self, now: Timestamp, usage: &TeamUsage) -> Vec<UnplannedTasks> {
        self.jobs
            .pending_jobs()
            .filter(|job| self.is_startable(job, now) && self.within_quota(usage, job, 1))
            .map(|job| UnplannedTasks { job: job.spec.id, count: self.unplanned_count(job) })
            .filter(|tasks| tasks.count > 0)
            .collect()
    }

    /// Number of a job's pending tasks that are in no queue and may be planned now.
    fn unplanned_count(&self, job: &Job) -> u32 {
        let planned = self.planning.plans.planned_count(job.spec.id);
        let unplanned = job.pending.len().saturating_sub(planned);
        if job.is_promoted() && job.gang.is_none() {
            // Only one task of a promoted job is planned ahead of others. Its remaining tasks are planned at the job's
            // own priority once the promotion has ended.
            unplanned.min(1 - planned.min(1))
        } else {
            unplanned
        }
    }

    /// Assigns tasks of these jobs to machine queues, in this order, until the round has made `max_evaluations` machine
    /// evaluations. Returns the number of jobs that were processed.
    fn plan_in_order(
        &mut self,
        now: Timestamp,
        unplanned: &[UnplannedTasks],
        max_evaluations: usize,
        progress: &mut RoundProgress,
    ) -> usize {
        let machine_count = self.planning.plans.machines().count();
        for (processed, tasks) in unplanned.iter().enumerate() {
            if progress.evaluations >= max_evaluations {
                return processed;
            }
            let Some(job) = self.jobs.get_mut(tasks.job) else { continue };
            job.last_planned_at = now;
            let runs_anywhere = job.spec.machine_types.is_none() && job.spec.zone.is_none();
            if runs_anywhere && progress.unplaceable.iter().any(|class| class.covers(job)) {
                continue;
            }
            progress.evaluations += machine_count;
            let (resources, allows_spot, is_service) = (job.spec.resources, job.spec.allows_spot, job.spec.is_service);
            // What this job avoids after its failures may be open to the next one.
            let tries_all_machines = runs_anywhere && !job.failed_on.avoids_any(now);
            let entry = queue_entry(job, &self.planning.latency_sensitive_classes);
            if entry.is_gang {
                self.plan_gang(now, entry);
                continue;
            }
            let wanted = tasks.count.min(MAX_TASKS_PER_PLACEMENT);
            let placed = self.place(now, entry, wanted);
            if placed < wanted && tries_all_machines && !entry.has_zone_constraints {
                progress.unplaceable.push(UnplaceableTasks { resources, allows_spot, is_service });
            }
        }
        unplanned.len()
    }

    /// Assigns up to `count` tasks to machine queues; returns how many were assigned.
    fn place(&mut self, now: Timestamp, entry: QueueEntry, count: u32) -> u32 {
        let mut plans = std::mem::take(&mut self.planning.plans);
        let placed = plans.place(now, entry, count, &self.planning_view());
        self.planning.plans = plans;
        placed
    }
}
