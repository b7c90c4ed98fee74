//! The leader's view of the cloud: requests to scale out and in, instances that are still booting, and the cloud's list
//! of machines.

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

/// Maximum number of machines that the cloud provisions for one request.
pub const MAX_INSTANCES_PER_REQUEST: u32 = 50;
/// Share of the cloud's request rate limit that a leader uses.
const RATE_LIMIT_SHARE: f64 = 0.8;
/// Assumed boot time in seconds of a machine whose type is not known.
const DEFAULT_BOOT_S: f64 = 60.0;
/// A pending instance is overdue after this many boot times plus `OVERDUE_MARGIN_S`.
const OVERDUE_BOOT_FACTOR: f64 = 3.0;
/// Seconds beyond the boot times of `OVERDUE_BOOT_FACTOR` after which a pending instance is overdue.
const OVERDUE_MARGIN_S: f64 = 15.0;

/// Logged reason for the release of a machine that never sent a heartbeat.
const BOOT_TIMEOUT_REASON: &str = "boot timed out";

/// An instance pool: the machines of one type in one zone, either spot or on-demand. The cloud has or lacks capacity
/// separately for each pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstancePool {
    /// Name of the machine type in the cloud's list of types.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether these are spot machines; on-demand machines otherwise.
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

/// Formats the pool as the fields of a log line.
impl fmt::Display for InstancePool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "type={} zone={} spot={}", self.machine_type, self.zone, self.spot)
    }
}

/// A machine that the cloud has provisioned and that has not sent a heartbeat yet.
#[derive(Debug, Clone)]
pub struct PendingInstance {
    /// Name of the machine type in the cloud's list of types.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether these are spot machines; on-demand machines otherwise.
    pub spot: bool,
    /// When the request for it was sent.
    pub requested_at: Timestamp,
}

impl PendingInstance {
    /// Returns the pending instance for one of the machines that a request has provisioned.
    fn requested(request: &ScaleOutRequest, requested_at: Timestamp) -> PendingInstance {
        PendingInstance {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            requested_at,
        }
    }
}

/// A request that the leader must send to the cloud, or a change that it must handle.
#[derive(Debug)]
pub enum CloudEvent {
    /// Send this request to the cloud and pass its number along with the response to `CloudInstances::handle_response`.
    Request(u64, CloudRequest),
    /// The cloud has provisioned these machines. They are pending instances now.
    MachinesProvisioned(Vec<MachineId>),
    /// The cloud has confirmed the release of these machines.
    MachinesReleased(Vec<MachineId>),
    /// The cloud lists this machine as failed. It will never work again and should be released.
    MachineFailed(MachineId),
}

/// What a leader knows about the cloud's machines and about its own requests to the cloud. Each newly elected leader
/// starts with an empty view.
#[derive(Debug)]
pub struct CloudInstances {
    token: FencingToken,
    rate_limit: TokenBucket,
    /// Number of requests sent, retries included; also the number of the last request.
    request_counter: u64,
    /// Number of scale-out requests; part of their names. A retry keeps its name.
    scale_out_counter: u64,
    machine_types: Option<Vec<MachineType>>,
    machine_types_at: Timestamp,
    listed_at: Timestamp,
    /// Maximum time by which the cloud's list may lag behind its actual state.
    list_lag: Duration,
    in_flight: BTreeMap<u64, InFlightRequest>,
    pending: BTreeMap<MachineId, PendingInstance>,
    /// Whether instances were added to `pending` since the last call of `take_new_pending`.
    has_new_pending: bool,
    refusals: CapacityRefusals,
    /// Machines marked for release whose release the cloud has not confirmed yet.
    releasing: BTreeSet<MachineId>,
    released: BTreeSet<MachineId>,
}

impl CloudInstances {
    /// Creates the view of a leader that was elected at `now` with this fencing token.
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

    /// Returns the machine types; `None` until the cloud has returned them for the first time.
    #[must_use]
    pub fn machine_types(&self) -> Option<&[MachineType]> {
        self.machine_types.as_deref()
    }

    /// Returns the machine type of this name; `None` if the cloud does not offer it or the types are not known yet.
    #[must_use]
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().flatten().find(|machine_type| machine_type.name == name)
    }

    /// Iterates over the zones of all machine types. A zone appears once for each type that is offered in it.
    pub fn zones(&self) -> impl Iterator<Item = &String> {
        self.machine_types.iter().flatten().flat_map(|machine_type| &machine_type.zones)
    }

    /// Returns the usual boot time of a machine type in seconds, or a default if the type is not known.
    #[must_use]
    pub fn boot_s(&self, machine_type: &str) -> f64 {
        self.machine_type(machine_type).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s)
    }

    /// Iterates over the pending instances, without those that are being released.
    pub fn pending(&self) -> impl Iterator<Item = (&MachineId, &PendingInstance)> {
        self.pending.iter().filter(|(id, _)| !self.releasing.contains(id))
    }

    /// Whether pending instances were added since the last call; resets the flag.
    pub fn take_new_pending(&mut self) -> bool {
        std::mem::take(&mut self.has_new_pending)
    }

    /// Returns the pending instance with this id, also if it is being released.
    #[must_use]
    pub fn pending_instance(&self, id: MachineId) -> Option<&PendingInstance> {
        self.pending.get(&id)
    }

    /// Whether the release of a machine is confirmed. Such a machine never comes back.
    #[must_use]
    pub fn is_released(&self, id: MachineId) -> bool {
        self.released.contains(&id)
    }

    /// Whether a machine is marked for release and the cloud has not confirmed the release yet.
    #[must_use]
    pub fn is_releasing(&self, id: MachineId) -> bool {
        self.releasing.contains(&id)
    }

    /// Whether a pool is avoided now because it had too little capacity for a recent request.
    #[must_use]
    pub fn recently_refused(&self, pool: &InstancePool, now: Timestamp) -> bool {
        self.refusals.is_avoided(pool, now)
    }

    /// Whether all spot pools are avoided now because of refused requests.
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

    /// Removes a pending instance whose worker has sent its first heartbeat. Returns when the instance was requested,
    /// or `None` if it was not pending.
    pub fn instance_discovered(&mut self, id: MachineId) -> Option<Timestamp> {
        self.pending.remove(&id).map(|instance| instance.requested_at)
    }

    /// Adds a pending instance, either of this leader or of an earlier one.
    pub fn adopt_pending(&mut self, id: MachineId, instance: PendingInstance) {
        self.pending.insert(id, instance);
        self.has_new_pending = true;
    }

    /// Records that the release of a machine is confirmed.
    pub fn instance_released(&mut self, id: MachineId) {
        self.releasing.remove(&id);
        self.pending.remove(&id);
        self.released.insert(id);
    }

    /// Requests this many machines of a pool, at most `MAX_INSTANCES_PER_REQUEST`.
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

    /// Marks a machine for release; `tick` sends the request. This is final, since the cloud never reuses the name of a
    /// machine.
    pub fn release(&mut self, id: MachineId, reason: impl fmt::Display) {
        if self.releasing.insert(id) {
            info!("scale in requested machine={id} reason=\"{reason}\"");
        }
    }

    /// Releases overdue pending instances, since some instances never boot.
    pub fn release_overdue(&mut self, now: Timestamp) {
        let overdue = self.pending().filter(|(_, instance)| self.is_overdue(instance, now));
        let overdue: Vec<MachineId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.release(id, BOOT_TIMEOUT_REASON);
        }
    }

    fn is_overdue(&self, instance: &PendingInstance, now: Timestamp) -> bool {
        let limit_s = self.boot_s(&instance.machine_type) * OVERDUE_BOOT_FACTOR + OVERDUE_MARGIN_S;
        now.since(instance.requested_at) > Duration::from_secs_f64(limit_s)
    }
}

#[cfg(test)]
mod tests;
