//! Jobs: submissions, their checks, and the store of all jobs.

mod feasibility;
mod spec;
mod store;
mod submission;

pub use feasibility::{Refusal, capacity, check_feasible};
pub use spec::JobSpec;
pub use store::{ApplyOutcome, Job, JobStore, Placement, TerminalState};
pub use submission::{parse_submission, submitted_job_id};

#[cfg(test)]
pub(crate) mod tests;
