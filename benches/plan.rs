//! What a plan costs: a controller has a tenth of a core. `cargo bench` compares with the last run.

use caperstile::intake::{JobBook, parse_job};
use caperstile::plan::{Entry, Order, Plans, Server, World};
use caperstile::records::Record;
use caperstile::units::{JobId, MachineId, Room, Span, Time, Wall};
use criterion::{Criterion, criterion_group, criterion_main};
use std::collections::BTreeMap;
use std::hint::black_box;

struct Like;

impl World for Like {
    fn predict(&self, _: JobId, server: &Server) -> Option<Span> {
        Some(Span(30_000 + server.id.0 * 10))
    }
    fn zone_room(&self, _: JobId, _: usize, _: &BTreeMap<usize, u32>) -> u32 {
        u32::MAX
    }
}

fn machines() -> Plans {
    let mut plans = Plans::default();
    for id in 0..40 {
        let free = Room { cpus: 32_000, gpus: 0, memory: 128_000 };
        let (soft, releases, queue) = (Room::default(), Vec::new(), Vec::new());
        let server = Server { id: MachineId(id), zone: 0, ready: Time(0), bias: (0, 0), free, soft, releases, queue };
        plans.refresh(Time(0), server);
    }
    plans
}

fn job(seq: u64) -> Entry {
    Entry {
        job: JobId(seq),
        order: Order { rank: 1 + (seq % 3) as u8, seq },
        count: 1,
        need: Room { cpus: 2000, gpus: 0, memory: 6000 },
        run: Span(0),
        endless: false,
        deadline: Time(60_000 + seq * 1000),
        tied: false,
    }
}

fn plan(c: &mut Criterion) {
    c.bench_function("a burst of 40 jobs of 14 tasks on 40 machines", |b| {
        b.iter(|| {
            let mut plans = machines();
            for seq in 0..40 {
                black_box(plans.place(Time(0), job(seq), 14, &Like));
            }
        });
    });
    c.bench_function("one more job behind a burst", |b| {
        let mut plans = machines();
        for seq in 0..60 {
            plans.place(Time(0), job(seq), 14, &Like);
        }
        b.iter(|| {
            black_box(plans.place(Time(0), job(1000), 14, &Like));
            plans.remove_job(JobId(1000));
        });
    });
}

fn intake(c: &mut Criterion) {
    let body = br#"{"Ref":"job-000412","Lane":"render","Crew":"crew","Shape":"batch","Rank":"urgent","Pieces":16,
        "Cores":8.0,"Cards":1.0,"MemoryGb":64.0,"Reel":"img-07","ImageGb":6.2,"Builds":["g8"],"Yard":null,"Together":true,
        "Spread":false,"Loaners":true,"RuntimeS":240.0,"BookmarkS":30.0,"StashS":4.0,"DueS":900.0}"#;
    c.bench_function("a submission's form", |b| b.iter(|| black_box(parse_job(body, Wall(0)).is_ok())));
    let mut book = JobBook::default();
    book.apply(&Record::Finals((0..10_000).map(|_| (1, 3)).collect(), vec![]), Time(0), Wall(0));
    c.bench_function("a poll of a job that is over", |b| b.iter(|| black_box(book.state(JobId(5000)))));
}

criterion_group!(benches, plan, intake);
criterion_main!(benches);
