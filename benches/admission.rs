//! What admission costs: a decision by a table, and making a table, with 10, 100 and 1,000 pairs of teams and classes.

use caperstile::types::{Duration, FencingToken, JobId, Timestamp};
use caperstile_admission::{AdmissionControl, AdmissionPolicy, AdmissionTable, Submission, Utilization};
use criterion::{BatchSize, BenchmarkId, Criterion};
use std::hint::black_box;

const PAIRS: [usize; 3] = [10, 100, 1_000];

fn names(pairs: usize) -> Vec<(String, String)> {
    (0..pairs).map(|n| (format!("team-{}", n % 50), format!("class-{}", n / 50))).collect()
}

/// A leader that is overloaded by all pairs; it has made a table.
fn overloaded(names: &[(String, String)]) -> (AdmissionControl, Timestamp) {
    let mut control = AdmissionControl::new(FencingToken(7), Timestamp::ZERO, AdmissionPolicy::default());
    let mut now = Timestamp::ZERO;
    let mut job = 0;
    for _ in 0..60 {
        now = now + Duration::from_secs(1);
        for (team, class) in names.iter().chain(names) {
            job += 1;
            control.decide(now, &Submission { job: JobId(job), team, class }, 4);
            control.record_accepted(now, JobId(job));
        }
        control.observe_load(now, Utilization(1.0), Duration::from_millis(800));
        control.tick(now);
    }
    (control, now)
}

fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admission");
    group.sample_size(20);
    for pairs in PAIRS {
        let names = names(pairs);
        let (control, now) = overloaded(&names);
        let table: AdmissionTable = control.table().clone();
        assert!(!table.admits_all(), "everything is refused in part");
        let mut job = 0u64;
        group.bench_with_input(BenchmarkId::new("a decision", pairs), &table, |b, table| {
            b.iter(|| {
                job += 1;
                let (team, class) = &names[job as usize % names.len()];
                black_box(table.decide(&Submission { job: JobId(job), team, class }))
            });
        });
        group.bench_with_input(BenchmarkId::new("making a table", pairs), &names, |b, names| {
            b.iter_batched(
                || overloaded(names).0,
                |mut control| black_box(control.tick(now + Duration::from_secs(1)).is_some()),
                BatchSize::LargeInput,
            );
        });
        group.bench_with_input(BenchmarkId::new("its bytes", pairs), &table, |b, table| {
            b.iter(|| black_box(table.encode()))
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    admission(&mut criterion);
    criterion.final_summary();
}
