//! Starts: of what is planned where it has room, and of what idle machines take from other plans.

use super::*;

impl Term {
    /// Whether a task of this job may start on this machine at this moment.
    pub(super) fn may_start(&self, job: &Job, machine: &Machine, now: Time, used: &HashMap<String, Room>) -> bool {
        if !machine.usable() || !self.startable(job, now) || !self.within_limit(used, job, 1) {
            return false;
        }
        let parts = self.parts();
        if !parts.allowed(job, machine.id()) || !job.record.need.fits(&machine.free()) {
            return false;
        }
        if job.record.spread || job.record.together {
            let Some(zone) = self.names.zone(&machine.record.zone) else { return false };
            let zones = parts.by_zone(job);
            if job.record.together && zones.keys().any(|z| *z != zone) {
                return false;
            }
            return zones.get(&zone).copied().unwrap_or(0) < job.record.zone_cap();
        }
        true
    }

    /// Starts what has room on the machine that it was planned for.
    pub(super) fn start_planned(&mut self, now: Time, ids: &[MachineId], used: &mut HashMap<String, Room>) {
        for id in ids.iter().copied() {
            let mut at = 0;
            while let Some(entry) = self.plans.server(id).and_then(|s| s.queue.get(at)).copied() {
                let (Some(machine), Some(job)) = (self.machines.get(&id), self.book.get(entry.job)) else { break };
                if !machine.usable() {
                    break;
                }
                if self.may_start(job, machine, now, used) {
                    self.plans.take(id, at);
                    self.start_task(now, id, entry, used);
                } else if entry.need.fits(&machine.free()) || entry.endless {
                    // Held back by something else than room, or behind room that endless tasks keep.
                    at += 1;
                } else {
                    break;
                }
            }
        }
    }

    pub(super) fn start_task(&mut self, now: Time, id: MachineId, entry: Entry, used: &mut HashMap<String, Room>) {
        let attempt = self.next_attempt();
        let Some(job) = self.book.get_mut(entry.job) else { return };
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(index) = job.pending.iter().take(64).find(|i| !machine.knows(TaskId { job: entry.job, index: *i }))
        else {
            return;
        };
        job.pending.remove(index);
        job.placed.insert(index, intake::Placed { machine: id, attempt, running: false });
        let task = TaskId { job: entry.job, index };
        debug!("start {task} attempt={attempt} machine={id} predicted={}s", entry.run.as_secs());
        used.entry(job.record.team.clone()).or_default().add(&entry.need);
        machine.idle_since = None;
        machine.holds.insert(
            attempt,
            Hold {
                task,
                phase: Phase::Ordered,
                seen: false,
                doubt: Doubt::None,
                stop: None,
                start_sent: false,
                stop_sent: false,
                direct: false,
                ended: now,
                reapable: false,
                claimed: true,
                need: entry.need,
                rank: job.record.rank,
                image: job.record.image.clone(),
                since: now,
                running_since: None,
                predicted: (!entry.endless).then_some(entry.run),
            },
        );
        let (promoted, rank) = (job.promoted(), job.record.rank);
        self.plans.set_free(id, machine.free());
        if promoted {
            self.book.promote(entry.job, rank);
        }
        self.wanting.insert(id);
        self.changed.insert(id);
        self.dirty = true;
    }

    /// Machines with nothing planned take the highest-priority fitting task from other plans.
    pub(super) fn steal(&mut self, now: Time, ids: &[MachineId], used: &mut HashMap<String, Room>) {
        for id in ids.iter().copied() {
            for _ in 0..64 {
                if self.plans.waiting().next().is_none() {
                    return;
                }
                let Some(machine) = self.machines.get(&id).filter(|m| m.usable()) else { break };
                let free = machine.free();
                if free.cpus == 0 || self.plans.server(id).is_none_or(|s| !s.queue.is_empty()) {
                    break;
                }
                let mut plans = std::mem::take(&mut self.plans);
                plans.set_free(id, free);
                let parts = self.parts();
                let taken = plans.steal(id, &|entry, me| {
                    let job = self.book.get(entry.job)?;
                    if !self.may_start(job, machine, now, used) {
                        return None;
                    }
                    parts.profile_of(job).predict(me)
                });
                self.plans = plans;
                let Some(entry) = taken else { break };
                self.plans.clear_queue(id);
                self.start_task(now, id, entry, used);
            }
        }
    }
}
