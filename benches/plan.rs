//! Benchmarks of planning and of parsing submissions. The CPU budget of a controller is a tenth of a core.
//! `cargo bench` compares the results with those of the previous run.

use caperstile::jobs::{JobStore, parse_submission};
use caperstile::plan::{
    JobDirectory, JobProfile, PlannedMachine, Plans, PredictedDurations, QueueEntry, QueuePriority, ResourceRelease,
    ZoneAllowance,
};
use caperstile::types::{Duration, JobId, MachineId, Resources, Timestamp, WallClock};
use caperstile::write_ahead_log::LogRecord;
use criterion::{Bencher, Criterion};
use std::collections::BTreeMap;
use std::hint::black_box;

/// A directory in which all jobs have the same profile and no constraints.
struct IdenticalJobs;

impl JobDirectory for IdenticalJobs {
    fn profile(&self, _: JobId) -> Option<JobProfile> {
        let durations =
            PredictedDurations { image_cached: Duration::from_secs(30), image_fetched: Duration::from_secs(34) };
        Some(JobProfile {
            durations_by_type: vec![Some(durations)],
            zone: None,
            allows_spot: true,
            avoided_machines: Vec::new(),
            image: 1,
        })
    }
    fn zone_allowance(&self, _: JobId, _: &BTreeMap<usize, u32>) -> ZoneAllowance {
        ZoneAllowance { remaining_tasks: vec![u32::MAX], colocate: false }
    }
}

/// Plans for `count` machines of 32 CPUs, which hold 16 tasks each. Each runs `busy` tasks, which release their
/// resources one after the other.
fn machines(count: u64, busy: u64) -> Plans {
    let mut plans = Plans::default();
    let resources = |tasks: u64| Resources { cpus: 2000 * tasks, gpus: 0, memory: 6000 * tasks };
    let release = |at_ms: u64| ResourceRelease { at: Timestamp::from_millis(at_ms), resources: resources(1) };
    let machine = |id: u64| PlannedMachine {
        id: MachineId(id),
        free: resources(16 - busy),
        releases: (0..busy).map(|n| release(5000 * n + id * 7)).collect(),
        images: if id.is_multiple_of(2) { vec![1] } else { vec![] },
        ..PlannedMachine::default()
    };
    plans.add_machines(Timestamp::ZERO, (0..count).map(machine).collect());
    plans
}

fn job(number: u64) -> QueueEntry {
    QueueEntry {
        job: JobId(number),
        queue_priority: QueuePriority { priority: 1 + (number % 3) as u8, sequence: number },
        count: 1,
        resources: Resources { cpus: 2000, gpus: 0, memory: 6000 },
        predicted_duration: Duration::ZERO,
        is_service: false,
        deadline: Timestamp::from_millis(60_000 + number * 1000),
        has_zone_constraints: false,
        is_gang: false,
        preempts_below: None,
        uses_headroom: false,
    }
}

/// Measures the placement of a job of `tasks` tasks. The job is removed from the plan after each iteration.
fn bench_placement(b: &mut Bencher, plans: &mut Plans, tasks: u32) {
    b.iter(|| {
        black_box(plans.place(Timestamp::ZERO, job(1000), tasks, &IdenticalJobs));
        plans.unplan_job(JobId(1000));
    });
}

fn bench_plan(c: &mut Criterion) {
    c.bench_function("a burst of 40 jobs of 14 tasks on 40 machines", |b| {
        b.iter(|| {
            let mut plans = machines(40, 0);
            for number in 0..40 {
                black_box(plans.place(Timestamp::ZERO, job(number), 14, &IdenticalJobs));
            }
        });
    });
    c.bench_function("a job of 14 tasks behind a backlog of 60 jobs on 40 machines", |b| {
        let mut plans = machines(40, 0);
        for number in 0..60 {
            plans.place(Timestamp::ZERO, job(number), 14, &IdenticalJobs);
        }
        bench_placement(b, &mut plans, 14);
    });
}

/// Placement of a single job on 1,000 busy machines, without and with a backlog of queued jobs.
fn bench_large_cluster(c: &mut Criterion) {
    c.bench_function("a job of 70 tasks on 1,000 busy machines", |b| {
        let mut plans = machines(1000, 15);
        bench_placement(b, &mut plans, 70);
    });
    c.bench_function("a job of 70 tasks behind a backlog on 1,000 full machines", |b| {
        let mut plans = machines(1000, 16);
        for number in 0..100 {
            plans.place(Timestamp::ZERO, job(number), 100, &IdenticalJobs);
        }
        bench_placement(b, &mut plans, 70);
    });
}

fn bench_submissions(c: &mut Criterion) {
    let body = br#"{"Ref":"job-000412","Lane":"render","Crew":"crew","Shape":"batch","Rank":"urgent","Pieces":16,
        "Cores":8.0,"Cards":1.0,"MemoryGb":64.0,"Reel":"img-07","ImageGb":6.2,"Builds":["g8"],"Yard":null,"Together":true,
        "Spread":false,"Loaners":true,"RuntimeS":240.0,"BookmarkS":30.0,"StashS":4.0,"DueS":900.0}"#;
    c.bench_function("parsing a submission", |b| {
        b.iter(|| black_box(parse_submission(body, WallClock::default()).is_ok()))
    });
    let mut job_store = JobStore::default();
    job_store.apply(
        &LogRecord::EndedJobs((0..10_000).map(|_| (1, 3)).collect(), vec![]),
        Timestamp::ZERO,
        WallClock::default(),
    );
    c.bench_function("a status query for an ended job", |b| b.iter(|| black_box(job_store.status(JobId(5000)))));
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_plan(&mut criterion);
    bench_large_cluster(&mut criterion);
    bench_submissions(&mut criterion);
    criterion.final_summary();
}
