//! Processes the operators' requests: accepts new ones, applies changes, and removes the oldest requests of ended
//! drains.

use super::{Coordinator, ReconcileContext};
use crate::acceptance::{RequestContext, accept_request};
use crate::drain::Drain;
use crate::effect::Effect;
use crate::record_keys::status_key;
use crate::record_store::ObservedRequest;
use crate::records::DrainPhase;

/// Maximum number of ended drains whose requests and statuses are kept.
const MAX_ENDED_DRAINS: usize = 20;

impl Coordinator {
    /// Accepts or refuses new requests and applies changed ones. Cancels drains whose request was removed.
    pub(super) fn process_requests(&mut self, context: &ReconcileContext<'_>) {
        for (name, drain) in &mut self.drains {
            drain.is_durable = self.store.observed(&status_key(name)).is_some();
        }
        let requests = self.store.requests().clone();
        for (name, observed) in &requests {
            self.process_request(context, name, observed);
        }
        for (name, drain) in &mut self.drains {
            // Removing the request cancels the drain.
            if !requests.contains_key(name) && drain.status.phase.is_open() {
                drain.status.phase = DrainPhase::Cancelled;
            }
        }
        self.remove_oldest_ended();
    }

    fn process_request(&mut self, context: &ReconcileContext<'_>, name: &str, observed: &ObservedRequest) {
        match (self.drains.get_mut(name), &observed.request) {
            (Some(drain), _) if drain.status.request_revision == observed.revision => {}
            (Some(drain), Some(request)) => drain.apply_request(request, observed.revision),
            (Some(_), None) => {}
            // A new request is checked against all machines and tasks, which are not fully known yet.
            (None, _) if !context.fleet.is_complete() => {}
            (None, Some(request)) => {
                let request_context = RequestContext {
                    wall: context.wall,
                    fleet: context.fleet,
                    policy: &self.policy,
                    other_drains: &self.drains,
                };
                let drain = accept_request(name, request, observed.revision, &request_context);
                self.drains.insert(name.to_string(), drain);
            }
            (None, None) => {
                self.drains.insert(name.to_string(), Drain::unreadable(observed.revision, context.wall));
            }
        }
    }

    fn remove_oldest_ended(&mut self) {
        let ended = self.drains.iter().filter(|(_, drain)| !drain.status.phase.is_open());
        let mut ended: Vec<(u64, String)> =
            ended.map(|(name, drain)| (drain.status.created_revision, name.clone())).collect();
        ended.sort();
        let excess = ended.len().saturating_sub(MAX_ENDED_DRAINS);
        for (_, name) in ended.into_iter().take(excess) {
            // The request is removed before the status. A request without a status would be accepted again.
            if self.store.requests().contains_key(&name) {
                self.store.remove_request(&name);
            } else {
                self.drains.remove(&name);
            }
        }
    }

    /// Uncordons the machines of drains that have ended before the machines were released, which happens when a drain
    /// is cancelled. If another running drain includes a machine too, that drain takes it over instead.
    pub(super) fn release_cancelled(&mut self, context: &mut ReconcileContext<'_>) {
        for (machine, machine_drain) in &mut self.machine_drains {
            let Some(name) = &machine_drain.drain else { continue };
            if self.drains.get(name).is_some_and(|drain| drain.status.phase.is_open()) {
                continue;
            }
            let another =
                self.drains.iter().find(|(_, drain)| drain.is_running() && drain.members.contains_key(machine));
            match another {
                Some((other, _)) => {
                    machine_drain.drain = Some(other.clone());
                    machine_drain.uncordoned = false;
                }
                None if !machine_drain.uncordoned => {
                    machine_drain.uncordoned = true;
                    context.effects.push(Effect::Uncordon(*machine));
                }
                None => {}
            }
        }
    }
}
