use super::*;

#[test]
fn connections_are_closed_by_need_and_those_of_users_first() {
    let closed = |free| (needed("/work/job-000001", free, 1600), needed("/v1/report", free, 1600));
    assert_eq!(closed(400), (false, false));
    assert_eq!(closed(399), (true, false));
    assert_eq!(closed(99), (true, true));
}

/// What the core is asked by a request, and what it answers to it.
fn core(asked: &Asked) -> Answer {
    let asked = match asked {
        Asked::User(UserCall::Submit(body)) => format!("submit {}", String::from_utf8_lossy(body)),
        Asked::User(UserCall::Get(id)) => format!("get {id}"),
        Asked::User(UserCall::Cancel(id)) => format!("cancel {id}"),
        Asked::Report(report) => format!("report {}", report.machine),
        Asked::Up => "up".into(),
    };
    let retry_after = if asked == "up" { 3 } else { 0 };
    Answer { status: 200, retry_after, body: json!({"asked": asked}).to_string() }
}

/// Sends a request over a connection of its own; the answer without the date.
async fn exchange(to: std::net::SocketAddr, request: Vec<u8>) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(to).await.expect("a connection");
    stream.write_all(&request).await.expect("it reads");
    let mut answer = Vec::new();
    // Where the body is not read, the connection may be reset behind the answer.
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).expect("text");
    let lines = answer.lines().filter(|line| !line.is_empty() && !line.starts_with("date:"));
    lines.collect::<Vec<_>>().join(" | ")
}

fn request(line: &str, body: &str) -> Vec<u8> {
    let head = format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    format!("{head}{body}").into_bytes()
}

#[test]
fn paths_and_their_answers_are_as_before() {
    use crate::fixture::{assert_examples, example};
    let report = r#"{"Host":"m-000231","Endpoint":"10.1.0.232:9000","Build":"g8","Yard":"a","Shift":1,"Tally":88}"#;
    let large = "x".repeat(BODY_LIMIT + 1);
    let requests = [
        ("POST /work", "{\"Ref\":\"job-000412\"}"),
        ("GET /work/job-000412", ""),
        ("POST /work/job-000412/withdraw", "{}"),
        ("POST /v1/report", report),
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
        ("POST /work", &large),
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let made = runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, mut told) = mpsc::channel(16);
        serve(listener, tell, 64);
        tokio::spawn(async move {
            while let Some(Message::Request(asked, to)) = told.recv().await {
                to.send(core(&asked)).expect("it waits");
            }
        });
        let mut made = Vec::new();
        for (n, (line, body)) in requests.iter().enumerate() {
            made.push(example(
                format!("{}:{}", n + 1, line.replace(' ', ":")),
                exchange(address, request(line, body)).await,
            ));
        }
        made
    });
    assert_examples("wire/http.txt", &made);
}
