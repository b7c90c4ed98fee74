//! Provisioning: decides which instances to request for pending tasks, and which machines to empty and release.

mod demand;
mod expected_services;
mod headroom;
mod objectives;
mod scale_in;
mod solver;
mod waiting_jobs;
mod zones;

use crate::cloud::{InstancePool, MAX_INSTANCES_PER_REQUEST};
use crate::effects::Effect;
use crate::jobs;
use crate::leader::Leader;
use crate::types::{Duration, Timestamp, WallClock};
use log::debug;
pub(crate) use solver::MachineDemand;
use solver::{CpuSupply, InstanceOfferings};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// While machines of earlier leaders are not fenced, a new leader waits this long after its election before it scales
/// out: until then it does not know which tasks those machines run.
const SCALE_OUT_DELAY_AFTER_ELECTION: Duration = Duration::from_secs(3);
/// No instances are requested in a zone for this long after it was last found unreachable or a pending instance there
/// was last late: new instances there most likely could not send heartbeats either.
const ZONE_AVOIDANCE_PERIOD: Duration = Duration::from_secs(40);

/// One request to the cloud for instances of one pool.
struct PlannedRequest {
    pool: InstancePool,
    count: u32,
}

impl Leader {
    /// Requests instances for tasks that the existing machines would start too late, for headroom and for drains.
    pub(crate) fn scale_out(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        if !self.may_scale_out(now) {
            return;
        }
        self.log_waiting_jobs(now);
        let demands = self.machine_demands(now);
        if demands.is_empty() {
            return;
        }
        log_demands(&demands);
        let counts = self.instances_to_request(now, &demands);
        let mut events = Vec::new();
        for request in planned_requests(counts).into_iter().take(self.cloud.available_requests()) {
            self.cloud.scale_out(now, &request.pool, request.count, &mut events);
        }
        self.apply_cloud_events(now, wall, events, out);
    }

    fn may_scale_out(&self, now: Timestamp) -> bool {
        let delay_elapsed = now.since(self.leader_since) >= SCALE_OUT_DELAY_AFTER_ELECTION;
        !self.cloud.scale_out_in_flight() && (self.all_machines_fenced() || delay_elapsed)
    }

    /// Returns how many instances of each pool to request for these demands and as probes of suspected zones. At most
    /// one at a time is requested per pool in a zone without machines, since the zone may be unreachable.
    fn instances_to_request(&self, now: Timestamp, demands: &[MachineDemand]) -> BTreeMap<InstancePool, u32> {
        let offerings = InstanceOfferings {
            machine_types: self.cloud.machine_types().unwrap_or_default(),
            is_avoided: &|pool| self.is_pool_avoided(pool, now),
        };
        let mut counts = solver::instances_for(demands, &offerings, self.cpu_supply());
        for (_, count) in counts.iter_mut().filter(|(pool, _)| self.zones.empty.contains(&pool.zone)) {
            *count = 1;
        }
        counts.extend(self.zone_probes(now).into_iter().map(|pool| (pool, 1)));
        counts
    }

    /// Whether no instances may be requested from a pool now: the pool refused a recent request, its zone may be
    /// unreachable, or its zone has no machines yet and one instance is already booting there.
    fn is_pool_avoided(&self, pool: &InstancePool, now: Timestamp) -> bool {
        self.cloud.recently_refused(pool, now)
            || self.zone_unreachable_within(&pool.zone, now, ZONE_AVOIDANCE_PERIOD)
            || self.zones.suspected.contains(&pool.zone)
            || (self.zones.empty.contains(&pool.zone) && self.has_pending_instance(&pool.zone))
    }

    /// Returns the CPUs of all registered machines and pending instances.
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

/// Splits the instance counts into requests of at most `MAX_INSTANCES_PER_REQUEST`. The rate limit may allow only the
/// first of them: requests for on-demand instances come first, since services run on nothing else, then larger ones.
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
