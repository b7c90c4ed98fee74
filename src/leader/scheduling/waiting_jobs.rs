//! Jobs that wait unplanned: which go first, and how much of them one round places.

use super::*;

/// Tasks of one job that are placed at once, at the most.
const MAX_TASKS_PER_PLACEMENT: u32 = 128;
/// A job of which nothing has begun for so long is promoted, so that it begins within four minutes.
const STARVATION_THRESHOLD: Duration = Duration::from_secs(120);
/// To this priority, for its first task: before all but services, which it must not preempt.
const PROMOTED_PRIORITY: u8 = 1;

/// Tasks of a job that are to be placed.
#[derive(Debug, Clone, Copy)]
struct UnplannedTasks {
    job: JobId,
    count: u32,
}

/// Tasks of this kind and size found no machine in this round: those that are as large will not either.
#[derive(Debug)]
struct UnplaceableTasks {
    resources: Resources,
    allows_spot: bool,
    is_service: bool,
}

impl UnplaceableTasks {
    /// Whether tasks of this job will not find a machine either.
    fn covers(&self, job: &Job) -> bool {
        self.allows_spot == job.spec.allows_spot
            && self.is_service == job.spec.is_service
            && self.resources.fits(&job.spec.resources)
    }
}

/// What a round has done so far.
#[derive(Debug, Default)]
struct RoundProgress {
    /// How many machines were rated, over all jobs.
    evaluations: usize,
    /// What found no machine: like tasks are not tried one by one, nor larger ones.
    unplaceable: Vec<UnplaceableTasks>,
}

/// A task of this job as the plan queues it; its predicted time depends on the machine.
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
        // By its own priority: a better one that it was given for its turn preempts nobody.
        preempts_below: may_preempt.then_some(job.spec.priority),
        uses_headroom: may_use_headroom(job, latency_sensitive_classes),
    }
}

impl Leader {
    /// Of jobs that have waited long without any task begun one task goes before all but services.
    ///
    /// The paper's priorities are absolute: under a lasting overload of a higher one, a lower one would
    /// never start (docs/design.md, exception 8).
    pub(super) fn promote_starved(&mut self, now: Timestamp) {
        let starved: Vec<JobId> =
            self.jobs.pending_jobs().filter(|job| self.is_starved(job, now)).map(|job| job.spec.id).collect();
        for id in starved {
            info!("job promoted job={id} reason=\"nothing of it has begun\"");
            self.planning.plans.unplan_job(id);
            self.jobs.promote(id, PROMOTED_PRIORITY);
        }
    }

    /// Whether nothing of a job has begun for too long.
    fn is_starved(&self, job: &Job, now: Timestamp) -> bool {
        let has_begun = !job.placements.is_empty() || !job.finished.is_empty();
        job.effective_priority > PROMOTED_PRIORITY
            && !has_begun
            && self.is_startable(job, now)
            && now.since(job.submitted_at) >= STARVATION_THRESHOLD
    }

    /// Takes tasks out of the plan that have room where they wait, but may not start there: their job has as many in
    /// that zone as it may, or is in another one. An idle machine had taken a task from the queue of another zone, so
    /// that those planned in its own were one too many; they waited there for ever.
    pub(super) fn unplan_misplaced(&mut self) {
        let mut misplaced: Vec<(MachineId, JobId)> = Vec::new();
        for planned in self.planning.plans.planned_jobs() {
            let Some(job) = self.jobs.get(planned.id()).filter(|job| job.gang.is_none()) else { continue };
            if !job.spec.spread_over_zones && !job.spec.colocate_in_zone {
                continue;
            }
            let tasks_by_zone = self.planning_view().tasks_by_zone(job);
            let is_closed = |zone: usize| {
                tasks_by_zone.get(&zone).is_some_and(|count| *count >= job.spec.max_tasks_per_zone())
                    || (job.spec.colocate_in_zone && tasks_by_zone.keys().any(|other| *other != zone))
            };
            let in_closed_zone =
                |id: &MachineId| self.planning.plans.machine(*id).is_some_and(|machine| is_closed(machine.zone));
            misplaced.extend(planned.machines().filter(in_closed_zone).map(|machine| (machine, planned.id())));
        }
        for (machine, job) in misplaced {
            self.planning.plans.unplan_last(machine, job);
        }
    }

    /// Places what waits unplanned, most important first, as far as a round goes.
    ///
    /// Half of a round begins with the most important job, the other half where the last round stopped. When all began
    /// with the most important one, some services that found no room anywhere kept everything else from being
    /// looked at, for as long as they waited.
    pub(super) fn plan_waiting(&mut self, now: Timestamp, usage: &TeamUsage) {
        self.jobs.prune_pending_jobs();
        let waiting = self.unplanned_tasks(now, usage);
        let mut progress = RoundProgress::default();
        let budget = self.planning.pacing.evaluation_budget(self.planning.plans.machines().count());
        let planned = self.plan_in_order(now, &waiting, budget / 2, &mut progress);
        let rest = &waiting[planned..];
        let resume_at = self.planning.resume_at.take();
        let first = resume_at.and_then(|id| rest.iter().position(|tasks| tasks.job == id)).unwrap_or(0);
        let rotated: Vec<UnplannedTasks> = rest[first..].iter().chain(&rest[..first]).copied().collect();
        let planned = self.plan_in_order(now, &rotated, budget, &mut progress);
        if let Some(next) = rotated.get(planned) {
            // The rest is for the next round, so that heartbeats and users are not kept waiting.
            self.planning.replan_needed = true;
            self.planning.resume_at = Some(next.job);
        }
    }

    /// Tasks that may start and are in no queue, those of the most important job first.
    fn unplanned_tasks(&self, now: Timestamp, usage: &TeamUsage) -> Vec<UnplannedTasks> {
        self.jobs
            .pending_jobs()
            .filter(|job| self.is_startable(job, now) && self.within_quota(usage, job, 1))
            .map(|job| UnplannedTasks { job: job.spec.id, count: self.unplanned_count(job) })
            .filter(|tasks| tasks.count > 0)
            .collect()
    }

    /// How many tasks of a job are to be placed.
    fn unplanned_count(&self, job: &Job) -> u32 {
        let planned = self.planning.plans.planned_count(job.spec.id);
        let unplanned = job.pending.len().saturating_sub(planned);
        if job.is_promoted() && job.gang.is_none() {
            // Of a promoted job one task goes first; the others follow at their own priority.
            unplanned.min(1 - planned.min(1))
        } else {
            unplanned
        }
    }

    /// Places jobs in this order until so many machines were rated; returns how many jobs had their turn.
    fn plan_in_order(
        &mut self,
        now: Timestamp,
        waiting: &[UnplannedTasks],
        max_evaluations: usize,
        progress: &mut RoundProgress,
    ) -> usize {
        let machine_count = self.planning.plans.machines().count();
        for (turn, tasks) in waiting.iter().enumerate() {
            if progress.evaluations >= max_evaluations {
                return turn;
            }
            let Some(job) = self.jobs.get_mut(tasks.job) else { continue };
            job.last_planned_at = now;
            let runs_anywhere = job.spec.machine_types.is_none() && job.spec.zone.is_none();
            if runs_anywhere && progress.unplaceable.iter().any(|class| class.covers(job)) {
                continue;
            }
            progress.evaluations += machine_count;
            let (resources, allows_spot, is_service) = (job.spec.resources, job.spec.allows_spot, job.spec.is_service);
            let entry = queue_entry(job, &self.planning.latency_sensitive_classes);
            if entry.is_gang {
                self.plan_gang(now, entry);
                continue;
            }
            let wanted = tasks.count.min(MAX_TASKS_PER_PLACEMENT);
            let placed = self.place(now, entry, wanted);
            if placed < wanted && runs_anywhere && !entry.has_zone_constraints {
                progress.unplaceable.push(UnplaceableTasks { resources, allows_spot, is_service });
            }
        }
        waiting.len()
    }

    /// Places tasks in the plan; returns how many found a machine.
    fn place(&mut self, now: Timestamp, entry: QueueEntry, count: u32) -> u32 {
        let mut plans = std::mem::take(&mut self.planning.plans);
        let placed = plans.place(now, entry, count, &self.planning_view());
        self.planning.plans = plans;
        placed
    }
}
