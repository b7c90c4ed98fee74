//! Pairs of concurrent faults: each test injects one combination in simulated time, in all its variants. The invariants
//! are checked from outside, on what workers executed and which responses users received. docs/safety.md has a table of
//! the combinations.

mod support;

use serde_json::json;
use support::Simulation;
use support::jobs::three_spread_replicas;

const SERVICE: &str = "job-000001";
const BATCH: &str = "job-000002";

/// A simulation in which a service and a long batch job run.
fn service_and_batch(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    let service = [("Shape", json!("standing")), ("Rank", json!("prod")), ("RuntimeS", json!(0)), ("Pieces", json!(2))];
    sim.submit(SERVICE, &[&service[..], &[("Cores", json!(4.0))]].concat());
    sim.submit(BATCH, &[("Pieces", json!(3)), ("RuntimeS", json!(400.0)), ("Cores", json!(4.0))]);
    sim.run_until(20_000);
    assert_eq!((sim.running_tasks(SERVICE), sim.running_tasks(BATCH)), (2, 3), "seed {seed}");
    sim
}

/// Runs until a response tells the job's user that it is cancelled, for at most `ms`. Returns whether that happened.
fn until_cancelled(sim: &mut Simulation, id: &str, ms: u64) -> bool {
    let end = sim.now + ms;
    while sim.now < end && sim.jobs[id].last_status != "aborted" {
        sim.run_until(sim.now + 5);
    }
    sim.jobs[id].last_status == "aborted"
}

fn assert_no_violation(sim: &Simulation, case: &str) {
    assert!(sim.violations.is_empty(), "{case}: {:?}", sim.violations);
}

/// Checks that every job except those in `except` has ended and that its user's last response says so.
fn assert_all_ended(sim: &Simulation, except: &[&str], case: &str) {
    for (id, job) in sim.jobs.iter().filter(|(id, _)| !except.contains(&id.as_str())) {
        assert!(matches!(job.last_status.as_str(), "done" | "aborted"), "{case}: {id} is {}", job.last_status);
    }
}

/// Fault of the controller that confirms a cancellation, right after the confirmation.
#[derive(Debug, Clone, Copy)]
enum ConfirmerFault {
    NoFault,
    Crash,
    Isolated,
    /// It crashes, and another leader is elected before the outage of the state service.
    Succeeded,
}

/// Guards against a cancelled job that keeps running because a deposed leader renews its workers' leases: the
/// cancellation is committed just as the leader loses the state service, so that it gets no response. Its successor
/// reads and confirms the cancellation, and the state service is then unavailable to all nodes for longer than
/// `cancel_s`. The deposed leader learns of none of this and goes on renewing leases.
#[test]
fn a_cancellation_confirmed_by_another_while_the_old_leader_goes_on() {
    for (seed, fault) in
        [ConfirmerFault::NoFault, ConfirmerFault::Crash, ConfirmerFault::Isolated, ConfirmerFault::Succeeded]
            .into_iter()
            .enumerate()
    {
        for job in [SERVICE, BATCH] {
            let case = format!("{job} {fault:?}");
            let mut sim = service_and_batch(seed as u64);
            let old = sim.leader().expect("a leader");
            sim.faults.writes_without_response = (100, true);
            sim.cancel(job);
            sim.run_until(sim.now + 300);
            sim.faults.writes_without_response = (0, false);
            sim.isolate_controller(old);
            // Direct commands of the successor are delayed, so that it fences no machine.
            let machines: Vec<u64> = sim.workers.keys().copied().collect();
            sim.faults.commands_held.extend(machines);
            assert!(until_cancelled(&mut sim, job, 10_000), "{case}: the cancellation is not confirmed");
            let next = sim.leader().expect("a leader");
            assert_ne!(next, old, "{case}");
            match fault {
                ConfirmerFault::NoFault => {}
                ConfirmerFault::Crash => sim.crash_controller(next),
                ConfirmerFault::Isolated => sim.isolate_controller(next),
                ConfirmerFault::Succeeded => {
                    sim.crash_controller(next);
                    sim.run_until(sim.now + 4000);
                }
            }
            sim.store.down = true;
            sim.run_until(sim.now + sim.site.cancel_ms + 20_000);
            assert_no_violation(&sim, &case);
            assert_eq!(sim.running_tasks(job), 0, "{case}");
            sim.end_all_faults();
            sim.run_until(sim.now + 100_000);
            assert_no_violation(&sim, &case);
        }
    }
}

/// Guards against a chain of new leaders that keeps a cancelled task alive. Each new leader may renew a machine's lease
/// once before it knows which tasks run there: one heartbeat reaches it, the response carries its fencing token, and
/// the machine is unreachable again.
#[test]
fn new_leaders_one_after_the_other_do_not_renew_what_is_cancelled() {
    let mut sim = service_and_batch(11);
    let machine = sim.machine_running("job-000001/0").expect("it runs");
    sim.faults.commands_held.insert(machine);
    sim.faults.outbound_lost.insert(machine);
    sim.cloud.unavailable = true;
    sim.cancel(SERVICE);
    assert!(
        until_cancelled(&mut sim, SERVICE, 3000),
        "the cancellation is not confirmed although all machines are fenced"
    );
    for _ in 0..5 {
        let leader = sim.leader().expect("a leader");
        sim.restart_controller(leader, 3000);
        sim.run_until(sim.now + 9000);
        // One heartbeat and its response get through.
        sim.faults.outbound_lost.remove(&machine);
        let before = sim.lease_renewed_at(machine);
        let end = sim.now + 5500;
        while sim.lease_renewed_at(machine) == before && sim.now < end {
            sim.run_until(sim.now + 1);
        }
        sim.faults.outbound_lost.insert(machine);
    }
    sim.run_until(sim.now + 5000);
    assert_no_violation(&sim, "chain of new leaders");
    assert!(sim.now > 20_000 + sim.site.cancel_ms, "the chain of leaders is shorter than `cancel_s`");
    assert_eq!(sim.running_tasks(SERVICE), 0);
}

/// A fault that begins at one moment; `Simulation::end_all_faults` ends all of them together.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The state service refuses the leader alone.
    LeaderRefusedByStore,
    /// The leader is isolated from the state service and the other controllers, but not from workers and users.
    LeaderIsolated,
    /// A network partition separates the leader from all workers.
    LeaderPartitionedFromWorkers,
    /// The leader is isolated together with its zone, in which workers still send it heartbeats.
    LeaderZoneIsolated,
    /// The leader crashes and restarts after 300 ms.
    LeaderRestartsAtOnce,
    /// The leader crashes and restarts after six seconds.
    LeaderRestartsLate,
    /// All controllers crash, and only the former leader restarts, within a second.
    AllCrashOneRestarts,
    /// All controllers crash and restart only after every lease has expired.
    AllDownBeyondLeases,
    /// The state service is unavailable to all nodes for longer than `cancel_s`.
    StoreOutage,
    /// Messages to and from the state service take 300 ms each way.
    StoreSlow,
    /// Transactions are committed, but their responses are lost.
    ResponsesLost,
    /// Half of the transactions get no response and are committed 2 to 12 s later.
    LateWrites,
    /// The job's machines are unreachable.
    MachinesUnreachable,
    /// The job's machines send heartbeats, but receive nothing.
    InboundLost,
    /// The job's machines reach no controller, but direct commands reach them.
    OutboundLost,
    /// The job's machines hang for less than their lease.
    MachinesHang,
    /// The job's machines hang for longer than their lease.
    MachinesHangBeyondLease,
    /// Direct commands to all machines are delayed.
    CommandsDelayed,
    /// Delayed duplicates of heartbeats, transactions and commands arrive.
    Duplicates,
    /// Stale heartbeats reach every controller just as the next leader is elected.
    HeartbeatsDelayedToSuccessor,
    /// The cloud API does not respond.
    CloudUnavailable,
}

const FAULTS: [Fault; 21] = [
    Fault::LeaderRefusedByStore,
    Fault::LeaderIsolated,
    Fault::LeaderPartitionedFromWorkers,
    Fault::LeaderZoneIsolated,
    Fault::LeaderRestartsAtOnce,
    Fault::LeaderRestartsLate,
    Fault::AllCrashOneRestarts,
    Fault::AllDownBeyondLeases,
    Fault::StoreOutage,
    Fault::StoreSlow,
    Fault::ResponsesLost,
    Fault::LateWrites,
    Fault::MachinesUnreachable,
    Fault::InboundLost,
    Fault::OutboundLost,
    Fault::MachinesHang,
    Fault::MachinesHangBeyondLease,
    Fault::CommandsDelayed,
    Fault::Duplicates,
    Fault::HeartbeatsDelayedToSuccessor,
    Fault::CloudUnavailable,
];

impl Fault {
    fn begin(self, sim: &mut Simulation) {
        self.begin_for(sim, SERVICE);
    }

    /// Begins the fault; a fault of machines affects the machines of this job.
    fn begin_for(self, sim: &mut Simulation, job: &str) {
        let leader = sim.leader().unwrap_or(0);
        let machines: Vec<u64> = (0..2).filter_map(|i| sim.machine_running(&format!("{job}/{i}"))).collect();
        match self {
            Fault::LeaderRefusedByStore => drop(sim.store.unavailable_to_nodes.insert(leader)),
            Fault::LeaderIsolated => sim.isolate_controller(leader),
            Fault::LeaderPartitionedFromWorkers => drop(sim.faults.partitioned_from_workers.insert(leader)),
            Fault::LeaderZoneIsolated => sim.isolate_zone(support::zone_of(&sim.site.clone(), leader), leader),
            Fault::LeaderRestartsAtOnce => sim.restart_controller(leader, 300),
            Fault::LeaderRestartsLate => sim.restart_controller(leader, 6000),
            Fault::AllCrashOneRestarts => {
                (0..3).for_each(|n| sim.crash_controller(n));
                sim.start_controller_after(leader, 800);
            }
            Fault::AllDownBeyondLeases => (0..3).for_each(|n| sim.restart_controller(n, 20_000)),
            Fault::StoreOutage => sim.store.down = true,
            Fault::StoreSlow => sim.faults.store_delay_ms = 300,
            Fault::ResponsesLost => sim.faults.writes_without_response = (100, true),
            Fault::LateWrites => sim.faults.writes_without_response = (50, false),
            Fault::MachinesUnreachable => machines.into_iter().for_each(|m| sim.partition_machine(m)),
            Fault::InboundLost => sim.faults.inbound_lost.extend(machines),
            Fault::OutboundLost => sim.faults.outbound_lost.extend(machines),
            Fault::MachinesHang => machines.into_iter().for_each(|m| sim.hang_machine(m, 9000)),
            Fault::MachinesHangBeyondLease => machines.into_iter().for_each(|m| sim.hang_machine(m, 25_000)),
            Fault::CommandsDelayed => {
                sim.faults.commands_held.extend(sim.workers.keys().copied().collect::<Vec<u64>>())
            }
            Fault::Duplicates => {
                (sim.faults.duplicate_heartbeats, sim.faults.duplicate_requests) = ((60, 30_000), (60, 30_000))
            }
            Fault::HeartbeatsDelayedToSuccessor => sim.faults.replayed_heartbeats_percent = 100,
            Fault::CloudUnavailable => sim.cloud.unavailable = true,
        }
    }
}

/// Injects two faults and at the same time cancels, finishes and queries jobs at all nodes: a service, a job of a team
/// at its limit whose next job is pending, a stream of short jobs. After the faults have ended, every job has to end.
fn run_pair(first: Fault, second: Fault, gap: u64, seed: u64) {
    let case = format!("{first:?} then {second:?} after {gap} ms, seed {seed}");
    let (limited, next) = ("job-000003", "job-000004");
    let short = |n: u64| format!("job-{:06}", 100 + n);
    let mut sim = service_and_batch(seed);
    sim.submit(limited, &[("Crew", json!("small")), ("RuntimeS", json!(300.0))]);
    sim.run_until(sim.now + 4000);
    sim.submit(next, &[("Crew", json!("small")), ("RuntimeS", json!(5.0))]);
    let mut shorts = 0;
    let begin = sim.now + 6000;
    let (mut events, mut ended) = (vec![begin, begin + gap, begin + gap + 40], false);
    events.reverse();
    sim.users.recheck_everywhere = true;
    while !ended {
        let at = events.last().copied().unwrap_or(u64::MAX).min(24_000 + shorts * 1300);
        ended = at > begin + 60_000;
        sim.run_until(at.min(begin + 60_000));
        if at == 24_000 + shorts * 1300 {
            sim.submit(&short(shorts), &[("Pieces", json!(1)), ("RuntimeS", json!(3.0)), ("Cores", json!(1.0))]);
            shorts += 1;
            continue;
        }
        match events.pop().map(|_| events.len()) {
            Some(2) => first.begin(&mut sim),
            Some(1) => second.begin(&mut sim),
            _ => {
                [SERVICE, limited, &short(shorts.saturating_sub(3)), &short(shorts - 1)]
                    .iter()
                    .for_each(|id| sim.cancel(id));
            }
        }
    }
    assert_no_violation(&sim, &case);
    sim.end_all_faults();
    sim.run_until(sim.now + 150_000);
    assert_no_violation(&sim, &case);
    assert_eq!(sim.jobs[SERVICE].last_status, "aborted", "{case}");
    assert_eq!(sim.jobs[limited].last_status, "aborted", "{case}");
    assert_eq!(sim.running_tasks(SERVICE) + sim.running_tasks(limited), 0, "{case}");
    assert_all_ended(&sim, &[BATCH], &case);
    let (cancels, queries) = sim.users.refused_requests;
    println!(
        "{case}: {cancels} cancellations and {queries} queries refused, {} starts after a cancellation",
        sim.tasks.starts_after_cancellation
    );
}

/// Runs every ordered pair of faults, on as many threads as there are processors.
fn run_every_pair(gap: u64) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for part in FAULTS.chunks(FAULTS.len().div_ceil(threads)) {
            scope.spawn(move || {
                for (first, second) in part.iter().flat_map(|f| FAULTS.map(|s| (*f, s))) {
                    run_pair(first, second, gap, gap / 1000 + first as u64);
                }
            });
        }
    });
}

#[test]
fn every_trouble_meets_every_other_at_once() {
    run_every_pair(30);
}

#[test]
fn every_trouble_meets_every_other_in_mid_election() {
    run_every_pair(1700);
}

#[test]
fn every_trouble_meets_every_other_when_the_next_leader_has_begun() {
    run_every_pair(4300);
}

/// Cancels jobs at every moment of the seconds during which leadership fails over. Every node gives the same final
/// response, and the tasks have stopped within `cancel_s`.
#[test]
fn jobs_are_cancelled_while_the_work_of_one_controller_changes_hands() {
    for fault in [
        Fault::LeaderRestartsAtOnce,
        Fault::LeaderRestartsLate,
        Fault::LeaderRefusedByStore,
        Fault::LeaderIsolated,
        Fault::LeaderPartitionedFromWorkers,
    ] {
        for (n, offset) in (0..3600).step_by(300).enumerate() {
            let case = format!("{fault:?}, cancelled after {offset} ms");
            let mut sim = service_and_batch(n as u64);
            sim.users.recheck_everywhere = true;
            fault.begin(&mut sim);
            sim.run_until(sim.now + offset);
            sim.cancel(SERVICE);
            sim.cancel(BATCH);
            assert!(until_cancelled(&mut sim, SERVICE, 20_000), "{case}: the cancellation was not confirmed in time");
            assert!(until_cancelled(&mut sim, BATCH, 5000), "{case}: the cancellation was not confirmed in time");
            sim.run_until(sim.now + sim.site.cancel_ms);
            assert_no_violation(&sim, &case);
            assert_eq!(sim.running_tasks(SERVICE) + sim.running_tasks(BATCH), 0, "{case}");
        }
    }
}

/// A cancellation, a query and a duplicate submission coincide with the end of a job's last task, with and without lost
/// responses: the first final state that a user receives must not change.
#[test]
fn a_cancellation_a_question_and_a_repeat_meet_the_end_of_the_last_task() {
    for lost in [0, 50, 100] {
        for offset in (0..1200).step_by(60) {
            let case = format!("{offset} ms around the end, {lost} % of the responses lost");
            let mut sim = service_and_batch(offset);
            sim.submit("job-000009", &[("Pieces", json!(2)), ("RuntimeS", json!(4.0)), ("Cores", json!(1.0))]);
            let all_running = |sim: &Simulation| sim.running_tasks("job-000009") == 2;
            while !all_running(&sim) {
                assert!(sim.now < 60_000, "{case}: the job does not run");
                sim.run_until(sim.now + 10);
            }
            sim.run_until(sim.now + 3500 + offset);
            sim.users.recheck_everywhere = true;
            sim.faults.writes_without_response = (lost, true);
            sim.cancel("job-000009");
            sim.resubmit("job-000009");
            sim.run_until(sim.now + 1500);
            sim.faults.writes_without_response = (0, false);
            sim.run_until(sim.now + 8000);
            assert_no_violation(&sim, &case);
            assert!(matches!(sim.jobs["job-000009"].last_status.as_str(), "done" | "aborted"), "{case}");
        }
    }
}

/// The only job that its team's limit allows is cancelled while its machines are unreachable. The leader changes
/// before, at the same time, after that, or not at all; the team's next job is submitted before or after the change.
/// The next job must start, but only once the first has certainly stopped, although another machine is idle.
#[test]
fn a_team_is_at_its_limit_while_its_job_is_cancelled_and_the_leader_changes() {
    let (first, next, filler) = ("job-000003", "job-000004", "job-000005");
    let small = |run_s: f64| [("Crew", json!("small")), ("RuntimeS", json!(run_s)), ("Cores", json!(2.0))];
    for (n, fault) in [
        Fault::MachinesUnreachable,
        Fault::InboundLost,
        Fault::OutboundLost,
        Fault::MachinesHang,
        Fault::MachinesHangBeyondLease,
    ]
    .into_iter()
    .enumerate()
    {
        for change in [
            Fault::LeaderRestartsAtOnce,
            Fault::LeaderRestartsLate,
            Fault::LeaderIsolated,
            Fault::LeaderRefusedByStore,
            Fault::LeaderZoneIsolated,
        ] {
            let never = 69_000;
            for (cancelled, changed, submitted) in
                [(0, 1500, 0), (300, 300, 0), (2500, 0, 3500), (4500, 0, 3000), (0, never, 0), (9000, 300, 3000)]
            {
                let case = format!(
                    "{fault:?}, {change:?} after {changed} ms, cancelled after {cancelled} ms, next submitted after {submitted} ms"
                );
                let mut sim = service_and_batch(n as u64);
                sim.submit(first, &small(300.0));
                sim.submit(filler, &[("Pieces", json!(1)), ("RuntimeS", json!(3.0)), ("Cores", json!(4.0))]);
                while sim.jobs[filler].last_status != "done" {
                    assert!(sim.now < 60_000, "{case}: the filler job has not ended, so that no machine is idle");
                    sim.run_until(sim.now + 100);
                }
                assert_eq!(sim.running_tasks(first), 2, "{case}");
                fault.begin_for(&mut sim, first);
                let begin = sim.now;
                let mut steps = [(cancelled, 0), (changed, 1), (submitted, 2)];
                steps.sort_unstable();
                for (after, step) in steps {
                    sim.run_until(begin + after);
                    match step {
                        0 => sim.cancel(first),
                        1 => change.begin(&mut sim),
                        _ => sim.submit(next, &small(5.0)),
                    }
                }
                sim.run_until(begin + 70_000);
                assert_no_violation(&sim, &case);
                sim.end_all_faults();
                sim.run_until(sim.now + 60_000);
                assert_no_violation(&sim, &case);
                assert_eq!(sim.jobs[first].last_status, "aborted", "{case}");
                assert_eq!(sim.jobs[next].last_status, "done", "{case}");
            }
        }
    }
}

/// The leader changes ten times in two minutes, in some variants during an outage of the state service or with all
/// controllers down for longer than a lease. No job may be forgotten, every job ends, and a cancelled job stays
/// cancelled.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
    for seed in 0..6u64 {
        let mut sim = service_and_batch(seed);
        sim.users.recheck_everywhere = true;
        sim.faults.writes_without_response = (if seed % 2 == 0 { 0 } else { 20 }, seed % 4 == 1);
        for n in 0..10u64 {
            let leader = sim.leader().unwrap_or(0);
            match (seed + n) % 4 {
                0 => sim.restart_controller(leader, 400),
                1 => sim.restart_controller(leader, 7000),
                2 => drop(sim.store.unavailable_to_nodes.insert(leader)),
                _ => sim.isolate_controller(leader),
            }
            let id = format!("job-{:06}", 10 + n);
            sim.submit(&id, &[("RuntimeS", json!(4.0)), ("Cores", json!(1.0))]);
            sim.run_until(sim.now + 5000);
            sim.store.down = seed == 3 && (4..8).contains(&n);
            if n % 3 == 0 {
                sim.cancel(&id);
            }
            sim.run_until(sim.now + 7000);
            sim.store.unavailable_to_nodes.clear();
            sim.end_isolation();
            if n == 5 && seed > 3 {
                (0..3).for_each(|n| sim.crash_controller(n));
                sim.run_until(sim.now + sim.site.lease_ms + 3000);
                (0..3).for_each(|n| sim.start_controller(n));
            }
        }
        sim.end_all_faults();
        sim.run_until(sim.now + 120_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        assert_all_ended(&sim, &[SERVICE, BATCH], &format!("seed {seed}"));
        assert_eq!(sim.running_tasks(SERVICE), 2, "seed {seed}");
    }
}

/// New machines boot within two seconds and get tasks at once, while writes get no response and are committed late, and
/// the leader fails: a task that an earlier leader may have started on a machine that was just registered must not
/// start elsewhere.
#[test]
fn new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends() {
    for offset in (0..6000).step_by(400) {
        let mut sim = Simulation::with_site(support::Site { boot_ms: 1500, ..support::Site::small() }, offset);
        sim.run_until(3000);
        sim.faults.writes_without_response = (40, offset % 800 == 0);
        for n in 0..4 {
            let id = format!("job-{n:06}");
            sim.submit(&id, &[("Cores", json!(4.0)), ("RuntimeS", json!(20.0)), ("Pieces", json!(3))]);
        }
        sim.run_until(4000 + offset);
        let leader = sim.leader().unwrap_or(0);
        let faults =
            [Fault::LeaderRestartsAtOnce, Fault::LeaderRestartsLate, Fault::LeaderIsolated, Fault::LeaderZoneIsolated];
        faults[(offset / 400 % 4) as usize].begin(&mut sim);
        sim.cancel("job-000002");
        sim.run_until(sim.now + 3000);
        // In half of the variants the state service is then unavailable for longer than `cancel_s`.
        sim.store.down = offset % 800 == 400;
        sim.run_until(sim.now + sim.site.cancel_ms + 10_000);
        sim.end_all_faults();
        sim.run_until(200_000);
        assert_no_violation(&sim, &format!("the leader n{leader} fails after {offset} ms"));
        assert_all_ended(&sim, &[], &format!("{offset} ms"));
    }
}

/// Four one-task jobs per second are submitted for two minutes, a quarter of them is cancelled, some at once and some
/// late, and the leader changes twice. Every user learns the job's final state, no ended job runs again, and the log is
/// truncated.
#[test]
fn one_task_jobs_come_four_a_second_and_a_quarter_is_cancelled() {
    let mut sim = Simulation::with_site(support::Site::many_small_machines(), 5);
    sim.users.recheck_everywhere = true;
    sim.run_until(3000);
    for n in 0..480u64 {
        sim.submit(&format!("job-{n:06}"), &[("Pieces", json!(1)), ("RuntimeS", json!(6.0)), ("Cores", json!(1.0))]);
        sim.run_until(sim.now + 250);
        if n % 4 == 0 && n >= 20 {
            sim.cancel(&format!("job-{:06}", n - n / 4 % 20));
        }
        if n == 200 || n == 320 {
            let leader = sim.leader().expect("a leader");
            sim.restart_controller(leader, 300);
        }
    }
    sim.end_all_faults();
    sim.run_until(sim.now + 100_000);
    assert_no_violation(&sim, "four jobs per second");
    assert_all_ended(&sim, &[], "four jobs per second");
    let log = sim.store.keys.keys().filter(|k| k.starts_with("log/")).count();
    assert!(log <= 2 * sim.site.snapshot_every as usize, "{log} log records are left");
}

/// Job arrays restricted to one zone lose machines, including the zone's last ones, while the leader changes.
#[test]
fn arrays_bound_to_one_zone_lose_machines() {
    for seed in 0..4 {
        let mut sim = Simulation::new(seed);
        for n in 0..2 {
            let bound = [("Yard", json!("a")), ("Pieces", json!(4)), ("RuntimeS", json!(25.0)), ("Cores", json!(4.0))];
            sim.submit(&format!("job-{n:06}"), &bound);
        }
        sim.run_until(20_000);
        for at in [0, 4000, 4500, 9000] {
            sim.run_until(20_000 + at);
            if let Some(machine) = (0..4).find_map(|i| sim.machine_running(&format!("job-{:06}/{i}", at % 2))) {
                if seed % 2 == 0 { sim.kill_machine(machine) } else { sim.partition_machine(machine) }
            }
            if at == 4500 {
                let leader = sim.leader().expect("a leader");
                sim.restart_controller(leader, 300);
            }
        }
        sim.run_until(80_000);
        sim.end_all_faults();
        sim.run_until(260_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        for (id, job) in &sim.jobs {
            assert_eq!(job.last_status, "done", "seed {seed}: {id}");
        }
    }
}

/// A submission with a missing or invalid field is rejected as malformed (400), one that no machine or team can satisfy
/// as infeasible (422), and a duplicate gets the same response again. A duplicate of a running job's submission and the
/// cancellation of a finished job are answered with the job's state, under any leader.
#[test]
fn odd_requests_are_answered_the_same_each_time() {
    let mut sim = service_and_batch(3);
    sim.submit("job-000020", &[("RuntimeS", json!(2.0)), ("Pieces", json!(1)), ("Cores", json!(1.0))]);
    let invalid: [(&str, &str, serde_json::Value, u16); 8] = [
        ("job-000021", "Reel", json!(null), 400),
        ("job-000022", "Pieces", json!(0), 400),
        ("job-000023", "Cores", json!("four"), 400),
        ("job-000024", "Shape", json!("heap"), 400),
        ("job-000025", "Crew", json!("nobody"), 422),
        ("job-000026", "Cores", json!(99.0), 422),
        ("job-000027", "Builds", json!(["none"]), 422),
        ("job-000028", "Yard", json!("nowhere"), 422),
    ];
    for turn in 0..3 {
        for (id, field, value, status) in &invalid {
            match turn {
                0 => sim.submit(id, &[(*field, value.clone())]),
                _ => sim.resubmit(id),
            }
            sim.run_until(sim.now + 1500);
            assert_eq!(sim.jobs[*id].submit_status, *status, "{id}, turn {turn}");
            assert!(!sim.jobs[*id].accepted, "{id}");
        }
        sim.resubmit(SERVICE);
        sim.cancel("job-000020");
        let leader = sim.leader().expect("a leader");
        sim.restart_controller(leader, 300);
        sim.run_until(sim.now + 8000);
        assert_eq!(sim.jobs[SERVICE].submit_status, 200);
        assert_eq!((sim.jobs["job-000020"].cancel_status, sim.jobs["job-000020"].last_status.as_str()), (200, "done"));
        assert_no_violation(&sim, "invalid requests");
    }
}

/// The state service responds slowly and the leader crashes: a successor must still be elected, and users get
/// responses.
#[test]
fn a_leader_is_elected_while_the_state_service_is_slow() {
    for slow in [100, 200, 300] {
        let mut sim = service_and_batch(slow);
        sim.faults.store_delay_ms = slow;
        let leader = sim.leader().expect("a leader");
        sim.crash_controller(leader);
        sim.cancel(SERVICE);
        assert!(
            until_cancelled(&mut sim, SERVICE, 25_000),
            "{} ms round trip: the cancellation was not confirmed in time",
            2 * slow
        );
        sim.run_until(sim.now + sim.site.cancel_ms);
        assert_no_violation(&sim, &format!("{slow} ms each way"));
    }
}

/// An idle machine takes a replica that was queued for a machine in another zone. The replicas planned in its own zone
/// then exceed the spread by one and must be planned again. Without that, one replica stayed pending for ever, since no
/// machine was provisioned in the other zone (found by 1,000 cases of random faults).
#[test]
fn a_replica_whose_zone_has_filled_up_is_planned_elsewhere() {
    let mut sim = Simulation::new(108);
    let short = [("Pieces", json!(3)), ("RuntimeS", json!(6.0)), ("Crew", json!("small"))];
    let nth = |sim: &Simulation, n: usize| *sim.workers.keys().nth(n % sim.workers.len()).expect("a machine");
    sim.submit("job-000001", &three_spread_replicas());
    sim.run_until(8000);
    sim.restart_controller(0, 50);
    sim.submit("job-000000", &short);
    sim.run_until(10_186);
    (0..3).for_each(|node| sim.crash_controller(node));
    sim.run_until(11_979);
    let machine = nth(&sim, 0);
    sim.send_reclaim_notice(machine, 8);
    sim.run_until(12_134);
    sim.restart_controller(0, 78);
    sim.run_until(15_414);
    let machine = nth(&sim, 1);
    sim.faults.inbound_lost.insert(machine);
    sim.run_until(21_068);
    let machine = nth(&sim, 2);
    sim.send_reclaim_notice(machine, 8);
    sim.run_until(22_916);
    let machine = nth(&sim, 4);
    sim.partition_machine(machine);
    sim.run_until(24_458);
    sim.submit("job-000006", &short);
    sim.run_until(24_665);
    let machine = nth(&sim, 1);
    sim.kill_machine(machine);
    sim.run_until(28_571);
    let machine = nth(&sim, 1);
    sim.send_reclaim_notice(machine, 8);
    sim.run_until(30_512);
    sim.end_all_faults();
    sim.run_until(120_000);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    assert_eq!(sim.running_tasks("job-000001"), 3, "replicas");
}
