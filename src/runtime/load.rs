//! How busy this node is: what it took and did, and by how much it is late.

use crate::effects::{Effect, Input};
use crate::types::{Duration as CoreDuration, Timestamp};
use caperstile_admission::Utilization;
use log::{debug, warn};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// How often a node says how busy it is.
const SAY_EVERY: CoreDuration = CoreDuration::from_secs(10);
/// A node is behind whose ticks are late, or whose inputs wait, for so long.
const BEHIND: CoreDuration = CoreDuration::from_millis(400);

/// Measures how long what is ready waits for its turn: a task that is started now has it after all the others.
#[derive(Debug)]
pub struct Probe {
    asked: Option<Instant>,
    answer: Arc<AtomicU64>,
    told: CoreDuration,
}

/// The probe has not had its turn.
const WAITING: u64 = u64::MAX;
/// A change below this is not told.
const GRAIN: u64 = 20;

impl Probe {
    /// A probe that has measured nothing yet.
    pub fn new() -> Probe {
        Probe { asked: None, answer: Arc::new(AtomicU64::new(WAITING)), told: CoreDuration::ZERO }
    }

    /// Starts a measurement unless one is under way; how long inputs wait, if that has changed.
    pub fn look(&mut self) -> Option<CoreDuration> {
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
        let wait = wait.max(self.told.as_millis() * 3 / 4);
        (wait.abs_diff(self.told.as_millis()) >= GRAIN || (wait < GRAIN && self.told.as_millis() > 0)).then(|| {
            self.told = CoreDuration::from_millis(if wait < GRAIN { 0 } else { wait });
            self.told
        })
    }
}

/// Least and most of several measurements in percent.
#[derive(Debug, Default)]
struct BusyRange(Option<(u32, u32)>);

impl BusyRange {
    fn add(&mut self, utilization: Utilization) {
        let percent = (utilization.0 * 100.0) as u32;
        let (least, most) = self.0.unwrap_or((percent, percent));
        self.0 = Some((least.min(percent), most.max(percent)));
    }
}

impl std::fmt::Display for BusyRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (least, most) = self.0.unwrap_or_default();
        write!(f, "{least}-{most}%")
    }
}

/// What a node took and did since it said so last.
#[derive(Debug)]
pub struct Load {
    every: CoreDuration,
    said: Timestamp,
    ticked: Timestamp,
    late: CoreDuration,
    behind: CoreDuration,
    reports: u32,
    users: u32,
    answers: u32,
    calls: u32,
    commands: u32,
    shed: u32,
    /// Utilization in percent, second by second: its least and its most.
    busy: BusyRange,
    /// Time that the core took over inputs of each kind, in microseconds.
    core: [u64; 4],
}

/// Kinds of inputs whose share of the core's time is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputKind {
    /// Time, and what is about the node itself.
    Ticks,
    /// Workers' reports and answers.
    Reports,
    /// Users' requests.
    Users,
    /// Everything else.
    Answers,
}

impl InputKind {
    const ALL: [InputKind; 4] = [InputKind::Ticks, InputKind::Reports, InputKind::Users, InputKind::Answers];

    /// The kind of an input.
    pub fn of(input: &Input) -> InputKind {
        match input {
            Input::Tick | Input::InputDelay(_) | Input::SlowInput(_) | Input::Utilization(_) => InputKind::Ticks,
            Input::Heartbeat(..) | Input::CommandResponse(..) => InputKind::Reports,
            Input::User(..) => InputKind::Users,
            _ => InputKind::Answers,
        }
    }
}

/// Measures for how much of the time the thread has nothing to do.
#[derive(Debug, Clone)]
pub struct IdleMeter {
    start: Instant,
    counters: Arc<IdleCounters>,
}

#[derive(Debug, Default)]
struct IdleCounters {
    /// When the thread was parked last, in microseconds.
    parked_at: AtomicU64,
    /// For how long it was parked, all together.
    idle: AtomicU64,
    /// The last sample: when it was taken, and `idle` then.
    sampled_at: AtomicU64,
    sampled_idle: AtomicU64,
}

/// How often the utilization is told.
const SAMPLE_EVERY_US: u64 = 1_000_000;

impl IdleMeter {
    /// A meter that has measured nothing yet.
    pub fn new() -> IdleMeter {
        IdleMeter { start: Instant::now(), counters: Arc::default() }
    }

    fn elapsed(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// The thread is about to wait.
    pub fn park(&self) {
        self.counters.parked_at.store(self.elapsed(), Ordering::Relaxed);
    }

    /// The thread goes on.
    pub fn unpark(&self) {
        let parked_at = self.counters.parked_at.load(Ordering::Relaxed);
        self.counters.idle.fetch_add(self.elapsed().saturating_sub(parked_at), Ordering::Relaxed);
    }

    /// The utilization since the last sample, once a second.
    pub fn sample(&self) -> Option<Utilization> {
        let (now, idle) = (self.elapsed(), self.counters.idle.load(Ordering::Relaxed));
        let passed = now.saturating_sub(self.counters.sampled_at.load(Ordering::Relaxed));
        if passed < SAMPLE_EVERY_US {
            return None;
        }
        self.counters.sampled_at.store(now, Ordering::Relaxed);
        let idle = idle - self.counters.sampled_idle.swap(idle, Ordering::Relaxed);
        Some(Utilization(1.0 - (idle as f64 / passed as f64).min(1.0)))
    }
}

impl Load {
    /// Of a node that ticks this often.
    pub fn new(every: std::time::Duration) -> Load {
        Load {
            every: CoreDuration::from_millis(every.as_millis() as u64),
            said: Timestamp::START,
            ticked: Timestamp::START,
            late: CoreDuration::ZERO,
            behind: CoreDuration::ZERO,
            reports: 0,
            users: 0,
            answers: 0,
            calls: 0,
            commands: 0,
            shed: 0,
            busy: BusyRange::default(),
            core: [0; 4],
        }
    }

    /// Counts an input; a tick tells how late the node is.
    pub fn took(&mut self, now: Timestamp, input: &Input) {
        match input {
            Input::Tick => self.tick(now),
            Input::InputDelay(by) => self.behind = self.behind.max(*by),
            Input::Utilization(utilization) => self.busy.add(*utilization),
            Input::Heartbeat(..) => self.reports += 1,
            Input::User(..) => self.users += 1,
            Input::StoreResponse(..)
            | Input::CloudResponse(..)
            | Input::CommandResponse(..)
            | Input::ForwardResponse(..) => self.answers += 1,
            _ => {}
        }
    }

    /// Counts the time that the core took over an input of this kind.
    pub fn spent(&mut self, kind: InputKind, took: std::time::Duration) {
        self.core[kind as usize] += took.as_micros() as u64;
    }

    /// Counts a request that was refused without asking the core.
    pub fn shed(&mut self) {
        self.shed += 1;
    }

    /// Counts an effect.
    pub fn does(&mut self, effect: &Effect) {
        match effect {
            Effect::SendCommands { .. } => self.commands += 1,
            Effect::QueryStore(..) | Effect::CallCloud(..) | Effect::Forward(..) => self.calls += 1,
            Effect::Respond(..)
            | Effect::AnnounceLeadership(_)
            | Effect::PublishAdmissionTable(_)
            | Effect::ReportRefusedDemand(..) => {}
        }
    }

    /// Notes how late a tick is, and says from time to time how busy the node is.
    fn tick(&mut self, now: Timestamp) {
        let late = CoreDuration::from_millis(now.since(self.ticked).as_millis().saturating_sub(self.every.as_millis()));
        self.late = self.late.max(late);
        self.ticked = now;
        if now.since(self.said) < SAY_EVERY {
            return;
        }
        let seconds = now.since(self.said).as_secs_f64();
        let core: Vec<String> =
            InputKind::ALL.iter().map(|kind| format!("{kind:?}:{}", self.core[*kind as usize] / 1000)).collect();
        let told = format!(
            "load seconds={seconds} late_ms={} behind_ms={} busy={} reports={} users={} answers={} calls={} commands={} shed={} core_ms={}",
            self.late.as_millis(),
            self.behind.as_millis(),
            self.busy,
            self.reports,
            self.users,
            self.answers,
            self.calls,
            self.commands,
            self.shed,
            core.join(",")
        );
        if self.late.max(self.behind) >= BEHIND {
            warn!("behind: {told}");
        } else {
            debug!("{told}");
        }
        *self = Load { said: now, ticked: now, ..Load::new(std::time::Duration::from_millis(self.every.as_millis())) };
    }
}
