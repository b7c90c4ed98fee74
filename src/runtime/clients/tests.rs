//! Requests as they go over the wire: method, path, content type and body.

use super::*;
use crate::fixture::{self, Example, example};
use crate::store::condition;
use crate::units::{Duration as Milliseconds, LeaseId, Revision};
use crate::wire::{Change, Order, RentRequest, Txn};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

/// Answers this many requests with `{}`; each request without headers that do not matter.
fn serve(listener: TcpListener, requests: usize) -> std::thread::JoinHandle<Vec<String>> {
    std::thread::spawn(move || {
        let mut seen = Vec::new();
        while seen.len() < requests {
            let (stream, _) = listener.accept().expect("a connection");
            while seen.len() < requests
                && let Some(request) = read_request(&stream)
            {
                seen.push(request);
                (&stream).write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").expect("a reader");
            }
        }
        seen
    })
}

/// The next request on a connection; none if it was closed.
fn read_request(mut stream: &TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text");
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("none").to_string();
    let mut body = vec![0; header("content-length: ").parse().unwrap_or(0)];
    stream.read_exact(&mut body).expect("the body");
    let body = String::from_utf8(body).expect("text");
    let line = head.lines().next().expect("a request line");
    Some(format!("{line} | {} | {body}", header("content-type: ")))
}

fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    match listener.local_addr().expect("an address") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(_) => unreachable!("it listens on an IPv4 address"),
    }
}

fn named(names: impl Iterator<Item = &'static str>, requests: Vec<String>) -> Vec<Example> {
    names.zip(requests).map(|(name, request)| example(name, request)).collect()
}

#[test]
fn calls_to_the_state_service_keep_their_form() {
    let txn = Txn {
        conditions: vec![condition("leader-2", Revision(41)), condition("log/000000000007", Revision(0))],
        changes: vec![Change::Put { key: "log/000000000007".into(), value: "x".into(), lease: Some(7) }],
    };
    let scan = |after| StateCall::Scan { prefix: "log/".into(), after };
    let calls = [
        ("get", StateCall::Get("drain/request/kernel-5".into())),
        ("scan", scan(None)),
        ("scan-after", scan(Some("log/000000000006".into()))),
        ("transaction", StateCall::Txn(txn)),
        ("grant", StateCall::Grant(Milliseconds(1500))),
        ("renew", StateCall::Renew(LeaseId(7))),
        ("revoke", StateCall::Revoke(LeaseId(7))),
    ];
    let (listener, address) = listen();
    let server = serve(listener, calls.len());
    let client = StateClient::new(address).expect("a client");
    for (name, call) in &calls {
        assert_eq!(client.ask(call.clone()).status, 200, "{name}");
    }
    let made = named(calls.iter().map(|(name, _)| *name), server.join().expect("requests"));
    fixture::assert_examples("wire/calls-to-state.txt", &made);
}

#[test]
fn calls_to_the_cloud_and_workers_keep_their_form() {
    let rent = RentRequest { request: "r-17".into(), kind: "g8".into(), zone: "a".into(), spot: true, count: 12 };
    let calls = [
        ("flavors", CloudCall::Flavors),
        ("rent", CloudCall::Rent(rent)),
        ("return", CloudCall::Return(vec![MachineId(231), MachineId(232)])),
        ("list", CloudCall::List(None)),
        ("list-after", CloudCall::List(Some("m-000230".into()))),
    ];
    let (listener, address) = listen();
    let server = serve(listener, calls.len() + 1);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (tell, mut told) = mpsc::channel(16);
        let (urgent, _never) = mpsc::channel(16);
        let mut settings = Settings::parse(crate::settings::tests::SAMPLE).expect("settings");
        settings.external.cloud = address;
        let clients = Clients::new(&settings, tell, urgent).expect("clients");
        for (name, call) in &calls {
            clients.cloud(41, 1, call.clone());
            let Some(Message::Input(Input::Cloud(41, 1, reply))) = told.recv().await else { panic!("{name}") };
            assert_eq!(reply.status, 200, "{name}");
        }
        drop(clients);
    });
    let orders = vec![Order::Run { task: "job-000412/4".into(), attempt: 2 }];
    runtime.block_on(async {
        let (tell, mut told) = mpsc::channel(16);
        let (urgent, _never) = mpsc::channel(16);
        let settings = Settings::parse(crate::settings::tests::SAMPLE).expect("settings");
        let clients = Clients::new(&settings, tell, urgent).expect("clients");
        let body = Commands { token: 41, session: 3, orders };
        clients.command(41, MachineId(231), &address.to_string(), 1, &body);
        let Some(Message::Input(Input::Command(41, MachineId(231), 1, reply))) = told.recv().await else { panic!() };
        assert_eq!(reply.status, 200);
    });
    let names = calls.iter().map(|(name, _)| *name).chain(["commands"]);
    let made = named(names, server.join().expect("requests"));
    fixture::assert_examples("wire/calls-to-cloud-and-workers.txt", &made);
}
