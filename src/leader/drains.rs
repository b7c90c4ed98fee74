//! Drains as this leader runs them: passes a view of the fleet to the drain coordinator, which makes the decisions, and
//! applies the effects that it returns.

mod fleet_view;
mod record_store;
mod replica_demand;
mod spare_capacity;

use crate::cloud::{InstancePool, MAX_INSTANCES_PER_REQUEST};
use crate::effects::{Effect, StoreCaller};
use crate::leader::{InputContext, Leader};
use crate::leadership::StepDownReason;
use crate::settings::Settings;
use crate::store::ServiceResponse;
use crate::types::{MachineId, Timestamp, WallClock};
use crate::workers::{DrainReason, Machine, StopReason};
use caperstile_disruption::record_store::{OutgoingRequest, StoreResponse};
use caperstile_disruption::{self as disruption, Coordinator, Eviction, Policy, StoreLimits};
use fleet_view::{FleetView, pool_of};
use log::info;
pub(crate) use spare_capacity::SpareCapacityPlanner;

/// Share of the state service's write rate limit that drains may use. The write-ahead log uses three quarters,
/// elections need the rest.
const WRITE_RATE_SHARE: f64 = 0.15;
/// Safety margin below the state service's maximum value size, in bytes, as in the write-ahead log.
const VALUE_MARGIN_BYTES: usize = 64;
/// Grace period of an evicted replica: services save no checkpoint, so they are stopped at once.
const REPLICA_GRACE_S: f64 = 0.0;

/// The drain coordinator of a leader and the time of its last round.
pub(super) struct DrainState {
    /// `None` until the operators enable drains for the first time.
    pub(super) coordinator: Option<Coordinator>,
    pub(super) last_round_at: Timestamp,
}

impl DrainState {
    /// Creates the drain state of a newly elected leader.
    pub(super) fn new(settings: &Settings, now: Timestamp) -> DrainState {
        DrainState { coordinator: new_coordinator(settings, now), last_round_at: Timestamp::ZERO }
    }
}

/// Creates the drain coordinator, or returns `None` if the operators have not enabled drains.
fn new_coordinator(settings: &Settings, now: Timestamp) -> Option<Coordinator> {
    if !settings.policy.enabled {
        return None;
    }
    let state = &settings.deployment.state;
    let limits = StoreLimits {
        max_value_bytes: ((state.guaranteed_value_kb() * 1024.0) as usize).saturating_sub(VALUE_MARGIN_BYTES),
        max_operations: state.guaranteed_txn_ops(),
        writes_per_second: state.write_rates().1 * WRITE_RATE_SHARE,
    };
    Some(Coordinator::new(settings.policy.clone(), now, limits))
}

impl Leader {
    /// Returns the drain coordinator; `None` until the operators have enabled drains.
    pub fn drains(&self) -> Option<&Coordinator> {
        self.drain_state.coordinator.as_ref()
    }

    /// Applies a changed disruption policy of the operators, and starts drains if it enables them.
    pub fn set_policy(&mut self, now: Timestamp, policy: Policy) {
        self.settings.policy = policy.clone();
        match &mut self.drain_state.coordinator {
            Some(drains) => drains.set_policy(policy),
            None => self.drain_state.coordinator = new_coordinator(&self.settings, now),
        }
    }

    /// Sends the next due request that reads or writes drain records to the state service.
    pub(crate) fn sync_drain_records(&mut self, now: Timestamp, lease_valid: bool, out: &mut Vec<Effect>) {
        if !lease_valid || !self.is_loaded() {
            return;
        }
        let drains = self.drain_state.coordinator.as_mut().filter(|drains| drains.enabled());
        let request = drains.and_then(|drains| drains.record_store().tick(now));
        self.send_drain_request(request, out);
    }

    fn send_drain_request(&self, request: Option<OutgoingRequest>, out: &mut Vec<Effect>) {
        if let Some(OutgoingRequest { id, request }) = request {
            let request = record_store::service_request(request, self.format(), self.token);
            out.push(Effect::CallStore(StoreCaller::Drains(self.token.0), id, request));
        }
    }

    /// Handles the state service's response to a request for drain records. Steps down if a write failed because the
    /// leader key has changed.
    pub fn handle_drain_store_response(
        &mut self,
        context: InputContext,
        id: u64,
        service_response: &ServiceResponse,
        out: &mut Vec<Effect>,
    ) {
        let InputContext { now, wall, lease_valid } = context;
        let response = record_store::store_response(service_response);
        if response == StoreResponse::Conflict && record_store::leader_key_changed(service_response, self.format()) {
            self.step_down_reason = Some(StepDownReason::LeaderKeyChanged);
            return;
        }
        let Some(drains) = &mut self.drain_state.coordinator else { return };
        let wrote = matches!(response, StoreResponse::Written { .. });
        let next = drains.record_store().handle_response(now, id, response);
        self.send_drain_request(next, out);
        if wrote && lease_valid {
            // Tasks whose budget charges are durable now may be evicted at once instead of in the next round.
            self.run_drain_round(now, wall, out);
            self.flush(now, out);
        }
    }

    /// Runs one reconciliation of the drains and applies its effects. Must be called only while this leader's lease is
    /// valid, so that no other node can have been elected.
    pub(crate) fn run_drain_round(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let Some(mut drains) = self.drain_state.coordinator.take_if(|drains| !drains.is_idle()) else { return };
        let effects = drains.reconcile(now, wall, &FleetView::new(self, now, wall));
        self.drain_state.coordinator = Some(drains);
        for effect in effects {
            self.apply_drain_effect(now, wall, effect, out);
        }
    }

    fn apply_drain_effect(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        effect: disruption::Effect,
        out: &mut Vec<Effect>,
    ) {
        match effect {
            disruption::Effect::Cordon(machine) => self.cordon(machine),
            disruption::Effect::Uncordon(machine) => self.uncordon(machine),
            disruption::Effect::Evict(eviction) => self.evict(eviction),
            disruption::Effect::ScaleOut { pool, count } => self.scale_out_replacements(now, wall, pool, count, out),
        }
    }

    fn evict(&mut self, eviction: Eviction) {
        match eviction {
            Eviction::Task { machine, attempt } => {
                let Some(job) = self.jobs.get(attempt.task.job) else { return };
                let checkpoint_s = job.spec.checkpoint_duration.as_secs_f64();
                let grace_s = if job.spec.is_service { REPLICA_GRACE_S } else { checkpoint_s };
                info!("task evicted task={} attempt={} machine={machine}", attempt.task, attempt.attempt);
                self.stop_attempt(machine, attempt, grace_s, StopReason::Evicted);
            }
            Eviction::Gang(job) => {
                let Some(grace) = self.jobs.get(job).map(|job| job.spec.checkpoint_duration) else { return };
                info!("gang evicted job={job}");
                self.stop_gang(job, grace);
            }
        }
    }

    fn cordon(&mut self, id: MachineId) {
        // The tasks on a machine that has not responded to this leader yet are unknown: it would count as empty and be
        // released.
        let may_cordon = |machine: &&mut Machine| machine.fenced && machine.draining.is_none();
        let Some(machine) = self.machines.get_mut(&id).filter(may_cordon) else { return };
        info!("machine cordoned machine={id}");
        machine.draining = Some(DrainReason::Drained);
        self.planning.plans.remove_machine(id);
        self.planning.changed_machines.insert(id);
    }

    fn uncordon(&mut self, id: MachineId) {
        let releasing = self.cloud.is_releasing(id);
        let may_uncordon = |machine: &&mut Machine| machine.draining == Some(DrainReason::Drained) && !releasing;
        let Some(machine) = self.machines.get_mut(&id).filter(may_uncordon) else { return };
        info!("machine uncordoned machine={id}");
        machine.draining = None;
        self.planning.changed_machines.insert(id);
        self.planning.replan_needed = true;
    }

    fn scale_out_replacements(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        pool: disruption::InstancePool,
        count: u32,
        out: &mut Vec<Effect>,
    ) {
        if self.cloud.scale_out_in_flight() || self.cloud.available_requests() == 0 {
            return;
        }
        let pool = InstancePool::from(pool);
        let mut events = Vec::new();
        self.cloud.scale_out(now, &pool, count.min(MAX_INSTANCES_PER_REQUEST), &mut events);
        self.apply_cloud_events(now, wall, events, out);
    }

    /// Whether a machine is a replacement that is kept because the machine it replaces is still to be drained.
    pub(crate) fn is_retained_replacement(&self, id: MachineId) -> bool {
        let Some(drains) = &self.drain_state.coordinator else { return false };
        let is_retained = |machine: &Machine| {
            drains.retains_replacement(id, &pool_of(&machine.record), machine.record.provisioned_at)
        };
        self.machines.get(&id).is_some_and(is_retained)
    }

    /// Starts to drain a machine whose services fit on others, within the disruption budgets. Returns false if the
    /// machine cannot be drained now.
    pub(crate) fn consolidate_within_budgets(&mut self, now: Timestamp, wall: WallClock, id: MachineId) -> bool {
        let Some(mut drains) = self.drain_state.coordinator.take() else { return false };
        let started = drains.consolidate(now, wall, id, &FleetView::new(self, now, wall));
        self.drain_state.coordinator = Some(drains);
        started
    }
}

#[cfg(test)]
mod tests;
