//! Identifiers and version numbers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Minimum number of digits in a job or machine identifier; shorter numbers are padded with zeros.
const MIN_DIGITS: usize = 6;
/// Maximum number of digits accepted when an identifier is parsed.
const MAX_DIGITS: usize = 15;

/// Defines a newtype of `u64` that is serialised and displayed as the plain number.
macro_rules! numeric_newtype {
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

numeric_newtype!(
    /// Fencing token of a leader: the revision of the state service at which it acquired the leader key. Workers reject
    /// commands with a lower token than the highest they have seen.
    FencingToken
);
numeric_newtype!(
    /// Number of an attempt at running a task, or all tasks of a gang. It is derived from the fencing token, so that no
    /// two leaders assign the same number.
    AttemptNumber
);
numeric_newtype!(
    /// Epoch of a worker's agent: incremented whenever the worker's lease expires, at which point the worker kills all
    /// its tasks.
    AgentEpoch
);
numeric_newtype!(
    /// Sequence number of a worker's message within its agent's epoch.
    MessageSequence
);
numeric_newtype!(
    /// Revision of the state service: it increases with every committed change.
    Revision
);
numeric_newtype!(
    /// Identifier of a lease granted by the state service.
    LeaseId
);
numeric_newtype!(
    /// Position of an entry in the write-ahead log; the first entry has position 1.
    LogIndex
);

/// Error for a string that is not the canonical form of an identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("identifier has the wrong form")]
pub struct ParseIdError;

/// Parses the digits after `prefix`. Only the form that `Display` prints is accepted, so that each identifier has
/// exactly one spelling.
fn parse_digits(text: &str, prefix: &str) -> Result<u64, ParseIdError> {
    let digits = text.strip_prefix(prefix).ok_or(ParseIdError)?;
    let length_allowed = (MIN_DIGITS..=MAX_DIGITS).contains(&digits.len());
    if !length_allowed || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseIdError);
    }
    if digits.len() > MIN_DIGITS && digits.starts_with('0') {
        return Err(ParseIdError);
    }
    digits.parse().map_err(|_| ParseIdError)
}

/// Defines an identifier that is displayed as a prefix and at least six digits.
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
    /// Identifier of a job, chosen by the user who submits it.
    JobId,
    "job-"
);
prefixed_id!(
    /// Identifier of a machine, assigned by the cloud and never reused.
    MachineId,
    "m-"
);

/// Identifier of a task: its job and its index within the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's index within the job, starting at 0.
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

/// Identifier of one attempt at one task. All tasks of a gang share the attempt number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The attempt number.
    pub attempt: AttemptNumber,
    /// The task that the attempt runs.
    pub task: TaskId,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} attempt={}", self.task, self.attempt)
    }
}

#[cfg(test)]
mod tests;
