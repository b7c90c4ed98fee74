//! Conversion of submissions into a [`JobSpec`].

use super::{JobSpec, SubmissionError};
use crate::types::{Duration, Resources, WallClock};
use crate::wire::{Amount, JobShape, MalformedSubmission, Submission, SubmissionRequest};

fn milliseconds(seconds: Amount) -> Duration {
    Duration::from_millis(seconds.thousandths())
}

impl JobSpec {
    /// Converts a submission that arrived at this time.
    pub fn new(submission: &Submission, submitted_at: WallClock) -> JobSpec {
        JobSpec {
            id: submission.job,
            class: submission.class.clone(),
            team: submission.team.clone(),
            is_service: submission.shape == JobShape::Service,
            priority: submission.priority,
            is_gang: submission.shape == JobShape::Gang,
            task_count: submission.task_count,
            resources: Resources {
                cpus: submission.cpus.thousandths(),
                gpus: submission.gpus.thousandths(),
                memory: submission.memory_gb.thousandths(),
            },
            image: submission.image.clone(),
            image_mb: submission.image_gb.thousandths(),
            machine_types: submission.machine_types.as_ref().map(|names| names.iter().map(str::to_string).collect()),
            zone: submission.zone.clone(),
            colocate_in_zone: submission.colocate_in_zone,
            spread_over_zones: submission.spread_over_zones,
            allows_spot: submission.allows_spot,
            estimated_duration: milliseconds(submission.estimated_duration_s),
            checkpoint_interval: milliseconds(submission.checkpoint_interval_s),
            checkpoint_duration: milliseconds(submission.checkpoint_duration_s),
            deadline: submission.deadline_s.map(milliseconds),
            submitted_at,
        }
    }
}

impl From<&MalformedSubmission> for SubmissionError {
    fn from(malformed: &MalformedSubmission) -> SubmissionError {
        SubmissionError::Malformed { field: malformed.field, problem: malformed.problem }
    }
}

/// Reads and converts the body of a submission that arrived at this time.
pub fn parse_submission(body: &[u8], submitted_at: WallClock) -> Result<JobSpec, SubmissionError> {
    match SubmissionRequest::read(body.to_vec()) {
        SubmissionRequest::Valid(submission) => Ok(JobSpec::new(&submission, submitted_at)),
        SubmissionRequest::Malformed(malformed) => Err(malformed.as_ref().into()),
    }
}
