//! Bounds the number of allocations of a leader for its most frequent inputs: unlike times, these counts are
//! reproducible. One more allocation per heartbeat means some hundred more per second on a few hundredths of a core.

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

static ALLOCATION_COUNT: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count of allocations and reallocations.
struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATION_COUNT.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller fulfils the contract of the system's allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        ALLOCATION_COUNT.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller fulfils the contract of the system's allocator.
        unsafe { System.realloc(at, layout, size) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        // SAFETY: the caller fulfils the contract of the system's allocator.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Mean number of allocations per call over this many calls.
fn mean_allocations(calls: usize, mut call: impl FnMut(u64)) -> f64 {
    let before = ALLOCATION_COUNT.load(Ordering::Relaxed);
    (0..calls as u64).for_each(&mut call);
    (ALLOCATION_COUNT.load(Ordering::Relaxed) - before) as f64 / calls as f64
}

#[test]
fn frequent_inputs_allocate_little() {
    const MACHINES: u64 = 300;
    let mut harness = LeaderHarness::new(&log_entries(MACHINES));
    harness.elect();
    let token = harness.node.leader().expect("a leader").token().0;
    let encoded: Vec<Vec<u8>> =
        (0..1200).map(|n| serde_json::to_vec(&heartbeat(1 + n % MACHINES, 10 + n, token)).expect("JSON")).collect();

    let decoding = mean_allocations(encoded.len(), |n| drop(serde_json::from_slice::<Heartbeat>(&encoded[n as usize])));
    let heartbeats: Vec<Box<Heartbeat>> =
        encoded.iter().map(|t| Box::new(serde_json::from_slice(t).expect("a heartbeat"))).collect();
    let mut heartbeats = heartbeats.into_iter();
    // Time advances by three milliseconds per heartbeat, with ticks in between, so that planning rounds are included.
    let handling = mean_allocations(encoded.len(), |n| {
        harness.handle_after(3, Input::Heartbeat(RequestOrigin::Http(n), heartbeats.next().expect("one each")))
    });
    let polling = mean_allocations(500, |n| {
        harness.handle(Input::User(RequestOrigin::Http(n), UserRequest::Get("job-000012".into())))
    });
    let delayed_snapshot = allocations_per_tick_of_a_waiting_snapshot();
    println!("allocations: {delayed_snapshot} per tick while a snapshot waits");
    assert!(
        delayed_snapshot < 0.5,
        "{delayed_snapshot} allocations per tick while a snapshot waits for the write rate limit"
    );
    println!("allocations: {decoding} to decode a heartbeat, {handling} to handle it, {polling} per status query");
    assert!(decoding < MAX_DECODING, "{decoding} allocations to decode a heartbeat of 16 tasks");
    assert!(handling < MAX_HANDLING, "{handling} allocations to handle a heartbeat without changes");
    assert!(polling < MAX_POLLING, "{polling} allocations per status query");
}

const MAX_DECODING: f64 = 8.0;
const MAX_HANDLING: f64 = 14.0;
const MAX_POLLING: f64 = 13.0;

/// Mean allocations per tick while a snapshot waits for the write rate limit. Each tick, heartbeat and request checks
/// the snapshot's next step; copying the step each time took a fifth of a leader's processor time.
fn allocations_per_tick_of_a_waiting_snapshot() -> f64 {
    let limits = StateLimits { rps: 400.0, write_rps: 30.0, value_kb: 8.0, txn_ops: 24, next: None };
    let (now, mut out) = (Timestamp::from_millis(1_000), Vec::new());
    let mut wal = WriteAheadLog::new(FencingToken(5), Format::Two, Timestamp::START, &limits, &Tuning::default());
    wal.start(Timestamp::START, &mut out);
    let empty = ServiceResponse { status: 200, body: r#"{"Pairs": [], "More": false, "Ledger": 5}"#.into() };
    for id in 1..=2 {
        wal.handle_response(now, id, &empty, &mut out);
    }
    assert!(wal.is_loaded(), "the empty log is not loaded");
    wal.begin_snapshot((0..20_000).map(|n| LogRecord::ImageCached(MachineId(n), "an-image-with-a-long-name".into())));
    // Sends steps of the snapshot until the write rate limit is used up.
    let mut sent = usize::MAX;
    while out.len() != sent {
        sent = out.len();
        wal.tick(now, &mut out);
        if let Some(LogEvent::Request(id, _)) = out.last() {
            let done = ServiceResponse { status: 200, body: r#"{"Ledger": 9}"#.into() };
            wal.handle_response(now, *id, &done, &mut Vec::new());
        }
    }
    mean_allocations(200, |_| wal.tick(now, &mut out))
}
