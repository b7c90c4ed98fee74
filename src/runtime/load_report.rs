//! How busy this node is, for the log: what it took and did, and by how much it is late.

use crate::effects::{Effect, Input};
use crate::types::{Duration as CoreDuration, Timestamp};
use caperstile_admission::Utilization;
use log::{debug, warn};

/// How often a node logs how busy it is.
const REPORT_INTERVAL: CoreDuration = CoreDuration::from_secs(10);
/// A node whose ticks are late, or whose inputs wait, for so long is behind.
const BEHIND_THRESHOLD: CoreDuration = CoreDuration::from_millis(400);

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

/// What a node took and did since it logged that last.
#[derive(Debug)]
pub struct LoadReport {
    tick_interval: CoreDuration,
    reported_at: Timestamp,
    last_tick_at: Timestamp,
    /// How late the latest tick came.
    tick_delay: CoreDuration,
    /// How long inputs waited at the most.
    input_delay: CoreDuration,
    heartbeats: u32,
    user_requests: u32,
    responses: u32,
    requests: u32,
    commands: u32,
    shed: u32,
    /// Utilization in percent, second by second: its least and its most.
    busy: BusyRange,
    /// Time that the core took over inputs of each kind, in microseconds.
    core_us: [u64; 4],
}

/// Kinds of inputs whose share of the core's time is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputKind {
    /// Time, and what is about the node itself.
    Ticks,
    /// Workers' reports and answers.
    Heartbeats,
    /// Users' requests.
    UserRequests,
    /// Everything else.
    Responses,
}

impl InputKind {
    const ALL: [InputKind; 4] =
        [InputKind::Ticks, InputKind::Heartbeats, InputKind::UserRequests, InputKind::Responses];

    /// The kind of an input.
    pub fn of(input: &Input) -> InputKind {
        match input {
            Input::Tick | Input::InputDelay(_) | Input::SlowInput(_) | Input::Utilization(_) => InputKind::Ticks,
            Input::Heartbeat(..) | Input::CommandResponse(..) => InputKind::Heartbeats,
            Input::User(..) => InputKind::UserRequests,
            _ => InputKind::Responses,
        }
    }
}

impl LoadReport {
    /// Of a node that ticks this often.
    pub fn new(tick_interval: std::time::Duration) -> LoadReport {
        LoadReport {
            tick_interval: CoreDuration::from_millis(tick_interval.as_millis() as u64),
            reported_at: Timestamp::START,
            last_tick_at: Timestamp::START,
            tick_delay: CoreDuration::ZERO,
            input_delay: CoreDuration::ZERO,
            heartbeats: 0,
            user_requests: 0,
            responses: 0,
            requests: 0,
            commands: 0,
            shed: 0,
            busy: BusyRange::default(),
            core_us: [0; 4],
        }
    }

    /// Counts an input; a tick tells how late the node is.
    pub fn count_input(&mut self, now: Timestamp, input: &Input) {
        match input {
            Input::Tick => self.tick(now),
            Input::InputDelay(by) => self.input_delay = self.input_delay.max(*by),
            Input::Utilization(utilization) => self.busy.add(*utilization),
            Input::Heartbeat(..) => self.heartbeats += 1,
            Input::User(..) => self.user_requests += 1,
            Input::StoreResponse(..)
            | Input::CloudResponse(..)
            | Input::CommandResponse(..)
            | Input::ForwardResponse(..) => self.responses += 1,
            _ => {}
        }
    }

    /// Counts the time that the core took over an input of this kind.
    pub fn count_time(&mut self, kind: InputKind, took: std::time::Duration) {
        self.core_us[kind as usize] += took.as_micros() as u64;
    }

    /// Counts a request that was refused without asking the core.
    pub fn count_shed(&mut self) {
        self.shed += 1;
    }

    /// Counts an effect.
    pub fn count_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::SendCommands { .. } => self.commands += 1,
            Effect::CallStore(..) | Effect::CallCloud(..) | Effect::Forward(..) => self.requests += 1,
            Effect::Respond(..)
            | Effect::AnnounceLeadership(_)
            | Effect::PublishAdmissionTable(_)
            | Effect::ReportRefusedDemand(..) => {}
        }
    }

    /// Notes how late a tick is, and says from time to time how busy the node is.
    fn tick(&mut self, now: Timestamp) {
        let delay = CoreDuration::from_millis(
            now.since(self.last_tick_at).as_millis().saturating_sub(self.tick_interval.as_millis()),
        );
        self.tick_delay = self.tick_delay.max(delay);
        self.last_tick_at = now;
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return;
        }
        let seconds = now.since(self.reported_at).as_secs_f64();
        let core: Vec<String> =
            InputKind::ALL.iter().map(|kind| format!("{kind:?}:{}", self.core_us[*kind as usize] / 1000)).collect();
        let report = format!(
            "seconds={seconds} tick_delay_ms={} input_delay_ms={} busy={} heartbeats={} user_requests={} responses={} requests={} commands={} shed={} core_ms={}",
            self.tick_delay.as_millis(),
            self.input_delay.as_millis(),
            self.busy,
            self.heartbeats,
            self.user_requests,
            self.responses,
            self.requests,
            self.commands,
            self.shed,
            core.join(",")
        );
        if self.tick_delay.max(self.input_delay) >= BEHIND_THRESHOLD {
            warn!("node behind {report}");
        } else {
            debug!("node load {report}");
        }
        *self = LoadReport {
            reported_at: now,
            last_tick_at: now,
            ..LoadReport::new(std::time::Duration::from_millis(self.tick_interval.as_millis()))
        };
    }
}
