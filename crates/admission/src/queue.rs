//! The request queue of one controller: one bounded queue for each request class, served by priority with a minimum
//! share for each class.

use caperstile_types::{Duration, Timestamp};
use std::collections::VecDeque;

/// Request classes in descending order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// Events that the node itself depends on: responses of other services and nodes, link changes, leadership changes.
    Internal,
    /// Health checks and workers' heartbeats: a worker whose heartbeats get no response loses its lease.
    Heartbeat,
    /// Cancellations of jobs.
    Cancellation,
    /// Queries for the status of jobs.
    Query,
    /// Submissions of jobs.
    Submission,
}

/// Number of request classes.
const CLASS_COUNT: usize = 5;

/// By class: number of requests of higher classes after which one request of this class is taken next, if any is
/// queued. This is the class's minimum share of the service; 0 means that it has none.
const MAX_PASSED_OVER: [u32; CLASS_COUNT] = [0, 4, 8, 8, 16];

/// Time that clients of each class wait for a response; a later response would not be read. `None`: no timeout.
const CLIENT_TIMEOUT: [Option<Duration>; CLASS_COUNT] = [
    None,
    Some(Duration::from_secs(4)),
    Some(Duration::from_secs(5)),
    Some(Duration::from_secs(2)),
    Some(Duration::from_secs(5)),
];

/// Queueing delay that is acceptable permanently, for classes that are subject to load shedding (CoDel's target).
const TARGET_DELAY: Duration = Duration::from_millis(500);
/// Time for which the queueing delay must exceed [`TARGET_DELAY`] before requests are shed (CoDel's interval): a queue
/// that stays above the target for this long does not drain without shedding.
const OVERLOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Why a request is shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedReason {
    /// The client no longer waits for the response: its timeout has passed or it has disconnected.
    Abandoned,
    /// The queue of the request's class is overloaded: it is full, or its queueing delay has exceeded the target for
    /// too long.
    Overload,
}

/// A request taken from the queue, and what is to be done with it.
#[derive(Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// The request is to be processed.
    Serve(T),
    /// The request is to be rejected immediately, for the given reason.
    Shed(T, ShedReason),
}

#[derive(Debug)]
struct ClassQueue<T> {
    requests: VecDeque<(Timestamp, T)>,
    capacity: usize,
    /// Number of requests of higher classes that were taken since this queue was last served, while it was not empty.
    passed_over: u32,
    /// Time since which every request taken from this queue has exceeded the target delay.
    above_target_since: Option<Timestamp>,
}

/// Requests that are queued for processing by one controller.
///
/// Requests of one class are served in the order of their arrival. As in CoDel (controlled delay), the queueing delay
/// rather than the length of the queue decides on shedding: once every request has exceeded the target delay for one
/// interval, the queue does not drain by itself, and requests that exceed the target are shed until one is below it
/// again. Heartbeats and cancellations are shed only if their client no longer waits for the response.
#[derive(Debug)]
pub struct RequestQueue<T> {
    classes: [ClassQueue<T>; CLASS_COUNT],
}

impl<T> RequestQueue<T> {
    /// Creates an empty queue that holds up to `capacity` requests of each class, except for
    /// [`RequestClass::Internal`], which is unbounded.
    pub fn new(capacity: usize) -> RequestQueue<T> {
        let class = || ClassQueue { requests: VecDeque::new(), capacity, passed_over: 0, above_target_since: None };
        RequestQueue { classes: std::array::from_fn(|_| class()) }
    }

    /// Returns the number of queued requests of all classes.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.requests.len()).sum()
    }

    /// Whether no request of any class is queued.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|class| class.requests.is_empty())
    }

    /// Appends a request to the queue of its class. Returns it as the error if that queue is full, which a queue of
    /// internal events never is.
    pub fn push(&mut self, now: Timestamp, class: RequestClass, request: T) -> Result<(), T> {
        let queue = &mut self.classes[class as usize];
        if class != RequestClass::Internal && queue.requests.len() >= queue.capacity {
            return Err(request);
        }
        queue.requests.push_back((now, request));
        Ok(())
    }

    /// Removes the next request and decides whether it is served or shed; `None` if the queue is empty.
    pub fn pop(&mut self, now: Timestamp) -> Option<Popped<T>> {
        let class = self.next_class()?;
        for lower in class + 1..CLASS_COUNT {
            if !self.classes[lower].requests.is_empty() {
                self.classes[lower].passed_over += 1;
            }
        }
        let queue = &mut self.classes[class];
        queue.passed_over = 0;
        let (enqueued_at, request) = queue.requests.pop_front()?;
        let waited = now.since(enqueued_at);
        if CLIENT_TIMEOUT[class].is_some_and(|timeout| waited >= timeout) {
            return Some(Popped::Shed(request, ShedReason::Abandoned));
        }
        if class >= RequestClass::Query as usize && queue.should_shed(now, waited) {
            return Some(Popped::Shed(request, ShedReason::Overload));
        }
        Some(Popped::Serve(request))
    }

    /// Returns the class to serve next: the highest class that has reached its [`MAX_PASSED_OVER`], otherwise the
    /// highest class with queued requests.
    fn next_class(&self) -> Option<usize> {
        let is_queued = |class: &usize| !self.classes[*class].requests.is_empty();
        let due = |class: &usize| {
            let max_passed_over = MAX_PASSED_OVER[*class];
            max_passed_over > 0 && self.classes[*class].passed_over >= max_passed_over
        };
        (0..CLASS_COUNT).filter(is_queued).find(due).or_else(|| (0..CLASS_COUNT).find(is_queued))
    }
}

impl<T> ClassQueue<T> {
    /// Whether a request with this queueing delay is shed. Updates the time since which the target is exceeded.
    fn should_shed(&mut self, now: Timestamp, waited: Duration) -> bool {
        if waited < TARGET_DELAY {
            self.above_target_since = None;
            return false;
        }
        let since = *self.above_target_since.get_or_insert(now);
        now.since(since) >= OVERLOAD_INTERVAL
    }
}
