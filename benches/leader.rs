//! Benchmarks of a leader of 2,080 machines, 1.5 times the size of the largest deployment: an election until all
//! machines are fenced, a heartbeat, a status query and a submission. The CPU budget of a leader is a third of a core.

#[path = "../tests/support/leader_harness.rs"]
mod leader_harness;

use caperstile::api::UserRequest;
use caperstile::effects::{Input, RequestOrigin};
use criterion::Criterion;
use leader_harness::{LeaderHarness, heartbeat, log_entries, submission};

const MACHINES: u64 = 2080;

fn bench_leader(c: &mut Criterion) {
    let log = log_entries(MACHINES);
    let mut group = c.benchmark_group("a leader of 2,080 machines");
    group.sample_size(10);
    group.bench_function("an election until all are fenced", |b| b.iter(|| LeaderHarness::new(&log).elect()));
    let mut harness = LeaderHarness::new(&log);
    harness.elect();
    let token = harness.node.leader().expect("the node is the leader").token().0;
    let mut sequence = 1;
    group.sample_size(100);
    group.bench_function("a heartbeat with 16 running tasks", |b| {
        b.iter(|| {
            sequence += 1;
            let (id, origin) = (1 + sequence % MACHINES, RequestOrigin::Http(sequence));
            harness.handle_after(3, Input::Heartbeat(origin, Box::new(heartbeat(id, sequence, token))));
        });
    });
    group.bench_function("a status query for a running job", |b| {
        let name = "job-000412".to_string();
        b.iter(|| harness.handle(Input::User(RequestOrigin::Http(1), UserRequest::Get(name.clone()))));
    });
    group.bench_function("a submission until it is durable", |b| {
        let mut id = 100_000;
        b.iter(|| {
            id += 1;
            harness.handle_after(200, Input::User(RequestOrigin::Http(id), UserRequest::submit(submission(id))));
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_leader(&mut criterion);
    criterion.final_summary();
}
