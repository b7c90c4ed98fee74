//! Determines the admission limit by additive increase and multiplicative decrease (AIMD).

use crate::decay;
use caperstile_types::{Duration, Timestamp};

/// Share of time for which a controller was busy, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Utilization(pub f64);

/// Time constant of the moving averages: a measurement of this age has a weight of 1/e. Load peaks during elections and
/// while many machines boot end by themselves and must not reduce the limit.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Utilization from which a controller has no spare processor time.
const SATURATED_UTILIZATION: f64 = 0.9;
/// Utilization below which the limit is raised.
const RELAXED_UTILIZATION: f64 = 0.8;
/// Minimum queueing delay of inputs for a saturated node to be considered overloaded. Planning uses all remaining
/// processor time, so a high utilization alone does not indicate overload.
const SATURATED_QUEUEING_DELAY: Duration = Duration::from_millis(250);
/// Queueing delay of inputs below which the limit is raised, regardless of the utilization.
const RELAXED_QUEUEING_DELAY: Duration = Duration::from_millis(100);
/// Minimum interval between two decreases of the limit, because load measurements reflect a decrease only with a delay.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_secs(4);
/// Factor by which a decrease multiplies the limit or the admitted cost per second, whichever is lower.
const DECREASE_FACTOR: f64 = 0.7;
/// Share of itself by which the limit is raised for each measurement (one per second) that shows spare capacity; at
/// least [`MIN_INCREASE`] is added.
const INCREASE_SHARE: f64 = 0.05;
/// Minimum step in cost per second by which the limit is raised.
const MIN_INCREASE: f64 = 0.2;
/// Minimum limit in cost per second, so that some submissions are always admitted.
pub(crate) const MIN_LIMIT: f64 = 1.0;
/// Ratio of limit to demand from which the limit is removed.
const LIFT_FACTOR: f64 = 2.0;

/// Determines the cost per second that a controller can admit.
///
/// It reacts to processor utilization rather than to the length of a queue: on a node that is limited to a fraction of
/// a core, most pending requests wait in socket buffers, where the controller cannot count them.
#[derive(Debug, Default)]
pub struct CapacityRegulator {
    limit: Option<f64>,
    utilization: f64,
    queueing_delay_s: f64,
    observed_at: Timestamp,
    decreased_at: Timestamp,
}

impl CapacityRegulator {
    /// Returns the maximum cost per second that may be admitted; `None` if unlimited.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Starts with the predecessor's limit: under the same load, this leader would arrive at about the same limit, only
    /// later.
    pub fn inherit(&mut self, limit: f64) {
        self.limit = Some(limit.max(MIN_LIMIT));
    }

    /// Records a measurement and adjusts the limit. `utilization` is the load of the node since the previous
    /// measurement, `queueing_delay` the time that its inputs waited in the queue; `demanded` and `admitted` are in
    /// cost per second.
    pub fn observe(
        &mut self,
        now: Timestamp,
        utilization: Utilization,
        queueing_delay: Duration,
        demanded: f64,
        admitted: f64,
    ) {
        let old_weight = decay::remaining_weight(now.since(self.observed_at), TIME_CONSTANT);
        self.observed_at = now;
        self.utilization = self.utilization * old_weight + utilization.0 * (1.0 - old_weight);
        self.queueing_delay_s = self.queueing_delay_s * old_weight + queueing_delay.as_secs_f64() * (1.0 - old_weight);
        if self.utilization >= SATURATED_UTILIZATION && self.queueing_delay_s >= SATURATED_QUEUEING_DELAY.as_secs_f64()
        {
            self.decrease(now, admitted);
        } else if self.utilization < RELAXED_UTILIZATION || self.queueing_delay_s < RELAXED_QUEUEING_DELAY.as_secs_f64()
        {
            self.increase(demanded);
        }
    }

    fn decrease(&mut self, now: Timestamp, admitted: f64) {
        if now.since(self.decreased_at) < MIN_DECREASE_INTERVAL {
            return;
        }
        self.decreased_at = now;
        let effective_rate = self.limit.map_or(admitted, |limit| limit.min(admitted));
        self.limit = Some((effective_rate * DECREASE_FACTOR).max(MIN_LIMIT));
    }

    fn increase(&mut self, demanded: f64) {
        let Some(limit) = self.limit else { return };
        let raised = limit + (limit * INCREASE_SHARE).max(MIN_INCREASE);
        self.limit = (raised < demanded * LIFT_FACTOR + MIN_LIMIT).then_some(raised);
    }
}
