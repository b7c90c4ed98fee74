//! The leader's state of all drains: their requests and statuses, the machines being drained, and the evictions
//! charged to budgets.
//!
//! Each reconciliation applies the operators' requests, releases the charges of evictions that are complete, evicts
//! the tasks whose charge is durable, and then charges further evictions as far as the budgets allow. A task is
//! stopped no earlier than in the first reconciliation after its charge was written, and only if the budgets still
//! allow it then.

mod charges;
mod consolidation;
mod context;
mod evictions;
mod machine_drain;
mod machine_selection;
mod persistence;
mod replacements;
mod requests;
mod statuses;

use crate::allowance::{Allowances, ChargedTasks, DisruptionState, LastEvictions};
use crate::budget::Policy;
use crate::drain::Drain;
use crate::effect::{Effect, UnplaceableReplica};
use crate::fleet::Fleet;
use crate::instance_pool::InstancePool;
use crate::record_store::{ObservedRequest, RecordStore};
use crate::records::{BudgetCharge, DrainPhase, DrainStatus};
use caperstile_types::{MachineId, Timestamp, WallClock};
use context::ReconcileContext;
use machine_drain::MachineDrain;
use std::collections::{BTreeMap, BTreeSet};

/// Limits on the records that drains may write to the state service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLimits {
    /// Maximum size of a value, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of keys that one transaction may change.
    pub max_operations: usize,
    /// Maximum rate of changed keys, per second.
    pub writes_per_second: f64,
}

/// Coordinates all drains while one controller is leader.
#[derive(Debug)]
pub struct Coordinator {
    policy: Policy,
    store: RecordStore,
    max_value_bytes: usize,
    records_restored: bool,
    drains: BTreeMap<String, Drain>,
    machine_drains: BTreeMap<MachineId, MachineDrain>,
    last_evictions: LastEvictions,
    /// Replicas for which the last reconciliation found no spare capacity on other machines.
    unplaceable: Vec<UnplaceableReplica>,
    statuses_updated_at: Timestamp,
}

impl Coordinator {
    /// Creates the state of a leader that was elected at `now`. It makes no decisions before it has read the durable
    /// records.
    pub fn new(policy: Policy, now: Timestamp, limits: StoreLimits) -> Coordinator {
        Coordinator {
            policy,
            store: RecordStore::new(now, limits.max_operations, limits.writes_per_second),
            max_value_bytes: limits.max_value_bytes,
            records_restored: false,
            drains: BTreeMap::new(),
            machine_drains: BTreeMap::new(),
            last_evictions: LastEvictions::new(now),
            unplaceable: Vec::new(),
            statuses_updated_at: Timestamp::ZERO,
        }
    }

    /// Returns the store of the durable records, which the caller drives by passing time and responses to it.
    pub fn record_store(&mut self) -> &mut RecordStore {
        &mut self.store
    }

    /// Replaces the budgets. Tasks that are already unavailable and evictions that are already charged count against
    /// the new budgets.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Whether operators enabled drains in their settings.
    pub fn enabled(&self) -> bool {
        self.policy.enabled
    }

    /// Whether a reconciliation would do nothing: drains are disabled, or no drain is open, no machine is being
    /// drained, all records are written and all requests are processed.
    pub fn is_idle(&self) -> bool {
        let is_processed = |(name, observed): (&String, &ObservedRequest)| {
            self.drains.get(name).is_some_and(|drain| drain.status.request_revision == observed.revision)
        };
        let any_open = self.drains.values().any(|drain| drain.status.phase.is_open());
        !self.policy.enabled
            || (self.records_restored
                && self.machine_drains.is_empty()
                && self.store.is_reconciled()
                && !any_open
                && self.store.requests().iter().all(is_processed))
    }

    /// Returns the status of a drain, or `None` if no drain has this name.
    pub fn drain_status(&self, name: &str) -> Option<&DrainStatus> {
        self.drains.get(name).map(|drain| &drain.status)
    }

    /// Whether a running drain includes this machine.
    pub fn is_in_running_drain(&self, machine: MachineId) -> bool {
        self.drains.values().any(|drain| drain.is_running() && drain.members.contains_key(&machine))
    }

    /// Returns the replicas that cannot be evicted because no other machine has the capacity for them. The leader
    /// provisions machines for them.
    pub fn unplaceable_replicas(&self) -> &[UnplaceableReplica] {
        &self.unplaceable
    }

    /// Whether a machine counts as a replacement for a running drain and must not be released while idle: it is in the
    /// pool of a drained machine, was provisioned after the drain was accepted, and is not to be drained itself.
    pub fn retains_replacement(&self, machine: MachineId, pool: &InstancePool, provisioned_at: WallClock) -> bool {
        let replaces = |drain: &Drain| {
            drain.is_running()
                && drain.replaces_machines()
                && provisioned_at >= drain.status.accepted_at
                && !drain.members.contains_key(&machine)
                && drain.members.values().any(|member| member.pool == *pool)
        };
        self.drains.values().any(replaces)
    }

    /// Runs one reconciliation and returns the effects that the leader must execute. Call it periodically and after
    /// each write of the record store.
    pub fn reconcile(&mut self, now: Timestamp, wall: WallClock, fleet: &dyn Fleet) -> Vec<Effect> {
        if !self.policy.enabled || !self.store.is_loaded() {
            return Vec::new();
        }
        if !self.records_restored {
            self.restore();
        }
        let mut context = ReconcileContext::new(now, wall, fleet);
        self.process_requests(&context);
        self.release_cancelled(&mut context);
        self.unplaceable.clear();
        if fleet.is_complete() {
            self.release_finished(fleet);
            self.advance_drains(&mut context);
        } else {
            self.add_wait_reason_to_running(
                &mut context,
                "machines that an earlier leader commanded have not answered yet",
            );
        }
        self.cordon_machines(&mut context);
        self.update_statuses(&context);
        self.update_desired_records();
        context.effects
    }

    /// Evicts tasks whose charge is durable, charges further evictions and starts to drain machines, as far as the
    /// budgets allow. Does nothing while a whole zone is unreachable.
    fn advance_drains(&mut self, context: &mut ReconcileContext<'_>) {
        let any_active = self.active_machine_drains().next().is_some() || self.drains.values().any(Drain::is_running);
        if !any_active {
            return;
        }
        if let Some(zone) = context.fleet.unreachable_zone() {
            return self.add_wait_reason_to_running(context, &format!("zone {zone} is out of reach"));
        }
        self.drop_excess_charges(context);
        self.evict_durably_charged(context);
        // Dropped charges and recorded evictions change the allowances, so they are computed again.
        let mut allowances = self.allowances(context);
        self.charge_evictions(context, &mut allowances);
        self.start_machine_drains(context, &mut allowances);
    }

    fn add_wait_reason_to_running(&self, context: &mut ReconcileContext<'_>, reason: &str) {
        for (name, _) in self.drains.iter().filter(|(_, drain)| drain.is_running()) {
            context.add_wait_reason(Some(name), reason.to_string());
        }
    }

    /// Returns the machines from which more tasks are to be evicted.
    fn active_machine_drains(&self) -> impl Iterator<Item = (MachineId, &MachineDrain)> {
        let active = self.machine_drains.iter().filter(|(_, machine_drain)| machine_drain.is_active(&self.drains));
        active.map(|(machine, machine_drain)| (*machine, machine_drain))
    }

    /// Returns the machines that are cordoned because they are being drained.
    fn draining_machines(&self) -> BTreeSet<MachineId> {
        let cordoned = self.machine_drains.iter().filter(|(_, machine_drain)| !machine_drain.uncordoned);
        cordoned.map(|(machine, _)| *machine).collect()
    }

    fn allowances(&self, context: &ReconcileContext<'_>) -> Allowances {
        let charged = |charge: &BudgetCharge| ChargedTasks {
            state: context.fleet.charge_state(charge),
            task_count: charge.task_count,
        };
        let charges: Vec<ChargedTasks> =
            self.machine_drains.values().flat_map(|machine_drain| &machine_drain.charges).map(charged).collect();
        let state = DisruptionState {
            now: context.now,
            wall: context.wall,
            availability: &context.availability,
            charges: &charges,
            last_evictions: &self.last_evictions,
        };
        Allowances::new(&self.policy, &state)
    }

    /// Releases charges of completed evictions, removes the state of machines without charges that no longer exist or
    /// are uncordoned, and marks drains as done when none of their machines exists any more.
    fn release_finished(&mut self, fleet: &dyn Fleet) {
        self.release_charges(fleet);
        self.machine_drains.retain(|machine, machine_drain| {
            !machine_drain.charges.is_empty() || (!machine_drain.uncordoned && fleet.exists(*machine))
        });
        for drain in self.drains.values_mut().filter(|drain| drain.is_running()) {
            if !drain.members.keys().any(|machine| fleet.exists(*machine)) {
                drain.status.phase = DrainPhase::Done;
            }
        }
    }
}
