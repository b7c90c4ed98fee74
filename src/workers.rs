//! Machines, the task attempts on them, and the exchange with their workers.
//!
//! A worker sends heartbeats with the status of all its tasks; the leader answers with commands and may also send commands
//! directly. A machine is *fenced* once one of its own messages says that it has seen this leader's fencing token: from then on
//! nothing that an earlier leader sent can start or stop a task there.
//!
//! | module | job |
//! | --- | --- |
//! | `attempt` | one task attempt on a machine |
//! | `machine` | the state of a machine |
//! | `message_position` | which of two messages of a worker is newer |
//! | `reconciliation` | updates a machine from its worker's messages |
//! | `commands` | builds commands and follows direct ones |
//! | `drain_reason` | why a machine gets no new tasks |

mod attempt;
mod commands;
mod drain_reason;
mod machine;
mod message_position;
mod reconciliation;

pub use attempt::{AttemptExit, AttemptPhase, StartUncertainty, TaskAttempt};
pub use commands::stop_ended_jobs;
pub use drain_reason::DrainReason;
pub use machine::{InFlightCommand, Machine, Registration};
pub use message_position::MessagePosition;
pub use reconciliation::MachineEvent;

#[cfg(test)]
mod tests;
