//! Two jobs that were submitted with a mistake and cancelled by their users, and what becomes of the healthy machine on
//! which they failed.

use crate::Outcome;
use crate::worker::Phase;
use crate::world::{Shared, Submission, World, machine_running};
use std::path::Path;
use std::time::Duration;

/// The rule's bound, and a second for the observation itself.
const WAIT: Duration = Duration::from_secs(91);
/// The interval at which users poll.
const POLL: Duration = Duration::from_secs(5);

pub fn run(record: &Path, trouble: bool) -> Outcome {
    play(&World::start(record), trouble)
}

fn play(world: &World, trouble: bool) -> Outcome {
    if !world.ready() {
        return Outcome::CouldNotRun("the controllers are not up".into());
    }
    let service = Submission::service("job-000001", 1.0).on("jengo", "westlands");
    if !world.submit(&service) {
        return Outcome::CouldNotRun("the service is not accepted".into());
    }
    let Some(machine) = world.wait(Duration::from_secs(20), |world| machine_running(world, "job-000001/0")) else {
        return Outcome::CouldNotRun("the service does not run".into());
    };
    let jobs = ["job-000002", "job-000003"].map(|id| Submission::batch(id, 2.0, 5.0).on("jengo", "westlands"));
    for job in &jobs {
        if !world.submit_with(job, trouble) {
            return Outcome::CouldNotRun(format!("{} is not accepted", job.id));
        }
    }
    let ending = Phase::Exited(if trouble { "error" } else { "done" });
    let ended = |world: &mut Shared| jobs.iter().all(|job| world.ended(&format!("{}/0", job.id), ending)).then_some(());
    if world.wait(Duration::from_secs(15), ended).is_none() {
        return Outcome::CouldNotRun("the first two jobs did not end as expected".into());
    }
    if trouble {
        // Their users look at them once more after the usual 5 s and then cancel them.
        std::thread::sleep(POLL);
        for job in &jobs {
            world.ask(1, "GET", &format!("/work/{}", job.id), "");
            if !world.cancel(job.id) {
                return Outcome::CouldNotRun(format!("{} could not be cancelled", job.id));
            }
        }
    }
    world.note("the troubles are over");
    let job = Submission::batch("job-000004", 2.0, 5.0).on("jengo", "westlands");
    if !world.submit(&job) {
        return Outcome::CouldNotRun("the job is not accepted".into());
    }
    let begun = world.wait(WAIT, |world| {
        let done = world.ended("job-000004/0", Phase::Exited("done"));
        (machine_running(world, "job-000004/0").is_some() || done).then_some(())
    });
    world.ask(0, "GET", "/work/job-000004", "");
    if begun.is_some() {
        return Outcome::Held("the job began".into());
    }
    world.still_waits(machine, &job, WAIT)
}
