//! Gang scheduling: the tasks of a gang are planned, started, restarted and stopped together.

use super::preemption::{Preemption, PreemptionSimulation};
use super::*;
use crate::gang::GangPhase;

/// If a lost task of a gang that has not begun to run is not replaced within this time, the whole attempt is stopped
/// and the gang is queued again.
const LOST_TASK_REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Fraction of `gang_wait_s` after which an incomplete gang is stopped by the leader. At the end of `gang_wait_s` its
/// workers would give up by themselves.
const GANG_WAIT_SHARE: f64 = 0.6;

/// What the leader has to do for a gang next.
#[derive(Debug, Clone, Copy, PartialEq)]
enum GangAction {
    Nothing,
    /// Start a lost task again under the same attempt.
    ReplaceLostTask,
    /// Stop all tasks of the attempt.
    Stop,
    /// Queue the gang again, because no task of the attempt is left on any machine.
    Requeue,
}

impl Leader {
    /// Assigns all tasks of a gang to machine queues, or none of them.
    pub(super) fn plan_gang(&mut self, now: Timestamp, entry: QueueEntry) {
        let Some(job) = self.jobs.get(entry.job) else { return };
        let task_count = job.spec.task_count;
        // Some of its tasks may be queued still, although the machines of others have been removed since they were
        // planned.
        self.planning.plans.unplan_job(entry.job);
        let mut plans = std::mem::take(&mut self.planning.plans);
        plans.place_gang(now, entry, task_count, &self.planning_view());
        self.planning.plans = plans;
    }

    /// Removes queued gangs from all machine queues, so that they are placed again with the latest state of the
    /// cluster.
    pub(super) fn unplan_queued_gangs(&mut self) {
        let is_planned = |job: &&Job| self.planning.plans.planned_count(job.spec.id) > 0;
        let planned: Vec<JobId> = self.jobs.gangs().filter(is_planned).map(|job| job.spec.id).collect();
        for job in planned {
            self.planning.plans.unplan_job(job);
        }
    }

    /// Whether every task of a gang can start now on the machine whose queue holds it.
    pub(super) fn gang_may_start(&self, job: &Job, now: Timestamp, usage: &TeamUsage) -> bool {
        let task_count = job.spec.task_count;
        if self.planning.plans.planned_count(job.spec.id) != task_count
            || !self.is_startable(job, now)
            || !self.within_quota(usage, job, u64::from(task_count))
        {
            return false;
        }
        let view = self.planning_view();
        self.planning.plans.planned_tasks(job.spec.id).into_iter().all(|planned| {
            let Some(machine) = self.machines.get(&planned.machine).filter(|machine| machine.accepts_tasks()) else {
                return false;
            };
            view.allows_machine(job, planned.machine)
                && !machine.holds_job(job.spec.id)
                && job.spec.resources.count_fitting(&machine.free_resources()) >= u64::from(planned.count)
        })
    }

    /// Starts all tasks of a gang on the machines whose queues hold them, under a common attempt number.
    pub(super) fn start_gang(&mut self, now: Timestamp, id: JobId, usage: &mut TeamUsage) {
        let planned = self.planning.plans.planned_tasks(id);
        let Some(job) = self.jobs.get(id) else { return };
        let predicted_duration = self.predicted_gang_duration(job, &planned);
        self.log_gang_start(job, now, &planned);
        let machines: Vec<MachineId> =
            planned.iter().flat_map(|tasks| (0..tasks.count).map(|_| tasks.machine)).collect();
        let attempt = self.next_attempt();
        self.planning.plans.unplan_job(id);
        if let Some(gang) = self.jobs.get_mut(id).and_then(|job| job.gang.as_mut()) {
            gang.start(now, attempt, machines.iter().copied());
        }
        for (index, machine) in (0..).zip(machines) {
            let attempt = AttemptId { attempt, task: TaskId { job: id, index } };
            self.start_attempt(now, machine, attempt, predicted_duration, usage);
        }
        self.end_promotion(id);
    }

    /// Predicted duration of a gang on these machines: its tasks run in step, so the slowest machine determines it.
    fn predicted_gang_duration(&self, job: &Job, planned: &[PlannedTasks]) -> Option<Duration> {
        let profile = self.planning_view().job_profile(job);
        let machines = planned.iter().filter_map(|tasks| self.planning.plans.machine(tasks.machine));
        machines.filter_map(|machine| profile.predicted_duration(machine)).max()
    }

    fn log_gang_start(&self, job: &Job, now: Timestamp, planned: &[PlannedTasks]) {
        let has_image = |tasks: &&PlannedTasks| {
            self.machines.get(&tasks.machine).is_some_and(|machine| machine.images.contains(&job.spec.image))
        };
        debug!(
            "gang start requested job={} waited_s={} machines={} cached={}",
            job.spec.id,
            now.since(job.submitted_at).as_secs_f64(),
            planned.len(),
            planned.iter().filter(has_image).count()
        );
    }

    /// Stops tasks of lower priority where queued gangs lack resources, but only if that makes the whole gang fit.
    pub(super) fn preempt_for_gangs(&mut self, now: Timestamp) {
        let mut preemptions: Vec<Preemption> = Vec::new();
        // Resources and victims that remain on each machine after the preemptions for gangs of higher priority.
        let mut simulations: BTreeMap<MachineId, PreemptionSimulation> = BTreeMap::new();
        for planned in self.planning.plans.planned_jobs() {
            let Some(job) = self.jobs.get(planned.id()).filter(|job| job.gang.is_some()) else { continue };
            if !self.is_startable(job, now) {
                continue;
            }
            if let Some(mut gang_preemptions) = self.preemptions_for_gang(job, now, &mut simulations) {
                preemptions.append(&mut gang_preemptions);
            }
        }
        self.preempt(preemptions);
    }

    /// Preemptions that a gang needs, given those for gangs ahead of it in `simulations`. Returns `None` and leaves
    /// `simulations` unchanged if they would not make the whole gang fit.
    fn preemptions_for_gang(
        &self,
        job: &Job,
        now: Timestamp,
        simulations: &mut BTreeMap<MachineId, PreemptionSimulation>,
    ) -> Option<Vec<Preemption>> {
        let (preempting_job, priority) = (job.spec.id, job.spec.priority);
        if self.planning.plans.planned_count(preempting_job) != job.spec.task_count {
            return None;
        }
        let mut new_simulations = Vec::new();
        let mut preemptions = Vec::new();
        for PlannedTasks { machine: id, count } in self.planning.plans.planned_tasks(preempting_job) {
            let machine = self.machines.get(&id).filter(|machine| machine.accepts_tasks())?;
            let existing = simulations.get(&id).cloned();
            let mut simulation =
                existing.unwrap_or_else(|| PreemptionSimulation::new(machine, self.victims(machine, now, priority)));
            simulation.retain_victims_below(priority);
            let to_stop = simulation.preempt_for(&job.spec.resources, count)?;
            new_simulations.push((id, simulation));
            preemptions.extend(to_stop.into_iter().map(|attempt| Preemption { machine: id, attempt, preempting_job }));
        }
        simulations.extend(new_simulations);
        Some(preemptions)
    }

    /// Carries out the next action of each gang.
    pub(super) fn update_gangs(&mut self, now: Timestamp) {
        let wait_limit = self.settings.deployment.workers.gang_wait_timeout().mul_f64(GANG_WAIT_SHARE);
        let actions: Vec<(JobId, GangAction)> = self
            .jobs
            .gangs()
            .map(|job| (job.spec.id, self.next_gang_action(job, now, wait_limit)))
            .filter(|(_, action)| *action != GangAction::Nothing)
            .collect();
        for (id, action) in actions {
            match action {
                GangAction::Nothing => {}
                GangAction::ReplaceLostTask => self.restart_lost_gang_task(now, id),
                GangAction::Stop => self.stop_gang(id, Duration::ZERO),
                GangAction::Requeue => self.requeue_gang(id),
            }
        }
    }

    /// Next action for a gang, from its phase and placements. `wait_limit` is the longest time for which its members
    /// may wait for each other.
    fn next_gang_action(&self, job: &Job, now: Timestamp, wait_limit: Duration) -> GangAction {
        let Some(gang) = &job.gang else { return GangAction::Nothing };
        if job.cancelling || job.finished.len() == job.spec.task_count {
            return GangAction::Nothing;
        }
        // Machines that have not been fenced by this leader may still report tasks of the gang that an earlier leader
        // started.
        let all_tasks_known = self.all_machines_fenced() || job.accepted_by_this_leader;
        let is_complete = job.placements.len() as u32 == job.spec.task_count;
        match gang.phase {
            GangPhase::Queued => GangAction::Nothing,
            _ if job.placements.is_empty() && all_tasks_known => GangAction::Requeue,
            _ if job.placements.is_empty() => GangAction::Nothing,
            GangPhase::Stopping { .. } => GangAction::Stop,
            GangPhase::Running if is_complete || !all_tasks_known => GangAction::Nothing,
            GangPhase::Running => GangAction::Stop,
            GangPhase::AwaitingMembers { since } => {
                let replacement_overdue =
                    gang.missing_since.is_some_and(|since| now.since(since) >= LOST_TASK_REPLACEMENT_TIMEOUT);
                if now.since(since) >= wait_limit || (replacement_overdue && all_tasks_known) {
                    GangAction::Stop
                } else if !is_complete && all_tasks_known {
                    GangAction::ReplaceLostTask
                } else {
                    GangAction::Nothing
                }
            }
        }
    }

    /// Starts a lost task of a gang again, on another machine and under the same attempt number, while the remaining
    /// members wait for it.
    fn restart_lost_gang_task(&mut self, now: Timestamp, id: JobId) {
        let mut usage = self.team_usage();
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(gang) = &mut job.gang else { return };
        gang.missing_since.get_or_insert(now);
        let Some(attempt) = gang.attempt else { return };
        let Some(index) = job.pending.smallest() else { return };
        let Some(job) = self.jobs.get(id) else { return };
        if !self.within_quota(&usage, job, 1) {
            return;
        }
        let task = TaskId { job: id, index };
        let Some(machine) = self.replacement_machine(job, task, now) else { return };
        info!("gang task replaced task={task} attempt={attempt} machine={machine}");
        let predicted_duration = Some(self.planning.correction.predict(job.spec.estimated_duration));
        if let Some(gang) = self.jobs.get_mut(id).and_then(|job| job.gang.as_mut()) {
            gang.attempt_machines.insert(machine);
        }
        self.start_attempt(now, machine, AttemptId { attempt, task }, predicted_duration, &mut usage);
    }

    /// Machine on which a lost task is started again: one that can start it now, preferably with the image cached, then
    /// with the fewest free CPUs.
    fn replacement_machine(&self, job: &Job, task: TaskId, now: Timestamp) -> Option<MachineId> {
        let overdue = self.settings.deployment.workers.heartbeat_overdue_after();
        let can_start = |machine: &&Machine| {
            machine.accepts_tasks()
                && machine.reached_within(now, overdue)
                && !machine.holds_task(task)
                && self.fits_on(job, machine)
        };
        let preference =
            |machine: &&Machine| (!machine.images.contains(&job.spec.image), machine.free_resources().cpus);
        self.machines.values().filter(can_start).min_by_key(preference).map(Machine::id)
    }

    /// Stops all tasks of a gang with the same grace period. Tasks that are being stopped already keep the grace period
    /// of that stop.
    pub(crate) fn stop_gang(&mut self, id: JobId, grace: Duration) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(gang) = &mut job.gang else { return };
        gang.stop(grace);
        let GangPhase::Stopping { grace } = gang.phase else { return };
        let placements: Vec<jobs::Placement> = job.placements.values().copied().collect();
        for placement in placements {
            let machine = self.machines.get(&placement.machine);
            let attempt = machine.and_then(|machine| machine.attempts.get(&placement.attempt));
            if attempt.is_some_and(|attempt| attempt.stop_grace_s.is_none()) {
                let grace_s = grace.as_secs_f64();
                self.stop_attempt(placement.machine, placement.attempt, grace_s, StopReason::GangStopped);
            }
        }
    }

    /// Returns all tasks of a gang to pending, once none of its attempt is left on any machine.
    fn requeue_gang(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(gang) = &mut job.gang {
            gang.requeue();
        }
        for index in 0..job.spec.task_count {
            self.jobs.return_to_pending(TaskId { job: id, index });
        }
        self.planning.replan_needed = true;
    }
}
