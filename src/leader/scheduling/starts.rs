//! Starts queued tasks on the machine whose queue holds them, as soon as they fit into its free resources.

use super::reservation::GangReservation;
use super::*;
use caperstile_admission::TeamClassPair;

/// Number of a job's pending tasks that are examined to find one of which the machine holds no other attempt.
const MAX_PENDING_SCANNED: usize = 64;

/// What to do with one entry of a machine's queue.
enum QueueAction {
    StartTask,
    StartGang,
    /// The gang cannot start yet because other machines lack resources: reserves its resources on this machine.
    ReserveForGang,
    /// The entry cannot start now, but the entries behind it may.
    Skip,
    /// The entry cannot start now, and the entries behind it must not overtake it.
    Block,
}

impl Leader {
    /// Whether a task of this job may start on this machine now, as far as the machine's state, the job's state, the
    /// team's quota, zone constraints and headroom are concerned. Always false for gangs, which start as a whole.
    pub(super) fn may_start(&self, job: &Job, machine: &Machine, now: Timestamp, usage: &TeamUsage) -> bool {
        let is_startable = job.gang.is_none() && self.is_startable(job, now);
        machine.accepts_tasks()
            && machine.quarantine.allows_trial_of(job, now)
            && is_startable
            && self.within_quota(usage, job, 1)
            && self.fits_on(job, machine)
            && self.respects_headroom(job, machine)
    }

    /// Whether a task of this job fits into the machine's free resources without taking headroom, or the job may use
    /// headroom.
    pub(in crate::leader) fn respects_headroom(&self, job: &Job, machine: &Machine) -> bool {
        let Some(headroom) = self.planning.headroom.get(&machine.id()) else { return true };
        let mut usable = machine.free_resources();
        usable.saturating_sub(headroom);
        job.spec.resources.fits(&usable) || may_use_headroom(job, &self.planning.latency_sensitive_classes)
    }

    /// Whether one more task of this job may be placed on this machine: the job allows the machine, the task fits into
    /// the free resources, and the job's zone constraints hold together with its tasks that are placed already.
    pub(super) fn fits_on(&self, job: &Job, machine: &Machine) -> bool {
        let view = self.planning_view();
        if !view.allows_machine(job, machine.id()) || !job.spec.resources.fits(&machine.free_resources()) {
            return false;
        }
        if !job.spec.spread_over_zones && !job.spec.colocate_in_zone {
            return true;
        }
        let Some(zone) = self.planning.names.zone_index_of(&machine.record.zone) else { return false };
        let tasks_by_zone = view.tasks_by_zone(job);
        if job.spec.colocate_in_zone && tasks_by_zone.keys().any(|other| *other != zone) {
            return false;
        }
        tasks_by_zone.get(&zone).copied().unwrap_or(0) < job.spec.max_tasks_per_zone()
    }

    /// Starts queued tasks on these machines, as far as they fit.
    pub(super) fn start_planned(&mut self, now: Timestamp, machines: &[MachineId], usage: &mut TeamUsage) {
        for id in machines.iter().copied() {
            self.start_from_queue(now, id, usage);
        }
    }

    /// Goes through one machine's queue in order of priority and starts all tasks that fit.
    fn start_from_queue(&mut self, now: Timestamp, id: MachineId, usage: &mut TeamUsage) {
        let mut position = 0;
        let mut reservation = GangReservation::default();
        while let Some(entry) = self.planning.plans.machine(id).and_then(|machine| machine.queue.get(position)).copied()
        {
            match self.queue_action(now, id, &entry, &reservation, usage) {
                QueueAction::StartTask => {
                    self.planning.plans.dequeue_one(id, position);
                    self.start_task(now, id, entry, usage);
                }
                QueueAction::StartGang => self.start_gang(now, entry.job, usage),
                QueueAction::ReserveForGang => {
                    reservation.reserve(&entry, self.planning.plans.common_start(entry.job, now));
                    position += 1;
                }
                QueueAction::Skip => position += 1,
                QueueAction::Block => return,
            }
        }
    }

    /// Decides what to do with an entry of a machine's queue. `reservation` holds the resources reserved for gangs
    /// ahead of the entry.
    fn queue_action(
        &self,
        now: Timestamp,
        id: MachineId,
        entry: &QueueEntry,
        reservation: &GangReservation,
        usage: &TeamUsage,
    ) -> QueueAction {
        let (Some(machine), Some(job)) = (self.machines.get(&id), self.jobs.get(entry.job)) else {
            return QueueAction::Block;
        };
        if !machine.accepts_tasks() {
            return QueueAction::Block;
        }
        if entry.is_gang {
            let may_start = self.gang_may_start(job, now, usage);
            return if may_start { QueueAction::StartGang } else { QueueAction::ReserveForGang };
        }
        let free = machine.free_resources();
        if !reservation.allows(entry, &free, now) {
            QueueAction::Skip
        } else if self.may_start(job, machine, now, usage) {
            QueueAction::StartTask
        } else if entry.resources.fits(&free) || entry.is_service {
            // The task fits, so something other than resources prevents its start; or it is a service, which may wait
            // for resources that other services hold for good. Entries behind it need not wait.
            QueueAction::Skip
        } else {
            QueueAction::Block
        }
    }

    /// Starts one pending task of an entry's job on a machine. Skips tasks of which the machine still holds an earlier
    /// attempt, because a worker refuses a second attempt of the same task.
    pub(super) fn start_task(&mut self, now: Timestamp, id: MachineId, entry: QueueEntry, usage: &mut TeamUsage) {
        let attempt = self.next_attempt();
        let Some(job) = self.jobs.get(entry.job) else { return };
        let Some(machine) = self.machines.get(&id) else { return };
        let holds_task_already = |index: &u32| machine.holds_task(TaskId { job: entry.job, index: *index });
        let candidate = job.pending.iter().take(MAX_PENDING_SCANNED).find(|index| !holds_task_already(index));
        let Some(index) = candidate else { return };
        let attempt = AttemptId { attempt, task: TaskId { job: entry.job, index } };
        let predicted_duration = (!entry.is_service).then_some(entry.predicted_duration);
        self.start_attempt(now, id, attempt, predicted_duration, usage);
        self.end_promotion(entry.job);
    }

    /// Ends the promotion of a job once one of its tasks has been started: its remaining tasks are queued at the job's
    /// own priority.
    pub(super) fn end_promotion(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.is_promoted() {
            let own_priority = job.spec.priority;
            self.jobs.promote(id, own_priority);
        }
    }

    /// Places a pending task on a machine under this attempt and requests its start. `predicted_duration` is `None` for
    /// services.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        id: MachineId,
        attempt: AttemptId,
        predicted_duration: Option<Duration>,
        usage: &mut TeamUsage,
    ) {
        let Some(job) = self.jobs.get_mut(attempt.task.job) else { return };
        let Some(machine) = self.machines.get_mut(&id) else { return };
        job.pending.remove(attempt.task.index);
        job.placements.insert(attempt.task.index, jobs::Placement { machine: id, attempt, running: false });
        let predicted_s = predicted_duration.map_or(f64::INFINITY, Duration::as_secs_f64);
        let AttemptId { task, attempt: number } = attempt;
        let (token, accepted_here) = (self.token, job.accepted_by_this_leader);
        debug!(
            "task start requested task={task} attempt={number} machine={id} predicted_s={predicted_s} token={token} \
            accepted_by_this_leader={accepted_here}"
        );
        self.admission.record_start(&TeamClassPair::new(&job.spec.team, &job.spec.class));
        usage.add(&job.spec.team, &job.spec.resources);
        machine.idle_since = None;
        let requested = TaskAttempt::requested(attempt.task, &job.spec, predicted_duration, now);
        machine.attempts.insert(attempt, requested);
        self.planning.plans.set_free(id, machine.free_resources());
        self.command_dispatch.enqueue(id);
        self.planning.changed_machines.insert(id);
        self.planning.replan_needed = true;
    }
}
