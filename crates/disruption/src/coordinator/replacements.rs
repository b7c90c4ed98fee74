//! Replacements: machines of the same pool that are rented before others are drained.

use super::{Coordinator, ReconcileContext};
use crate::drain::Drain;
use crate::effect::Effect;
use crate::fleet::{Fleet, ReplacementSupply};
use crate::instance_pool::InstancePool;
use crate::selection::Candidate;
use caperstile_types::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// How the machines of a pool are being replaced, over all drains that do so.
#[derive(Debug, Default)]
struct PoolReplacement {
    /// Machines to be replaced that are gone or being drained.
    consumed: u32,
    /// Those that are still to come.
    remaining: u32,
    supply: ReplacementSupply,
}

/// Replacements that are up and not counted for a machine yet, by pool.
pub(super) struct ReadyReplacements(BTreeMap<InstancePool, u32>);

impl ReadyReplacements {
    /// How many are ready in each pool.
    pub(super) fn by_pool(&self) -> &BTreeMap<InstancePool, u32> {
        &self.0
    }

    /// Whether a machine may be drained: it needs no replacement, or one is ready.
    pub(super) fn available_for(&self, candidate: &Candidate) -> bool {
        let available = |pool: &InstancePool| self.0.get(pool).is_some_and(|ready| *ready > 0);
        candidate.replacement_pool.as_ref().is_none_or(available)
    }

    /// A machine that starts to be drained takes one of its pool.
    pub(super) fn consume(&mut self, candidate: &Candidate) {
        if let Some(ready) = candidate.replacement_pool.as_ref().and_then(|pool| self.0.get_mut(pool)) {
            *ready = ready.saturating_sub(1);
        }
    }
}

impl Coordinator {
    /// Rents what the next reconciliations need, and returns the replacements that are ready.
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

    /// How far replacing is, by pool.
    ///
    /// Only machines that were there when the first of these drains was accepted need a replacement: one that was rented since,
    /// and is drained by a later drain, takes its own share of the supply along when it goes.
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

    /// Rents ahead what is not booting yet.
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
                self.note_pool_unavailable(context, pool);
            } else {
                context.effects.push(Effect::ScaleOut { pool: pool.clone(), count: missing });
            }
        }
    }

    fn note_pool_unavailable(&self, context: &mut ReconcileContext<'_>, pool: &InstancePool) {
        let needs_pool = |drain: &Drain| {
            drain.is_running() && drain.replaces_machines() && drain.members.values().any(|member| member.pool == *pool)
        };
        for (name, _) in self.drains.iter().filter(|(_, drain)| needs_pool(drain)) {
            context.note_wait(Some(name), format!("the cloud has no {pool}"));
        }
    }
}
