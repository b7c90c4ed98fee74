//! The rules that no fault may break, checked from outside: by what workers do and what users are told.

use super::*;

/// A task may wait beside a machine that has room for no longer than this, once all faults have ended.
const MAX_WAIT_MS: u64 = 90_000;
/// A job may go without an answer to its user for no longer than this, once all faults have ended.
const MAX_UNANSWERED_MS: u64 = 75_000;
/// The limit of the team `small`.
const SMALL_TEAM_CORES: f64 = 4.0;

/// What the checks remember.
#[derive(Debug, Default)]
pub struct InvariantChecks {
    checked_at: u64,
    /// Since when each job has had a task that waits while a machine that fits has room.
    passed_over_since: BTreeMap<String, u64>,
    waiting_checked_at: u64,
    /// Cancelled tasks that were found running too late: each is told once.
    ran_too_long: BTreeSet<String>,
    /// Whether a machine that was released must not be registered again.
    pub check_reregistrations: bool,
    /// When the last fault was over, if it is.
    pub(super) faults_ended_at: Option<u64>,
}

/// A task that starts on a machine.
pub(super) struct StartingTask {
    pub(super) job: String,
    pub(super) key: AttemptKey,
    pub(super) machine: u64,
    pub(super) zone: String,
    pub(super) spot: bool,
}

impl Simulation {
    /// Checks the rules that hold at every moment, ten times a second.
    pub(super) fn check_rules(&mut self) {
        if self.now < self.invariants.checked_at + 100 {
            return;
        }
        self.invariants.checked_at = self.now;
        self.check_waiting();
        self.check_gangs();
        self.check_cancelled();
    }

    /// A task runs no longer than `cancel_ms` after its user was told that it is cancelled.
    fn check_cancelled(&mut self) {
        let now = self.now;
        if self.jobs.values().all(|j| j.cancelled_at.is_none()) {
            return;
        }
        let cancel_ms = self.site.cancel_ms;
        for w in self.workers.values().filter(|w| !w.is_hung) {
            for t in w.tasks.values().filter(|t| on_machine(t.state)) {
                let job = &self.jobs[job_of(&t.task)];
                let too_late = job.cancelled_at.is_some_and(|at| now > at + cancel_ms);
                if too_late && self.invariants.ran_too_long.insert(t.task.clone()) {
                    self.violations.push(format!("{now} ran_cancelled: {}", t.task));
                }
            }
        }
    }

    /// Faults over, no task may wait for 90 s while a machine that fits has room and its team is under its limit.
    /// Looked at from outside: by what is on the workers.
    fn check_waiting(&mut self) {
        let Some(faults_ended_at) = self.invariants.faults_ended_at else { return };
        if self.now < self.invariants.waiting_checked_at + 1000 {
            return;
        }
        self.invariants.waiting_checked_at = self.now;
        let held: Vec<String> = self.workers.values().flat_map(Worker::unfinished_tasks).collect();
        let of_small_team = |task: &&String| self.jobs[job_of(task)].spec["Crew"] == "small";
        let small: f64 = held.iter().filter(of_small_team).map(|t| self.cores_of(t)).sum();
        let mut passed_over = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.accepted && !j.cancelling && j.ended_at.is_none()) {
            let waits = |i: &u64| {
                let task = format!("{id}/{i}");
                !self.tasks.finished.contains(&task) && !held.contains(&task)
            };
            let over_limit = job.spec["Crew"] == "small" && small + job.cores() > SMALL_TEAM_CORES;
            if !(0..job.task_count()).any(|i| waits(&i)) || over_limit {
                continue;
            }
            if self.workers.values().any(|w| self.has_room_for(w, job)) {
                let since = self.invariants.passed_over_since.get(id).copied().unwrap_or(self.now).max(faults_ended_at);
                if self.now > since + MAX_WAIT_MS {
                    self.violations.push(format!("{} waits: {id} although a machine has room", self.now));
                }
                passed_over.insert(id.clone(), since);
            }
        }
        self.invariants.passed_over_since = passed_over;
    }

    fn cores_of(&self, task: &str) -> f64 {
        self.jobs[job_of(task)].cores()
    }

    /// Whether a machine could surely run a task of this job. A gang needs room for all its tasks at once.
    fn has_room_for(&self, w: &Worker, job: &UserJob) -> bool {
        let used: f64 = w.unfinished_tasks().iter().map(|t| self.cores_of(t)).sum();
        let allowed = (job.spec["Loaners"] == true || !w.spot)
            && job.spec["Yard"].as_str().is_none_or(|z| z == w.zone)
            && job.spec["Spread"] == false
            && job.spec["Together"] == false
            && job.spec["Shape"] != "group";
        let in_order = w.is_booted && w.is_alive && !w.tasks_fail && w.reclaim_at.is_none();
        in_order && allowed && used + job.cores() <= self.site.cores
    }

    /// No job may go without any answer for 75 s once all faults have ended.
    pub(super) fn check_answered(&mut self, id: &str) {
        let job = &self.jobs[id];
        let since = self.invariants.faults_ended_at.map(|at| at.max(job.status_received_at).max(job.accepted_at));
        if job.accepted && since.is_some_and(|at| self.now > at + MAX_UNANSWERED_MS) {
            self.violations.push(format!("{} forgotten: no question about {id} is answered", self.now));
        }
    }

    /// A late copy must not register a machine that was released before. (While a controller does not reach the state service
    /// its registrations may be older than the release, so a trace asks for this.)
    pub(super) fn check_registered(&mut self, request: &StoreRequest) {
        let StoreRequest::CompareAndSwap(transaction) = request else { return };
        if !self.invariants.check_reregistrations {
            return;
        }
        for write in &transaction.writes {
            let StoreWrite::Put { key, value, .. } = write else { continue };
            let records = value.as_array().filter(|_| key.starts_with("log/")).into_iter().flatten();
            for id in records.filter_map(|record| record["m"]["i"].as_u64()) {
                if self.cloud.released_at.get(&id).is_some_and(|at| self.now > at + 3000) {
                    self.violations.push(format!("{} enrolled: m-{id:06} was returned long ago", self.now));
                }
            }
        }
    }

    /// A task that starts runs nowhere else, where it may run, within its team's limit, and is not cancelled for long.
    pub(super) fn check_started(&mut self, starting: &StartingTask) {
        let (now, task, zone) = (self.now, &starting.key.1, &starting.zone);
        self.forget_ended_attempts(&starting.job);
        let mut broken = self.conflicts_with_other_tasks(starting);
        let team_cores = self.cores_of_small_team(&starting.job);
        let job = &self.jobs[&starting.job];
        let active = self.tasks.active.get(&starting.job).into_iter().flatten();
        let in_zone = active.filter(|(other, _)| self.workers[other].zone == *zone).count() as u64;
        if job.spec["Spread"] == true && in_zone + 1 > job.task_count().div_ceil(2) {
            broken.push(format!("{now} wrong_place: {task} is one too many in zone {zone}"));
        }
        if starting.spot && job.spec["Loaners"] == false {
            broken.push(format!("{now} wrong_place: {task} on a spot machine"));
        }
        if job.spec["Crew"] == "small" && team_cores + job.cores() > SMALL_TEAM_CORES {
            broken.push(format!("{now} quota: {task}"));
        }
        if let Some(at) = job.cancelled_at {
            self.tasks.starts_after_cancellation += 1;
            if now > at + self.site.cancel_ms {
                broken.push(format!("{now} ran_cancelled: {task} starts"));
            }
        }
        self.violations.extend(broken);
    }

    /// What other tasks of the job break with one that starts.
    fn conflicts_with_other_tasks(&self, starting: &StartingTask) -> Vec<String> {
        let (now, task, zone, machine) = (self.now, &starting.key.1, &starting.zone, starting.machine);
        let mut broken = Vec::new();
        let together = self.jobs[&starting.job].spec["Together"] == true;
        for (other, other_key) in self.tasks.active.get(&starting.job).into_iter().flatten() {
            let w = &self.workers[other];
            if other_key.1 == *task && *other != machine {
                broken.push(format!("{now} ran_twice: {task} on {machine} and {other}"));
            }
            if together && w.zone != *zone {
                broken.push(format!("{now} wrong_place: {task} in zone {zone} while {} is in {}", other_key.1, w.zone));
            }
            if self.is_gang(&starting.job) && other_key.0 != starting.key.0 {
                broken.push(format!("{now} mixed attempts: {task} of {} beside {other_key:?}", starting.key.0));
            }
        }
        broken
    }

    /// What the team `small` uses, if this job is one of its jobs.
    fn cores_of_small_team(&mut self, job: &str) -> f64 {
        let mut team_cores = 0.0;
        if self.jobs[job].spec["Crew"] == "small" {
            let of_team = self.jobs.iter().filter(|(_, j)| j.spec["Crew"] == "small");
            let jobs: Vec<String> = of_team.map(|(id, _)| id.clone()).collect();
            for id in jobs {
                self.forget_ended_attempts(&id);
                let running = self.tasks.active.get(&id).map_or(0, Vec::len);
                team_cores += running as f64 * self.jobs[&id].cores();
            }
        }
        team_cores
    }

    /// Forgets attempts at tasks of a job that run no more.
    fn forget_ended_attempts(&mut self, id: &str) {
        let runs = |w: &Worker, key: &AttemptKey| w.tasks.get(key).is_some_and(|t| on_machine(t.state));
        if let Some(active) = self.tasks.active.get_mut(id) {
            active.retain(|(machine, attempt)| self.workers.get(machine).is_some_and(|w| runs(w, attempt)));
        }
    }
}
