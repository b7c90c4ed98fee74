//! Measurements of this node's load for the log: processed inputs, executed effects and delays.

use crate::effects::{Effect, Input};
use crate::types::{Duration as CoreDuration, Timestamp};
use caperstile_admission::Utilization;
use log::{debug, warn};

/// Interval at which a node logs its load.
const REPORT_INTERVAL: CoreDuration = CoreDuration::from_secs(10);
/// Delay of ticks or inputs from which a node logs at warning level that it falls behind.
const BEHIND_THRESHOLD: CoreDuration = CoreDuration::from_millis(400);

/// Minimum and maximum of several utilization measurements, in percent.
#[derive(Debug, Default)]
struct UtilizationRange(Option<(u32, u32)>);

impl UtilizationRange {
    fn add(&mut self, utilization: Utilization) {
        let percent = (utilization.0 * 100.0) as u32;
        let (lowest, highest) = self.0.unwrap_or((percent, percent));
        self.0 = Some((lowest.min(percent), highest.max(percent)));
    }
}

impl std::fmt::Display for UtilizationRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (lowest, highest) = self.0.unwrap_or_default();
        write!(f, "{lowest}-{highest}%")
    }
}

/// A node's load since it was last logged.
#[derive(Debug)]
pub struct LoadReport {
    tick_interval: CoreDuration,
    reported_at: Timestamp,
    last_tick_at: Timestamp,
    /// Maximum delay of a tick.
    tick_delay: CoreDuration,
    /// Maximum time that inputs waited for the core.
    input_delay: CoreDuration,
    heartbeats: u32,
    user_requests: u32,
    responses: u32,
    requests: u32,
    commands: u32,
    shed: u32,
    /// Minimum and maximum of the utilization, which is measured every second.
    busy: UtilizationRange,
    /// The core's processing time for inputs of each kind, in microseconds.
    core_us: [u64; 4],
}

/// Kinds of inputs for which the core's processing time is logged separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputKind {
    /// Ticks, and measurements of the node itself.
    Ticks,
    /// Workers' heartbeats and their responses to direct commands.
    Heartbeats,
    /// Users' requests, including those that other nodes forwarded.
    UserRequests,
    /// All other inputs, such as responses of the state service and the cloud, and messages of other nodes.
    Responses,
}

impl InputKind {
    const ALL: [InputKind; 4] =
        [InputKind::Ticks, InputKind::Heartbeats, InputKind::UserRequests, InputKind::Responses];

    /// Returns the kind of an input.
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
    /// Creates an empty report for a node whose ticks have this interval.
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
            busy: UtilizationRange::default(),
            core_us: [0; 4],
        }
    }

    /// Counts an input. A tick also updates the tick delay and logs the report when it is due.
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

    /// Adds the time that the core took to process an input of this kind.
    pub fn count_time(&mut self, kind: InputKind, elapsed: std::time::Duration) {
        self.core_us[kind as usize] += elapsed.as_micros() as u64;
    }

    /// Counts a request that was shed without being passed to the core.
    pub fn count_shed(&mut self) {
        self.shed += 1;
    }

    /// Counts an effect that the core has returned.
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

    /// Records the delay of a tick, and logs and resets the report once per `REPORT_INTERVAL`.
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
