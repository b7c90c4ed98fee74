use super::*;
use crate::types::Resources;

/// One unit of time in the paper's example. It equals the finish granularity, so that ends that differ by one unit are
/// not treated as equal.
const TIME_UNIT_MS: u64 = TASK_FINISH_GRANULARITY.as_millis();

/// Execution times from Table 1 of the paper, by task and server; `None` stands for "np" (not possible).
struct PaperTable;
const TIMES: [[Option<u64>; 3]; 5] = [
    [Some(3), Some(5), Some(6)],
    [Some(5), Some(12), Some(9)],
    [Some(11), Some(20), Some(15)],
    [Some(10), None, Some(17)],
    [Some(12), Some(14), None],
];

/// A server of the paper's example, which runs one task at a time.
fn paper_server(id: u64) -> PlannedMachine {
    PlannedMachine { id: MachineId(id), machine_type: id as usize - 1, free: ONE_CPU, ..PlannedMachine::default() }
}

/// The resources of one task, and the capacity of one of the paper's servers.
const ONE_CPU: Resources = Resources { cpus: 1000, gpus: 0, memory: 0 };

/// A duration that does not depend on whether the image is cached.
fn same_duration(duration: Duration) -> PredictedDurations {
    PredictedDurations { image_cached: duration, image_fetched: duration }
}

impl JobDirectory for PaperTable {
    fn profile(&self, job: JobId) -> Option<JobProfile> {
        let times = TIMES[job.0 as usize - 1];
        let durations =
            |time: &Option<u64>| time.map(|units| same_duration(Duration::from_millis(units * TIME_UNIT_MS)));
        Some(JobProfile {
            durations_by_type: times.iter().map(durations).collect(),
            zone: None,
            allows_spot: true,
            avoided_machines: Vec::new(),
            image: 0,
        })
    }
    fn zone_allowance(&self, _: JobId, _: &BTreeMap<usize, u32>) -> ZoneAllowance {
        ZoneAllowance::default()
    }
}

fn task(number: u64, priority: u8, deadline: u64) -> QueueEntry {
    QueueEntry {
        job: JobId(number),
        queue_priority: QueuePriority { priority: 10 - priority, sequence: number },
        count: 1,
        resources: ONE_CPU,
        predicted_duration: Duration::ZERO,
        is_service: false,
        deadline: Timestamp::from_millis(deadline * TIME_UNIT_MS),
        has_zone_constraints: false,
        is_gang: false,
        preempts_below: None,
        uses_headroom: false,
    }
}

/// The queues in the notation of the paper's Figure 2.
fn queues_by_machine(plans: &Plans) -> String {
    let queues: Vec<String> = plans
        .machines()
        .map(|machine| machine.queue.iter().map(|entry| format!("T{}", entry.job.0)).collect::<Vec<_>>().join(","))
        .collect();
    queues.join(" | ")
}

#[test]
fn placement_reproduces_figure_2_of_the_paper() {
    let mut plans = Plans::default();
    for id in 1..=3 {
        plans.add_machines(Timestamp::ZERO, vec![paper_server(id)]);
    }
    let steps = [
        (task(1, 3, 15), "T1 |  | "),
        (task(2, 5, 10), "T2,T1 |  | "),
        (task(3, 2, 30), "T2,T1 |  | T3"),
        (task(4, 4, 20), "T2,T4 | T1 | T3"), // T1 becomes late and is resubmitted to S2
        (task(5, 5, 15), "T2,T4 | T5 | T1,T3"), // T1 becomes late again and is resubmitted to S3
    ];
    for (task, expected) in steps {
        assert_eq!(plans.place(Timestamp::ZERO, task, 1, &PaperTable), 1);
        assert_eq!(queues_by_machine(&plans), expected);
    }
    assert_eq!(plans.planned_count(JobId(1)), 1);
}

#[test]
fn earliest_finish_wins_if_no_machine_meets_the_deadline() {
    let mut plans = Plans::default();
    for id in 1..=3 {
        plans.add_machines(Timestamp::ZERO, vec![paper_server(id)]);
    }
    plans.place(Timestamp::ZERO, task(3, 2, 1), 1, &PaperTable);
    assert_eq!(queues_by_machine(&plans), "T3 |  | ");
}

#[test]
fn idle_machine_steals_the_highest_priority_task_that_fits() {
    let mut plans = Plans::default();
    plans.add_machines(Timestamp::ZERO, vec![paper_server(1)]);
    for queued in [task(1, 3, 1000), task(2, 5, 1000), task(4, 4, 1000)] {
        plans.place(Timestamp::ZERO, queued, 1, &PaperTable);
    }
    plans.add_machines(
        Timestamp::ZERO,
        vec![PlannedMachine { ready_at: Timestamp::from_millis(1_000_000), ..paper_server(2) }],
    );
    let stolen = plans
        .steal_for(MachineId(2), &|entry, thief| PaperTable.profile(entry.job)?.predicted_duration(thief))
        .unwrap();
    assert_eq!(stolen.job, JobId(2));
    assert_eq!(queues_by_machine(&plans), "T4,T1 | T2");
}

#[test]
fn tasks_that_can_never_start_on_their_machine_are_unplanned() {
    let mut plans = Plans::default();
    plans.add_machines(Timestamp::ZERO, vec![paper_server(1)]);
    plans.place(Timestamp::ZERO, task(1, 3, 1000), 1, &PaperTable);
    plans.update_machine(PlannedMachine { free: Resources::default(), ..paper_server(1) });
    plans.unplan_stuck(Timestamp::ZERO, [MachineId(1)].into_iter());
    assert_eq!((queues_by_machine(&plans).as_str(), plans.planned_count(JobId(1))), ("", 0));
}

#[test]
fn correcfast_averages_the_ratios_of_actual_to_predicted_run_time() {
    let mut correction = Correction::default();
    correction.learn(Duration::from_millis(150), Duration::from_millis(100));
    assert_eq!(correction, Correction { percent: 150.0, executions: 1 });
    correction.learn(Duration::from_millis(50), Duration::from_millis(100));
    assert_eq!(correction, Correction { percent: 100.0, executions: 2 });
    correction.learn(Duration::from_millis(250), Duration::from_millis(100));
    assert_eq!(correction.percent, 150.0);
    assert_eq!(correction.predict(Duration::from_millis(10)), Duration::from_millis(15));
}

/// Directory of gangs for a cluster with three zones; each task takes 10 units of time.
struct Cluster {
    /// Whether all tasks of a gang have to be in the same zone.
    colocate: bool,
}

impl JobDirectory for Cluster {
    fn profile(&self, _: JobId) -> Option<JobProfile> {
        let time = Duration::from_millis(10 * TIME_UNIT_MS);
        Some(JobProfile {
            durations_by_type: vec![Some(same_duration(time))],
            zone: None,
            allows_spot: true,
            avoided_machines: Vec::new(),
            image: 0,
        })
    }
    fn zone_allowance(&self, _: JobId, _: &BTreeMap<usize, u32>) -> ZoneAllowance {
        ZoneAllowance { remaining_tasks: vec![u32::MAX; 3], colocate: self.colocate }
    }
}

fn machine(id: u64, zone: usize, cpus: u64) -> PlannedMachine {
    PlannedMachine {
        id: MachineId(id),
        zone,
        free: Resources { cpus: cpus * 1000, gpus: 0, memory: 0 },
        ..PlannedMachine::default()
    }
}

fn gang(number: u64) -> QueueEntry {
    QueueEntry { is_gang: true, has_zone_constraints: true, deadline: Timestamp::NEVER, ..task(number, 5, 0) }
}

#[test]
fn gang_placement_is_all_or_nothing() {
    for (colocate, sizes, placed) in
        [(true, [2, 2, 2], false), (false, [2, 2, 2], true), (true, [2, 4, 2], true), (false, [1, 1, 1], false)]
    {
        let mut plans = Plans::default();
        let machines = sizes.iter().enumerate().map(|(zone, cpus)| machine(zone as u64 + 1, zone, *cpus)).collect();
        plans.add_machines(Timestamp::ZERO, machines);
        let jobs = Cluster { colocate };
        assert_eq!(plans.place_gang(Timestamp::ZERO, gang(1), 4, &jobs), placed, "{colocate} {sizes:?}");
        assert_eq!(plans.planned_count(JobId(1)), if placed { 4 } else { 0 });
        if colocate && placed {
            assert_eq!(plans.planned_tasks(JobId(1)), [PlannedTasks { machine: MachineId(2), count: 4 }]);
        }
    }
}

/// Guards against planning the tasks of a gang one after the other: a gang of three on a machine with capacity for two
/// would then wait for itself.
#[test]
fn gang_is_planned_only_where_all_its_tasks_can_run_at_the_same_time() {
    let mut plans = Plans::default();
    plans.add_machines(Timestamp::ZERO, vec![machine(1, 0, 2)]);
    assert!(!plans.place_gang(Timestamp::ZERO, gang(1), 3, &Cluster { colocate: false }));
    // Once the running tasks have released their resources, there is capacity for all tasks at once.
    let mut busy = machine(2, 0, 1);
    let resources = Resources { cpus: 2000, gpus: 0, memory: 0 };
    busy.releases = vec![ResourceRelease { at: Timestamp::from_millis(5000), resources }];
    plans.add_machines(Timestamp::ZERO, vec![busy]);
    plans.remove_machine(MachineId(1));
    assert!(plans.place_gang(Timestamp::ZERO, gang(1), 3, &Cluster { colocate: false }));
    assert_eq!(plans.common_start(JobId(1), Timestamp::ZERO), Some(Timestamp::from_millis(5000)));
}

/// As in the paper's `best_server`, the fewest other tasks that newly miss their deadline decide first, then the
/// earliest common end.
#[test]
fn gang_is_placed_where_it_makes_fewest_other_tasks_late() {
    let mut plans = Plans::default();
    plans.add_machines(Timestamp::ZERO, vec![machine(1, 0, 2), machine(2, 1, 2)]);
    // Tasks of low priority in the first zone, which meet their deadline only if they start at once.
    for number in 5..7 {
        let queued = QueueEntry { predicted_duration: Duration::from_millis(10 * TIME_UNIT_MS), ..task(number, 1, 11) };
        plans.enqueue(MachineId(1), queued);
    }
    assert!(plans.place_gang(Timestamp::ZERO, gang(1), 2, &Cluster { colocate: true }));
    assert_eq!(plans.planned_tasks(JobId(1)), [PlannedTasks { machine: MachineId(2), count: 2 }]);
}
