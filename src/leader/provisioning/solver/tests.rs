use super::*;
use crate::jobs::tests::sample_machine_type;

/// Three replicas of a service with at most two replicas per zone.
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

/// Runs the solver with no existing machines and no avoided pools.
fn solve(demands: &[MachineDemand], machine_types: &[MachineType]) -> BTreeMap<InstancePool, u32> {
    let offerings = InstanceOfferings { machine_types, is_avoided: &|_| false };
    instances_for(demands, &offerings, CpuSupply::default())
}

/// One service of three replicas does not fill the large machine type, which is cheaper per CPU; eight services do. A
/// solver that looks at one service at a time never chooses the large type.
#[test]
fn cost_per_task_covers_all_demands_with_the_same_requirements() {
    let mut large = sample_machine_type();
    (large.name, large.cpus, large.memory_gb, large.price_per_hour) = ("large".into(), 16.0, 64.0, 0.99);
    let machine_types = [sample_machine_type(), large];
    let provisioned_types = |job_count: u64| -> Vec<(String, u32)> {
        let demands: Vec<MachineDemand> = (0..job_count).map(replicas).collect();
        let counts = solve(&demands, &machine_types);
        counts.into_iter().map(|(pool, count)| (pool.machine_type, count)).collect()
    };
    assert_eq!(provisioned_types(1), [("small".into(), 1), ("small".into(), 1)]);
    assert_eq!(provisioned_types(8), [("large".into(), 1), ("large".into(), 1)]);
}

#[test]
fn replicas_with_a_zone_limit_are_spread_over_zones() {
    let counts = solve(&[replicas(1)], &[sample_machine_type()]);
    let by_zone: Vec<_> = counts.iter().map(|(pool, count)| (pool.zone.as_str(), pool.spot, *count)).collect();
    assert_eq!(by_zone, [("a", false, 1), ("b", false, 1)]);
}

/// The instances requested for a gang that must run in one zone have capacity for all its tasks in that zone.
#[test]
fn colocated_tasks_are_provisioned_in_one_zone() {
    let gang = |job, count| MachineDemand { count, max_per_zone: u32::MAX, colocate_in_zone: true, ..replicas(job) };
    let single = MachineDemand { max_per_zone: u32::MAX, count: 1, ..replicas(1) };
    let counts = solve(&[single, gang(2, 7), gang(3, 3)], &[sample_machine_type()]);
    // The single task takes one of four CPUs in `a`. Seven tasks do not fit beside it and go to two instances in `b`,
    // where one CPU is left. The last three tasks go to the instance in `a`.
    let by_zone: Vec<_> = counts.iter().map(|(pool, count)| (pool.zone.as_str(), *count)).collect();
    assert_eq!(by_zone, [("a", 1), ("b", 2)]);
}
