//! Checks requests to other services as they are sent over the wire: method, path, content type and body.

use super::*;
use crate::fixture::{self, Example, example};
use crate::store::condition;
use crate::types::{Duration as Milliseconds, LeaseId, Revision};
use crate::wire::{CompareAndSwap, ScaleOutRequest, StoreWrite, WorkerCommand};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

/// Responds to this many requests with `{}`. Returns each request's method, path, content type and body.
fn serve(listener: TcpListener, count: usize) -> std::thread::JoinHandle<Vec<String>> {
    std::thread::spawn(move || {
        let mut received = Vec::new();
        while received.len() < count {
            let (stream, _) = listener.accept().expect("a connection");
            while received.len() < count
                && let Some(request) = read_request(&stream)
            {
                received.push(request);
                (&stream).write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").expect("a reader");
            }
        }
        received
    })
}

/// Reads the next request on a connection; `None` if the connection was closed.
fn read_request(mut stream: &TcpStream) -> Option<String> {
    let mut headers = Vec::new();
    let mut byte = [0];
    while !headers.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        headers.push(byte[0]);
    }
    let headers = String::from_utf8(headers).expect("text");
    let header = |name: &str| headers.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("none").to_string();
    let mut body = vec![0; header("content-length: ").parse().unwrap_or(0)];
    stream.read_exact(&mut body).expect("the body");
    let body = String::from_utf8(body).expect("text");
    let request_line = headers.lines().next().expect("a request line");
    Some(format!("{request_line} | {} | {body}", header("content-type: ")))
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
fn requests_to_the_state_service_match_the_fixture() {
    let txn = CompareAndSwap {
        conditions: vec![condition("leader-2", Revision(41)), condition("log/000000000007", Revision(0))],
        writes: vec![StoreWrite::Put { key: "log/000000000007".into(), value: "x".into(), lease: Some(7) }],
    };
    let scan = |after| StoreRequest::Scan { prefix: "log/".into(), after };
    let requests = [
        ("get", StoreRequest::Get("drain/request/kernel-5".into())),
        ("scan", scan(None)),
        ("scan-after", scan(Some("log/000000000006".into()))),
        ("transaction", StoreRequest::CompareAndSwap(txn)),
        ("grant", StoreRequest::GrantLease(Milliseconds::from_millis(1500))),
        ("renew", StoreRequest::RenewLease(LeaseId(7))),
        ("revoke", StoreRequest::RevokeLease(LeaseId(7))),
    ];
    let (listener, address) = listen();
    let server = serve(listener, requests.len());
    let client = StoreClient::new(address).expect("a client");
    for (name, request) in &requests {
        assert_eq!(client.send(request.clone()).status, 200, "{name}");
    }
    let examples = named(requests.iter().map(|(name, _)| *name), server.join().expect("requests"));
    fixture::assert_examples("wire/calls-to-state.txt", &examples);
}

#[test]
fn requests_to_the_cloud_and_workers_match_the_fixture() {
    let scale_out = ScaleOutRequest {
        request_name: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    let requests = [
        ("flavors", CloudRequest::MachineTypes),
        ("rent", CloudRequest::ScaleOut(scale_out)),
        ("return", CloudRequest::ScaleIn(vec![MachineId(231), MachineId(232)])),
        ("list", CloudRequest::ListMachines(None)),
        ("list-after", CloudRequest::ListMachines(Some("m-000230".into()))),
    ];
    let (listener, address) = listen();
    let server = serve(listener, requests.len() + 1);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (messages, mut received) = mpsc::channel(16);
        let (store_responses, _store_response_receiver) = mpsc::channel(16);
        let mut settings = Settings::parse(crate::settings::tests::SAMPLE).expect("settings");
        settings.external.cloud = address;
        let clients = Clients::new(&settings, messages, store_responses).expect("clients");
        for (name, request) in &requests {
            clients.call_cloud(41, 1, request.clone());
            let Some(Message::Input(Input::CloudResponse(41, 1, response))) = received.recv().await else {
                panic!("{name}")
            };
            assert_eq!(response.status, 200, "{name}");
        }
        drop(clients);
    });
    let start_commands = vec![WorkerCommand::Start { task: "job-000412/4".into(), attempt: 2 }];
    runtime.block_on(async {
        let (messages, mut received) = mpsc::channel(16);
        let (store_responses, _store_response_receiver) = mpsc::channel(16);
        let settings = Settings::parse(crate::settings::tests::SAMPLE).expect("settings");
        let clients = Clients::new(&settings, messages, store_responses).expect("clients");
        let body = CommandBatch { fencing_token: 41, epoch: 3, commands: start_commands };
        clients.send_commands(41, MachineId(231), &address.to_string(), 1, &body);
        let Some(Message::Input(Input::CommandResponse(41, MachineId(231), 1, response))) = received.recv().await
        else {
            panic!()
        };
        assert_eq!(response.status, 200);
    });
    let names = requests.iter().map(|(name, _)| *name).chain(["commands"]);
    let examples = named(names, server.join().expect("requests"));
    fixture::assert_examples("wire/calls-to-cloud-and-workers.txt", &examples);
}
