//! Runs one case of the review: `standins CASE RECORD`. The exit code is 1 if the rule was broken, 0 if it held and 2
//! if the case could not run.

mod cloud;
mod crowded;
mod http;
mod json;
mod late_start;
mod state;
mod worker;
mod world;

mod blocked;
mod mistakes;
mod repeats;

use std::path::Path;
use std::time::Duration;

/// The outcome of a case.
pub enum Outcome {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Path::new(&arguments[2]);
    world::watch(Duration::from_secs(117));
    let outcome = match arguments[1].as_str() {
        "blocked" => blocked::run(record, trouble),
        "crowded" => crowded::run(record, trouble),
        "late_start" => late_start::run(record, trouble),
        "mistakes" => mistakes::run(record, trouble),
        "repeats" => repeats::run(record, trouble),
        other => Outcome::CouldNotRun(format!("no case {other}")),
    };
    let (code, text) = match outcome {
        Outcome::Held(text) => (0, format!("HELD: {text}")),
        Outcome::Broken(text) => (1, format!("BROKEN: {text}")),
        Outcome::CouldNotRun(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    println!("{text}");
    std::process::exit(code);
}
