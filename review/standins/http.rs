//! HTTP/1.1 over loopback: a server with one thread for each connection, and a client with one connection for each
//! request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    /// Path with its query.
    pub path: String,
    pub body: String,
}

/// Status and body of a response.
pub type Answer = (u16, String);

fn head_and_body(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, String)> {
    let mut part = [0u8; 16 * 1024];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_string();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            });
            let all = end + 4 + length.unwrap_or(0);
            if bytes.len() >= all {
                let body = String::from_utf8_lossy(&bytes[end + 4..all]).to_string();
                bytes.drain(..all);
                return Some((head, body));
            }
        }
        let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
        bytes.extend(&part[..count]);
    }
}

/// Serves requests. A handler that returns `None` closes the connection without an answer.
pub fn serve(listener: TcpListener, handler: impl Fn(&Request) -> Option<Answer> + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut bytes = Vec::new();
                while let Some((head, body)) = head_and_body(&mut stream, &mut bytes) {
                    let mut words = head.split(' ');
                    let (Some(method), Some(path)) = (words.next(), words.next()) else { return };
                    let request = Request { method: method.into(), path: path.into(), body };
                    let Some((status, body)) = handler(&request) else { return };
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a connection of its own; `None` without a complete answer within `timeout`.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (head, body) = head_and_body(&mut stream, &mut Vec::new())?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body))
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}
