//! What a leader allocates for its most frequent inputs: counts repeat, times do not. Each allocation more in a report is
//! some hundred more a second on a few hundredths of a core.

#[path = "support/leader_harness.rs"]
mod leader_harness;

use caperstile::api::UserRequest;
use caperstile::effects::{Input, RequestOrigin};
use caperstile::settings::{StateLimits, Tuning};
use caperstile::store::ServiceResponse;
use caperstile::types::{FencingToken, MachineId, Timestamp};
use caperstile::upgrade::Format;
use caperstile::wire::Heartbeat;
use caperstile::write_ahead_log::{LogEvent, LogRecord, WriteAheadLog};
use leader_harness::{LeaderHarness, heartbeat, log_entries};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static COUNT: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count.
struct Counting;

// SAFETY: every call goes to the system's allocator as it came.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        COUNT.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of the system's allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        COUNT.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of the system's allocator.
        unsafe { System.realloc(at, layout, size) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of the system's allocator.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Mean of allocations over so many calls.
fn mean(calls: usize, mut call: impl FnMut(u64)) -> f64 {
    let before = COUNT.load(Ordering::Relaxed);
    (0..calls as u64).for_each(&mut call);
    (COUNT.load(Ordering::Relaxed) - before) as f64 / calls as f64
}

#[test]
fn frequent_inputs_allocate_little() {
    const MACHINES: u64 = 300;
    let mut harness = LeaderHarness::new(&log_entries(MACHINES));
    harness.elect();
    let token = harness.node.leader().expect("it leads").token().0;
    let texts: Vec<Vec<u8>> =
        (0..1200).map(|n| serde_json::to_vec(&heartbeat(1 + n % MACHINES, 10 + n, token)).expect("JSON")).collect();

    let reading = mean(texts.len(), |n| drop(serde_json::from_slice::<Heartbeat>(&texts[n as usize])));
    let reports: Vec<Box<Heartbeat>> =
        texts.iter().map(|t| Box::new(serde_json::from_slice(t).expect("a report"))).collect();
    let mut reports = reports.into_iter();
    // Three reports a millisecond apart and a tick now and then, so that rounds of planning are in it.
    let taking = mean(texts.len(), |n| {
        harness.handle_after(3, Input::Heartbeat(RequestOrigin::Http(n), reports.next().expect("one each")))
    });
    let polling =
        mean(500, |n| harness.handle(Input::User(RequestOrigin::Http(n), UserRequest::Get("job-000012".into()))));
    let waiting = ticks_of_a_waiting_snapshot();
    println!("{waiting} for a tick while a snapshot waits");
    assert!(waiting < 0.5, "{waiting} allocations for a tick while a snapshot waits for the write budget");
    println!("{reading} to read a report, {taking} to take it, {polling} for a poll");
    assert!(reading < READING, "{reading} allocations to read a report of 16 tasks");
    assert!(taking < TAKING, "{taking} allocations to take a report that shows nothing new");
    assert!(polling < POLLING, "{polling} allocations for a poll");
}

const READING: f64 = 8.0;
const TAKING: f64 = 14.0;
const POLLING: f64 = 13.0;

/// Each tick, report and request looks at the snapshot's next step. Copying it each time was a fifth of a leader's processor time.
fn ticks_of_a_waiting_snapshot() -> f64 {
    let limits = StateLimits { rps: 400.0, write_rps: 30.0, value_kb: 8.0, txn_ops: 24, next: None };
    let (now, mut out) = (Timestamp::from_millis(1_000), Vec::new());
    let mut records = WriteAheadLog::new(FencingToken(5), Format::Two, Timestamp::START, &limits, &Tuning::default());
    records.start(Timestamp::START, &mut out);
    let empty = ServiceResponse { status: 200, body: r#"{"Pairs": [], "More": false, "Ledger": 5}"#.into() };
    for id in 1..=2 {
        records.handle_response(now, id, &empty, &mut out);
    }
    assert!(records.is_loaded(), "it has read the empty log");
    records
        .begin_snapshot((0..20_000).map(|n| LogRecord::ImageCached(MachineId(n), "an-image-with-a-long-name".into())));
    // Steps are sent until the budget is used up.
    let mut sent = usize::MAX;
    while out.len() != sent {
        sent = out.len();
        records.tick(now, &mut out);
        if let Some(LogEvent::Request(id, _)) = out.last() {
            let done = ServiceResponse { status: 200, body: r#"{"Ledger": 9}"#.into() };
            records.handle_response(now, *id, &done, &mut Vec::new());
        }
    }
    mean(200, |_| records.tick(now, &mut out))
}
