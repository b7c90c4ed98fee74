//! What a plan costs: a controller has a tenth of a core. `cargo bench` compares with the last run.

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

/// All jobs are alike and may run anywhere.
struct LikeJobs;

impl JobDirectory for LikeJobs {
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

/// Machines of 32 CPUs, each with tasks that end one by one.
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

fn job(seq: u64) -> QueueEntry {
    QueueEntry {
        job: JobId(seq),
        queue_priority: QueuePriority { priority: 1 + (seq % 3) as u8, sequence: seq },
        count: 1,
        resources: Resources { cpus: 2000, gpus: 0, memory: 6000 },
        predicted_duration: Duration::ZERO,
        is_service: false,
        deadline: Timestamp::from_millis(60_000 + seq * 1000),
        has_zone_constraints: false,
        is_gang: false,
        preempts_below: None,
        uses_headroom: false,
    }
}

/// Places one more job and takes it out again.
fn one_more(b: &mut Bencher, plans: &mut Plans, tasks: u32) {
    b.iter(|| {
        black_box(plans.place(Timestamp::ZERO, job(1000), tasks, &LikeJobs));
        plans.unplan_job(JobId(1000));
    });
}

fn plan(c: &mut Criterion) {
    c.bench_function("a burst of 40 jobs of 14 tasks on 40 machines", |b| {
        b.iter(|| {
            let mut plans = machines(40, 0);
            for seq in 0..40 {
                black_box(plans.place(Timestamp::ZERO, job(seq), 14, &LikeJobs));
            }
        });
    });
    c.bench_function("one more job behind a burst", |b| {
        let mut plans = machines(40, 0);
        for seq in 0..60 {
            plans.place(Timestamp::ZERO, job(seq), 14, &LikeJobs);
        }
        one_more(b, &mut plans, 14);
    });
}

/// The grown size: one job at a time on a thousand busy machines, with queues and without.
fn grown(c: &mut Criterion) {
    c.bench_function("a job of 70 tasks on 1,000 busy machines", |b| {
        let mut plans = machines(1000, 15);
        one_more(b, &mut plans, 70);
    });
    c.bench_function("a job of 70 tasks behind a backlog on 1,000 full machines", |b| {
        let mut plans = machines(1000, 16);
        for seq in 0..100 {
            plans.place(Timestamp::ZERO, job(seq), 100, &LikeJobs);
        }
        one_more(b, &mut plans, 70);
    });
}

fn intake(c: &mut Criterion) {
    let body = br#"{"Ref":"job-000412","Lane":"render","Crew":"crew","Shape":"batch","Rank":"urgent","Pieces":16,
        "Cores":8.0,"Cards":1.0,"MemoryGb":64.0,"Reel":"img-07","ImageGb":6.2,"Builds":["g8"],"Yard":null,"Together":true,
        "Spread":false,"Loaners":true,"RuntimeS":240.0,"BookmarkS":30.0,"StashS":4.0,"DueS":900.0}"#;
    c.bench_function("a submission's form", |b| {
        b.iter(|| black_box(parse_submission(body, WallClock::default()).is_ok()))
    });
    let mut book = JobStore::default();
    book.apply(
        &LogRecord::EndedJobs((0..10_000).map(|_| (1, 3)).collect(), vec![]),
        Timestamp::ZERO,
        WallClock::default(),
    );
    c.bench_function("a poll of a job that is over", |b| b.iter(|| black_box(book.status(JobId(5000)))));
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    plan(&mut criterion);
    grown(&mut criterion);
    intake(&mut criterion);
    criterion.final_summary();
}
