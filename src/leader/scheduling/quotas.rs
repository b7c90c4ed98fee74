//! Conditions under which tasks of a job may start: the quota of its team, and the state of the job.

use super::*;

/// Assumed usage of tasks whose resources are unknown. It exceeds every quota, so that no team with a quota may start
/// tasks while it counts; shifted so that sums do not overflow.
const UNKNOWN_USAGE: Resources = Resources { cpus: u64::MAX >> 32, gpus: u64::MAX >> 32, memory: u64::MAX >> 32 };

/// Resources that are used, or may be used, by each team's tasks.
#[derive(Debug, Default)]
pub(super) struct TeamUsage {
    by_team: HashMap<String, Resources>,
}

impl TeamUsage {
    /// Key for usage whose team is unknown. It is added to the usage of every team.
    const UNKNOWN_TEAM: &'static str = "";

    /// Usage that is unknown altogether, so that no team with a quota may start a task.
    pub(super) fn unknown() -> TeamUsage {
        TeamUsage { by_team: HashMap::from([(TeamUsage::UNKNOWN_TEAM.to_string(), UNKNOWN_USAGE)]) }
    }

    /// Adds resources to a team's usage.
    pub(super) fn add(&mut self, team: &str, resources: &Resources) {
        self.by_team.entry(team.to_string()).or_default().add(resources);
    }

    /// A team's usage, including usage whose team is unknown.
    fn of(&self, team: &str) -> Resources {
        let usage = |name: &str| self.by_team.get(name).copied().unwrap_or_default();
        let mut total = usage(team);
        total.add(&usage(TeamUsage::UNKNOWN_TEAM));
        total
    }
}

impl Leader {
    /// Resources that each team's tasks use or may use, summed over all machines. Empty if no team has a quota, to save
    /// the work.
    pub(super) fn team_usage(&self) -> TeamUsage {
        let mut usage = TeamUsage::default();
        if !self.has_any_quota() {
            return usage;
        }
        for machine in self.machines.values() {
            for attempt in machine.attempts.values().filter(|attempt| attempt.occupies_resources()) {
                // A task still uses resources after its job has ended. Its team is no longer known by then, so it
                // counts against all teams with a quota.
                let job = self.jobs.get(attempt.task.job);
                let team = job.map_or(TeamUsage::UNKNOWN_TEAM, |job| job.spec.team.as_str());
                usage.add(team, &possible_usage(attempt, machine));
            }
        }
        usage
    }

    /// Whether `tasks` more tasks of this job stay within its team's quota. False for a team that is not configured.
    pub(super) fn within_quota(&self, usage: &TeamUsage, job: &Job, tasks: u64) -> bool {
        let Some(team) = self.settings.deployment.teams.iter().find(|team| team.name == job.spec.team) else {
            return false;
        };
        if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
            return true;
        }
        if !self.all_machines_fenced() {
            // Machines that are not fenced yet may run tasks of the team that this leader does not know of.
            return false;
        }
        let used = usage.of(&job.spec.team);
        let fits = |quota: f64, used: u64, per_task: u64| {
            quota <= 0.0 || used + per_task * tasks <= (quota * 1000.0 + 1e-6) as u64
        };
        fits(team.cpus_max, used.cpus, job.spec.resources.cpus)
            && fits(team.gpus_max, used.gpus, job.spec.resources.gpus)
    }

    /// Whether the job has pending tasks that may start now, as far as its state is concerned: its acceptance is
    /// durable, it is not being cancelled, its retry delay has passed, none of its tasks can be running on a machine
    /// that is not fenced yet, and, if it is a gang, it has no live attempt.
    pub(crate) fn is_startable(&self, job: &Job, now: Timestamp) -> bool {
        job.durable
            && !job.cancelling
            && !job.pending.is_empty()
            && job.retry_not_before <= now
            && (self.all_machines_fenced() || job.accepted_by_this_leader)
            && job.gang.as_ref().is_none_or(|gang| gang.is_queued())
    }

    /// Whether this job's team has a quota on CPUs or GPUs.
    pub(super) fn has_quota(&self, job: JobId) -> bool {
        let Some(job) = self.jobs.get(job) else { return false };
        let team = self.settings.deployment.teams.iter().find(|team| team.name == job.spec.team);
        team.is_some_and(|team| team.cpus_max > 0.0 || team.gpus_max > 0.0)
    }

    /// Whether any team has a quota on CPUs or GPUs.
    pub(crate) fn has_any_quota(&self) -> bool {
        self.settings.deployment.teams.iter().any(|team| team.cpus_max > 0.0 || team.gpus_max > 0.0)
    }
}

/// Upper bound of the resources that an attempt uses: its own resources if they are known, else the capacity of its
/// machine, else `UNKNOWN_USAGE`.
fn possible_usage(attempt: &TaskAttempt, machine: &Machine) -> Resources {
    if attempt.resources != Resources::default() {
        attempt.resources
    } else if machine.capacity != Resources::default() {
        machine.capacity
    } else {
        UNKNOWN_USAGE
    }
}
