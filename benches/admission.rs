//! Benchmarks of admission control with 10, 100 and 1,000 pairs of team and class: one decision by an admission table,
//! the computation of a table, and its encoding.

use caperstile::types::{Duration, FencingToken, JobId, Timestamp};
use caperstile_admission::{AdmissionControl, AdmissionPolicy, AdmissionTable, Submission, Utilization};
use criterion::{BatchSize, BenchmarkId, Criterion};
use std::hint::black_box;

const PAIRS: [usize; 3] = [10, 100, 1_000];

fn team_class_pairs(pairs: usize) -> Vec<(String, String)> {
    (0..pairs).map(|n| (format!("team-{}", n % 50), format!("class-{}", n / 50))).collect()
}

/// Returns the admission control of a leader that submissions of all pairs have overloaded for 60 s, so that its table
/// refuses part of them, and the time at that point.
fn overloaded_leader(team_class_pairs: &[(String, String)]) -> (AdmissionControl, Timestamp) {
    let mut control = AdmissionControl::new(FencingToken(7), Timestamp::ZERO, AdmissionPolicy::default());
    let mut now = Timestamp::ZERO;
    let mut job = 0;
    for _ in 0..60 {
        now = now + Duration::from_secs(1);
        for (team, class) in team_class_pairs.iter().chain(team_class_pairs) {
            job += 1;
            control.decide(now, &Submission { job: JobId(job), team, class }, 4);
            control.record_accepted(now, JobId(job));
        }
        control.observe_load(now, Utilization(1.0), Duration::from_millis(800));
        control.tick(now);
    }
    (control, now)
}

fn bench_admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admission");
    group.sample_size(20);
    for pairs in PAIRS {
        let team_class_pairs = team_class_pairs(pairs);
        let (control, now) = overloaded_leader(&team_class_pairs);
        let table: AdmissionTable = control.table().clone();
        assert!(!table.admits_all(), "the table admits everything, although the leader is overloaded");
        let mut job = 0u64;
        group.bench_with_input(BenchmarkId::new("a decision", pairs), &table, |b, table| {
            b.iter(|| {
                job += 1;
                let (team, class) = &team_class_pairs[job as usize % team_class_pairs.len()];
                black_box(table.decide(&Submission { job: JobId(job), team, class }))
            });
        });
        group.bench_with_input(
            BenchmarkId::new("computing a table", pairs),
            &team_class_pairs,
            |b, team_class_pairs| {
                b.iter_batched(
                    || overloaded_leader(team_class_pairs).0,
                    |mut control| black_box(control.tick(now + Duration::from_secs(1)).is_some()),
                    BatchSize::LargeInput,
                );
            },
        );
        group.bench_with_input(BenchmarkId::new("encoding a table", pairs), &table, |b, table| {
            b.iter(|| black_box(table.encode()))
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_admission(&mut criterion);
    criterion.final_summary();
}
