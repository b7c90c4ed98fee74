//! Detects machines, zones and nodes that cannot be reached.
//!
//! | module | question |
//! | --- | --- |
//! | `isolation` | does this node reach any worker? |
//! | `zones` | is a whole zone out of reach? |
//! | `health_check` | is a machine to be given up, probed or given back? |

mod health_check;
mod isolation;
mod zones;

pub(super) use isolation::WorkerReachability;
pub(super) use zones::ZoneHealth;

use crate::types::Duration;

/// Fewer machines than this prove nothing about their zone, or about this node.
const MIN_SIGNIFICANT_MACHINES: usize = 4;
/// Unanswered direct commands after which a machine counts as unreachable.
const UNREACHABLE_AFTER_COMMANDS: u32 = 2;
/// Two direct commands in sequence time out within this time.
const TWO_COMMAND_TIMEOUTS: Duration = Duration::from_millis(2 * super::COMMAND_TIMEOUT.as_millis());

#[cfg(test)]
mod tests;
