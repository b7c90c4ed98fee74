//! Which machines there are: rent, watch, return.

use crate::settings::CloudLimits;
use crate::store::Reply;
use crate::types::{Duration, FencingToken, JobId, MachineId, Resources, Timestamp};
use crate::wire::{Flavor, Flavors, MachineList, MachineNames, RentRequest};
use log::info;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudCall {
    /// Machine types and prices.
    Flavors,
    /// Rent machines.
    Rent(RentRequest),
    /// Give machines back.
    Return(Vec<MachineId>),
    /// List machines after this one.
    List(Option<String>),
}

/// A machine that was rented and has not reported yet.
#[derive(Debug, Clone)]
pub struct Booting {
    /// Type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// When it was rented.
    pub since: Timestamp,
}

/// What the slice wants done or made known.
#[derive(Debug)]
pub enum Event {
    /// Ask the cloud; the number comes back with the reply.
    Call(u64, CloudCall),
    /// These machines were rented.
    Rented(Vec<MachineId>),
    /// These machines are surely gone.
    Returned(Vec<MachineId>),
    /// The cloud lists this machine as failed.
    Failed(MachineId),
}

#[derive(Debug)]
struct InFlight {
    call: CloudCall,
    sent: Timestamp,
    retry_at: Option<Timestamp>,
}

/// A type, zone and kind of machine.
pub type Place = (String, String, bool);

/// State of the slice; made anew at each election.
#[derive(Debug)]
pub struct Inventory {
    token: FencingToken,
    rps: f64,
    budget: f64,
    refilled: Timestamp,
    calls: u64,
    requests: u64,
    flavors: Option<Vec<Flavor>>,
    flavors_at: Timestamp,
    listed_at: Timestamp,
    list_lag: Duration,
    in_flight: BTreeMap<u64, InFlight>,
    booting: BTreeMap<MachineId, Booting>,
    /// Machines came to `booting` since `take_news`.
    news: bool,
    /// Places that refused lately, until when, and the last pause.
    refused: HashMap<Place, (Timestamp, Duration)>,
    returning: BTreeSet<MachineId>,
    gone: BTreeSet<MachineId>,
}

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const FLAVORS_EVERY: Duration = Duration::from_secs(30);
const LIST_EVERY: Duration = Duration::from_secs(5);
/// Most machines that one request rents.
pub const RENT_LIMIT: u32 = 50;

impl Inventory {
    /// A new leader's view: it knows nothing yet.
    pub fn new(token: FencingToken, now: Timestamp, limits: &CloudLimits) -> Inventory {
        Inventory {
            token,
            rps: limits.rps * 0.8,
            budget: limits.rps,
            refilled: now,
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
    pub fn flavors(&self) -> Option<&[Flavor]> {
        self.flavors.as_deref()
    }
    /// One machine type.
    pub fn flavor(&self, kind: &str) -> Option<&Flavor> {
        self.flavors.iter().flatten().find(|f| f.name == kind)
    }
    /// Machines on their way.
    pub fn booting(&self) -> impl Iterator<Item = (&MachineId, &Booting)> {
        self.booting.iter().filter(|(id, _)| !self.returning.contains(id))
    }
    /// Whether there are more machines on their way than when this was asked last.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }
    /// One machine on its way.
    pub fn booting_one(&self, id: MachineId) -> Option<&Booting> {
        self.booting.get(&id)
    }
    /// Whether a rental has no answer yet.
    pub fn renting(&self) -> bool {
        self.in_flight.values().any(|f| matches!(f.call, CloudCall::Rent(_)))
    }
    /// Whether a machine is surely gone.
    pub fn is_gone(&self, id: MachineId) -> bool {
        self.gone.contains(&id)
    }
    /// Whether a machine is being returned.
    pub fn is_returning(&self, id: MachineId) -> bool {
        self.returning.contains(&id)
    }
    /// Whether a place refused a rental lately.
    pub fn refused(&self, place: &Place, now: Timestamp) -> bool {
        self.refused.get(place).is_some_and(|(until, _)| now < *until)
    }

    /// Whether all spot machines, wherever they might be, were refused lately.
    pub fn spot_refused(&self, now: Timestamp) -> bool {
        let mut places = self.flavors.iter().flatten().flat_map(|f| f.zones.iter().map(move |z| (f, z)));
        places.all(|(f, z)| self.refused(&(f.name.clone(), z.clone(), true), now))
    }
    /// How many calls may be made now, two kept for what is urgent.
    pub fn calls_left(&self) -> usize {
        (self.budget - 2.0).max(1.0) as usize
    }

    /// A machine's worker reported: it is up. Says when it was rented, if that is known.
    pub fn up(&mut self, id: MachineId) -> Option<Timestamp> {
        self.booting.remove(&id).map(|b| b.since)
    }

    /// A machine that an earlier leader rented.
    pub fn inherit(&mut self, id: MachineId, booting: Booting) {
        self.booting.insert(id, booting);
        self.news = true;
    }

    /// A machine that is surely gone.
    pub fn lose(&mut self, id: MachineId) {
        self.returning.remove(&id);
        self.booting.remove(&id);
        self.gone.insert(id);
    }

    /// Rents machines.
    pub fn rent(&mut self, now: Timestamp, place: &Place, count: u32, out: &mut Vec<Event>) {
        self.requests += 1;
        let request = format!("r-{}-{}", self.token, self.requests);
        info!("renting request={request} type={} zone={} spot={} count={count}", place.0, place.1, place.2);
        let call = CloudCall::Rent(RentRequest {
            request,
            kind: place.0.clone(),
            zone: place.1.clone(),
            spot: place.2,
            count: count.min(RENT_LIMIT),
        });
        self.call(now, call, out);
    }

    /// Gives a machine back; final, since names never come back.
    pub fn give_back(&mut self, id: MachineId, why: &str) {
        if self.returning.insert(id) {
            info!("returning machine={id} reason=\"{why}\"");
        }
    }

    fn call(&mut self, now: Timestamp, call: CloudCall, out: &mut Vec<Event>) {
        self.calls += 1;
        self.budget -= 1.0;
        self.in_flight.insert(self.calls, InFlight { call: call.clone(), sent: now, retry_at: None });
        out.push(Event::Call(self.calls, call));
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<Event>) {
        self.budget = (self.budget + now.since(self.refilled).as_secs_f64() * self.rps).min(self.rps);
        self.refilled = now;
        let due: Vec<u64> = self
            .in_flight
            .iter()
            .filter(|(_, f)| f.retry_at.map_or(now.since(f.sent) >= CALL_TIMEOUT, |at| now >= at))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            if self.budget < 1.0 {
                return;
            }
            if let Some(flight) = self.in_flight.remove(&id) {
                // A rental is repeated under its name, so that it rents nothing twice.
                self.call(now, flight.call, out);
            }
        }
        let idle = |f: &Self, same: fn(&CloudCall) -> bool| !f.in_flight.values().any(|f| same(&f.call));
        if self.budget >= 1.0
            && (self.flavors.is_none() || now.since(self.flavors_at) >= FLAVORS_EVERY)
            && idle(self, |c| matches!(c, CloudCall::Flavors))
        {
            self.call(now, CloudCall::Flavors, out);
        }
        if self.budget >= 1.0 && !self.returning.is_empty() && idle(self, |c| matches!(c, CloudCall::Return(_))) {
            let ids = self.returning.iter().take(100).copied().collect();
            self.call(now, CloudCall::Return(ids), out);
        }
        if self.budget >= 2.0
            && (self.listed_at == Timestamp::ZERO || now.since(self.listed_at) >= LIST_EVERY)
            && idle(self, |c| matches!(c, CloudCall::List(_)))
        {
            self.listed_at = now;
            self.call(now, CloudCall::List(None), out);
        }
    }

    /// Takes an answer of the cloud.
    pub fn reply(
        &mut self,
        now: Timestamp,
        id: u64,
        reply: &Reply,
        known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<Event>,
    ) {
        let Some(flight) = self.in_flight.get_mut(&id) else { return };
        let done = match (&flight.call, reply.status) {
            (CloudCall::Flavors, 200) => match reply.parse::<Flavors>() {
                Some(answer) => {
                    self.flavors = Some(answer.types);
                    self.flavors_at = now;
                    true
                }
                None => false,
            },
            (CloudCall::Rent(request), 200) => {
                let names = reply.parse::<MachineNames>().map(|n| n.machines).unwrap_or_default();
                info!("rented request={} machines={}", request.request, names.join(","));
                let place = (request.kind.clone(), request.zone.clone(), request.spot);
                if names.len() < request.count as usize {
                    refuse(&mut self.refused, now, place);
                } else {
                    self.refused.remove(&place);
                }
                let booting = Booting {
                    kind: request.kind.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    since: flight.sent,
                };
                let mut fresh = Vec::new();
                for id in names.iter().filter_map(|n| n.parse::<MachineId>().ok()) {
                    if !known(id) && !self.gone.contains(&id) {
                        self.booting.insert(id, booting.clone());
                        self.news = true;
                        fresh.push(id);
                    }
                }
                out.push(Event::Rented(fresh));
                true
            }
            (CloudCall::Rent(request), 503) if reply.body.windows(11).any(|w| w == b"no capacity") => {
                let place = (request.kind.clone(), request.zone.clone(), request.spot);
                info!("no capacity request={} type={} zone={} spot={}", request.request, place.0, place.1, place.2);
                refuse(&mut self.refused, now, place);
                true
            }
            (CloudCall::Rent(_), 400) => true,
            (CloudCall::Return(ids), 200) => {
                let ids = ids.clone();
                self.in_flight.remove(&id);
                ids.iter().for_each(|id| self.lose(*id));
                out.push(Event::Returned(ids));
                return;
            }
            (CloudCall::List(_), 200) => {
                if let Some(list) = reply.parse::<MachineList>() {
                    let more = list.machines.last().filter(|_| list.more).map(|m| m.machine.clone());
                    self.in_flight.remove(&id);
                    self.listed(now, list, known, out);
                    if more.is_some() {
                        self.call(now, CloudCall::List(more), out);
                    }
                    return;
                }
                true
            }
            (CloudCall::List(_), _) => true,
            _ => false,
        };
        if done {
            self.in_flight.remove(&id);
        } else {
            flight.retry_at = Some(now + Duration::from_millis(700));
        }
    }

    fn listed(&mut self, now: Timestamp, list: MachineList, known: &dyn Fn(MachineId) -> bool, out: &mut Vec<Event>) {
        for item in list.machines {
            let Ok(id) = item.machine.parse::<MachineId>() else { continue };
            if self.gone.contains(&id) || self.returning.contains(&id) {
                continue;
            }
            match item.state.as_str() {
                "failed" => out.push(Event::Failed(id)),
                // One that an earlier leader rented, or a late copy of a rental: used or returned.
                _ if !known(id) && !self.booting.contains_key(&id) => {
                    info!("found machine={id} type={} zone={} in the cloud's list", item.kind, item.zone);
                    let age = Duration::from_secs_f64(item.age_s) + self.list_lag;
                    let since = now.saturating_sub(age);
                    self.booting.insert(id, Booting { kind: item.kind, zone: item.zone, spot: item.spot, since });
                    self.news = true;
                }
                _ => {}
            }
        }
    }

    /// Machines that should have reported long ago are given back: some never come up.
    pub fn give_up_on_late(&mut self, now: Timestamp) {
        let late: Vec<MachineId> = self
            .booting()
            .filter(|(_, b)| {
                let boot = self.flavor(&b.kind).map_or(60.0, |f| f.boot_s);
                now.since(b.since) > Duration::from_secs_f64(boot * 3.0 + 15.0)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.give_back(id, "did not come up");
        }
    }
}

fn refuse(refused: &mut HashMap<Place, (Timestamp, Duration)>, now: Timestamp, place: Place) {
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
    flavors: &[Flavor],
    refused: &dyn Fn(&Place) -> bool,
    zones: &mut BTreeMap<(String, bool), u64>,
) -> BTreeMap<Place, u32> {
    let mut bought: Vec<(Place, Resources)> = Vec::new();
    for (n, demand) in demands.iter().enumerate() {
        let mut left = demand.count;
        let mut per_zone: BTreeMap<String, u32> = BTreeMap::new();
        let allowed = |place: &Place| {
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
            let mut best: Option<((u64, u64), Place, Resources, u32)> = None;
            for flavor in flavors {
                let room = crate::intake::capacity(flavor);
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
                        let price = if spot { flavor.spot_price } else { flavor.price };
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
fn zone_with_room(bought: &[(Place, Resources)], demand: &Demand, allowed: &dyn Fn(&Place) -> bool) -> Option<String> {
    let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
    for (place, free) in bought.iter().filter(|(place, _)| allowed(place)) {
        *zones.entry(&place.1).or_default() += demand.need.copies_in(free);
    }
    zones.into_iter().find(|(_, times)| *times >= u64::from(demand.count)).map(|(zone, _)| zone.to_string())
}

#[cfg(test)]
mod tests;
