//! What operators ask for, and what they are told.

use super::{Coordinator, Effect, Round};
use crate::drain::Drain;
use crate::records::{Phase, status_key};
use caperstile_types::{Duration, MachineId};

/// Drains that are over and still shown.
const HISTORY: usize = 20;
/// Reasons for waiting that a status names.
const REASONS: usize = 5;
/// A drain's status is written no more often, and less often where there are several.
const STATUS_EVERY: Duration = Duration::from_secs(2);

impl Coordinator {
    /// Takes new requests, and follows those that were changed.
    pub(super) fn follow_requests(&mut self, round: &Round<'_>) {
        for (name, drain) in &mut self.drains {
            drain.durable = self.store.stored(&status_key(name)).is_some();
        }
        let asked = self.store.requests().clone();
        for (name, asked) in &asked {
            match (self.drains.get_mut(name), &asked.request) {
                (Some(drain), _) if drain.status.request == asked.revision => {}
                (Some(drain), Some(request)) => drain.follow(request, asked.revision),
                (Some(_), None) => {}
                // Machines and their tasks must be known.
                (None, _) if !round.fleet.settled() => {}
                (None, Some(request)) => {
                    let drain =
                        Drain::take(name, request, asked.revision, round.wall, round.fleet, &self.policy, &self.drains);
                    self.drains.insert(name.clone(), drain);
                }
                (None, None) => drop(self.drains.insert(name.clone(), Drain::unreadable(asked.revision, round.wall))),
            }
        }
        for (name, drain) in &mut self.drains {
            // Whoever removes a request does not want it any more.
            if !asked.contains_key(name) && drain.status.phase.is_live() {
                drain.status.phase = Phase::Cancelled;
            }
        }
        self.forget_oldest();
    }

    fn forget_oldest(&mut self) {
        let over = self.drains.iter().filter(|(_, drain)| !drain.status.phase.is_live());
        let mut over: Vec<(u64, String)> = over.map(|(name, drain)| (drain.status.created, name.clone())).collect();
        over.sort();
        let excess = over.len().saturating_sub(HISTORY);
        for (_, name) in over.into_iter().take(excess) {
            // Its request goes first: one without a status would be taken anew.
            if self.store.requests().contains_key(&name) {
                self.store.remove_request(&name);
            } else {
                self.drains.remove(&name);
            }
        }
    }

    /// Machines of drains that were called off take work again, unless another drain wants them too.
    pub(super) fn release_cancelled(&mut self, round: &mut Round<'_>) {
        for (id, emptying) in &mut self.emptying {
            let Some(name) = &emptying.drain else { continue };
            if self.drains.get(name).is_some_and(|drain| drain.status.phase.is_live()) {
                continue;
            }
            let another = self.drains.iter().find(|(_, drain)| drain.runs() && drain.members.contains_key(id));
            match another {
                Some((other, _)) => {
                    emptying.drain = Some(other.clone());
                    emptying.released = false;
                }
                None if !emptying.released => {
                    emptying.released = true;
                    round.effects.push(Effect::Uncordon(*id));
                }
                None => {}
            }
        }
    }

    /// Says how each drain stands, not more often than needed.
    pub(super) fn tell(&mut self, round: &Round<'_>) {
        let live = self.drains.values().filter(|drain| drain.status.phase.is_live()).count() as u64;
        if round.now.since(self.told) < STATUS_EVERY * live.max(1) {
            return;
        }
        self.told = round.now;
        let busy = self.busy();
        for (name, drain) in &mut self.drains {
            let mut reasons = round.waits.get(name).cloned().unwrap_or_default();
            reasons.dedup();
            reasons.truncate(REASONS);
            drain.status.waits_for = if drain.runs() { reasons } else { Vec::new() };
            if round.fleet.settled() && drain.status.phase.is_live() {
                let there: Vec<&MachineId> = drain.members.keys().filter(|id| round.fleet.exists(**id)).collect();
                drain.status.emptying = there.iter().filter(|id| busy.contains(**id)).count() as u32;
                drain.status.emptied = (drain.members.len() - there.len()) as u32;
            }
        }
    }
}
