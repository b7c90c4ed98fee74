//! HTTP/1.1 over TCP, as much as the stand-ins need: a server with one thread for each connection, and a client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a server does with a request.
pub enum Answer {
    Send(u16, String),
    /// Close the connection without an answer.
    Drop,
}

fn read_message(stream: &mut TcpStream, deadline: Option<Instant>) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut part = [0u8; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_string();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            });
            let all = end + 4 + length.unwrap_or(0);
            if bytes.len() >= all {
                return Some((head, bytes[end + 4..all].to_vec()));
            }
        }
        if let Some(deadline) = deadline {
            let left = deadline.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            stream.set_read_timeout(Some(left)).ok()?;
        }
        let read = stream.read(&mut part).ok().filter(|n| *n > 0)?;
        bytes.extend(&part[..read]);
    }
}

pub fn serve(listener: TcpListener, handler: impl Fn(&str, &str, &[u8]) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                while let Some((head, body)) = read_message(&mut stream, None) {
                    let mut words = head.split(' ');
                    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                    let Answer::Send(status, text) = handler(method, path, &body) else { return };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        text.len()
                    );
                    if stream.write_all((head + &text).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Addresses on free ports for processes that bind them later. The ports lie below those that the system gives out by
/// itself, so that no other socket gets one of them while its process is away.
pub fn reserve(count: usize, mut random: u64) -> Vec<SocketAddr> {
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    while addresses.len() < count {
        random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let port = 10_000 + (random >> 33) % 20_000;
        let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) else { continue };
        addresses.push(listener.local_addr().expect("an address"));
        listeners.push(listener);
    }
    addresses
}

/// The answer to a request: status, `Retry-After` in seconds, body.
pub type Response = (u16, f64, String);

/// Sends a request on a connection of its own. `None`: no answer within `timeout`, or no connection.
pub fn request(to: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> Option<Response> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_millis(500))).ok()?;
    let _ = stream.set_nodelay(true);
    let length = body.len();
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all((head + body).as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream, Some(deadline))?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let retry_after = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("retry-after").then(|| value.trim().parse().ok())?
    });
    Some((status, retry_after.unwrap_or(0.0), String::from_utf8_lossy(&body).to_string()))
}
