//! Relocation of the leader key, by which a rolling upgrade is completed.

use super::keys::RelocatedKey;
use super::{Leadership, LeadershipEvent, RequestKind, StepDownReason};
use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{Revision, Timestamp};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, StoreWrite};

impl Leadership {
    /// Relocates the leader key, so that only nodes that read the new format can lead from then on.
    ///
    /// It is done right after a renewal, whose lease holds the new key. This node leads on, under a new fencing token.
    pub fn request_key_relocation(&mut self) {
        self.relocation_pending = self.token.is_some() && self.format == Format::One;
    }

    /// Relocates the key on condition that this node still holds it and that nobody has relocated it.
    ///
    /// Carried out late it changes nothing, or it is this node's own relocation: the conditions name this leader's revision, and the
    /// new key hangs on its lease.
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

    /// The response to a relocation.
    pub(super) fn handle_relocation(
        &mut self,
        now: Timestamp,
        response: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        match (response.status, response.parse::<CompareAndSwapResponse>()) {
            (200, Some(answer)) => {
                self.end_leadership(StepDownReason::LeaderKeyRelocated, out);
                self.format = Format::Two;
                self.elected(now, Revision(answer.revision), out);
            }
            (409, _) => {
                // Another node leads, or an earlier try was carried out and its response lost. Reading the key tells; the lease is
                // kept, since the relocated key may hang on it.
                self.end_leadership(StepDownReason::LeaderKeyChanged, out);
                self.next_action_at = now;
            }
            (400, _) => self.step_down(now, StepDownReason::LeaseLost, out),
            _ => self.schedule_retry(now, RequestKind::RelocateKey),
        }
    }
}
