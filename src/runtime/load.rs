//! How busy this node is: what it took and did, and by how much it is late.

use crate::controller::{Effect, Input};
use crate::units::{Span, Time};
use log::{debug, warn};

/// How often a node says how busy it is.
const SAY_EVERY: Span = Span(10_000);
/// A node whose ticks are late by so much is behind.
const BEHIND: Span = Span(400);

/// What a node took and did since it said so last.
#[derive(Debug)]
pub struct Load {
    every: Span,
    said: Time,
    ticked: Time,
    late: Span,
    reports: u32,
    users: u32,
    answers: u32,
    calls: u32,
    commands: u32,
}

impl Load {
    /// Of a node that ticks this often.
    pub fn new(every: std::time::Duration) -> Load {
        Load {
            every: Span(every.as_millis() as u64),
            said: Time::START,
            ticked: Time::START,
            late: Span(0),
            reports: 0,
            users: 0,
            answers: 0,
            calls: 0,
            commands: 0,
        }
    }

    /// Counts an input; a tick tells how late the node is.
    pub fn took(&mut self, now: Time, input: &Input) {
        match input {
            Input::Tick => self.tick(now),
            Input::Report(..) => self.reports += 1,
            Input::User(..) => self.users += 1,
            Input::State(..) | Input::Cloud(..) | Input::Command(..) | Input::Forwarded(..) => self.answers += 1,
            _ => {}
        }
    }

    /// Counts an effect.
    pub fn does(&mut self, effect: &Effect) {
        match effect {
            Effect::Command { .. } => self.commands += 1,
            Effect::State(..) | Effect::Cloud(..) | Effect::Forward(..) => self.calls += 1,
            Effect::Answer(..) | Effect::Announce(_) => {}
        }
    }

    /// Notes how late a tick is, and says from time to time how busy the node is.
    fn tick(&mut self, now: Time) {
        let late = Span(now.since(self.ticked).0.saturating_sub(self.every.0));
        self.late = self.late.max(late);
        self.ticked = now;
        if now.since(self.said) < SAY_EVERY {
            return;
        }
        let seconds = now.since(self.said).as_secs();
        let told = format!(
            "load seconds={seconds} late_ms={} reports={} users={} answers={} calls={} commands={}",
            self.late.0, self.reports, self.users, self.answers, self.calls, self.commands
        );
        if self.late >= BEHIND {
            warn!("behind: {told}");
        } else {
            debug!("{told}");
        }
        *self = Load { said: now, ticked: now, ..Load::new(std::time::Duration::from_millis(self.every.0)) };
    }
}
