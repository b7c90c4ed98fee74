//! Pools in which the cloud had no capacity, each avoided for a backoff that doubles with every refusal.

use super::InstancePool;
use crate::types::{Duration, Timestamp};
use std::collections::HashMap;

/// How long a pool is avoided after its first refusal.
const FIRST_BACKOFF: Duration = Duration::from_secs(5);
/// Longest time that a pool is avoided after a refusal.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The last refusal of one pool.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    avoid_until: Timestamp,
    backoff: Duration,
}

/// Which pools refused to scale out, and until when each is avoided.
#[derive(Debug, Default)]
pub(super) struct CapacityRefusals {
    last: HashMap<InstancePool, Refusal>,
}

impl CapacityRefusals {
    /// Whether a pool is still avoided because of a refusal.
    pub(super) fn is_avoided(&self, pool: &InstancePool, now: Timestamp) -> bool {
        self.last.get(pool).is_some_and(|refusal| now < refusal.avoid_until)
    }

    /// Notes that a pool had less capacity than was asked for.
    pub(super) fn note_refusal(&mut self, now: Timestamp, pool: InstancePool) {
        let backoff = match self.last.get(&pool) {
            Some(refusal) => (refusal.backoff * 2).min(MAX_BACKOFF),
            None => FIRST_BACKOFF,
        };
        self.last.insert(pool, Refusal { avoid_until: now + backoff, backoff });
    }

    /// Notes that a pool gave everything that was asked for: its next refusal starts with the first backoff.
    pub(super) fn note_success(&mut self, pool: &InstancePool) {
        self.last.remove(pool);
    }
}
