//! Tests of the request queue under overload, with simulated clients that time out and retry.

use caperstile_admission::{Popped, RequestClass, RequestQueue, ShedReason};
use caperstile_types::{Duration, Timestamp};
use std::collections::VecDeque;

const WORKERS: usize = 60;
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
const LEASE_MS: u64 = 8_000;
/// Number of requests that the controller serves per second.
const REQUESTS_SERVED_PER_S: u64 = 200;

/// A simulated client. Times are in milliseconds; `pending_request` is the id and the time of sending of the request
/// whose response it waits for.
#[derive(Debug, Clone, Copy)]
struct Client {
    class: RequestClass,
    timeout: u64,
    next_request_at: u64,
    pending_request: Option<(u64, u64)>,
    last_response_at: u64,
}

/// A queue discipline under test.
trait TestQueue {
    fn push(&mut self, now: u64, class: RequestClass, request: (usize, u64));
    /// Removes the next request. Returns it and whether it is served; shedding a request costs no service time.
    fn pop(&mut self, now: u64) -> Option<((usize, u64), bool)>;
}

struct QueuePerClass(RequestQueue<(usize, u64)>);

impl TestQueue for QueuePerClass {
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

/// A single queue for all classes without shedding, for comparison.
struct SingleQueue(VecDeque<(usize, u64)>);

impl TestQueue for SingleQueue {
    fn push(&mut self, _: u64, _: RequestClass, request: (usize, u64)) {
        self.0.push_back(request);
    }
    fn pop(&mut self, _: u64) -> Option<((usize, u64), bool)> {
        Some((self.0.pop_front()?, true))
    }
}

/// A simulation of 80 s with workers that send heartbeats and users that send queries. From 10 s to 40 s there are
/// `load` times as many users.
struct Run {
    clients: Vec<Client>,
    /// Maximum time for which any worker received no response to its heartbeats, in milliseconds.
    max_response_gap: u64,
    /// Responses that the permanent users received before their timeout, by second.
    responses: Vec<u64>,
    /// Queries that the permanent users sent, by second.
    queries: Vec<u64>,
}

fn simulate(queue: &mut dyn TestQueue, load: usize) -> Run {
    let client = |class, timeout, next_request_at| Client {
        class,
        timeout,
        next_request_at,
        pending_request: None,
        last_response_at: 0,
    };
    let workers = (0..WORKERS as u64).map(|n| client(RequestClass::Heartbeat, 4_000, n * HEARTBEAT_INTERVAL_MS / 60));
    let user_count = 200 * load as u64;
    let users = (0..user_count).map(|n| {
        let first_request_at = if n < 200 { n * 25 } else { 10_000 + n % 5_000 };
        client(RequestClass::Query, 2_000, first_request_at)
    });
    let mut run = Run {
        clients: workers.chain(users).collect(),
        max_response_gap: 0,
        responses: vec![0; 80],
        queries: vec![0; 80],
    };
    let mut last_request_id = 0;
    for now in (0..80_000).step_by(5) {
        for index in 0..run.clients.len() {
            let is_flooding = index >= WORKERS + 200;
            let client = &mut run.clients[index];
            if is_flooding && now >= 40_000 {
                client.pending_request = None;
                continue;
            }
            if client.pending_request.is_some_and(|(_, sent)| now >= sent + client.timeout) {
                // The client times out and retries after 1 s.
                (client.pending_request, client.next_request_at) = (None, now + 1_000);
            }
            if client.pending_request.is_none() && now >= client.next_request_at {
                last_request_id += 1;
                client.pending_request = Some((last_request_id, now));
                queue.push(now, client.class, (index, last_request_id));
                if client.class == RequestClass::Query && !is_flooding {
                    run.queries[(now / 1000) as usize] += 1;
                }
            }
        }
        serve(&mut run, queue, now);
    }
    let final_gap = run.clients[..WORKERS].iter().map(|client| 80_000 - client.last_response_at).max();
    run.max_response_gap = run.max_response_gap.max(final_gap.unwrap_or(0));
    run
}

/// Serves as many requests as fit into one step of 5 ms.
fn serve(run: &mut Run, queue: &mut dyn TestQueue, now: u64) {
    let mut capacity = REQUESTS_SERVED_PER_S * 5 / 1000;
    while capacity > 0
        && let Some(((index, request), served)) = queue.pop(now)
    {
        capacity -= u64::from(served);
        let client = &mut run.clients[index];
        if client.pending_request.is_none_or(|(own, _)| own != request) {
            continue; // the client has timed out and does not read this response
        }
        client.pending_request = None;
        let interval = if client.class == RequestClass::Heartbeat { HEARTBEAT_INTERVAL_MS } else { 5_000 };
        client.next_request_at = now + if served { interval } else { 1_000 };
        if served {
            if client.class == RequestClass::Heartbeat {
                run.max_response_gap = run.max_response_gap.max(now - client.last_response_at);
            } else if index < WORKERS + 200 {
                run.responses[(now / 1000) as usize] += 1;
            }
            client.last_response_at = now;
        }
    }
}

/// Returns the ratio of responses to queries of the permanent users, from 5 s after the end of the flood.
fn response_share_after_flood(run: &Run) -> f64 {
    let (responses, queries): (u64, u64) = (run.responses[45..].iter().sum(), run.queries[45..].iter().sum());
    responses as f64 / queries as f64
}

#[test]
fn a_flood_of_questions_costs_no_worker_its_lease_and_is_over_when_it_is_over() {
    let run = simulate(&mut QueuePerClass(RequestQueue::new(5_000)), 12);
    assert!(run.max_response_gap < LEASE_MS / 2, "a worker got no response for {} ms", run.max_response_gap);
    assert!(
        response_share_after_flood(&run) > 0.95,
        "{:.2} of the queries after the flood got a response",
        response_share_after_flood(&run)
    );
    // During the flood, too, queries get their minimum share of the service.
    let windows = run.responses[15..40].chunks(5).map(|window| window.iter().sum::<u64>());
    assert!(windows.clone().all(|responses| responses > 0), "{:?}", run.responses);
}

/// The same flood without request classes and shedding: heartbeats wait behind queries, so that workers lose their
/// leases.
#[test]
fn with_a_single_queue_a_flood_of_queries_makes_leases_expire() {
    let run = simulate(&mut SingleQueue(VecDeque::new()), 12);
    assert!(
        run.max_response_gap > LEASE_MS,
        "no worker was without a response for longer than {} ms",
        run.max_response_gap
    );
}

#[test]
fn classes_are_served_in_order_and_each_has_a_least_share() {
    let mut queue = RequestQueue::new(1_000);
    for n in 0..200 {
        for class in
            [RequestClass::Submission, RequestClass::Query, RequestClass::Cancellation, RequestClass::Heartbeat]
        {
            queue.push(Timestamp::ZERO, class, (class, n)).expect("the queue is not full");
        }
    }
    let first: Vec<RequestClass> = (0..100)
        .map(|_| match queue.pop(Timestamp::from_millis(1)).expect("the queue is not empty") {
            Popped::Serve((class, _)) => class,
            Popped::Shed(request, reason) => panic!("{request:?} is shed: {reason:?}"),
        })
        .collect();
    let count = |class| first.iter().filter(|c| **c == class).count();
    assert_eq!(first[0], RequestClass::Heartbeat);
    assert!(count(RequestClass::Heartbeat) > 60, "{first:?}");
    for (class, min_count) in [(RequestClass::Cancellation, 8), (RequestClass::Query, 8), (RequestClass::Submission, 4)]
    {
        assert!(count(class) >= min_count, "{class:?}: {}", count(class));
    }
}

#[test]
fn internal_events_are_never_rejected_or_shed() {
    let mut queue = RequestQueue::new(2);
    for n in 0..50 {
        queue.push(Timestamp::ZERO, RequestClass::Internal, n).expect("internal events are unbounded");
    }
    assert!(queue.push(Timestamp::ZERO, RequestClass::Heartbeat, 100).is_ok());
    assert!(queue.push(Timestamp::ZERO, RequestClass::Heartbeat, 101).is_ok());
    assert_eq!(queue.push(Timestamp::ZERO, RequestClass::Heartbeat, 102), Err(102));
    // The heartbeats have timed out, but still take their turns by their minimum share and are shed then.
    let popped: Vec<Popped<i32>> = std::iter::from_fn(|| queue.pop(Timestamp::from_millis(60_000))).collect();
    let served = popped.iter().filter(|popped| matches!(popped, Popped::Serve(n) if *n < 50)).count();
    assert_eq!((served, popped.len()), (50, 52));
    assert_eq!(popped[..4], [0, 1, 2, 3].map(Popped::Serve));
}

#[test]
fn a_request_whose_asker_has_given_up_is_not_worked_on() {
    let timeouts = [
        (RequestClass::Heartbeat, 4_000),
        (RequestClass::Cancellation, 5_000),
        (RequestClass::Query, 2_000),
        (RequestClass::Submission, 5_000),
    ];
    for (class, timeout) in timeouts {
        let mut queue = RequestQueue::new(10);
        queue.push(Timestamp::from_millis(1_000), class, "late").expect("the queue is not full");
        let at = Timestamp::from_millis(1_000) + Duration::from_millis(timeout);
        assert_eq!(queue.pop(at), Some(Popped::Shed("late", ShedReason::Abandoned)), "{class:?}");
        queue.push(Timestamp::from_millis(1_000), class, "in time").expect("the queue is not full");
        assert_eq!(queue.pop(Timestamp::from_millis(at.as_millis() - 1)), Some(Popped::Serve("in time")), "{class:?}");
    }
}
