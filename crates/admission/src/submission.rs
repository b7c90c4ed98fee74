//! What admission looks at of a submission.

use caperstile_types::JobId;
use std::fmt;

/// Tasks that cost the controllers about as much as a job of its own: starts, reports and commits of each task against the
/// questions of one user.
const TASKS_PER_UNIT: f64 = 32.0;

/// A team and one of its classes of jobs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamClassPair {
    /// Team.
    pub team: String,
    /// Class.
    pub class: String,
}

/// Stands for all classes of a team that are not told apart. No job has it: names are not empty.
pub(crate) const OTHER_CLASSES: &str = "";

impl TeamClassPair {
    /// The pair of these names.
    pub fn new(team: &str, class: &str) -> TeamClassPair {
        TeamClassPair { team: team.to_string(), class: class.to_string() }
    }
}

impl fmt::Display for TeamClassPair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.class)
    }
}

/// What an accepted job costs the controllers, in units of a job with few tasks.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Cost(pub f64);

impl Cost {
    /// The cost of so many jobs with so many tasks all together.
    pub fn of_jobs(jobs: u32, tasks: u32) -> Cost {
        Cost(f64::from(jobs) + f64::from(tasks) / TASKS_PER_UNIT)
    }
}

/// A submission as admission sees it.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// The job's id.
    pub job: JobId,
    /// Its team.
    pub team: &'a str,
    /// Its class.
    pub class: &'a str,
}
