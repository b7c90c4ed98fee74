//! What waits for one controller: a bounded queue for each class of requests, served by priority with a least share for all.

use caperstile_types::{Duration, Timestamp};
use std::collections::VecDeque;

/// Classes of requests, most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// What the node itself waits for: answers of other services and nodes, links, the state of the leadership.
    Internal,
    /// Health checks and workers' reports: without an answer a worker's lease runs out.
    Heartbeat,
    /// Cancellations.
    Cancellation,
    /// Questions about jobs.
    Query,
    /// Submissions.
    Submission,
}

/// Number of classes.
const CLASSES: usize = 5;

/// After so many requests of more important classes one of this class is served, if any waits.
const LEAST_SHARE: [u32; CLASSES] = [0, 4, 8, 8, 16];

/// How long those who ask wait for an answer; afterwards nobody would read it.
const PATIENCE: [Option<Duration>; CLASSES] = [
    None,
    Some(Duration::from_secs(4)),
    Some(Duration::from_secs(5)),
    Some(Duration::from_secs(2)),
    Some(Duration::from_secs(5)),
];

/// Time in the queue that is acceptable in the long run, for classes that may be shed.
const TARGET: Duration = Duration::from_millis(500);
/// A queue whose requests have waited longer than `TARGET` for so long does not get shorter by itself.
const INTERVAL: Duration = Duration::from_secs(2);

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedReason {
    /// Whoever asked has given up.
    Abandoned,
    /// Requests of this class have waited too long for too long.
    Overload,
}

/// What comes out of the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// To be served.
    Serve(T),
    /// To be refused at once.
    Shed(T, ShedReason),
}

#[derive(Debug)]
struct ClassQueue<T> {
    waiting: VecDeque<(Timestamp, T)>,
    capacity: usize,
    /// Requests of more important classes that were served while some waited here.
    passed_over: u32,
    /// Since when every request has waited for longer than the target.
    above_target_since: Option<Timestamp>,
}

/// Requests that wait for one controller.
///
/// Within a class they are served in the order of their arrival. The time in the queue decides what is shed, not its length, by CoDel's
/// idea of a controlled delay: once every request has waited longer than the target for an interval, the queue does not get shorter by
/// itself, and requests that have waited that long are shed until it has. Reports and cancellations are shed only when nobody waits for
/// the answer any more.
#[derive(Debug)]
pub struct RequestQueue<T> {
    classes: [ClassQueue<T>; CLASSES],
}

impl<T> RequestQueue<T> {
    /// A queue that holds so many requests of each class.
    pub fn new(capacity: usize) -> RequestQueue<T> {
        let class = || ClassQueue { waiting: VecDeque::new(), capacity, passed_over: 0, above_target_since: None };
        RequestQueue { classes: std::array::from_fn(|_| class()) }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.waiting.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|class| class.waiting.is_empty())
    }

    /// Adds a request; gives it back if its class has no room. What the node itself waits for always has.
    pub fn push(&mut self, now: Timestamp, class: RequestClass, request: T) -> Result<(), T> {
        let queue = &mut self.classes[class as usize];
        if class != RequestClass::Internal && queue.waiting.len() >= queue.capacity {
            return Err(request);
        }
        queue.waiting.push_back((now, request));
        Ok(())
    }

    /// Takes the next request.
    pub fn pop(&mut self, now: Timestamp) -> Option<Popped<T>> {
        let class = self.next_class()?;
        for lower in class + 1..CLASSES {
            if !self.classes[lower].waiting.is_empty() {
                self.classes[lower].passed_over += 1;
            }
        }
        let queue = &mut self.classes[class];
        queue.passed_over = 0;
        let (arrived, request) = queue.waiting.pop_front()?;
        let waited = now.since(arrived);
        if PATIENCE[class].is_some_and(|patience| waited >= patience) {
            return Some(Popped::Shed(request, ShedReason::Abandoned));
        }
        if class >= RequestClass::Query as usize && queue.sheds(now, waited) {
            return Some(Popped::Shed(request, ShedReason::Overload));
        }
        Some(Popped::Serve(request))
    }

    /// The most important class that waits, or a less important one whose share is due.
    fn next_class(&self) -> Option<usize> {
        let waits = |class: &usize| !self.classes[*class].waiting.is_empty();
        let due = |class: &usize| {
            let share = LEAST_SHARE[*class];
            share > 0 && self.classes[*class].passed_over >= share
        };
        (0..CLASSES).filter(waits).find(due).or_else(|| (0..CLASSES).find(waits))
    }
}

impl<T> ClassQueue<T> {
    /// Whether the request that has waited so long is shed.
    fn sheds(&mut self, now: Timestamp, waited: Duration) -> bool {
        if waited < TARGET {
            self.above_target_since = None;
            return false;
        }
        let since = *self.above_target_since.get_or_insert(now);
        now.since(since) >= INTERVAL
    }
}
