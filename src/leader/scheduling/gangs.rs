//! Gangs: planned, started, completed and stopped as a whole.

use super::room::PreemptionTrial;
use super::*;
use crate::gang;

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
        let tasks = job.spec.task_count;
        // Part of it may have lost its machine since it was planned.
        self.planning.plans.unplan_job(entry.job);
        let mut plans = std::mem::take(&mut self.planning.plans);
        plans.place_gang(now, entry, tasks, &self.planning_view());
        self.planning.plans = plans;
    }

    /// Takes gangs that wait out of the plan, so that they are placed anew by what is known now.
    pub(super) fn unplan_waiting_gangs(&mut self) {
        let waiting: Vec<JobId> =
            self.jobs.gangs().filter(|j| self.planning.plans.planned_count(j.spec.id) > 0).map(|j| j.spec.id).collect();
        for job in waiting {
            self.planning.plans.unplan_job(job);
        }
    }

    /// Whether all tasks of a gang have room now where they are planned.
    pub(super) fn gang_may_start(&self, job: &Job, now: Timestamp, used: &HashMap<String, Resources>) -> bool {
        let tasks = job.spec.task_count;
        if self.planning.plans.planned_count(job.spec.id) != tasks
            || !self.is_startable(job, now)
            || !self.within_quota(used, job, u64::from(tasks))
        {
            return false;
        }
        let parts = self.planning_view();
        self.planning.plans.planned_machines(job.spec.id).into_iter().all(|(id, count)| {
            let Some(machine) = self.machines.get(&id).filter(|m| m.accepts_tasks()) else { return false };
            parts.allows_machine(job, id)
                && !machine.holds_job(job.spec.id)
                && job.spec.resources.copies_in(&machine.free_resources()) >= u64::from(count)
        })
    }

    /// Starts all tasks of a gang where they are planned, under one attempt.
    pub(super) fn start_gang(&mut self, now: Timestamp, id: JobId, used: &mut HashMap<String, Resources>) {
        let slots = self.planning.plans.planned_machines(id);
        let Some(job) = self.jobs.get(id) else { return };
        let profile = self.planning_view().job_profile(job);
        let predicted =
            |machine: &MachineId| self.planning.plans.machine(*machine).and_then(|s| profile.predicted_duration(s));
        // It runs at the speed of its slowest machine.
        let predicted = slots.iter().filter_map(|(machine, _)| predicted(machine)).max();
        let machines: Vec<MachineId> =
            slots.iter().flat_map(|(machine, count)| (0..*count).map(move |_| *machine)).collect();
        let cached = |(machine, _): &&(MachineId, u32)| {
            self.machines.get(machine).is_some_and(|m| m.images.contains(&job.spec.image))
        };
        debug!(
            "gang starts {id} waited={}s machines={} cached={}",
            now.since(job.submitted_at).as_secs_f64(),
            slots.len(),
            slots.iter().filter(cached).count()
        );
        let (promoted, rank) = (job.is_promoted(), job.spec.priority);
        let attempt = self.next_attempt();
        self.planning.plans.unplan_job(id);
        if let Some(gang) = self.jobs.get_mut(id).and_then(|job| job.gang.as_mut()) {
            gang.start(now, attempt, machines.iter().copied());
        }
        for (index, machine) in (0..).zip(machines) {
            let key = AttemptId { attempt, task: TaskId { job: id, index } };
            self.start_attempt(now, machine, key, predicted, used);
        }
        if promoted {
            self.jobs.promote(id, rank);
        }
    }

    /// Stops lower tasks where a gang is planned that would have to wait for room, if that makes room for all of it.
    pub(super) fn preempt_for_gangs(&mut self, now: Timestamp) {
        let mut stops = Vec::new();
        // What is left on each machine after the gangs that are ahead.
        let mut rooms: BTreeMap<MachineId, PreemptionTrial> = BTreeMap::new();
        let waiting: Vec<JobId> = self.planning.plans.planned_jobs().map(|planned| planned.id()).collect();
        let gangs = waiting.into_iter().filter_map(|id| self.jobs.get(id)).filter(|job| job.gang.is_some());
        for job in gangs.filter(|job| self.is_startable(job, now)) {
            let id = job.spec.id;
            if self.planning.plans.planned_count(id) != job.spec.task_count {
                continue;
            }
            let mut trial = Vec::new();
            let mut complete = true;
            for (machine, count) in self.planning.plans.planned_machines(id) {
                let Some(m) = self.machines.get(&machine).filter(|m| m.accepts_tasks()) else {
                    complete = false;
                    break;
                };
                let mut pressed = rooms
                    .get(&machine)
                    .cloned()
                    .unwrap_or_else(|| PreemptionTrial::new(m, self.victims(m, now, job.spec.priority)));
                pressed.keep_only_below(job.spec.priority);
                let stopped = pressed.preempt_for(&job.spec.resources, count);
                complete &= stopped.is_some();
                trial.push((machine, pressed, stopped.unwrap_or_default()));
            }
            if !complete {
                continue;
            }
            for (machine, pressed, stopped) in trial {
                rooms.insert(machine, pressed);
                stops.extend(stopped.into_iter().map(|key| (machine, key, id)));
            }
        }
        self.preempt(stops);
    }

    /// Does for each gang what its state asks for.
    pub(super) fn update_gangs(&mut self, now: Timestamp) {
        let gather_limit = self.settings.deployment.workers.gang_wait().mul_f64(GANG_WAIT_SHARE);
        let acts: Vec<(JobId, GangAction)> = self
            .jobs
            .gangs()
            .map(|job| (job.spec.id, self.next_gang_action(job, now, gather_limit)))
            .filter(|(_, act)| *act != GangAction::Nothing)
            .collect();
        for (id, act) in acts {
            match act {
                GangAction::Nothing => {}
                GangAction::Replace => self.restart_lost_gang_task(now, id),
                GangAction::Stop => self.stop_gang(id, Duration::ZERO),
                GangAction::Requeue => self.requeue_gang(id),
            }
        }
    }

    fn next_gang_action(&self, job: &Job, now: Timestamp, gather_limit: Duration) -> GangAction {
        let Some(gang) = &job.gang else { return GangAction::Nothing };
        if job.cancelling || job.finished.len() == job.spec.task_count {
            return GangAction::Nothing;
        }
        // Tasks on machines of an earlier leader may still be shown.
        let known = self.all_machines_fenced() || job.accepted_by_this_leader;
        let complete = job.placements.len() as u32 == job.spec.task_count;
        match gang.phase {
            gang::GangPhase::Queued => GangAction::Nothing,
            _ if job.placements.is_empty() => {
                if known {
                    GangAction::Requeue
                } else {
                    GangAction::Nothing
                }
            }
            gang::GangPhase::Stopping { .. } => GangAction::Stop,
            gang::GangPhase::Running => {
                if complete || !known {
                    GangAction::Nothing
                } else {
                    GangAction::Stop
                }
            }
            gang::GangPhase::AwaitingMembers { since } => {
                let overdue = gang.missing_since.is_some_and(|at| now.since(at) >= LOST_TASK_REPLACEMENT_TIMEOUT);
                if now.since(since) >= gather_limit || (overdue && known) {
                    GangAction::Stop
                } else if !complete && known {
                    GangAction::Replace
                } else {
                    GangAction::Nothing
                }
            }
        }
    }

    /// Starts the tasks of a gathering gang that were lost with their machines again, under the attempt of the others.
    fn restart_lost_gang_task(&mut self, now: Timestamp, id: JobId) {
        let mut used = self.team_usage();
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(gang) = &mut job.gang else { return };
        gang.missing_since.get_or_insert(now);
        let Some(attempt) = gang.attempt else { return };
        let Some(index) = job.pending.smallest() else { return };
        let Some(job) = self.jobs.get(id) else { return };
        if !self.within_quota(&used, job, 1) {
            return;
        }
        let task = TaskId { job: id, index };
        let overdue = self.settings.deployment.workers.overdue();
        let fits = |m: &&Machine| {
            m.accepts_tasks() && m.reached_within(now, overdue) && !m.holds_task(task) && self.fits_on(job, m)
        };
        let image = &job.spec.image;
        let best =
            self.machines.values().filter(fits).min_by_key(|m| (!m.images.contains(image), m.free_resources().cpus));
        let Some(machine) = best.map(Machine::id) else { return };
        info!("replacing {task} attempt={attempt} machine={machine}");
        let predicted = Some(self.planning.correction.predict(job.spec.estimated_duration));
        if let Some(gang) = self.jobs.get_mut(id).and_then(|job| job.gang.as_mut()) {
            gang.former.insert(machine);
        }
        self.start_attempt(now, machine, AttemptId { attempt, task }, predicted, &mut used);
    }

    /// Stops all tasks of a gang with the same time for saving; what is told to stop already is left to do so.
    pub(crate) fn stop_gang(&mut self, id: JobId, grace: Duration) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(gang) = &mut job.gang else { return };
        gang.stop(grace);
        let gang::GangPhase::Stopping { grace } = gang.phase else { return };
        let placed: Vec<jobs::Placement> = job.placements.values().copied().collect();
        for placed in placed {
            let hold = self.machines.get(&placed.machine).and_then(|m| m.attempts.get(&placed.attempt));
            if hold.is_some_and(|hold| hold.stop_grace_s.is_none()) {
                self.stop_attempt(placed.machine, placed.attempt, grace.as_secs_f64());
            }
        }
    }

    /// Nothing of the attempt is left: the gang waits as a whole again.
    fn requeue_gang(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(gang) = &mut job.gang {
            gang.emptied();
        }
        let tasks = job.spec.task_count;
        for index in 0..tasks {
            self.jobs.return_to_pending(TaskId { job: id, index });
        }
        self.planning.replan_needed = true;
    }
}
