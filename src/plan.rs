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
pub use model::{ImageIndex, JobDirectory, JobProfile, PlannedMachine, QueueEntry, QueuePriority, ZoneAllowance};
use simulation::{late_by_entry, outcome, position, walk};

use crate::types::{Duration, JobId, MachineId, Resources, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// Tasks that one machine's queue holds at the most; what lies further off waits unplanned.
pub const MAX_QUEUED_TASKS: u32 = 64;

/// Tasks that are submitted again at the most when machines come, unless these take more.
const MAX_REPLANNED_TASKS: usize = 500;

/// Differences of predicted ends below these do not decide between machines: predictions are less
/// exact than that. Services are told apart finely, since a cached image is certain.
const FINE: u64 = 200;
const COARSE: u64 = 2000;

/// Ranks that have lower ones.
pub const PREEMPTING_PRIORITIES: usize = 3;

/// What pushing lower tasks aside costs a service or gang; more than `FINE`, so that free room is preferred.
const PREEMPTION_PENALTY: Duration = Duration::from_millis(400);

/// What inserting a task would do, in the order in which machines are preferred: whether it misses its
/// deadline, how many others it pushes past theirs, its end, and the machine's bias.
type Rating = (bool, u32, u64, u64);

/// Which parts of the design are in force; all of them but for ablations.
#[derive(Debug, Clone, Copy)]
pub struct DesignFeatures {
    /// Prefer machines where fewer tasks are pushed past their deadline.
    pub prefer_fewest_fallbacked: bool,
    /// Submit pushed tasks again.
    pub resubmission: bool,
}

impl Default for DesignFeatures {
    fn default() -> Self {
        DesignFeatures { prefer_fewest_fallbacked: true, resubmission: true }
    }
}

/// Where a job's tasks wait.
#[derive(Debug)]
struct PlannedJob {
    queue_priority: QueuePriority,
    task_count: u32,
    tasks_by_machine: BTreeMap<MachineId, u32>,
}

/// All machines' queues.
#[derive(Debug, Default)]
pub struct Plans {
    machines: BTreeMap<MachineId, PlannedMachine>,
    planned_jobs: HashMap<JobId, PlannedJob>,
    /// Jobs with tasks in queues, most important first.
    by_priority: BTreeSet<(QueuePriority, JobId)>,
    /// Machines whose room or queue has changed since `take_touched`.
    changed_machines: BTreeSet<MachineId>,
    /// Parts of the design in force.
    pub features: DesignFeatures,
}

impl Plans {
    /// All machines.
    pub fn machines(&self) -> impl Iterator<Item = &PlannedMachine> {
        self.machines.values()
    }

    /// One machine.
    pub fn machine(&self, id: MachineId) -> Option<&PlannedMachine> {
        self.machines.get(&id)
    }

    /// Machines whose room or queue has changed since this was asked last.
    pub fn take_changed_machines(&mut self) -> BTreeSet<MachineId> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Brings what is known of a machine up to date; its queue stays.
    pub fn update_machine(&mut self, fresh: PlannedMachine) {
        self.changed_machines.insert(fresh.id);
        let Some(server) = self.machines.get_mut(&fresh.id) else { return };
        let (queue, waiting) = (std::mem::take(&mut server.queue), server.queued_tasks);
        *server = PlannedMachine { queue, queued_tasks: waiting, ..fresh };
    }

    /// Adds new machines. Tasks that would start later elsewhere are submitted again; if there are very
    /// many of them the most important ones, as many as the new machines take in two turns.
    pub fn add_machines(&mut self, now: Timestamp, fresh: Vec<PlannedMachine>) {
        let Some(ready) = fresh.iter().map(|s| s.ready_at).min() else { return };
        let mut room = 2 * fresh.iter().map(|s| s.free.cpus).sum::<u64>();
        let mut later: Vec<(QueueEntry, MachineId)> = Vec::new();
        for server in self.machines.values().filter(|s| !s.queue.is_empty()) {
            walk(server, now, None, |entry, start, _| {
                if start.is_none_or(|at| at > ready + Duration::from_secs(1)) {
                    later.push((*entry, server.id));
                }
            });
        }
        later.sort_unstable_by_key(|(entry, id)| (entry.queue_priority, *id));
        for (n, (entry, id)) in later.into_iter().enumerate() {
            if n >= MAX_REPLANNED_TASKS && entry.resources.cpus > room {
                break;
            }
            room = room.saturating_sub(entry.resources.cpus);
            self.unplan_last(id, entry.job);
        }
        for server in fresh {
            self.changed_machines.insert(server.id);
            self.machines.insert(server.id, server);
        }
    }

    /// Takes tasks out of these machines' queues that will never start where they wait, because
    /// services have taken the room, and services that would wait for room on a machine that is up:
    /// room may have come up elsewhere, or may be made there.
    pub fn unplan_stuck(&mut self, now: Timestamp, ids: impl Iterator<Item = MachineId>) {
        for id in ids {
            let Some(server) = self.machines.get(&id).filter(|s| !s.queue.is_empty()) else { continue };
            let mut stuck = Vec::new();
            let up = server.earliest_start(now) <= now + Duration::from_millis(500);
            walk(server, now, None, |entry, start, _| {
                if start.is_none_or(|at| up && entry.is_service && at > now + Duration::from_secs(1)) {
                    stuck.push(entry.job);
                }
            });
            for job in stuck {
                self.unplan_last(id, job);
            }
        }
    }

    /// Takes the last waiting task of this job out of a machine's queue.
    pub(crate) fn unplan_last(&mut self, id: MachineId, job: JobId) {
        if let Some(at) = self.machines.get(&id).and_then(|s| s.queue.iter().rposition(|e| e.job == job)) {
            self.dequeue_one(id, at);
        }
    }

    /// Room of a machine after a start in the same round.
    pub fn set_free(&mut self, id: MachineId, free: Resources) {
        if let Some(server) = self.machines.get_mut(&id) {
            server.free = free;
        }
    }

    /// Takes a machine out; its queue is unplanned again.
    pub fn remove_machine(&mut self, id: MachineId) {
        self.clear_queue(id);
        self.machines.remove(&id);
    }

    /// Takes a machine's queue away, to be planned anew.
    pub fn clear_queue(&mut self, id: MachineId) {
        let Some(server) = self.machines.get_mut(&id) else { return };
        server.queued_tasks = 0;
        for entry in std::mem::take(&mut server.queue) {
            self.adjust_planned_count(id, entry.job, entry.queue_priority, -i64::from(entry.count));
        }
    }

    /// Takes all of a job's waiting tasks out.
    pub fn unplan_job(&mut self, job: JobId) {
        let Some(waiting) = self.planned_jobs.remove(&job) else { return };
        self.by_priority.remove(&(waiting.queue_priority, job));
        for (id, count) in waiting.tasks_by_machine {
            if let Some(server) = self.machines.get_mut(&id) {
                server.queue.retain(|e| e.job != job);
                server.queued_tasks -= count;
                self.changed_machines.insert(id);
            }
        }
    }

    /// How many of a job's tasks are in queues.
    pub fn planned_count(&self, job: JobId) -> u32 {
        self.planned_jobs.get(&job).map_or(0, |w| w.task_count)
    }

    /// Jobs with tasks in queues, most important first, and the machines where they wait.
    pub fn planned_jobs(&self) -> impl Iterator<Item = (QueuePriority, JobId, impl Iterator<Item = MachineId>)> {
        self.by_priority.iter().filter_map(|(order, job)| {
            let waiting = self.planned_jobs.get(job)?;
            Some((*order, *job, waiting.tasks_by_machine.keys().copied()))
        })
    }

    /// How many of a job's tasks wait in each zone.
    fn planned_by_zone(&self, job: JobId) -> BTreeMap<usize, u32> {
        let mut zones = BTreeMap::new();
        for (id, count) in self.planned_jobs.get(&job).into_iter().flat_map(|w| &w.tasks_by_machine) {
            if let Some(server) = self.machines.get(id) {
                *zones.entry(server.zone).or_insert(0) += count;
            }
        }
        zones
    }

    fn adjust_planned_count(&mut self, id: MachineId, job: JobId, order: QueuePriority, by: i64) {
        let waiting = self.planned_jobs.entry(job).or_insert_with(|| PlannedJob {
            queue_priority: order,
            task_count: 0,
            tasks_by_machine: BTreeMap::new(),
        });
        let changed = |n: u32| (i64::from(n) + by).max(0) as u32;
        waiting.task_count = changed(waiting.task_count);
        let here = waiting.tasks_by_machine.entry(id).or_insert(0);
        *here = changed(*here);
        if *here == 0 {
            waiting.tasks_by_machine.remove(&id);
        }
        if waiting.task_count == 0 {
            let order = waiting.queue_priority;
            self.planned_jobs.remove(&job);
            self.by_priority.remove(&(order, job));
        } else {
            self.by_priority.insert((waiting.queue_priority, job));
        }
    }

    /// Takes one task of the entry at `at` out of a machine's queue.
    pub fn dequeue_one(&mut self, id: MachineId, at: usize) {
        let Some(server) = self.machines.get_mut(&id) else { return };
        let Some(entry) = server.queue.get_mut(at) else { return };
        let (job, order) = (entry.job, entry.queue_priority);
        entry.count -= 1;
        if entry.count == 0 {
            server.queue.remove(at);
        }
        server.queued_tasks -= 1;
        self.changed_machines.insert(id);
        self.adjust_planned_count(id, job, order, -1);
    }

    fn enqueue(&mut self, id: MachineId, entry: QueueEntry) {
        let Some(server) = self.machines.get_mut(&id) else { return };
        let at = position(&server.queue, entry.queue_priority);
        match at.checked_sub(1).map(|i| &mut server.queue[i]) {
            Some(same) if same.job == entry.job && same.predicted_duration == entry.predicted_duration => {
                same.count += entry.count
            }
            _ => server.queue.insert(at, entry),
        }
        server.queued_tasks += entry.count;
        self.changed_machines.insert(id);
        self.adjust_planned_count(id, entry.job, entry.queue_priority, i64::from(entry.count));
    }

    /// Places up to `count` tasks like `task`; returns how many found a machine.
    ///
    /// Among machines that meet the deadline the one with fewest fallbacked tasks is taken, then
    /// the one that is done sooner; if none meets it, the one that is done soonest. Each machine is
    /// looked at once, and again only when it has received a task.
    pub fn place(&mut self, now: Timestamp, task: QueueEntry, count: u32, world: &dyn JobDirectory) -> u32 {
        let Some(profile) = world.profile(task.job) else { return 0 };
        let mut zones = if task.has_zone_constraints {
            world.zone_allowance(task.job, &self.planned_by_zone(task.job))
        } else {
            ZoneAllowance::default()
        };
        let mut best: BinaryHeap<Reverse<(Rating, MachineId)>> = self
            .machines
            .values()
            .filter_map(|server| Some(Reverse((self.rate(server, now, &task, &profile)?, server.id))))
            .collect();
        let mut stale: BTreeSet<MachineId> = BTreeSet::new();
        let mut placed = 0;
        while placed < count
            && let Some(Reverse((_, id))) = best.pop()
        {
            let Some(server) = self.machines.get(&id) else { continue };
            if task.has_zone_constraints && !zones.has_room(server.zone) {
                continue;
            }
            if stale.remove(&id) {
                // Others' tasks were submitted to it again: it can only have become worse.
                best.extend(self.rate(server, now, &task, &profile).map(|r| Reverse((r, id))));
                continue;
            }
            let Some(run) = profile.predicted_duration(server) else { continue };
            let pushes = server.queue.iter().any(|e| e.deadline != Timestamp::NEVER);
            let late_before = if pushes { late_by_entry(server, now) } else { Vec::new() };
            zones.add_task(server.zone);
            self.enqueue(id, QueueEntry { predicted_duration: run, count: 1, ..task });
            placed += 1;
            if pushes && self.features.resubmission {
                stale.extend(self.resubmit(now, id, task.job, &late_before, world));
            }
            let server = &self.machines[&id];
            best.extend(self.rate(server, now, &task, &profile).map(|r| Reverse((r, id))));
        }
        placed
    }

    fn rate(&self, server: &PlannedMachine, now: Timestamp, task: &QueueEntry, profile: &JobProfile) -> Option<Rating> {
        let run = profile.predicted_duration(server)?;
        let outcome = outcome(server, now, QueueEntry { predicted_duration: run, count: 1, ..*task })?;
        let misses = outcome.finish > task.deadline;
        let pushed = if misses || !self.features.prefer_fewest_fallbacked { 0 } else { outcome.pushed };
        let (bias, grain) = if task.is_service { (server.bias.0, FINE) } else { (server.bias.1, COARSE) };
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
        world: &dyn JobDirectory,
    ) -> Vec<MachineId> {
        let mut touched = Vec::new();
        for (job, late) in late_by_entry(&self.machines[&id], now) {
            let before = late_before.iter().find(|(j, _)| *j == job).map_or(0, |(_, n)| *n);
            let Some(profile) = world.profile(job) else { continue };
            for _ in before..late {
                let Some(at) = self.machines[&id].queue.iter().rposition(|e| e.job == job) else { break };
                let entry = self.machines[&id].queue[at];
                if entry.job == inserted || entry.has_zone_constraints || entry.is_service || entry.is_gang {
                    break;
                }
                let mut best: Option<((u32, Timestamp), MachineId, Duration)> = None;
                for server in self.machines.values().filter(|s| s.id != id) {
                    let Some(run) = profile.predicted_duration(server) else { continue };
                    let Some(outcome) = outcome(server, now, QueueEntry { predicted_duration: run, count: 1, ..entry })
                    else {
                        continue;
                    };
                    if outcome.finish > entry.deadline {
                        continue;
                    }
                    let key = (outcome.pushed, outcome.finish);
                    if best.is_none_or(|(other, _, _)| key < other) {
                        best = Some((key, server.id, run));
                    }
                }
                let Some((_, to, run)) = best else { break };
                self.dequeue_one(id, at);
                self.enqueue(to, QueueEntry { predicted_duration: run, count: 1, ..entry });
                touched.push(to);
            }
        }
        touched
    }

    /// The highest-priority task in another machine's plan that fits into this one's free room now.
    pub fn steal_for(
        &mut self,
        id: MachineId,
        allowed: &dyn Fn(&QueueEntry, &PlannedMachine) -> Option<Duration>,
    ) -> Option<QueueEntry> {
        let me = self.machines.get(&id)?;
        let (from, at, run) = self.by_priority.iter().find_map(|(_, job)| {
            let from = *self.planned_jobs.get(job)?.tasks_by_machine.keys().rev().find(|other| **other != id)?;
            let at = self.machines.get(&from)?.queue.iter().position(|e| e.job == *job)?;
            let entry = &self.machines[&from].queue[at];
            let run = if entry.resources.fits(&me.free) { allowed(entry, me) } else { None }?;
            Some((from, at, run))
        })?;
        let entry = QueueEntry { predicted_duration: run, count: 1, ..self.machines[&from].queue[at] };
        self.dequeue_one(from, at);
        self.enqueue(id, entry);
        Some(entry)
    }

    /// Predicted starts of all waiting tasks of a machine: the entry and when its first task starts.
    pub fn predicted_starts(&self, id: MachineId, now: Timestamp) -> Vec<(QueueEntry, Option<Timestamp>)> {
        let Some(server) = self.machines.get(&id) else { return Vec::new() };
        let mut found = Vec::new();
        walk(server, now, None, |entry, start, _| found.push((QueueEntry { count: 1, ..*entry }, start)));
        found
    }
}

#[cfg(test)]
mod tests;
