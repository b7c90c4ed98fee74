//! Rate limits.

use crate::{Duration, Timestamp};

/// A token bucket: it holds tokens up to its capacity and gets new ones at a steady rate.
///
/// What is urgent may take more than there is; the bucket is then in debt, and everything else waits longer.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A bucket with this many tokens now.
    pub fn new(now: Timestamp, rate_per_s: f64, capacity: f64, tokens: f64) -> TokenBucket {
        TokenBucket { rate_per_s, capacity, tokens, refilled_at: now }
    }

    /// Adds the tokens of the time that has passed.
    pub fn refill(&mut self, now: Timestamp) {
        let passed: Duration = now.since(self.refilled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate_per_s).min(self.capacity);
        self.refilled_at = now;
    }

    /// Tokens that are there; less than 0 in debt.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Takes tokens, whether they are there or not.
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Takes all tokens away, because the other side said that there were too many requests.
    pub fn empty(&mut self) {
        self.tokens = 0.0;
    }

    /// Tokens that come in a second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Most tokens that the bucket holds.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Changes rate and capacity from now on.
    pub fn set_rate(&mut self, rate_per_s: f64, capacity: f64) {
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
    }
}

#[cfg(test)]
mod tests;
