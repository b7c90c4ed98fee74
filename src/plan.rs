//! Algorithm 3 of the paper (deadline scheduling with priority) and Algorithm 2's CorrecFAST.
//!
//! Pure and deterministic: no clock, no I/O, no randomness. Every machine has a queue in order of
//! priority. Like tasks of one job are one entry with a count, so that a controller with a tenth
//! of a core can plan bursts.

use crate::units::{JobId, MachineId, Room, Span, Time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Tasks that one machine's queue holds at the most; what lies further off waits unplanned.
pub const QUEUE_LIMIT: u32 = 64;

/// Differences of predicted ends below these do not decide between machines: predictions are less
/// exact than that. Services are told apart finely, since a cached image is certain.
const FINE: u64 = 200;
const COARSE: u64 = 2000;

/// What pushing lower tasks aside costs a service; more than `FINE`, so that free room is preferred.
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
}

/// A machine as the plan sees it.
#[derive(Debug, Clone)]
pub struct Server {
    /// The machine.
    pub id: MachineId,
    /// Its zone, as an index.
    pub zone: usize,
    /// When it can start tasks (later than now while it boots).
    pub ready: Time,
    /// Among machines that are as good, the one with the smaller value is taken, for endless and
    /// for other tasks: cheap and already used ones first.
    pub bias: (u64, u64),
    /// Room that is free now.
    pub free: Room,
    /// Room of tasks that the most important services may push aside.
    pub soft: Room,
    /// Room that running tasks are predicted to give back.
    pub releases: Vec<(Time, Room)>,
    /// Tasks that wait for this machine, most important first.
    pub queue: Vec<Entry>,
}

/// What the plan asks about tasks and machines.
pub trait World {
    /// The predicted time of a task of this job on this machine; `None` if it cannot run there.
    fn predict(&self, job: JobId, server: &Server) -> Option<Span>;
    /// How many tasks of a tied job may still be added in this zone, given those that run.
    fn zone_room(&self, job: JobId, zone: usize, planned: &BTreeMap<usize, u32>) -> u32;
}

/// What inserting a task would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    finish: Time,
    /// Tasks that finish past their deadline, the new one not counted.
    late: u32,
}

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

/// All machines' queues.
#[derive(Debug, Default)]
pub struct Plans {
    servers: BTreeMap<MachineId, Server>,
    planned: HashMap<JobId, u32>,
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

    /// Adds a machine or brings up to date what is known of it; its queue stays.
    ///
    /// A machine that is new gets the tasks that would start later elsewhere submitted again.
    pub fn refresh(&mut self, now: Time, fresh: Server) {
        if let Some(server) = self.servers.get_mut(&fresh.id) {
            let queue = std::mem::take(&mut server.queue);
            *server = Server { queue, ..fresh };
            return;
        }
        self.unplan(now, |_, start| start.is_none_or(|at| at > fresh.ready + Span(1000)));
        self.servers.insert(fresh.id, fresh);
    }

    /// Takes tasks out that will never start where they wait, because services have taken the room,
    /// and services that would wait: room may have come up elsewhere, or may be made there.
    pub fn release_stuck(&mut self, now: Time) {
        self.unplan(now, |entry, start| start.is_none_or(|at| entry.endless && at > now + Span(1000)));
    }

    /// Takes the waiting tasks out of all queues that `which` picks by their predicted start.
    fn unplan(&mut self, now: Time, which: impl Fn(&Entry, Option<Time>) -> bool) {
        let ids: Vec<MachineId> = self.servers.values().filter(|s| !s.queue.is_empty()).map(|s| s.id).collect();
        for id in ids {
            for (entry, _) in self.starts(id, now).iter().filter(|(entry, start)| which(entry, *start)) {
                if let Some(at) = self.servers[&id].queue.iter().rposition(|e| e.job == entry.job) {
                    self.take(id, at);
                }
            }
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
        if let Some(server) = self.servers.remove(&id) {
            for entry in server.queue {
                self.count(entry.job, -i64::from(entry.count));
            }
        }
    }

    /// Takes a machine's queue away, to be planned anew.
    pub fn clear_queue(&mut self, id: MachineId) {
        let queue = self.servers.get_mut(&id).map(|s| std::mem::take(&mut s.queue)).unwrap_or_default();
        for entry in queue {
            self.count(entry.job, -i64::from(entry.count));
        }
    }

    /// Takes all of a job's waiting tasks out.
    pub fn remove_job(&mut self, job: JobId) {
        if self.planned.remove(&job).is_some() {
            for server in self.servers.values_mut() {
                server.queue.retain(|e| e.job != job);
            }
        }
    }

    /// How many of a job's tasks are in queues.
    pub fn planned(&self, job: JobId) -> u32 {
        self.planned.get(&job).copied().unwrap_or(0)
    }

    /// The machines with a queue that holds tasks of this job, by zone.
    fn planned_by_zone(&self, job: JobId) -> BTreeMap<usize, u32> {
        let mut zones = BTreeMap::new();
        if self.planned(job) > 0 {
            for server in self.servers.values() {
                for entry in server.queue.iter().filter(|e| e.job == job) {
                    *zones.entry(server.zone).or_insert(0) += entry.count;
                }
            }
        }
        zones
    }

    fn count(&mut self, job: JobId, by: i64) {
        let planned = self.planned.entry(job).or_insert(0);
        *planned = (i64::from(*planned) + by).max(0) as u32;
        if *planned == 0 {
            self.planned.remove(&job);
        }
    }

    /// Takes one task of the entry at `at` out of a machine's queue.
    pub fn take(&mut self, id: MachineId, at: usize) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some(entry) = server.queue.get_mut(at) else { return };
        let job = entry.job;
        entry.count -= 1;
        if entry.count == 0 {
            server.queue.remove(at);
        }
        self.count(job, -1);
    }

    fn add(&mut self, id: MachineId, entry: Entry) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let at = position(&server.queue, entry.order);
        match at.checked_sub(1).map(|i| &mut server.queue[i]) {
            Some(same) if same.job == entry.job && same.run == entry.run => same.count += entry.count,
            _ => server.queue.insert(at, entry),
        }
        self.count(entry.job, i64::from(entry.count));
    }

    /// Places up to `count` tasks like `task`; returns how many found a machine.
    ///
    /// Among machines that meet the deadline the one with fewest fallbacked tasks is taken, then
    /// the one that is done sooner; if none meets it, the one that is done soonest.
    pub fn place(&mut self, now: Time, task: Entry, count: u32, world: &dyn World) -> u32 {
        let mut zones = if task.tied { self.planned_by_zone(task.job) } else { BTreeMap::new() };
        let mut outcomes: Vec<(MachineId, Span, u32, Option<Outcome>)> = Vec::with_capacity(self.servers.len());
        for server in self.servers.values() {
            if let Some(run) = world.predict(task.job, server) {
                let before = simulate(server, now, None).late;
                outcomes.push((server.id, run, before, self.outcome(server, now, Entry { run, ..task })));
            }
        }
        for placed in 0..count {
            let mut best: Option<((bool, u32, u64, u64), usize)> = None;
            for (i, (id, _, before, outcome)) in outcomes.iter().enumerate() {
                let Some(outcome) = outcome else { continue };
                if task.tied && world.zone_room(task.job, self.servers[id].zone, &zones) == 0 {
                    continue;
                }
                let misses = outcome.finish > task.deadline;
                let pushed =
                    if misses || !self.parts.fewest_fallbacked { 0 } else { outcome.late.saturating_sub(*before) };
                let server = &self.servers[id];
                let (bias, grain) = if task.endless { (server.bias.0, FINE) } else { (server.bias.1, COARSE) };
                let key = (misses, pushed, outcome.finish.0 / grain, bias);
                if best.is_none_or(|(other, _)| key < other) {
                    best = Some((key, i));
                }
            }
            let Some((_, i)) = best else { return placed };
            let (id, run, before, outcome) = outcomes[i];
            let pushes = outcome.is_some_and(|o| o.late > before);
            let late_before = if pushes { late_by_entry(&self.servers[&id], now) } else { Vec::new() };
            self.add(id, Entry { run, count: 1, ..task });
            if task.tied {
                *zones.entry(self.servers[&id].zone).or_insert(0) += 1;
            }
            let mut touched = vec![id];
            if pushes && self.parts.resubmission {
                touched.extend(self.resubmit(now, id, task.job, &late_before, world));
            }
            for (id, run, before, outcome) in outcomes.iter_mut().filter(|o| touched.contains(&o.0)) {
                let server = &self.servers[id];
                *before = simulate(server, now, None).late;
                *outcome = self.outcome(server, now, Entry { run: *run, ..task });
            }
        }
        count
    }

    fn outcome(&self, server: &Server, now: Time, task: Entry) -> Option<Outcome> {
        if server.queue.iter().map(|e| e.count).sum::<u32>() >= QUEUE_LIMIT {
            return None;
        }
        let result = simulate(server, now, Some(&task));
        result.finish.map(|finish| Outcome { finish, late: result.late })
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
            for _ in before..late {
                let Some(at) = self.servers[&id].queue.iter().rposition(|e| e.job == job) else { break };
                let entry = self.servers[&id].queue[at];
                if entry.job == inserted || entry.tied || entry.endless {
                    break;
                }
                let mut best: Option<((u32, Time), MachineId, Span)> = None;
                for server in self.servers.values().filter(|s| s.id != id) {
                    let Some(run) = world.predict(job, server) else { continue };
                    let Some(outcome) = self.outcome(server, now, Entry { run, count: 1, ..entry }) else { continue };
                    if outcome.finish > entry.deadline {
                        continue;
                    }
                    let key = (outcome.late.saturating_sub(simulate(server, now, None).late), outcome.finish);
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
        let mut best: Option<(Order, MachineId, usize, Span)> = None;
        for server in self.servers.values().filter(|s| s.id != id) {
            for (at, entry) in server.queue.iter().enumerate() {
                if best.is_some_and(|(order, ..)| order <= entry.order) {
                    break;
                }
                if !entry.need.fits(&me.free) {
                    continue;
                }
                if let Some(run) = allowed(entry, me) {
                    best = Some((entry.order, server.id, at, run));
                    break;
                }
            }
        }
        let (_, from, at, run) = best?;
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

/// Lets a machine's queue start in order as room frees and tells each task's start.
fn walk(server: &Server, now: Time, insert: Option<&Entry>, mut tell: impl FnMut(&Entry, Option<Time>, bool)) {
    let mut free = server.free;
    let mut soft = server.soft;
    let mut clock = now.max(server.ready);
    let mut heap: BinaryHeap<Reverse<(Time, u64, u64, u64)>> =
        server.releases.iter().map(|(at, room)| Reverse((*at, room.cpus, room.gpus, room.memory))).collect();
    let at = insert.map(|e| position(&server.queue, e.order));
    let mut run = |entry: &Entry, is_new: bool| {
        for _ in 0..if is_new { 1 } else { entry.count } {
            if entry.endless && entry.order.rank == 0 && !entry.need.fits(&free) {
                // Room is made for services at once, at the cost of lower tasks.
                let mut all = free;
                all.add(&soft);
                if entry.need.fits(&all) {
                    let mut from_soft = entry.need;
                    from_soft.sub(&free);
                    free.sub(&entry.need);
                    soft.sub(&from_soft);
                    tell(entry, Some(clock + PUSH_ASIDE), is_new);
                    continue;
                }
            }
            while !entry.need.fits(&free) {
                let Some(Reverse(release)) = heap.pop() else { break };
                clock = clock.max(release.0);
                free.add(&Room { cpus: release.1, gpus: release.2, memory: release.3 });
            }
            if !entry.need.fits(&free) {
                // Endless tasks hold the room: what comes behind need not wait for this entry.
                tell(entry, None, is_new);
                continue;
            }
            free.sub(&entry.need);
            if !entry.endless {
                heap.push(Reverse((clock + entry.run, entry.need.cpus, entry.need.gpus, entry.need.memory)));
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
mod tests {
    use super::*;

    /// Table 1 of the paper: execution times by task and server, `None` for "np".
    struct Table;
    const TIMES: [[Option<u64>; 3]; 5] = [
        [Some(3), Some(5), Some(6)],
        [Some(5), Some(12), Some(9)],
        [Some(11), Some(20), Some(15)],
        [Some(10), None, Some(17)],
        [Some(12), Some(14), None],
    ];
    fn server(id: u64) -> Server {
        let (free, soft, releases, queue) = (ONE, Room::default(), Vec::new(), Vec::new());
        Server { id: MachineId(id), zone: 0, ready: Time(0), bias: (0, 0), free, soft, releases, queue }
    }
    const ONE: Room = Room { cpus: 1000, gpus: 0, memory: 0 };

    impl World for Table {
        fn predict(&self, job: JobId, server: &Server) -> Option<Span> {
            TIMES[job.0 as usize - 1][server.id.0 as usize - 1].map(|t| Span(t * COARSE))
        }
        fn zone_room(&self, _: JobId, _: usize, _: &BTreeMap<usize, u32>) -> u32 {
            1
        }
    }

    fn task(number: u64, priority: u8, deadline: u64) -> Entry {
        Entry {
            job: JobId(number),
            order: Order { rank: 10 - priority, seq: number },
            count: 1,
            need: ONE,
            run: Span(0),
            endless: false,
            deadline: Time(deadline * COARSE),
            tied: false,
        }
    }

    fn shown(plans: &Plans) -> String {
        let queues: Vec<String> = plans
            .servers()
            .map(|s| s.queue.iter().map(|e| format!("T{}", e.job.0)).collect::<Vec<_>>().join(","))
            .collect();
        queues.join(" | ")
    }

    #[test]
    fn figure_2_of_the_paper_step_by_step() {
        let mut plans = Plans::default();
        for id in 1..=3 {
            plans.refresh(Time(0), server(id));
        }
        let steps = [
            (task(1, 3, 15), "T1 |  | "),
            (task(2, 5, 10), "T2,T1 |  | "),
            (task(3, 2, 30), "T2,T1 |  | T3"),
            (task(4, 4, 20), "T2,T4 | T1 | T3"),    // T1 is fallbacked and goes to S2
            (task(5, 5, 15), "T2,T4 | T5 | T1,T3"), // T1 is fallbacked again and goes to S3
        ];
        for (task, expected) in steps {
            assert_eq!(plans.place(Time(0), task, 1, &Table), 1);
            assert_eq!(shown(&plans), expected);
        }
        assert_eq!(plans.planned(JobId(1)), 1);
    }

    #[test]
    fn without_a_machine_that_meets_the_deadline_the_soonest_finish_wins() {
        let mut plans = Plans::default();
        for id in 1..=3 {
            plans.refresh(Time(0), server(id));
        }
        plans.place(Time(0), task(3, 2, 1), 1, &Table);
        assert_eq!(shown(&plans), "T3 |  | ");
    }

    #[test]
    fn an_idle_machine_takes_the_highest_priority_task_that_fits() {
        let mut plans = Plans::default();
        plans.refresh(Time(0), server(1));
        for t in [task(1, 3, 1000), task(2, 5, 1000), task(4, 4, 1000)] {
            plans.place(Time(0), t, 1, &Table);
        }
        plans.refresh(Time(0), Server { ready: Time(1_000_000), ..server(2) });
        let taken = plans.steal(MachineId(2), &|e, s| Table.predict(e.job, s)).unwrap();
        assert_eq!(taken.job, JobId(2));
        assert_eq!(shown(&plans), "T4,T1 | T2");
    }

    #[test]
    fn tasks_behind_services_that_took_their_room_are_planned_anew() {
        let mut plans = Plans::default();
        plans.refresh(Time(0), server(1));
        plans.place(Time(0), task(1, 3, 1000), 1, &Table);
        plans.refresh(Time(0), Server { free: Room::default(), ..server(1) });
        plans.release_stuck(Time(0));
        assert_eq!((shown(&plans).as_str(), plans.planned(JobId(1))), ("", 0));
    }

    #[test]
    fn correcfast_follows_its_formula() {
        let mut c = Correction::default();
        c.learn(Span(150), Span(100));
        assert_eq!(c, Correction { percent: 150.0, executions: 1 });
        c.learn(Span(50), Span(100));
        assert_eq!(c, Correction { percent: 100.0, executions: 2 });
        c.learn(Span(250), Span(100));
        assert_eq!(c.percent, 150.0);
        assert_eq!(c.predict(Span(10)), Span(15));
    }
}
