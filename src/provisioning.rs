//! Where plan and inventory meet: what is rented for what waits, and what is emptied and given back.

use crate::arrivals::ClassArrivals;
use crate::controller::Effect;
use crate::drains::RoomPlanner;
use crate::failure_detection::LostZone;
use crate::intake::{self, Job};
use crate::inventory::{self, Demand, Place};
use crate::plan::{Order, Server};
use crate::scheduling::order_of;
use crate::settings::Objective;
use crate::term::Term;
use crate::units::{Duration, JobId, MachineId, Resources, Time, Wall};
use crate::workers::Hold;
use caperstile_disruption::Coordinator;
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tasks that may use spot machines wait so long for one before an ordinary one is rented: it costs
/// several times as much, and spot machines become free.
const SPOT_PATIENCE: Duration = Duration(200_000);
/// So long nothing is rented in a zone that most machines have fallen silent in: what is rented there
/// most likely cannot report either.
const AVOID_ZONE: Duration = Duration(40_000);
/// Why a machine is drained whose services were moved to others.
const CONSOLIDATED: &str = "its services fit elsewhere";

/// From a job's coming until a machine for it is asked for, and from its boot until it can be used.
const COMMIT_AND_RENT: Duration = Duration(5000);
/// Share of the tasks expected within a boot for which room is kept ahead; the others find that of jobs that end.
const CLASS_ROOM_SHARE: f64 = 0.5;
/// Room is kept for so many of the largest jobs of a class, whatever is expected.
const LARGEST_JOBS: u64 = 2;

/// Room of a machine that is not promised to anything yet.
struct FreeRoom {
    machine: MachineId,
    free: Resources,
    /// Room of tasks that services may push aside.
    soft: Resources,
}

impl FreeRoom {
    /// Takes free room for tasks, so many at the most; how many fit.
    fn take(&mut self, need: &Resources, most: u64) -> u64 {
        let count = need.times_in(&self.free).min(most);
        for _ in 0..count {
            self.free.sub(need);
        }
        count
    }

    /// The same with the room of tasks that may be pushed aside, which goes first.
    fn take_with_soft(&mut self, need: &Resources, most: u64) -> u64 {
        let mut all = self.free;
        all.add(&self.soft);
        let count = need.times_in(&all).min(most);
        for _ in 0..count {
            let mut from_free = *need;
            from_free.sub(&self.soft);
            self.soft.sub(need);
            self.free.sub(&from_free);
        }
        count
    }
}

impl Term {
    /// What waits too long on the machines that there are, as classes.
    fn demands(&mut self, now: Time) -> Vec<Demand> {
        let boots = self.inventory.flavors().into_iter().flatten().map(|f| f.boot_s).fold(f64::MAX, f64::min);
        let boot = Duration::secs(if boots == f64::MAX { 30.0 } else { boots });
        // Apart are those for which ordinary machines are rented too.
        let no_spot = self.inventory.spot_refused(now);
        let mut counts: BTreeMap<(Order, JobId, bool), u32> = BTreeMap::new();
        for server in self.plans.servers().filter(|s| !s.queue.is_empty()) {
            for (entry, start) in self.plans.starts(server.id, now) {
                // A machine rented now would be up after `boot`: only what it would start sooner counts.
                let late = match start {
                    None => true,
                    Some(at) if entry.endless => at > now + boot + Duration(5000),
                    Some(at) => {
                        let goal = self.jobs.get(entry.job).map_or(Time::NEVER, |j| self.goal(j));
                        at > now + boot + Duration(3000) && at + entry.run > goal
                    }
                };
                if late {
                    let long =
                        no_spot && self.jobs.get(entry.job).is_some_and(|j| self.worth(j, now, start, entry.run, boot));
                    *counts.entry((entry.order, entry.job, long)).or_insert(0) += 1;
                }
            }
        }
        // What was not looked at lately may find room yet.
        const LATELY: Duration = Duration(5000);
        let tried = |j: &&Job| now.since(j.looked) < LATELY;
        for job in self.jobs.waiting().filter(|j| self.startable(j, now)).filter(tried) {
            let left = job.pending.len().saturating_sub(self.plans.planned(job.record.id));
            if left > 0 {
                let run = self.correction.predict(job.record.estimate);
                let long = no_spot && self.worth(job, now, None, run, boot);
                *counts.entry((order_of(job), job.record.id, long)).or_insert(0) += left;
            }
        }
        let headroom = self.headroom(now, boot);
        let demands = counts
            .into_iter()
            .filter_map(|((_, id, long), count)| {
                let job = self.jobs.get(id)?;
                let limit = self.limit_left(job);
                // An ordinary machine has to be worth its price: one runs several of these tasks in turn.
                let turns = if long && job.record.spot {
                    (100_000 / job.record.estimate.0.max(1)).clamp(1, 4) as u32
                } else {
                    1
                };
                let count = count.div_ceil(turns);
                Some(Demand {
                    job: id,
                    need: job.record.need,
                    count: count.min(limit),
                    spot: job.record.spot,
                    ordinary: long || !job.record.spot,
                    types: job.record.types.clone(),
                    zone: job.record.zone.clone().or_else(|| self.planned_zone(job)),
                    zone_cap: job.record.zone_cap(),
                    one_zone: job.gang.is_some() && job.record.together,
                })
            })
            .chain(headroom)
            .chain(self.demands_of_drains(now))
            .filter(|d| d.count > 0);
        demands.collect()
    }

    /// The zone in which a gang that wants one zone is planned.
    fn planned_zone(&self, job: &Job) -> Option<String> {
        let together = job.gang.is_some() && job.record.together;
        let (machine, _) = self.plans.planned_at(job.record.id).into_iter().next().filter(|_| together)?;
        self.names.zone_name(self.plans.server(machine)?.zone).map(str::to_string)
    }

    /// How many tasks of services are likely to come within a boot, and a job like them.
    fn expected_services(&self, boot_s: f64) -> Option<(&Job, u64)> {
        const WINDOW: Duration = Duration(120_000);
        const SLOT: Duration = Duration(10_000);
        // Jobs that come all at once, as at a start, say little of what comes next: a slot counts for no
        // more than this, or than three ordinary ones.
        const SLOT_LIMIT: u32 = 6;
        let mut slots: BTreeMap<u64, u32> = BTreeMap::new();
        let mut typical: Option<&Job> = None;
        let now = self.scheduled;
        for job in self.jobs.live().filter(|j| j.record.service && j.record.rank == 0 && j.record.zone.is_none()) {
            let age = now.since(job.submitted);
            if age < WINDOW {
                *slots.entry(age.0 / SLOT.0).or_insert(0) += job.record.tasks;
            }
            if typical.is_none_or(|t| t.record.need.cpus < job.record.need.cpus) {
                typical = Some(job);
            }
        }
        let job = typical?;
        let mut sizes: Vec<u32> = (0..WINDOW.0 / SLOT.0).map(|n| slots.get(&n).copied().unwrap_or(0)).collect();
        sizes.sort_unstable();
        let limit = SLOT_LIMIT.max(3 * sizes[sizes.len() / 2]);
        let rate = sizes.iter().map(|n| f64::from((*n).min(limit))).sum::<f64>() / WINDOW.as_secs();
        Some((job, ((rate * (boot_s + 10.0) * self.settings.tuning.room_ahead).ceil() as u64).max(3)))
    }

    /// Ordinary machines for what is likely to come before a machine rented for it would be up and must not wait so long: services,
    /// and jobs whose class has an aim at starting. Notes the machines whose room is kept for the latter.
    fn headroom(&mut self, now: Time, boot: Duration) -> Vec<Demand> {
        let mut rooms = self.free_rooms();
        let mut demands: Vec<Demand> = self.service_headroom(now, boot, &mut rooms).into_iter().collect();
        self.prompt_classes = self.settings.deployment.classes_to_start_within(boot);
        let prompt =
            |(name, class): &(&str, &ClassArrivals)| !class.largest().service && self.prompt_classes.contains(*name);
        let mut classes: Vec<&ClassArrivals> = self.arrivals.classes().filter(prompt).map(|(_, class)| class).collect();
        classes.sort_by_key(|class| class.largest().rank);
        let mut kept = BTreeMap::new();
        for class in classes {
            demands.extend(self.class_headroom(now, boot, class, &mut rooms, &mut kept));
        }
        let changed = |id: &&MachineId| self.headroom.get(id) != kept.get(id);
        self.changed.extend(self.headroom.keys().chain(kept.keys()).filter(changed));
        self.headroom = kept;
        demands
    }

    /// Free room of machines, the fullest first, so that others become idle.
    fn free_rooms(&self) -> Vec<FreeRoom> {
        let room = |s: &Server| FreeRoom { machine: s.id, free: s.free, soft: s.soft[0] };
        let mut rooms: Vec<FreeRoom> = self.plans.servers().map(room).collect();
        rooms.sort_by_key(|room| (room.free.cpus, room.machine));
        rooms
    }

    /// Without room, even that of lower tasks, services would wait for the boot.
    fn service_headroom(&self, now: Time, boot: Duration, rooms: &mut [FreeRoom]) -> Option<Demand> {
        let (job, wanted) = self.expected_services(boot.as_secs())?;
        let wanted = wanted + self.stranded(now) + self.held_back(now);
        let profile = self.parts().profile_of(job);
        let need = job.record.need;
        let mut missing = wanted;
        for room in rooms.iter_mut() {
            if missing > 0 && self.plans.server(room.machine).is_some_and(|s| profile.predict(s).is_some()) {
                missing -= room.take_with_soft(&need, missing);
            }
        }
        Some(Demand {
            job: job.record.id,
            need,
            count: missing as u32,
            spot: false,
            ordinary: true,
            types: None,
            zone: None,
            zone_cap: u32::MAX,
            one_zone: false,
        })
    }

    /// Room for jobs of a class that are likely to come within a boot: what ends meanwhile makes room for half of them, but the
    /// largest one must find room at any time.
    fn class_headroom(
        &self,
        now: Time,
        boot: Duration,
        class: &ClassArrivals,
        rooms: &mut [FreeRoom],
        kept: &mut BTreeMap<MachineId, Resources>,
    ) -> Option<Demand> {
        let record = class.largest();
        let expected = class.expected_tasks(now, boot + COMMIT_AND_RENT);
        if expected <= 0.0 {
            return None;
        }
        let wanted = ((expected * CLASS_ROOM_SHARE).ceil() as u64).max(LARGEST_JOBS * u64::from(record.tasks));
        let profile = self.parts().profile_for(record, Vec::new());
        let mut missing = wanted;
        for room in rooms.iter_mut() {
            let fits = self.plans.server(room.machine).is_some_and(|s| profile.predict(s).is_some());
            let taken = if fits { room.take(&record.need, missing) } else { 0 };
            if taken > 0 {
                let kept = kept.entry(room.machine).or_default();
                (0..taken).for_each(|_| kept.add(&record.need));
                missing -= taken;
            }
        }
        Some(Demand {
            job: record.id,
            need: record.need,
            count: missing as u32,
            spot: false,
            ordinary: true,
            types: record.types.clone(),
            zone: record.zone.clone(),
            zone_cap: record.zone_cap(),
            one_zone: record.together,
        })
    }

    /// Replicas that a new leader holds back because a zone does not answer: they are most likely lost with it, and
    /// the machines for them should be up when that is sure.
    fn held_back(&self, now: Time) -> u64 {
        if self.open()
            || now.since(self.since) < Duration(3000)
            || self.unfenced_zones().is_subset(&self.led_from_within)
        {
            return 0;
        }
        let services = self.jobs.live().filter(|j| j.record.service && j.durable && !j.ours && !j.cancelling);
        services.map(|j| u64::from(j.pending.len().min(j.record.zone_cap()))).sum()
    }

    /// Replicas in zones that are cut off and may run elsewhere. They go on until their leases end; room for
    /// them should be up by then.
    fn stranded(&self, now: Time) -> u64 {
        let mut jobs: HashMap<JobId, u32> = HashMap::new();
        for m in self.machines.values().filter(|m| self.lost_since(&m.record.zone, now).is_some()) {
            for hold in m.holds.values().filter(|h| h.claimed && h.predicted.is_none() && h.occupies()) {
                *jobs.entry(hold.task.job).or_default() += 1;
            }
        }
        let parts = self.parts();
        let zones: BTreeSet<&String> = self.inventory.flavors().into_iter().flatten().flat_map(|f| &f.zones).collect();
        let elsewhere = |job: &Job| -> u32 {
            let there = parts.by_zone(job);
            let open = zones.iter().filter(|z| self.lost_since(z, now).is_none());
            let placed = |zone: &str| self.names.zone(zone).and_then(|z| there.get(&z).copied()).unwrap_or(0);
            open.map(|z| job.record.zone_cap().saturating_sub(placed(z))).fold(0, u32::saturating_add)
        };
        jobs.iter().filter_map(|(id, lost)| Some(u64::from(elsewhere(self.jobs.get(*id)?).min(*lost)))).sum()
    }

    /// Whether ordinary machines may be rented for a task that could wait for a spot machine: several
    /// times as dear, they are for what would else miss an aim that nearly all must meet, and for what
    /// has waited very long.
    fn worth(&self, job: &Job, now: Time, start: Option<Time>, run: Duration, boot: Duration) -> bool {
        let waited = now.since(job.submitted);
        if start.is_none_or(|at| at > now + SPOT_PATIENCE / 4) && waited >= SPOT_PATIENCE {
            return true;
        }
        let Some(due) = self.due(job) else { return start.is_some_and(|at| at > now + SPOT_PATIENCE) };
        // Predictions made at once are poor: most backlogs are over sooner.
        let settled = waited.0 * 3 >= due.since(job.submitted).0;
        settled && start.is_none_or(|at| at + run > due) && now + boot + run <= due
    }

    /// When a job must be over for an aim that allows few misses.
    fn due(&self, job: &Job) -> Option<Time> {
        let strict = |o: &Objective| o.share >= self.settings.tuning.strict_aim;
        if job.record.deadline.is_some() && self.aims(job, "deadline").any(strict) {
            return Some(job.deadline());
        }
        let within = self.aims(job, "finished").filter(|o| strict(o)).filter_map(|o| o.within_s);
        within.reduce(f64::min).map(|within| job.submitted + Duration::secs(within))
    }

    /// What the settings aim at for a job's class.
    fn aims(&self, job: &Job, kind: &str) -> impl Iterator<Item = &Objective> {
        self.settings.deployment.objectives.iter().filter(move |o| o.kind == kind && o.class == job.record.class)
    }

    /// When a job's tasks should be over: its deadline, or what the settings aim at for its class.
    fn goal(&self, job: &Job) -> Time {
        if job.record.deadline.is_some() {
            return job.deadline();
        }
        let within = self.aims(job, "finished").filter_map(|o| o.within_s).reduce(f64::min);
        within.map_or(Time(0), |within| job.submitted + Duration::secs(within * 0.25))
    }

    /// How many tasks of a job its team's limit lets run at once.
    fn limit_left(&self, job: &Job) -> u32 {
        let Some(team) = self.settings.deployment.teams.iter().find(|t| t.name == job.record.team) else { return 0 };
        let part = |max: f64, need: u64| {
            if max > 0.0 { ((max * 1000.0) as u64).checked_div(need).unwrap_or(u64::MAX) } else { u64::MAX }
        };
        part(team.cpus_max, job.record.need.cpus)
            .min(part(team.gpus_max, job.record.need.gpus))
            .min(u64::from(u32::MAX)) as u32
    }

    pub(crate) fn rent(&mut self, now: Time, wall: Wall, out: &mut Vec<Effect>) {
        if self.inventory.renting() || (!self.open() && now.since(self.since) < Duration(3000)) {
            return;
        }
        let demands = self.demands(now);
        if demands.is_empty() {
            return;
        }
        for d in &demands {
            debug!("demand job={} count={} spot={} ordinary={}", d.job, d.count, d.spot, d.ordinary);
        }
        let mut zones: BTreeMap<(String, bool), u64> = BTreeMap::new();
        for m in self.machines.values() {
            *zones.entry((m.record.zone.clone(), m.record.spot)).or_insert(0) += m.capacity.cpus;
        }
        for (_, b) in self.inventory.booting() {
            let cpus = self.inventory.flavor(&b.kind).map_or(0, |f| intake::capacity(f).cpus);
            *zones.entry((b.zone.clone(), b.spot)).or_insert(0) += cpus;
        }
        let inventory = &self.inventory;
        let (doubtful, empty) = (&self.doubtful, &self.empty_zones);
        let refused = |place: &Place| {
            inventory.refused(place, now)
                || self.lost_within(&place.1, now, AVOID_ZONE)
                || doubtful.contains(&place.1)
                || (empty.contains(&place.1) && self.coming(&place.1))
        };
        let mut counts =
            inventory::choose(&demands, self.inventory.flavors().unwrap_or_default(), &refused, &mut zones);
        for (_, count) in counts.iter_mut().filter(|(place, _)| empty.contains(&place.1)) {
            *count = 1;
        }
        counts.extend(self.probes(now).into_iter().map(|place| (place, 1)));
        let mut events = Vec::new();
        // Ordinary machines first: services have no other place.
        let mut calls: Vec<(Place, u32)> = counts
            .into_iter()
            .flat_map(|(place, count)| {
                let parts = count.div_ceil(inventory::RENT_LIMIT);
                (0..parts).map(move |i| (place.clone(), (count - i * inventory::RENT_LIMIT).min(inventory::RENT_LIMIT)))
            })
            .collect();
        calls.sort_by_key(|(place, count)| (place.2, std::cmp::Reverse(*count)));
        for (place, count) in calls.into_iter().take(self.inventory.calls_left()) {
            self.inventory.rent(now, &place, count, &mut events);
        }
        self.hired(now, wall, events, out);
    }

    /// Whether most machines of a zone were seen silent, or not coming up, so lately.
    fn lost_within(&self, zone: &str, now: Time, span: Duration) -> bool {
        self.lost_zones.get(zone).is_some_and(|z| now.since(z.seen) < span)
    }

    /// Whether a machine is on its way in a zone.
    fn coming(&self, zone: &str) -> bool {
        self.inventory.booting().any(|(_, b)| b.zone == zone)
    }

    /// Notes the zones in which no machine is up while others have several.
    ///
    /// Such a zone looks the emptiest and would get everything that is rented, although it may be cut off;
    /// a new leader cannot know. One machine at a time is rented there; and where machines fell silent or
    /// do not come up, nothing is planned on those on their way.
    pub(crate) fn doubt_zones(&mut self, now: Time) {
        const SEVERAL: usize = 4;
        const REMEMBERED: Duration = Duration(120_000);
        let overdue = self.settings.deployment.workers.overdue();
        let mut up: HashMap<&str, usize> = HashMap::new();
        for m in self.machines.values().filter(|m| m.fenced && now.since(m.reached) < overdue) {
            *up.entry(&m.record.zone).or_default() += 1;
        }
        let mut empty = BTreeSet::new();
        if up.values().sum::<usize>() >= SEVERAL {
            let zones = self.inventory.flavors().into_iter().flatten().flat_map(|f| &f.zones);
            empty.extend(zones.filter(|zone| !up.contains_key(zone.as_str())).cloned());
        }
        for (_, b) in self.inventory.booting().filter(|(_, b)| empty.contains(&b.zone)) {
            let boot = self.inventory.flavor(&b.kind).map_or(60.0, |f| f.boot_s);
            if now.since(b.since) > Duration::secs(boot * 1.6 + 3.0) {
                self.lost_zones.entry(b.zone.clone()).or_insert(LostZone { since: now, seen: now }).seen = now;
            }
        }
        let lost = |zone: &&String| self.lost_within(zone, now, REMEMBERED);
        let doubtful: BTreeSet<String> = empty.iter().filter(lost).cloned().collect();
        if doubtful != self.doubtful {
            self.doubtful = doubtful;
            self.changed.extend(self.inventory.booting().map(|(id, _)| *id));
        }
        self.empty_zones = empty;
    }

    /// One machine for each doubtful zone that has none on its way: it shows whether the zone is there.
    fn probes(&self, now: Time) -> Vec<Place> {
        let none_coming = |zone: &&String| !self.lost_within(zone, now, AVOID_ZONE) && !self.coming(zone);
        let cheapest = |zone: &String| {
            let here = self.inventory.flavors().into_iter().flatten().filter(|f| f.zones.contains(zone));
            let places = here.flat_map(|f| [(f.spot_price, f, true), (f.price, f, false)]);
            let places = places.map(|(price, f, spot)| (price, (f.name.clone(), zone.clone(), spot)));
            let open = places.filter(|(_, place)| !self.inventory.refused(place, now));
            open.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, place)| place)
        };
        self.doubtful.iter().filter(none_coming).filter_map(cheapest).collect()
    }

    /// Empties an ordinary machine whose services fit on others that hold their images: a replica is
    /// moved within a fraction of a second, and an ordinary machine is dear.
    pub(crate) fn consolidate(&mut self, now: Time, wall: Wall) {
        // A start counts only if the task is not stopped within 30 s.
        const SETTLED: Duration = Duration(40_000);
        let draining = self.machines.values().any(|m| m.draining == Some(CONSOLIDATED))
            || self.drains.as_ref().is_some_and(Coordinator::consolidates);
        if !self.open() || draining || now.since(self.since) < SETTLED || self.inventory.renting() {
            return;
        }
        let boots = self.inventory.flavors().into_iter().flatten().map(|f| f.boot_s).fold(0.0, f64::max);
        let overdue = self.settings.deployment.workers.overdue();
        let mut best: Option<(u64, MachineId)> = None;
        for (id, m) in self.machines.iter().filter(|(_, m)| m.usable() && !m.record.spot && m.in_reach(now, overdue)) {
            let settled = |h: &Hold| h.running_since.is_some_and(|r| now.since(r) > SETTLED) && h.stop.is_none();
            let (services, others): (Vec<&Hold>, Vec<&Hold>) =
                m.holds.values().filter(|h| h.occupies()).partition(|h| h.predicted.is_none());
            if services.is_empty() || !others.is_empty() || !services.iter().all(|h| settled(h)) {
                continue;
            }
            if now.since(m.since) < Duration(60_000) || self.plans.server(*id).is_some_and(|s| !s.queue.is_empty()) {
                continue;
            }
            let price = self.inventory.flavor(&m.record.kind).map_or(0.0, |f| f.price);
            let saving = (price * 1e4) as u64 / (services.len() as u64);
            if best.is_none_or(|(other, _)| saving > other) && self.fits_elsewhere(*id, &services, boots) {
                best = Some((saving, *id));
            }
        }
        let Some((_, id)) = best else { return };
        if self.drains.as_ref().is_some_and(Coordinator::enabled) {
            if self.consolidate_within_budgets(now, wall, id) {
                info!("consolidating machine={id} within the budgets");
            }
            return;
        }
        let Some(m) = self.machines.get_mut(&id) else { return };
        info!("consolidating machine={id} services={}", m.holds.values().filter(|h| h.occupies()).count());
        m.draining = Some(CONSOLIDATED);
        let attempts: Vec<_> = m.holds.iter().filter(|(_, h)| h.occupies()).map(|(a, _)| *a).collect();
        for attempt in attempts {
            self.stop(id, attempt, 0.0);
        }
        self.plans.remove(id);
    }

    /// Whether services of a machine fit into free room of others that hold their images, with room
    /// left for those that are likely to come.
    fn fits_elsewhere(&self, from: MachineId, services: &[&Hold], boot_s: f64) -> bool {
        let mut rooms = RoomPlanner::for_consolidation(self, from);
        if !rooms.take_all(services.iter().copied()) {
            return false;
        }
        let Some((job, wanted)) = self.expected_services(boot_s) else { return true };
        rooms.count(job) >= wanted
    }

    /// Gives back what has been idle: a machine costs a minimum that is better used than wasted.
    pub(crate) fn return_idle(&mut self, now: Time) {
        const MINIMUM_CHARGE: Duration = Duration(60_000);
        let overdue = self.settings.deployment.workers.overdue();
        let mut idle = Vec::new();
        for (id, m) in &mut self.machines {
            let busy =
                m.holds.values().any(Hold::occupies) || self.plans.server(*id).is_some_and(|s| !s.queue.is_empty());
            if busy || !m.usable() || !m.in_reach(now, overdue) {
                m.idle_since = None;
                continue;
            }
            let since = *m.idle_since.get_or_insert(now);
            let keep = if m.record.spot { self.settings.tuning.idle_spot } else { self.settings.tuning.idle_ordinary };
            let spare = m.record.spot || !self.headroom.contains_key(id);
            if spare && now.since(since) >= keep && now.since(m.since) >= MINIMUM_CHARGE {
                idle.push(*id);
            }
        }
        idle.retain(|id| !self.is_replacement(*id));
        for id in idle {
            if let Some(m) = self.machines.get_mut(&id) {
                m.draining = Some("idle");
            }
            self.plans.remove(id);
            self.inventory.give_back(id, "idle");
        }
    }
}
