//! Jobs: parsing and feasibility checks of submissions, and the store of all jobs.

mod feasibility;
mod job;
mod store;
mod submission;

pub use crate::job_spec::JobSpec;
pub use feasibility::{SubmissionError, capacity, check_feasible};
pub use job::{Job, Placement};
pub use store::{ApplyOutcome, JobStore, TerminalState};
pub use submission::{parse_submission, submitted_job_id};

#[cfg(test)]
pub(crate) mod tests;
