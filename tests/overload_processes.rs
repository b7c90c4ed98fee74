//! A flood at real controller processes on loopback, one of which is killed, with few machines. The long form takes minutes:
//!
//!     cargo test --release --test overload_processes -- --ignored --nocapture

mod support;

use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use support::process_harness::{CONTROLLERS, JobProfile, ProcessHarness};

const FLOOD: JobProfile = JobProfile { class: "flood", shape: "batch", tasks: 4, run_ms: 2_000 };
const DESK: JobProfile = JobProfile { class: "desk", shape: "batch", tasks: 1, run_ms: 300 };
const FLOOD_PER_S: u64 = 8;
/// Users come back after eight seconds at the earliest, and give up after a minute.
const RETRY_AFTER: Duration = Duration::from_secs(9);
const GIVE_UP: Duration = Duration::from_secs(60);
const ALWAYS: &str = "[admission]\nbound_backlog = always\n";

/// What came of one class.
#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    admitted: u32,
    refused: u32,
    /// Neither admitted nor refused: no leader, or no answer.
    unavailable: u32,
    admitted_at: Option<Instant>,
    longest_gap: Duration,
    answers_ms: Vec<u64>,
}

impl Outcome {
    fn median_and_99th_ms(&mut self) -> (u64, u64) {
        self.answers_ms.sort_unstable();
        let at = |share: f64| self.answers_ms[((self.answers_ms.len() - 1) as f64 * share) as usize];
        (at(0.5), at(0.99))
    }
}

/// A user's submission that is not decided yet.
struct Pending {
    id: String,
    load: &'static JobProfile,
    since: Instant,
    next: Instant,
    node: usize,
}

/// Users of both classes, at all nodes in turn.
struct Users {
    begin: Instant,
    pending: Vec<Pending>,
    jobs: u64,
    outcomes: BTreeMap<&'static str, Outcome>,
    refused_by: [u32; CONTROLLERS],
}

impl Users {
    fn new() -> Users {
        let outcomes = BTreeMap::from([(FLOOD.class, Outcome::default()), (DESK.class, Outcome::default())]);
        Users { begin: Instant::now(), pending: Vec::new(), jobs: 0, outcomes, refused_by: [0; CONTROLLERS] }
    }

    fn enter(&mut self, load: &'static JobProfile) {
        self.jobs += 1;
        let now = Instant::now();
        let node = self.jobs as usize % CONTROLLERS;
        self.pending.push(Pending { id: format!("job-{:06}", self.jobs), load, since: now, next: now, node });
    }

    /// Submits what is due, once each.
    fn submit_due(&mut self, harness: &ProcessHarness) {
        for mut pending in std::mem::take(&mut self.pending) {
            if Instant::now() < pending.next {
                self.pending.push(pending);
                continue;
            }
            let asked = Instant::now();
            let status = harness.try_submit(pending.node, &pending.id, pending.load.clone(), 1.0);
            let outcome = self.outcomes.get_mut(pending.load.class).expect("a known class");
            outcome.asked += 1;
            outcome.answers_ms.push(asked.elapsed().as_millis() as u64);
            let pause = match status {
                Some(200 | 201) => {
                    let last = outcome.admitted_at.unwrap_or(self.begin);
                    outcome.longest_gap = outcome.longest_gap.max(last.elapsed());
                    outcome.admitted_at = Some(Instant::now());
                    outcome.admitted += 1;
                    continue;
                }
                Some(429) => {
                    outcome.refused += 1;
                    self.refused_by[pending.node] += 1;
                    RETRY_AFTER
                }
                _ => {
                    outcome.unavailable += 1;
                    Duration::from_secs(1)
                }
            };
            pending.node = (pending.node + 1) % CONTROLLERS;
            pending.next = Instant::now() + pause;
            if pending.next - pending.since < GIVE_UP {
                self.pending.push(pending);
            }
        }
    }
}

/// Floods for so many seconds; the leader is killed in the middle and comes back.
fn flood(name: &str, seconds: u64) -> (ProcessHarness, Users) {
    let mut harness = ProcessHarness::start(name, ALWAYS);
    harness.fake_services().max_machines = Some(2);
    harness.wait_until("a leader", || harness.fake_services().leader());
    let mut users = Users::new();
    let mut killed = None;
    let step = Duration::from_millis(1000 / FLOOD_PER_S);
    for n in 0..seconds * FLOOD_PER_S {
        users.enter(&FLOOD);
        if n % (2 * FLOOD_PER_S) == 0 {
            users.enter(&DESK);
        }
        if n == seconds * FLOOD_PER_S / 2 {
            killed = harness.fake_services().leader();
            killed.into_iter().for_each(|node| harness.kill_node(node));
        }
        if n == seconds * FLOOD_PER_S / 2 + 3 * FLOOD_PER_S {
            killed.take().into_iter().for_each(|node| harness.start_node(node));
        }
        let due = users.begin + step * n as u32;
        users.submit_due(&harness);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    (harness, users)
}

#[test]
fn all_controllers_refuse_a_flood_and_admit_what_is_quiet_although_the_leader_is_killed() {
    let (harness, users) = flood("overload", 32);
    assert!(harness.fake_services().violations.is_empty(), "{:?}", harness.fake_services().violations);
    let (code, shown) = harness.admission_status();
    assert_eq!((code, &shown["refusing"]), (0, &json!(true)), "{shown}");
    let pairs = shown["status"]["refused"].as_array().expect("pairs");
    assert!(pairs.iter().all(|pair| pair["team"] == "studio" && pair["class"] == "flood"), "{shown}");
    assert!(users.refused_by.iter().all(|refused| *refused > 0), "refusals by node: {:?}", users.refused_by);
    let (flood, desk) = (&users.outcomes["flood"], &users.outcomes["desk"]);
    assert_eq!(desk.refused, 0, "the quiet class: {desk:?}");
    assert!(desk.admitted >= 14, "the quiet class: {desk:?}");
    // A job every two seconds, a change of leader, and a retry after a second.
    assert!(desk.longest_gap < Duration::from_secs(20), "the quiet class: {desk:?}");
    assert!(flood.admitted > 30 && flood.longest_gap < Duration::from_secs(25), "the flood: {flood:?}");
}

/// A morning of five minutes; prints what each class asked for and got.
#[test]
#[ignore = "takes minutes"]
fn a_morning_on_which_all_book_at_once() {
    let (harness, mut users) = flood("overload-long", 300);
    assert!(harness.fake_services().violations.is_empty(), "{:?}", harness.fake_services().violations);
    for (class, outcome) in &mut users.outcomes {
        let (median, slow) = outcome.median_and_99th_ms();
        println!(
            "{class}: asked {}, admitted {}, refused {}, unavailable {}, longest gap {:.1} s, answered in {median} ms (median), {slow} ms (99%)",
            outcome.asked,
            outcome.admitted,
            outcome.refused,
            outcome.unavailable,
            outcome.longest_gap.as_secs_f64()
        );
    }
    println!("refusals by node: {:?}", users.refused_by);
}
