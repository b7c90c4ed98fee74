//! Which of two messages of a worker is newer.

use crate::types::{AgentEpoch, MessageSequence};
use crate::wire::Heartbeat;

/// Where a message stands among those of its worker: heartbeats and answers to direct commands are numbered together within an
/// epoch of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct MessagePosition {
    /// The agent's epoch.
    pub epoch: AgentEpoch,
    /// The message's number within the epoch.
    pub sequence: MessageSequence,
}

impl MessagePosition {
    /// The position of the message that follows this one.
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
