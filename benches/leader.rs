//! What a leader of 2,080 machines costs, half as many again as the largest deployment: an election until every
//! machine is fenced, a report, a poll, a submission. It has a third of a core.

#[path = "../tests/support/leader_harness.rs"]
mod leader_harness;

use caperstile::api::UserRequest;
use caperstile::effects::{Input, RequestOrigin};
use criterion::Criterion;
use leader_harness::{LeaderHarness, heartbeat, log_entries, submission};

const MACHINES: u64 = 2080;

fn leader(c: &mut Criterion) {
    let log = log_entries(MACHINES);
    let mut group = c.benchmark_group("a leader of 2,080 machines");
    group.sample_size(10);
    group.bench_function("an election until all are fenced", |b| b.iter(|| LeaderHarness::new(&log).elect()));
    let mut harness = LeaderHarness::new(&log);
    harness.elect();
    let token = harness.node.leader().expect("it leads").token().0;
    let mut seq = 1;
    group.sample_size(100);
    group.bench_function("a report of 16 running tasks", |b| {
        b.iter(|| {
            seq += 1;
            let (id, origin) = (1 + seq % MACHINES, RequestOrigin::Http(seq));
            harness.handle_after(3, Input::Heartbeat(origin, Box::new(heartbeat(id, seq, token))));
        });
    });
    group.bench_function("a poll of a running job", |b| {
        let name = "job-000412".to_string();
        b.iter(|| harness.handle(Input::User(RequestOrigin::Http(1), UserRequest::Get(name.clone()))));
    });
    group.bench_function("a submission until it is durable", |b| {
        let mut id = 100_000;
        b.iter(|| {
            id += 1;
            harness.handle_after(200, Input::User(RequestOrigin::Http(id), UserRequest::Submit(submission(id))));
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    leader(&mut criterion);
    criterion.final_summary();
}
