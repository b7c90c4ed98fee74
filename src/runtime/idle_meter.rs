//! Measurement of the utilization of the node's thread.

use caperstile_admission::Utilization;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Measures the utilization of the thread from the time that tokio keeps it parked. Clones share their counters.
#[derive(Debug, Clone)]
pub struct IdleMeter {
    start: Instant,
    counters: Arc<IdleCounters>,
}

#[derive(Debug, Default)]
struct IdleCounters {
    /// Time at which the thread was last parked, in microseconds since `IdleMeter::start`.
    parked_at: AtomicU64,
    /// Total time for which the thread was parked, in microseconds.
    idle: AtomicU64,
    /// Time of the last sample, and the value of `idle` at that time.
    sampled_at: AtomicU64,
    sampled_idle: AtomicU64,
}

/// Minimum time between two samples, in microseconds.
const SAMPLE_INTERVAL_US: u64 = 1_000_000;

impl IdleMeter {
    /// Creates a meter that has measured nothing yet.
    pub fn new() -> IdleMeter {
        IdleMeter { start: Instant::now(), counters: Arc::default() }
    }

    fn elapsed(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Records that the thread is about to be parked.
    pub fn park(&self) {
        self.counters.parked_at.store(self.elapsed(), Ordering::Relaxed);
    }

    /// Records that the thread was unparked.
    pub fn unpark(&self) {
        let parked_at = self.counters.parked_at.load(Ordering::Relaxed);
        self.counters.idle.fetch_add(self.elapsed().saturating_sub(parked_at), Ordering::Relaxed);
    }

    /// Returns the utilization since the last sample, or `None` if that is less than a second ago.
    pub fn sample(&self) -> Option<Utilization> {
        let (now, idle) = (self.elapsed(), self.counters.idle.load(Ordering::Relaxed));
        let elapsed = now.saturating_sub(self.counters.sampled_at.load(Ordering::Relaxed));
        if elapsed < SAMPLE_INTERVAL_US {
            return None;
        }
        self.counters.sampled_at.store(now, Ordering::Relaxed);
        let idle = idle - self.counters.sampled_idle.swap(idle, Ordering::Relaxed);
        Some(Utilization(1.0 - (idle as f64 / elapsed as f64).min(1.0)))
    }
}
