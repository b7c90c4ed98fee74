//! Measurement of the time that inputs wait for the core.

use crate::types::Duration as CoreDuration;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Value of `measured` until the measurement's task has run.
const NOT_MEASURED: u64 = u64::MAX;
/// Minimum change of the delay that is reported, in milliseconds.
const MIN_CHANGE_MS: u64 = 20;

/// Measures how long a task that is ready waits until the runtime polls it. A newly spawned task is polled after all
/// tasks that are ready already, so its delay is that of the run queue.
#[derive(Debug)]
pub struct InputDelayProbe {
    /// Start of the latest measurement; `None` before the first one.
    started: Option<Instant>,
    /// Result of the latest measurement in milliseconds, `NOT_MEASURED` while it is in progress.
    measured: Arc<AtomicU64>,
    reported: CoreDuration,
}

impl InputDelayProbe {
    /// Creates a probe that has measured nothing yet.
    pub fn new() -> InputDelayProbe {
        InputDelayProbe {
            started: None,
            measured: Arc::new(AtomicU64::new(NOT_MEASURED)),
            reported: CoreDuration::ZERO,
        }
    }

    /// Starts a measurement unless one is in progress. Returns the delay of inputs if it has changed by at least the
    /// minimum since it was last returned.
    pub fn sample(&mut self) -> Option<CoreDuration> {
        let measured_ms = match (self.started, self.measured.load(Ordering::Relaxed)) {
            (Some(started), NOT_MEASURED) => started.elapsed().as_millis() as u64,
            (_, NOT_MEASURED) => 0,
            (_, measured) => measured,
        };
        if self.started.is_none() || self.measured.load(Ordering::Relaxed) != NOT_MEASURED {
            self.start_measurement();
        }
        // The reported delay decreases by at most a quarter per sample, so that one quiet moment does not make the
        // leader resume all deferred work.
        let reported = self.reported.as_millis();
        let delay = measured_ms.max(reported * 3 / 4);
        let dropped_to_zero = delay < MIN_CHANGE_MS && reported > 0;
        (delay.abs_diff(reported) >= MIN_CHANGE_MS || dropped_to_zero).then(|| {
            self.reported = CoreDuration::from_millis(if delay < MIN_CHANGE_MS { 0 } else { delay });
            self.reported
        })
    }

    fn start_measurement(&mut self) {
        let (started, measured) = (Instant::now(), self.measured.clone());
        measured.store(NOT_MEASURED, Ordering::Relaxed);
        self.started = Some(started);
        tokio::spawn(async move { measured.store(started.elapsed().as_millis() as u64, Ordering::Relaxed) });
    }
}
