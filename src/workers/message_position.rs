//! The order of a worker's messages.

use crate::types::{AgentEpoch, MessageSequence};
use crate::wire::Heartbeat;

/// The position of a message in the sequence of its worker's messages, by which delayed and duplicate messages are
/// recognized. Heartbeats and responses to direct commands share one sequence within an epoch of the worker agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct MessagePosition {
    /// Epoch of the worker agent; 0 if no message was received.
    pub epoch: AgentEpoch,
    /// Sequence number of the message within the epoch.
    pub sequence: MessageSequence,
}

impl MessagePosition {
    /// Returns the position of the next message in the same epoch.
    #[must_use]
    pub fn next(self) -> MessagePosition {
        MessagePosition { epoch: self.epoch, sequence: MessageSequence(self.sequence.0 + 1) }
    }
}

impl From<&Heartbeat> for MessagePosition {
    fn from(heartbeat: &Heartbeat) -> MessagePosition {
        MessagePosition { epoch: AgentEpoch(heartbeat.epoch), sequence: MessageSequence(heartbeat.sequence) }
    }
}
