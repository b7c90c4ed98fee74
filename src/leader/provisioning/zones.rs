//! Provisioning in zones that may be unreachable: which zones are suspected, and how they are probed.

use super::ZONE_AVOIDANCE_PERIOD;
use crate::cloud::InstancePool;
use crate::leader::Leader;
use crate::types::{Duration, Timestamp};
use crate::wire::MachineType;
use std::collections::{BTreeSet, HashMap};

/// Zones without machines are tracked only while at least this many machines are up in other zones.
const MIN_MACHINES_ELSEWHERE: usize = 4;
/// How long an empty zone stays suspected after its machines were last seen silent or an instance there was last late.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(120);
/// A pending instance in an empty zone is late after this many boot times plus `LATE_MARGIN_S`.
const LATE_BOOT_FACTOR: f64 = 1.6;
/// Seconds beyond the boot times of `LATE_BOOT_FACTOR` after which a pending instance in an empty zone is late.
const LATE_MARGIN_S: f64 = 3.0;

impl Leader {
    /// Whether, within this time, the zone was found unreachable or a pending instance there was late.
    pub(super) fn zone_unreachable_within(&self, zone: &str, now: Timestamp, span: Duration) -> bool {
        self.zones.unreachable_within(now, zone, span)
    }

    /// Whether a zone has a pending instance.
    pub(super) fn has_pending_instance(&self, zone: &str) -> bool {
        self.cloud.pending().any(|(_, instance)| instance.zone == zone)
    }

    /// Updates the zones in which no machine is up while others have several, and which of them are suspected.
    ///
    /// The solver prefers zones with little capacity, so it would request all instances in such a zone, although the
    /// zone may be unreachable: a new leader cannot tell. Therefore instances are requested there one at a time. No
    /// tasks are planned on the pending instances of a suspected zone, whose machines became silent or whose
    /// instances do not finish booting.
    pub(crate) fn update_suspected_zones(&mut self, now: Timestamp) {
        let empty = self.zones_without_machines(now);
        self.note_late_instances(now, &empty);
        let is_suspected = |zone: &&String| self.zone_unreachable_within(zone, now, SUSPICION_TIMEOUT);
        let suspected: BTreeSet<String> = empty.iter().filter(is_suspected).cloned().collect();
        if suspected != self.zones.suspected {
            self.zones.suspected = suspected;
            self.planning.changed_machines.extend(self.cloud.pending().map(|(id, _)| *id));
        }
        self.zones.empty = empty;
    }

    /// Returns the zones without a machine that is up, or no zones while fewer than `MIN_MACHINES_ELSEWHERE` are up.
    fn zones_without_machines(&self, now: Timestamp) -> BTreeSet<String> {
        let overdue_after = self.settings.deployment.workers.heartbeat_overdue_after();
        let machines = self.machines.values();
        let mut up_by_zone: HashMap<&str, usize> = HashMap::new();
        for machine in machines.filter(|machine| machine.fenced && now.since(machine.last_reached_at) < overdue_after) {
            *up_by_zone.entry(&machine.record.zone).or_default() += 1;
        }
        if up_by_zone.values().sum::<usize>() < MIN_MACHINES_ELSEWHERE {
            return BTreeSet::new();
        }
        self.cloud.zones().filter(|zone| !up_by_zone.contains_key(zone.as_str())).cloned().collect()
    }

    /// Records an empty zone as unreachable if an instance that was requested there is late.
    fn note_late_instances(&mut self, now: Timestamp, empty_zones: &BTreeSet<String>) {
        for (_, instance) in self.cloud.pending().filter(|(_, instance)| empty_zones.contains(&instance.zone)) {
            let limit_s = self.cloud.boot_s(&instance.machine_type) * LATE_BOOT_FACTOR + LATE_MARGIN_S;
            if now.since(instance.requested_at) > Duration::from_secs_f64(limit_s) {
                self.zones.note_late_instance(now, &instance.zone);
            }
        }
    }

    /// Returns one instance to request in each suspected zone that has none pending and has not been found unreachable
    /// within `ZONE_AVOIDANCE_PERIOD`. The instance's heartbeats show that the zone is reachable again.
    pub(super) fn zone_probes(&self, now: Timestamp) -> Vec<InstancePool> {
        let to_probe = self.zones.suspected.iter().filter(|zone| {
            !self.zone_unreachable_within(zone, now, ZONE_AVOIDANCE_PERIOD) && !self.has_pending_instance(zone)
        });
        to_probe.filter_map(|zone| self.cheapest_pool(zone, now)).collect()
    }

    /// Returns the pool with the lowest price in a zone, without pools that recently refused a request.
    fn cheapest_pool(&self, zone: &str, now: Timestamp) -> Option<InstancePool> {
        let machine_types = self.cloud.machine_types().into_iter().flatten();
        let offered = machine_types.filter(|machine_type| machine_type.zones.iter().any(|other| other == zone));
        let priced = offered.flat_map(|machine_type| priced_pools(machine_type, zone));
        let available = priced.filter(|(_, pool)| !self.cloud.recently_refused(pool, now));
        available.min_by(|(price, _), (other, _)| price.total_cmp(other)).map(|(_, pool)| pool)
    }
}

/// Returns the spot and the on-demand pool of a machine type in a zone, with their prices per hour.
fn priced_pools(machine_type: &MachineType, zone: &str) -> [(f64, InstancePool); 2] {
    let pool = |spot| InstancePool { machine_type: machine_type.name.clone(), zone: zone.to_string(), spot };
    [(machine_type.spot_price_per_hour, pool(true)), (machine_type.price_per_hour, pool(false))]
}
