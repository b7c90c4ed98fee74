//! How much can be admitted, found by additive increase and multiplicative decrease.

use crate::decay;
use caperstile_types::{Duration, Timestamp};

/// The share of the time for which a controller was busy.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Utilization(pub f64);

/// Measurements this long ago count 1/e of those now: elections, and fleets that come up, pass by themselves.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// A controller that is busy for at least this share of the time has no reserve.
const SATURATED: f64 = 0.9;
/// Below this there is room for more.
const RELAXED: f64 = 0.8;
/// Planning takes what is left of the processor, so that a busy node is overloaded only if inputs wait at least this long.
const LONG_QUEUEING: Duration = Duration::from_millis(250);
/// If they wait less than this there is room for more, however busy the node is.
const SHORT_QUEUEING: Duration = Duration::from_millis(100);
/// What was admitted before shows in the load only after some time: the limit falls no more often than this.
const DECREASE_EVERY: Duration = Duration::from_secs(4);
/// The limit falls to this part of what was admitted.
const DECREASE: f64 = 0.7;
/// Each relaxed second the limit grows by this part of itself, and by at least `LEAST_STEP`.
const INCREASE: f64 = 0.05;
const LEAST_STEP: f64 = 0.2;
/// The limit never falls below this cost per second, so that something is always admitted.
pub(crate) const FLOOR: f64 = 1.0;
/// A limit that is this many times the demand is lifted.
const LIFTED_AT: f64 = 2.0;

/// Finds the cost per second that a controller can admit.
///
/// The signal is the utilization of its processor, not the length of a queue: under a share of a core most of what waits does so in
/// sockets, where it cannot be counted.
#[derive(Debug, Default)]
pub struct CapacityRegulator {
    limit: Option<f64>,
    utilization: f64,
    queueing_s: f64,
    observed_at: Timestamp,
    decreased_at: Timestamp,
}

impl CapacityRegulator {
    /// The cost per second that may be admitted; `None`: everything.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Begins with the limit of an earlier leader, which the same load would make this one find again.
    pub fn inherit(&mut self, limit: f64) {
        self.limit = Some(limit.max(FLOOR));
    }

    /// Takes a measurement: how busy the node was lately, how long its inputs waited, and the cost per second that was asked for and
    /// admitted.
    pub fn observe(
        &mut self,
        now: Timestamp,
        utilization: Utilization,
        queueing: Duration,
        demanded: f64,
        admitted: f64,
    ) {
        let kept = decay::kept(now.since(self.observed_at), TIME_CONSTANT);
        self.observed_at = now;
        self.utilization = self.utilization * kept + utilization.0 * (1.0 - kept);
        self.queueing_s = self.queueing_s * kept + queueing.as_secs_f64() * (1.0 - kept);
        if self.utilization >= SATURATED && self.queueing_s >= LONG_QUEUEING.as_secs_f64() {
            self.decrease(now, admitted);
        } else if self.utilization < RELAXED || self.queueing_s < SHORT_QUEUEING.as_secs_f64() {
            self.increase(demanded);
        }
    }

    fn decrease(&mut self, now: Timestamp, admitted: f64) {
        if now.since(self.decreased_at) < DECREASE_EVERY {
            return;
        }
        self.decreased_at = now;
        let in_use = self.limit.map_or(admitted, |limit| limit.min(admitted));
        self.limit = Some((in_use * DECREASE).max(FLOOR));
    }

    fn increase(&mut self, demanded: f64) {
        let Some(limit) = self.limit else { return };
        let raised = limit + (limit * INCREASE).max(LEAST_STEP);
        self.limit = (raised < demanded * LIFTED_AT + FLOOR).then_some(raised);
    }
}
