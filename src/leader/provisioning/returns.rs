//! What is emptied because its services fit elsewhere, and what is given back because it is idle.

use super::*;

impl Leader {
    /// Empties an ordinary machine whose services fit on others that hold their images: a replica is
    /// moved within a fraction of a second, and an ordinary machine is dear.
    pub(crate) fn consolidate(&mut self, now: Timestamp, wall: WallClock) {
        // A start counts only if the task is not stopped within 30 s.
        const SETTLED: Duration = Duration::from_secs(40);
        let draining = self.machines.values().any(|m| m.draining == Some(DrainReason::Consolidated))
            || self.drain_state.coordinator.as_ref().is_some_and(Coordinator::consolidates);
        if !self.all_machines_fenced()
            || draining
            || now.since(self.leader_since) < SETTLED
            || self.cloud.scale_out_in_flight()
        {
            return;
        }
        let boots = self.cloud.machine_types().into_iter().flatten().map(|f| f.boot_s).fold(0.0, f64::max);
        let overdue = self.settings.deployment.workers.overdue();
        let mut best: Option<(u64, MachineId)> = None;
        for (id, m) in
            self.machines.iter().filter(|(_, m)| m.accepts_tasks() && !m.record.spot && m.reached_within(now, overdue))
        {
            let settled =
                |h: &TaskAttempt| h.running_since.is_some_and(|r| now.since(r) > SETTLED) && h.stop_grace_s.is_none();
            let (services, others): (Vec<&TaskAttempt>, Vec<&TaskAttempt>) =
                m.attempts.values().filter(|h| h.occupies_resources()).partition(|h| h.predicted_duration.is_none());
            if services.is_empty() || !others.is_empty() || !services.iter().all(|h| settled(h)) {
                continue;
            }
            if now.since(m.known_since) < Duration::from_secs(60)
                || self.planning.plans.machine(*id).is_some_and(|s| !s.queue.is_empty())
            {
                continue;
            }
            let price = self.cloud.machine_type(&m.record.machine_type).map_or(0.0, |f| f.price_per_hour);
            let saving = (price * 1e4) as u64 / (services.len() as u64);
            if best.is_none_or(|(other, _)| saving > other) && self.fits_elsewhere(*id, &services, boots) {
                best = Some((saving, *id));
            }
        }
        let Some((_, id)) = best else { return };
        if self.drain_state.coordinator.as_ref().is_some_and(Coordinator::enabled) {
            if self.consolidate_within_budgets(now, wall, id) {
                info!("consolidating machine={id} within the budgets");
            }
            return;
        }
        let Some(m) = self.machines.get_mut(&id) else { return };
        info!("consolidating machine={id} services={}", m.attempts.values().filter(|h| h.occupies_resources()).count());
        m.draining = Some(DrainReason::Consolidated);
        let attempts: Vec<_> = m.attempts.iter().filter(|(_, h)| h.occupies_resources()).map(|(a, _)| *a).collect();
        for attempt in attempts {
            self.stop_attempt(id, attempt, 0.0);
        }
        self.planning.plans.remove_machine(id);
    }

    /// Whether services of a machine fit into free room of others that hold their images, with room
    /// left for those that are likely to come.
    pub(super) fn fits_elsewhere(&self, from: MachineId, services: &[&TaskAttempt], boot_s: f64) -> bool {
        let mut rooms = RoomPlanner::for_consolidation(self, from);
        if !rooms.take_all(services.iter().copied()) {
            return false;
        }
        let Some((job, wanted)) = self.expected_services(boot_s) else { return true };
        rooms.count(job) >= wanted
    }

    /// Gives back what has been idle: a machine costs a minimum that is better used than wasted.
    pub(crate) fn scale_in_idle(&mut self, now: Timestamp) {
        const MINIMUM_CHARGE: Duration = Duration::from_secs(60);
        let overdue = self.settings.deployment.workers.overdue();
        let mut idle = Vec::new();
        for (id, m) in &mut self.machines {
            let busy = m.attempts.values().any(TaskAttempt::occupies_resources)
                || self.planning.plans.machine(*id).is_some_and(|s| !s.queue.is_empty());
            if busy || !m.accepts_tasks() || !m.reached_within(now, overdue) {
                m.idle_since = None;
                continue;
            }
            let since = *m.idle_since.get_or_insert(now);
            let keep = if m.record.spot { self.settings.tuning.idle_spot } else { self.settings.tuning.idle_ordinary };
            let spare = m.record.spot || !self.planning.headroom.contains_key(id);
            if spare && now.since(since) >= keep && now.since(m.known_since) >= MINIMUM_CHARGE {
                idle.push(*id);
            }
        }
        idle.retain(|id| !self.is_replacement(*id));
        for id in idle {
            if let Some(m) = self.machines.get_mut(&id) {
                m.draining = Some(DrainReason::Idle);
            }
            self.planning.plans.remove_machine(id);
            self.cloud.release(id, DrainReason::Idle);
        }
    }
}
