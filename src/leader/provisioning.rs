//! Provisioning: which instances are rented for tasks that wait, and which machines are emptied and given back.

mod demand;
mod expected_services;
mod headroom;
mod objectives;
mod scale_in;
mod solver;
mod zones;

use crate::cloud::{InstancePool, MAX_INSTANCES_PER_REQUEST};
use crate::effects::Effect;
use crate::jobs;
use crate::leader::Leader;
use crate::types::{Duration, Timestamp, WallClock};
use log::debug;
pub(crate) use solver::MachineDemand;
use solver::{CpuSupply, Offers};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A new leader waits this long before it scales out while machines of earlier leaders are not fenced: what they run
/// is not known before.
const SCALE_OUT_DELAY_AFTER_ELECTION: Duration = Duration::from_secs(3);
/// How long nothing is rented in a zone in which most machines have fallen silent: what is rented there most likely
/// cannot send heartbeats either.
const ZONE_AVOIDANCE: Duration = Duration::from_secs(40);

/// Instances of one pool that are asked for in one request.
struct PlannedRequest {
    pool: InstancePool,
    count: u32,
}

impl Leader {
    /// Rents instances for what waits too long on the machines that there are, and for headroom.
    pub(crate) fn scale_out(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        if !self.may_scale_out(now) {
            return;
        }
        let demands = self.machine_demands(now);
        if demands.is_empty() {
            return;
        }
        log_demands(&demands);
        let counts = self.instances_to_rent(now, &demands);
        let mut events = Vec::new();
        for request in planned_requests(counts).into_iter().take(self.cloud.available_requests()) {
            self.cloud.scale_out(now, &request.pool, request.count, &mut events);
        }
        self.apply_cloud_events(now, wall, events, out);
    }

    fn may_scale_out(&self, now: Timestamp) -> bool {
        let leads_long_enough = now.since(self.leader_since) >= SCALE_OUT_DELAY_AFTER_ELECTION;
        !self.cloud.scale_out_in_flight() && (self.all_machines_fenced() || leads_long_enough)
    }

    /// How many instances of each pool are rented for these demands, and as probes of zones.
    fn instances_to_rent(&self, now: Timestamp, demands: &[MachineDemand]) -> BTreeMap<InstancePool, u32> {
        let offers = Offers {
            machine_types: self.cloud.machine_types().unwrap_or_default(),
            is_avoided: &|pool| self.is_pool_avoided(pool, now),
        };
        let mut counts = solver::instances_for(demands, &offers, self.cpu_supply());
        for (_, count) in counts.iter_mut().filter(|(pool, _)| self.zones.empty.contains(&pool.zone)) {
            *count = 1;
        }
        counts.extend(self.zone_probes(now).into_iter().map(|pool| (pool, 1)));
        counts
    }

    /// Whether nothing is to be rented in a pool now, because it refused or its zone may be out of reach.
    fn is_pool_avoided(&self, pool: &InstancePool, now: Timestamp) -> bool {
        self.cloud.recently_refused(pool, now)
            || self.zone_unreachable_within(&pool.zone, now, ZONE_AVOIDANCE)
            || self.zones.suspected.contains(&pool.zone)
            || (self.zones.empty.contains(&pool.zone) && self.has_pending_instance(&pool.zone))
    }

    /// CPUs of the machines that are up or on their way.
    fn cpu_supply(&self) -> CpuSupply {
        let mut supply = CpuSupply::default();
        for machine in self.machines.values() {
            supply.add(&machine.record.zone, machine.record.spot, machine.capacity.cpus);
        }
        for (_, instance) in self.cloud.pending() {
            let machine_type = self.cloud.machine_type(&instance.machine_type);
            let cpus = machine_type.map_or(0, |machine_type| jobs::capacity(machine_type).cpus);
            supply.add(&instance.zone, instance.spot, cpus);
        }
        supply
    }
}

fn log_demands(demands: &[MachineDemand]) {
    for demand in demands {
        debug!(
            "machine demand job={} count={} allows_spot={} allows_on_demand={}",
            demand.job, demand.count, demand.allows_spot, demand.allows_on_demand
        );
    }
}

/// The requests for so many instances of each pool; on-demand ones first, since services have no other place, and then
/// the largest.
fn planned_requests(counts: BTreeMap<InstancePool, u32>) -> Vec<PlannedRequest> {
    let mut requests: Vec<PlannedRequest> = Vec::new();
    for (pool, count) in counts {
        let mut remaining = count;
        while remaining > 0 {
            let part = remaining.min(MAX_INSTANCES_PER_REQUEST);
            requests.push(PlannedRequest { pool: pool.clone(), count: part });
            remaining -= part;
        }
    }
    requests.sort_by_key(|request| (request.pool.spot, Reverse(request.count)));
    requests
}
