//! What is emptied because its services fit elsewhere, and what is given back because it is idle.

use super::*;

/// Why a machine is drained whose services were moved to others.
const CONSOLIDATED: &str = "its services fit elsewhere";

impl Term {
    /// Empties an ordinary machine whose services fit on others that hold their images: a replica is
    /// moved within a fraction of a second, and an ordinary machine is dear.
    pub(crate) fn consolidate(&mut self, now: Timestamp, wall: WallClock) {
        // A start counts only if the task is not stopped within 30 s.
        const SETTLED: Duration = Duration::from_secs(40);
        let draining = self.machines.values().any(|m| m.draining == Some(CONSOLIDATED))
            || self.drains.as_ref().is_some_and(Coordinator::consolidates);
        if !self.open() || draining || now.since(self.since) < SETTLED || self.inventory.renting() {
            return;
        }
        let boots = self.inventory.flavors().into_iter().flatten().map(|f| f.boot_s).fold(0.0, f64::max);
        let overdue = self.settings.deployment.workers.overdue();
        let mut best: Option<(u64, MachineId)> = None;
        for (id, m) in self.machines.iter().filter(|(_, m)| m.usable() && !m.record.spot && m.in_reach(now, overdue)) {
            let settled = |h: &Hold| h.running_since.is_some_and(|r| now.since(r) > SETTLED) && h.stop.is_none();
            let (services, others): (Vec<&Hold>, Vec<&Hold>) =
                m.holds.values().filter(|h| h.occupies()).partition(|h| h.predicted.is_none());
            if services.is_empty() || !others.is_empty() || !services.iter().all(|h| settled(h)) {
                continue;
            }
            if now.since(m.since) < Duration::from_secs(60)
                || self.plans.server(*id).is_some_and(|s| !s.queue.is_empty())
            {
                continue;
            }
            let price = self.inventory.flavor(&m.record.kind).map_or(0.0, |f| f.price);
            let saving = (price * 1e4) as u64 / (services.len() as u64);
            if best.is_none_or(|(other, _)| saving > other) && self.fits_elsewhere(*id, &services, boots) {
                best = Some((saving, *id));
            }
        }
        let Some((_, id)) = best else { return };
        if self.drains.as_ref().is_some_and(Coordinator::enabled) {
            if self.consolidate_within_budgets(now, wall, id) {
                info!("consolidating machine={id} within the budgets");
            }
            return;
        }
        let Some(m) = self.machines.get_mut(&id) else { return };
        info!("consolidating machine={id} services={}", m.holds.values().filter(|h| h.occupies()).count());
        m.draining = Some(CONSOLIDATED);
        let attempts: Vec<_> = m.holds.iter().filter(|(_, h)| h.occupies()).map(|(a, _)| *a).collect();
        for attempt in attempts {
            self.stop(id, attempt, 0.0);
        }
        self.plans.remove(id);
    }

    /// Whether services of a machine fit into free room of others that hold their images, with room
    /// left for those that are likely to come.
    pub(super) fn fits_elsewhere(&self, from: MachineId, services: &[&Hold], boot_s: f64) -> bool {
        let mut rooms = RoomPlanner::for_consolidation(self, from);
        if !rooms.take_all(services.iter().copied()) {
            return false;
        }
        let Some((job, wanted)) = self.expected_services(boot_s) else { return true };
        rooms.count(job) >= wanted
    }

    /// Gives back what has been idle: a machine costs a minimum that is better used than wasted.
    pub(crate) fn return_idle(&mut self, now: Timestamp) {
        const MINIMUM_CHARGE: Duration = Duration::from_secs(60);
        let overdue = self.settings.deployment.workers.overdue();
        let mut idle = Vec::new();
        for (id, m) in &mut self.machines {
            let busy =
                m.holds.values().any(Hold::occupies) || self.plans.server(*id).is_some_and(|s| !s.queue.is_empty());
            if busy || !m.usable() || !m.in_reach(now, overdue) {
                m.idle_since = None;
                continue;
            }
            let since = *m.idle_since.get_or_insert(now);
            let keep = if m.record.spot { self.settings.tuning.idle_spot } else { self.settings.tuning.idle_ordinary };
            let spare = m.record.spot || !self.headroom.contains_key(id);
            if spare && now.since(since) >= keep && now.since(m.since) >= MINIMUM_CHARGE {
                idle.push(*id);
            }
        }
        idle.retain(|id| !self.is_replacement(*id));
        for id in idle {
            if let Some(m) = self.machines.get_mut(&id) {
                m.draining = Some("idle");
            }
            self.plans.remove(id);
            self.inventory.give_back(id, "idle");
        }
    }
}
