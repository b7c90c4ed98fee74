//! Failure detection: unreachable machines and zones, and the isolation of this node.
//!
//! | module | detects |
//! | --- | --- |
//! | `isolation` | whether this node reaches any worker |
//! | `zones` | zones that are unreachable as a whole |
//! | `health_check` | lost attempts, and machines to probe, to try or to release |
//! | `probes` | whether machines respond to direct commands |

mod health_check;
mod isolation;
mod probes;
mod zones;

pub(super) use isolation::WorkerReachability;
pub(super) use zones::ZoneHealth;

use crate::types::Duration;

/// Minimum number of machines from which a conclusion about their zone or about this node is drawn.
const MIN_SIGNIFICANT_MACHINES: usize = 4;
/// Number of direct commands in a row without a response after which a machine is considered unreachable.
const UNREACHABLE_AFTER_COMMANDS: u32 = 2;
/// Time in which two direct commands, sent one after the other, time out.
const TWO_COMMAND_TIMEOUTS: Duration = Duration::from_millis(2 * super::COMMAND_TIMEOUT.as_millis());

#[cfg(test)]
mod tests;
