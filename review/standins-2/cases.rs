//! The cases.

use crate::world::{Deployment, Job, museum_flavors};
use std::path::Path;

const STUDIO: &str =
    "[[deployment.teams]]\nname = \"studio-team\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n";

pub fn run(case: &str, record: &Path, run: Vec<String>, trouble: bool) -> i32 {
    match case {
        "mistake" => mistake(record, run, trouble),
        "address" => address(record, run, trouble),
        "restart" => restart(record, run, trouble),
        "place" => place(record, run, trouble),
        _ => 2,
    }
}

/// Waits for the first leader; a job of one task shows that the deployment serves.
fn wait_for_service(d: &Deployment) -> bool {
    let leads = d.wait_until(15_000, |world| world.leader().is_some());
    d.note(&format!("a controller leads: {leads}"));
    leads
}

/// Whether one of the jobs waits for 90 s from `over` on while a machine has room: 1 if so, 0 if all have begun.
fn waits_for_90_s(d: &Deployment, over: u64, jobs: &[Job]) -> i32 {
    let mut had_room = vec![true; jobs.len()];
    let mut begun = vec![false; jobs.len()];
    while d.now() < over + 91_000 {
        let mut world = d.lock();
        let now = world.now();
        for (index, job) in jobs.iter().enumerate() {
            let live = world.live_tasks(&job.id) > 0;
            if now > over && live && !begun[index] {
                begun[index] = true;
                world.note(&format!("{} is on a machine", job.id));
            }
            let ids: Vec<u64> = world.machines.keys().copied().collect();
            if !begun[index] && !ids.iter().any(|id| world.has_room(*id, job)) {
                had_room[index] = false;
            }
        }
        drop(world);
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    let mut broken = 0;
    for (index, job) in jobs.iter().enumerate() {
        let status = d.status(&job.id).map_or("no answer".into(), |status| status.to_string());
        d.note(&format!("{}: {status}, begun {}, room all the time {}", job.id, begun[index], had_room[index]));
        if !begun[index] && had_room[index] && !status.contains("\"Status\":\"done\"") {
            d.lock().violation(format!("{} was left waiting for 90 s while a machine had room", job.id));
            broken = 1;
        }
    }
    broken
}

/// Two jobs that were submitted with a mistake fail, and their users cancel them.
fn mistake(record: &Path, run: Vec<String>, trouble: bool) -> i32 {
    let d = Deployment::start(record, run, museum_flavors(), 2000, STUDIO);
    if !wait_for_service(&d) {
        return 2;
    }
    let on_jengo = |job: Job| Job { builds: Some(vec!["jengo"]), yard: Some("westlands"), ..job };
    let service = on_jengo(Job::service(1, "narration-live", 1, 1.0));
    if !d.submit(&service) || !d.wait_until(25_000, |world| world.running_tasks(&service.id) == 1) {
        return 2;
    }
    if trouble {
        for number in [2, 3] {
            let job = Job { mistaken: true, ..on_jengo(Job::batch(number, "tour-render", 1, 2.0, 5.0)) };
            let piece = format!("{}/0", job.id);
            if !d.submit(&job) || !d.wait_until(d.now() + 10_000, |world| world.starts.contains_key(&piece)) {
                return 2;
            }
        }
        d.sleep_until(d.now() + 2000);
        for id in ["job-000002", "job-000003"] {
            if d.withdraw(id).as_deref() != Some("aborted") {
                return 2;
            }
        }
    }
    let job = on_jengo(Job::batch(4, "tour-render", 1, 2.0, 5.0));
    if !d.submit(&job) {
        return 2;
    }
    d.note("no trouble from now on");
    waits_for_90_s(&d, d.now(), &[job])
}

/// A deployment in which the cloud has taken a cheap machine back without a notice and has given its address to the next
/// machine; without the trouble, the machine stays. Returns the job that ran there and the service of another machine.
fn taken_machine(
    record: &Path,
    run: Vec<String>,
    trouble: bool,
    first: &[Job],
    next_cores: f64,
) -> Option<(Deployment, Job, Job)> {
    let mut flavors = museum_flavors();
    flavors[0].capacity = vec![("westlands", 9, 2), ("nyali", 10, 3)];
    let d = Deployment::start(record, run, flavors, 1500, STUDIO);
    if !wait_for_service(&d) || !first.iter().all(|job| d.submit(job)) {
        return None;
    }
    let on_kibanda = |job: Job| Job { builds: Some(vec!["kibanda"]), ..job };
    let long = on_kibanda(Job { spot: true, ..Job::batch(1, "voice-cleanup", 1, 3.0, 40.0) });
    if !d.submit(&long) || !d.wait_until(25_000, |world| world.running_tasks(&long.id) == 1) {
        return None;
    }
    // The service's machine has room for the other job all the time.
    let service = on_kibanda(Job::service(2, "narration-live", 1, 1.0));
    if !d.submit(&service) || !d.wait_until(35_000, |world| world.running_tasks(&service.id) == 1) {
        return None;
    }
    let id = {
        let world = d.lock();
        *world.machines.iter().find(|(_, m)| m.tasks.keys().any(|(p, _)| p.starts_with(&long.id)))?.0
    };
    let before = d.lock().last_answered_report(id);
    d.wait_until(d.now() + 6000, |world| world.last_answered_report(id) > before);
    if trouble {
        d.lock().take_machine(id);
    }
    // No machine has the memory for it, so one is rented now. It runs there for the rest of the case.
    let next = on_kibanda(Job { spot: true, memory_gb: 15.0, ..Job::batch(3, "voice-cleanup", 1, next_cores, 200.0) });
    d.submit(&next).then_some((d, long, service))
}

fn address(record: &Path, run: Vec<String>, trouble: bool) -> i32 {
    let Some((d, long, _)) = taken_machine(record, run, trouble, &[], 4.0) else { return 2 };
    waits_for_90_s(&d, d.now(), &[long])
}

/// The same, and a few seconds later the leader is restarted. Before, a job of two tasks began; its tasks have room one
/// after the other only.
fn restart(record: &Path, run: Vec<String>, trouble: bool) -> i32 {
    let on_nyumba = |job: Job| Job { builds: Some(vec!["nyumba"]), yard: Some("nyali"), ..job };
    let keeps_machine = on_nyumba(Job::service(4, "narration-live", 1, 1.0));
    let older = on_nyumba(Job::batch(5, "tour-render", 2, 10.0, 16.0));
    let first = [keeps_machine, older.clone()];
    let Some((mut d, _, service)) = taken_machine(record, run, trouble, &first, 4.0) else { return 2 };
    d.sleep_until(d.now() + 5000);
    if trouble {
        let Some(leader) = d.lock().leader() else { return 2 };
        d.kill_node(leader);
        d.sleep_until(d.now() + 1000);
        d.start_node(leader);
    }
    if !d.wait_until(d.now() + 30_000, |world| world.is_done("job-000005/0") || world.is_done("job-000005/1")) {
        return 2;
    }
    d.withdraw_in_background(&service.id);
    let from = d.now();
    let waited = waits_for_90_s(&d, from, &[older]);
    let answered = d.lock().cancelled.contains_key(&service.id);
    if !answered {
        d.lock().violation(format!("the withdrawal of {} was not answered for 60 s", service.id));
    }
    waited.max(i32::from(!answered))
}

/// The same, and a small job that may run only in the zone of the machine that was taken comes when the new machine is up.
fn place(record: &Path, run: Vec<String>, trouble: bool) -> i32 {
    let Some((d, long, _)) = taken_machine(record, run, trouble, &[], 2.0) else { return 2 };
    if !d.wait_until(d.now() + 10_000, |world| world.running_tasks("job-000003") == 1) {
        return 2;
    }
    let zone = d.lock().zone_of_first_start(&long.id);
    let next_zone = d.lock().zone_of_first_start("job-000003");
    if zone.is_none() || zone == next_zone {
        d.note("both machines are in one zone");
        return 2;
    }
    d.sleep_until(d.now() + 2000);
    let small = Job::batch(6, "voice-cleanup", 1, 1.0, 5.0);
    let small = Job { builds: Some(vec!["kibanda"]), yard: zone, spot: true, memory_gb: 0.5, ..small };
    if !d.submit(&small) {
        return 2;
    }
    d.wait_until(d.now() + 20_000, |world| world.starts.contains_key("job-000006/0"));
    d.sleep_until(d.now() + 8000);
    i32::from(d.lock().violations.iter().any(|text| text.starts_with("wrong_place")))
}
