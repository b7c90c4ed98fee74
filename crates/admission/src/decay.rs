//! Averages that forget.

use caperstile_types::Duration;

/// What is left of an old measurement after so long; 1/e after the time constant.
pub(crate) fn kept(passed: Duration, time_constant: Duration) -> f64 {
    (-passed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
