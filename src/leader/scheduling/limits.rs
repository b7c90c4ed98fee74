//! What may be started at all: limits of teams, and jobs that are held back.

use super::*;

impl Leader {
    /// What each team's tasks use, or may use; nothing is counted where no team has a limit.
    pub(super) fn team_usage(&self) -> HashMap<String, Resources> {
        let mut used: HashMap<String, Resources> = HashMap::new();
        if !self.has_any_quota() {
            return used;
        }
        for machine in self.machines.values() {
            for hold in machine.attempts.values().filter(|h| h.occupies_resources()) {
                // A task whose job is over still counts; its team is not known any more, so it
                // counts for all that are limited.
                let team = self.jobs.get(hold.task.job).map_or("", |j| j.spec.team.as_str());
                let need = if hold.resources == Resources::default() { machine.capacity } else { hold.resources };
                // Of a machine whose room is not known either, anything may be used.
                let need = if need == Resources::default() { UNKNOWN_USAGE } else { need };
                used.entry(team.to_string()).or_default().add(&need);
            }
        }
        used
    }

    /// Whether a team may use this much more.
    pub(super) fn within_quota(&self, used: &HashMap<String, Resources>, job: &Job, times: u64) -> bool {
        let Some(team) = self.settings.deployment.teams.iter().find(|t| t.name == job.spec.team) else {
            return false;
        };
        if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
            return true;
        }
        if !self.all_machines_fenced() {
            // Machines that are not fenced may run tasks of the team that are not known here.
            return false;
        }
        let of = |name: &str| used.get(name).copied().unwrap_or_default();
        let mut total = of(&job.spec.team);
        total.add(&of(""));
        let fits = |max: f64, have: u64, need: u64| max <= 0.0 || have + need * times <= (max * 1000.0 + 1e-6) as u64;
        fits(team.cpus_max, total.cpus, job.spec.resources.cpus)
            && fits(team.gpus_max, total.gpus, job.spec.resources.gpus)
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

    /// Whether this job's team has a limit.
    pub(super) fn has_quota(&self, job: JobId) -> bool {
        let Some(job) = self.jobs.get(job) else { return false };
        let team = self.settings.deployment.teams.iter().find(|t| t.name == job.spec.team);
        team.is_some_and(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0)
    }

    /// Whether any team has a limit.
    pub(crate) fn has_any_quota(&self) -> bool {
        self.settings.deployment.teams.iter().any(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0)
    }
}
