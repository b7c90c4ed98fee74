//! Parsing of submissions into a [`JobSpec`].

use super::{JobSpec, SubmissionError};
use crate::types::{Duration, JobId, Resources, WallClock};
use crate::wire::submission_field as field;
use crate::wire::{JOB_SHAPES, JobShape, PRIORITIES};
use serde_json::{Map, Value};
use std::ops::RangeInclusive;

/// Maximum length of the name of a class, team, image, machine type or zone, in bytes.
const NAME_LIMIT: usize = 200;
/// Maximum number of machine types that a job may list.
const MACHINE_TYPES_LIMIT: usize = 64;
/// Valid numbers of tasks of a job.
const TASK_COUNTS: RangeInclusive<u64> = 1..=100_000;
/// Maximum value of a numeric field, in the protocol's unit.
const AMOUNT_LIMIT: f64 = 1e9;
/// Amounts are stored in thousandths of the protocol's unit.
const THOUSANDTHS: f64 = 1000.0;
/// Subtracted from amounts, in thousandths, before they are rounded up, to compensate for floating-point error.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Whether zero is a valid value of a numeric field.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Zero {
    Allowed,
    Refused,
}

/// Parses and validates the body of a submission that arrived at this time.
pub fn parse_submission(body: &[u8], submitted_at: WallClock) -> Result<JobSpec, SubmissionError> {
    let value: Value = serde_json::from_slice(body).map_err(|_| malformed("", "the body is not JSON"))?;
    let Value::Object(fields) = value else { return Err(malformed("", "the body is not an object")) };
    let fields = Fields(fields);
    // Fields are checked in this order: the error names the first invalid one.
    let id = fields.text(field::JOB)?.parse().map_err(|_| malformed(field::JOB, "has the wrong form"))?;
    let class = fields.text(field::CLASS)?;
    let team = fields.text(field::TEAM)?;
    let shape = JOB_SHAPES[fields.keyword_index(field::SHAPE, &JOB_SHAPES.map(JobShape::protocol_name))?];
    let is_service = shape == JobShape::Service;
    let priority = fields.keyword_index(field::PRIORITY, &PRIORITIES)? as u8;
    let task_count = fields.task_count()?;
    let resources = fields.resources()?;
    let machine_types = fields.machine_types()?;
    let zone = fields.optional(field::ZONE, Fields::text)?;
    let deadline = fields.optional(field::DEADLINE, |fields, name| fields.duration(name, Zero::Refused))?;
    Ok(JobSpec {
        id,
        class,
        team,
        is_service,
        priority,
        is_gang: shape == JobShape::Gang,
        task_count,
        resources,
        image: fields.text(field::IMAGE)?,
        image_mb: fields.amount(field::IMAGE_SIZE, Zero::Allowed)?,
        machine_types,
        zone,
        colocate_in_zone: fields.flag(field::COLOCATE_IN_ZONE)?,
        spread_over_zones: fields.flag(field::SPREAD_OVER_ZONES)?,
        allows_spot: fields.flag(field::ALLOWS_SPOT)?,
        estimated_duration: fields.duration(
            field::ESTIMATED_DURATION,
            // Services run until they are cancelled, so their estimate may be 0.
            if is_service { Zero::Allowed } else { Zero::Refused },
        )?,
        checkpoint_interval: fields.duration(field::CHECKPOINT_INTERVAL, Zero::Allowed)?,
        checkpoint_duration: fields.duration(field::CHECKPOINT_DURATION, Zero::Allowed)?,
        deadline,
        submitted_at,
    })
}

/// Returns the job id in the body of a submission even if other fields are invalid; `None` if there is no valid id.
pub fn submitted_job_id(body: &[u8]) -> Option<JobId> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value.get(field::JOB)?.as_str()?.parse().ok()
}

fn malformed(field: &'static str, problem: &'static str) -> SubmissionError {
    SubmissionError::Malformed { field, problem }
}

/// The fields of a submission.
struct Fields(Map<String, Value>);

impl Fields {
    /// Returns a field's value; `None` if it is omitted or null.
    fn get(&self, name: &'static str) -> Option<&Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    fn required(&self, name: &'static str) -> Result<&Value, SubmissionError> {
        self.get(name).ok_or(malformed(name, "is missing"))
    }

    /// Reads a field that may be omitted or null, in which case the result is `None`.
    fn optional<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(&Self, &'static str) -> Result<T, SubmissionError>,
    ) -> Result<Option<T>, SubmissionError> {
        self.get(name).map(|_| read(self, name)).transpose()
    }

    fn text(&self, name: &'static str) -> Result<String, SubmissionError> {
        match self.required(name)? {
            Value::String(text) if text.is_empty() => Err(malformed(name, "is empty")),
            Value::String(text) if text.len() > NAME_LIMIT => Err(malformed(name, "is too long")),
            Value::String(text) => Ok(text.clone()),
            _ => Err(malformed(name, "is not a string")),
        }
    }

    fn flag(&self, name: &'static str) -> Result<bool, SubmissionError> {
        self.required(name)?.as_bool().ok_or(malformed(name, "is not true or false"))
    }

    /// Returns the index of a field's value in this list of valid values.
    fn keyword_index(&self, name: &'static str, keywords: &[&str]) -> Result<usize, SubmissionError> {
        let value = self.text(name)?;
        keywords.iter().position(|keyword| *keyword == value).ok_or(malformed(name, "is not a known word"))
    }

    /// Returns a numeric field in thousandths of the protocol's unit, rounded up.
    fn amount(&self, name: &'static str, zero: Zero) -> Result<u64, SubmissionError> {
        let value = self.required(name)?.as_f64().ok_or(malformed(name, "is not a number"))?;
        if !(0.0..=AMOUNT_LIMIT).contains(&value) {
            return Err(malformed(name, "is out of range"));
        }
        let thousandths = (value * THOUSANDTHS - ROUNDING_TOLERANCE).ceil().max(0.0) as u64;
        let is_allowed_zero = zero == Zero::Allowed && value == 0.0;
        if thousandths == 0 && !is_allowed_zero {
            return Err(malformed(name, "must be more than 0"));
        }
        Ok(thousandths)
    }

    /// Returns a duration, which the protocol gives in seconds, with a resolution of 1 ms.
    fn duration(&self, name: &'static str, zero: Zero) -> Result<Duration, SubmissionError> {
        self.amount(name, zero).map(Duration::from_millis)
    }

    fn task_count(&self) -> Result<u32, SubmissionError> {
        let Value::Number(count) = self.required(field::TASK_COUNT)? else {
            return Err(malformed(field::TASK_COUNT, "is not a number"));
        };
        match count.as_u64().filter(|count| TASK_COUNTS.contains(count)) {
            Some(count) => Ok(count as u32),
            None => Err(malformed(field::TASK_COUNT, "is not a count from 1 to 100000")),
        }
    }

    fn resources(&self) -> Result<Resources, SubmissionError> {
        Ok(Resources {
            cpus: self.amount(field::CPUS, Zero::Refused)?,
            gpus: self.amount(field::GPUS, Zero::Allowed)?,
            memory: self.amount(field::MEMORY, Zero::Refused)?,
        })
    }

    fn machine_types(&self) -> Result<Option<Vec<String>>, SubmissionError> {
        let Some(value) = self.get(field::MACHINE_TYPES) else { return Ok(None) };
        let not_names = malformed(field::MACHINE_TYPES, "is not a list of names");
        let items = value.as_array().ok_or(not_names.clone())?;
        let names: Option<Vec<String>> = items.iter().map(|item| item.as_str().map(str::to_string)).collect();
        let names = names.ok_or(not_names)?;
        if names.len() > MACHINE_TYPES_LIMIT || names.iter().any(|name| name.len() > NAME_LIMIT) {
            return Err(malformed(field::MACHINE_TYPES, "is too long"));
        }
        Ok(Some(names))
    }
}
