//! For how much of the time the node's thread has nothing to do.

use caperstile_admission::Utilization;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Measures for how much of the time the thread has nothing to do.
#[derive(Debug, Clone)]
pub struct IdleMeter {
    start: Instant,
    counters: Arc<IdleCounters>,
}

#[derive(Debug, Default)]
struct IdleCounters {
    /// When the thread was parked last, in microseconds.
    parked_at: AtomicU64,
    /// For how long it was parked, all together.
    idle: AtomicU64,
    /// The last sample: when it was taken, and `idle` then.
    sampled_at: AtomicU64,
    sampled_idle: AtomicU64,
}

/// How often the utilization is reported.
const SAMPLE_INTERVAL_US: u64 = 1_000_000;

impl IdleMeter {
    /// A meter that has measured nothing yet.
    pub fn new() -> IdleMeter {
        IdleMeter { start: Instant::now(), counters: Arc::default() }
    }

    fn elapsed(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// The thread is about to wait.
    pub fn park(&self) {
        self.counters.parked_at.store(self.elapsed(), Ordering::Relaxed);
    }

    /// The thread goes on.
    pub fn unpark(&self) {
        let parked_at = self.counters.parked_at.load(Ordering::Relaxed);
        self.counters.idle.fetch_add(self.elapsed().saturating_sub(parked_at), Ordering::Relaxed);
    }

    /// The utilization since the last sample, once a second.
    pub fn sample(&self) -> Option<Utilization> {
        let (now, idle) = (self.elapsed(), self.counters.idle.load(Ordering::Relaxed));
        let passed = now.saturating_sub(self.counters.sampled_at.load(Ordering::Relaxed));
        if passed < SAMPLE_INTERVAL_US {
            return None;
        }
        self.counters.sampled_at.store(now, Ordering::Relaxed);
        let idle = idle - self.counters.sampled_idle.swap(idle, Ordering::Relaxed);
        Some(Utilization(1.0 - (idle as f64 / passed as f64).min(1.0)))
    }
}
