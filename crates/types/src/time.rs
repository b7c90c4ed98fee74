//! Durations and points in time with millisecond resolution. The core reads no clock: every input carries the current
//! time.

use serde::{Deserialize, Serialize};

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;
/// Upper bound for durations that are converted from seconds.
const MAX_MILLIS: f64 = 9e15;

/// A duration in milliseconds. All arithmetic saturates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Duration(u64);

impl Duration {
    /// A duration of zero.
    pub const ZERO: Duration = Duration(0);
    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis)
    }
    /// Creates a duration from seconds.
    pub const fn from_secs(seconds: u64) -> Duration {
        Duration(seconds.saturating_mul(1000))
    }
    /// Creates a duration from fractional seconds; negative values and NaN give zero.
    pub fn from_secs_f64(seconds: f64) -> Duration {
        Duration((seconds.max(0.0) * MILLIS_PER_SECOND).min(MAX_MILLIS) as u64)
    }
    /// The duration in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
    /// The duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MILLIS_PER_SECOND
    }
    /// The duration multiplied by `factor`; a negative result becomes zero.
    pub fn mul_f64(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor).max(0.0) as u64)
    }
    /// Subtracts `other`, with zero as the lower bound.
    pub fn saturating_sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

impl std::ops::Add for Duration {
    type Output = Duration;
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl std::ops::Mul<u64> for Duration {
    type Output = Duration;
    fn mul(self, by: u64) -> Duration {
        Duration(self.0.saturating_mul(by))
    }
}

impl std::ops::Div<u64> for Duration {
    type Output = Duration;
    fn div(self, by: u64) -> Duration {
        Duration(self.0 / by)
    }
}

/// A point in time on this process's monotonic clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Earlier than every timestamp of the clock; the initial value for the time of an event that has not happened yet.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Later than every timestamp of the clock.
    pub const NEVER: Timestamp = Timestamp(u64::MAX);
    /// The value of the clock when the process starts. It lies some decades after `ZERO`, so that events from before
    /// the start of the process have a timestamp as well, and "long ago" differs from "never".
    pub const START: Timestamp = Timestamp(1 << 40);
    /// Creates a timestamp from the clock's value in milliseconds.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }
    /// The clock's value in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
    /// The time that has passed since `earlier`; zero if `earlier` is later than this timestamp.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
    /// The timestamp that lies `span` before this one, with `ZERO` as the lower bound.
    pub fn saturating_sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

/// Wall-clock time in milliseconds since 1970. It is accurate only within the clock error in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallClock(u64);

impl WallClock {
    /// Creates a wall-clock time from milliseconds since 1970.
    pub const fn from_millis(millis: u64) -> WallClock {
        WallClock(millis)
    }
    /// The wall-clock time in milliseconds since 1970.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
    /// Converts `earlier` from this process's clock to wall-clock time; `self` and `now` are the current time on the
    /// two clocks.
    pub fn at_timestamp(self, now: Timestamp, earlier: Timestamp) -> WallClock {
        WallClock(self.0.saturating_sub(now.since(earlier).0))
    }
    /// Converts the wall-clock time `earlier` to this process's clock; `self` and `now` are the current time on the two
    /// clocks.
    pub fn timestamp_of(self, now: Timestamp, earlier: WallClock) -> Timestamp {
        Timestamp(now.0.saturating_sub(self.0.saturating_sub(earlier.0)))
    }
}
