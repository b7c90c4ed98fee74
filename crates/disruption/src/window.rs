//! Windows in local time, within which a stricter budget applies.

use caperstile_types::{Duration, WallClock};
use chrono::{DateTime, Datelike, Timelike, Utc};
use chrono_tz::Tz;

const MINUTES_PER_DAY: u32 = 24 * 60;
const DAYS_PER_WEEK: usize = 7;

/// A minute of the day, from 0 up to and including 24:00.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MinuteOfDay(u32);

impl MinuteOfDay {
    /// Reads `HH:MM`; 24:00 is the end of the day.
    pub fn parse(text: &str) -> Option<MinuteOfDay> {
        let (hours, minutes) = text.split_once(':')?;
        let two_digits = |part: &str| (part.len() == 2).then(|| part.parse::<u32>().ok()).flatten();
        let (hours, minutes) = (two_digits(hours)?, two_digits(minutes)?);
        let minute = hours * 60 + minutes;
        (minutes < 60 && minute <= MINUTES_PER_DAY).then_some(MinuteOfDay(minute))
    }
}

/// A span of local time that comes back on some days of the week.
#[derive(Debug, Clone, PartialEq)]
pub struct Window {
    /// Name, as the operators' settings give it.
    pub name: String,
    /// Time zone.
    pub time_zone: Tz,
    /// On which days it begins, Monday first.
    pub days: [bool; DAYS_PER_WEEK],
    /// When it begins.
    pub from: MinuteOfDay,
    /// When it ends; not later than `from`: on the next day.
    pub until: MinuteOfDay,
}

impl Window {
    /// Whether an instant lies in the window.
    ///
    /// The instant is turned into local time, never the other way round, so that hours which a change of the clock skips or
    /// repeats are counted as a clock on the wall shows them.
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

    /// Whether an instant that is known only within an error may lie in the window.
    pub fn may_contain(&self, wall: WallClock, error: Duration) -> bool {
        let instants = [
            wall.as_millis().saturating_sub(error.as_millis()),
            wall.as_millis(),
            wall.as_millis().saturating_add(error.as_millis()),
        ];
        instants.into_iter().any(|instant| self.contains(WallClock::from_millis(instant)))
    }
}
