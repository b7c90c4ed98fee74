//! The submission of a job: the body of `POST /work`.
//!
//! A controller reads a body once, when it receives it. Everything that depends on a submission uses the result:
//! validation, admission control, forwarding to the leader and logging. A body is refused only if it is not a JSON
//! object, or if a field is missing or invalid; docs/refusals.md lists the conditions. Amounts are rounded to the units
//! in which jobs are stored, and names are shortened to what a log record has room for, so that every submission that
//! was read can be stored.

mod amount;
mod fields;
mod names;

pub use amount::Amount;
pub use fields::SubmissionProblem;
pub use names::{NameList, abbreviate_name};

use super::users::{JobShape, PRIORITIES, submission_field as field};
use crate::types::JobId;
use fields::{FieldError, Fields};
use serde::ser::{Serialize, SerializeMap, Serializer};

/// A submission whose fields are all valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Identifier of the job.
    pub job: JobId,
    /// Job class, shortened if necessary.
    pub class: String,
    /// Team that submits the job.
    pub team: String,
    /// Whether the job is an array, a service or a gang.
    pub shape: JobShape,
    /// Priority, as an index into [`PRIORITIES`].
    pub priority: u8,
    /// Number of tasks.
    pub task_count: u32,
    /// CPUs that each task requests; more than 0.
    pub cpus: Amount,
    /// GPUs that each task requests.
    pub gpus: Amount,
    /// Memory in GB that each task requests; more than 0.
    pub memory_gb: Amount,
    /// Name of the image that the tasks run, shortened if necessary.
    pub image: String,
    /// Size of the image in GB.
    pub image_gb: Amount,
    /// Machine types on which the tasks may run; `None` allows all.
    pub machine_types: Option<NameList>,
    /// The only zone in which the tasks may run; `None` allows all.
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub colocate_in_zone: bool,
    /// Whether at most half of the tasks may run in one zone.
    pub spread_over_zones: bool,
    /// Whether tasks may run on spot instances.
    pub allows_spot: bool,
    /// Estimated run time of each task in seconds; more than 0 unless the job is a service.
    pub estimated_duration_s: Amount,
    /// Interval of a task's progress at which it saves a checkpoint, in seconds; 0 if it saves none.
    pub checkpoint_interval_s: Amount,
    /// Time that a task takes to save a checkpoint, in seconds.
    pub checkpoint_duration_s: Amount,
    /// Deadline in seconds after the submission, more than 0; `None` if there is none.
    pub deadline_s: Option<Amount>,
}

impl Submission {
    /// Reads and validates all fields. The error names the first invalid one.
    fn from_fields(fields: &Fields) -> Result<Submission, FieldError> {
        let job = fields.job()?;
        let class = names::shorten(&fields.text(field::CLASS)?);
        let team = fields.text(field::TEAM)?.into_owned();
        let shape = fields.shape()?;
        let priority = fields.priority()?;
        let task_count = fields.task_count()?;
        let cpus = fields.amount(field::CPUS)?.at_least_smallest();
        let gpus = fields.amount(field::GPUS)?;
        let memory_gb = fields.amount(field::MEMORY)?.at_least_smallest();
        let machine_types = fields.optional(field::MACHINE_TYPES, Fields::names)?;
        let zone = fields.optional(field::ZONE, Fields::text)?;
        let deadline_s = fields.optional(field::DEADLINE, Fields::amount)?;
        let image = names::shorten(&fields.text(field::IMAGE)?);
        let image_gb = fields.amount(field::IMAGE_SIZE)?;
        let colocate_in_zone = fields.flag(field::COLOCATE_IN_ZONE)?;
        let spread_over_zones = fields.flag(field::SPREAD_OVER_ZONES)?;
        let allows_spot = fields.flag(field::ALLOWS_SPOT)?;
        let estimate = fields.amount(field::ESTIMATED_DURATION)?;
        // Services run until they are cancelled, so their estimate may be 0.
        let estimated_duration_s = if shape == JobShape::Service { estimate } else { estimate.at_least_smallest() };
        Ok(Submission {
            job,
            class,
            team,
            shape,
            priority,
            task_count,
            cpus,
            gpus,
            memory_gb,
            image,
            image_gb,
            machine_types,
            zone: zone.map(|zone| zone.into_owned()),
            colocate_in_zone,
            spread_over_zones,
            allows_spot,
            estimated_duration_s,
            checkpoint_interval_s: fields.amount(field::CHECKPOINT_INTERVAL)?,
            checkpoint_duration_s: fields.amount(field::CHECKPOINT_DURATION)?,
            deadline_s: deadline_s.map(Amount::at_least_smallest),
        })
    }
}

/// Encodes the submission as PROTOCOL specifies. Reading the result gives an equal submission.
impl Serialize for Submission {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let mut map = to.serialize_map(None)?;
        map.serialize_entry(field::JOB, &self.job.to_string())?;
        map.serialize_entry(field::CLASS, &self.class)?;
        map.serialize_entry(field::TEAM, &self.team)?;
        map.serialize_entry(field::SHAPE, self.shape.protocol_name())?;
        map.serialize_entry(field::PRIORITY, PRIORITIES[usize::from(self.priority)])?;
        map.serialize_entry(field::TASK_COUNT, &self.task_count)?;
        map.serialize_entry(field::CPUS, &self.cpus)?;
        map.serialize_entry(field::GPUS, &self.gpus)?;
        map.serialize_entry(field::MEMORY, &self.memory_gb)?;
        map.serialize_entry(field::IMAGE, &self.image)?;
        map.serialize_entry(field::IMAGE_SIZE, &self.image_gb)?;
        map.serialize_entry(field::MACHINE_TYPES, &self.machine_types)?;
        map.serialize_entry(field::ZONE, &self.zone)?;
        map.serialize_entry(field::COLOCATE_IN_ZONE, &self.colocate_in_zone)?;
        map.serialize_entry(field::SPREAD_OVER_ZONES, &self.spread_over_zones)?;
        map.serialize_entry(field::ALLOWS_SPOT, &self.allows_spot)?;
        map.serialize_entry(field::ESTIMATED_DURATION, &self.estimated_duration_s)?;
        map.serialize_entry(field::CHECKPOINT_INTERVAL, &self.checkpoint_interval_s)?;
        map.serialize_entry(field::CHECKPOINT_DURATION, &self.checkpoint_duration_s)?;
        map.serialize_entry(field::DEADLINE, &self.deadline_s)?;
        map.end()
    }
}

/// A submission that is refused because of a missing or invalid field, or because its body is not a JSON object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedSubmission {
    /// Identifier of the job; `None` if the body has no valid one.
    pub job: Option<JobId>,
    /// The protocol's name of the invalid field; empty if the whole body is invalid.
    pub field: &'static str,
    /// What is wrong with the field or the body.
    pub problem: SubmissionProblem,
    /// The body as received.
    pub body: Vec<u8>,
}

/// Maximum number of bytes of a value that are quoted in the log.
const EXCERPT_BYTES: usize = 96;

impl MalformedSubmission {
    /// The beginning of the invalid field's value, or of the body if there is no such value, in printable ASCII.
    pub fn excerpt(&self) -> String {
        let value = fields::value_text(&self.body, self.field).unwrap_or(&self.body);
        value[..value.len().min(EXCERPT_BYTES)].escape_ascii().to_string()
    }
}

/// A submission as read by the controller that received it, from a user or from another controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmissionRequest {
    /// A submission that can be accepted, as far as its body tells.
    Valid(Box<Submission>),
    /// A submission that is refused unless its job is known already.
    Malformed(Box<MalformedSubmission>),
}

impl SubmissionRequest {
    /// Reads the body of a submission.
    pub fn read(body: Vec<u8>) -> SubmissionRequest {
        let error = match Fields::read(&body) {
            Ok(fields) => match Submission::from_fields(&fields) {
                Ok(submission) => return SubmissionRequest::Valid(Box::new(submission)),
                Err(error) => (fields.job().ok(), error),
            },
            Err(error) => (None, error),
        };
        let (job, FieldError { field, problem }) = error;
        SubmissionRequest::Malformed(Box::new(MalformedSubmission { job, field, problem, body }))
    }

    /// Identifier of the job; `None` if the body has no valid one.
    pub fn job(&self) -> Option<JobId> {
        match self {
            SubmissionRequest::Valid(submission) => Some(submission.job),
            SubmissionRequest::Malformed(malformed) => malformed.job,
        }
    }

    /// Encodes the body for forwarding to another controller. A valid submission is encoded anew, so that the reader of
    /// an earlier version, which refuses some valid spellings and values, accepts it as well.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            SubmissionRequest::Valid(submission) => serde_json::to_vec(submission).unwrap_or_default(),
            SubmissionRequest::Malformed(malformed) => malformed.body.clone(),
        }
    }
}
