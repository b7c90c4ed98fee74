//! Gangs: planned, started, completed and stopped as a whole.

use super::preemption::{Preemption, PreemptionTrial};
use super::*;
use crate::gang::GangPhase;

/// How long the tasks of a gang wait for one that was lost before all are stopped and tried again.
const LOST_TASK_REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Share of `gang_wait_s` after which a gang that is not complete is stopped: its workers would give up at the end of it.
const GANG_WAIT_SHARE: f64 = 0.6;

/// What a gang needs done.
#[derive(Debug, Clone, Copy, PartialEq)]
enum GangAction {
    Nothing,
    /// A lost task is to be started again under the same attempt.
    Replace,
    /// All tasks are to be stopped at once.
    Stop,
    /// The attempt is gone.
    Requeue,
}

impl Leader {
    /// Plans a gang as a whole.
    pub(super) fn plan_gang(&mut self, now: Timestamp, entry: QueueEntry) {
        let Some(job) = self.jobs.get(entry.job) else { return };
        let task_count = job.spec.task_count;
        // Part of it may have lost its machine since it was planned.
        self.planning.plans.unplan_job(entry.job);
        let mut plans = std::mem::take(&mut self.planning.plans);
        plans.place_gang(now, entry, task_count, &self.planning_view());
        self.planning.plans = plans;
    }

    /// Takes gangs that wait out of the plan, so that they are placed anew by what is known now.
    pub(super) fn unplan_waiting_gangs(&mut self) {
        let is_planned = |job: &&Job| self.planning.plans.planned_count(job.spec.id) > 0;
        let planned: Vec<JobId> = self.jobs.gangs().filter(is_planned).map(|job| job.spec.id).collect();
        for job in planned {
            self.planning.plans.unplan_job(job);
        }
    }

    /// Whether all tasks of a gang have room now where they are planned.
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

    /// Starts all tasks of a gang where they are planned, under one attempt.
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

    /// The predicted time of a gang on these machines: it runs at the speed of the slowest one.
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

    /// Stops lower tasks where a gang is planned that would have to wait for room, if that makes room for all of it.
    pub(super) fn preempt_for_gangs(&mut self, now: Timestamp) {
        let mut preemptions: Vec<Preemption> = Vec::new();
        // What is left on each machine after the gangs that are ahead.
        let mut trials: BTreeMap<MachineId, PreemptionTrial> = BTreeMap::new();
        for planned in self.planning.plans.planned_jobs() {
            let Some(job) = self.jobs.get(planned.id()).filter(|job| job.gang.is_some()) else { continue };
            if !self.is_startable(job, now) {
                continue;
            }
            if let Some(mut for_gang) = self.preemptions_for_gang(job, now, &mut trials) {
                preemptions.append(&mut for_gang);
            }
        }
        self.preempt(preemptions);
    }

    /// What is to be stopped for a gang, after those ahead of it; `None` if that does not make room for all of it.
    fn preemptions_for_gang(
        &self,
        job: &Job,
        now: Timestamp,
        trials: &mut BTreeMap<MachineId, PreemptionTrial>,
    ) -> Option<Vec<Preemption>> {
        let (preempting_job, priority) = (job.spec.id, job.spec.priority);
        if self.planning.plans.planned_count(preempting_job) != job.spec.task_count {
            return None;
        }
        let mut new_trials = Vec::new();
        let mut preemptions = Vec::new();
        for PlannedTasks { machine: id, count } in self.planning.plans.planned_tasks(preempting_job) {
            let machine = self.machines.get(&id).filter(|machine| machine.accepts_tasks())?;
            let ahead = trials.get(&id).cloned();
            let mut trial =
                ahead.unwrap_or_else(|| PreemptionTrial::new(machine, self.victims(machine, now, priority)));
            trial.keep_only_below(priority);
            let stopped = trial.preempt_for(&job.spec.resources, count)?;
            new_trials.push((id, trial));
            preemptions.extend(stopped.into_iter().map(|attempt| Preemption { machine: id, attempt, preempting_job }));
        }
        trials.extend(new_trials);
        Some(preemptions)
    }

    /// Does for each gang what its state asks for.
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
                GangAction::Replace => self.restart_lost_gang_task(now, id),
                GangAction::Stop => self.stop_gang(id, Duration::ZERO),
                GangAction::Requeue => self.requeue_gang(id),
            }
        }
    }

    /// What a gang's state asks for. Its members wait for each other no longer than this.
    fn next_gang_action(&self, job: &Job, now: Timestamp, wait_limit: Duration) -> GangAction {
        let Some(gang) = &job.gang else { return GangAction::Nothing };
        if job.cancelling || job.finished.len() == job.spec.task_count {
            return GangAction::Nothing;
        }
        // Tasks on machines of an earlier leader may still be shown.
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
                    GangAction::Replace
                } else {
                    GangAction::Nothing
                }
            }
        }
    }

    /// Starts a task of a gang that was lost with its machine while the others wait for it again, under their attempt.
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
            gang.former_machines.insert(machine);
        }
        self.start_attempt(now, machine, AttemptId { attempt, task }, predicted_duration, &mut usage);
    }

    /// The best machine that can start a lost task now: one that has the image, then the fullest one.
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

    /// Stops all tasks of a gang with the same time for saving; what is told to stop already is left to do so.
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
                self.stop_attempt(placement.machine, placement.attempt, grace.as_secs_f64());
            }
        }
    }

    /// Nothing of the attempt is left: the gang waits as a whole again.
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
