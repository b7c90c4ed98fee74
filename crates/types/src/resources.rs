//! Amounts of a machine's resources.

use serde::{Deserialize, Serialize};

/// What a task takes of a machine, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpus: u64,
    /// Thousandths of a GPU.
    pub gpus: u64,
    /// Thousandths of a GB.
    pub memory: u64,
}

impl Resources {
    /// Whether this much fits into `available`.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus && self.gpus <= available.gpus && self.memory <= available.memory
    }
    /// Adds another amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }
    /// Subtracts another amount, to none at the least.
    pub fn saturating_sub(&mut self, other: &Resources) {
        self.cpus = self.cpus.saturating_sub(other.cpus);
        self.gpus = self.gpus.saturating_sub(other.gpus);
        self.memory = self.memory.saturating_sub(other.memory);
    }
    /// How many times `self` fits into `available`.
    pub fn count_fitting(&self, available: &Resources) -> u64 {
        let copies = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let by_cpu = copies(self.cpus, available.cpus);
        let by_gpu = copies(self.gpus, available.gpus);
        let by_memory = copies(self.memory, available.memory);
        by_cpu.min(by_gpu).min(by_memory)
    }
}
