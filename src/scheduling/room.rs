//! Stops: room for services, and machines that the cloud takes back.

use super::*;

impl Term {
    /// Stops tasks of lower priority where services are planned that would have to wait for room.
    ///
    /// The plan counts such room as free for services, so they are planned where it can be made; those
    /// that lose least work go first.
    pub(super) fn make_room(&mut self, now: Time) {
        let mut stops: Vec<(MachineId, TaskAttempt, JobId)> = Vec::new();
        let pressed: BTreeSet<MachineId> =
            self.plans.waiting().take_while(|(order, ..)| order.rank == 0).flat_map(|(.., at)| at).collect();
        for server in pressed.iter().filter_map(|id| self.plans.server(*id)) {
            let Some(machine) = self.machines.get(&server.id).filter(|m| m.usable()) else { continue };
            let mut free = machine.free();
            for hold in machine.holds.values().filter(|h| h.occupies() && h.stop.is_some()) {
                free.add(&hold.need);
            }
            let mut victims: Option<Vec<(u64, TaskAttempt, Room)>> = None;
            for entry in server.queue.iter().filter(|e| e.endless && e.order.rank == 0) {
                if !self.book.get(entry.job).is_some_and(|job| self.startable(job, now)) {
                    continue;
                }
                for _ in 0..entry.count {
                    let victims = victims.get_or_insert_with(|| self.victims(machine, now));
                    let mut room = free;
                    let enough = victims.iter().position(|(_, _, need)| {
                        let fits = entry.need.fits(&room);
                        room.add(need);
                        fits
                    });
                    let count = match enough {
                        Some(count) => count,
                        None if entry.need.fits(&room) => victims.len(),
                        None => break,
                    };
                    for (_, attempt, need) in victims.drain(..count) {
                        free.add(&need);
                        stops.push((server.id, attempt, entry.job));
                    }
                    free.sub(&entry.need);
                }
            }
        }
        for (id, attempt, job) in stops {
            let Some(machine) = self.machines.get(&id) else { continue };
            if let Some(hold) = machine.holds.get(&attempt) {
                info!("preempted {} machine={id} for={job}", hold.task);
            }
            self.stop(id, attempt, 0.0);
        }
    }

    /// What may be stopped for a service on this machine, with the work it would lose, least first.
    pub(super) fn victims(&self, machine: &Machine, now: Time) -> Vec<(u64, TaskAttempt, Room)> {
        let mut victims: Vec<(u64, TaskAttempt, Room)> = machine
            .holds
            .iter()
            .filter(|(_, h)| pushable(h, 0))
            .map(|(a, h)| {
                let ran = h.running_since.map_or(Span(0), |r| now.since(r));
                let every = self.book.get(h.task.job).map_or(0, |j| j.record.checkpoint.0);
                let lost = if every > 0 { ran.0 % every } else { ran.0 };
                (lost, *a, h.need)
            })
            .collect();
        victims.sort_unstable_by_key(|v| v.0);
        victims
    }

    /// Saves what can be saved on machines that the cloud takes back.
    pub(super) fn drain_noticed(&mut self, now: Time) {
        let slack = Span::secs(self.settings.deployment.workers.report_s * 0.5 + 1.0);
        let mut stops = Vec::new();
        let mut gangs = Vec::new();
        self.noticed.retain(|id| self.machines.contains_key(id));
        for machine in self.noticed.iter().filter_map(|id| self.machines.get(id)) {
            let Some(until) = machine.notice else { continue };
            let left = Span(until.0.saturating_sub(now.0));
            for (key, hold) in machine.holds.iter().filter(|(_, h)| h.claimed && h.occupies() && h.stop.is_none()) {
                let Some(job) = self.book.get(hold.task.job) else { continue };
                let ends = release(hold, now).unwrap_or(Time::NEVER);
                if ends < until {
                    continue;
                }
                let save = job.record.save;
                let grace = if job.record.checkpoint.0 == 0 { Span(0) } else { save };
                if grace.0 > 0 && left > save + slack + Span(500) {
                    continue;
                }
                match job.gang {
                    Some(_) => gangs.push((job.record.id, grace)),
                    None => stops.push((machine.id(), *key, grace)),
                }
            }
        }
        for (id, key, grace) in stops {
            self.stop(id, key, grace.as_secs());
        }
        for (id, grace) in gangs {
            self.stop_gang(id, grace);
        }
    }

    /// Orders an attempt to stop and sees to it that the machine is told.
    pub(crate) fn stop(&mut self, id: MachineId, key: TaskAttempt, grace_s: f64) {
        if self.machines.get_mut(&id).is_some_and(|m| m.stop(key, grace_s)) {
            self.wanting.insert(id);
            self.changed.insert(id);
        }
    }
}
