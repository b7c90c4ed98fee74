//! Tracks instance pools in which the cloud lacked capacity. Each is avoided for a backoff that doubles with every
//! consecutive refusal.

use super::InstancePool;
use crate::types::{Duration, Timestamp};
use std::collections::HashMap;

/// Backoff of a pool after its first refusal.
const FIRST_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum backoff of a pool after a refusal.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The last refusal of a pool.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    avoid_until: Timestamp,
    backoff: Duration,
}

/// The last refusals by pool, with the time until which each pool is avoided.
#[derive(Debug, Default)]
pub(super) struct CapacityRefusals {
    last_refusals: HashMap<InstancePool, Refusal>,
}

impl CapacityRefusals {
    /// Whether the backoff after a pool's last refusal has not elapsed yet.
    pub(super) fn is_avoided(&self, pool: &InstancePool, now: Timestamp) -> bool {
        self.last_refusals.get(pool).is_some_and(|refusal| now < refusal.avoid_until)
    }

    /// Records that a pool had less capacity than requested, and starts the next backoff.
    pub(super) fn note_refusal(&mut self, now: Timestamp, pool: InstancePool) {
        let backoff = match self.last_refusals.get(&pool) {
            Some(refusal) => (refusal.backoff * 2).min(MAX_BACKOFF),
            None => FIRST_BACKOFF,
        };
        self.last_refusals.insert(pool, Refusal { avoid_until: now + backoff, backoff });
    }

    /// Records that a pool provided everything that was requested, which resets its backoff.
    pub(super) fn note_success(&mut self, pool: &InstancePool) {
        self.last_refusals.remove(pool);
    }
}
