//! The invariants that must hold under all faults, checked from outside: by what workers execute and what responses
//! users get.

use super::*;

/// Maximum time for which a task may be pending although a suitable machine has the capacity for it, counted from the
/// end of all faults, in milliseconds.
const MAX_PENDING_MS: u64 = 90_000;
/// Maximum time for which a job's user may go without a response, counted from the end of all faults, in milliseconds.
const MAX_MS_WITHOUT_RESPONSE: u64 = 75_000;
/// CPU limit of the team `small`, as the settings of the simulation set it.
const SMALL_TEAM_CORES: f64 = 4.0;

/// State that the checks keep between steps.
#[derive(Debug, Default)]
pub struct InvariantChecks {
    checked_at: u64,
    /// For each job with a pending task that a machine has the capacity for: the time since when this has been so.
    schedulable_since: BTreeMap<String, u64>,
    pending_checked_at: u64,
    /// Tasks of cancelled jobs that were found running past the deadline; each is reported once.
    reported_cancelled_tasks: BTreeSet<String>,
    /// Whether to check that a released machine is never registered again.
    pub check_reregistrations: bool,
    /// When the last fault ended; None while faults may be in force.
    pub(super) faults_ended_at: Option<u64>,
}

/// A task that is about to start on a machine.
pub(super) struct StartingTask {
    pub(super) job: String,
    pub(super) key: AttemptKey,
    pub(super) machine: u64,
    pub(super) zone: String,
    pub(super) spot: bool,
}

impl Simulation {
    /// Checks the invariants that hold at all times; runs at most every 100 ms of simulated time.
    pub(super) fn check_invariants(&mut self) {
        if self.now < self.invariants.checked_at + 100 {
            return;
        }
        self.invariants.checked_at = self.now;
        self.check_pending_tasks();
        self.check_gangs();
        self.check_cancelled_tasks();
    }

    /// Checks that a task stops running within `cancel_ms` after its user got the confirmation of the cancellation.
    fn check_cancelled_tasks(&mut self) {
        let now = self.now;
        if self.jobs.values().all(|j| j.cancel_confirmed_at.is_none()) {
            return;
        }
        let cancel_ms = self.site.cancel_ms;
        for w in self.workers.values().filter(|w| !w.is_hung) {
            for t in w.tasks.values().filter(|t| occupies_machine(t.state)) {
                let job = &self.jobs[job_of(&t.task)];
                let too_late = job.cancel_confirmed_at.is_some_and(|at| now > at + cancel_ms);
                if too_late && self.invariants.reported_cancelled_tasks.insert(t.task.clone()) {
                    self.violations.push(format!("{now} cancelled_task_runs: {}", t.task));
                }
            }
        }
    }

    /// Checks that, once all faults have ended, no task stays pending for 90 s while a suitable machine has the
    /// capacity for it and its team is below its limit. Capacity is derived from what runs on the workers, not from the
    /// controllers' state.
    fn check_pending_tasks(&mut self) {
        let Some(faults_ended_at) = self.invariants.faults_ended_at else { return };
        if self.now < self.invariants.pending_checked_at + 1000 {
            return;
        }
        self.invariants.pending_checked_at = self.now;
        let tasks_on_workers: Vec<String> = self.workers.values().flat_map(Worker::unfinished_tasks).collect();
        let of_small_team = |task: &&String| self.jobs[job_of(task)].spec["Crew"] == "small";
        let small_team_cores: f64 = tasks_on_workers.iter().filter(of_small_team).map(|t| self.cores_of(t)).sum();
        let mut schedulable = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.accepted && !j.cancel_requested && j.ended_at.is_none()) {
            let is_pending = |i: &u64| {
                let task = format!("{id}/{i}");
                !self.tasks.finished.contains(&task) && !tasks_on_workers.contains(&task)
            };
            let over_limit = job.spec["Crew"] == "small" && small_team_cores + job.cores() > SMALL_TEAM_CORES;
            if !(0..job.task_count()).any(|i| is_pending(&i)) || over_limit {
                continue;
            }
            if self.workers.values().any(|w| self.can_run(w, job)) {
                let since = self.invariants.schedulable_since.get(id).copied().unwrap_or(self.now).max(faults_ended_at);
                if self.now > since + MAX_PENDING_MS {
                    self.violations
                        .push(format!("{} pending_too_long: {id} although a machine has the capacity", self.now));
                }
                schedulable.insert(id.clone(), since);
            }
        }
        self.invariants.schedulable_since = schedulable;
    }

    fn cores_of(&self, task: &str) -> f64 {
        self.jobs[job_of(task)].cores()
    }

    /// Whether a machine can certainly run a task of this job. Returns false for jobs whose placement depends on other
    /// machines: spread and co-located jobs, and gangs, which need capacity for all their tasks at once.
    fn can_run(&self, w: &Worker, job: &UserJob) -> bool {
        let used: f64 = w.unfinished_tasks().iter().map(|t| self.cores_of(t)).sum();
        let allowed = (job.spec["Loaners"] == true || !w.spot)
            && job.spec["Yard"].as_str().is_none_or(|z| z == w.zone)
            && job.spec["Spread"] == false
            && job.spec["Together"] == false
            && job.spec["Shape"] != "group";
        let is_healthy = w.is_booted && w.is_alive && !w.tasks_fail && w.reclaim_at.is_none();
        is_healthy && allowed && used + job.cores() <= self.site.cores
    }

    /// Checks that, once all faults have ended, no job goes without any response to its user for 75 s.
    pub(super) fn check_status_responses(&mut self, id: &str) {
        let job = &self.jobs[id];
        let since = self.invariants.faults_ended_at.map(|at| at.max(job.status_received_at).max(job.accepted_at));
        if job.accepted && since.is_some_and(|at| self.now > at + MAX_MS_WITHOUT_RESPONSE) {
            self.violations.push(format!("{} unresponsive: no status query for {id} gets a response", self.now));
        }
    }

    /// Checks that a delayed or duplicate heartbeat does not register a machine that was released before. The check is
    /// enabled per trace, because registrations by a controller that cannot reach the state service may rightly predate
    /// the release.
    pub(super) fn check_machine_registrations(&mut self, request: &StoreRequest) {
        let StoreRequest::CompareAndSwap(transaction) = request else { return };
        if !self.invariants.check_reregistrations {
            return;
        }
        for write in &transaction.writes {
            let StoreWrite::Put { key, value, .. } = write else { continue };
            let records = value.as_array().filter(|_| key.starts_with("log/")).into_iter().flatten();
            for id in records.filter_map(|record| record["m"]["i"].as_u64()) {
                if self.cloud.released_at.get(&id).is_some_and(|at| self.now > at + 3000) {
                    self.violations.push(format!("{} reregistered: m-{id:06} was released before", self.now));
                }
            }
        }
    }

    /// Checks that a starting task runs nowhere else, that its placement and its team's limit allow it, and that its
    /// job's cancellation has not been confirmed longer than `cancel_ms` ago.
    pub(super) fn check_task_start(&mut self, starting: &StartingTask) {
        let (now, task, zone) = (self.now, &starting.key.1, &starting.zone);
        self.remove_ended_attempts(&starting.job);
        let mut violations = self.conflicts_with_other_tasks(starting);
        let team_cores = self.cores_of_small_team(&starting.job);
        let job = &self.jobs[&starting.job];
        let active = self.tasks.active.get(&starting.job).into_iter().flatten();
        let active_in_zone = active.filter(|(other, _)| self.workers[other].zone == *zone).count() as u64;
        if job.spec["Spread"] == true && active_in_zone + 1 > job.task_count().div_ceil(2) {
            violations.push(format!("{now} placement: {task} exceeds the spread limit of zone {zone}"));
        }
        if starting.spot && job.spec["Loaners"] == false {
            violations.push(format!("{now} placement: {task} on a spot instance"));
        }
        if job.spec["Crew"] == "small" && team_cores + job.cores() > SMALL_TEAM_CORES {
            violations.push(format!("{now} team_limit: {task} exceeds the limit of team `small`"));
        }
        if let Some(at) = job.cancel_confirmed_at {
            self.tasks.starts_after_cancellation += 1;
            if now > at + self.site.cancel_ms {
                violations.push(format!("{now} cancelled_task_runs: {task} starts"));
            }
        }
        self.violations.extend(violations);
    }

    /// Returns the violations between a starting task and other active tasks of its job.
    fn conflicts_with_other_tasks(&self, starting: &StartingTask) -> Vec<String> {
        let (now, task, zone, machine) = (self.now, &starting.key.1, &starting.zone, starting.machine);
        let mut violations = Vec::new();
        let colocated = self.jobs[&starting.job].spec["Together"] == true;
        for (other, other_key) in self.tasks.active.get(&starting.job).into_iter().flatten() {
            let w = &self.workers[other];
            if other_key.1 == *task && *other != machine {
                violations.push(format!("{now} duplicate_task: {task} on machines {machine} and {other}"));
            }
            if colocated && w.zone != *zone {
                violations.push(format!(
                    "{now} placement: {task} in zone {zone} although {} is in zone {}",
                    other_key.1, w.zone
                ));
            }
            if self.is_gang(&starting.job) && other_key.0 != starting.key.0 {
                violations
                    .push(format!("{now} mixed_attempts: {task} of attempt {} beside {other_key:?}", starting.key.0));
            }
        }
        violations
    }

    /// Returns the cores in use by the team `small`, or 0 if this job belongs to another team.
    fn cores_of_small_team(&mut self, job: &str) -> f64 {
        let mut team_cores = 0.0;
        if self.jobs[job].spec["Crew"] == "small" {
            let of_team = self.jobs.iter().filter(|(_, j)| j.spec["Crew"] == "small");
            let jobs: Vec<String> = of_team.map(|(id, _)| id.clone()).collect();
            for id in jobs {
                self.remove_ended_attempts(&id);
                let running = self.tasks.active.get(&id).map_or(0, Vec::len);
                team_cores += running as f64 * self.jobs[&id].cores();
            }
        }
        team_cores
    }

    /// Removes attempts at tasks of a job that no longer occupy a machine.
    fn remove_ended_attempts(&mut self, id: &str) {
        let runs = |w: &Worker, key: &AttemptKey| w.tasks.get(key).is_some_and(|t| occupies_machine(t.state));
        if let Some(active) = self.tasks.active.get_mut(id) {
            active.retain(|(machine, attempt)| self.workers.get(machine).is_some_and(|w| runs(w, attempt)));
        }
    }
}
