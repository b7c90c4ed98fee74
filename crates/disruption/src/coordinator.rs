//! The leader's state of all drains: what is charged to budgets, which machines are being drained, and what comes next.
//!
//! Each reconciliation releases what has ended, follows the operators, evicts what is charged durably, and charges what the
//! budgets leave. A task is told to stop only in a reconciliation after its charge was written, and only if the budgets still
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

/// What the state service takes from the drains.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLimits {
    /// Longest value in bytes.
    pub max_value_bytes: usize,
    /// Most changes in a transaction.
    pub max_operations: usize,
    /// Changes a second.
    pub writes_per_second: f64,
}

/// State of all drains under one leader.
#[derive(Debug)]
pub struct Coordinator {
    policy: Policy,
    store: RecordStore,
    max_value_bytes: usize,
    records_restored: bool,
    drains: BTreeMap<String, Drain>,
    machine_drains: BTreeMap<MachineId, MachineDrain>,
    last_evictions: LastEvictions,
    /// Replicas for which no room was found in the last reconciliation.
    unplaceable: Vec<UnplaceableReplica>,
    statuses_updated_at: Timestamp,
}

impl Coordinator {
    /// The state of a leader that was just elected; it reads the records before it decides anything.
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

    /// The durable records.
    pub fn record_store(&mut self) -> &mut RecordStore {
        &mut self.store
    }

    /// Replaces the budgets. What is unavailable already counts against them.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Whether drains are carried out at all.
    pub fn enabled(&self) -> bool {
        self.policy.enabled
    }

    /// Whether there is nothing to do in a reconciliation.
    pub fn is_idle(&self) -> bool {
        let followed = |(name, observed): (&String, &ObservedRequest)| {
            self.drains.get(name).is_some_and(|drain| drain.status.request_revision == observed.revision)
        };
        let any_open = self.drains.values().any(|drain| drain.status.phase.is_open());
        !self.policy.enabled
            || (self.records_restored
                && self.machine_drains.is_empty()
                && self.store.is_reconciled()
                && !any_open
                && self.store.requests().iter().all(followed))
    }

    /// The status of a drain.
    pub fn drain_status(&self, name: &str) -> Option<&DrainStatus> {
        self.drains.get(name).map(|drain| &drain.status)
    }

    /// Whether a machine belongs to a drain that runs.
    pub fn is_member(&self, machine: MachineId) -> bool {
        self.drains.values().any(|drain| drain.is_running() && drain.members.contains_key(&machine))
    }

    /// Replicas that wait for room, which is to be rented for them.
    pub fn unplaceable_replicas(&self) -> &[UnplaceableReplica] {
        &self.unplaceable
    }

    /// Whether a machine was rented to replace one of a running drain, so that it is kept although it is idle.
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

    /// Reconciles drains with the fleet once; to be called periodically and after each write of the record store.
    pub fn reconcile(&mut self, now: Timestamp, wall: WallClock, fleet: &dyn Fleet) -> Vec<Effect> {
        if !self.policy.enabled || !self.store.is_loaded() {
            return Vec::new();
        }
        if !self.records_restored {
            self.restore();
        }
        let mut context = ReconcileContext::new(now, wall, fleet);
        self.follow_requests(&context);
        self.release_cancelled(&mut context);
        self.unplaceable.clear();
        if fleet.is_complete() {
            self.release_finished(fleet);
            self.advance(&mut context);
        } else {
            self.note_wait_for_all(&mut context, "machines that an earlier leader commanded have not answered yet");
        }
        self.cordon_machines(&mut context);
        self.update_statuses(&context);
        self.update_desired_records();
        context.effects
    }

    /// Evicts, charges and starts to drain what the budgets allow.
    fn advance(&mut self, context: &mut ReconcileContext<'_>) {
        let any_active = self.active_machine_drains().next().is_some() || self.drains.values().any(Drain::is_running);
        if !any_active {
            return;
        }
        if let Some(zone) = context.fleet.unreachable_zone() {
            return self.note_wait_for_all(context, &format!("zone {zone} is out of reach"));
        }
        self.drop_excess_charges(context);
        self.evict_durably_charged(context);
        // Again, since charges were dropped and evictions recorded.
        let mut allowances = self.allowances(context);
        self.charge_evictions(context, &mut allowances);
        self.start_machine_drains(context, &mut allowances);
    }

    fn note_wait_for_all(&self, context: &mut ReconcileContext<'_>, reason: &str) {
        for (name, _) in self.drains.iter().filter(|(_, drain)| drain.is_running()) {
            context.note_wait(Some(name), reason.to_string());
        }
    }

    /// Machines of which more is to be evicted.
    fn active_machine_drains(&self) -> impl Iterator<Item = (MachineId, &MachineDrain)> {
        let active = self.machine_drains.iter().filter(|(_, machine_drain)| machine_drain.is_active(&self.drains));
        active.map(|(machine, machine_drain)| (*machine, machine_drain))
    }

    /// Machines that take no work because they are being drained.
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

    /// Releases charges, forgets machines that are gone, and ends drains.
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
