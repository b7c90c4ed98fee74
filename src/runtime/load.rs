//! How busy this node is: what it took and did, and by how much it is late.

use crate::controller::{Effect, Input};
use crate::units::{Duration as Milliseconds, Time};
use log::{debug, warn};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// How often a node says how busy it is.
const SAY_EVERY: Milliseconds = Milliseconds(10_000);
/// A node is behind whose ticks are late, or whose inputs wait, for so long.
const BEHIND: Milliseconds = Milliseconds(400);

/// Measures how long what is ready waits for its turn: a task that is started now has it after all the others.
#[derive(Debug)]
pub struct Probe {
    asked: Option<Instant>,
    answer: Arc<AtomicU64>,
    told: Milliseconds,
}

/// The probe has not had its turn.
const WAITING: u64 = u64::MAX;
/// A change below this is not told.
const GRAIN: u64 = 20;

impl Probe {
    /// A probe that has measured nothing yet.
    pub fn new() -> Probe {
        Probe { asked: None, answer: Arc::new(AtomicU64::new(WAITING)), told: Milliseconds(0) }
    }

    /// Starts a measurement unless one is under way; how long inputs wait, if that has changed.
    pub fn look(&mut self) -> Option<Milliseconds> {
        let wait = match (self.asked, self.answer.load(Ordering::Relaxed)) {
            (Some(asked), WAITING) => asked.elapsed().as_millis() as u64,
            (_, WAITING) => 0,
            (_, waited) => waited,
        };
        if self.asked.is_none() || self.answer.load(Ordering::Relaxed) != WAITING {
            let (asked, answer) = (Instant::now(), self.answer.clone());
            answer.store(WAITING, Ordering::Relaxed);
            self.asked = Some(asked);
            tokio::spawn(async move { answer.store(asked.elapsed().as_millis() as u64, Ordering::Relaxed) });
        }
        // It falls slowly, so that one quiet moment does not bring all the work back.
        let wait = wait.max(self.told.0 * 3 / 4);
        (wait.abs_diff(self.told.0) >= GRAIN || (wait < GRAIN && self.told.0 > 0)).then(|| {
            self.told = Milliseconds(if wait < GRAIN { 0 } else { wait });
            self.told
        })
    }
}

/// What a node took and did since it said so last.
#[derive(Debug)]
pub struct Load {
    every: Milliseconds,
    said: Time,
    ticked: Time,
    late: Milliseconds,
    behind: Milliseconds,
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
            every: Milliseconds(every.as_millis() as u64),
            said: Time::START,
            ticked: Time::START,
            late: Milliseconds(0),
            behind: Milliseconds(0),
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
            Input::Behind(by) => self.behind = self.behind.max(*by),
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
        let late = Milliseconds(now.since(self.ticked).0.saturating_sub(self.every.0));
        self.late = self.late.max(late);
        self.ticked = now;
        if now.since(self.said) < SAY_EVERY {
            return;
        }
        let seconds = now.since(self.said).as_secs();
        let told = format!(
            "load seconds={seconds} late_ms={} behind_ms={} reports={} users={} answers={} calls={} commands={}",
            self.late.0, self.behind.0, self.reports, self.users, self.answers, self.calls, self.commands
        );
        if self.late.max(self.behind) >= BEHIND {
            warn!("behind: {told}");
        } else {
            debug!("{told}");
        }
        *self = Load { said: now, ticked: now, ..Load::new(std::time::Duration::from_millis(self.every.0)) };
    }
}
