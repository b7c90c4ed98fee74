//! What may be started at all: quotas of teams, and jobs that are held back.

use super::*;

/// Used by tasks of which nothing is known: no team with a quota may start anything beside it.
const UNKNOWN_USAGE: Resources = Resources { cpus: u64::MAX >> 32, gpus: u64::MAX >> 32, memory: u64::MAX >> 32 };

/// The resources that each team's tasks use, or may use.
#[derive(Debug, Default)]
pub(super) struct TeamUsage {
    by_team: HashMap<String, Resources>,
}

impl TeamUsage {
    /// The name under which usage is counted whose team is not known; it counts for every team with a quota.
    const UNKNOWN_TEAM: &'static str = "";

    /// Anything may be used: no team with a quota may start a task.
    pub(super) fn unknown() -> TeamUsage {
        TeamUsage { by_team: HashMap::from([(TeamUsage::UNKNOWN_TEAM.to_string(), UNKNOWN_USAGE)]) }
    }

    /// Counts more resources for a team.
    pub(super) fn add(&mut self, team: &str, resources: &Resources) {
        self.by_team.entry(team.to_string()).or_default().add(resources);
    }

    /// What counts for a team.
    fn of(&self, team: &str) -> Resources {
        let usage = |name: &str| self.by_team.get(name).copied().unwrap_or_default();
        let mut total = usage(team);
        total.add(&usage(TeamUsage::UNKNOWN_TEAM));
        total
    }
}

impl Leader {
    /// What each team's tasks use, or may use; nothing is counted where no team has a quota.
    pub(super) fn team_usage(&self) -> TeamUsage {
        let mut usage = TeamUsage::default();
        if !self.has_any_quota() {
            return usage;
        }
        for machine in self.machines.values() {
            for attempt in machine.attempts.values().filter(|attempt| attempt.occupies_resources()) {
                // A task whose job is over still counts; its team is not known any more, so it
                // counts for all that have a quota.
                let job = self.jobs.get(attempt.task.job);
                let team = job.map_or(TeamUsage::UNKNOWN_TEAM, |job| job.spec.team.as_str());
                usage.add(team, &possible_usage(attempt, machine));
            }
        }
        usage
    }

    /// Whether a team may use the resources of this many more tasks of a job.
    pub(super) fn within_quota(&self, usage: &TeamUsage, job: &Job, tasks: u64) -> bool {
        let Some(team) = self.settings.deployment.teams.iter().find(|team| team.name == job.spec.team) else {
            return false;
        };
        if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
            return true;
        }
        if !self.all_machines_fenced() {
            // Machines that are not fenced may run tasks of the team that are not known here.
            return false;
        }
        let used = usage.of(&job.spec.team);
        let fits = |quota: f64, used: u64, per_task: u64| {
            quota <= 0.0 || used + per_task * tasks <= (quota * 1000.0 + 1e-6) as u64
        };
        fits(team.cpus_max, used.cpus, job.spec.resources.cpus)
            && fits(team.gpus_max, used.gpus, job.spec.resources.gpus)
    }

    /// Whether tasks of this job may be started at all now.
    pub(crate) fn is_startable(&self, job: &Job, now: Timestamp) -> bool {
        job.durable
            && !job.cancelling
            && !job.pending.is_empty()
            && job.retry_not_before <= now
            && (self.all_machines_fenced() || job.accepted_by_this_leader)
            && job.gang.as_ref().is_none_or(|gang| gang.is_queued())
    }

    /// Whether this job's team has a quota.
    pub(super) fn has_quota(&self, job: JobId) -> bool {
        let Some(job) = self.jobs.get(job) else { return false };
        let team = self.settings.deployment.teams.iter().find(|team| team.name == job.spec.team);
        team.is_some_and(|team| team.cpus_max > 0.0 || team.gpus_max > 0.0)
    }

    /// Whether any team has a quota.
    pub(crate) fn has_any_quota(&self) -> bool {
        self.settings.deployment.teams.iter().any(|team| team.cpus_max > 0.0 || team.gpus_max > 0.0)
    }
}

/// What a task may use: all of its machine if its own resources are not known, and anything if those of the
/// machine are not known either.
fn possible_usage(attempt: &TaskAttempt, machine: &Machine) -> Resources {
    if attempt.resources != Resources::default() {
        attempt.resources
    } else if machine.capacity != Resources::default() {
        machine.capacity
    } else {
        UNKNOWN_USAGE
    }
}
