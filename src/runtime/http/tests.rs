use super::*;
use serde_json::json;

#[test]
fn user_connections_are_closed_before_worker_connections_when_sockets_run_low() {
    let must_close_for = |free_permits| {
        (must_close("/work/job-000001", free_permits, 1600), must_close("/v1/report", free_permits, 1600))
    };
    assert_eq!(must_close_for(400), (false, false));
    assert_eq!(must_close_for(399), (true, false));
    assert_eq!(must_close_for(99), (true, true));
}

/// Stand-in for the core: responds to a request with a description of it.
fn fake_core(request: &ApiRequest) -> ApiResponse {
    let request = match request {
        ApiRequest::User(UserRequest::Submit(request)) => {
            format!("submit {}", String::from_utf8_lossy(&request.encode()))
        }
        ApiRequest::User(UserRequest::Get(id)) => format!("get {id}"),
        ApiRequest::User(UserRequest::Cancel(id)) => format!("cancel {id}"),
        ApiRequest::Heartbeat(heartbeat) => format!("report {}", heartbeat.machine),
        ApiRequest::HealthCheck => "up".into(),
    };
    let retry_after = if request == "up" { 3 } else { 0 };
    ApiResponse { status: 200, retry_after, body: json!({"asked": request}).to_string() }
}

/// Sends a request over a connection of its own and returns the response without its date.
async fn exchange(address: std::net::SocketAddr, request: Vec<u8>) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
    stream.write_all(&request).await.expect("the server reads the request");
    let mut response = Vec::new();
    // If the server does not read the whole body, the connection may be reset after the response.
    let _ = stream.read_to_end(&mut response).await;
    let response = String::from_utf8(response).expect("text");
    let lines = response.lines().filter(|line| !line.is_empty() && !line.starts_with("date:"));
    lines.collect::<Vec<_>>().join(" | ")
}

fn request(line: &str, body: &str) -> Vec<u8> {
    let header = format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    format!("{header}{body}").into_bytes()
}

#[test]
fn http_paths_and_responses_match_the_fixture() {
    use crate::fixture::{assert_examples, example};
    let heartbeat = r#"{"Host":"m-000231","Endpoint":"10.1.0.232:9000","Build":"g8","Yard":"a","Shift":1,"Tally":88}"#;
    let too_large = "x".repeat(BODY_LIMIT_BYTES + 1);
    let requests = [
        ("POST /work", "{\"Ref\":\"job-000412\"}"),
        ("GET /work/job-000412", ""),
        ("POST /work/job-000412/withdraw", "{}"),
        ("POST /v1/report", heartbeat),
        ("POST /v1/report", "{}"),
        ("POST /v1/report", "["),
        ("GET /up", ""),
        ("GET /work", ""),
        ("DELETE /work/job-000412", ""),
        ("GET /work/job-000412/withdraw", ""),
        ("POST /work/job-000412", ""),
        ("POST /up", ""),
        ("GET /v1/report", ""),
        ("GET /", ""),
        ("POST /worker", ""),
        ("POST /work", &too_large),
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let examples = runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (messages, mut received) = mpsc::channel(16);
        serve(listener, messages, 64);
        tokio::spawn(async move {
            while let Some(Message::Request(request, response_sender)) = received.recv().await {
                response_sender.send(fake_core(&request)).expect("the request waits for its response");
            }
        });
        let mut examples = Vec::new();
        for (index, (line, body)) in requests.iter().enumerate() {
            examples.push(example(
                format!("{}:{}", index + 1, line.replace(' ', ":")),
                exchange(address, request(line, body)).await,
            ));
        }
        examples
    });
    assert_examples("wire/http.txt", &examples);
}
