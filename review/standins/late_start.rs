//! A direct command that starts a task is held up for seconds and stays without an answer; later the task is stopped for
//! a service of higher priority, and the service ends.

use crate::Outcome;
use crate::worker::Phase;
use crate::world::{Submission, World, machine_running};
use std::path::Path;
use std::time::Duration;

const TASK: &str = "job-000002/0";
/// How long the command is held up.
const HELD: Duration = Duration::from_secs(3);
/// The rule's bound, and a second for the observation itself.
const WAIT: Duration = Duration::from_secs(91);

pub fn run(record: &Path, trouble: bool) -> Outcome {
    play(&World::start(record), trouble)
}

fn play(world: &World, trouble: bool) -> Outcome {
    let failed = |text: &str| Outcome::CouldNotRun(text.into());
    let seconds = Duration::from_secs;
    if !world.ready() {
        return failed("the controllers are not up");
    }
    if !world.submit(&Submission::service("job-000001", 1.0).on("jengo", "westlands")) {
        return failed("the service is not accepted");
    }
    let Some(machine) = world.wait(seconds(20), |world| machine_running(world, "job-000001/0")) else {
        return failed("the service does not run");
    };
    std::thread::sleep(seconds(1));
    if trouble {
        world.lock().held = Some((TASK.into(), HELD));
    }
    let job = Submission::batch("job-000002", 10.0, 20.0).on("jengo", "westlands");
    if !world.submit(&job) {
        return failed("the job is not accepted");
    }
    if world.wait(seconds(20), |world| machine_running(world, TASK)) != Some(machine) {
        return failed("the task does not run on the machine of the service");
    }
    if trouble {
        if world.lock().held.is_some() {
            return failed("the task was not started by a direct command");
        }
        std::thread::sleep(HELD);
    }
    if !world.submit(&Submission::service("job-000003", 60.0).on("jengo", "westlands")) {
        return failed("the second service is not accepted");
    }
    if world.wait(seconds(10), |world| machine_running(world, "job-000003/0")).is_none() {
        return failed("the second service does not run");
    }
    if !world.cancel("job-000003") {
        return failed("the second service is not cancelled");
    }
    let begun = world.wait(WAIT, |world| {
        let done = world.ended(TASK, Phase::Exited("done"));
        (machine_running(world, TASK).is_some() || done).then_some(())
    });
    world.ask(0, "GET", "/work/job-000002", "");
    if begun.is_some() {
        return Outcome::Held("the job began again".into());
    }
    world.still_waits(machine, &job, WAIT)
}
