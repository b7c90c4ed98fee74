//! A job that failed once on a machine that was sick, and a second job of the same size that comes after the sickness has
//! ended.

use crate::Outcome;
use crate::worker::Phase;
use crate::world::{Shared, Submission, World, machine_running};
use std::path::Path;
use std::time::{Duration, Instant};

/// How long the machine is sick.
const SICK: Duration = Duration::from_secs(6);
/// The rule's bound, and a second for the observation itself.
const WAIT: Duration = Duration::from_secs(91);
const FIRST: &str = "job-000003";
const SECOND: &str = "job-000004";

pub fn run(record: &Path, trouble: bool) -> Outcome {
    play(&World::start(record), trouble)
}

fn has_begun(shared: &Shared, id: &str) -> bool {
    let piece = format!("{id}/0");
    machine_running(shared, &piece).is_some() || shared.ended(&piece, Phase::Exited("done"))
}

fn play(world: &World, trouble: bool) -> Outcome {
    let failed = |text: &str| Outcome::CouldNotRun(text.into());
    if !world.ready() {
        return failed("the controllers are not up");
    }
    // Two services: one keeps the machine in westlands, the other one fills most of the machine in nyali.
    let small = Submission::service("job-000001", 1.0).on("jengo", "westlands");
    let large = Submission { pieces: 50, ..Submission::service("job-000002", 1.0).on("jengo", "nyali") };
    if !world.submit(&small) || !world.submit(&large) {
        return failed("the services are not accepted");
    }
    let both = |shared: &mut Shared| {
        machine_running(shared, "job-000002/49")?;
        machine_running(shared, "job-000001/0")
    };
    let Some(machine) = world.wait(Duration::from_secs(20), both) else { return failed("the services do not run") };
    let set_sick = |sick: bool| {
        let mut shared = world.lock();
        if let Some(machine) = shared.machines.get_mut(&machine) {
            machine.sick = sick;
        }
        shared.note(&format!("the machine in westlands fails every task that it starts: {sick}"));
    };
    // Tasks of 20 CPUs fit on this type of machine only; the jobs are bound to no type and no zone.
    if trouble {
        set_sick(true);
    }
    if !world.submit(&Submission::batch(FIRST, 20.0, 5.0)) {
        return failed("the first job is not accepted");
    }
    if trouble {
        std::thread::sleep(SICK);
        set_sick(false);
        if !world.lock().ended(&format!("{FIRST}/0"), Phase::Exited("error")) {
            return failed("the first job did not fail in the meantime");
        }
    }
    let second = Submission::batch(SECOND, 20.0, 5.0);
    if !world.submit(&second) {
        return failed("the second job is not accepted");
    }
    let begun = Instant::now();
    let done = world.wait(WAIT, |shared| has_begun(shared, SECOND).then_some(()));
    let first = if has_begun(&world.lock(), FIRST) { "began" } else { "did not begin again either" };
    for id in [FIRST, SECOND] {
        world.ask(0, "GET", &format!("/work/{id}"), "");
    }
    if done.is_some() {
        return Outcome::Held(format!("the second job began after {:.1} s", begun.elapsed().as_secs_f64()));
    }
    world.note(&format!("the first job {first}"));
    world.still_waits(machine, &second, WAIT)
}
