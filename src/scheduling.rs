//! Where plan, jobs, machines and fleet meet: what is planned, started, pushed aside and rented.

use crate::controller::Effect;
use crate::fleet::{self, Demand, Place};
use crate::intake::{self, Job};
use crate::plan::{Entry, Order, Server, World};
use crate::reign::Reign;
use crate::units::{Attempt, JobId, MachineId, Room, Span, TaskId, Time, Wall};
use crate::workers::{Doubt, Hold, Machine, Phase};
use log::{debug, info};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Least time between two plannings: a controller has a tenth of a core.
const SCHEDULE_EVERY: Span = Span(100);
/// Least time between two looks at what to rent and return.
const DEMAND_EVERY: Span = Span(500);
/// Tasks that may use spot machines wait so long for one before an ordinary one is rented: it costs
/// several times as much, and spot machines become free.
const SPOT_PATIENCE: Span = Span(200_000);
/// Tasks of one job that are planned at once.
const BATCH: u32 = 128;

/// Why a machine is drained whose services were moved to others.
const CONSOLIDATED: &str = "its services fit elsewhere";

/// The parts of a reign that planning reads, borrowed beside the plan itself.
struct View<'a> {
    book: &'a intake::JobBook,
    machines: &'a BTreeMap<MachineId, Machine>,
    fleet: &'a fleet::Fleet,
    correction: crate::plan::Correction,
    zones: &'a [String],
}

impl View<'_> {
    fn place_of(&self, id: MachineId) -> Option<(&str, &str, bool)> {
        if let Some(m) = self.machines.get(&id) {
            return Some((&m.record.kind, &m.record.zone, m.record.spot));
        }
        self.fleet.booting().find(|(b, _)| **b == id).map(|(_, b)| (b.kind.as_str(), b.zone.as_str(), b.spot))
    }

    /// Whether the job's description allows its tasks on this machine.
    fn allowed(&self, job: &Job, id: MachineId) -> bool {
        let Some((kind, zone, spot)) = self.place_of(id) else { return false };
        job.record.allows(kind, zone, spot) && !job.failed_on.contains(&id)
    }

    /// How many of a job's tasks are, or may be, in each zone.
    fn by_zone(&self, job: &Job) -> BTreeMap<usize, u32> {
        let mut zones = BTreeMap::new();
        for placed in job.placed.values() {
            if let Some(zone) = self.machines.get(&placed.machine).and_then(|m| self.zone(&m.record.zone)) {
                *zones.entry(zone).or_insert(0) += 1;
            }
        }
        zones
    }

    fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|z| z == name)
    }

    /// Run-time estimate plus uncached image fetch, scaled by CorrecFAST.
    fn predicted(&self, job: &Job, id: MachineId) -> Option<Span> {
        let (kind, ..) = self.place_of(id)?;
        let cached = self.machines.get(&id).is_some_and(|m| m.images.contains(&job.record.image));
        let fetch = match self.fleet.flavor(kind) {
            Some(f) if !cached && f.fetch_gb_per_s > 0.0 => {
                Span((job.record.image_mb as f64 / f.fetch_gb_per_s) as u64)
            }
            _ => Span(0),
        };
        Some(self.correction.predict(job.record.estimate + fetch))
    }
}

impl World for View<'_> {
    fn predict(&self, job: JobId, server: &Server) -> Option<Span> {
        let job = self.book.get(job)?;
        if !self.allowed(job, server.id) {
            return None;
        }
        self.predicted(job, server.id)
    }

    fn zone_room(&self, job: JobId, zone: usize, planned: &BTreeMap<usize, u32>) -> u32 {
        let Some(job) = self.book.get(job) else { return 0 };
        let mut zones = self.by_zone(job);
        for (zone, n) in planned {
            *zones.entry(*zone).or_insert(0) += n;
        }
        if job.record.together && zones.keys().any(|z| *z != zone) {
            return 0;
        }
        job.record.zone_cap().saturating_sub(zones.get(&zone).copied().unwrap_or(0))
    }
}

fn order_of(job: &Job) -> Order {
    Order { rank: job.record.rank, seq: job.seq }
}

fn entry_of(job: &Job) -> Entry {
    Entry {
        job: job.record.id,
        order: order_of(job),
        count: 1,
        need: job.record.need,
        run: Span(0),
        endless: job.record.service,
        deadline: job.deadline(),
        tied: job.record.together || job.record.spread,
    }
}

/// When a hold is predicted to give its room back.
fn release(hold: &Hold, now: Time) -> Option<Time> {
    if hold.stop.is_some() {
        return Some(now + Span(100));
    }
    let predicted = hold.predicted?;
    let end = hold.since + predicted;
    // Overdue: most likely it ends soon, but not at once.
    Some(end.max(now + Span((predicted.0 / 10).max(300))))
}

/// Whether a task may be stopped to make room for one of this rank: it must be of a lower one, end by
/// itself, and not be stopping already.
fn pushable(hold: &Hold, rank: u8) -> bool {
    hold.claimed && hold.occupies() && hold.stop.is_none() && hold.rank > rank && hold.predicted.is_some()
}

impl Reign {
    fn parts(&self) -> View<'_> {
        View {
            book: &self.book,
            machines: &self.machines,
            fleet: &self.fleet,
            correction: self.correction,
            zones: &self.zones,
        }
    }

    pub(crate) fn maybe_schedule(&mut self, now: Time, wall: Wall, certain: bool, out: &mut Vec<Effect>) {
        if !self.loaded() || self.fleet.flavors().is_none() || now.since(self.scheduled) < SCHEDULE_EVERY {
            return;
        }
        let look = now.since(self.demanded) >= DEMAND_EVERY;
        if !self.dirty && !look {
            return;
        }
        self.dirty = false;
        self.scheduled = now;
        self.schedule(now);
        if look {
            self.demanded = now;
            if certain {
                self.rent(now, wall, out);
                self.return_idle(now);
                self.consolidate(now);
            }
        }
    }

    fn schedule(&mut self, now: Time) {
        self.refresh(now);
        let used = self.team_use();
        self.drain_noticed(now);
        self.plans.release_stuck(now);
        self.plan_waiting(now, &used);
        let mut used = used;
        self.start_planned(now, &mut used);
        self.steal(now, &mut used);
        self.make_room(now);
    }

    /// Brings the plan's machines up to date.
    fn refresh(&mut self, now: Time) {
        let overdue = Span::secs(self.settings.deployment.workers.report_s * 2.0 + 2.0);
        for machine in self.machines.values_mut() {
            if machine.capacity == Room::default()
                && let Some(flavor) = self.fleet.flavors().into_iter().flatten().find(|f| f.name == machine.record.kind)
            {
                machine.capacity = intake::capacity(flavor);
            }
        }
        let mut seen = HashSet::new();
        let mut refreshed = Vec::new();
        for (id, m) in &self.machines {
            if m.draining.is_some()
                || m.notice.is_some()
                || now.since(m.heard) > overdue
                || self.fleet.is_returning(*id)
            {
                continue;
            }
            seen.insert(*id);
            let ready = if m.usable() { now } else { now + Span(500) };
            let releases = m
                .holds
                .values()
                .filter(|h| h.occupies())
                .filter_map(|h| release(h, now).map(|at| (at, h.need)))
                .collect();
            let mut soft = Room::default();
            for hold in m.holds.values().filter(|h| pushable(h, 0)) {
                soft.add(&hold.need);
            }
            let room = (m.free(), soft);
            refreshed.push((*id, m.record.zone.clone(), ready, room, releases, m.record.kind.clone(), m.record.spot));
        }
        for (id, b) in self.fleet.booting() {
            let Some(flavor) = self.fleet.flavor(&b.kind) else { continue };
            seen.insert(*id);
            let expected = b.since + Span::secs(flavor.boot_s * 1.05);
            let ready = expected.max(now + Span(2000));
            let free = intake::capacity(flavor);
            refreshed.push((*id, b.zone.clone(), ready, (free, Room::default()), Vec::new(), b.kind.clone(), b.spot));
        }
        for (id, zone, ready, (free, soft), releases, kind, spot) in refreshed {
            let zone = match self.zones.iter().position(|z| *z == zone) {
                Some(at) => at,
                None => {
                    self.zones.push(zone);
                    self.zones.len() - 1
                }
            };
            // Services fill cheap machines that are in use; other tasks go to spot machines first. The
            // fuller machine is preferred, so that others become idle and can be given back.
            let price = self.fleet.flavor(&kind).map_or(0, |f| (f.price / f.cpus.max(1.0) * 1e4) as u64);
            let bias = (price << 32 | free.cpus, u64::from(!spot) << 32 | free.cpus);
            self.plans.refresh(now, Server { id, zone, ready, bias, free, soft, releases, queue: Vec::new() });
        }
        let gone: Vec<MachineId> = self.plans.servers().map(|s| s.id).filter(|id| !seen.contains(id)).collect();
        for id in gone {
            self.plans.remove(id);
        }
    }

    /// What each team's tasks use, or may use.
    fn team_use(&self) -> HashMap<String, Room> {
        let mut used: HashMap<String, Room> = HashMap::new();
        for machine in self.machines.values() {
            for hold in machine.holds.values().filter(|h| h.occupies()) {
                // A task whose job is over still counts; its team is not known any more, so it
                // counts for all that are limited.
                let team = self.book.get(hold.task.job).map_or("", |j| j.record.team.as_str());
                let need = if hold.need == Room::default() { machine.capacity } else { hold.need };
                used.entry(team.to_string()).or_default().add(&need);
            }
        }
        used
    }

    /// Whether a team may use this much more.
    fn within_limit(&self, used: &HashMap<String, Room>, job: &Job, times: u64) -> bool {
        let Some(team) = self.settings.deployment.teams.iter().find(|t| t.name == job.record.team) else {
            return false;
        };
        if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
            return true;
        }
        if !self.open() {
            // Machines that are not fenced may run tasks of the team that are not known here.
            return false;
        }
        let of = |name: &str| used.get(name).copied().unwrap_or_default();
        let mut total = of(&job.record.team);
        total.add(&of(""));
        let fits = |max: f64, have: u64, need: u64| max <= 0.0 || have + need * times <= (max * 1000.0 + 1e-6) as u64;
        fits(team.cpus_max, total.cpus, job.record.need.cpus) && fits(team.gpus_max, total.gpus, job.record.need.gpus)
    }

    /// Whether tasks of this job may be started at all now.
    fn startable(&self, job: &Job, now: Time) -> bool {
        job.durable && !job.cancelling && !job.pending.is_empty() && job.not_before <= now && (self.open() || job.ours)
    }

    /// Places what waits unplanned, most important first.
    fn plan_waiting(&mut self, now: Time, used: &HashMap<String, Room>) {
        let mut waiting: Vec<(Order, JobId, u32)> = self
            .book
            .live()
            .filter(|j| self.startable(j, now) && self.within_limit(used, j, 1))
            .filter_map(|j| {
                let left = j.pending.len().saturating_sub(self.plans.planned(j.record.id));
                (left > 0).then_some((order_of(j), j.record.id, left))
            })
            .collect();
        waiting.sort_unstable();
        // Like tasks that found no machine in this round are not tried one by one.
        let mut hopeless: Vec<(Room, bool, bool)> = Vec::new();
        for (_, id, left) in waiting {
            let Some(job) = self.book.get(id) else { continue };
            let class = (job.record.need, job.record.spot, job.record.service);
            let plain = job.record.types.is_none() && job.record.zone.is_none();
            if plain && hopeless.contains(&class) {
                continue;
            }
            let entry = entry_of(job);
            let want = left.min(BATCH);
            let mut plans = std::mem::take(&mut self.plans);
            let parts = self.parts();
            let placed = plans.place(now, entry, want, &parts);
            self.plans = plans;
            if placed < want && plain && !entry.tied {
                hopeless.push(class);
            }
        }
    }

    /// Whether a task of this job may start on this machine at this moment.
    fn may_start(&self, job: &Job, machine: &Machine, now: Time, used: &HashMap<String, Room>) -> bool {
        if !machine.usable() || !self.startable(job, now) || !self.within_limit(used, job, 1) {
            return false;
        }
        let parts = self.parts();
        if !parts.allowed(job, machine.id()) || !job.record.need.fits(&machine.free()) {
            return false;
        }
        if job.record.spread || job.record.together {
            let Some(zone) = parts.zone(&machine.record.zone) else { return false };
            let zones = parts.by_zone(job);
            if job.record.together && zones.keys().any(|z| *z != zone) {
                return false;
            }
            return zones.get(&zone).copied().unwrap_or(0) < job.record.zone_cap();
        }
        true
    }

    /// Starts what has room on the machine that it was planned for.
    fn start_planned(&mut self, now: Time, used: &mut HashMap<String, Room>) {
        let ids: Vec<MachineId> = self.plans.servers().filter(|s| !s.queue.is_empty()).map(|s| s.id).collect();
        for id in ids {
            let mut at = 0;
            while let Some(entry) = self.plans.server(id).and_then(|s| s.queue.get(at)).copied() {
                let (Some(machine), Some(job)) = (self.machines.get(&id), self.book.get(entry.job)) else { break };
                if !machine.usable() {
                    break;
                }
                if self.may_start(job, machine, now, used) {
                    self.plans.take(id, at);
                    self.start_task(now, id, entry, used);
                } else if entry.need.fits(&machine.free()) || entry.endless {
                    // Held back by something else than room, or behind room that endless tasks keep.
                    at += 1;
                } else {
                    break;
                }
            }
        }
    }

    fn start_task(&mut self, now: Time, id: MachineId, entry: Entry, used: &mut HashMap<String, Room>) {
        let attempt = self.next_attempt();
        let Some(job) = self.book.get_mut(entry.job) else { return };
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(index) = job.pending.iter().take(64).find(|i| !machine.knows(TaskId { job: entry.job, index: *i }))
        else {
            return;
        };
        job.pending.remove(index);
        job.placed.insert(index, intake::Placed { machine: id, attempt, running: false });
        let task = TaskId { job: entry.job, index };
        debug!("start {task} attempt={attempt} machine={id} predicted={}s", entry.run.as_secs());
        used.entry(job.record.team.clone()).or_default().add(&entry.need);
        machine.idle_since = None;
        machine.holds.insert(
            attempt,
            Hold {
                task,
                phase: Phase::Ordered,
                seen: false,
                doubt: Doubt::None,
                stop: None,
                stop_sent: false,
                reapable: false,
                claimed: true,
                need: entry.need,
                rank: entry.order.rank,
                image: job.record.image.clone(),
                since: now,
                running_since: None,
                predicted: (!entry.endless).then_some(entry.run),
            },
        );
        machine.wants_command = true;
    }

    /// Machines with nothing planned take the highest-priority fitting task from other plans.
    fn steal(&mut self, now: Time, used: &mut HashMap<String, Room>) {
        let idle: Vec<MachineId> = self
            .plans
            .servers()
            .filter(|s| s.queue.is_empty() && s.free.cpus > 0 && self.machines.get(&s.id).is_some_and(Machine::usable))
            .map(|s| s.id)
            .collect();
        if idle.len() == self.plans.servers().count() {
            return;
        }
        for id in idle {
            for _ in 0..64 {
                let mut plans = std::mem::take(&mut self.plans);
                let Some(machine) = self.machines.get(&id) else { break };
                plans.set_free(id, machine.free());
                let parts = self.parts();
                let taken = plans.steal(id, &|entry, _| {
                    let job = self.book.get(entry.job)?;
                    if !self.may_start(job, machine, now, used) {
                        return None;
                    }
                    parts.predicted(job, id)
                });
                self.plans = plans;
                let Some(entry) = taken else { break };
                self.plans.clear_queue(id);
                self.start_task(now, id, entry, used);
            }
        }
    }

    /// Stops tasks of lower priority where services are planned that would have to wait for room.
    ///
    /// The plan counts such room as free for services, so they are planned where it can be made; those
    /// that lose least work go first.
    fn make_room(&mut self, now: Time) {
        let mut stops: Vec<(MachineId, Attempt, JobId)> = Vec::new();
        for server in self.plans.servers() {
            let Some(machine) = self.machines.get(&server.id).filter(|m| m.usable()) else { continue };
            let mut free = machine.free();
            for hold in machine.holds.values().filter(|h| h.occupies() && h.stop.is_some()) {
                free.add(&hold.need);
            }
            let mut victims: Option<Vec<(u64, Attempt, Room)>> = None;
            for entry in server.queue.iter().filter(|e| e.endless && e.order.rank == 0) {
                if !self.book.get(entry.job).is_some_and(|job| self.startable(job, now)) {
                    continue;
                }
                for _ in 0..entry.count {
                    let victims = victims.get_or_insert_with(|| self.victims(machine, now));
                    let mut room = free;
                    let enough = victims.iter().position(|(_, _, need)| {
                        let fits = entry.need.fits(&room);
                        room.add(need);
                        fits
                    });
                    let count = match enough {
                        Some(count) => count,
                        None if entry.need.fits(&room) => victims.len(),
                        None => break,
                    };
                    for (_, attempt, need) in victims.drain(..count) {
                        free.add(&need);
                        stops.push((server.id, attempt, entry.job));
                    }
                    free.sub(&entry.need);
                }
            }
        }
        for (id, attempt, job) in stops {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            if let Some(hold) = machine.holds.get(&attempt) {
                info!("preempted {} machine={id} for={job}", hold.task);
            }
            machine.stop(attempt, 0.0);
        }
    }

    /// What may be stopped for a service on this machine, with the work it would lose, least first.
    fn victims(&self, machine: &Machine, now: Time) -> Vec<(u64, Attempt, Room)> {
        let mut victims: Vec<(u64, Attempt, Room)> = machine
            .holds
            .iter()
            .filter(|(_, h)| pushable(h, 0))
            .map(|(a, h)| {
                let ran = h.running_since.map_or(Span(0), |r| now.since(r));
                let every = self.book.get(h.task.job).map_or(0, |j| j.record.checkpoint.0);
                let lost = if every > 0 { ran.0 % every } else { ran.0 };
                (lost, *a, h.need)
            })
            .collect();
        victims.sort_unstable_by_key(|v| v.0);
        victims
    }

    /// Saves what can be saved on machines that the cloud takes back.
    fn drain_noticed(&mut self, now: Time) {
        let slack = Span::secs(self.settings.deployment.workers.report_s * 0.5 + 1.0);
        for machine in self.machines.values_mut() {
            let Some(until) = machine.notice else { continue };
            let left = Span(until.0.saturating_sub(now.0));
            let mut stops = Vec::new();
            for (attempt, hold) in machine.holds.iter().filter(|(_, h)| h.claimed && h.occupies() && h.stop.is_none()) {
                let Some(job) = self.book.get(hold.task.job) else { continue };
                let ends = release(hold, now).unwrap_or(Time::NEVER);
                if ends < until {
                    continue;
                }
                let save = job.record.save;
                if job.record.checkpoint.0 == 0 {
                    stops.push((*attempt, 0.0));
                } else if left <= save + slack + Span(500) {
                    stops.push((*attempt, save.as_secs()));
                }
            }
            for (attempt, grace) in stops {
                machine.stop(attempt, grace);
            }
        }
    }

    /// What waits too long on the machines that there are, as classes.
    fn demands(&self, now: Time) -> Vec<Demand> {
        let boots = self.fleet.flavors().into_iter().flatten().map(|f| f.boot_s).fold(f64::MAX, f64::min);
        let boot = Span::secs(if boots == f64::MAX { 30.0 } else { boots });
        // Apart are those that would wait so long that ordinary machines are rented for them too.
        let mut counts: BTreeMap<(Order, JobId, bool), u32> = BTreeMap::new();
        for server in self.plans.servers().filter(|s| !s.queue.is_empty()) {
            for (entry, start) in self.plans.starts(server.id, now) {
                // A machine rented now would be up after `boot`: only what it would start sooner counts.
                let late = match start {
                    None => true,
                    Some(at) if entry.endless => at > now + boot + Span(5000),
                    Some(at) => {
                        let goal = self.book.get(entry.job).map_or(Time::NEVER, |j| self.goal(j));
                        at > now + boot + Span(3000) && at + entry.run > goal
                    }
                };
                if late {
                    let long = start.is_some_and(|at| at > now + SPOT_PATIENCE);
                    *counts.entry((entry.order, entry.job, long)).or_insert(0) += 1;
                }
            }
        }
        for job in self.book.live().filter(|j| self.startable(j, now)) {
            let left = job.pending.len().saturating_sub(self.plans.planned(job.record.id));
            if left > 0 {
                let long = now.since(job.submitted) > SPOT_PATIENCE;
                *counts.entry((order_of(job), job.record.id, long)).or_insert(0) += left;
            }
        }
        let headroom = self.headroom(boot);
        counts
            .into_iter()
            .filter_map(|((_, id, long), count)| {
                let job = self.book.get(id)?;
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
                    zone: job.record.zone.clone(),
                    zone_cap: job.record.zone_cap(),
                })
            })
            .chain(headroom)
            .filter(|d| d.count > 0)
            .collect()
    }

    /// How many tasks of services are likely to come within a boot, and a job like them.
    fn expected_services(&self, boot_s: f64) -> Option<(&Job, u64)> {
        const WINDOW: Span = Span(120_000);
        const SLOT: Span = Span(10_000);
        // Jobs that come all at once, as at a start, say little of what comes next.
        const SLOT_LIMIT: u32 = 6;
        let mut slots: BTreeMap<u64, u32> = BTreeMap::new();
        let mut typical: Option<&Job> = None;
        let now = self.scheduled;
        for job in self.book.live().filter(|j| j.record.service && j.record.rank == 0 && j.record.zone.is_none()) {
            let age = now.since(job.submitted);
            if age < WINDOW {
                *slots.entry(age.0 / SLOT.0).or_insert(0) += job.record.tasks;
            }
            if typical.is_none_or(|t| t.record.need.cpus < job.record.need.cpus) {
                typical = Some(job);
            }
        }
        let job = typical?;
        let rate = slots.values().map(|n| f64::from((*n).min(SLOT_LIMIT))).sum::<f64>() / WINDOW.as_secs();
        Some((job, ((rate * (boot_s + 10.0) * 1.5).ceil() as u64).max(3)))
    }

    /// Ordinary machines for services that are likely to come before a machine rented for them
    /// would be up: without room, even that of lower tasks, they would wait for the boot.
    fn headroom(&self, boot: Span) -> Option<Demand> {
        let (job, wanted) = self.expected_services(boot.as_secs())?;
        let parts = self.parts();
        let mut there = 0;
        for server in self.plans.servers() {
            if parts.allowed(job, server.id) {
                let mut room = server.free;
                room.add(&server.soft);
                there += job.record.need.times_in(&room);
            }
        }
        Some(Demand {
            job: job.record.id,
            need: job.record.need,
            count: wanted.saturating_sub(there) as u32,
            spot: false,
            ordinary: true,
            types: None,
            zone: None,
            zone_cap: u32::MAX,
        })
    }

    /// When a job's tasks should be over: its deadline, or what the settings aim at for its class.
    fn goal(&self, job: &Job) -> Time {
        if job.record.deadline.is_some() {
            return job.deadline();
        }
        let aims = self.settings.deployment.objectives.iter();
        let within = aims
            .filter(|o| o.kind == "finished" && o.class == job.record.class)
            .filter_map(|o| o.within_s)
            .fold(f64::MAX, f64::min);
        if within == f64::MAX { Time(0) } else { job.submitted + Span::secs(within * 0.5) }
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

    fn rent(&mut self, now: Time, wall: Wall, out: &mut Vec<Effect>) {
        if self.fleet.renting() || (!self.open() && now.since(self.since) < Span(3000)) {
            return;
        }
        let demands = self.demands(now);
        if demands.is_empty() {
            return;
        }
        for d in &demands {
            debug!("demand job={} count={} spot={} ordinary={}", d.job, d.count, d.spot, d.ordinary);
        }
        let mut zones: BTreeMap<String, u64> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| !m.record.spot) {
            *zones.entry(machine.record.zone.clone()).or_insert(0) += machine.capacity.cpus;
        }
        for (_, b) in self.fleet.booting().filter(|(_, b)| !b.spot) {
            let cpus = self.fleet.flavor(&b.kind).map_or(0, |f| intake::capacity(f).cpus);
            *zones.entry(b.zone.clone()).or_insert(0) += cpus;
        }
        let fleet = &self.fleet;
        let refused = |place: &Place| fleet.refused(place, now);
        let counts = fleet::choose(&demands, self.fleet.flavors().unwrap_or_default(), &refused, &mut zones);
        let mut events = Vec::new();
        for (place, count) in counts.into_iter().take(4) {
            self.fleet.rent(now, &place, count, &mut events);
        }
        self.hired(now, wall, events, out);
    }

    /// Empties an ordinary machine whose services fit on others that hold their images: a replica is
    /// moved within a fraction of a second, and an ordinary machine is dear.
    fn consolidate(&mut self, now: Time) {
        // A start counts only if the task is not stopped within 30 s.
        const SETTLED: Span = Span(40_000);
        let draining = self.machines.values().any(|m| m.draining == Some(CONSOLIDATED));
        if !self.open() || draining || now.since(self.since) < SETTLED || self.fleet.renting() {
            return;
        }
        let boots = self.fleet.flavors().into_iter().flatten().map(|f| f.boot_s).fold(0.0, f64::max);
        let mut best: Option<(u64, MachineId)> = None;
        for (id, m) in self.machines.iter().filter(|(_, m)| m.usable() && !m.record.spot) {
            let settled = |h: &Hold| h.running_since.is_some_and(|r| now.since(r) > SETTLED) && h.stop.is_none();
            let (services, others): (Vec<&Hold>, Vec<&Hold>) =
                m.holds.values().filter(|h| h.occupies()).partition(|h| h.predicted.is_none());
            if services.is_empty() || !others.is_empty() || !services.iter().all(|h| settled(h)) {
                continue;
            }
            if now.since(m.since) < Span(60_000) || self.plans.server(*id).is_some_and(|s| !s.queue.is_empty()) {
                continue;
            }
            let price = self.fleet.flavor(&m.record.kind).map_or(0.0, |f| f.price);
            let saving = (price * 1e4) as u64 / (services.len() as u64);
            if best.is_none_or(|(other, _)| saving > other) && self.fits_elsewhere(*id, &services, boots) {
                best = Some((saving, *id));
            }
        }
        let Some((_, id)) = best else { return };
        let Some(m) = self.machines.get_mut(&id) else { return };
        info!("consolidating machine={id} services={}", m.holds.values().filter(|h| h.occupies()).count());
        m.draining = Some(CONSOLIDATED);
        let attempts: Vec<_> = m.holds.iter().filter(|(_, h)| h.occupies()).map(|(a, _)| *a).collect();
        for attempt in attempts {
            m.stop(attempt, 0.0);
        }
        self.plans.remove(id);
    }

    /// Whether services of a machine fit into free room of others that hold their images, with room
    /// left for those that are likely to come.
    fn fits_elsewhere(&self, from: MachineId, services: &[&Hold], boot_s: f64) -> bool {
        let parts = self.parts();
        let mut rooms: Vec<(&Machine, Room)> = self
            .machines
            .values()
            .filter(|m| m.id() != from && m.usable() && !m.record.spot)
            .map(|m| (m, m.free()))
            .collect();
        // Full machines first, so that larger room stays together.
        rooms.sort_by_key(|(_, room)| room.cpus);
        let mut moved: HashMap<(JobId, usize), u32> = HashMap::new();
        for hold in services {
            let Some(job) = self.book.get(hold.task.job) else { return false };
            let zones = parts.by_zone(job);
            let mut found = false;
            for (m, room) in &mut rooms {
                let Some(zone) = parts.zone(&m.record.zone) else { continue };
                let there =
                    zones.get(&zone).copied().unwrap_or(0) + moved.get(&(job.record.id, zone)).copied().unwrap_or(0);
                // Counted as if the replica stayed where it is: on the safe side.
                let zone_free = there < job.record.zone_cap() && !job.record.together;
                if hold.need.fits(room) && m.images.contains(&hold.image) && parts.allowed(job, m.id()) && zone_free {
                    room.sub(&hold.need);
                    *moved.entry((job.record.id, zone)).or_insert(0) += 1;
                    found = true;
                    break;
                }
            }
            if !found {
                return false;
            }
        }
        let Some((job, wanted)) = self.expected_services(boot_s) else { return true };
        let left: u64 =
            rooms.iter().filter(|(m, _)| parts.allowed(job, m.id())).map(|(_, r)| job.record.need.times_in(r)).sum();
        left >= wanted
    }

    /// Gives back what has been idle: a machine costs a minimum that is better used than wasted.
    fn return_idle(&mut self, now: Time) {
        const MINIMUM_CHARGE: Span = Span(60_000);
        let mut idle = Vec::new();
        for (id, m) in &mut self.machines {
            let busy =
                m.holds.values().any(Hold::occupies) || self.plans.server(*id).is_some_and(|s| !s.queue.is_empty());
            if busy || !m.usable() {
                m.idle_since = None;
                continue;
            }
            let since = *m.idle_since.get_or_insert(now);
            let keep = if m.record.spot { self.settings.tuning.idle_spot } else { self.settings.tuning.idle_ordinary };
            if now.since(since) >= keep && now.since(m.since) >= MINIMUM_CHARGE {
                idle.push(*id);
            }
        }
        for id in idle {
            if let Some(m) = self.machines.get_mut(&id) {
                m.draining = Some("idle");
            }
            self.plans.remove(id);
            self.fleet.give_back(id, "idle");
        }
    }
}
