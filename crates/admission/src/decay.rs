//! Exponential decay for moving averages.

use caperstile_types::Duration;

/// Returns the weight, from 0 to 1, that a measurement retains after `elapsed`: 1/e after one `time_constant`.
pub(crate) fn remaining_weight(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
