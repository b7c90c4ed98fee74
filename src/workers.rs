//! The leader's view of machines and the task attempts on them, and the protocol with their workers.
//!
//! A worker sends heartbeats that contain the status of all its tasks. The leader puts commands into the heartbeat
//! responses, and may also send commands directly. A machine is *fenced* once one of its messages contains this
//! leader's fencing token: from then on its worker rejects commands of earlier leaders, so that none of them can start
//! or stop a task there.
//!
//! | module | purpose |
//! | --- | --- |
//! | `attempt` | state of one task attempt on a machine |
//! | `machine` | state of a machine |
//! | `message_position` | order of the messages of a worker |
//! | `quarantine` | when a machine on which tasks fail gets tasks again |
//! | `reconciliation` | updates the state of a machine from its worker's messages |
//! | `commands` | builds commands and tracks direct commands |
//! | `drain_reason` | reasons for which a machine gets no new tasks |
//! | `stop_reason` | reasons for which an attempt is stopped |

mod attempt;
mod commands;
mod drain_reason;
mod machine;
mod message_position;
mod quarantine;
mod reconciliation;
mod stop_reason;

pub use attempt::{AttemptExit, AttemptPhase, TaskAttempt};
pub use commands::stop_ended_jobs;
pub use drain_reason::DrainReason;
pub use machine::{InFlightCommand, Machine, Registration};
pub use message_position::MessagePosition;
pub use quarantine::{Quarantine, TRIAL_RUN_TIME, TaskFailure};
pub use reconciliation::MachineEvent;
pub use stop_reason::StopReason;

#[cfg(test)]
mod tests;
