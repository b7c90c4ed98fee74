//! Decimal amounts of a submission: resources, sizes and durations.

use serde::{Serialize, Serializer};

/// Thousandths in one unit of the protocol.
const THOUSANDTHS: f64 = 1000.0;
/// The largest amount, in thousandths: 10^9 units. Earlier versions refuse larger ones.
const LARGEST: u64 = 1_000_000_000_000;
/// Difference from a whole number of thousandths that is taken for floating-point error.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// The same for large numbers, relative to the number.
const RELATIVE_ROUNDING_TOLERANCE: f64 = 4.0 * f64::EPSILON;

/// An amount in thousandths of the protocol's unit, from 0 to 10^9 units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Amount(u64);

impl Amount {
    const SMALLEST: Amount = Amount(1);

    /// Converts a JSON number; `None` if it is negative. Amounts are rounded up to whole thousandths, and those above the
    /// largest amount to that.
    pub(super) fn from_json_number(number: &str) -> Option<Amount> {
        let is_zero = is_zero(number);
        if number.starts_with('-') && !is_zero {
            return None;
        }
        let units: f64 = number.parse().unwrap_or(f64::INFINITY);
        let rounded = Amount(round_up(units * THOUSANDTHS).min(LARGEST));
        Some(if is_zero { Amount(0) } else { rounded.at_least_smallest() })
    }

    /// This amount, or one thousandth if it is zero.
    pub(super) fn at_least_smallest(self) -> Amount {
        self.max(Amount::SMALLEST)
    }

    /// The amount in thousandths.
    pub fn thousandths(self) -> u64 {
        self.0
    }
}

/// Whether a JSON number is zero, decided by its digits: the smallest numbers become zero as `f64`.
fn is_zero(number: &str) -> bool {
    let digits = number.split(['e', 'E']).next().unwrap_or_default();
    !digits.bytes().any(|byte| matches!(byte, b'1'..=b'9'))
}

/// Rounds a number that is not negative up to an integer, apart from floating-point error.
fn round_up(number: f64) -> u64 {
    let nearest = number.round();
    let tolerance = ROUNDING_TOLERANCE.max(number * RELATIVE_ROUNDING_TOLERANCE);
    let rounded = if number - nearest <= tolerance { nearest } else { number.ceil() };
    rounded as u64
}

impl Serialize for Amount {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_f64(self.0 as f64 / THOUSANDTHS)
    }
}
