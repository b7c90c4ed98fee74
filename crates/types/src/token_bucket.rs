//! Rate limiting.

use crate::{Duration, Timestamp};

/// A token bucket: it is refilled at a constant rate up to its capacity.
///
/// Urgent requests may take more tokens than are available. The balance is then negative, and all other requests wait
/// until it has been refilled.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` tokens at `now`.
    pub fn new(now: Timestamp, rate_per_s: f64, capacity: f64, tokens: f64) -> TokenBucket {
        TokenBucket { rate_per_s, capacity, tokens, refilled_at: now }
    }

    /// Adds the tokens for the time since the last refill.
    pub fn refill(&mut self, now: Timestamp) {
        let passed: Duration = now.since(self.refilled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate_per_s).min(self.capacity);
        self.refilled_at = now;
    }

    /// The balance of tokens; negative after urgent requests took more than were available.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Takes tokens, even if the balance becomes negative.
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Sets the balance to 0, because the service rejected a request for exceeding its rate limit.
    pub fn empty(&mut self) {
        self.tokens = 0.0;
    }

    /// Refill rate in tokens per second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Maximum number of tokens that the bucket holds.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Changes the refill rate and the capacity; both apply from the next refill.
    pub fn set_rate(&mut self, rate_per_s: f64, capacity: f64) {
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
    }
}

#[cfg(test)]
mod tests;
