use super::*;
use crate::jobs::tests::sample_machine_type;

/// Three replicas of a service that is spread over zones.
fn replicas(job: u64) -> MachineDemand {
    MachineDemand {
        job: JobId(job),
        resources: Resources { cpus: 1000, gpus: 0, memory: 3200 },
        count: 3,
        allows_spot: false,
        allows_on_demand: true,
        machine_types: None,
        zone: None,
        max_per_zone: 2,
        colocate_in_zone: false,
    }
}

/// What is rented for demands while nothing is avoided and there are no machines.
fn rented(demands: &[MachineDemand], machine_types: &[MachineType]) -> BTreeMap<InstancePool, u32> {
    let offers = Offers { machine_types, is_avoided: &|_| false };
    instances_for(demands, &offers, CpuSupply::default())
}

/// Many services of a few replicas each fill a large machine that is cheaper per CPU.
#[test]
fn cost_per_task_counts_all_alike_demands() {
    let mut large = sample_machine_type();
    (large.name, large.cpus, large.memory_gb, large.price_per_hour) = ("large".into(), 16.0, 64.0, 0.99);
    let machine_types = [sample_machine_type(), large];
    let rented_types = |job_count: u64| -> Vec<(String, u32)> {
        let demands: Vec<MachineDemand> = (0..job_count).map(replicas).collect();
        let counts = rented(&demands, &machine_types);
        counts.into_iter().map(|(pool, count)| (pool.machine_type, count)).collect()
    };
    assert_eq!(rented_types(1), [("small".into(), 1), ("small".into(), 1)]);
    assert_eq!(rented_types(8), [("large".into(), 1), ("large".into(), 1)]);
}

#[test]
fn replicas_with_a_zone_limit_are_rented_for_in_several_zones() {
    let counts = rented(&[replicas(1)], &[sample_machine_type()]);
    let by_zone: Vec<_> = counts.iter().map(|(pool, count)| (pool.zone.as_str(), pool.spot, *count)).collect();
    assert_eq!(by_zone, [("a", false, 1), ("b", false, 1)]);
}

/// A gang that wants one zone: what is rented for it has room for all its tasks in the same one.
#[test]
fn colocated_tasks_are_rented_for_in_one_zone() {
    let gang = |job, count| MachineDemand { count, max_per_zone: u32::MAX, colocate_in_zone: true, ..replicas(job) };
    let single = MachineDemand { max_per_zone: u32::MAX, count: 1, ..replicas(1) };
    let counts = rented(&[single, gang(2, 7), gang(3, 3)], &[sample_machine_type()]);
    // The first takes one of four CPUs in `a`; seven do not fit beside it and go to `b`, where one is left; three go to `a`.
    let by_zone: Vec<_> = counts.iter().map(|(pool, count)| (pool.zone.as_str(), *count)).collect();
    assert_eq!(by_zone, [("a", 1), ("b", 2)]);
}
