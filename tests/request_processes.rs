//! Half-sent, slow, chunked, oversized and malformed requests to actual controller processes on loopback.

mod support;

use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::process_harness::{CONTROLLERS, JobProfile, ProcessHarness, http_request};

/// A request of users gets its response within this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// A health check gets its response within this time.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
const SERVICE: JobProfile = JobProfile { class: "live", shape: "standing", tasks: 2, run_ms: 0 };
const BATCH: JobProfile = JobProfile { class: "render", shape: "batch", tasks: 1, run_ms: 200 };
/// Connections to each controller that are held open with a part of a request.
const HELD_CONNECTIONS: usize = 150;
/// Time for which they are held: more than a lease and than the time in which a body must arrive.
const HOLD: Duration = Duration::from_secs(12);

fn submission(id: &str) -> String {
    json!({"Ref": id, "Lane": "render", "Crew": "studio", "Shape": "batch", "Rank": "standard", "Pieces": 1, "Cores": 1,
        "Cards": 0, "MemoryGb": 1, "Reel": "img", "ImageGb": 0.5, "Together": false, "Spread": false, "Loaners": false,
        "RuntimeS": 0.2, "BookmarkS": 0, "StashS": 0})
    .to_string()
}

fn request(headers: &str, body: &str) -> String {
    format!("POST /work HTTP/1.1\r\nHost: x\r\n{headers}\r\n\r\n{body}")
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).expect("a connection");
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("a timeout");
    stream
}

/// Sends the parts with a pause before each but the first, and returns what arrives until the connection is closed.
fn exchange(to: SocketAddr, parts: &[&[u8]], pause: Duration) -> String {
    let mut stream = connect(to);
    for (number, part) in parts.iter().enumerate() {
        std::thread::sleep(if number == 0 { Duration::ZERO } else { pause });
        // The controller may have closed the connection after an invalid part.
        let _ = stream.write_all(part);
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Opens connections to every controller, each with a part of a request.
fn hold_connections(harness: &ProcessHarness) -> Vec<TcpStream> {
    let whole = request("Content-Length: 900", &submission("job-000900"));
    let chunked = request("Transfer-Encoding: chunked", "40\r\n{\"Ref\":");
    let parts = ["", "POS", &whole[..40], &whole[..whole.len() / 2], &whole, &chunked];
    let send_part = |to: SocketAddr, number: usize| {
        let mut stream = connect(to);
        stream.write_all(parts[number % parts.len()].as_bytes()).expect("the part is sent");
        stream
    };
    let nodes = (0..CONTROLLERS).flat_map(|node| (0..HELD_CONNECTIONS).map(move |number| (node, number)));
    nodes.map(|(node, number)| send_part(harness.api(node), number)).collect()
}

fn assert_healthy(harness: &ProcessHarness) {
    for node in 0..CONTROLLERS {
        let begin = Instant::now();
        let status = http_request(harness.api(node), "GET", "/up", "").map(|(status, _)| status);
        assert_eq!(status, Some(200), "node {node}");
        assert!(begin.elapsed() < HEALTH_CHECK_TIMEOUT, "node {node}: {:?}", begin.elapsed());
    }
}

/// Guards against a controller that ends, or serves nobody else, because of requests that are not sent whole.
#[test]
fn half_sent_requests_block_neither_users_nor_workers_nor_health_checks() {
    let harness = ProcessHarness::start("half-sent", "");
    harness.submit("job-000001", SERVICE, 1.0);
    harness.wait_until("a service", || (harness.fake_services().running_tasks("job-000001") == 2).then_some(()));
    harness.wait_until("healthy controllers", || {
        let is_up = |node| http_request(harness.api(node), "GET", "/up", "").is_some_and(|(status, _)| status == 200);
        (0..CONTROLLERS).all(is_up).then_some(())
    });
    let held = hold_connections(&harness);
    let begin = Instant::now();
    let mut number = 100;
    while begin.elapsed() < HOLD {
        assert_healthy(&harness);
        let status = harness.try_submit(number % CONTROLLERS, &format!("job-{number:06}"), BATCH, 1.0);
        assert_eq!(status, Some(201), "job {number}");
        number += 1;
        std::thread::sleep(Duration::from_millis(500));
    }
    drop(held);
    assert_eq!(harness.fake_services().expired_leases(), 0, "a machine was without responses for a lease");
    assert_eq!(harness.fake_services().running_tasks("job-000001"), 2);
    let (status, _) = http_request(harness.api(0), "GET", "/work/job-000900", "").expect("a response");
    assert_eq!(status, 404, "a half-sent job was accepted");
}

/// Guards against sound submissions that are refused, and others that are accepted, because of how they are sent.
#[test]
fn slow_and_chunked_submissions_are_accepted_and_oversized_and_broken_ones_are_not() {
    let harness = ProcessHarness::start("slow", "");
    harness.submit("job-000001", BATCH, 1.0);
    let close = |body: &str| format!("Connection: close\r\nContent-Length: {}", body.len());
    for node in 0..CONTROLLERS {
        let to = harness.api(node);
        let id = |kind: usize| format!("job-{:06}", 100 * (node + 1) + kind);
        for kind in 0..3 {
            harness.fake_services().jobs.insert(id(kind), BATCH);
        }
        let body = submission(&id(0));
        let slow = request(&close(&body), &body);
        let parts: Vec<&[u8]> = slow.as_bytes().chunks(60).collect();
        let response = exchange(to, &parts, Duration::from_millis(250));
        assert!(response.starts_with("HTTP/1.1 201"), "slowly sent to node {node}: {response}");
        let body = submission(&id(1));
        let chunks: String =
            body.as_bytes().chunks(7).map(|c| format!("{:x}\r\n{}\r\n", c.len(), c.escape_ascii())).collect();
        let chunks = chunks.replace("\\\"", "\"") + "0\r\n\r\n";
        let chunked = request("Connection: close\r\nTransfer-Encoding: chunked", &chunks);
        let response = exchange(to, &[chunked.as_bytes()], Duration::ZERO);
        assert!(response.starts_with("HTTP/1.1 201"), "chunked to node {node}: {response}");
        let body = submission(&id(2));
        let twice = request(&format!("Content-Length: {}", body.len()), &body) + &request(&close(&body), &body);
        let response = exchange(to, &[twice.as_bytes()], Duration::ZERO);
        assert!(response.starts_with("HTTP/1.1 201") && response.contains("HTTP/1.1 200"), "pipelined: {response}");
        let body = submission(&id(3)) + &" ".repeat(64 * 1024);
        let response = exchange(to, &[request(&close(&body), &body).as_bytes()], Duration::ZERO);
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 413"), "oversized: {response}");
        let body = submission(&id(4)).replace(':', "");
        let response = exchange(to, &[request(&close(&body), &body).as_bytes()], Duration::ZERO);
        assert!(response.starts_with("HTTP/1.1 400"), "not JSON: {response}");
        for nonsense in ["\0\u{1}\u{2}\r\n\r\n", "GET /up HTTP/9.9\r\n\r\n", "POST /work\r\n\r\n{}"] {
            let response = exchange(to, &[nonsense.as_bytes()], Duration::ZERO);
            assert!(response.is_empty() || response.starts_with("HTTP/1.1 400"), "{nonsense:?}: {response}");
        }
        for kind in 3..5 {
            let path = format!("/work/{}", id(kind));
            assert_eq!(http_request(to, "GET", &path, "").expect("a response").0, 404, "{path}");
        }
    }
    many_at_once(&harness);
    assert_healthy(&harness);
}

/// Submits many jobs at the same moment.
fn many_at_once(harness: &ProcessHarness) {
    std::thread::scope(|scope| {
        let submit = |number: usize| harness.try_submit(number % CONTROLLERS, &format!("job-{number:06}"), BATCH, 1.0);
        let users: Vec<_> = (1000..1100).map(|number| scope.spawn(move || submit(number))).collect();
        for user in users {
            assert_eq!(user.join().expect("the user ends"), Some(201));
        }
    });
}
