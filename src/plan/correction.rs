//! Algorithm 2 of the paper: the error ratio that estimates are scaled by.

use crate::types::Duration;

/// CorrecFAST: the average of actual over predicted run time, in percent (Algorithm 2).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Correction {
    /// The value in percent.
    pub percent: f64,
    /// Executions seen.
    pub executions: u64,
}

impl Default for Correction {
    fn default() -> Self {
        Correction { percent: 100.0, executions: 0 }
    }
}

impl Correction {
    /// The next prediction: the estimate scaled by what was learnt.
    pub fn predict(&self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.percent / 100.0)
    }

    /// Learns from an execution that was predicted to take `predicted`; one that was predicted to take no time says nothing.
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
