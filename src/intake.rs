//! What users ask for: validation of jobs, the job store, and the answers.

mod jobs;
mod submission;

pub use jobs::{Applied, Final, Job, JobStore, Placed};
pub use submission::{JobRecord, Refusal, can_ever_run, capacity, parse_job};

#[cfg(test)]
pub(crate) mod tests;
