//! How much can be admitted, found by additive increase and multiplicative decrease.

use caperstile_units::{Duration, Time};

/// The share of the time for which a controller was busy.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Utilization(pub f64);

/// A controller that is busy for at least this share of the time has no reserve.
const SATURATED: Utilization = Utilization(0.95);
/// Below this there is room for more.
const RELAXED: Utilization = Utilization(0.85);
/// Planning takes what is left of the processor, so that a busy node is overloaded only if inputs wait at least this long.
const LONG_QUEUEING: Duration = Duration(500);
/// If they wait less than this there is room for more, however busy the node is.
const SHORT_QUEUEING: Duration = Duration(150);
/// It must be saturated for so long before less is admitted: elections and fleets that come up pass by themselves.
const PATIENCE: Duration = Duration(4_000);
/// The limit falls to this part of what was admitted, and not sooner again than after `PATIENCE`.
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
    saturated_since: Option<Time>,
}

impl CapacityRegulator {
    /// The cost per second that may be admitted; `None`: everything.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Takes a measurement of one second: how busy the node was, how long its inputs waited, and the cost per second that was asked for
    /// and admitted lately.
    pub fn observe(&mut self, now: Time, utilization: Utilization, queueing: Duration, demanded: f64, admitted: f64) {
        let overloaded = utilization >= SATURATED && queueing >= LONG_QUEUEING;
        if overloaded {
            self.saturated(now, admitted);
            return;
        }
        self.saturated_since = None;
        if utilization < RELAXED || queueing < SHORT_QUEUEING {
            self.relaxed(demanded);
        }
    }

    fn saturated(&mut self, now: Time, admitted: f64) {
        let since = *self.saturated_since.get_or_insert(now);
        if now.since(since) < PATIENCE {
            return;
        }
        self.saturated_since = Some(now);
        let in_use = self.limit.map_or(admitted, |limit| limit.min(admitted));
        self.limit = Some((in_use * DECREASE).max(FLOOR));
    }

    fn relaxed(&mut self, demanded: f64) {
        let Some(limit) = self.limit else { return };
        let raised = limit + (limit * INCREASE).max(LEAST_STEP);
        self.limit = (raised < demanded * LIFTED_AT + FLOOR).then_some(raised);
    }
}
