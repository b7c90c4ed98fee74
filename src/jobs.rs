//! Jobs: conversion and feasibility checks of submissions, and the store of all jobs.

mod failed_machines;
mod feasibility;
mod job;
mod store;
mod submission;

pub use crate::job_spec::JobSpec;
pub use failed_machines::FailedMachines;
pub use feasibility::{SubmissionError, can_host, capacity, check_feasible};
pub use job::{Job, Placement};
pub use store::{ApplyOutcome, JobStore, TerminalState};
pub use submission::parse_submission;

#[cfg(test)]
pub(crate) mod tests;
