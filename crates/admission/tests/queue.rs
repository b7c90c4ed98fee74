//! The request queue under more load than it can serve, against clients that give up and come back.

use caperstile_admission::{Popped, RequestClass, RequestQueue, ShedReason};
use caperstile_types::{Duration, Timestamp};
use std::collections::VecDeque;

const REPORTERS: usize = 60;
const REPORT_EVERY: u64 = 1_000;
const LEASE: u64 = 8_000;
/// Requests that are served in a second.
const SERVED_PER_S: u64 = 200;

/// A client: when it asks next, which of its requests is the one that it waits for, and when it was answered last.
#[derive(Debug, Clone, Copy)]
struct Client {
    class: RequestClass,
    patience: u64,
    asks_at: u64,
    waits_for: Option<(u64, u64)>,
    answered_at: u64,
}

/// How requests wait.
trait Waiting {
    fn push(&mut self, now: u64, class: RequestClass, request: (usize, u64));
    /// The next request, and whether it is served; refusing costs nothing.
    fn pop(&mut self, now: u64) -> Option<((usize, u64), bool)>;
}

struct ByClass(RequestQueue<(usize, u64)>);

impl Waiting for ByClass {
    fn push(&mut self, now: u64, class: RequestClass, request: (usize, u64)) {
        let _ = self.0.push(Timestamp::from_millis(now), class, request);
    }
    fn pop(&mut self, now: u64) -> Option<((usize, u64), bool)> {
        Some(match self.0.pop(Timestamp::from_millis(now))? {
            Popped::Serve(request) => (request, true),
            Popped::Shed(request, _) => (request, false),
        })
    }
}

/// One queue for all, as it was before.
struct FirstCome(VecDeque<(usize, u64)>);

impl Waiting for FirstCome {
    fn push(&mut self, _: u64, _: RequestClass, request: (usize, u64)) {
        self.0.push_back(request);
    }
    fn pop(&mut self, _: u64) -> Option<((usize, u64), bool)> {
        Some((self.0.pop_front()?, true))
    }
}

/// Workers that report and users that ask; from 10 s to 40 s there are `load` times as many users.
struct Run {
    clients: Vec<Client>,
    /// Longest time without an answer of any reporter.
    longest_gap: u64,
    /// Questions that were answered in time, by second.
    answered: Vec<u64>,
    asked: Vec<u64>,
}

fn play(waiting: &mut dyn Waiting, load: usize) -> Run {
    let client = |class, patience, asks_at| Client { class, patience, asks_at, waits_for: None, answered_at: 0 };
    let reporters = (0..REPORTERS as u64).map(|n| client(RequestClass::Heartbeat, 4_000, n * REPORT_EVERY / 60));
    let askers = 200 * load as u64;
    let users = (0..askers).map(|n| {
        let first = if n < 200 { n * 25 } else { 10_000 + n % 5_000 };
        client(RequestClass::Query, 2_000, first)
    });
    let mut run =
        Run { clients: reporters.chain(users).collect(), longest_gap: 0, answered: vec![0; 80], asked: vec![0; 80] };
    let mut requests = 0;
    for now in (0..80_000).step_by(5) {
        for index in 0..run.clients.len() {
            let extra = index >= REPORTERS + 200;
            let client = &mut run.clients[index];
            if extra && now >= 40_000 {
                client.waits_for = None;
                continue;
            }
            if client.waits_for.is_some_and(|(_, sent)| now >= sent + client.patience) {
                // It gives up and asks again.
                (client.waits_for, client.asks_at) = (None, now + 1_000);
            }
            if client.waits_for.is_none() && now >= client.asks_at {
                requests += 1;
                client.waits_for = Some((requests, now));
                waiting.push(now, client.class, (index, requests));
                if client.class == RequestClass::Query && !extra {
                    run.asked[(now / 1000) as usize] += 1;
                }
            }
        }
        serve(&mut run, waiting, now);
    }
    let unanswered = run.clients[..REPORTERS].iter().map(|client| 80_000 - client.answered_at).max();
    run.longest_gap = run.longest_gap.max(unanswered.unwrap_or(0));
    run
}

/// Serves what one step of 5 ms has time for.
fn serve(run: &mut Run, waiting: &mut dyn Waiting, now: u64) {
    let mut left = SERVED_PER_S * 5 / 1000;
    while left > 0
        && let Some(((index, request), served)) = waiting.pop(now)
    {
        left -= u64::from(served);
        let client = &mut run.clients[index];
        if client.waits_for.is_none_or(|(own, _)| own != request) {
            continue; // nobody reads this answer
        }
        client.waits_for = None;
        let pause = if client.class == RequestClass::Heartbeat { REPORT_EVERY } else { 5_000 };
        client.asks_at = now + if served { pause } else { 1_000 };
        if served {
            if client.class == RequestClass::Heartbeat {
                run.longest_gap = run.longest_gap.max(now - client.answered_at);
            } else if index < REPORTERS + 200 {
                run.answered[(now / 1000) as usize] += 1;
            }
            client.answered_at = now;
        }
    }
}

/// Questions answered from 5 s after the flood's end on.
fn served_afterwards(run: &Run) -> f64 {
    let (answered, asked): (u64, u64) = (run.answered[45..].iter().sum(), run.asked[45..].iter().sum());
    answered as f64 / asked as f64
}

#[test]
fn a_flood_of_questions_costs_no_worker_its_lease_and_is_over_when_it_is_over() {
    let run = play(&mut ByClass(RequestQueue::new(5_000)), 12);
    assert!(run.longest_gap < LEASE / 2, "a report waited for {} ms", run.longest_gap);
    assert!(served_afterwards(&run) > 0.95, "{:.2} of questions after the flood", served_afterwards(&run));
    // Questions have their share in the flood too.
    let windows = run.answered[15..40].chunks(5).map(|window| window.iter().sum::<u64>());
    assert!(windows.clone().all(|answered| answered > 0), "{:?}", run.answered);
}

/// The same with one queue for all: this is what the classes and the shedding are for.
#[test]
fn with_one_queue_for_all_the_same_flood_costs_leases() {
    let run = play(&mut FirstCome(VecDeque::new()), 12);
    assert!(run.longest_gap > LEASE, "a report waited for {} ms", run.longest_gap);
}

#[test]
fn classes_are_served_in_order_and_each_has_a_least_share() {
    let mut queue = RequestQueue::new(1_000);
    for n in 0..200 {
        for class in
            [RequestClass::Submission, RequestClass::Query, RequestClass::Cancellation, RequestClass::Heartbeat]
        {
            queue.push(Timestamp::ZERO, class, (class, n)).expect("room");
        }
    }
    let first: Vec<RequestClass> = (0..100)
        .map(|_| match queue.pop(Timestamp::from_millis(1)).expect("it waits") {
            Popped::Serve((class, _)) => class,
            Popped::Shed(request, why) => panic!("{request:?} is shed: {why:?}"),
        })
        .collect();
    let count = |class| first.iter().filter(|c| **c == class).count();
    assert_eq!(first[0], RequestClass::Heartbeat);
    assert!(count(RequestClass::Heartbeat) > 60, "{first:?}");
    for (class, least) in [(RequestClass::Cancellation, 8), (RequestClass::Query, 8), (RequestClass::Submission, 4)] {
        assert!(count(class) >= least, "{class:?}: {}", count(class));
    }
}

#[test]
fn what_the_node_itself_waits_for_is_never_refused() {
    let mut queue = RequestQueue::new(2);
    for n in 0..50 {
        queue.push(Timestamp::ZERO, RequestClass::Internal, n).expect("it always has room");
    }
    assert!(queue.push(Timestamp::ZERO, RequestClass::Heartbeat, 100).is_ok());
    assert!(queue.push(Timestamp::ZERO, RequestClass::Heartbeat, 101).is_ok());
    assert_eq!(queue.push(Timestamp::ZERO, RequestClass::Heartbeat, 102), Err(102));
    // The reports have been given up, and take their least share of the turns.
    let popped: Vec<Popped<i32>> = std::iter::from_fn(|| queue.pop(Timestamp::from_millis(60_000))).collect();
    let served = popped.iter().filter(|popped| matches!(popped, Popped::Serve(n) if *n < 50)).count();
    assert_eq!((served, popped.len()), (50, 52));
    assert_eq!(popped[..4], [0, 1, 2, 3].map(Popped::Serve));
}

#[test]
fn a_request_whose_asker_has_given_up_is_not_worked_on() {
    let patience = [
        (RequestClass::Heartbeat, 4_000),
        (RequestClass::Cancellation, 5_000),
        (RequestClass::Query, 2_000),
        (RequestClass::Submission, 5_000),
    ];
    for (class, patience) in patience {
        let mut queue = RequestQueue::new(10);
        queue.push(Timestamp::from_millis(1_000), class, "late").expect("room");
        let at = Timestamp::from_millis(1_000) + Duration::from_millis(patience);
        assert_eq!(queue.pop(at), Some(Popped::Shed("late", ShedReason::Abandoned)), "{class:?}");
        queue.push(Timestamp::from_millis(1_000), class, "in time").expect("room");
        assert_eq!(queue.pop(Timestamp::from_millis(at.as_millis() - 1)), Some(Popped::Serve("in time")), "{class:?}");
    }
}
