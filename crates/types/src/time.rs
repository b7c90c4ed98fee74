//! Spans and instants in milliseconds. The core has no clock: every instant comes with an input.

use serde::{Deserialize, Serialize};

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;
/// The longest span that seconds are converted to.
const LONGEST_MILLIS: f64 = 9e15;

/// A span of time in milliseconds. All arithmetic saturates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Duration(u64);

impl Duration {
    /// No time.
    pub const ZERO: Duration = Duration(0);
    /// A span of this many milliseconds.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis)
    }
    /// A span of this many seconds.
    pub const fn from_secs(seconds: u64) -> Duration {
        Duration(seconds.saturating_mul(1000))
    }
    /// A span of this many seconds; what is negative or not a number counts as none.
    pub fn from_secs_f64(seconds: f64) -> Duration {
        Duration((seconds.max(0.0) * MILLIS_PER_SECOND).min(LONGEST_MILLIS) as u64)
    }
    /// The span in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MILLIS_PER_SECOND
    }
    /// The span scaled by a factor.
    pub fn mul_f64(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor).max(0.0) as u64)
    }
    /// What is left of the span without another one, none at the least.
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

/// An instant of this process's steady clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Before all that happens: the time of what has not happened yet.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Later than all that will happen.
    pub const NEVER: Timestamp = Timestamp(u64::MAX);
    /// A process's clock starts here, some decades from 0: what was so before the process began has an
    /// instant too, and "long ago" can be told from "never".
    pub const START: Timestamp = Timestamp(1 << 40);
    /// The instant at which the clock shows this many milliseconds.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }
    /// What the clock shows, in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
    /// The time that has passed since `earlier`, none if it lies ahead.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
    /// The instant this long before, `ZERO` at the earliest.
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

/// The time of day in milliseconds since 1970, known only within the settings' clock error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallClock(u64);

impl WallClock {
    /// The time of day this many milliseconds after the beginning of 1970.
    pub const fn from_millis(millis: u64) -> WallClock {
        WallClock(millis)
    }
    /// Milliseconds since 1970.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
    /// The time of day at an earlier instant of this process's clock, given both now.
    pub fn at_timestamp(self, now: Timestamp, earlier: Timestamp) -> WallClock {
        WallClock(self.0.saturating_sub(now.since(earlier).0))
    }
    /// The instant of this process's clock at an earlier time of day, given both now.
    pub fn timestamp_of(self, now: Timestamp, earlier: WallClock) -> Timestamp {
        Timestamp(now.0.saturating_sub(self.0.saturating_sub(earlier.0)))
    }
}
