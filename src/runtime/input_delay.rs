//! How long inputs wait for the core.

use crate::types::Duration as CoreDuration;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// The measurement has not had its turn.
const NOT_MEASURED: u64 = u64::MAX;
/// A change below this is not reported.
const LEAST_CHANGE_MS: u64 = 20;

/// Measures how long what is ready waits for its turn: a task that is started now has it after all the others.
#[derive(Debug)]
pub struct InputDelayProbe {
    /// When the last measurement was started.
    started: Option<Instant>,
    /// Its result in milliseconds.
    measured: Arc<AtomicU64>,
    reported: CoreDuration,
}

impl InputDelayProbe {
    /// A probe that has measured nothing yet.
    pub fn new() -> InputDelayProbe {
        InputDelayProbe {
            started: None,
            measured: Arc::new(AtomicU64::new(NOT_MEASURED)),
            reported: CoreDuration::ZERO,
        }
    }

    /// Starts a measurement unless one is under way; how long inputs wait, if that has changed.
    pub fn sample(&mut self) -> Option<CoreDuration> {
        let waited = match (self.started, self.measured.load(Ordering::Relaxed)) {
            (Some(started), NOT_MEASURED) => started.elapsed().as_millis() as u64,
            (_, NOT_MEASURED) => 0,
            (_, measured) => measured,
        };
        if self.started.is_none() || self.measured.load(Ordering::Relaxed) != NOT_MEASURED {
            self.start_measurement();
        }
        // It falls slowly, so that one quiet moment does not bring all the work back.
        let reported = self.reported.as_millis();
        let delay = waited.max(reported * 3 / 4);
        let back_to_none = delay < LEAST_CHANGE_MS && reported > 0;
        (delay.abs_diff(reported) >= LEAST_CHANGE_MS || back_to_none).then(|| {
            self.reported = CoreDuration::from_millis(if delay < LEAST_CHANGE_MS { 0 } else { delay });
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
