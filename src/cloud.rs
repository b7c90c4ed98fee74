//! The cloud's machines: requests to scale out and in, instances that are still booting, and the cloud's list.

mod capacity;
mod machine_list;
mod requests;

use crate::settings::CloudLimits;
use crate::types::{Duration, FencingToken, MachineId, Timestamp, TokenBucket};
use crate::wire::{MachineType, ScaleOutRequest};
use capacity::CapacityRefusals;
use log::info;
pub use requests::CloudRequest;
use requests::InFlightRequest;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Most machines that one request rents.
pub const MAX_INSTANCES_PER_REQUEST: u32 = 50;
/// Share of the cloud's rate limit that a leader uses.
const RATE_LIMIT_SHARE: f64 = 0.8;
/// Boot time in seconds of a machine whose type is not known.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// A machine is overdue after this many boot times and `OVERDUE_MARGIN_S`.
const OVERDUE_BOOT_TIMES: f64 = 3.0;
/// Seconds beyond `OVERDUE_BOOT_TIMES` until a machine is overdue.
const OVERDUE_MARGIN_S: f64 = 15.0;

/// Why a machine is released that never sent a heartbeat.
const DID_NOT_COME_UP: &str = "did not come up";

/// The machines of one type in one zone, spot or on-demand: what the cloud rents and refuses as one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstancePool {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot, else on-demand.
    pub spot: bool,
}

impl From<&ScaleOutRequest> for InstancePool {
    fn from(request: &ScaleOutRequest) -> InstancePool {
        InstancePool { machine_type: request.machine_type.clone(), zone: request.zone.clone(), spot: request.spot }
    }
}

impl From<caperstile_disruption::InstancePool> for InstancePool {
    fn from(pool: caperstile_disruption::InstancePool) -> InstancePool {
        InstancePool { machine_type: pool.machine_type, zone: pool.zone, spot: pool.spot }
    }
}

/// The keys of a log line.
impl fmt::Display for InstancePool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "type={} zone={} spot={}", self.machine_type, self.zone, self.spot)
    }
}

/// A machine that was rented and has not sent a heartbeat yet.
#[derive(Debug, Clone)]
pub struct PendingInstance {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot, else on-demand.
    pub spot: bool,
    /// When it was asked for.
    pub requested_at: Timestamp,
}

impl PendingInstance {
    /// One of the machines that a request asked for.
    fn requested(request: &ScaleOutRequest, requested_at: Timestamp) -> PendingInstance {
        PendingInstance {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            requested_at,
        }
    }
}

/// What the leader is to do or to know.
#[derive(Debug)]
pub enum CloudEvent {
    /// Ask the cloud; the number comes back with the response.
    Request(u64, CloudRequest),
    /// These machines were rented.
    MachinesProvisioned(Vec<MachineId>),
    /// These machines are surely gone.
    MachinesReleased(Vec<MachineId>),
    /// The cloud lists this machine as failed.
    MachineFailed(MachineId),
}

/// What a leader knows of the cloud; made anew at each election.
#[derive(Debug)]
pub struct CloudInstances {
    token: FencingToken,
    rate_limit: TokenBucket,
    /// Requests sent, repeats included; the last one's number.
    request_counter: u64,
    /// Requests to scale out that were named.
    scale_out_counter: u64,
    machine_types: Option<Vec<MachineType>>,
    machine_types_at: Timestamp,
    listed_at: Timestamp,
    /// How far the cloud's list may be behind.
    list_lag: Duration,
    in_flight: BTreeMap<u64, InFlightRequest>,
    pending: BTreeMap<MachineId, PendingInstance>,
    /// Machines came to `pending` since `take_new_pending`.
    has_new_pending: bool,
    refusals: CapacityRefusals,
    /// Machines that are to be given back, or whose return is not confirmed.
    releasing: BTreeSet<MachineId>,
    released: BTreeSet<MachineId>,
}

impl CloudInstances {
    /// A new leader's view: it knows nothing yet.
    #[must_use]
    pub fn new(token: FencingToken, now: Timestamp, limits: &CloudLimits) -> CloudInstances {
        let rate_per_s = limits.rps * RATE_LIMIT_SHARE;
        CloudInstances {
            token,
            rate_limit: TokenBucket::new(now, rate_per_s, rate_per_s, limits.rps),
            request_counter: 0,
            scale_out_counter: 0,
            machine_types: None,
            machine_types_at: Timestamp::ZERO,
            listed_at: Timestamp::ZERO,
            list_lag: Duration::from_secs_f64(limits.list_lag_s),
            in_flight: BTreeMap::new(),
            pending: BTreeMap::new(),
            has_new_pending: false,
            refusals: CapacityRefusals::default(),
            releasing: BTreeSet::new(),
            released: BTreeSet::new(),
        }
    }

    /// Machine types, once known.
    #[must_use]
    pub fn machine_types(&self) -> Option<&[MachineType]> {
        self.machine_types.as_deref()
    }

    /// One machine type.
    #[must_use]
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().flatten().find(|machine_type| machine_type.name == name)
    }

    /// Zones of all machine types, once for each type that is offered there.
    pub fn zones(&self) -> impl Iterator<Item = &String> {
        self.machine_types.iter().flatten().flat_map(|machine_type| &machine_type.zones)
    }

    /// Usual boot time of a machine type in seconds.
    #[must_use]
    pub fn boot_s(&self, machine_type: &str) -> f64 {
        self.machine_type(machine_type).map_or(UNKNOWN_BOOT_S, |machine_type| machine_type.boot_s)
    }

    /// Machines on their way, without those that are being released.
    pub fn pending(&self) -> impl Iterator<Item = (&MachineId, &PendingInstance)> {
        self.pending.iter().filter(|(id, _)| !self.releasing.contains(id))
    }

    /// Whether machines came to those on their way since this was asked last.
    pub fn take_new_pending(&mut self) -> bool {
        std::mem::take(&mut self.has_new_pending)
    }

    /// One machine on its way.
    #[must_use]
    pub fn pending_instance(&self, id: MachineId) -> Option<&PendingInstance> {
        self.pending.get(&id)
    }

    /// Whether a machine is surely gone.
    #[must_use]
    pub fn is_released(&self, id: MachineId) -> bool {
        self.released.contains(&id)
    }

    /// Whether a machine is being given back.
    #[must_use]
    pub fn is_releasing(&self, id: MachineId) -> bool {
        self.releasing.contains(&id)
    }

    /// Whether a pool refused to scale out lately and is still avoided.
    #[must_use]
    pub fn recently_refused(&self, pool: &InstancePool, now: Timestamp) -> bool {
        self.refusals.is_avoided(pool, now)
    }

    /// Whether all spot pools refused to scale out lately.
    #[must_use]
    pub fn all_spot_recently_refused(&self, now: Timestamp) -> bool {
        let machine_types = self.machine_types.iter().flatten();
        let mut spot_pools = machine_types.flat_map(|machine_type| {
            machine_type.zones.iter().map(|zone| InstancePool {
                machine_type: machine_type.name.clone(),
                zone: zone.clone(),
                spot: true,
            })
        });
        spot_pools.all(|pool| self.recently_refused(&pool, now))
    }

    /// A machine's worker sent its first heartbeat. Says when the machine was asked for, if that is known.
    pub fn instance_discovered(&mut self, id: MachineId) -> Option<Timestamp> {
        self.pending.remove(&id).map(|instance| instance.requested_at)
    }

    /// Adds a machine that is on its way, one that an earlier leader rented among them.
    pub fn adopt_pending(&mut self, id: MachineId, instance: PendingInstance) {
        self.pending.insert(id, instance);
        self.has_new_pending = true;
    }

    /// A machine is surely gone.
    pub fn instance_released(&mut self, id: MachineId) {
        self.releasing.remove(&id);
        self.pending.remove(&id);
        self.released.insert(id);
    }

    /// Asks for this many machines of a pool, at most `MAX_INSTANCES_PER_REQUEST`.
    pub fn scale_out(&mut self, now: Timestamp, pool: &InstancePool, count: u32, out: &mut Vec<CloudEvent>) {
        self.scale_out_counter += 1;
        let request_name = format!("r-{}-{}", self.token, self.scale_out_counter);
        info!("scale out requested request={request_name} {pool} count={count}");
        let request = ScaleOutRequest {
            request_name,
            machine_type: pool.machine_type.clone(),
            zone: pool.zone.clone(),
            spot: pool.spot,
            count: count.min(MAX_INSTANCES_PER_REQUEST),
        };
        self.send_request(now, CloudRequest::ScaleOut(request), out);
    }

    /// Gives a machine back; final, since the cloud never uses a name again.
    pub fn release(&mut self, id: MachineId, reason: impl fmt::Display) {
        if self.releasing.insert(id) {
            info!("scale in requested machine={id} reason=\"{reason}\"");
        }
    }

    /// Releases machines that should have come up long ago: some never do.
    pub fn release_overdue(&mut self, now: Timestamp) {
        let overdue = self.pending().filter(|(_, instance)| self.is_overdue(instance, now));
        let overdue: Vec<MachineId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.release(id, DID_NOT_COME_UP);
        }
    }

    fn is_overdue(&self, instance: &PendingInstance, now: Timestamp) -> bool {
        let limit_s = self.boot_s(&instance.machine_type) * OVERDUE_BOOT_TIMES + OVERDUE_MARGIN_S;
        now.since(instance.requested_at) > Duration::from_secs_f64(limit_s)
    }
}

#[cfg(test)]
mod tests;
