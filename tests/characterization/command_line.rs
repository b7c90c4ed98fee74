//! The program as operators call it: options, environment variables, what is printed, and exit codes.

use crate::fixture;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output};

/// A file for the program, removed with it.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str, text: &str) -> Scratch {
        let path =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("characterization-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a scratch file");
        Scratch(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("text")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn program(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_caperstile"));
    command.env_remove("CAPERSTILE_OPERATORS").env_remove("LOG_LEVEL");
    command.args(arguments).envs(variables.iter().copied());
    command.output().expect("it runs")
}

/// Exit code and what is printed where.
fn said(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("text");
    let code = output.status.code().expect("a code");
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
    let mut made = String::new();
    for command in commands {
        let arguments: Vec<&str> = command.split_whitespace().collect();
        made += &format!("=== caperstile {command}\n{}", said(&program(&arguments, &[])));
    }
    fixture::assert_text("names/help.txt", &made);
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
    let mut made = String::new();
    for command in commands {
        let arguments: Vec<&str> = command.split_whitespace().collect();
        made += &format!("=== caperstile {command}\n{}", said(&program(&arguments, &[])));
    }
    fixture::assert_text("names/arguments.txt", &made);
}

/// Settings of a node with free ports, or with these for its users and the state service.
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
    let wrong = Scratch::new("check-wrong.ini", "[fleet]\nidle_spt_s = 5\n");
    let commands: [&[&str]; 4] = [
        &["check", platform.path()],
        &["check", platform.path(), "--operators", operators.path()],
        &["check", platform.path(), "--operators", wrong.path()],
        &["check", operators.path()],
    ];
    let mut made = String::new();
    for command in commands {
        let said = said(&program(command, &[]));
        made += &said.replace(platform.path(), "SETTINGS").replace(operators.path(), "OPERATORS");
    }
    fixture::assert_text("names/check.txt", &made);
}

/// The environment names the operators' file and the level of the log; a node whose port is taken ends with 1.
#[test]
fn environment_variables_keep_their_names_and_effects() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let platform = settings(taken.local_addr().expect("an address").port(), 1);
    let wrong = Scratch::new("environment-wrong.ini", "[fleet]\nidle_spt_s = 5\n");
    let variables: [&[(&str, &str)]; 6] = [
        &[],
        &[("CAPERSTILE_OPERATORS", wrong.path())],
        &[("LOG_LEVEL", "error")],
        &[("LOG_LEVEL", "info")],
        &[("LOG_LEVEL", "debug")],
        &[("LOG_LEVEL", "loud")],
    ];
    let mut made = String::new();
    for variables in variables {
        let names: Vec<String> = variables.iter().map(|(name, value)| format!("{name}={value}")).collect();
        let names = names.join(" ").replace(wrong.path(), "OPERATORS");
        made += &format!("=== {names}\n{}", said(&program(&["--config", platform.path()], variables)));
    }
    fixture::assert_text("names/environment.txt", &made);
}

/// Answers each request to the state service by its first line; `None`: it hangs up.
fn state_service(answer: impl Fn(&str) -> Option<(u16, Value)> + Send + 'static) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("an address").port();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            if let Some((status, body)) = answer(&read_request(&mut stream)) {
                let body = body.to_string();
                let head =
                    format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
                stream.write_all(format!("{head}{body}").as_bytes()).expect("it reads");
            }
        }
    });
    port
}

/// The first line of a request, once all of it was read.
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

/// A state service in which a leader has answered one drain.
fn with_one_drain(line: &str) -> Option<(u16, Value)> {
    let request = fixture::example_of("stored/drain-requests.txt", "filter-replace-pause");
    let status = fixture::example_of("stored/drain-statuses.txt", "full");
    let value = |text: &str| -> Value { serde_json::from_str(text).expect("JSON") };
    let key = |name: &str, text: &str| json!({"K": name, "V": value(text), "Stamp": 29});
    let page = |item: Value| json!({"Pairs": [item], "More": false, "Ledger": 30});
    let answer = match line.split(' ').nth(1).expect("a path") {
        "/keys/drain/request/kernel-5" => (200, key("drain/request/kernel-5", &request)),
        "/keys/drain/status/kernel-5" => (200, key("drain/status/kernel-5", &status)),
        "/keys?Under=drain/request/&Limit=1000" => (200, page(key("drain/request/kernel-5", &request))),
        "/keys?Under=drain/status/&Limit=1000" => (200, page(key("drain/status/kernel-5", &status))),
        "/txn" => (409, json!({"failed": ["drain/request/kernel-5"], "Ledger": 30})),
        _ => (404, json!({"Ledger": 30})),
    };
    Some(answer)
}

/// Runs a command with and without `--json` and notes what it says.
fn note(made: &mut String, config: &Scratch, command: &str) {
    for json in [false, true] {
        let mut arguments: Vec<&str> = command.split_whitespace().collect();
        arguments.extend(["--config", config.path()]);
        arguments.extend(json.then_some("--json"));
        let form = if json { " --json" } else { "" };
        *made += &format!("=== {command}{form}\n{}", said(&program(&arguments, &[])));
    }
}

#[test]
fn operators_commands_keep_their_output_and_exit_codes() {
    let mut made = String::new();
    let config = settings(1, state_service(with_one_drain));
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
        note(&mut made, &config, command);
    }
    // Taken by no leader, and an answer that is lost.
    let config = settings(
        1,
        state_service(|line| Some(if line.contains("/txn") { (200, json!({"Ledger": 31})) } else { (404, json!({})) })),
    );
    note(&mut made, &config, "drain start kernel-6 --all --wait 0");
    let config = settings(1, state_service(|line| (!line.contains("/txn")).then(|| (404, json!({})))));
    note(&mut made, &config, "drain start kernel-6 --all");
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address").port();
    let config = settings(1, nobody);
    note(&mut made, &config, "drain status");
    note(&mut made, &config, "admission status");
    let config = settings(1, state_service(|_| Some((503, json!({"error": "trouble"})))));
    note(&mut made, &config, "drain status");
    fixture::assert_text("names/operators-commands.txt", &made);
}
