//! The provisioning solver: chooses which instances to request for tasks without a machine. It prefers the instances
//! with the lowest cost per task and, at equal cost, the zone with the least capacity.

use crate::cloud::InstancePool;
use crate::jobs;
use crate::types::{JobId, Resources};
use crate::wire::MachineType;
use std::collections::BTreeMap;

/// Once one run of the solver has planned this many instances, each further demand adds at most one.
const MAX_PLANNED_INSTANCES: usize = 400;
/// Costs per task are compared as integers, in millionths of the price unit.
const COST_PRECISION: f64 = 1e6;

/// Tasks with the same requirements for which machines are to be provisioned.
#[derive(Debug, Clone)]
pub(crate) struct MachineDemand {
    /// The job of these tasks; for headroom, an earlier job that resembles the expected ones.
    pub(crate) job: JobId,
    /// Resources of each task.
    pub(crate) resources: Resources,
    /// Number of tasks for which the new machines need capacity at the same time. It is lower than the number of
    /// pending tasks if on-demand machines, requested in place of spot machines, are to run several tasks one after
    /// another.
    pub(crate) count: u32,
    /// Whether spot machines may be requested.
    pub(crate) allows_spot: bool,
    /// Whether on-demand machines may be requested.
    pub(crate) allows_on_demand: bool,
    /// Allowed machine types; `None` allows all.
    pub(crate) machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows all.
    pub(crate) zone: Option<String>,
    /// Maximum number of the tasks in one zone.
    pub(crate) max_per_zone: u32,
    /// Whether all tasks must run in the same zone.
    pub(crate) colocate_in_zone: bool,
}

impl MachineDemand {
    fn allows(&self, pool: &InstancePool) -> bool {
        let allows_purchase_model = if pool.spot { self.allows_spot } else { self.allows_on_demand };
        allows_purchase_model
            && self.zone.as_ref().is_none_or(|zone| *zone == pool.zone)
            && self.machine_types.as_ref().is_none_or(|names| names.contains(&pool.machine_type))
    }

    /// Whether the tasks of both demands need the same resources and allow the same pools, so that they can share
    /// machines. Constraints on the distribution over zones (`max_per_zone`, `colocate_in_zone`) are not compared.
    fn has_same_requirements(&self, other: &MachineDemand) -> bool {
        self.resources == other.resources
            && self.allows_spot == other.allows_spot
            && self.allows_on_demand == other.allows_on_demand
            && self.machine_types == other.machine_types
            && self.zone == other.zone
    }
}

/// CPUs (in thousandths) of the existing machines, by zone and purchase model (spot or not). At the same cost the
/// solver prefers zones with fewer CPUs.
#[derive(Debug, Default)]
pub(super) struct CpuSupply {
    by_zone: BTreeMap<(String, bool), u64>,
}

impl CpuSupply {
    /// Adds a machine's CPUs.
    pub(super) fn add(&mut self, zone: &str, spot: bool, cpus: u64) {
        *self.by_zone.entry((zone.to_string(), spot)).or_insert(0) += cpus;
    }

    fn cpus(&self, zone: &str, spot: bool) -> u64 {
        self.by_zone.get(&(zone.to_string(), spot)).copied().unwrap_or(0)
    }
}

/// The machine types and pools from which the solver chooses.
pub(super) struct InstanceOfferings<'a> {
    /// All machine types of the cloud.
    pub(super) machine_types: &'a [MachineType],
    /// Whether no instances may be requested from a pool now.
    pub(super) is_avoided: &'a dyn Fn(&InstancePool) -> bool,
}

/// Returns how many instances of each pool to request so that the demands are met as far as the offerings allow.
pub(super) fn instances_for(
    demands: &[MachineDemand],
    offerings: &InstanceOfferings<'_>,
    supply: CpuSupply,
) -> BTreeMap<InstancePool, u32> {
    let mut plan = ProvisioningPlan { instances: Vec::new(), supply };
    for (index, demand) in demands.iter().enumerate() {
        let later_demands = &demands[index + 1..];
        plan.add_demand(demand, later_demands, offerings);
    }
    plan.counts()
}

/// An instance that is to be requested.
struct PlannedInstance {
    pool: InstancePool,
    /// Resources that the tasks planned on it leave free.
    free: Resources,
}

/// A demand in planning: how many of its tasks remain, and in which zones the others are planned.
struct UnmetDemand<'a> {
    demand: &'a MachineDemand,
    remaining: u32,
    planned_per_zone: BTreeMap<String, u32>,
    /// For tasks that must run in the same zone: that zone, once it is chosen.
    colocation_zone: Option<String>,
}

impl UnmetDemand<'_> {
    /// Returns how many more tasks may be planned in a zone.
    fn zone_allowance(&self, zone: &str) -> u32 {
        let planned = self.planned_per_zone.get(zone).copied().unwrap_or(0);
        self.demand.max_per_zone.saturating_sub(planned)
    }

    fn note_planned(&mut self, zone: &str, tasks: u32) {
        self.remaining -= tasks;
        *self.planned_per_zone.entry(zone.to_string()).or_insert(0) += tasks;
    }
}

/// An instance that could be requested for a demand.
struct Candidate {
    pool: InstancePool,
    capacity: Resources,
    /// Number of tasks of the demand that would be planned on it.
    tasks: u32,
    cost_per_task: u64,
    /// CPUs (in thousandths) that its zone already has with the same purchase model.
    supplied_cpus: u64,
}

/// The instances chosen so far.
struct ProvisioningPlan {
    instances: Vec<PlannedInstance>,
    supply: CpuSupply,
}

impl ProvisioningPlan {
    fn add_demand(
        &mut self,
        demand: &MachineDemand,
        later_demands: &[MachineDemand],
        offerings: &InstanceOfferings<'_>,
    ) {
        // Colocated tasks use the instances planned so far only if these have capacity for all of them in one zone.
        let colocation_zone = if demand.colocate_in_zone { self.zone_with_capacity_for(demand) } else { None };
        let planned_per_zone = BTreeMap::new();
        let mut unmet = UnmetDemand { demand, remaining: demand.count, planned_per_zone, colocation_zone };
        self.fill_planned_instances(&mut unmet);
        // The cost per task is computed over all demands with the same requirements: three replicas of one service do
        // not fill a large machine, but together with those of the following services they do.
        let similar_later_tasks: u32 =
            later_demands.iter().filter(|other| demand.has_same_requirements(other)).map(|other| other.count).sum();
        while unmet.remaining > 0 {
            let Some(cheapest) = self.cheapest_candidate(&unmet, similar_later_tasks, offerings) else { break };
            self.add_instance(cheapest, &mut unmet);
            if self.instances.len() >= MAX_PLANNED_INSTANCES {
                break;
            }
        }
    }

    /// Returns a zone in which the planned instances have capacity for all tasks of a demand.
    fn zone_with_capacity_for(&self, demand: &MachineDemand) -> Option<String> {
        let mut slots_by_zone: BTreeMap<&str, u64> = BTreeMap::new();
        for instance in self.instances.iter().filter(|instance| demand.allows(&instance.pool)) {
            *slots_by_zone.entry(&instance.pool.zone).or_default() += demand.resources.count_fitting(&instance.free);
        }
        let mut zones = slots_by_zone.into_iter();
        zones.find(|(_, slots)| *slots >= u64::from(demand.count)).map(|(zone, _)| zone.to_string())
    }

    /// Plans tasks of a demand on the instances chosen so far.
    fn fill_planned_instances(&mut self, unmet: &mut UnmetDemand<'_>) {
        let demand = unmet.demand;
        for instance in self.instances.iter_mut().filter(|instance| demand.allows(&instance.pool)) {
            let zone = &instance.pool.zone;
            if demand.colocate_in_zone && unmet.colocation_zone.as_ref() != Some(zone) {
                continue;
            }
            while unmet.remaining > 0 && unmet.zone_allowance(zone) > 0 && demand.resources.fits(&instance.free) {
                instance.free.saturating_sub(&demand.resources);
                unmet.note_planned(zone, 1);
            }
        }
    }

    /// Returns the candidate with the lowest cost per task; at the same cost, the one whose zone has the fewest CPUs.
    fn cheapest_candidate(
        &self,
        unmet: &UnmetDemand<'_>,
        similar_later_tasks: u32,
        offerings: &InstanceOfferings<'_>,
    ) -> Option<Candidate> {
        let offered = offerings.machine_types.iter();
        let offered = offered.flat_map(|machine_type| machine_type.zones.iter().map(move |zone| (machine_type, zone)));
        let offered = offered.flat_map(|(machine_type, zone)| [true, false].map(|spot| (machine_type, zone, spot)));
        let candidates = offered
            .filter_map(|(machine_type, zone, spot)| {
                self.candidate(machine_type, zone, spot, unmet, similar_later_tasks)
            })
            .filter(|candidate| !(offerings.is_avoided)(&candidate.pool));
        candidates.min_by_key(|candidate| (candidate.cost_per_task, candidate.supplied_cpus))
    }

    /// Returns an instance as a candidate, if the demand allows its pool and at least one of the tasks fits on it.
    fn candidate(
        &self,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        unmet: &UnmetDemand<'_>,
        similar_later_tasks: u32,
    ) -> Option<Candidate> {
        let capacity = jobs::capacity(machine_type);
        let fitting_tasks = unmet.demand.resources.count_fitting(&capacity).min(u64::from(u32::MAX)) as u32;
        let tasks = fitting_tasks.min(unmet.remaining).min(unmet.zone_allowance(zone));
        let is_other_zone = unmet.colocation_zone.as_ref().is_some_and(|only| only != zone);
        if tasks == 0 || is_other_zone {
            return None;
        }
        let pool = InstancePool { machine_type: machine_type.name.clone(), zone: zone.to_string(), spot };
        if !unmet.demand.allows(&pool) {
            return None;
        }
        let price = if spot { machine_type.spot_price_per_hour } else { machine_type.price_per_hour };
        let similar_tasks = fitting_tasks.min(unmet.remaining + similar_later_tasks);
        Some(Candidate {
            pool,
            capacity,
            tasks,
            cost_per_task: (price / f64::from(similar_tasks) * COST_PRECISION) as u64,
            supplied_cpus: self.supply.cpus(zone, spot),
        })
    }

    fn add_instance(&mut self, chosen: Candidate, unmet: &mut UnmetDemand<'_>) {
        let mut free = chosen.capacity;
        for _ in 0..chosen.tasks {
            free.saturating_sub(&unmet.demand.resources);
        }
        unmet.note_planned(&chosen.pool.zone, chosen.tasks);
        if unmet.demand.colocate_in_zone {
            unmet.colocation_zone = Some(chosen.pool.zone.clone());
        }
        self.supply.add(&chosen.pool.zone, chosen.pool.spot, chosen.capacity.cpus);
        self.instances.push(PlannedInstance { pool: chosen.pool, free });
    }

    fn counts(self) -> BTreeMap<InstancePool, u32> {
        let mut counts = BTreeMap::new();
        for instance in self.instances {
            *counts.entry(instance.pool).or_insert(0) += 1;
        }
        counts
    }
}

#[cfg(test)]
mod tests;
