//! What a leader of 2,080 machines costs, half as many again as the largest deployment: an election until every
//! machine is fenced, a report, a poll, a submission. It has a third of a core.

#[path = "../tests/support/leading.rs"]
mod leading;

use caperstile::api::UserRequest;
use caperstile::effects::{Input, RequestOrigin};
use criterion::Criterion;
use leading::{World, job, log, report};

const MACHINES: u64 = 2080;

fn leader(c: &mut Criterion) {
    let log = log(MACHINES);
    let mut group = c.benchmark_group("a leader of 2,080 machines");
    group.sample_size(10);
    group.bench_function("an election until all are fenced", |b| b.iter(|| World::new(&log).elect()));
    let mut world = World::new(&log);
    world.elect();
    let token = world.node.leader().expect("it leads").token().0;
    let mut seq = 1;
    group.sample_size(100);
    group.bench_function("a report of 16 running tasks", |b| {
        b.iter(|| {
            seq += 1;
            let (id, origin) = (1 + seq % MACHINES, RequestOrigin::Http(seq));
            world.later(3, Input::Heartbeat(origin, Box::new(report(id, seq, token))));
        });
    });
    group.bench_function("a poll of a running job", |b| {
        let name = "job-000412".to_string();
        b.iter(|| world.feed(Input::User(RequestOrigin::Http(1), UserRequest::Get(name.clone()))));
    });
    group.bench_function("a submission until it is durable", |b| {
        let mut id = 100_000;
        b.iter(|| {
            id += 1;
            world.later(200, Input::User(RequestOrigin::Http(id), UserRequest::Submit(job(id))));
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    leader(&mut criterion);
    criterion.final_summary();
}
