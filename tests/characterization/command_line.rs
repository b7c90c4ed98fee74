//! The command line of the program: options, environment variables, output and exit codes.

use crate::fixture;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output};

/// A temporary input file for the program, which is removed when the value is dropped.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str, text: &str) -> Scratch {
        let path =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("characterization-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a scratch file");
        Scratch(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a UTF-8 path")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn run_program(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_caperstile"));
    command.env_remove("CAPERSTILE_OPERATORS").env_remove("LOG_LEVEL");
    command.args(arguments).envs(variables.iter().copied());
    command.output().expect("the program can be started")
}

/// Renders the exit code, standard output and standard error of a run as the fixtures hold them.
fn transcript(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("UTF-8 output");
    let code = output.status.code().expect("an exit code");
    format!("exit code: {code}\n--- output\n{}--- errors\n{}", text(&output.stdout), text(&output.stderr))
}

#[test]
fn help_texts_match_the_fixture() {
    let commands = [
        "",
        "--help",
        "check --help",
        "drain --help",
        "drain start --help",
        "drain status --help",
        "drain pause --help",
        "drain resume --help",
        "drain cancel --help",
        "admission --help",
        "admission status --help",
    ];
    let mut actual = String::new();
    for command in commands {
        let arguments: Vec<&str> = command.split_whitespace().collect();
        actual += &format!("=== caperstile {command}\n{}", transcript(&run_program(&arguments, &[])));
    }
    fixture::assert_text("names/help.txt", &actual);
}

#[test]
fn invalid_arguments_give_the_same_errors_and_exit_codes() {
    let commands = [
        "--operators x.ini",
        "--unknown",
        "unknown",
        "check",
        "drain",
        "drain start x",
        "drain start x --machine m-1",
        "drain start x --machine m-000001 --zone a",
        "drain start x --count 0",
        "drain start x --older-than soon",
        "drain status --wait soon",
        "drain status",
        "admission",
        "admission status",
        "drain status --config missing.toml",
        "--config missing.toml",
        "check missing.toml",
    ];
    let mut actual = String::new();
    for command in commands {
        let arguments: Vec<&str> = command.split_whitespace().collect();
        actual += &format!("=== caperstile {command}\n{}", transcript(&run_program(&arguments, &[])));
    }
    fixture::assert_text("names/arguments.txt", &actual);
}

/// Writes settings of a node with these ports for its HTTP API and the state service; the node picks a free port for
/// its peers.
fn settings(api: u16, state: u16) -> Scratch {
    let text = fixture::text("names/settings.toml");
    let ports = text.replace("127.0.0.1:7000", &format!("127.0.0.1:{api}"));
    let ports = ports.replace("127.0.0.2:7001", "127.0.0.1:0").replace("127.0.0.5:7004", &format!("127.0.0.1:{state}"));
    Scratch::new(&format!("{api}-{state}.toml"), &ports)
}

#[test]
fn check_reports_whether_settings_are_valid() {
    let platform = Scratch::new("check.toml", &fixture::text("names/settings.toml"));
    let operators = Scratch::new("check.ini", "[drains]\nenabled = yes\n[budget crew]\nmax_unavailable = 0%\n");
    let invalid = Scratch::new("check-wrong.ini", "[fleet]\nidle_spt_s = 5\n");
    let commands: [&[&str]; 4] = [
        &["check", platform.path()],
        &["check", platform.path(), "--operators", operators.path()],
        &["check", platform.path(), "--operators", invalid.path()],
        &["check", operators.path()],
    ];
    let mut actual = String::new();
    for command in commands {
        let transcript = transcript(&run_program(command, &[]));
        actual += &transcript.replace(platform.path(), "SETTINGS").replace(operators.path(), "OPERATORS");
    }
    fixture::assert_text("names/check.txt", &actual);
}

/// `CAPERSTILE_OPERATORS` names the operators' file and `LOG_LEVEL` the log level. The API port is occupied, so that a
/// run with valid settings ends with exit code 1 instead of serving.
#[test]
fn environment_variables_keep_their_names_and_effects() {
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a port");
    let platform = settings(occupied.local_addr().expect("an address").port(), 1);
    let invalid = Scratch::new("environment-wrong.ini", "[fleet]\nidle_spt_s = 5\n");
    let variables: [&[(&str, &str)]; 6] = [
        &[],
        &[("CAPERSTILE_OPERATORS", invalid.path())],
        &[("LOG_LEVEL", "error")],
        &[("LOG_LEVEL", "info")],
        &[("LOG_LEVEL", "debug")],
        &[("LOG_LEVEL", "loud")],
    ];
    let mut actual = String::new();
    for variables in variables {
        let names: Vec<String> = variables.iter().map(|(name, value)| format!("{name}={value}")).collect();
        let names = names.join(" ").replace(invalid.path(), "OPERATORS");
        actual += &format!("=== {names}\n{}", transcript(&run_program(&["--config", platform.path()], variables)));
    }
    fixture::assert_text("names/environment.txt", &actual);
}

/// Starts a fake state service and returns its port. `respond` maps the first line of a request to a response; on
/// `None` the connection is closed without a response.
fn state_service(respond: impl Fn(&str) -> Option<(u16, Value)> + Send + 'static) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("an address").port();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            if let Some((status, body)) = respond(&read_request(&mut stream)) {
                let body = body.to_string();
                let head =
                    format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
                stream.write_all(format!("{head}{body}").as_bytes()).expect("the program reads the response");
            }
        }
    });
    port
}

/// Reads a whole request and returns its first line.
fn read_request(stream: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
    stream.read_exact(&mut body).expect("the body");
    head.lines().next().expect("a line").to_string()
}

/// Responses of a state service that holds the request and the status of one drain, `kernel-5`.
fn respond_with_one_drain(line: &str) -> Option<(u16, Value)> {
    let request = fixture::example_of("stored/drain-requests.txt", "filter-replace-pause");
    let status = fixture::example_of("stored/drain-statuses.txt", "full");
    let value = |text: &str| -> Value { serde_json::from_str(text).expect("JSON") };
    let key = |name: &str, text: &str| json!({"K": name, "V": value(text), "Stamp": 29});
    let page = |item: Value| json!({"Pairs": [item], "More": false, "Ledger": 30});
    let response = match line.split(' ').nth(1).expect("a path") {
        "/keys/drain/request/kernel-5" => (200, key("drain/request/kernel-5", &request)),
        "/keys/drain/status/kernel-5" => (200, key("drain/status/kernel-5", &status)),
        "/keys?Under=drain/request/&Limit=1000" => (200, page(key("drain/request/kernel-5", &request))),
        "/keys?Under=drain/status/&Limit=1000" => (200, page(key("drain/status/kernel-5", &status))),
        "/txn" => (409, json!({"failed": ["drain/request/kernel-5"], "Ledger": 30})),
        _ => (404, json!({"Ledger": 30})),
    };
    Some(response)
}

/// Runs a command without and with `--json` and appends both transcripts.
fn append_transcripts(actual: &mut String, config: &Scratch, command: &str) {
    for json in [false, true] {
        let mut arguments: Vec<&str> = command.split_whitespace().collect();
        arguments.extend(["--config", config.path()]);
        arguments.extend(json.then_some("--json"));
        let option = if json { " --json" } else { "" };
        *actual += &format!("=== {command}{option}\n{}", transcript(&run_program(&arguments, &[])));
    }
}

#[test]
fn operators_commands_keep_their_output_and_exit_codes() {
    let mut actual = String::new();
    let config = settings(1, state_service(respond_with_one_drain));
    for command in [
        "drain status",
        "drain status kernel-5",
        "drain status other",
        "drain pause kernel-5",
        "drain cancel other",
        "drain start Bad --all",
        "drain start kernel-5 --all",
        "drain start kernel-5 --zone a --type g8 --older-than 7d --count 20 --replace",
        "admission status",
    ] {
        append_transcripts(&mut actual, &config, command);
    }
    // A request that is stored but that no leader accepts, then one whose response is lost.
    let config = settings(
        1,
        state_service(|line| Some(if line.contains("/txn") { (200, json!({"Ledger": 31})) } else { (404, json!({})) })),
    );
    append_transcripts(&mut actual, &config, "drain start kernel-6 --all --wait 0");
    let config = settings(1, state_service(|line| (!line.contains("/txn")).then(|| (404, json!({})))));
    append_transcripts(&mut actual, &config, "drain start kernel-6 --all");
    let unused_port = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address").port();
    let config = settings(1, unused_port);
    append_transcripts(&mut actual, &config, "drain status");
    append_transcripts(&mut actual, &config, "admission status");
    let config = settings(1, state_service(|_| Some((503, json!({"error": "trouble"})))));
    append_transcripts(&mut actual, &config, "drain status");
    fixture::assert_text("names/operators-commands.txt", &actual);
}
