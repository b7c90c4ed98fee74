//! Replacement machines, which are provisioned in the same pool before the machines that they replace are drained.

use super::{Coordinator, ReconcileContext};
use crate::drain::Drain;
use crate::effect::Effect;
use crate::fleet::{Fleet, ReplacementSupply};
use crate::instance_pool::InstancePool;
use crate::selection::Candidate;
use caperstile_types::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// Progress of the replacement of machines in one pool, over all running drains that replace machines.
#[derive(Debug, Default)]
struct PoolReplacement {
    /// Number of machines that have used up a replacement: they are being drained or no longer exist.
    consumed: u32,
    /// Number of machines that are still to be drained.
    remaining: u32,
    supply: ReplacementSupply,
}

/// Number of replacements in each pool that are up and not used up by a drained machine.
pub(super) struct ReadyReplacements(BTreeMap<InstancePool, u32>);

impl ReadyReplacements {
    /// Returns the number of ready replacements in each pool.
    pub(super) fn by_pool(&self) -> &BTreeMap<InstancePool, u32> {
        &self.0
    }

    /// Whether a machine needs no replacement or one is ready in its pool.
    pub(super) fn available_for(&self, candidate: &Candidate) -> bool {
        let available = |pool: &InstancePool| self.0.get(pool).is_some_and(|ready| *ready > 0);
        candidate.replacement_pool.as_ref().is_none_or(available)
    }

    /// Uses up a ready replacement for a machine whose drain starts, if the machine needs one.
    pub(super) fn consume(&mut self, candidate: &Candidate) {
        if let Some(ready) = candidate.replacement_pool.as_ref().and_then(|pool| self.0.get_mut(pool)) {
            *ready = ready.saturating_sub(1);
        }
    }
}

impl Coordinator {
    /// Requests the provisioning of the replacements that will be needed next. Returns those that are ready.
    pub(super) fn prepare_replacements(
        &self,
        context: &mut ReconcileContext<'_>,
        draining: &BTreeSet<MachineId>,
        max_machines: u32,
    ) -> ReadyReplacements {
        let replacements = self.pool_replacements(draining, context.fleet);
        self.scale_out_replacements(context, &replacements, max_machines);
        let ready = |replacement: PoolReplacement| replacement.supply.ready.saturating_sub(replacement.consumed);
        ReadyReplacements(replacements.into_iter().map(|(pool, replacement)| (pool, ready(replacement))).collect())
    }

    /// Computes the progress of the replacement in each pool.
    ///
    /// A drained machine counts as consumed only if it was provisioned before the first of these drains was accepted.
    /// A machine that was provisioned later was itself part of the supply and leaves it when it is drained by a later
    /// drain, so counting it as consumed would subtract it twice.
    fn pool_replacements(
        &self,
        draining: &BTreeSet<MachineId>,
        fleet: &dyn Fleet,
    ) -> BTreeMap<InstancePool, PoolReplacement> {
        let replacing: Vec<&Drain> =
            self.drains.values().filter(|drain| drain.is_running() && drain.replaces_machines()).collect();
        let Some(since) = replacing.iter().map(|drain| drain.status.accepted_at).min() else { return BTreeMap::new() };
        let mut pools: BTreeMap<InstancePool, PoolReplacement> = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for (machine, member) in replacing.iter().flat_map(|drain| &drain.members) {
            if !seen.insert(*machine) {
                continue;
            }
            let replacement = pools.entry(member.pool.clone()).or_default();
            if fleet.exists(*machine) && !draining.contains(machine) {
                replacement.remaining += 1;
            } else if member.provisioned_at < since {
                replacement.consumed += 1;
            }
        }
        for (pool, replacement) in &mut pools {
            replacement.supply = fleet.replacement_supply(pool, since, draining);
        }
        pools
    }

    /// Requests the missing replacements: those for drained machines and for up to `max_machines` that are drained
    /// next, minus those that are ready or booting.
    fn scale_out_replacements(
        &self,
        context: &mut ReconcileContext<'_>,
        replacements: &BTreeMap<InstancePool, PoolReplacement>,
        max_machines: u32,
    ) {
        for (pool, replacement) in replacements {
            let desired = replacement.consumed + replacement.remaining.min(max_machines);
            let missing = desired.saturating_sub(replacement.supply.ready + replacement.supply.booting);
            if missing == 0 {
                continue;
            }
            if replacement.supply.recently_refused {
                self.add_pool_wait_reasons(context, pool);
            } else {
                context.effects.push(Effect::ScaleOut { pool: pool.clone(), count: missing });
            }
        }
    }

    fn add_pool_wait_reasons(&self, context: &mut ReconcileContext<'_>, pool: &InstancePool) {
        let needs_pool = |drain: &Drain| {
            drain.is_running() && drain.replaces_machines() && drain.members.values().any(|member| member.pool == *pool)
        };
        for (name, _) in self.drains.iter().filter(|(_, drain)| needs_pool(drain)) {
            context.add_wait_reason(Some(name), format!("the cloud has no {pool}"));
        }
    }
}
