//! One large array of small tasks, and what becomes of it and of a service on the same machine.

use crate::Outcome;
use crate::worker::Phase;
use crate::world::{Shared, Submission, World, machine_running};
use std::path::Path;
use std::time::{Duration, Instant};

const SERVICE: &str = "job-000001";
const ARRAY: &str = "job-000002";
/// Tasks of the large array, and of an array that does no harm.
const TASKS: u64 = 1200;
const FEW_TASKS: u64 = 300;
/// CPUs and run time of each task: all of them fit on the machine at once and need 35 s, as the arrays of the deployment do.
const CORES: f64 = 0.05;
const RUN_S: f64 = 35.0;
/// How long the user waits for the end of the array.
const WAIT: Duration = Duration::from_secs(95);

pub fn run(record: &Path, trouble: bool) -> Outcome {
    play(&World::start(record), trouble)
}

fn play(world: &World, trouble: bool) -> Outcome {
    let failed = |text: &str| Outcome::CouldNotRun(text.into());
    if !world.ready() {
        return failed("the controllers are not up");
    }
    if !world.submit(&Submission::service(SERVICE, 1.0).on("jengo", "westlands")) {
        return failed("the service is not accepted");
    }
    let replica = format!("{SERVICE}/0");
    let running = |shared: &mut Shared| machine_running(shared, &replica);
    let Some(machine) = world.wait(Duration::from_secs(20), running) else { return failed("the service does not run") };
    let pieces = if trouble { TASKS } else { FEW_TASKS };
    let array =
        Submission { pieces, memory_gb: 0.1, ..Submission::batch(ARRAY, CORES, RUN_S).on("jengo", "westlands") };
    if !world.submit(&array) {
        return failed("the array is not accepted");
    }
    let begun = Instant::now();
    let mut done = false;
    while !done && begun.elapsed() < WAIT {
        std::thread::sleep(Duration::from_secs(5));
        let answer = world.ask(0, "GET", &format!("/work/{ARRAY}"), "");
        done = answer.is_some_and(|(status, body)| status == 200 && body.get("Status").text() == "done");
    }
    let shared = world.lock();
    let completed = (0..pieces).filter(|n| shared.ended(&format!("{ARRAY}/{n}"), Phase::Exited("done"))).count();
    let starts = shared.starts.iter().filter(|((piece, _), ..)| *piece == replica).count();
    let sessions = shared.machines.get(&machine).map_or(0, |machine| machine.shift);
    let text = format!(
        "after {:.0} s {completed} of {pieces} tasks of {RUN_S} s have completed, the machine of the service is in session \
         {sessions}, and its replica was started {starts} times",
        begun.elapsed().as_secs_f64()
    );
    if starts > 1 || completed == 0 {
        return Outcome::Broken(text);
    }
    if done { Outcome::Held(text) } else { Outcome::CouldNotRun(text) }
}
