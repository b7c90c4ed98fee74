//! Identifiers and version numbers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Fewest digits of a job's or machine's name; shorter numbers are padded with zeros.
const FEWEST_DIGITS: usize = 6;
/// Most digits of such a name that are accepted.
const MOST_DIGITS: usize = 15;

/// Defines a number that is a type of its own.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number!(
    /// Identifies who may command workers: the revision at which the leader key was won. Workers ignore lower ones.
    FencingToken
);
number!(
    /// One attempt at running a task, or all tasks of a gang; unique over all leaders because it is derived from the fencing token.
    AttemptNumber
);
number!(
    /// The epoch of a worker's agent: it grows whenever the worker's lease expires and all its tasks are killed.
    AgentEpoch
);
number!(
    /// Orders the messages of a worker within an epoch.
    MessageSequence
);
number!(
    /// A revision of the key-value store: it grows with each change.
    Revision
);
number!(
    /// A lease of the key-value store.
    LeaseId
);
number!(
    /// The position of an entry in the write-ahead log, from 1.
    LogIndex
);

/// An identifier that did not have its required form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("identifier has the wrong form")]
pub struct ParseIdError;

/// Parses the digits behind a prefix; only the form that `Display` would print is accepted.
fn parse_digits(text: &str, prefix: &str) -> Result<u64, ParseIdError> {
    let digits = text.strip_prefix(prefix).ok_or(ParseIdError)?;
    let length_allowed = (FEWEST_DIGITS..=MOST_DIGITS).contains(&digits.len());
    if !length_allowed || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseIdError);
    }
    if digits.len() > FEWEST_DIGITS && digits.starts_with('0') {
        return Err(ParseIdError);
    }
    digits.parse().map_err(|_| ParseIdError)
}

/// Defines an identifier that is written as a prefix and at least six digits.
macro_rules! prefixed_id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{:06}"), self.0)
            }
        }
        impl FromStr for $name {
            type Err = ParseIdError;
            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                parse_digits(text, $prefix).map($name)
            }
        }
    };
}

prefixed_id!(
    /// A job's id, chosen by its user.
    JobId,
    "job-"
);
prefixed_id!(
    /// A machine's name, chosen by the cloud and never used again.
    MachineId,
    "m-"
);

/// A task: its job and its number within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;
    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (job, index) = text.split_once('/').ok_or(ParseIdError)?;
        if index.is_empty() || !index.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ParseIdError);
        }
        Ok(TaskId { job: job.parse()?, index: index.parse().map_err(|_| ParseIdError)? })
    }
}

/// One attempt at one task. The tasks of a gang share the attempt's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The task.
    pub task: TaskId,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} attempt={}", self.task, self.attempt)
    }
}

#[cfg(test)]
mod tests;
