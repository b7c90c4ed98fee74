//! Final states are kept for ever: what they cost in memory is measured on the process itself.

use caperstile::jobs::JobStore;
use caperstile::types::{JobId, Timestamp, WallClock};
use caperstile::write_ahead_log::LogRecord;

/// Resident memory in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("Linux tells it");
    let pages: usize = text.split(' ').nth(1).and_then(|p| p.parse().ok()).expect("a number");
    pages * 4096
}

#[test]
fn a_finished_job_costs_few_bytes() {
    const JOBS: usize = 400_000;
    let mut book = JobStore::default();
    let before = resident();
    for _ in 0..JOBS / 200 {
        let start = book.terminal_count() as u64 + 1;
        let mut part: Vec<(u64, u32)> = vec![(1, 14); 200];
        part[0].0 = start;
        book.apply(&LogRecord::EndedJobs(part, vec![]), Timestamp::ZERO, WallClock::default());
    }
    assert_eq!(book.terminal_count(), JOBS);
    assert!(book.status(JobId(JOBS as u64)).is_some() && book.status(JobId(JOBS as u64 + 1)).is_none());
    let each = resident().saturating_sub(before) / JOBS;
    println!("{each} bytes each");
    assert!(each < 64, "{each} bytes for each finished job");
}
