//! Where plan, jobs and machines meet: what is planned, started and pushed aside.

use crate::controller::Effect;
use crate::intake::{self, Job};
use crate::inventory;
use crate::plan::{self, Entry, Order, Profile, Server, World, Zones};
use crate::term::Term;
use crate::types::{AttemptId, Duration, JobId, MachineId, Resources, TaskId, Timestamp, WallClock};
use crate::workers::{Doubt, Hold, Machine, Phase};
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod gangs;
mod limits;
mod pacing;
mod room;
mod starts;
mod view;

pub(crate) use pacing::Pacing;
pub(crate) use view::{Names, View};

/// Least time between two rounds of drains, beside those that follow a write.
const DRAIN_EVERY: Duration = Duration::from_secs(1);
/// Tasks of one job that are planned at once.
const BATCH: u32 = 128;

/// A job of which nothing has begun for so long is promoted, so that it begins within four minutes.
const STARVED_AFTER: Duration = Duration::from_secs(120);
/// To this rank, for its first task: before all but services, which it must not push aside.
const PROMOTED: u8 = 1;

/// Used by tasks of which nothing is known: no limited team may start anything beside it.
const UNKNOWN: Resources = Resources { cpus: u64::MAX >> 32, gpus: u64::MAX >> 32, memory: u64::MAX >> 32 };

pub(crate) fn order_of(job: &Job) -> Order {
    Order { rank: job.urgency, seq: job.seq }
}

/// Whether tasks of this job may start in room that is kept ahead: what it is kept for, services, and what has waited too long.
fn takes_kept_room(job: &Job, prompt_classes: &BTreeSet<String>) -> bool {
    job.record.service || job.promoted() || prompt_classes.contains(&job.record.class)
}

fn entry_of(job: &Job, prompt_classes: &BTreeSet<String>) -> Entry {
    Entry {
        job: job.record.id,
        order: order_of(job),
        count: 1,
        need: job.record.need,
        run: Duration::ZERO,
        endless: job.record.service,
        deadline: job.deadline(),
        constrained: job.record.together || job.record.spread,
        gang: job.gang.is_some(),
        // By its own rank: a better one that it was given for its turn stops nobody.
        pushes_aside: ((job.record.service && job.record.rank == 0) || job.gang.is_some()).then_some(job.record.rank),
        takes_kept: takes_kept_room(job, prompt_classes),
    }
}

/// When a hold is predicted to give its room back.
fn release(hold: &Hold, now: Timestamp) -> Option<Timestamp> {
    if hold.stop.is_some() {
        return Some(now + Duration::from_millis(100));
    }
    let predicted = hold.predicted?;
    let end = hold.since + predicted;
    // Overdue: most likely it ends soon, but not at once.
    Some(end.max(now + (predicted / 10).max(Duration::from_millis(300))))
}

/// Whether a task may be stopped to make room for one of this rank: it must be of a lower one, end by
/// itself, and not be stopping already.
fn pushable(hold: &Hold, rank: u8) -> bool {
    let running = hold.claimed && hold.occupies() && hold.stop.is_none();
    // Stopping one task of a gang loses the work of all.
    running && hold.rank > rank && hold.predicted.is_some() && !hold.gang
}

impl Term {
    pub(crate) fn parts(&self) -> View<'_> {
        View {
            jobs: &self.jobs,
            machines: &self.machines,
            inventory: &self.inventory,
            correction: self.correction,
            names: &self.names,
        }
    }

    pub(crate) fn maybe_schedule(&mut self, now: Timestamp, wall: WallClock, certain: bool, out: &mut Vec<Effect>) {
        if !self.loaded()
            || self.inventory.flavors().is_none()
            || now.since(self.scheduled) < self.pacing.schedule_every()
        {
            return;
        }
        let look = now.since(self.demanded) >= self.pacing.demand_every();
        if !self.dirty && !look {
            return;
        }
        self.dirty = false;
        self.scheduled = now;
        self.pacing.begin_round();
        if look {
            self.doubt_zones(now);
        }
        self.schedule(now, look);
        if look {
            self.demanded = now;
            if certain {
                self.rent(now, wall, out);
                self.return_idle(now);
                self.consolidate(now, wall);
                if now.since(self.drained) >= DRAIN_EVERY {
                    self.drained = now;
                    self.tend_drains(now, wall, out);
                }
            }
        }
    }

    /// A round of planning: what changed since the last one, and everything when it is time to look.
    fn schedule(&mut self, now: Timestamp, look: bool) {
        self.refresh(now);
        self.drain_noticed(now);
        self.tend_gangs(now);
        let everything = look || self.limited();
        if everything {
            self.promote_starved(now);
            let ids: Vec<MachineId> = self.plans.servers().filter(|s| !s.queue.is_empty()).map(|s| s.id).collect();
            self.plans.release_stuck(now, ids.into_iter());
            self.release_misplaced();
            self.unplan_gangs();
        }
        let mut used = self.team_use();
        self.plan_waiting(now, &used);
        let touched = self.plans.take_touched();
        let ids: Vec<MachineId> = if everything {
            self.plans.servers().filter(|s| !s.queue.is_empty() || s.free.cpus > 0).map(|s| s.id).collect()
        } else {
            touched.into_iter().collect()
        };
        self.start_planned(now, &ids, &mut used);
        self.steal(now, &ids, &mut used);
        self.make_room(now);
        self.make_room_for_gangs(now);
    }

    /// Takes tasks out of the plan that have room where they wait, but may not start there: their job has as many in that zone as it
    /// may, or is in another one. An idle machine had taken a task from the queue of another zone, so that those planned in its own
    /// were one too many; they waited there for ever.
    fn release_misplaced(&mut self) {
        let mut misplaced = Vec::new();
        for (_, id, machines) in self.plans.waiting() {
            let Some(job) = self.jobs.get(id).filter(|job| job.gang.is_none()) else { continue };
            if !job.record.spread && !job.record.together {
                continue;
            }
            let there = self.parts().by_zone(job);
            let closed = |zone: usize| {
                there.get(&zone).is_some_and(|count| *count >= job.record.zone_cap())
                    || (job.record.together && there.keys().any(|other| *other != zone))
            };
            let in_closed = |machine: &MachineId| self.plans.server(*machine).is_some_and(|server| closed(server.zone));
            misplaced.extend(machines.filter(in_closed).map(|machine| (machine, id)));
        }
        for (machine, job) in misplaced {
            self.plans.cancel(machine, job);
        }
    }

    /// Starts what is planned next on a machine that has just shown a change, without waiting for a round.
    ///
    /// Its report is about to be answered, and what is ordered with the answer needs no command: each of those took a
    /// connection, and at 980 machines they were more than half of a leader's work.
    pub(crate) fn start_next(&mut self, now: Timestamp, id: MachineId) {
        if self.plans.server(id).is_none() || !self.machines.get(&id).is_some_and(Machine::usable) {
            return;
        }
        if self.limited() && self.plans.waiting().any(|(_, job, _)| self.has_limit(job)) {
            // What a team with a limit uses is counted over all machines, once a round. Until then its tasks could not
            // start, and lower ones would take the room.
            return;
        }
        self.changed.remove(&id);
        let Some(server) = self.server_of(now, id) else { return self.plans.remove(id) };
        self.plans.refresh(server);
        // Nothing of a team with a limit waits; if it did, what it uses may be anything.
        let mut used = HashMap::from([(String::new(), UNKNOWN)]);
        self.start_planned(now, &[id], &mut used);
        self.steal(now, &[id], &mut used);
    }

    /// Brings the plan's machines up to date, as far as something changed.
    fn refresh(&mut self, now: Timestamp) {
        if self.inventory.take_news() {
            self.changed.extend(self.inventory.booting().map(|(id, _)| *id));
        }
        let mut fresh = Vec::new();
        for id in std::mem::take(&mut self.changed) {
            match self.server_of(now, id) {
                Some(server) if self.plans.server(id).is_some() => {
                    self.plans.refresh(server);
                }
                Some(server) => fresh.push(server),
                None => self.plans.remove(id),
            }
        }
        self.plans.admit(now, fresh);
    }

    /// A machine as the plan sees it; `None` if nothing may be planned there.
    fn server_of(&mut self, now: Timestamp, id: MachineId) -> Option<Server> {
        if self.inventory.is_returning(id) {
            return None;
        }
        // Services fill cheap machines that are in use; other tasks go to spot machines first. The
        // fuller machine is preferred, so that others become idle and can be given back.
        let bias = |flavor: &crate::wire::Flavor, spot: bool, free: &Resources| {
            let price = (flavor.price / flavor.cpus.max(1.0) * 1e4) as u64;
            (price << 32 | free.cpus, u64::from(!spot) << 32 | free.cpus)
        };
        if let Some(m) = self.machines.get_mut(&id) {
            let overdue = self.settings.deployment.workers.overdue();
            let flavor = self.inventory.flavor(&m.record.kind)?;
            if m.capacity == Resources::default() {
                m.capacity = intake::capacity(flavor);
            }
            if m.draining.is_some() || m.notice.is_some() || !m.in_reach(now, overdue) {
                return None;
            }
            let mut releases: Vec<(Timestamp, Resources)> = Vec::new();
            let mut soft = [Resources::default(); plan::PUSHING_RANKS];
            for hold in m.holds.values().filter(|h| h.occupies()) {
                releases.extend(release(hold, now).map(|at| (at, hold.need)));
                for (rank, room) in (0..).zip(&mut soft) {
                    if pushable(hold, rank) {
                        room.add(&hold.need);
                    }
                }
            }
            let free = m.free();
            let leaves = self.drains.as_ref().is_some_and(|drains| drains.is_member(id));
            return Some(Server {
                id,
                zone: self.names.zone_index(&m.record.zone),
                kind: self.names.kind_index(&m.record.kind),
                spot: m.record.spot,
                ready: now,
                slack: if m.usable() { Duration::ZERO } else { Duration::from_millis(500) },
                // What is to be emptied soon is filled last.
                bias: if leaves { (u64::MAX, u64::MAX) } else { bias(flavor, m.record.spot, &free) },
                free,
                soft,
                releases,
                kept: self.headroom.get(&id).copied().unwrap_or_default(),
                images: self.names.images(m.images.iter()),
                ..Server::default()
            });
        }
        let b = self.inventory.booting_one(id).filter(|b| !self.doubtful.contains(&b.zone))?;
        let flavor = self.inventory.flavor(&b.kind)?;
        let free = intake::capacity(flavor);
        Some(Server {
            id,
            zone: self.names.zone_index(&b.zone),
            kind: self.names.kind_index(&b.kind),
            spot: b.spot,
            ready: b.since + Duration::from_secs_f64(flavor.boot_s * 1.05),
            slack: Duration::from_secs(2),
            bias: bias(flavor, b.spot, &free),
            free,
            ..Server::default()
        })
    }

    /// Of jobs that have waited long without any task begun one task goes before all but services.
    ///
    /// The paper's priorities are absolute: under a lasting overload of a higher one, a lower one would
    /// never start (docs/design.md, exception 8).
    fn promote_starved(&mut self, now: Timestamp) {
        let starved: Vec<JobId> = self
            .jobs
            .waiting()
            .filter(|j| {
                let begun = !j.placed.is_empty() || !j.done.is_empty();
                j.urgency > PROMOTED && !begun && self.startable(j, now) && now.since(j.submitted) >= STARVED_AFTER
            })
            .map(|j| j.record.id)
            .collect();
        for id in starved {
            info!("promoted {id}: nothing of it has begun");
            self.plans.remove_job(id);
            self.jobs.promote(id, PROMOTED);
        }
    }

    /// Places what waits unplanned, most important first, as far as a round goes.
    ///
    /// Half of a round begins with the most important job, the other half where the last round stopped. When all began
    /// with the most important one, some services that found no room anywhere kept everything else from being
    /// looked at, for as long as they waited.
    fn plan_waiting(&mut self, now: Timestamp, used: &HashMap<String, Resources>) {
        self.jobs.settle_waiting();
        let waiting: Vec<(JobId, u32)> = self
            .jobs
            .waiting()
            .filter(|j| self.startable(j, now) && self.within_limit(used, j, 1))
            .filter_map(|j| {
                let left = j.pending.len().saturating_sub(self.plans.planned(j.record.id));
                // Of a promoted job one task goes first; the others follow at their own rank.
                let left = if j.promoted() && j.gang.is_none() {
                    left.min(1 - self.plans.planned(j.record.id).min(1))
                } else {
                    left
                };
                (left > 0).then_some((j.record.id, left))
            })
            .collect();
        // Like tasks that found no machine in this round are not tried one by one, nor larger ones.
        let mut hopeless: Vec<(Resources, bool, bool)> = Vec::new();
        let mut looks = 0;
        let most = self.pacing.looks(self.plans.servers().count());
        let top = self.plan_some(now, &waiting, most / 2, &mut looks, &mut hopeless);
        let rest = &waiting[top..];
        let from = self.stopped.take().and_then(|id| rest.iter().position(|(job, _)| *job == id)).unwrap_or(0);
        let turned: Vec<(JobId, u32)> = rest[from..].iter().chain(&rest[..from]).copied().collect();
        let done = self.plan_some(now, &turned, most, &mut looks, &mut hopeless);
        if let Some((id, _)) = turned.get(done) {
            // The rest is for the next round, so that reports and users are not kept waiting.
            self.dirty = true;
            self.stopped = Some(*id);
        }
    }

    /// Places jobs in this order until so many machines were looked at; returns how many jobs had their turn.
    fn plan_some(
        &mut self,
        now: Timestamp,
        waiting: &[(JobId, u32)],
        most: usize,
        looks: &mut usize,
        hopeless: &mut Vec<(Resources, bool, bool)>,
    ) -> usize {
        let servers = self.plans.servers().count();
        for (turn, (id, left)) in waiting.iter().enumerate() {
            if *looks >= most {
                return turn;
            }
            let Some(job) = self.jobs.get_mut(*id) else { continue };
            job.looked = now;
            let (need, spot, service) = (job.record.need, job.record.spot, job.record.service);
            let plain = job.record.types.is_none() && job.record.zone.is_none();
            if plain && hopeless.iter().any(|(n, p, s)| (*p, *s) == (spot, service) && n.fits(&need)) {
                continue;
            }
            *looks += servers;
            let entry = entry_of(job, &self.prompt_classes);
            if entry.gang {
                self.plan_gang(now, entry);
                continue;
            }
            let want = (*left).min(BATCH);
            let mut plans = std::mem::take(&mut self.plans);
            let parts = self.parts();
            let placed = plans.place(now, entry, want, &parts);
            self.plans = plans;
            if placed < want && plain && !entry.constrained {
                hopeless.push((need, spot, service));
            }
        }
        waiting.len()
    }
}
