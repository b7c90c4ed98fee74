//! Final states are kept for ever, so their memory use is bounded. The test measures the resident memory of its own
//! process.

use caperstile::jobs::JobStore;
use caperstile::types::{JobId, Timestamp, WallClock};
use caperstile::write_ahead_log::LogRecord;

/// Resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm, which only Linux has");
    let pages: usize = text.split(' ').nth(1).and_then(|p| p.parse().ok()).expect("a number");
    pages * 4096
}

#[test]
fn a_finished_job_needs_less_than_64_bytes() {
    const JOBS: usize = 400_000;
    let mut jobs = JobStore::default();
    let before = resident_bytes();
    for _ in 0..JOBS / 200 {
        let start = jobs.terminal_count() as u64 + 1;
        let mut batch: Vec<(u64, u32)> = vec![(1, 14); 200];
        batch[0].0 = start;
        jobs.apply(&LogRecord::EndedJobs(batch, vec![]), Timestamp::ZERO, WallClock::default());
    }
    assert_eq!(jobs.terminal_count(), JOBS);
    assert!(jobs.status(JobId(JOBS as u64)).is_some() && jobs.status(JobId(JOBS as u64 + 1)).is_none());
    let bytes_per_job = resident_bytes().saturating_sub(before) / JOBS;
    println!("{bytes_per_job} bytes per finished job");
    assert!(bytes_per_job < 64, "{bytes_per_job} bytes per finished job, the limit is 64");
}
