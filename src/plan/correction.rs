//! Correction of run-time estimates by past prediction errors (Algorithm 2 of the paper).

use crate::types::Duration;

/// CorrecFAST: the running average of actual over predicted run time (Algorithm 2).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Correction {
    /// The average, in percent; 100 before any execution has been recorded.
    pub percent: f64,
    /// Number of executions in the average.
    pub executions: u64,
}

impl Default for Correction {
    fn default() -> Self {
        Correction { percent: 100.0, executions: 0 }
    }
}

impl Correction {
    /// Scales a run-time estimate by the average ratio.
    pub fn predict(&self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.percent / 100.0)
    }

    /// Adds an execution to the average. An execution whose predicted duration is zero is ignored, because it yields no
    /// ratio.
    pub fn learn(&mut self, actual: Duration, predicted: Duration) {
        if predicted.as_millis() == 0 {
            return;
        }
        let executions = self.executions as f64;
        let ratio = 100.0 * actual.as_millis() as f64 / predicted.as_millis() as f64;
        self.percent = (executions * self.percent + ratio) / (executions + 1.0);
        self.executions += 1;
    }
}
