//! The properties of a submission on which admission decisions depend.

use caperstile_types::JobId;
use std::fmt;

/// Number of tasks that cost the controllers about as much as one job: each task causes a start, heartbeat entries and
/// log commits, each job causes status queries by its user.
const TASKS_PER_COST_UNIT: f64 = 32.0;

/// A team and one of its job classes: the unit for which demand is measured and an admission ratio is set.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamClassPair {
    /// Name of the team.
    pub team: String,
    /// Name of the job class; empty for the entry that covers all other classes of the team.
    pub class: String,
}

/// Class name of the entry that covers all classes of a team without an entry of their own. No job has this class,
/// since names are not empty.
pub(crate) const OTHER_CLASSES: &str = "";

impl TeamClassPair {
    /// Creates a pair from the names of a team and a class.
    pub fn new(team: &str, class: &str) -> TeamClassPair {
        TeamClassPair { team: team.to_string(), class: class.to_string() }
    }
}

impl fmt::Display for TeamClassPair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.class)
    }
}

/// Load that accepted jobs cause at the controllers. The unit is one job without the cost of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Cost(pub f64);

impl Cost {
    /// Returns the cost of `jobs` jobs that have `tasks` tasks in total.
    pub fn of_jobs(jobs: u32, tasks: u32) -> Cost {
        Cost(f64::from(jobs) + f64::from(tasks) / TASKS_PER_COST_UNIT)
    }
}

/// The part of a submission that an admission decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Id of the job; with the table's salt, it determines whether the submission is in the admitted share.
    pub job: JobId,
    /// Team of the job.
    pub team: &'a str,
    /// Class of the job.
    pub class: &'a str,
}
