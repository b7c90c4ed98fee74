//! Stops: room for services, and machines that the cloud takes back.

use super::*;

/// A task that may be stopped to make room.
#[derive(Debug, Clone, Copy)]
pub(super) struct PreemptionVictim {
    pub(super) attempt: AttemptId,
    pub(super) resources: Resources,
    /// Importance of its job, 0 first.
    pub(super) priority: u8,
    /// The work that it would lose.
    pub(super) lost_work: Duration,
}

/// Room of a machine once everything that was told to stop is gone.
fn room_soon(machine: &Machine) -> Resources {
    let mut free = machine.free_resources();
    for hold in machine.attempts.values().filter(|h| h.occupies_resources() && h.stop_grace_s.is_some()) {
        free.add(&hold.resources);
    }
    free
}

/// How many of these victims, from the first on, have to be stopped so that `need` fits; `None`: all are not enough.
fn victims_needed(need: &Resources, mut free: Resources, victims: &[PreemptionVictim]) -> Option<usize> {
    for (count, victim) in victims.iter().enumerate() {
        if need.fits(&free) {
            return Some(count);
        }
        free.add(&victim.resources);
    }
    need.fits(&free).then_some(victims.len())
}

/// A machine on which room is made.
#[derive(Debug, Clone)]
pub(super) struct PreemptionTrial {
    free: Resources,
    /// What may be stopped, least loss first.
    victims: Vec<PreemptionVictim>,
}

impl PreemptionTrial {
    /// A machine with what may be stopped there.
    pub(super) fn new(machine: &Machine, victims: Vec<PreemptionVictim>) -> PreemptionTrial {
        PreemptionTrial { free: room_soon(machine), victims }
    }

    /// Leaves alone what a job of this rank may not stop.
    pub(super) fn keep_only_below(&mut self, rank: u8) {
        self.victims.retain(|victim| victim.priority > rank);
    }

    /// Takes room for so many tasks; what has to be stopped for it, or `None` if that is not enough.
    pub(super) fn preempt_for(&mut self, need: &Resources, count: u32) -> Option<Vec<AttemptId>> {
        let mut stopped = Vec::new();
        for _ in 0..count {
            let enough = victims_needed(need, self.free, &self.victims)?;
            for victim in self.victims.drain(..enough) {
                self.free.add(&victim.resources);
                stopped.push(victim.attempt);
            }
            self.free.saturating_sub(need);
        }
        Some(stopped)
    }
}

impl Leader {
    /// Stops tasks of lower priority where services are planned that would have to wait for room.
    ///
    /// The plan counts such room as free for services, so they are planned where it can be made; those
    /// that lose least work go first.
    pub(super) fn preempt_for_services(&mut self, now: Timestamp) {
        let mut stops: Vec<(MachineId, AttemptId, JobId)> = Vec::new();
        let pressed: BTreeSet<MachineId> = self
            .planning
            .plans
            .planned_jobs()
            .take_while(|planned| planned.queue_priority().priority == 0)
            .flat_map(|planned| planned.machines())
            .collect();
        for server in pressed.iter().filter_map(|id| self.planning.plans.machine(*id)) {
            let Some(machine) = self.machines.get(&server.id).filter(|m| m.accepts_tasks()) else { continue };
            let mut pressed: Option<PreemptionTrial> = None;
            for entry in server.queue.iter().filter(|e| e.is_service && e.queue_priority.priority == 0) {
                if !self.jobs.get(entry.job).is_some_and(|job| self.is_startable(job, now)) {
                    continue;
                }
                let pressed =
                    pressed.get_or_insert_with(|| PreemptionTrial::new(machine, self.victims(machine, now, 0)));
                for _ in 0..entry.count {
                    let Some(stopped) = pressed.preempt_for(&entry.resources, 1) else { break };
                    stops.extend(stopped.into_iter().map(|key| (server.id, key, entry.job)));
                }
            }
        }
        self.preempt(stops);
    }

    /// Stops tasks to make room for a job.
    pub(super) fn preempt(&mut self, stops: Vec<(MachineId, AttemptId, JobId)>) {
        for (id, key, job) in stops {
            info!("preempted {} machine={id} for={job}", key.task);
            self.stop_attempt(id, key, 0.0);
        }
    }

    /// What may be stopped on this machine for a job of this rank, with the work it would lose, least first.
    pub(super) fn victims(&self, machine: &Machine, now: Timestamp, rank: u8) -> Vec<PreemptionVictim> {
        let mut victims: Vec<PreemptionVictim> = machine
            .attempts
            .iter()
            .filter(|(_, h)| may_be_preempted(h, rank))
            .map(|(key, h)| {
                let ran = h.running_since.map_or(Duration::ZERO, |r| now.since(r));
                let every = self.jobs.get(h.task.job).map_or(0, |j| j.spec.checkpoint_interval.as_millis());
                let lost = if every > 0 { Duration::from_millis(ran.as_millis() % every) } else { ran };
                PreemptionVictim { attempt: *key, resources: h.resources, priority: h.priority, lost_work: lost }
            })
            .collect();
        victims.sort_unstable_by_key(|v| v.lost_work);
        victims
    }

    /// Saves what can be saved on machines that the cloud takes back.
    pub(super) fn drain_reclaimed_machines(&mut self, now: Timestamp) {
        let slack = Duration::from_secs_f64(self.settings.deployment.workers.report_s * 0.5 + 1.0);
        let mut stops = Vec::new();
        let mut gangs = Vec::new();
        self.reclaimed_machines.retain(|id| self.machines.contains_key(id));
        for machine in self.reclaimed_machines.iter().filter_map(|id| self.machines.get(id)) {
            let Some(until) = machine.reclaim_at else { continue };
            let left = until.since(now);
            for (key, hold) in machine
                .attempts
                .iter()
                .filter(|(_, h)| h.assigned && h.occupies_resources() && h.stop_grace_s.is_none())
            {
                let Some(job) = self.jobs.get(hold.task.job) else { continue };
                let ends = predicted_release(hold, now).unwrap_or(Timestamp::NEVER);
                if ends < until {
                    continue;
                }
                let save = job.spec.checkpoint_duration;
                let grace = if job.spec.checkpoint_interval.as_millis() == 0 { Duration::ZERO } else { save };
                if grace.as_millis() > 0 && left > save + slack + Duration::from_millis(500) {
                    continue;
                }
                match job.gang {
                    Some(_) => gangs.push((job.spec.id, grace)),
                    None => stops.push((machine.id(), *key, grace)),
                }
            }
        }
        for (id, key, grace) in stops {
            self.stop_attempt(id, key, grace.as_secs_f64());
        }
        for (id, grace) in gangs {
            self.stop_gang(id, grace);
        }
    }

    /// Orders an attempt to stop and sees to it that the machine is told.
    pub(crate) fn stop_attempt(&mut self, id: MachineId, key: AttemptId, grace_s: f64) {
        if self.machines.get_mut(&id).is_some_and(|m| m.request_stop(key, grace_s)) {
            self.command_dispatch.waiting.insert(id);
            self.planning.changed_machines.insert(id);
        }
    }
}
