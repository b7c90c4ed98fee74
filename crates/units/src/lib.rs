//! Small types for ids, versions, amounts and times, so that none is mistaken for another.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

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
    /// Identifies who may command workers: the revision at which the leader key was won.
    Token
);
number!(
    /// One try at running a task, or all tasks of a gang; unique over all leaders because it is derived from the token.
    Attempt
);
number!(
    /// A worker's session: it grows whenever the worker's lease expires.
    Session
);
number!(
    /// Orders the messages of a worker within a session.
    Seq
);
number!(
    /// A change of the state service.
    Revision
);
number!(
    /// A lease of the state service.
    LeaseId
);
number!(
    /// The number of a log entry.
    EntryNo
);

/// An identifier that did not have its required form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("identifier has the wrong form")]
pub struct BadId;

/// Parses the digits behind a prefix; only the form that `Display` would print is accepted.
fn digits(text: &str, prefix: &str) -> Result<u64, BadId> {
    let tail = text.strip_prefix(prefix).ok_or(BadId)?;
    if tail.len() < 6 || tail.len() > 15 || !tail.bytes().all(|b| b.is_ascii_digit()) {
        return Err(BadId);
    }
    if tail.len() > 6 && tail.starts_with('0') {
        return Err(BadId);
    }
    tail.parse().map_err(|_| BadId)
}

macro_rules! named {
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
            type Err = BadId;
            fn from_str(text: &str) -> Result<Self, BadId> {
                digits(text, $prefix).map($name)
            }
        }
    };
}

named!(
    /// A job's id, chosen by its user.
    JobId,
    "job-"
);
named!(
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
    type Err = BadId;
    fn from_str(text: &str) -> Result<Self, BadId> {
        let (job, index) = text.split_once('/').ok_or(BadId)?;
        if index.is_empty() || !index.bytes().all(|b| b.is_ascii_digit()) {
            return Err(BadId);
        }
        Ok(TaskId { job: job.parse()?, index: index.parse().map_err(|_| BadId)? })
    }
}

/// One attempt at one task. The tasks of a gang share the attempt's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// The task.
    pub task: TaskId,
}

impl fmt::Display for TaskAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} attempt={}", self.task, self.attempt)
    }
}

/// A span of time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Duration(pub u64);

impl Duration {
    /// A span of this many seconds; what is negative or not a number counts as none.
    pub fn secs(seconds: f64) -> Duration {
        Duration((seconds.max(0.0) * 1000.0).min(9e15) as u64)
    }
    /// The span in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// The span scaled by a factor.
    pub fn times(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor).max(0.0) as u64)
    }
}

impl std::ops::Add for Duration {
    type Output = Duration;
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl std::ops::Div<u64> for Duration {
    type Output = Duration;
    fn div(self, by: u64) -> Duration {
        Duration(self.0 / by)
    }
}

/// An instant of this process's steady clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Later than all that will happen.
    pub const NEVER: Time = Time(u64::MAX);
    /// A process's clock starts here, some decades from 0: what was so before the process began has an
    /// instant too, and "long ago" can be told from "never".
    pub const START: Time = Time(1 << 40);
    /// The time that has passed since `earlier`, none if it lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Time {
    type Output = Time;
    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

/// The time of day in milliseconds since 1970, known only within the settings' error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Wall {
    /// The time of day at an earlier instant of this process's clock, given both now.
    pub fn of(self, now: Time, then: Time) -> Wall {
        Wall(self.0.saturating_sub(now.since(then).0))
    }
    /// The instant of this process's clock at an earlier time of day, given both now.
    pub fn instant(self, now: Time, then: Wall) -> Time {
        Time(now.0.saturating_sub(self.0.saturating_sub(then.0)))
    }
}

/// What a task takes of a machine, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpus: u64,
    /// Thousandths of a GPU.
    pub gpus: u64,
    /// Thousandths of a GB.
    pub memory: u64,
}

impl Resources {
    /// Whether this much fits into `other`.
    pub fn fits(&self, other: &Resources) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus && self.memory <= other.memory
    }
    /// This much more.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }
    /// This much less, none at the least.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus = self.cpus.saturating_sub(other.cpus);
        self.gpus = self.gpus.saturating_sub(other.gpus);
        self.memory = self.memory.saturating_sub(other.memory);
    }
    /// How many times `self` fits into `other`.
    pub fn times_in(&self, other: &Resources) -> u64 {
        let part = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
        part(self.cpus, other.cpus).min(part(self.gpus, other.gpus)).min(part(self.memory, other.memory))
    }
}

/// A set of task numbers, kept as ranges: jobs of 100,000 tasks must stay small in memory.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// All numbers from 0 up to but without `end`.
    pub fn upto(end: u32) -> Ranges {
        if end == 0 { Ranges(Vec::new()) } else { Ranges(vec![(0, end)]) }
    }
    /// How many numbers are in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(a, b)| b - a).sum()
    }
    /// How many ranges it takes.
    pub fn parts(&self) -> usize {
        self.0.len()
    }
    /// Whether nothing is in the set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Whether `n` is in the set.
    pub fn contains(&self, n: u32) -> bool {
        let at = self.0.partition_point(|(a, _)| *a <= n);
        at > 0 && n < self.0[at - 1].1
    }
    /// Adds `n`; false if it was there.
    pub fn insert(&mut self, n: u32) -> bool {
        if self.contains(n) {
            return false;
        }
        let at = self.0.partition_point(|(a, _)| *a <= n);
        let left = at > 0 && self.0[at - 1].1 == n;
        let right = at < self.0.len() && self.0[at].0 == n + 1;
        match (left, right) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = n + 1,
            (false, true) => self.0[at].0 = n,
            (false, false) => self.0.insert(at, (n, n + 1)),
        }
        true
    }
    /// Takes `n` out; false if it was not there.
    pub fn remove(&mut self, n: u32) -> bool {
        if !self.contains(n) {
            return false;
        }
        let at = self.0.partition_point(|(a, _)| *a <= n) - 1;
        let (a, b) = self.0[at];
        match (a == n, b == n + 1) {
            (true, true) => {
                self.0.remove(at);
            }
            (true, false) => self.0[at].0 = n + 1,
            (false, true) => self.0[at].1 = n,
            (false, false) => {
                self.0[at].1 = n;
                self.0.insert(at + 1, (n + 1, b));
            }
        }
        true
    }
    /// The smallest number.
    pub fn first(&self) -> Option<u32> {
        self.0.first().map(|(a, _)| *a)
    }
    /// The set in parts of at most `ranges` ranges.
    pub fn split(&self, ranges: usize) -> Vec<Ranges> {
        self.0.chunks(ranges).map(|part| Ranges(part.to_vec())).collect()
    }
    /// All numbers in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|(a, b)| *a..*b)
    }
}

#[cfg(test)]
mod tests;
