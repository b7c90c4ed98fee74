//! Where two troubles meet: each test brings one meeting about in simulated time, in all its variants, and the rules are
//! checked from outside, by what workers did and users were told. docs/safety.md has a table of them.

mod support;

use serde_json::json;
use support::Sim;

const SERVICE: &str = "job-000001";
const BATCH: &str = "job-000002";

/// A world in which a service and a long batch job run.
fn running(seed: u64) -> Sim {
    let mut sim = Sim::new(seed);
    let service = [("Shape", json!("standing")), ("Rank", json!("prod")), ("RuntimeS", json!(0)), ("Pieces", json!(2))];
    sim.submit(SERVICE, &[&service[..], &[("Cores", json!(4.0))]].concat());
    sim.submit(BATCH, &[("Pieces", json!(3)), ("RuntimeS", json!(400.0)), ("Cores", json!(4.0))]);
    sim.run_until(20_000);
    assert_eq!((sim.running(SERVICE), sim.running(BATCH)), (2, 3), "seed {seed}");
    sim
}

/// Plays until the user of a job was told that it is cancelled, for so long at most; whether it was.
fn until_cancelled(sim: &mut Sim, id: &str, ms: u64) -> bool {
    let end = sim.now + ms;
    while sim.now < end && sim.jobs[id].told != "aborted" {
        sim.run_until(sim.now + 5);
    }
    sim.jobs[id].told == "aborted"
}

fn kept(sim: &Sim, story: &str) {
    assert!(sim.broken.is_empty(), "{story}: {:?}", sim.broken);
}

/// What becomes of the controller that confirms a cancellation, right after it did.
#[derive(Debug, Clone, Copy)]
enum Fate {
    GoesOn,
    Ends,
    CutOff,
    /// It ends, and another follows at once before the state service is out.
    Followed,
}

/// The gap: cancellations are carried out at the moment at which the leader loses the state service, so that it has no
/// answer; the next leader reads them and confirms, and the state service is then out for all for longer than
/// `cancel_s`. The old leader, which hears nothing of this, goes on renewing its workers' leases.
#[test]
fn a_cancellation_confirmed_by_another_while_the_old_leader_goes_on() {
    for (seed, fate) in [Fate::GoesOn, Fate::Ends, Fate::CutOff, Fate::Followed].into_iter().enumerate() {
        for job in [SERVICE, BATCH] {
            let story = format!("{job} {fate:?}");
            let mut sim = running(seed as u64);
            let old = sim.leader().expect("somebody leads");
            sim.late_writes = (100, true);
            sim.cancel(job);
            sim.run_until(sim.now + 300);
            sim.late_writes = (0, false);
            sim.corner(old);
            // Direct commands of the next leader wait on their way, so that it fences nobody.
            let machines: Vec<u64> = sim.workers.keys().copied().collect();
            sim.hold_commands.extend(machines);
            assert!(until_cancelled(&mut sim, job, 10_000), "{story}: it is confirmed");
            let next = sim.leader().expect("somebody leads");
            assert_ne!(next, old, "{story}");
            match fate {
                Fate::GoesOn => {}
                Fate::Ends => sim.crash(next),
                Fate::CutOff => sim.corner(next),
                Fate::Followed => {
                    sim.crash(next);
                    sim.run_until(sim.now + 4000);
                }
            }
            sim.state.down = true;
            sim.run_until(sim.now + sim.site.cancel_ms + 20_000);
            kept(&sim, &story);
            assert_eq!(sim.running(job), 0, "{story}");
            sim.mend();
            sim.run_until(sim.now + 100_000);
            kept(&sim, &story);
        }
    }
}

/// Each new leader may renew a lease once before it has seen what runs on the machine: one report reaches it, the answer
/// tells its token, and the machine is out of reach again. A chain of new leaders kept a cancelled task alive that way.
#[test]
fn new_leaders_one_after_the_other_do_not_renew_what_is_cancelled() {
    let mut sim = running(11);
    let machine = sim.machine_of("job-000001/0").expect("it runs");
    sim.hold_commands.insert(machine);
    sim.mute.insert(machine);
    sim.cloud_down = true;
    sim.cancel(SERVICE);
    assert!(until_cancelled(&mut sim, SERVICE, 3000), "all machines are fenced");
    for _ in 0..5 {
        let leader = sim.leader().expect("somebody leads");
        sim.bounce(leader, 3000);
        sim.run_until(sim.now + 9000);
        // One report gets through, and its answer.
        sim.mute.remove(&machine);
        let before = sim.renewed(machine);
        let end = sim.now + 5500;
        while sim.renewed(machine) == before && sim.now < end {
            sim.run_until(sim.now + 1);
        }
        sim.mute.insert(machine);
    }
    sim.run_until(sim.now + 5000);
    kept(&sim, "a chain of leaders");
    assert!(sim.now > 20_000 + sim.site.cancel_ms, "the chain is longer than a cancellation may take");
    assert_eq!(sim.running(SERVICE), 0);
}

/// A trouble, begun at one moment; all end together with `Sim::mend`.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    /// The state service refuses the leader alone.
    Refused,
    /// The leader is cut from the state service and the other controllers, not from its workers and users.
    Cornered,
    /// The leader is cut from all workers.
    Apart,
    /// The leader is cut off together with its zone, in which workers go on reporting to it.
    Island,
    /// The leader ends and is back after a moment.
    Back,
    /// The leader ends and is back after six seconds.
    Ended,
    /// All end, and one is back within a second.
    AllEnd,
    /// The state service is out for all, for longer than `cancel_s`.
    Outage,
    /// The state service takes 300 ms each way.
    Slow,
    /// Transactions are carried out, and only their answers are lost.
    AnswersLost,
    /// Half of the transactions get no answer and are carried out 2 to 12 s later.
    LateWrites,
    /// The service's machines are cut off.
    Cut,
    /// Its machines report, but hear nothing.
    Deaf,
    /// Its machines reach no controller, but direct commands reach them.
    Mute,
    /// Its machines hang, and go on within their lease.
    Hang,
    /// Its machines hang for longer than their lease.
    LongHang,
    /// Direct commands to all machines wait on their way.
    CommandsHeld,
    /// Copies of reports come late, and repeats of transactions and commands.
    Copies,
    /// Old reports reach every controller just as the next leader begins.
    KeptForNext,
    /// The cloud answers nothing.
    CloudDown,
}

const TROUBLES: [Trouble; 20] = [
    Trouble::Refused,
    Trouble::Cornered,
    Trouble::Apart,
    Trouble::Island,
    Trouble::Back,
    Trouble::Ended,
    Trouble::AllEnd,
    Trouble::Outage,
    Trouble::Slow,
    Trouble::AnswersLost,
    Trouble::LateWrites,
    Trouble::Cut,
    Trouble::Deaf,
    Trouble::Mute,
    Trouble::Hang,
    Trouble::LongHang,
    Trouble::CommandsHeld,
    Trouble::Copies,
    Trouble::KeptForNext,
    Trouble::CloudDown,
];

impl Trouble {
    fn begin(self, sim: &mut Sim) {
        let leader = sim.leader().unwrap_or(0);
        let its: Vec<u64> = (0..2).filter_map(|i| sim.machine_of(&format!("{SERVICE}/{i}"))).collect();
        match self {
            Trouble::Refused => drop(sim.state.deaf.insert(leader)),
            Trouble::Cornered => sim.corner(leader),
            Trouble::Apart => drop(sim.apart.insert(leader)),
            Trouble::Island => sim.cut_off(support::zone_of(&sim.site.clone(), leader), leader),
            Trouble::Back => sim.bounce(leader, 300),
            Trouble::Ended => sim.bounce(leader, 6000),
            Trouble::AllEnd => {
                (0..3).for_each(|n| sim.crash(n));
                sim.bounce_back(leader, 800);
            }
            Trouble::Outage => sim.state.down = true,
            Trouble::Slow => sim.state_slow = 300,
            Trouble::AnswersLost => sim.late_writes = (100, true),
            Trouble::LateWrites => sim.late_writes = (50, false),
            Trouble::Cut => its.into_iter().for_each(|m| sim.cut(m)),
            Trouble::Deaf => sim.deaf.extend(its),
            Trouble::Mute => sim.mute.extend(its),
            Trouble::Hang => its.into_iter().for_each(|m| sim.hang(m, 9000)),
            Trouble::LongHang => its.into_iter().for_each(|m| sim.hang(m, 25_000)),
            Trouble::CommandsHeld => sim.hold_commands.extend(sim.workers.keys().copied().collect::<Vec<u64>>()),
            Trouble::Copies => (sim.copies, sim.repeats) = ((60, 30_000), (60, 30_000)),
            Trouble::KeptForNext => sim.kept_for_next = 100,
            Trouble::CloudDown => sim.cloud_down = true,
        }
    }
}

/// Two troubles meet, and right then jobs are cancelled, end, and are asked about at all nodes: a service, a team at its
/// limit with another job of it waiting, a stream of short jobs. When the troubles are over everything comes to its end.
fn meet(first: Trouble, second: Trouble, gap: u64, seed: u64) {
    let story = format!("{first:?} then {second:?} after {gap} ms, seed {seed}");
    let (limited, next) = ("job-000003", "job-000004");
    let short = |n: u64| format!("job-{:06}", 100 + n);
    let mut sim = running(seed);
    sim.submit(limited, &[("Crew", json!("small")), ("RuntimeS", json!(300.0))]);
    sim.run_until(sim.now + 4000);
    sim.submit(next, &[("Crew", json!("small")), ("RuntimeS", json!(5.0))]);
    let mut shorts = 0;
    let begin = sim.now + 6000;
    let (mut acts, mut over) = (vec![begin, begin + gap, begin + gap + 40], false);
    acts.reverse();
    sim.close_looks = true;
    while !over {
        let at = acts.last().copied().unwrap_or(u64::MAX).min(24_000 + shorts * 1300);
        over = at > begin + 60_000;
        sim.run_until(at.min(begin + 60_000));
        if at == 24_000 + shorts * 1300 {
            sim.submit(&short(shorts), &[("Pieces", json!(1)), ("RuntimeS", json!(3.0)), ("Cores", json!(1.0))]);
            shorts += 1;
            continue;
        }
        match acts.pop().map(|_| acts.len()) {
            Some(2) => first.begin(&mut sim),
            Some(1) => second.begin(&mut sim),
            _ => {
                [SERVICE, limited, &short(shorts.saturating_sub(3)), &short(shorts - 1)]
                    .iter()
                    .for_each(|id| sim.cancel(id));
            }
        }
    }
    kept(&sim, &story);
    sim.mend();
    sim.run_until(sim.now + 150_000);
    kept(&sim, &story);
    assert_eq!(sim.jobs[SERVICE].told, "aborted", "{story}");
    assert_eq!(sim.jobs[limited].told, "aborted", "{story}");
    assert_eq!(sim.running(SERVICE) + sim.running(limited), 0, "{story}");
    for (id, job) in sim.jobs.iter().filter(|(id, _)| *id != BATCH) {
        assert!(matches!(job.told.as_str(), "done" | "aborted"), "{story}: {id} is {}", job.told);
    }
}

/// Every trouble meets every other, on as many threads as there are processors.
fn meetings(gap: u64) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for part in TROUBLES.chunks(TROUBLES.len().div_ceil(threads)) {
            scope.spawn(move || {
                for (first, second) in part.iter().flat_map(|f| TROUBLES.map(|s| (*f, s))) {
                    meet(first, second, gap, gap / 1000 + first as u64);
                }
            });
        }
    });
}

#[test]
fn every_trouble_meets_every_other_at_once() {
    meetings(30);
}

#[test]
fn every_trouble_meets_every_other_in_mid_election() {
    meetings(1700);
}

#[test]
fn every_trouble_meets_every_other_when_the_next_leader_has_begun() {
    meetings(4300);
}
