//! Checks whether a job can ever run in this deployment.

use super::JobSpec;
use crate::settings::Team;
use crate::types::Resources;
use crate::wire::{MachineType, SubmissionProblem};

/// `Retry-After` of submissions that are refused because the machine types are not known yet, in seconds.
const MACHINE_TYPES_RETRY_AFTER_S: u16 = 1;
/// `Retry-After` of gangs that are refused because not all controllers are upgraded, in seconds.
pub(super) const GANGS_RETRY_AFTER_S: u16 = 5;
/// Added to limits, in thousandths, before they are rounded down, to compensate for floating-point error.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The reason why a submission is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmissionError {
    /// A field is missing or invalid.
    #[error("field `{field}` {problem}")]
    Malformed {
        /// Name of the field in the protocol; empty if the whole body is invalid.
        field: &'static str,
        /// What is wrong with the field.
        problem: SubmissionProblem,
    },
    /// The job can never run in this deployment.
    #[error("{0}")]
    Infeasible(String),
    /// The job cannot be accepted at this time, but may be submitted again later.
    #[error("{reason}")]
    Unavailable {
        /// The condition that is not met yet.
        reason: &'static str,
        /// Seconds after which the user may retry.
        retry_after: u16,
    },
}

/// Returns the resources of a machine of this type.
pub fn capacity(machine_type: &MachineType) -> Resources {
    let thousandths = |amount: f64| (amount.max(0.0) * 1000.0 + ROUNDING_TOLERANCE).floor() as u64;
    Resources {
        cpus: thousandths(machine_type.cpus),
        gpus: thousandths(machine_type.gpus),
        memory: thousandths(machine_type.memory_gb),
    }
}

/// Checks whether a job can ever run: its team exists, its quota suffices and at least one machine type fits a task.
/// Gangs are also refused unless `gangs_supported`, that is, unless every controller runs a version that supports
/// gangs.
pub fn check_feasible(
    job: &JobSpec,
    teams: &[Team],
    machine_types: Option<&[MachineType]>,
    gangs_supported: bool,
) -> Result<(), SubmissionError> {
    let Some(team) = teams.iter().find(|team| team.name == job.team) else {
        return Err(SubmissionError::Infeasible(format!("unknown team `{}`", job.team)));
    };
    check_quota(job, team)?;
    let Some(machine_types) = machine_types else {
        let retry_after = MACHINE_TYPES_RETRY_AFTER_S;
        return Err(SubmissionError::Unavailable { reason: "machine types are not known yet", retry_after });
    };
    if !machine_types.iter().any(|machine_type| can_host(machine_type, job)) {
        return Err(SubmissionError::Infeasible("a task fits no allowed machine type".into()));
    }
    if job.is_gang && !gangs_supported {
        let reason = "gangs are taken once all controllers are upgraded";
        return Err(SubmissionError::Unavailable { reason, retry_after: GANGS_RETRY_AFTER_S });
    }
    Ok(())
}

/// Checks the resources that must be available at the same time against the team's quotas: those of all tasks for
/// services and gangs, those of one task otherwise.
fn check_quota(job: &JobSpec, team: &Team) -> Result<(), SubmissionError> {
    let concurrent_tasks = if job.is_service || job.is_gang { u64::from(job.task_count) } else { 1 };
    let limits = [("cpus_max", team.cpus_max, job.resources.cpus), ("gpus_max", team.gpus_max, job.resources.gpus)];
    for (name, limit, per_task) in limits {
        let limited = limit > 0.0;
        let thousandths = (limit * 1000.0 + ROUNDING_TOLERANCE) as u64;
        if limited && per_task.saturating_mul(concurrent_tasks) > thousandths {
            return Err(SubmissionError::Infeasible(format!("needs more than {name} of team `{}`", job.team)));
        }
    }
    Ok(())
}

/// Whether a task of the job fits on an empty machine of this type under the job's placement constraints.
pub fn can_host(machine_type: &MachineType, job: &JobSpec) -> bool {
    let type_allowed = job.machine_types.as_ref().is_none_or(|types| types.contains(&machine_type.name));
    let zone_available = job.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone));
    let one_zone_only = job.zone.is_some() || job.colocate_in_zone;
    let spread_possible = !job.spread_over_zones || job.task_count < 2 || !one_zone_only;
    job.resources.fits(&capacity(machine_type)) && type_allowed && zone_available && spread_possible
}
