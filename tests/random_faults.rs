//! Random faults in random order: no invariant is violated at any time, and every job ends after the faults have ended.

mod support;

use proptest::prelude::*;
use serde_json::json;
use support::jobs::three_spread_replicas;
use support::{Simulation, Site};

#[derive(Debug, Clone)]
enum Fault {
    Crash(usize),
    CrashAll,
    Start(usize),
    StoreDown(bool),
    RefuseNode(usize, bool),
    LoseResponses(u32),
    PartitionMachine(u64),
    HealMachine(u64),
    DelayCommands(u64),
    CrashMachine(u64),
    FailTasks(u64),
    ReclaimNotice(u64),
    LoseInbound(u64),
    DuplicateHeartbeats(u64, u64),
    DuplicateRequests(u64, u64),
    /// Every direct command that was sent so far is delivered once more.
    RepeatCommands,
    Isolate(usize),
    PartitionFromWorkers(usize),
    IsolateZone(usize),
    EndWorkerPartition,
    Reconnect,
    RestartNode(usize, u64),
    PartitionMachineBriefly(u64, u64),
    LoseOutbound(u64),
    HangMachine(u64, u64),
    LateWrites(u64, bool),
    DelayHeartbeatsToSuccessor(u64),
    RecheckEverywhere(bool),
    CloudDown(bool),
    /// The state service refuses requests of the leader only, and after this time (ms) those of all nodes.
    RefuseOneThenAll(u64),
    /// Up to three open jobs are cancelled at the same time, and if the time (ms) exceeds a second, a machine hangs for
    /// it.
    CancelAndHang(u64),
    Submit(u8),
    Cancel(u8),
    /// An operator requests a drain of this name, of a zone, two machines or all, as the second number selects.
    RequestDrain(u8, u8),
    /// An operator pauses, resumes or cancels a drain.
    ChangeDrain(u8, u8),
    /// The operators' settings change to one of the two sets of budgets.
    ChangeBudgets(bool),
    /// This many small jobs are submitted at once.
    SubmitBurst(u8),
    /// The simulated load of the controllers becomes too high, or normal again.
    SetOverload(bool),
}

/// Under both sets of budgets at most one replica of the class `render` may be unavailable at a time.
const MAX_ONE_UNAVAILABLE: &str = "[drains]\nenabled = yes\nmax_machines = 50%\n[budget crew/render]\nmax_unavailable = 1\n\
    batch_wait_s = 20\nevict_batch = always\n";
const MAX_HALF_OF_TEAM: &str = "[drains]\nenabled = yes\nmax_machines = 3\n[budget crew/render]\nmax_unavailable = 1\n\
    min_interval_s = 2\nbatch_wait_s = 5\n[budget crew]\nmax_unavailable = 50%\n";

/// Actions of operators.
fn operator_action() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0u8..4, any::<u8>()).prop_map(|(name, choice)| Fault::RequestDrain(name, choice)),
        2 => (0u8..4, any::<u8>()).prop_map(|(name, choice)| Fault::ChangeDrain(name, choice)),
        1 => any::<bool>().prop_map(Fault::ChangeBudgets),
    ]
}

/// Bursts of submissions, and overloaded controllers.
fn overload() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (5u8..40).prop_map(Fault::SubmitBurst),
        2 => any::<bool>().prop_map(Fault::SetOverload),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    let (node, machine) = (0usize..3, 0u64..6);
    prop_oneof![
        2 => node.clone().prop_map(Fault::Crash),
        1 => Just(Fault::CrashAll),
        4 => node.clone().prop_map(Fault::Start),
        1 => any::<bool>().prop_map(Fault::StoreDown),
        1 => (node.clone(), any::<bool>()).prop_map(|(n, d)| Fault::RefuseNode(n, d)),
        1 => (1u32..4).prop_map(Fault::LoseResponses),
        2 => machine.clone().prop_map(Fault::PartitionMachine),
        3 => machine.clone().prop_map(Fault::HealMachine),
        2 => machine.clone().prop_map(Fault::DelayCommands),
        1 => machine.clone().prop_map(Fault::CrashMachine),
        1 => machine.clone().prop_map(Fault::FailTasks),
        1 => machine.clone().prop_map(Fault::ReclaimNotice),
        2 => machine.clone().prop_map(Fault::LoseInbound),
        1 => (0u64..60, 500u64..40_000).prop_map(|(n, late)| Fault::DuplicateHeartbeats(n, late)),
        1 => (0u64..60, 500u64..40_000).prop_map(|(n, late)| Fault::DuplicateRequests(n, late)),
        1 => node.clone().prop_map(Fault::Isolate),
        1 => Just(Fault::Reconnect),
        1 => node.clone().prop_map(Fault::PartitionFromWorkers),
        1 => Just(Fault::EndWorkerPartition),
        2 => node.clone().prop_map(Fault::IsolateZone),
        2 => (node.clone(), 50u64..900).prop_map(|(n, ms)| Fault::RestartNode(n, ms)),
        1 => (machine.clone(), 50u64..900).prop_map(|(m, ms)| Fault::PartitionMachineBriefly(m, ms)),
        1 => machine.clone().prop_map(Fault::LoseOutbound),
        2 => (machine, 1000u64..30_000).prop_map(|(m, ms)| Fault::HangMachine(m, ms)),
        1 => (0u64..90, any::<bool>()).prop_map(|(share, at_once)| Fault::LateWrites(share, at_once)),
        1 => (0u64..60).prop_map(Fault::DelayHeartbeatsToSuccessor),
        1 => any::<bool>().prop_map(Fault::RecheckEverywhere),
        1 => any::<bool>().prop_map(Fault::CloudDown),
        2 => (0u64..4000).prop_map(Fault::RefuseOneThenAll),
        2 => (0u64..30_000).prop_map(Fault::CancelAndHang),
        5 => any::<u8>().prop_map(Fault::Submit),
        2 => any::<u8>().prop_map(Fault::Cancel),
    ]
}

/// The n-th of the machines that are provisioned at this moment.
fn nth_machine(sim: &Simulation, n: u64) -> Option<u64> {
    sim.workers.keys().nth(n as usize % sim.workers.len().max(1)).copied()
}

fn inject(sim: &mut Simulation, fault: &Fault) {
    let name = |n: u8| format!("job-{:06}", n % 12);
    match fault {
        Fault::Crash(n) => sim.crash_controller(*n),
        Fault::CrashAll => (0..3).for_each(|n| sim.crash_controller(n)),
        Fault::Start(n) => sim.start_controller(*n),
        Fault::StoreDown(down) => sim.store.down = *down,
        Fault::RefuseNode(n, true) => {
            sim.store.unavailable_to_nodes.insert(*n);
        }
        Fault::RefuseNode(n, false) => {
            sim.store.unavailable_to_nodes.remove(n);
        }
        Fault::LoseResponses(n) => sim.store.lost_responses = *n,
        Fault::PartitionMachine(n) => nth_machine(sim, *n).into_iter().for_each(|m| sim.partition_machine(m)),
        Fault::HealMachine(n) => {
            if let Some(m) = nth_machine(sim, *n) {
                sim.heal_machine(m);
            }
        }
        Fault::DelayCommands(n) => sim.faults.commands_held.extend(nth_machine(sim, *n)),
        Fault::CrashMachine(n) => nth_machine(sim, *n).into_iter().for_each(|m| sim.kill_machine(m)),
        Fault::FailTasks(n) => {
            let id = nth_machine(sim, *n);
            if let Some(w) = id.and_then(|m| sim.workers.get_mut(&m)) {
                w.tasks_fail = true;
            }
        }
        Fault::ReclaimNotice(n) => nth_machine(sim, *n).into_iter().for_each(|m| sim.send_reclaim_notice(m, 8)),
        Fault::LoseInbound(n) => sim.faults.inbound_lost.extend(nth_machine(sim, *n)),
        Fault::DuplicateHeartbeats(share, late) => sim.faults.duplicate_heartbeats = (*share, *late),
        Fault::DuplicateRequests(share, late) => sim.faults.duplicate_requests = (*share, *late),
        Fault::RepeatCommands => sim.repeat_recorded_commands(),
        Fault::PartitionFromWorkers(n) => drop(sim.faults.partitioned_from_workers.insert(*n)),
        Fault::IsolateZone(n) => sim.isolate_zone(support::zone_of(&sim.site.clone(), *n), *n),
        Fault::EndWorkerPartition => sim.faults.partitioned_from_workers.clear(),
        Fault::Isolate(n) => sim.isolate_controller(*n),
        Fault::Reconnect => sim.end_isolation(),
        Fault::RestartNode(n, ms) => sim.restart_controller(*n, *ms),
        Fault::PartitionMachineBriefly(n, ms) => {
            if let Some(m) = nth_machine(sim, *n) {
                sim.partition_machine_for(m, *ms);
            }
        }
        Fault::LoseOutbound(n) => sim.faults.outbound_lost.extend(nth_machine(sim, *n)),
        Fault::HangMachine(n, ms) => nth_machine(sim, *n).into_iter().for_each(|m| sim.hang_machine(m, *ms)),
        Fault::LateWrites(share, at_once) => sim.faults.writes_without_response = (*share, *at_once),
        Fault::DelayHeartbeatsToSuccessor(share) => sim.faults.replayed_heartbeats_percent = *share,
        Fault::RecheckEverywhere(on) => sim.users.recheck_everywhere = *on,
        Fault::CloudDown(down) => sim.cloud.unavailable = *down,
        Fault::RefuseOneThenAll(ms) => {
            sim.store.unavailable_to_nodes.extend(sim.leader());
            let until = sim.now + ms;
            sim.run_until(until);
            sim.store.down = true;
        }
        Fault::CancelAndHang(ms) => {
            let open =
                |j: &&String| sim.jobs[*j].accepted && !matches!(sim.jobs[*j].last_status.as_str(), "done" | "aborted");
            let jobs: Vec<String> = sim.jobs.keys().filter(open).take(3).cloned().collect();
            for id in &jobs {
                nth_machine(sim, *ms).filter(|_| *ms > 1000).into_iter().for_each(|m| sim.hang_machine(m, *ms));
                sim.cancel(id);
            }
        }
        Fault::Submit(n) if !sim.jobs.contains_key(&name(*n)) => {
            let id = name(*n);
            let gang = [
                ("Shape", json!("group")),
                ("RuntimeS", json!(14.0)),
                ("BookmarkS", json!(5.0)),
                ("StashS", json!(2.0)),
            ];
            match n % 6 {
                0 => sim.submit(&id, &[("Pieces", json!(3)), ("RuntimeS", json!(6.0)), ("Crew", json!("small"))]),
                1 => sim.submit(&id, &three_spread_replicas()),
                2 => sim.submit(&id, &[("Loaners", json!(true)), ("RuntimeS", json!(15.0)), ("DueS", json!(60.0))]),
                3 => sim.submit(&id, &[("Pieces", json!(5)), ("Rank", json!("low")), ("Cores", json!(4.0))]),
                4 => sim.submit(&id, &[&gang[..], &[("Together", json!(true)), ("Crew", json!("small"))]].concat()),
                _ => sim.submit(&id, &[&gang[..], &[("Pieces", json!(4)), ("Loaners", json!(true))]].concat()),
            }
        }
        Fault::Submit(n) => sim.resubmit(&name(*n)),
        Fault::RequestDrain(n, choice) => {
            let filter = [json!({}), json!({"zone": "a"}), json!({"zone": "b"}), json!({"count": 2})];
            let mode = if choice & 4 == 0 { "replace" } else { "remove" };
            let request =
                json!({"selector": {"matching": filter[(choice % 4) as usize]}, "mode": mode, "wanted": "run"});
            // The write fails if there is a drain of this name, or while the state service is down.
            sim.write_drain_request(&format!("drain-{n}"), &request, 0);
        }
        Fault::ChangeDrain(n, choice) => {
            let name = format!("drain-{n}");
            let wanted = ["run", "pause", "run", "cancel"][(choice % 4) as usize];
            let before = sim.store.keys.get(&format!("drain/request/{name}")).cloned();
            if let Some((mut request, revision, _)) = before.filter(|(request, ..)| request["wanted"] != "cancel") {
                request["wanted"] = json!(wanted);
                sim.write_drain_request(&name, &request, revision);
            }
        }
        Fault::SubmitBurst(jobs) => {
            let first = 1_000 + sim.jobs.len();
            for n in first..first + usize::from(*jobs) {
                let class = ["render", "desk"][n % 2];
                sim.submit(
                    &format!("job-{n:06}"),
                    &[("Lane", json!(class)), ("Pieces", json!(1)), ("Cores", json!(1.0)), ("RuntimeS", json!(4.0))],
                );
            }
        }
        Fault::SetOverload(on) => sim.controllers.overloaded = *on,
        Fault::ChangeBudgets(first) => {
            sim.set_disruption_policy(if *first { MAX_ONE_UNAVAILABLE } else { MAX_HALF_OF_TEAM })
        }
        Fault::Cancel(n) => {
            if sim.jobs.contains_key(&name(*n)) {
                sim.cancel(&name(*n));
            }
        }
    }
}

/// Injects the faults one after the other, each after its gap in ms, and checks the invariants after each. Returns the
/// time of the last fault.
fn inject_in_turn(sim: &mut Simulation, begin: u64, faults: &[(u64, Fault)]) -> Result<u64, TestCaseError> {
    sim.faults.record_commands = true;
    let mut at = begin;
    for (gap, fault) in faults {
        at = at.max(sim.now) + gap;
        sim.run_until(at);
        inject(sim, fault);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    }
    Ok(at)
}

/// Checks that every accepted job has ended, or runs with all of its replicas.
fn check_all_ended(sim: &Simulation) -> Result<(), TestCaseError> {
    for (id, job) in sim.jobs.iter().filter(|(_, j)| j.accepted) {
        let ended = matches!(job.last_status.as_str(), "done" | "aborted");
        prop_assert!(
            ended || sim.running_tasks(id) == 3,
            "{id} is {} with {} running",
            job.last_status,
            sim.running_tasks(id)
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_of_faults_breaks_a_rule(
        seed in 0u64..1000,
        faults in proptest::collection::vec((0u64..6000, fault()), 10..40),
    ) {
        let mut sim = Simulation::new(seed);
        sim.submit("job-000001", &three_spread_replicas());
        let at = inject_in_turn(&mut sim, 8000, &faults)?;
        // All faults end, so that every accepted job has to end.
        sim.end_all_faults();
        sim.run_until(at + 300_000);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        check_all_ended(&sim)?;
    }

    /// The check does not use the leader's charges to budgets: it counts, on the fake workers, the replicas that were
    /// stopped by a command and do not run again yet.
    #[test]
    fn no_order_of_faults_breaks_a_budget(
        seed in 0u64..1000,
        faults in proptest::collection::vec((0u64..6000, prop_oneof![4 => fault(), 1 => operator_action()]), 15..50),
    ) {
        let mut sim = Simulation::with_site(Site { operators: MAX_ONE_UNAVAILABLE, ..Site::small() }, seed);
        sim.disruption.limits.insert("render".into(), 1);
        for id in ["job-000001", "job-000007"] {
            sim.submit(id, &three_spread_replicas());
        }
        sim.run_until(20_000);
        inject(&mut sim, &Fault::RequestDrain(0, 0));
        let at = inject_in_turn(&mut sim, 20_000, &faults)?;
        sim.end_all_faults();
        for n in 0..4 {
            inject(&mut sim, &Fault::ChangeDrain(n, 0));
        }
        sim.run_until(at + 500_000);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        check_all_ended(&sim)?;
        for name in (0..4).map(|n| format!("drain-{n}")).filter(|name| sim.store.keys.contains_key(&format!("drain/request/{name}"))) {
            let ended = matches!(sim.drain_phase(&name).as_str(), "done" | "cancelled" | "refused");
            prop_assert!(ended, "{name}: {:?}", sim.drain_status(&name));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: proptest::test_runner::RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a task that is started by a late copy of a direct command. The last copies come minutes after the
    /// commands, when most jobs have ended.
    #[test]
    fn no_order_of_faults_and_late_commands_breaks_a_rule(
        seed in 0u64..1000,
        faults in proptest::collection::vec((0u64..6000, prop_oneof![5 => fault(), 1 => Just(Fault::RepeatCommands)]), 10..40),
    ) {
        let mut sim = Simulation::new(seed);
        sim.submit("job-000001", &three_spread_replicas());
        let at = inject_in_turn(&mut sim, 8000, &faults)?;
        sim.end_all_faults();
        for minutes in 1..=5 {
            sim.run_until(at + minutes * 60_000);
            sim.repeat_recorded_commands();
        }
        sim.run_until(sim.now + 20_000);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        check_all_ended(&sim)?;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 50,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Users give up jobs that were refused for a minute. All other jobs end, and the same admission table leads to the
    /// same decision on every node.
    #[test]
    fn no_order_of_faults_in_floods_breaks_a_rule(
        seed in 0u64..1000,
        faults in proptest::collection::vec((0u64..6000, prop_oneof![2 => fault(), 1 => overload()]), 15..45),
    ) {
        let mut sim = Simulation::with_site(Site { operators: "[admission]\nbound_backlog = always\n", ..Site::small() }, seed);
        sim.submit("job-000001", &three_spread_replicas());
        sim.controllers.overloaded = true;
        let at = inject_in_turn(&mut sim, 8000, &faults)?;
        sim.end_all_faults();
        sim.controllers.overloaded = false;
        sim.run_until(at + 300_000);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        prop_assert!(sim.decisions.disagreements.is_empty(), "{:?}", sim.decisions.disagreements);
        check_all_ended(&sim)?;
        for (id, job) in &sim.jobs {
            prop_assert!(job.accepted || job.given_up || job.cancel_requested_at.is_some(), "{id} was lost: {}", job.last_status);
        }
    }
}

/// Guards against a drain that never ends: a machine that an earlier drain has replaced counts as one that still needs a
/// replacement once that drain is over, and the cloud has no machine left. Found by random faults.
#[test]
fn a_machine_in_two_overlapping_drains_needs_one_replacement() {
    let faults = [
        (0, Fault::Crash(1)),
        (0, Fault::Submit(45)),
        (0, Fault::IsolateZone(1)),
        (226, Fault::PartitionMachineBriefly(0, 50)),
        (2743, Fault::DuplicateHeartbeats(32, 5168)),
        (4417, Fault::Start(2)),
        (4185, Fault::Submit(166)),
        (298, Fault::HangMachine(0, 6129)),
        (2064, Fault::RestartNode(1, 721)),
        (1619, Fault::RequestDrain(1, 40)),
        (0, Fault::EndWorkerPartition),
        (2446, Fault::Start(0)),
    ];
    let mut unfinished = Vec::new();
    for seed in 0..40 {
        let mut sim = Simulation::with_site(Site { operators: MAX_ONE_UNAVAILABLE, ..Site::small() }, seed);
        for id in ["job-000001", "job-000007"] {
            sim.submit(id, &three_spread_replicas());
        }
        sim.run_until(20_000);
        inject(&mut sim, &Fault::RequestDrain(0, 0));
        let at = inject_in_turn(&mut sim, 20_000, &faults).expect("no violation");
        sim.end_all_faults();
        sim.run_until(at + 500_000);
        for name in ["drain-0", "drain-1"] {
            if sim.drain_phase(name) != "done" {
                unfinished.push(format!("seed {seed}: {name} {:?}", sim.drain_status(name)));
            }
        }
    }
    assert!(unfinished.is_empty(), "{}", unfinished.join("\n"));
}
