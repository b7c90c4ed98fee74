//! Algorithm 3 of the paper (deadline scheduling with priority) and Algorithm 2's CorrecFAST.
//!
//! Pure and deterministic: no clock, no I/O, no randomness. Every machine has a queue in order of
//! priority. Like tasks of one job are one entry with a count, so that a controller with a tenth
//! of a core can plan bursts.

mod gangs;

use crate::units::{JobId, MachineId, Room, Span, Time};
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
const PUSH_ASIDE: Span = Span(400);

/// Where an entry stands in a queue: rank first, then the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// 0 is the most important.
    pub rank: u8,
    /// Order of arrival.
    pub seq: u64,
}

/// Like tasks of one job that wait for the same machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The job.
    pub job: JobId,
    /// Its place in queues.
    pub order: Order,
    /// How many tasks.
    pub count: u32,
    /// What each of them takes.
    pub need: Room,
    /// Predicted time on this machine.
    pub run: Span,
    /// Whether the tasks run until cancelled.
    pub endless: bool,
    /// When they should be complete; `Time::NEVER` without a deadline.
    pub deadline: Time,
    /// Whether placement of the job's tasks depends on each other (`Spread`, `Together`).
    pub tied: bool,
    /// Whether all tasks of the job start at the same time.
    pub gang: bool,
    /// The rank whose lower tasks may be stopped to make room for this one at once, if any may.
    pub pushes_aside: Option<u8>,
    /// Whether it may start in room that is kept ahead for what must start at once.
    pub takes_kept: bool,
}

impl Entry {
    /// The part of free room in which it may start.
    pub fn room_in(&self, free: &Room, kept: &Room) -> Room {
        let mut room = *free;
        if !self.takes_kept {
            room.sub(kept);
        }
        room
    }
}

/// A machine as the plan sees it.
#[derive(Debug, Clone, Default)]
pub struct Server {
    /// The machine.
    pub id: MachineId,
    /// Its zone, as an index.
    pub zone: usize,
    /// Its type, as an index.
    pub kind: usize,
    /// Spot or ordinary.
    pub spot: bool,
    /// When it can start tasks (later than now while it boots).
    pub ready: Time,
    /// It starts nothing before this time from now on: an overdue boot is not over at once.
    pub slack: Span,
    /// Among machines that are as good, the one with the smaller value is taken, for endless and
    /// for other tasks: cheap and already used ones first.
    pub bias: (u64, u64),
    /// Room that is free now.
    pub free: Room,
    /// Part of the free room that is kept ahead for what must start at once.
    pub kept: Room,
    /// Room of tasks that may be pushed aside, by the rank of what pushes them: the most important services, and gangs.
    pub soft: [Room; PUSHING_RANKS],
    /// Room that running tasks are predicted to give back.
    pub releases: Vec<(Time, Room)>,
    /// Images that it holds, in order.
    pub images: Vec<Image>,
    /// Tasks that wait for this machine, most important first.
    pub queue: Vec<Entry>,
    /// How many tasks that is.
    pub waiting: u32,
}

/// An image, as an index.
pub type Image = u32;

/// What decides where a job's tasks may run and how long they take there; made once per job, so that
/// looking at a machine costs a few comparisons.
#[derive(Debug, Clone)]
pub struct Profile {
    /// By type of machine: the predicted time where the image is, and where it is not; `None`: not there.
    pub kinds: Vec<Option<(Span, Span)>>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    /// Whether spot machines will do.
    pub spot: bool,
    /// Machines on which its tasks failed.
    pub avoid: Vec<MachineId>,
    /// Its image.
    pub image: Image,
}

impl Profile {
    /// The predicted time on this machine; `None` if the tasks cannot run there.
    pub fn predict(&self, server: &Server) -> Option<Span> {
        let (cached, fetched) = (*self.kinds.get(server.kind)?)?;
        let allowed = (self.spot || !server.spot)
            && self.zone.is_none_or(|z| z == server.zone)
            && !self.avoid.contains(&server.id);
        allowed.then(|| if server.images.binary_search(&self.image).is_ok() { cached } else { fetched })
    }
}

/// Where tasks of a tied job may still be added.
#[derive(Debug, Clone, Default)]
pub struct Zones {
    /// How many in each zone.
    pub left: Vec<u32>,
    /// Whether one task in a zone rules the others out.
    pub together: bool,
}

impl Zones {
    fn room(&self, zone: usize) -> bool {
        self.left.get(zone).is_some_and(|n| *n > 0)
    }

    fn take(&mut self, zone: usize) {
        for (z, left) in self.left.iter_mut().enumerate() {
            if z == zone {
                *left = left.saturating_sub(1);
            } else if self.together {
                *left = 0;
            }
        }
    }
}

/// What the plan asks about jobs.
pub trait World {
    /// Where tasks of this job may run; `None` for a job that is not known.
    fn profile(&self, job: JobId) -> Option<Profile>;
    /// Where tasks of a tied job may be added, given those that run and, by zone, those planned.
    fn zones(&self, job: JobId, planned: &BTreeMap<usize, u32>) -> Zones;
}

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
    order: Order,
    count: u32,
    at: BTreeMap<MachineId, u32>,
}

/// All machines' queues.
#[derive(Debug, Default)]
pub struct Plans {
    servers: BTreeMap<MachineId, Server>,
    planned: HashMap<JobId, Waiting>,
    /// Jobs with tasks in queues, most important first.
    ordered: BTreeSet<(Order, JobId)>,
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
    pub fn admit(&mut self, now: Time, fresh: Vec<Server>) {
        let Some(ready) = fresh.iter().map(|s| s.ready).min() else { return };
        let mut room = 2 * fresh.iter().map(|s| s.free.cpus).sum::<u64>();
        let mut later: Vec<(Entry, MachineId)> = Vec::new();
        for server in self.servers.values().filter(|s| !s.queue.is_empty()) {
            walk(server, now, None, |entry, start, _| {
                if start.is_none_or(|at| at > ready + Span(1000)) {
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
    pub fn release_stuck(&mut self, now: Time, ids: impl Iterator<Item = MachineId>) {
        for id in ids {
            let Some(server) = self.servers.get(&id).filter(|s| !s.queue.is_empty()) else { continue };
            let mut stuck = Vec::new();
            let up = server.start_time(now) <= now + Span(500);
            walk(server, now, None, |entry, start, _| {
                if start.is_none_or(|at| up && entry.endless && at > now + Span(1000)) {
                    stuck.push(entry.job);
                }
            });
            for job in stuck {
                self.cancel(id, job);
            }
        }
    }

    /// Takes the last waiting task of this job out of a machine's queue.
    fn cancel(&mut self, id: MachineId, job: JobId) {
        if let Some(at) = self.servers.get(&id).and_then(|s| s.queue.iter().rposition(|e| e.job == job)) {
            self.take(id, at);
        }
    }

    /// Room of a machine after a start in the same round.
    pub fn set_free(&mut self, id: MachineId, free: Room) {
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
    pub fn waiting(&self) -> impl Iterator<Item = (Order, JobId, impl Iterator<Item = MachineId>)> {
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

    fn count(&mut self, id: MachineId, job: JobId, order: Order, by: i64) {
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
    pub fn place(&mut self, now: Time, task: Entry, count: u32, world: &dyn World) -> u32 {
        let Some(profile) = world.profile(task.job) else { return 0 };
        let mut zones =
            if task.tied { world.zones(task.job, &self.planned_by_zone(task.job)) } else { Zones::default() };
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
            if task.tied && !zones.room(server.zone) {
                continue;
            }
            if stale.remove(&id) {
                // Others' tasks were submitted to it again: it can only have become worse.
                best.extend(self.rate(server, now, &task, &profile).map(|r| Reverse((r, id))));
                continue;
            }
            let Some(run) = profile.predict(server) else { continue };
            let pushes = server.queue.iter().any(|e| e.deadline != Time::NEVER);
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

    fn rate(&self, server: &Server, now: Time, task: &Entry, profile: &Profile) -> Option<Rating> {
        let run = profile.predict(server)?;
        let outcome = outcome(server, now, Entry { run, count: 1, ..*task })?;
        let misses = outcome.finish > task.deadline;
        let pushed = if misses || !self.parts.fewest_fallbacked { 0 } else { outcome.pushed };
        let (bias, grain) = if task.endless { (server.bias.0, FINE) } else { (server.bias.1, COARSE) };
        Some((misses, pushed, outcome.finish.0 / grain, bias))
    }

    /// Submits again, once, what an insertion pushed past its deadline; what finds no machine that
    /// meets its deadline stays where it is. Returns the machines that received tasks.
    fn resubmit(
        &mut self,
        now: Time,
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
                if entry.job == inserted || entry.tied || entry.endless || entry.gang {
                    break;
                }
                let mut best: Option<((u32, Time), MachineId, Span)> = None;
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
    pub fn steal(&mut self, id: MachineId, allowed: &dyn Fn(&Entry, &Server) -> Option<Span>) -> Option<Entry> {
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
    pub fn starts(&self, id: MachineId, now: Time) -> Vec<(Entry, Option<Time>)> {
        let Some(server) = self.servers.get(&id) else { return Vec::new() };
        let mut found = Vec::new();
        walk(server, now, None, |entry, start, _| found.push((Entry { count: 1, ..*entry }, start)));
        found
    }
}

/// What inserting a task would do to a machine's plan.
struct Outcome {
    finish: Time,
    /// Tasks that it pushes past their deadline.
    pushed: u32,
}

fn outcome(server: &Server, now: Time, task: Entry) -> Option<Outcome> {
    if server.waiting >= QUEUE_LIMIT {
        return None;
    }
    if server.queue.is_empty() && task.need.fits(&task.room_in(&server.free, &server.kept)) {
        // Most machines, most of the time: nothing to simulate.
        return Some(Outcome { finish: server.start_time(now) + task.run, pushed: 0 });
    }
    let after = simulate(server, now, Some(&task));
    let before = if after.late > 0 { simulate(server, now, None).late } else { 0 };
    after.finish.map(|finish| Outcome { finish, pushed: after.late.saturating_sub(before) })
}

impl Server {
    /// When it could start something, given the room.
    fn start_time(&self, now: Time) -> Time {
        self.ready.max(now + self.slack)
    }
}

fn position(queue: &[Entry], order: Order) -> usize {
    queue.partition_point(|e| e.order <= order)
}

struct Simulated {
    finish: Option<Time>,
    late: u32,
}

fn simulate(server: &Server, now: Time, insert: Option<&Entry>) -> Simulated {
    let mut result = Simulated { finish: None, late: 0 };
    if insert.is_none() && server.queue.iter().all(|e| e.deadline == Time::NEVER) {
        return result;
    }
    walk(server, now, insert, |entry, start, is_new| {
        let finish = start.map(|s| s + entry.run);
        if is_new {
            result.finish = finish;
        } else if entry.deadline != Time::NEVER && finish.is_none_or(|f| f > entry.deadline) {
            result.late += 1;
        }
    });
    result
}

fn late_by_entry(server: &Server, now: Time) -> Vec<(JobId, u32)> {
    let mut late: Vec<(JobId, u32)> = Vec::new();
    walk(server, now, None, |entry, start, _| {
        if entry.deadline != Time::NEVER && start.is_none_or(|s| s + entry.run > entry.deadline) {
            match late.iter_mut().find(|(job, _)| *job == entry.job) {
                Some((_, n)) => *n += 1,
                None => late.push((entry.job, 1)),
            }
        }
    });
    late
}

/// Room that is given back at some time: CPUs, GPUs and memory.
type Release = (Time, u64, u64, u64);

fn release(at: Time, room: &Room) -> Release {
    (at, room.cpus, room.gpus, room.memory)
}

/// Lets a machine's queue start in order as room frees and tells each task's start.
fn walk(server: &Server, now: Time, insert: Option<&Entry>, mut tell: impl FnMut(&Entry, Option<Time>, bool)) {
    let mut free = server.free;
    let mut kept = server.kept;
    let mut soft = server.soft;
    let mut clock = server.start_time(now);
    let mut heap: BinaryHeap<Reverse<Release>> =
        server.releases.iter().map(|(at, room)| Reverse(release(*at, room))).collect();
    let at = insert.map(|e| position(&server.queue, e.order));
    // A gang's tasks run at the same time, so that none starts in room that another one gives back. Without this a gang was planned
    // one task after the other on a machine that never has room for all of them.
    let mut gang_releases: Vec<Release> = Vec::new();
    let mut last_gang: Option<JobId> = None;
    let mut run = |entry: &Entry, is_new: bool| {
        if last_gang != Some(entry.job) {
            heap.extend(gang_releases.drain(..).map(Reverse));
            last_gang = entry.gang.then_some(entry.job);
        }
        for _ in 0..if is_new { 1 } else { entry.count } {
            if let Some(rank) = entry.pushes_aside.map(usize::from).filter(|rank| *rank < PUSHING_RANKS)
                && !entry.need.fits(&free)
            {
                // Room is made at once, at the cost of lower tasks.
                let mut all = free;
                all.add(&soft[rank]);
                if entry.need.fits(&all) {
                    let mut from_soft = entry.need;
                    from_soft.sub(&free);
                    free.sub(&entry.need);
                    soft.iter_mut().for_each(|room| room.sub(&from_soft));
                    let start = clock + PUSH_ASIDE;
                    if entry.gang {
                        gang_releases.push(release(start + entry.run, &entry.need));
                    }
                    tell(entry, Some(start), is_new);
                    continue;
                }
            }
            while !entry.need.fits(&entry.room_in(&free, &kept)) {
                let Some(Reverse(release)) = heap.pop() else { break };
                clock = clock.max(release.0);
                free.add(&Room { cpus: release.1, gpus: release.2, memory: release.3 });
            }
            if !entry.need.fits(&entry.room_in(&free, &kept)) {
                // Endless tasks hold the room: what comes behind need not wait for this entry.
                tell(entry, None, is_new);
                continue;
            }
            free.sub(&entry.need);
            if entry.takes_kept {
                kept.sub(&entry.need);
            }
            let ends = release(clock + entry.run, &entry.need);
            if entry.gang {
                gang_releases.push(ends);
            } else if !entry.endless {
                heap.push(Reverse(ends));
            }
            tell(entry, Some(clock), is_new);
        }
    };
    for (i, entry) in server.queue.iter().enumerate() {
        if at == Some(i) {
            run(insert.expect("position comes from it"), true);
        }
        run(entry, false);
    }
    if let (Some(at), Some(entry)) = (at, insert)
        && at == server.queue.len()
    {
        run(entry, true);
    }
}

/// CorrecFAST: the average of actual over predicted time, in percent (Algorithm 2).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Correction {
    /// The value in percent.
    pub percent: f64,
    /// Executions seen.
    pub executions: u64,
}

impl Default for Correction {
    fn default() -> Self {
        Correction { percent: 100.0, executions: 0 }
    }
}

impl Correction {
    /// The next prediction: the estimate scaled by what was learnt.
    pub fn predict(&self, estimate: Span) -> Span {
        estimate.times(self.percent / 100.0)
    }

    /// Learns from an execution that was predicted to take `predicted`.
    pub fn learn(&mut self, actual: Span, predicted: Span) {
        if predicted.0 == 0 {
            return;
        }
        let n = self.executions as f64;
        let ratio = 100.0 * actual.0 as f64 / predicted.0 as f64;
        self.percent = (n * self.percent + ratio) / (n + 1.0);
        self.executions += 1;
    }
}

#[cfg(test)]
mod tests;
