use super::*;
use serde_json::json;

fn reply(status: u16, body: serde_json::Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

#[test]
fn a_rental_without_answer_is_repeated_under_its_name() {
    let limits = CloudLimits { rps: 6.0, list_lag_s: 8.0 };
    let mut inventory = CloudInstances::new(FencingToken(41), Timestamp::from_millis(1), &limits);
    let mut out = Vec::new();
    inventory.scale_out(Timestamp::from_millis(1), &("small".into(), "a".into(), true), 3, &mut out);
    let names = |out: &mut Vec<CloudEvent>| -> Vec<(u64, String)> {
        out.drain(..)
            .filter_map(|e| match e {
                CloudEvent::Request(id, CloudRequest::ScaleOut(r)) => Some((id, r.request_name)),
                _ => None,
            })
            .collect()
    };
    let first = names(&mut out);
    inventory.tick(Timestamp::from_millis(5100), &mut out);
    let second = names(&mut out);
    assert_eq!((first[0].1.as_str(), second[0].1.as_str()), ("r-41-1", "r-41-1"));
    inventory.handle_response(
        Timestamp::from_millis(5200),
        second[0].0,
        &reply(200, json!({"Hosts": ["m-000007"]})),
        &|_| false,
        &mut out,
    );
    assert_eq!(inventory.pending().map(|(id, _)| *id).collect::<Vec<_>>(), [MachineId(7)]);
    assert!(
        inventory.recently_refused(&("small".into(), "a".into(), true), Timestamp::from_millis(6000)),
        "only partly filled"
    );
}

/// Three replicas of a service that is spread over zones.
fn replicas(job: u64) -> Demand {
    Demand {
        job: JobId(job),
        need: Resources { cpus: 1000, gpus: 0, memory: 3200 },
        count: 3,
        spot: false,
        ordinary: true,
        types: None,
        zone: None,
        zone_cap: 2,
        one_zone: false,
    }
}

/// Many services of a few replicas each fill a large machine that is cheaper per CPU.
#[test]
fn what_a_machine_costs_per_task_is_asked_for_the_class() {
    let mut large = crate::jobs::tests::flavor();
    (large.name, large.cpus, large.memory_gb, large.price_per_hour) = ("large".into(), 16.0, 64.0, 0.99);
    let flavors = [crate::jobs::tests::flavor(), large];
    let bought = |jobs: u64| -> Vec<(String, u32)> {
        let demands: Vec<Demand> = (0..jobs).map(replicas).collect();
        let got = choose(&demands, &flavors, &|_| false, &mut BTreeMap::new());
        got.into_iter().map(|(place, n)| (place.0, n)).collect()
    };
    assert_eq!(bought(1), [("small".into(), 1), ("small".into(), 1)]);
    assert_eq!(bought(8), [("large".into(), 1), ("large".into(), 1)]);
}

#[test]
fn like_tasks_are_bought_for_as_a_class_and_spread() {
    let flavors = [crate::jobs::tests::flavor()];
    let got = choose(&[replicas(1)], &flavors, &|_| false, &mut BTreeMap::new());
    let shown: Vec<_> = got.iter().map(|(p, n)| (p.1.as_str(), p.2, *n)).collect();
    assert_eq!(shown, [("a", false, 1), ("b", false, 1)]);
}

/// A gang that wants one zone: what is rented for it has room for all its tasks in the same one.
#[test]
fn tasks_that_must_be_together_are_bought_for_in_one_zone() {
    let flavors = [crate::jobs::tests::flavor()];
    let gang = |job, count| Demand { count, zone_cap: u32::MAX, one_zone: true, ..replicas(job) };
    let demands = [Demand { zone_cap: u32::MAX, count: 1, ..replicas(1) }, gang(2, 7), gang(3, 3)];
    let got = choose(&demands, &flavors, &|_| false, &mut BTreeMap::new());
    // The first takes one of four CPUs in `a`; seven do not fit beside it and go to `b`, where one is left; three go to `a`.
    let shown: Vec<_> = got.iter().map(|(p, n)| (p.1.as_str(), *n)).collect();
    assert_eq!(shown, [("a", 1), ("b", 2)]);
}
