//! Zones that may be out of reach: what is rented there while that is not known.

use super::ZONE_AVOIDANCE;
use crate::cloud::InstancePool;
use crate::leader::Leader;
use crate::types::{Duration, Timestamp};
use crate::wire::MachineType;
use std::collections::{BTreeSet, HashMap};

/// Zones without machines are suspicious only while at least so many machines are up in others.
const MIN_MACHINES_ELSEWHERE: usize = 4;
/// For so long after its machines fell silent or did not come up, an empty zone is suspected.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(120);
/// A machine in an empty zone is late after this many boot times and `LATE_MARGIN_S`.
const LATE_BOOT_TIMES: f64 = 1.6;
/// Seconds beyond `LATE_BOOT_TIMES` until a machine in an empty zone is late.
const LATE_MARGIN_S: f64 = 3.0;

impl Leader {
    /// Whether most machines of a zone were seen silent, or not coming up, within this time.
    pub(super) fn zone_unreachable_within(&self, zone: &str, now: Timestamp, span: Duration) -> bool {
        self.zones.unreachable_within(now, zone, span)
    }

    /// Whether a machine is on its way in a zone.
    pub(super) fn has_pending_instance(&self, zone: &str) -> bool {
        self.cloud.pending().any(|(_, instance)| instance.zone == zone)
    }

    /// Notes the zones in which no machine is up while others have several.
    ///
    /// Such a zone looks the emptiest and would get everything that is rented, although it may be cut off;
    /// a new leader cannot know. One machine at a time is rented there; and where machines fell silent or
    /// do not come up, nothing is planned on those on their way.
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

    /// Zones without a machine that is up; none while few machines are up at all.
    fn zones_without_machines(&self, now: Timestamp) -> BTreeSet<String> {
        let overdue = self.settings.deployment.workers.heartbeat_overdue_after();
        let machines = self.machines.values();
        let mut up_by_zone: HashMap<&str, usize> = HashMap::new();
        for machine in machines.filter(|machine| machine.fenced && now.since(machine.last_reached_at) < overdue) {
            *up_by_zone.entry(&machine.record.zone).or_default() += 1;
        }
        if up_by_zone.values().sum::<usize>() < MIN_MACHINES_ELSEWHERE {
            return BTreeSet::new();
        }
        self.cloud.zones().filter(|zone| !up_by_zone.contains_key(zone.as_str())).cloned().collect()
    }

    /// An empty zone in which a machine does not come up counts as unreachable.
    fn note_late_instances(&mut self, now: Timestamp, empty_zones: &BTreeSet<String>) {
        for (_, instance) in self.cloud.pending().filter(|(_, instance)| empty_zones.contains(&instance.zone)) {
            let limit_s = self.cloud.boot_s(&instance.machine_type) * LATE_BOOT_TIMES + LATE_MARGIN_S;
            if now.since(instance.requested_at) > Duration::from_secs_f64(limit_s) {
                self.zones.note_late_instance(now, &instance.zone);
            }
        }
    }

    /// One machine for each suspected zone that has none on its way: it shows whether the zone can be reached.
    pub(super) fn zone_probes(&self, now: Timestamp) -> Vec<InstancePool> {
        let to_probe = self.zones.suspected.iter().filter(|zone| {
            !self.zone_unreachable_within(zone, now, ZONE_AVOIDANCE) && !self.has_pending_instance(zone)
        });
        to_probe.filter_map(|zone| self.cheapest_pool(zone, now)).collect()
    }

    /// The pool of a zone with the cheapest machines, among those that have not refused lately.
    fn cheapest_pool(&self, zone: &str, now: Timestamp) -> Option<InstancePool> {
        let machine_types = self.cloud.machine_types().into_iter().flatten();
        let offered = machine_types.filter(|machine_type| machine_type.zones.iter().any(|other| other == zone));
        let priced = offered.flat_map(|machine_type| priced_pools(machine_type, zone));
        let available = priced.filter(|(_, pool)| !self.cloud.recently_refused(pool, now));
        available.min_by(|(price, _), (other, _)| price.total_cmp(other)).map(|(_, pool)| pool)
    }
}

/// The spot and the on-demand pool of a machine type in a zone, with their prices per hour.
fn priced_pools(machine_type: &MachineType, zone: &str) -> [(f64, InstancePool); 2] {
    let pool = |spot| InstancePool { machine_type: machine_type.name.clone(), zone: zone.to_string(), spot };
    [(machine_type.spot_price_per_hour, pool(true)), (machine_type.price_per_hour, pool(false))]
}
