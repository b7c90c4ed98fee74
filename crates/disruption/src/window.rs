//! Recurring windows in local time during which stricter budgets apply.

use caperstile_types::{Duration, WallClock};
use chrono::{DateTime, Datelike, Timelike, Utc};
use chrono_tz::Tz;

const MINUTES_PER_DAY: u32 = 24 * 60;
const DAYS_PER_WEEK: usize = 7;

/// A time of day in minutes since midnight, from 0 (00:00) to 1440 (24:00) inclusive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MinuteOfDay(u32);

impl MinuteOfDay {
    /// Parses `HH:MM`; 24:00 is the end of the day. Returns `None` if the text has another form or is out of range.
    pub fn parse(text: &str) -> Option<MinuteOfDay> {
        let (hours, minutes) = text.split_once(':')?;
        let two_digits = |part: &str| (part.len() == 2).then(|| part.parse::<u32>().ok()).flatten();
        let (hours, minutes) = (two_digits(hours)?, two_digits(minutes)?);
        let minute = hours * 60 + minutes;
        (minutes < 60 && minute <= MINUTES_PER_DAY).then_some(MinuteOfDay(minute))
    }
}

/// A period of local time that recurs on certain days of the week.
#[derive(Debug, Clone, PartialEq)]
pub struct Window {
    /// Name in the operators' settings.
    pub name: String,
    /// Time zone in which `days`, `from` and `until` are given.
    pub time_zone: Tz,
    /// Days of the week on which the window begins, Monday first.
    pub days: [bool; DAYS_PER_WEEK],
    /// Begin of the window, inclusive.
    pub from: MinuteOfDay,
    /// End of the window, exclusive. If it is not later than `from`, the window ends on the next day.
    pub until: MinuteOfDay,
}

impl Window {
    /// Whether a point in time is within the window.
    ///
    /// Converts the point in time to local time, and never local time to a point in time, which is missing or
    /// ambiguous for local times that a daylight saving change skips or repeats. A repeated hour that lies in the
    /// window is in it both times.
    pub fn contains(&self, wall: WallClock) -> bool {
        let Some(utc) = i64::try_from(wall.as_millis()).ok().and_then(DateTime::<Utc>::from_timestamp_millis) else {
            return false;
        };
        let local = utc.with_timezone(&self.time_zone);
        let minute = MinuteOfDay(local.hour() * 60 + local.minute());
        let today = local.weekday().num_days_from_monday() as usize;
        if self.from < self.until {
            return self.days[today] && self.from <= minute && minute < self.until;
        }
        let yesterday = (today + DAYS_PER_WEEK - 1) % DAYS_PER_WEEK;
        (self.days[today] && self.from <= minute) || (self.days[yesterday] && minute < self.until)
    }

    /// Whether a point in time that is known to within `error` may be in the window. Checks the time itself and both
    /// ends of the range, so a window that lies entirely between two of these is not found.
    pub fn may_contain(&self, wall: WallClock, error: Duration) -> bool {
        let instants = [
            wall.as_millis().saturating_sub(error.as_millis()),
            wall.as_millis(),
            wall.as_millis().saturating_add(error.as_millis()),
        ];
        instants.into_iter().any(|instant| self.contains(WallClock::from_millis(instant)))
    }
}
