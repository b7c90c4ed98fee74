//! Machine demand for replicas that a drain has to move and for which no machine has capacity.

use super::SpareCapacityPlanner;
use crate::leader::Leader;
use crate::leader::provisioning::MachineDemand;
use crate::types::Timestamp;
use crate::workers::TaskAttempt;
use caperstile_disruption::Coordinator;
use std::collections::BTreeSet;

impl Leader {
    /// Returns the demand for on-demand machines for replicas that a drain has to move, as far as neither running
    /// machines nor booting instances have capacity for them.
    pub(crate) fn replica_demands(&self, now: Timestamp) -> Vec<MachineDemand> {
        let unplaceable =
            self.drain_state.coordinator.as_ref().map(Coordinator::unplaceable_replicas).unwrap_or_default();
        if unplaceable.is_empty() {
            return Vec::new();
        }
        let draining = unplaceable.iter().map(|replica| replica.machine).collect();
        let mut capacity = SpareCapacityPlanner::with_booting(self, &draining);
        let replicas = unplaceable
            .iter()
            .filter_map(|replica| self.machines.get(&replica.machine)?.attempts.get(&replica.attempt));
        let without_capacity = replicas.filter(|replica| !capacity.reserve_all([*replica].into_iter()));
        without_capacity.filter_map(|replica| self.demand_for_replica(now, replica)).collect()
    }

    fn demand_for_replica(&self, now: Timestamp, replica: &TaskAttempt) -> Option<MachineDemand> {
        let spec = &self.jobs.get(replica.task.job)?.spec;
        let zone = self.zone_for_replica(now, replica)?;
        Some(MachineDemand {
            job: spec.id,
            resources: spec.resources,
            count: 1,
            allows_spot: false,
            allows_on_demand: true,
            machine_types: spec.machine_types.clone(),
            zone: Some(zone),
            max_per_zone: u32::MAX,
            colocate_in_zone: false,
        })
    }

    /// Returns the reachable zone, among those that the job allows, with the fewest replicas of the job.
    fn zone_for_replica(&self, now: Timestamp, replica: &TaskAttempt) -> Option<String> {
        let job = self.jobs.get(replica.task.job)?;
        let tasks_by_zone = self.planning_view().tasks_by_zone(job);
        let task_count = |zone: &str| {
            self.planning.names.zone_index_of(zone).and_then(|zone| tasks_by_zone.get(&zone).copied()).unwrap_or(0)
        };
        let machine_types = self.cloud.machine_types().into_iter().flatten();
        let zones: BTreeSet<&String> = machine_types.flat_map(|machine_type| &machine_type.zones).collect();
        let reachable = zones.into_iter().filter(|zone| self.zone_unreachable_since(zone, now).is_none());
        let allowed = reachable.filter(|zone| job.spec.zone.as_ref().is_none_or(|only| only == *zone));
        allowed.min_by_key(|zone| task_count(zone)).cloned()
    }
}
