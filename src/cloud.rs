//! Which machines there are: rent, watch, return.

use crate::settings::CloudLimits;
use crate::store::ServiceResponse;
use crate::types::{Duration, FencingToken, JobId, MachineId, Resources, Timestamp, TokenBucket};
use crate::wire::{MachineNames, MachinePage, MachineType, MachineTypes, ScaleOutRequest};
use log::info;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// Machine types and prices.
    MachineTypes,
    /// Rent machines.
    ScaleOut(ScaleOutRequest),
    /// Give machines back.
    ScaleIn(Vec<MachineId>),
    /// List machines after this one.
    ListMachines(Option<String>),
}

/// A machine that was rented and has not reported yet.
#[derive(Debug, Clone)]
pub struct PendingInstance {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// When it was rented.
    pub requested_at: Timestamp,
}

/// What the slice wants done or made known.
#[derive(Debug)]
pub enum CloudEvent {
    /// Ask the cloud; the number comes back with the reply.
    Request(u64, CloudRequest),
    /// These machines were rented.
    MachinesRented(Vec<MachineId>),
    /// These machines are surely gone.
    MachinesGone(Vec<MachineId>),
    /// The cloud lists this machine as failed.
    MachineFailed(MachineId),
}

#[derive(Debug)]
struct InFlight {
    call: CloudRequest,
    sent: Timestamp,
    retry_at: Option<Timestamp>,
}

/// A type, zone and kind of machine.
pub type InstancePool = (String, String, bool);

/// State of the slice; made anew at each election.
#[derive(Debug)]
pub struct CloudInstances {
    token: FencingToken,
    rate_limit: TokenBucket,
    calls: u64,
    requests: u64,
    flavors: Option<Vec<MachineType>>,
    flavors_at: Timestamp,
    listed_at: Timestamp,
    list_lag: Duration,
    in_flight: BTreeMap<u64, InFlight>,
    booting: BTreeMap<MachineId, PendingInstance>,
    /// Machines came to `booting` since `take_news`.
    news: bool,
    /// Places that refused lately, until when, and the last pause.
    refused: HashMap<InstancePool, (Timestamp, Duration)>,
    returning: BTreeSet<MachineId>,
    gone: BTreeSet<MachineId>,
}

/// Share of the cloud's rate limit that a leader uses.
const RATE_SHARE: f64 = 0.8;
/// Calls that are kept for what is urgent.
const RESERVED_CALLS: f64 = 2.0;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const FLAVORS_EVERY: Duration = Duration::from_secs(30);
const LIST_EVERY: Duration = Duration::from_secs(5);
/// Most machines that one request rents.
pub const RENT_LIMIT: u32 = 50;

impl CloudInstances {
    /// A new leader's view: it knows nothing yet.
    pub fn new(token: FencingToken, now: Timestamp, limits: &CloudLimits) -> CloudInstances {
        CloudInstances {
            token,
            rate_limit: TokenBucket::new(now, limits.rps * RATE_SHARE, limits.rps * RATE_SHARE, limits.rps),
            calls: 0,
            requests: 0,
            flavors: None,
            flavors_at: Timestamp::ZERO,
            listed_at: Timestamp::ZERO,
            list_lag: Duration::from_secs_f64(limits.list_lag_s),
            in_flight: BTreeMap::new(),
            booting: BTreeMap::new(),
            news: false,
            refused: HashMap::new(),
            returning: BTreeSet::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Machine types, once known.
    pub fn machine_types(&self) -> Option<&[MachineType]> {
        self.flavors.as_deref()
    }
    /// One machine type.
    pub fn machine_type(&self, kind: &str) -> Option<&MachineType> {
        self.flavors.iter().flatten().find(|f| f.name == kind)
    }
    /// Machines on their way.
    pub fn pending(&self) -> impl Iterator<Item = (&MachineId, &PendingInstance)> {
        self.booting.iter().filter(|(id, _)| !self.returning.contains(id))
    }
    /// Whether there are more machines on their way than when this was asked last.
    pub fn take_new_pending(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }
    /// One machine on its way.
    pub fn pending_instance(&self, id: MachineId) -> Option<&PendingInstance> {
        self.booting.get(&id)
    }
    /// Whether a rental has no answer yet.
    pub fn scale_out_in_flight(&self) -> bool {
        self.in_flight.values().any(|f| matches!(f.call, CloudRequest::ScaleOut(_)))
    }
    /// Whether a machine is surely gone.
    pub fn is_gone(&self, id: MachineId) -> bool {
        self.gone.contains(&id)
    }
    /// Whether a machine is being returned.
    pub fn is_releasing(&self, id: MachineId) -> bool {
        self.returning.contains(&id)
    }
    /// Whether a place refused a rental lately.
    pub fn recently_refused(&self, place: &InstancePool, now: Timestamp) -> bool {
        self.refused.get(place).is_some_and(|(until, _)| now < *until)
    }

    /// Whether all spot machines, wherever they might be, were refused lately.
    pub fn all_spot_recently_refused(&self, now: Timestamp) -> bool {
        let mut places = self.flavors.iter().flatten().flat_map(|f| f.zones.iter().map(move |z| (f, z)));
        places.all(|(f, z)| self.recently_refused(&(f.name.clone(), z.clone(), true), now))
    }
    /// How many calls may be made now, two kept for what is urgent.
    pub fn available_calls(&self) -> usize {
        (self.rate_limit.available() - RESERVED_CALLS).max(1.0) as usize
    }

    /// A machine's worker reported: it is up. Says when it was rented, if that is known.
    pub fn instance_up(&mut self, id: MachineId) -> Option<Timestamp> {
        self.booting.remove(&id).map(|b| b.requested_at)
    }

    /// A machine that an earlier leader rented.
    pub fn adopt_pending(&mut self, id: MachineId, booting: PendingInstance) {
        self.booting.insert(id, booting);
        self.news = true;
    }

    /// A machine that is surely gone.
    pub fn instance_gone(&mut self, id: MachineId) {
        self.returning.remove(&id);
        self.booting.remove(&id);
        self.gone.insert(id);
    }

    /// Rents machines.
    pub fn scale_out(&mut self, now: Timestamp, place: &InstancePool, count: u32, out: &mut Vec<CloudEvent>) {
        self.requests += 1;
        let request = format!("r-{}-{}", self.token, self.requests);
        info!("renting request={request} type={} zone={} spot={} count={count}", place.0, place.1, place.2);
        let call = CloudRequest::ScaleOut(ScaleOutRequest {
            request_name: request,
            machine_type: place.0.clone(),
            zone: place.1.clone(),
            spot: place.2,
            count: count.min(RENT_LIMIT),
        });
        self.send_request(now, call, out);
    }

    /// Gives a machine back; final, since names never come back.
    pub fn release(&mut self, id: MachineId, why: impl std::fmt::Display) {
        if self.returning.insert(id) {
            info!("returning machine={id} reason=\"{why}\"");
        }
    }

    fn send_request(&mut self, now: Timestamp, call: CloudRequest, out: &mut Vec<CloudEvent>) {
        self.calls += 1;
        self.rate_limit.take(1.0);
        self.in_flight.insert(self.calls, InFlight { call: call.clone(), sent: now, retry_at: None });
        out.push(CloudEvent::Request(self.calls, call));
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        self.rate_limit.refill(now);
        let due: Vec<u64> = self
            .in_flight
            .iter()
            .filter(|(_, f)| f.retry_at.map_or(now.since(f.sent) >= CALL_TIMEOUT, |at| now >= at))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            if self.rate_limit.available() < 1.0 {
                return;
            }
            if let Some(flight) = self.in_flight.remove(&id) {
                // A rental is repeated under its name, so that it rents nothing twice.
                self.send_request(now, flight.call, out);
            }
        }
        let idle = |f: &Self, same: fn(&CloudRequest) -> bool| !f.in_flight.values().any(|f| same(&f.call));
        if self.rate_limit.available() >= 1.0
            && (self.flavors.is_none() || now.since(self.flavors_at) >= FLAVORS_EVERY)
            && idle(self, |c| matches!(c, CloudRequest::MachineTypes))
        {
            self.send_request(now, CloudRequest::MachineTypes, out);
        }
        if self.rate_limit.available() >= 1.0
            && !self.returning.is_empty()
            && idle(self, |c| matches!(c, CloudRequest::ScaleIn(_)))
        {
            let ids = self.returning.iter().take(100).copied().collect();
            self.send_request(now, CloudRequest::ScaleIn(ids), out);
        }
        if self.rate_limit.available() >= RESERVED_CALLS
            && (self.listed_at == Timestamp::ZERO || now.since(self.listed_at) >= LIST_EVERY)
            && idle(self, |c| matches!(c, CloudRequest::ListMachines(_)))
        {
            self.listed_at = now;
            self.send_request(now, CloudRequest::ListMachines(None), out);
        }
    }

    /// Takes an answer of the cloud.
    pub fn handle_response(
        &mut self,
        now: Timestamp,
        id: u64,
        reply: &ServiceResponse,
        known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<CloudEvent>,
    ) {
        let Some(flight) = self.in_flight.get_mut(&id) else { return };
        let done = match (&flight.call, reply.status) {
            (CloudRequest::MachineTypes, 200) => match reply.parse::<MachineTypes>() {
                Some(answer) => {
                    self.flavors = Some(answer.machine_types);
                    self.flavors_at = now;
                    true
                }
                None => false,
            },
            (CloudRequest::ScaleOut(request), 200) => {
                let names = reply.parse::<MachineNames>().map(|n| n.machines).unwrap_or_default();
                info!("rented request={} machines={}", request.request_name, names.join(","));
                let place = (request.machine_type.clone(), request.zone.clone(), request.spot);
                if names.len() < request.count as usize {
                    refuse(&mut self.refused, now, place);
                } else {
                    self.refused.remove(&place);
                }
                let booting = PendingInstance {
                    machine_type: request.machine_type.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    requested_at: flight.sent,
                };
                let mut fresh = Vec::new();
                for id in names.iter().filter_map(|n| n.parse::<MachineId>().ok()) {
                    if !known(id) && !self.gone.contains(&id) {
                        self.booting.insert(id, booting.clone());
                        self.news = true;
                        fresh.push(id);
                    }
                }
                out.push(CloudEvent::MachinesRented(fresh));
                true
            }
            (CloudRequest::ScaleOut(request), 503) if reply.body.windows(11).any(|w| w == b"no capacity") => {
                let place = (request.machine_type.clone(), request.zone.clone(), request.spot);
                info!(
                    "no capacity request={} type={} zone={} spot={}",
                    request.request_name, place.0, place.1, place.2
                );
                refuse(&mut self.refused, now, place);
                true
            }
            (CloudRequest::ScaleOut(_), 400) => true,
            (CloudRequest::ScaleIn(ids), 200) => {
                let ids = ids.clone();
                self.in_flight.remove(&id);
                ids.iter().for_each(|id| self.instance_gone(*id));
                out.push(CloudEvent::MachinesGone(ids));
                return;
            }
            (CloudRequest::ListMachines(_), 200) => {
                if let Some(list) = reply.parse::<MachinePage>() {
                    let more = list.machines.last().filter(|_| list.more).map(|m| m.machine.clone());
                    self.in_flight.remove(&id);
                    self.reconcile_list(now, list, known, out);
                    if more.is_some() {
                        self.send_request(now, CloudRequest::ListMachines(more), out);
                    }
                    return;
                }
                true
            }
            (CloudRequest::ListMachines(_), _) => true,
            _ => false,
        };
        if done {
            self.in_flight.remove(&id);
        } else {
            flight.retry_at = Some(now + Duration::from_millis(700));
        }
    }

    fn reconcile_list(
        &mut self,
        now: Timestamp,
        list: MachinePage,
        known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<CloudEvent>,
    ) {
        for item in list.machines {
            let Ok(id) = item.machine.parse::<MachineId>() else { continue };
            if self.gone.contains(&id) || self.returning.contains(&id) {
                continue;
            }
            match item.state.as_str() {
                "failed" => out.push(CloudEvent::MachineFailed(id)),
                // One that an earlier leader rented, or a late copy of a rental: used or returned.
                _ if !known(id) && !self.booting.contains_key(&id) => {
                    info!("found machine={id} type={} zone={} in the cloud's list", item.machine_type, item.zone);
                    let age = Duration::from_secs_f64(item.age_s) + self.list_lag;
                    let since = now.saturating_sub(age);
                    self.booting.insert(
                        id,
                        PendingInstance {
                            machine_type: item.machine_type,
                            zone: item.zone,
                            spot: item.spot,
                            requested_at: since,
                        },
                    );
                    self.news = true;
                }
                _ => {}
            }
        }
    }

    /// Machines that should have reported long ago are given back: some never come up.
    pub fn release_overdue(&mut self, now: Timestamp) {
        let late: Vec<MachineId> = self
            .pending()
            .filter(|(_, b)| {
                let boot = self.machine_type(&b.machine_type).map_or(60.0, |f| f.boot_s);
                now.since(b.requested_at) > Duration::from_secs_f64(boot * 3.0 + 15.0)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.release(id, "did not come up");
        }
    }
}

fn refuse(refused: &mut HashMap<InstancePool, (Timestamp, Duration)>, now: Timestamp, place: InstancePool) {
    let pause =
        refused.get(&place).map_or(Duration::from_secs(5), |(_, last)| (*last * 2).min(Duration::from_secs(30)));
    refused.insert(place, (now + pause, pause));
}

/// Like tasks that wait for machines.
#[derive(Debug, Clone)]
pub struct Demand {
    /// One job of these tasks.
    pub job: JobId,
    /// What each takes.
    pub need: Resources,
    /// How many.
    pub count: u32,
    /// Whether spot machines will do.
    pub spot: bool,
    /// Whether ordinary machines may be rented for it.
    pub ordinary: bool,
    /// Allowed types.
    pub types: Option<Vec<String>>,
    /// Allowed zone.
    pub zone: Option<String>,
    /// Most of them in one zone.
    pub zone_cap: u32,
    /// Whether all of them must be in the same zone.
    pub one_zone: bool,
}

/// Which machines to rent for what waits: the cheapest per task, spread over zones.
///
/// `zones` counts the CPUs per zone and kind (spot or not) that there are already.
pub fn choose(
    demands: &[Demand],
    flavors: &[MachineType],
    refused: &dyn Fn(&InstancePool) -> bool,
    zones: &mut BTreeMap<(String, bool), u64>,
) -> BTreeMap<InstancePool, u32> {
    let mut bought: Vec<(InstancePool, Resources)> = Vec::new();
    for (n, demand) in demands.iter().enumerate() {
        let mut left = demand.count;
        let mut per_zone: BTreeMap<String, u32> = BTreeMap::new();
        let allowed = |place: &InstancePool| {
            (if place.2 { demand.spot } else { demand.ordinary })
                && demand.zone.as_ref().is_none_or(|z| *z == place.1)
                && demand.types.as_ref().is_none_or(|t| t.contains(&place.0))
        };
        // Tasks that must be together take what is rented already only where it has room for all of them.
        let mut only = if demand.one_zone { zone_with_room(&bought, demand, &allowed) } else { None };
        for (place, free) in &mut bought {
            if demand.one_zone && only.as_ref() != Some(&place.1) {
                continue;
            }
            while left > 0 && allowed(place) && demand.need.fits(free) {
                let used = per_zone.entry(place.1.clone()).or_insert(0);
                if *used >= demand.zone_cap {
                    break;
                }
                *used += 1;
                free.saturating_sub(&demand.need);
                left -= 1;
            }
        }
        if left == 0 {
            continue;
        }
        // What a machine costs per task is asked for the whole class: three replicas of one service do
        // not fill a large machine, but those of the next ones do.
        let alike = |other: &&Demand| {
            (other.need, other.spot, other.ordinary, &other.types, &other.zone)
                == (demand.need, demand.spot, demand.ordinary, &demand.types, &demand.zone)
        };
        let others: u32 = demands[n + 1..].iter().filter(alike).map(|d| d.count).sum();
        while left > 0 {
            let mut best: Option<((u64, u64), InstancePool, Resources, u32)> = None;
            for flavor in flavors {
                let room = crate::jobs::capacity(flavor);
                let fit = demand.need.copies_in(&room).min(u64::from(u32::MAX)) as u32;
                for zone in &flavor.zones {
                    for spot in [true, false] {
                        let place = (flavor.name.clone(), zone.clone(), spot);
                        let used = per_zone.get(zone).copied().unwrap_or(0);
                        let take = fit.min(left).min(demand.zone_cap.saturating_sub(used));
                        let elsewhere = only.as_ref().is_some_and(|only| only != zone);
                        if take == 0 || elsewhere || !allowed(&place) || refused(&place) {
                            continue;
                        }
                        let price = if spot { flavor.spot_price_per_hour } else { flavor.price_per_hour };
                        let fill = fit.min(left + others);
                        let cost = (price / f64::from(fill) * 1e6) as u64;
                        let key = (cost, zones.get(&(zone.clone(), spot)).copied().unwrap_or(0));
                        if best.as_ref().is_none_or(|(other, ..)| key < *other) {
                            best = Some((key, place, room, take));
                        }
                    }
                }
            }
            let Some((_, place, room, take)) = best else { break };
            let mut free = room;
            for _ in 0..take {
                free.saturating_sub(&demand.need);
            }
            left -= take;
            if demand.one_zone {
                only = Some(place.1.clone());
            }
            *per_zone.entry(place.1.clone()).or_insert(0) += take;
            *zones.entry((place.1.clone(), place.2)).or_insert(0) += room.cpus;
            bought.push((place, free));
            if bought.len() >= 400 {
                break;
            }
        }
    }
    let mut counts = BTreeMap::new();
    for (place, _) in bought {
        *counts.entry(place).or_insert(0) += 1;
    }
    counts
}

/// A zone in which what is rented already has room for all tasks of a demand.
fn zone_with_room(
    bought: &[(InstancePool, Resources)],
    demand: &Demand,
    allowed: &dyn Fn(&InstancePool) -> bool,
) -> Option<String> {
    let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
    for (place, free) in bought.iter().filter(|(place, _)| allowed(place)) {
        *zones.entry(&place.1).or_default() += demand.need.copies_in(free);
    }
    zones.into_iter().find(|(_, times)| *times >= u64::from(demand.count)).map(|(zone, _)| zone.to_string())
}

#[cfg(test)]
mod tests;
