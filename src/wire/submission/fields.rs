//! The fields of a submission's body, read one by one from their JSON text.
//!
//! Values of unknown fields are skipped without being interpreted: they may be of any kind, size and depth.

use super::amount::Amount;
use super::names::NameList;
use crate::types::JobId;
use crate::wire::users::{JOB_SHAPES, JobShape, PRIORITIES, submission_field as field};
use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, MapAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;

/// Valid numbers of tasks of a job.
const TASK_COUNTS: RangeInclusive<f64> = 1.0..=100_000.0;
/// The optional first character of a text in UTF-8, which is not part of the JSON.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// The names of all fields of a submission.
const FIELD_NAMES: [&str; 20] = [
    field::JOB,
    field::CLASS,
    field::TEAM,
    field::SHAPE,
    field::PRIORITY,
    field::TASK_COUNT,
    field::CPUS,
    field::GPUS,
    field::MEMORY,
    field::IMAGE,
    field::IMAGE_SIZE,
    field::MACHINE_TYPES,
    field::ZONE,
    field::COLOCATE_IN_ZONE,
    field::SPREAD_OVER_ZONES,
    field::ALLOWS_SPOT,
    field::ESTIMATED_DURATION,
    field::CHECKPOINT_INTERVAL,
    field::CHECKPOINT_DURATION,
    field::DEADLINE,
];

/// What is wrong with a field of a submission, or with its whole body. The texts are part of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum SubmissionProblem {
    /// The body is not JSON.
    #[error("the body is not JSON")]
    NotJson,
    /// The body is JSON, but not an object.
    #[error("the body is not an object")]
    NotAnObject,
    /// A required field is omitted or null.
    #[error("is missing")]
    Missing,
    /// The job's identifier has the wrong form.
    #[error("has the wrong form")]
    WrongForm,
    /// A name is empty.
    #[error("is empty")]
    Empty,
    /// The value is not a string.
    #[error("is not a string")]
    NotAString,
    /// The value is none of the words that the protocol defines.
    #[error("is not a known word")]
    UnknownWord,
    /// The value is not a number.
    #[error("is not a number")]
    NotANumber,
    /// The amount is negative.
    #[error("is out of range")]
    Negative,
    /// The number of tasks is not a valid count.
    #[error("is not a count from 1 to 100000")]
    InvalidTaskCount,
    /// The value is not a boolean.
    #[error("is not true or false")]
    NotABoolean,
    /// The value is not a list of strings.
    #[error("is not a list of names")]
    NotAListOfNames,
}

/// A problem and the field that has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FieldError {
    /// The protocol's name of the field; empty if the whole body is invalid.
    pub(super) field: &'static str,
    pub(super) problem: SubmissionProblem,
}

/// The JSON texts of the known fields of a submission. If a field occurs several times, the last one counts.
pub(super) struct Fields<'a>(BTreeMap<&'static str, &'a RawValue>);

impl<'a> Fields<'a> {
    /// Finds the known fields in a body.
    pub(super) fn read(body: &'a [u8]) -> Result<Fields<'a>, FieldError> {
        let of_body = |problem| FieldError { field: "", problem };
        let text = std::str::from_utf8(body).map_err(|_| of_body(SubmissionProblem::NotJson))?;
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        serde_json::from_str(text).map_err(|error| {
            of_body(if error.is_data() { SubmissionProblem::NotAnObject } else { SubmissionProblem::NotJson })
        })
    }

    /// Returns the JSON text of a field; `None` if it is omitted or null.
    fn get(&self, name: &'static str) -> Option<&'a str> {
        self.0.get(name).map(|value| value.get()).filter(|text| *text != "null")
    }

    fn required(&self, name: &'static str) -> Result<&'a str, FieldError> {
        self.get(name).ok_or(FieldError { field: name, problem: SubmissionProblem::Missing })
    }

    /// Reads a field that may be omitted or null, in which case the result is `None`.
    pub(super) fn optional<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(&Self, &'static str) -> Result<T, FieldError>,
    ) -> Result<Option<T>, FieldError> {
        self.get(name).map(|_| read(self, name)).transpose()
    }

    /// Reads a string that is not empty.
    pub(super) fn text(&self, name: &'static str) -> Result<Cow<'a, str>, FieldError> {
        let invalid = |problem| FieldError { field: name, problem };
        let json = self.required(name)?;
        let JsonString(text) = serde_json::from_str(json).map_err(|_| invalid(SubmissionProblem::NotAString))?;
        if text.is_empty() { Err(invalid(SubmissionProblem::Empty)) } else { Ok(text) }
    }

    /// Reads the identifier of the job.
    pub(super) fn job(&self) -> Result<JobId, FieldError> {
        let wrong_form = FieldError { field: field::JOB, problem: SubmissionProblem::WrongForm };
        self.text(field::JOB)?.parse().map_err(|_| wrong_form)
    }

    /// Returns the index of a field's value in this list of valid values.
    fn keyword_index(&self, name: &'static str, keywords: &[&str]) -> Result<usize, FieldError> {
        let value = self.text(name)?;
        let unknown = FieldError { field: name, problem: SubmissionProblem::UnknownWord };
        keywords.iter().position(|keyword| *keyword == value).ok_or(unknown)
    }

    /// Reads the shape of the job.
    pub(super) fn shape(&self) -> Result<JobShape, FieldError> {
        let index = self.keyword_index(field::SHAPE, &JOB_SHAPES.map(JobShape::protocol_name))?;
        Ok(JOB_SHAPES[index])
    }

    /// Reads the priority, as an index into [`PRIORITIES`].
    pub(super) fn priority(&self) -> Result<u8, FieldError> {
        self.keyword_index(field::PRIORITY, &PRIORITIES).map(|index| index as u8)
    }

    /// Returns the JSON text of a number.
    fn number(&self, name: &'static str) -> Result<&'a str, FieldError> {
        let is_number = |json: &&str| json.starts_with(|first: char| first == '-' || first.is_ascii_digit());
        let not_a_number = FieldError { field: name, problem: SubmissionProblem::NotANumber };
        Some(self.required(name)?).filter(is_number).ok_or(not_a_number)
    }

    /// Reads a number that is not negative.
    pub(super) fn amount(&self, name: &'static str) -> Result<Amount, FieldError> {
        let negative = FieldError { field: name, problem: SubmissionProblem::Negative };
        Amount::from_json_number(self.number(name)?).ok_or(negative)
    }

    /// Reads the number of tasks: a whole number, however it is written.
    pub(super) fn task_count(&self) -> Result<u32, FieldError> {
        let invalid = FieldError { field: field::TASK_COUNT, problem: SubmissionProblem::InvalidTaskCount };
        let count: f64 = self.number(field::TASK_COUNT)?.parse().map_err(|_| invalid)?;
        if count.fract() == 0.0 && TASK_COUNTS.contains(&count) { Ok(count as u32) } else { Err(invalid) }
    }

    /// Reads a boolean.
    pub(super) fn flag(&self, name: &'static str) -> Result<bool, FieldError> {
        match self.required(name)? {
            "true" => Ok(true),
            "false" => Ok(false),
            _ => Err(FieldError { field: name, problem: SubmissionProblem::NotABoolean }),
        }
    }

    /// Reads a list of strings.
    pub(super) fn names(&self, name: &'static str) -> Result<NameList, FieldError> {
        let not_names = FieldError { field: name, problem: SubmissionProblem::NotAListOfNames };
        let names: Vec<JsonString> = serde_json::from_str(self.required(name)?).map_err(|_| not_names)?;
        Ok(names.iter().map(|JsonString(name)| name.as_ref()).collect())
    }
}

/// Returns the JSON text of a field in a body; `None` if the body is not an object or lacks the field.
pub(super) fn value_text<'a>(body: &'a [u8], name: &'static str) -> Option<&'a [u8]> {
    Fields::read(body).ok()?.0.get(name).map(|value| value.get().as_bytes())
}

impl<'de: 'a, 'a> Deserialize<'de> for Fields<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields<'de>, A::Error> {
        let mut fields = Fields(BTreeMap::new());
        while let Some(JsonString(name)) = map.next_key()? {
            match FIELD_NAMES.iter().find(|known| **known == name) {
                Some(known) => drop(fields.0.insert(known, map.next_value()?)),
                None => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(fields)
    }
}

/// A JSON string. The JSON standard allows escapes that stand for no character; these become U+FFFD.
struct JsonString<'a>(Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for JsonString<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_bytes(JsonStringVisitor)
    }
}

struct JsonStringVisitor;

impl<'de> Visitor<'de> for JsonStringVisitor {
    type Value = JsonString<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string")
    }

    fn visit_borrowed_bytes<E: Error>(self, bytes: &'de [u8]) -> Result<Self::Value, E> {
        Ok(JsonString(String::from_utf8_lossy(bytes)))
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(JsonString(Cow::Owned(String::from_utf8_lossy(bytes).into_owned())))
    }
}
