//! Algorithm 3 of the paper (deadline scheduling with priority) and Algorithm 2's CorrecFAST.
//!
//! Pure and deterministic: no clock, no I/O, no randomness. Every machine has a queue in order of
//! priority. Like tasks of one job are one entry with a count, so that a controller with a tenth
//! of a core can plan bursts.

mod correction;
mod gangs;
mod model;
mod simulation;

pub use correction::Correction;
pub use model::{Entry, Image, Profile, QueuePriority, Server, World, Zones};
use simulation::{late_by_entry, outcome, position, walk};

use crate::types::{Duration, JobId, MachineId, Resources, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// Tasks that one machine's queue holds at the most; what lies further off waits unplanned.
pub const QUEUE_LIMIT: u32 = 64;

/// Tasks that are submitted again at the most when machines come, unless these take more.
const REPLANNED: usize = 500;

/// Differences of predicted ends below these do not decide between machines: predictions are less
/// exact than that. Services are told apart finely, since a cached image is certain.
const FINE: u64 = 200;
const COARSE: u64 = 2000;

/// Ranks that have lower ones.
pub const PUSHING_RANKS: usize = 3;

/// What pushing lower tasks aside costs a service or gang; more than `FINE`, so that free room is preferred.
const PUSH_ASIDE: Duration = Duration::from_millis(400);

/// What inserting a task would do, in the order in which machines are preferred: whether it misses its
/// deadline, how many others it pushes past theirs, its end, and the machine's bias.
type Rating = (bool, u32, u64, u64);

/// Which parts of the design are in force; all of them but for ablations.
#[derive(Debug, Clone, Copy)]
pub struct Parts {
    /// Prefer machines where fewer tasks are pushed past their deadline.
    pub fewest_fallbacked: bool,
    /// Submit pushed tasks again.
    pub resubmission: bool,
}

impl Default for Parts {
    fn default() -> Self {
        Parts { fewest_fallbacked: true, resubmission: true }
    }
}

/// Where a job's tasks wait.
#[derive(Debug)]
struct Waiting {
    order: QueuePriority,
    count: u32,
    at: BTreeMap<MachineId, u32>,
}

/// All machines' queues.
#[derive(Debug, Default)]
pub struct Plans {
    servers: BTreeMap<MachineId, Server>,
    planned: HashMap<JobId, Waiting>,
    /// Jobs with tasks in queues, most important first.
    ordered: BTreeSet<(QueuePriority, JobId)>,
    /// Machines whose room or queue has changed since `take_touched`.
    touched: BTreeSet<MachineId>,
    /// Parts of the design in force.
    pub parts: Parts,
}

impl Plans {
    /// All machines.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// One machine.
    pub fn server(&self, id: MachineId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Machines whose room or queue has changed since this was asked last.
    pub fn take_touched(&mut self) -> BTreeSet<MachineId> {
        std::mem::take(&mut self.touched)
    }

    /// Brings what is known of a machine up to date; its queue stays.
    pub fn refresh(&mut self, fresh: Server) {
        self.touched.insert(fresh.id);
        let Some(server) = self.servers.get_mut(&fresh.id) else { return };
        let (queue, waiting) = (std::mem::take(&mut server.queue), server.waiting);
        *server = Server { queue, waiting, ..fresh };
    }

    /// Adds new machines. Tasks that would start later elsewhere are submitted again; if there are very
    /// many of them the most important ones, as many as the new machines take in two turns.
    pub fn admit(&mut self, now: Timestamp, fresh: Vec<Server>) {
        let Some(ready) = fresh.iter().map(|s| s.ready).min() else { return };
        let mut room = 2 * fresh.iter().map(|s| s.free.cpus).sum::<u64>();
        let mut later: Vec<(Entry, MachineId)> = Vec::new();
        for server in self.servers.values().filter(|s| !s.queue.is_empty()) {
            walk(server, now, None, |entry, start, _| {
                if start.is_none_or(|at| at > ready + Duration::from_secs(1)) {
                    later.push((*entry, server.id));
                }
            });
        }
        later.sort_unstable_by_key(|(entry, id)| (entry.order, *id));
        for (n, (entry, id)) in later.into_iter().enumerate() {
            if n >= REPLANNED && entry.need.cpus > room {
                break;
            }
            room = room.saturating_sub(entry.need.cpus);
            self.cancel(id, entry.job);
        }
        for server in fresh {
            self.touched.insert(server.id);
            self.servers.insert(server.id, server);
        }
    }

    /// Takes tasks out of these machines' queues that will never start where they wait, because
    /// services have taken the room, and services that would wait for room on a machine that is up:
    /// room may have come up elsewhere, or may be made there.
    pub fn release_stuck(&mut self, now: Timestamp, ids: impl Iterator<Item = MachineId>) {
        for id in ids {
            let Some(server) = self.servers.get(&id).filter(|s| !s.queue.is_empty()) else { continue };
            let mut stuck = Vec::new();
            let up = server.start_time(now) <= now + Duration::from_millis(500);
            walk(server, now, None, |entry, start, _| {
                if start.is_none_or(|at| up && entry.endless && at > now + Duration::from_secs(1)) {
                    stuck.push(entry.job);
                }
            });
            for job in stuck {
                self.cancel(id, job);
            }
        }
    }

    /// Takes the last waiting task of this job out of a machine's queue.
    pub(crate) fn cancel(&mut self, id: MachineId, job: JobId) {
        if let Some(at) = self.servers.get(&id).and_then(|s| s.queue.iter().rposition(|e| e.job == job)) {
            self.take(id, at);
        }
    }

    /// Room of a machine after a start in the same round.
    pub fn set_free(&mut self, id: MachineId, free: Resources) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.free = free;
        }
    }

    /// Takes a machine out; its queue is unplanned again.
    pub fn remove(&mut self, id: MachineId) {
        self.clear_queue(id);
        self.servers.remove(&id);
    }

    /// Takes a machine's queue away, to be planned anew.
    pub fn clear_queue(&mut self, id: MachineId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.waiting = 0;
        for entry in std::mem::take(&mut server.queue) {
            self.count(id, entry.job, entry.order, -i64::from(entry.count));
        }
    }

    /// Takes all of a job's waiting tasks out.
    pub fn remove_job(&mut self, job: JobId) {
        let Some(waiting) = self.planned.remove(&job) else { return };
        self.ordered.remove(&(waiting.order, job));
        for (id, count) in waiting.at {
            if let Some(server) = self.servers.get_mut(&id) {
                server.queue.retain(|e| e.job != job);
                server.waiting -= count;
                self.touched.insert(id);
            }
        }
    }

    /// How many of a job's tasks are in queues.
    pub fn planned(&self, job: JobId) -> u32 {
        self.planned.get(&job).map_or(0, |w| w.count)
    }

    /// Jobs with tasks in queues, most important first, and the machines where they wait.
    pub fn waiting(&self) -> impl Iterator<Item = (QueuePriority, JobId, impl Iterator<Item = MachineId>)> {
        self.ordered.iter().filter_map(|(order, job)| {
            let waiting = self.planned.get(job)?;
            Some((*order, *job, waiting.at.keys().copied()))
        })
    }

    /// How many of a job's tasks wait in each zone.
    fn planned_by_zone(&self, job: JobId) -> BTreeMap<usize, u32> {
        let mut zones = BTreeMap::new();
        for (id, count) in self.planned.get(&job).into_iter().flat_map(|w| &w.at) {
            if let Some(server) = self.servers.get(id) {
                *zones.entry(server.zone).or_insert(0) += count;
            }
        }
        zones
    }

    fn count(&mut self, id: MachineId, job: JobId, order: QueuePriority, by: i64) {
        let waiting = self.planned.entry(job).or_insert_with(|| Waiting { order, count: 0, at: BTreeMap::new() });
        let changed = |n: u32| (i64::from(n) + by).max(0) as u32;
        waiting.count = changed(waiting.count);
        let here = waiting.at.entry(id).or_insert(0);
        *here = changed(*here);
        if *here == 0 {
            waiting.at.remove(&id);
        }
        if waiting.count == 0 {
            let order = waiting.order;
            self.planned.remove(&job);
            self.ordered.remove(&(order, job));
        } else {
            self.ordered.insert((waiting.order, job));
        }
    }

    /// Takes one task of the entry at `at` out of a machine's queue.
    pub fn take(&mut self, id: MachineId, at: usize) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some(entry) = server.queue.get_mut(at) else { return };
        let (job, order) = (entry.job, entry.order);
        entry.count -= 1;
        if entry.count == 0 {
            server.queue.remove(at);
        }
        server.waiting -= 1;
        self.touched.insert(id);
        self.count(id, job, order, -1);
    }

    fn add(&mut self, id: MachineId, entry: Entry) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let at = position(&server.queue, entry.order);
        match at.checked_sub(1).map(|i| &mut server.queue[i]) {
            Some(same) if same.job == entry.job && same.run == entry.run => same.count += entry.count,
            _ => server.queue.insert(at, entry),
        }
        server.waiting += entry.count;
        self.touched.insert(id);
        self.count(id, entry.job, entry.order, i64::from(entry.count));
    }

    /// Places up to `count` tasks like `task`; returns how many found a machine.
    ///
    /// Among machines that meet the deadline the one with fewest fallbacked tasks is taken, then
    /// the one that is done sooner; if none meets it, the one that is done soonest. Each machine is
    /// looked at once, and again only when it has received a task.
    pub fn place(&mut self, now: Timestamp, task: Entry, count: u32, world: &dyn World) -> u32 {
        let Some(profile) = world.profile(task.job) else { return 0 };
        let mut zones =
            if task.constrained { world.zones(task.job, &self.planned_by_zone(task.job)) } else { Zones::default() };
        let mut best: BinaryHeap<Reverse<(Rating, MachineId)>> = self
            .servers
            .values()
            .filter_map(|server| Some(Reverse((self.rate(server, now, &task, &profile)?, server.id))))
            .collect();
        let mut stale: BTreeSet<MachineId> = BTreeSet::new();
        let mut placed = 0;
        while placed < count
            && let Some(Reverse((_, id))) = best.pop()
        {
            let Some(server) = self.servers.get(&id) else { continue };
            if task.constrained && !zones.room(server.zone) {
                continue;
            }
            if stale.remove(&id) {
                // Others' tasks were submitted to it again: it can only have become worse.
                best.extend(self.rate(server, now, &task, &profile).map(|r| Reverse((r, id))));
                continue;
            }
            let Some(run) = profile.predict(server) else { continue };
            let pushes = server.queue.iter().any(|e| e.deadline != Timestamp::NEVER);
            let late_before = if pushes { late_by_entry(server, now) } else { Vec::new() };
            zones.take(server.zone);
            self.add(id, Entry { run, count: 1, ..task });
            placed += 1;
            if pushes && self.parts.resubmission {
                stale.extend(self.resubmit(now, id, task.job, &late_before, world));
            }
            let server = &self.servers[&id];
            best.extend(self.rate(server, now, &task, &profile).map(|r| Reverse((r, id))));
        }
        placed
    }

    fn rate(&self, server: &Server, now: Timestamp, task: &Entry, profile: &Profile) -> Option<Rating> {
        let run = profile.predict(server)?;
        let outcome = outcome(server, now, Entry { run, count: 1, ..*task })?;
        let misses = outcome.finish > task.deadline;
        let pushed = if misses || !self.parts.fewest_fallbacked { 0 } else { outcome.pushed };
        let (bias, grain) = if task.endless { (server.bias.0, FINE) } else { (server.bias.1, COARSE) };
        Some((misses, pushed, outcome.finish.as_millis() / grain, bias))
    }

    /// Submits again, once, what an insertion pushed past its deadline; what finds no machine that
    /// meets its deadline stays where it is. Returns the machines that received tasks.
    fn resubmit(
        &mut self,
        now: Timestamp,
        id: MachineId,
        inserted: JobId,
        late_before: &[(JobId, u32)],
        world: &dyn World,
    ) -> Vec<MachineId> {
        let mut touched = Vec::new();
        for (job, late) in late_by_entry(&self.servers[&id], now) {
            let before = late_before.iter().find(|(j, _)| *j == job).map_or(0, |(_, n)| *n);
            let Some(profile) = world.profile(job) else { continue };
            for _ in before..late {
                let Some(at) = self.servers[&id].queue.iter().rposition(|e| e.job == job) else { break };
                let entry = self.servers[&id].queue[at];
                if entry.job == inserted || entry.constrained || entry.endless || entry.gang {
                    break;
                }
                let mut best: Option<((u32, Timestamp), MachineId, Duration)> = None;
                for server in self.servers.values().filter(|s| s.id != id) {
                    let Some(run) = profile.predict(server) else { continue };
                    let Some(outcome) = outcome(server, now, Entry { run, count: 1, ..entry }) else { continue };
                    if outcome.finish > entry.deadline {
                        continue;
                    }
                    let key = (outcome.pushed, outcome.finish);
                    if best.is_none_or(|(other, _, _)| key < other) {
                        best = Some((key, server.id, run));
                    }
                }
                let Some((_, to, run)) = best else { break };
                self.take(id, at);
                self.add(to, Entry { run, count: 1, ..entry });
                touched.push(to);
            }
        }
        touched
    }

    /// The highest-priority task in another machine's plan that fits into this one's free room now.
    pub fn steal(&mut self, id: MachineId, allowed: &dyn Fn(&Entry, &Server) -> Option<Duration>) -> Option<Entry> {
        let me = self.servers.get(&id)?;
        let (from, at, run) = self.ordered.iter().find_map(|(_, job)| {
            let from = *self.planned.get(job)?.at.keys().rev().find(|other| **other != id)?;
            let at = self.servers.get(&from)?.queue.iter().position(|e| e.job == *job)?;
            let entry = &self.servers[&from].queue[at];
            let run = if entry.need.fits(&me.free) { allowed(entry, me) } else { None }?;
            Some((from, at, run))
        })?;
        let entry = Entry { run, count: 1, ..self.servers[&from].queue[at] };
        self.take(from, at);
        self.add(id, entry);
        Some(entry)
    }

    /// Predicted starts of all waiting tasks of a machine: the entry and when its first task starts.
    pub fn starts(&self, id: MachineId, now: Timestamp) -> Vec<(Entry, Option<Timestamp>)> {
        let Some(server) = self.servers.get(&id) else { return Vec::new() };
        let mut found = Vec::new();
        walk(server, now, None, |entry, start, _| found.push((Entry { count: 1, ..*entry }, start)));
        found
    }
}

#[cfg(test)]
mod tests;
