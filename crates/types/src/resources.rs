//! Amounts of CPU, GPU and memory.

use serde::{Deserialize, Serialize};

/// An amount of resources: what a task requests, or what a machine has in total or free. All fields are in thousandths.
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
    /// Whether a request for `self` fits into `available` in every dimension.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus && self.gpus <= available.gpus && self.memory <= available.memory
    }
    /// Adds `other` in every dimension.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }
    /// Subtracts `other` in every dimension, with 0 as the lower bound.
    pub fn saturating_sub(&mut self, other: &Resources) {
        self.cpus = self.cpus.saturating_sub(other.cpus);
        self.gpus = self.gpus.saturating_sub(other.gpus);
        self.memory = self.memory.saturating_sub(other.memory);
    }
    /// How many requests for `self` fit into `available` together; `u64::MAX` if `self` requests nothing.
    pub fn count_fitting(&self, available: &Resources) -> u64 {
        let quotient = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let by_cpu = quotient(self.cpus, available.cpus);
        let by_gpu = quotient(self.gpus, available.gpus);
        let by_memory = quotient(self.memory, available.memory);
        by_cpu.min(by_gpu).min(by_memory)
    }
}
