//! The provisioning solver: which instances to rent for tasks without a machine. The cheapest per task, spread over zones.

use crate::cloud::InstancePool;
use crate::jobs;
use crate::types::{JobId, Resources};
use crate::wire::MachineType;
use std::collections::BTreeMap;

/// Most instances that one run of the solver plans; each later demand adds one at the most.
const MAX_PLANNED_INSTANCES: usize = 400;
/// Costs are compared as whole millionths of the price unit.
const COST_PRECISION: f64 = 1e6;

/// Alike tasks that wait for machines.
#[derive(Debug, Clone)]
pub(crate) struct MachineDemand {
    /// The job of these tasks, or one like those that are expected.
    pub(crate) job: JobId,
    /// What each task takes.
    pub(crate) resources: Resources,
    /// How many tasks.
    pub(crate) count: u32,
    /// Whether spot machines may be rented for it.
    pub(crate) allows_spot: bool,
    /// Whether on-demand machines may be rented for it.
    pub(crate) allows_on_demand: bool,
    /// Allowed machine types; all if none is named.
    pub(crate) machine_types: Option<Vec<String>>,
    /// The only allowed zone, if there is one.
    pub(crate) zone: Option<String>,
    /// Most of the tasks in one zone.
    pub(crate) max_per_zone: u32,
    /// Whether all tasks must be in the same zone.
    pub(crate) colocate_in_zone: bool,
}

impl MachineDemand {
    fn allows(&self, pool: &InstancePool) -> bool {
        let allows_kind = if pool.spot { self.allows_spot } else { self.allows_on_demand };
        allows_kind
            && self.zone.as_ref().is_none_or(|zone| *zone == pool.zone)
            && self.machine_types.as_ref().is_none_or(|names| names.contains(&pool.machine_type))
    }

    /// Whether tasks of the other demand may share machines with these in any number.
    fn is_alike(&self, other: &MachineDemand) -> bool {
        self.resources == other.resources
            && self.allows_spot == other.allows_spot
            && self.allows_on_demand == other.allows_on_demand
            && self.machine_types == other.machine_types
            && self.zone == other.zone
    }
}

/// CPUs (in thousandths) of the machines that there are, by zone and kind: zones with fewer are preferred at the same cost.
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

/// What the solver may choose from.
pub(super) struct Offers<'a> {
    /// All machine types of the cloud.
    pub(super) machine_types: &'a [MachineType],
    /// Whether nothing is to be rented in a pool now.
    pub(super) is_avoided: &'a dyn Fn(&InstancePool) -> bool,
}

/// How many instances of each pool to rent, so that all demands find room as far as the offers allow.
pub(super) fn instances_for(
    demands: &[MachineDemand],
    offers: &Offers<'_>,
    supply: CpuSupply,
) -> BTreeMap<InstancePool, u32> {
    let mut plan = ProvisioningPlan { instances: Vec::new(), supply };
    for (index, demand) in demands.iter().enumerate() {
        let later = &demands[index + 1..];
        plan.add_demand(demand, later, offers);
    }
    plan.counts()
}

/// An instance that is to be rented.
struct PlannedInstance {
    pool: InstancePool,
    /// What the tasks that it is planned for leave over.
    free: Resources,
}

/// What is left of a demand, and where the rest of it is planned.
struct UnmetDemand<'a> {
    demand: &'a MachineDemand,
    remaining: u32,
    planned_per_zone: BTreeMap<String, u32>,
    /// The zone of tasks that must be in the same one, once it is chosen.
    colocation_zone: Option<String>,
}

impl UnmetDemand<'_> {
    /// How many more tasks may be planned in a zone.
    fn zone_allowance(&self, zone: &str) -> u32 {
        let planned = self.planned_per_zone.get(zone).copied().unwrap_or(0);
        self.demand.max_per_zone.saturating_sub(planned)
    }

    fn note_planned(&mut self, zone: &str, tasks: u32) {
        self.remaining -= tasks;
        *self.planned_per_zone.entry(zone.to_string()).or_insert(0) += tasks;
    }
}

/// An instance that might be rented for a demand.
struct Candidate {
    pool: InstancePool,
    capacity: Resources,
    /// Tasks of the demand that it would take.
    tasks: u32,
    cost_per_task: u64,
    /// What there is already of its kind in its zone.
    supplied_cpus: u64,
}

/// Instances chosen so far.
struct ProvisioningPlan {
    instances: Vec<PlannedInstance>,
    supply: CpuSupply,
}

impl ProvisioningPlan {
    fn add_demand(&mut self, demand: &MachineDemand, later: &[MachineDemand], offers: &Offers<'_>) {
        // Tasks that must be together take what is planned already only where it has room for all of them.
        let colocation_zone = if demand.colocate_in_zone { self.zone_with_room_for(demand) } else { None };
        let planned_per_zone = BTreeMap::new();
        let mut unmet = UnmetDemand { demand, remaining: demand.count, planned_per_zone, colocation_zone };
        self.fill_planned_instances(&mut unmet);
        // What an instance costs per task is asked for the whole class: three replicas of one service do
        // not fill a large machine, but those of the next ones do.
        let alike_later: u32 = later.iter().filter(|other| demand.is_alike(other)).map(|other| other.count).sum();
        while unmet.remaining > 0 {
            let Some(cheapest) = self.cheapest_candidate(&unmet, alike_later, offers) else { break };
            self.add_instance(cheapest, &mut unmet);
            if self.instances.len() >= MAX_PLANNED_INSTANCES {
                break;
            }
        }
    }

    /// A zone in which what is planned already has room for all tasks of a demand.
    fn zone_with_room_for(&self, demand: &MachineDemand) -> Option<String> {
        let mut room_by_zone: BTreeMap<&str, u64> = BTreeMap::new();
        for instance in self.instances.iter().filter(|instance| demand.allows(&instance.pool)) {
            *room_by_zone.entry(&instance.pool.zone).or_default() += demand.resources.count_fitting(&instance.free);
        }
        let mut zones = room_by_zone.into_iter();
        zones.find(|(_, room)| *room >= u64::from(demand.count)).map(|(zone, _)| zone.to_string())
    }

    /// Plans tasks on instances that are chosen already.
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

    /// The candidate with the lowest cost per task; at the same cost, the one in the zone with the least supply.
    fn cheapest_candidate(&self, unmet: &UnmetDemand<'_>, alike_later: u32, offers: &Offers<'_>) -> Option<Candidate> {
        let offered = offers.machine_types.iter();
        let offered = offered.flat_map(|machine_type| machine_type.zones.iter().map(move |zone| (machine_type, zone)));
        let offered = offered.flat_map(|(machine_type, zone)| [true, false].map(|spot| (machine_type, zone, spot)));
        let candidates = offered
            .filter_map(|(machine_type, zone, spot)| self.candidate(machine_type, zone, spot, unmet, alike_later))
            .filter(|candidate| !(offers.is_avoided)(&candidate.pool));
        candidates.min_by_key(|candidate| (candidate.cost_per_task, candidate.supplied_cpus))
    }

    /// One instance as a candidate, if the demand allows it and it would take one of its tasks.
    fn candidate(
        &self,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        unmet: &UnmetDemand<'_>,
        alike_later: u32,
    ) -> Option<Candidate> {
        let capacity = jobs::capacity(machine_type);
        let fitting = unmet.demand.resources.count_fitting(&capacity).min(u64::from(u32::MAX)) as u32;
        let tasks = fitting.min(unmet.remaining).min(unmet.zone_allowance(zone));
        let elsewhere = unmet.colocation_zone.as_ref().is_some_and(|only| only != zone);
        if tasks == 0 || elsewhere {
            return None;
        }
        let pool = InstancePool { machine_type: machine_type.name.clone(), zone: zone.to_string(), spot };
        if !unmet.demand.allows(&pool) {
            return None;
        }
        let price = if spot { machine_type.spot_price_per_hour } else { machine_type.price_per_hour };
        let tasks_of_class = fitting.min(unmet.remaining + alike_later);
        Some(Candidate {
            pool,
            capacity,
            tasks,
            cost_per_task: (price / f64::from(tasks_of_class) * COST_PRECISION) as u64,
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
