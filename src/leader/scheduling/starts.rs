//! Starts: of what is planned where it has room, and of what idle machines take from other plans.

use super::*;
use caperstile_admission::Pair;

impl Leader {
    /// Whether a task of this job may start on this machine at this moment.
    pub(super) fn may_start(
        &self,
        job: &Job,
        machine: &Machine,
        now: Timestamp,
        used: &HashMap<String, Resources>,
    ) -> bool {
        let startable = job.gang.is_none() && self.is_startable(job, now);
        machine.accepts_tasks()
            && startable
            && self.within_quota(used, job, 1)
            && self.fits_on(job, machine)
            && self.leaves_headroom(job, machine)
    }

    /// Whether the machine's room without what is kept ahead is enough for a task of this job, if it must leave that.
    fn leaves_headroom(&self, job: &Job, machine: &Machine) -> bool {
        let Some(kept) = self.planning.headroom.get(&machine.id()) else { return true };
        let mut room = machine.free_resources();
        room.saturating_sub(kept);
        job.spec.resources.fits(&room) || may_use_headroom(job, &self.planning.latency_sensitive_classes)
    }

    /// Whether one more task of this job may be on this machine, given its room and the job's other tasks.
    pub(super) fn fits_on(&self, job: &Job, machine: &Machine) -> bool {
        let parts = self.planning_view();
        if !parts.allows_machine(job, machine.id()) || !job.spec.resources.fits(&machine.free_resources()) {
            return false;
        }
        if job.spec.spread_over_zones || job.spec.colocate_in_zone {
            let Some(zone) = self.planning.names.zone_index_of(&machine.record.zone) else { return false };
            let zones = parts.tasks_by_zone(job);
            if job.spec.colocate_in_zone && zones.keys().any(|z| *z != zone) {
                return false;
            }
            return zones.get(&zone).copied().unwrap_or(0) < job.spec.max_tasks_per_zone();
        }
        true
    }

    /// Starts what has room on the machine that it was planned for.
    pub(super) fn start_planned(&mut self, now: Timestamp, ids: &[MachineId], used: &mut HashMap<String, Resources>) {
        for id in ids.iter().copied() {
            let mut at = 0;
            let mut kept = GangReservation::default();
            while let Some(entry) = self.planning.plans.machine(id).and_then(|s| s.queue.get(at)).copied() {
                let (Some(machine), Some(job)) = (self.machines.get(&id), self.jobs.get(entry.job)) else { break };
                if !machine.accepts_tasks() {
                    break;
                }
                if entry.is_gang {
                    if self.gang_may_start(job, now, used) {
                        self.start_gang(now, entry.job, used);
                    } else {
                        kept.reserve(&entry, self.planning.plans.common_start(entry.job, now));
                        at += 1;
                    }
                    continue;
                }
                if !kept.allows(&entry, &machine.free_resources(), now) {
                    at += 1;
                } else if self.may_start(job, machine, now, used) {
                    self.planning.plans.dequeue_one(id, at);
                    self.start_task(now, id, entry, used);
                } else if entry.resources.fits(&machine.free_resources()) || entry.is_service {
                    // Held back by something else than room, or behind room that endless tasks keep.
                    at += 1;
                } else {
                    break;
                }
            }
        }
    }

    pub(super) fn start_task(
        &mut self,
        now: Timestamp,
        id: MachineId,
        entry: QueueEntry,
        used: &mut HashMap<String, Resources>,
    ) {
        let attempt = self.next_attempt();
        let Some(job) = self.jobs.get(entry.job) else { return };
        let Some(machine) = self.machines.get(&id) else { return };
        let known = |index: &u32| machine.holds_task(TaskId { job: entry.job, index: *index });
        let Some(index) = job.pending.iter().take(64).find(|index| !known(index)) else { return };
        let key = AttemptId { attempt, task: TaskId { job: entry.job, index } };
        self.start_attempt(now, id, key, (!entry.is_service).then_some(entry.predicted_duration), used);
        let Some(job) = self.jobs.get(entry.job) else { return };
        let (promoted, rank) = (job.is_promoted(), job.spec.priority);
        if promoted {
            self.jobs.promote(entry.job, rank);
        }
    }

    /// Orders an attempt at a task that is on no machine to start on this one.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        id: MachineId,
        key: AttemptId,
        predicted: Option<Duration>,
        used: &mut HashMap<String, Resources>,
    ) {
        let Some(job) = self.jobs.get_mut(key.task.job) else { return };
        let Some(machine) = self.machines.get_mut(&id) else { return };
        job.pending.remove(key.task.index);
        job.placements.insert(key.task.index, jobs::Placement { machine: id, attempt: key, running: false });
        debug!("start {key} machine={id} predicted={:?}s", predicted.map(Duration::as_secs_f64));
        self.admission.started(&Pair::new(&job.spec.team, &job.spec.class));
        used.entry(job.spec.team.clone()).or_default().add(&job.spec.resources);
        machine.idle_since = None;
        machine.attempts.insert(
            key,
            TaskAttempt {
                task: key.task,
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
                predicted_duration: predicted,
                in_gang: job.gang.is_some(),
            },
        );
        self.planning.plans.set_free(id, machine.free_resources());
        self.command_dispatch.waiting.insert(id);
        self.planning.changed_machines.insert(id);
        self.planning.replan_needed = true;
    }

    /// Machines with nothing planned take the highest-priority fitting task from other plans.
    pub(super) fn steal_work(&mut self, now: Timestamp, ids: &[MachineId], used: &mut HashMap<String, Resources>) {
        for id in ids.iter().copied() {
            for _ in 0..64 {
                if self.planning.plans.planned_jobs().next().is_none() {
                    return;
                }
                let Some(machine) = self.machines.get(&id).filter(|m| m.accepts_tasks()) else { break };
                let free = machine.free_resources();
                if free.cpus == 0 || self.planning.plans.machine(id).is_none_or(|s| !s.queue.is_empty()) {
                    break;
                }
                let mut plans = std::mem::take(&mut self.planning.plans);
                plans.set_free(id, free);
                let parts = self.planning_view();
                let taken = plans.steal_for(id, &|entry, me| {
                    let job = self.jobs.get(entry.job)?;
                    if !self.may_start(job, machine, now, used) {
                        return None;
                    }
                    parts.job_profile(job).predicted_duration(me)
                });
                self.planning.plans = plans;
                let Some(entry) = taken else { break };
                self.planning.plans.clear_queue(id);
                self.start_task(now, id, entry, used);
            }
        }
    }
}

/// Room of a machine that is kept for gangs that are ahead in its queue and wait for room elsewhere.
#[derive(Debug, Default)]
struct GangReservation {
    resources: Resources,
    /// When the first of them is predicted to need it.
    needed_at: Option<Timestamp>,
}

impl GangReservation {
    /// Keeps room for a gang's tasks from its common start on; nothing for one that is not known to start.
    fn reserve(&mut self, entry: &QueueEntry, start: Option<Timestamp>) {
        let Some(start) = start else { return };
        for _ in 0..entry.count {
            self.resources.add(&entry.resources);
        }
        self.needed_at = Some(self.needed_at.map_or(start, |from| from.min(start)));
    }

    /// Whether a task that is behind them in the queue may start now: beside what is kept, or because it is predicted to be over
    /// before that is needed. So kept room does not lie idle while a gang waits long, and no gang is starved by short tasks.
    fn allows(&self, entry: &QueueEntry, free: &Resources, now: Timestamp) -> bool {
        let Some(from) = self.needed_at else { return true };
        let mut left = *free;
        left.saturating_sub(&self.resources);
        entry.resources.fits(&left) || (!entry.is_service && now + entry.predicted_duration <= from)
    }
}
