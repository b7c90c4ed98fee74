//! Starts: of what is planned where it has room.

use super::reservation::GangReservation;
use super::*;
use caperstile_admission::Pair;

/// Pending tasks of a job that are looked through for one that the machine does not hold yet.
const MAX_PENDING_LOOKED_THROUGH: usize = 64;

/// What is done with an entry of a machine's queue.
enum QueueStep {
    StartTask,
    StartGang,
    /// The gang waits for room elsewhere: its room here is reserved.
    ReserveForGang,
    /// What is behind the entry need not wait for it.
    Skip,
    /// What is behind the entry waits for it.
    Wait,
}

impl Leader {
    /// Whether a task of this job may start on this machine at this moment.
    pub(super) fn may_start(&self, job: &Job, machine: &Machine, now: Timestamp, usage: &TeamUsage) -> bool {
        let is_startable = job.gang.is_none() && self.is_startable(job, now);
        machine.accepts_tasks()
            && is_startable
            && self.within_quota(usage, job, 1)
            && self.fits_on(job, machine)
            && self.leaves_headroom(job, machine)
    }

    /// Whether the machine's free resources without its headroom are enough for a task of this job, if it must leave
    /// that.
    fn leaves_headroom(&self, job: &Job, machine: &Machine) -> bool {
        let Some(headroom) = self.planning.headroom.get(&machine.id()) else { return true };
        let mut usable = machine.free_resources();
        usable.saturating_sub(headroom);
        job.spec.resources.fits(&usable) || may_use_headroom(job, &self.planning.latency_sensitive_classes)
    }

    /// Whether one more task of this job may be on this machine, given its free resources and the job's other tasks.
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

    /// Starts what has room on the machine that it was planned for.
    pub(super) fn start_planned(&mut self, now: Timestamp, machines: &[MachineId], usage: &mut TeamUsage) {
        for id in machines.iter().copied() {
            self.start_from_queue(now, id, usage);
        }
    }

    /// Starts what has room of one machine's queue.
    fn start_from_queue(&mut self, now: Timestamp, id: MachineId, usage: &mut TeamUsage) {
        let mut position = 0;
        let mut reservation = GangReservation::default();
        while let Some(entry) = self.planning.plans.machine(id).and_then(|machine| machine.queue.get(position)).copied()
        {
            match self.queue_step(now, id, &entry, &reservation, usage) {
                QueueStep::StartTask => {
                    self.planning.plans.dequeue_one(id, position);
                    self.start_task(now, id, entry, usage);
                }
                QueueStep::StartGang => self.start_gang(now, entry.job, usage),
                QueueStep::ReserveForGang => {
                    reservation.reserve(&entry, self.planning.plans.common_start(entry.job, now));
                    position += 1;
                }
                QueueStep::Skip => position += 1,
                QueueStep::Wait => return,
            }
        }
    }

    /// What is to be done with an entry of a machine's queue, after those before it.
    fn queue_step(
        &self,
        now: Timestamp,
        id: MachineId,
        entry: &QueueEntry,
        reservation: &GangReservation,
        usage: &TeamUsage,
    ) -> QueueStep {
        let (Some(machine), Some(job)) = (self.machines.get(&id), self.jobs.get(entry.job)) else {
            return QueueStep::Wait;
        };
        if !machine.accepts_tasks() {
            return QueueStep::Wait;
        }
        if entry.is_gang {
            let may_start = self.gang_may_start(job, now, usage);
            return if may_start { QueueStep::StartGang } else { QueueStep::ReserveForGang };
        }
        let free = machine.free_resources();
        if !reservation.allows(entry, &free, now) {
            QueueStep::Skip
        } else if self.may_start(job, machine, now, usage) {
            QueueStep::StartTask
        } else if entry.resources.fits(&free) || entry.is_service {
            // Held back by something else than room, or behind room that services keep.
            QueueStep::Skip
        } else {
            QueueStep::Wait
        }
    }

    /// Starts a pending task of an entry's job on a machine.
    pub(super) fn start_task(&mut self, now: Timestamp, id: MachineId, entry: QueueEntry, usage: &mut TeamUsage) {
        let attempt = self.next_attempt();
        let Some(job) = self.jobs.get(entry.job) else { return };
        let Some(machine) = self.machines.get(&id) else { return };
        let is_held = |index: &u32| machine.holds_task(TaskId { job: entry.job, index: *index });
        let candidate = job.pending.iter().take(MAX_PENDING_LOOKED_THROUGH).find(|index| !is_held(index));
        let Some(index) = candidate else { return };
        let attempt = AttemptId { attempt, task: TaskId { job: entry.job, index } };
        let predicted_duration = (!entry.is_service).then_some(entry.predicted_duration);
        self.start_attempt(now, id, attempt, predicted_duration, usage);
        self.end_promotion(entry.job);
    }

    /// Something of a promoted job has begun: the rest of it waits at its own priority again.
    pub(super) fn end_promotion(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.is_promoted() {
            let own_priority = job.spec.priority;
            self.jobs.promote(id, own_priority);
        }
    }

    /// Requests the start of an attempt at a task that is on no machine.
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
        debug!("task start requested task={task} attempt={number} machine={id} predicted_s={predicted_s}");
        self.admission.started(&Pair::new(&job.spec.team, &job.spec.class));
        usage.add(&job.spec.team, &job.spec.resources);
        machine.idle_since = None;
        machine.attempts.insert(
            attempt,
            TaskAttempt {
                task: attempt.task,
                phase: AttemptPhase::StartRequested,
                acknowledged: false,
                start_uncertainty: StartUncertainty::None,
                stop_grace_s: None,
                start_sent: false,
                stop_sent: false,
                started_directly: false,
                ended_at: now,
                forgettable: false,
                assigned: true,
                resources: job.spec.resources,
                priority: job.spec.priority,
                image: job.spec.image.clone(),
                requested_at: now,
                running_since: None,
                predicted_duration,
                in_gang: job.gang.is_some(),
            },
        );
        self.planning.plans.set_free(id, machine.free_resources());
        self.command_dispatch.enqueue(id);
        self.planning.changed_machines.insert(id);
        self.planning.replan_needed = true;
    }
}
