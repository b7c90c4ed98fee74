//! Relocation of the leader key, the last step of a rolling upgrade.

use super::keys::RelocatedKey;
use super::{Leadership, LeadershipEvent, RequestKind, StepDownReason};
use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{Revision, Timestamp};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, StoreWrite};

impl Leadership {
    /// Schedules the relocation of the leader key to the name that the new format uses, after which only nodes that
    /// read the new format can be elected. Has no effect unless this node is the leader under the old format.
    ///
    /// The relocation is sent right after the next successful lease renewal, and the new key is bound to the same
    /// lease. This node remains the leader, under a new fencing token.
    pub fn request_key_relocation(&mut self) {
        self.relocation_pending = self.token.is_some() && self.format == Format::One;
    }

    /// Sends the transaction that relocates the leader key, on condition that this node still holds the old key and
    /// that the new one does not exist.
    ///
    /// The transaction is safe even if it is executed late: its conditions contain the revision at which this node was
    /// elected, so it either has no effect or completes this node's own relocation, and the new key is bound to this
    /// node's lease.
    pub(super) fn relocate_key(&mut self, now: Timestamp, out: &mut Vec<LeadershipEvent>) {
        let (Some(token), Some(lease)) = (self.token, self.lease) else { return };
        let (old_key, new_key) = (Format::One.leader_key(), Format::Two.leader_key());
        let pointer = serde_json::to_value(RelocatedKey::to(Format::Two)).unwrap_or_default();
        let swap = CompareAndSwap {
            conditions: vec![condition(old_key, Revision(token.0)), condition(new_key, Revision(0))],
            writes: vec![
                StoreWrite::Put { key: old_key.into(), value: pointer, lease: None },
                self.leader_key_write(Format::Two, lease.id),
            ],
        };
        self.send_request(now, RequestKind::RelocateKey, StoreRequest::CompareAndSwap(swap), out);
    }

    /// Handles the response to a relocation.
    pub(super) fn handle_relocation(
        &mut self,
        now: Timestamp,
        response: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        match (response.status, response.parse::<CompareAndSwapResponse>()) {
            (200, Some(committed)) => {
                self.end_leadership(StepDownReason::LeaderKeyRelocated, out);
                self.format = Format::Two;
                self.become_leader(now, Revision(committed.revision), out);
            }
            (409, _) => {
                // Either another node was elected, or an earlier attempt was executed and its response was lost;
                // reading the key tells which. The lease is kept, since the relocated key may be bound to it.
                self.end_leadership(StepDownReason::LeaderKeyChanged, out);
                self.next_action_at = now;
            }
            (400, _) => self.step_down(now, StepDownReason::LeaseLost, out),
            _ => self.schedule_retry(now, RequestKind::RelocateKey),
        }
    }
}
