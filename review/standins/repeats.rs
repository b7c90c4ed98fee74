//! A late repeat of a direct command that was carried out long ago, after a controller has ended and come back.

use crate::Outcome;
use crate::json::Json;
use crate::worker::Phase;
use crate::world::{CONTROLLERS, Shared, Submission, World, direct, machine_running, name};
use std::path::Path;
use std::time::{Duration, Instant};

const TASK: &str = "job-000002/0";
/// How late the repeat comes, counted from the command.
const LATE: Duration = Duration::from_secs(48);

pub fn run(record: &Path, trouble: bool) -> Outcome {
    play(&mut World::start(record), trouble)
}

/// The direct command that started the task on this machine.
fn start_command(shared: &Shared, machine: u64) -> Option<String> {
    let starts = |body: &&String| {
        let body = Json::parse(body).unwrap_or(Json::Null);
        body.get("Orders").list().iter().any(|o| o.get("Verb").text() == "run" && o.get("Piece").text() == TASK)
    };
    let sent = shared.carried.iter().filter(|carried| carried.machine == machine);
    sent.map(|carried| &carried.body).find(starts).cloned()
}

fn play(world: &mut World, trouble: bool) -> Outcome {
    let failed = |text: &str| Outcome::CouldNotRun(text.into());
    let seconds = Duration::from_secs;
    if !world.ready() {
        return failed("the controllers are not up");
    }
    // This service keeps the machine for the whole case.
    if !world.submit(&Submission::service("job-000001", 1.0).on("jengo", "westlands")) {
        return failed("the service is not accepted");
    }
    let Some(machine) = world.wait(seconds(20), |world| machine_running(world, "job-000001/0")) else {
        return failed("the service does not run");
    };
    std::thread::sleep(seconds(3));
    let job = Submission { builds: Some("jengo"), ..Submission::batch("job-000002", 10.0, 300.0) };
    if !world.submit(&job) {
        return failed("the job is not accepted");
    }
    if world.wait(seconds(20), |world| machine_running(world, TASK)) != Some(machine) {
        return failed("the task does not run on the machine of the service");
    }
    let sent_at = Instant::now();
    let Some(command) = start_command(&world.lock(), machine) else {
        return failed("the task was not started by a direct command");
    };
    // A service of higher priority needs the room: the task is stopped and started on another machine.
    if !world.submit(&Submission::service("job-000003", 60.0).on("jengo", "westlands")) {
        return failed("the second service is not accepted");
    }
    let moved = |world: &mut Shared| machine_running(world, TASK).filter(|other| *other != machine);
    let Some(other) = world.wait(seconds(30), moved) else {
        return failed("the task is not started on another machine");
    };
    if !world.cancel("job-000003") {
        return failed("the second service is not cancelled");
    }
    let reaped = |world: &mut Shared| {
        let tasks = &world.machines.get(&machine)?.tasks;
        (!tasks.keys().any(|(piece, _)| piece == TASK)).then_some(())
    };
    if world.wait(seconds(55), reaped).is_none() {
        world.note("the first machine still knows the first attempt");
    }
    std::thread::sleep(LATE.saturating_sub(sent_at.elapsed()));
    let Some(leader) = world.lock().leader() else { return failed("nobody leads") };
    if !world.lock().machines.contains_key(&machine) || world.lock().ended(TASK, Phase::Exited("done")) {
        return failed("the machine is gone, or the task has ended");
    }
    if trouble {
        let follower = (leader + 1) % CONTROLLERS;
        world.kill_node(follower);
        world.start_node(follower);
        let late = sent_at.elapsed().as_secs_f64();
        world.note(&format!(
            "a repeat of a command that {} carried out {late:.1} s ago arrives: {command}",
            name(machine)
        ));
        let answer = direct(&world.shared, machine, "/commands", &command, "late repeat");
        world.note(&format!("its answer, which nobody hears: {answer:?}"));
    }
    std::thread::sleep(seconds(6));
    let shared = world.lock();
    let status =
        if shared.machines.get(&other).is_some_and(|other| other.runs(TASK)) { "still runs" } else { "no longer runs" };
    match shared.doubles.first() {
        Some(double) => Outcome::Broken(format!("{double}; the task {status} on {}", name(other))),
        None => Outcome::Held(format!("no task was on two machines; the task {status} on {}", name(other))),
    }
}
