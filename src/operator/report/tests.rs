//! What `drain` prints, as lines and as JSON.

use super::*;
use crate::fixture::{self, example};
use crate::units::{Duration, MachineId, Wall};
use caperstile_disruption::records::{Filter, Mode, Request, Status, Wanted};

fn shown() -> Vec<(&'static str, Shown)> {
    let asked_for = Status::asked_for(17, Wall(1_700_000_000_123));
    let running = Status {
        request: 29,
        notes: vec!["m-000007 is gone".into()],
        total: 20,
        emptied: 3,
        emptying: 2,
        waits_for: vec!["the budget of team crew is 0".into(), "crew/live: 2 to be moved".into()],
        ..asked_for.clone()
    };
    let of_phase = |phase| Status { phase, ..asked_for.clone() };
    let mut refused = asked_for.clone();
    refused.refuse("no machine matches".into());
    let filter = Filter {
        zone: Some("a".into()),
        kind: Some("g8".into()),
        older_than: Some(Duration(604_800_000)),
        count: Some(20),
    };
    let machines = Selector::Machines(vec![MachineId(7), MachineId(231)]);
    let request = |selector, mode, wanted| Some(Request { selector, mode, wanted });
    let everything = || Selector::Matching(Filter::default());
    let drain = |request, status| Shown { name: "kernel-5".into(), request, status };
    vec![
        ("asked-for", drain(request(machines, Mode::Remove, Wanted::Run), None)),
        ("running", drain(request(Selector::Matching(filter), Mode::Replace, Wanted::Run), Some(running))),
        ("paused", drain(request(everything(), Mode::Replace, Wanted::Pause), Some(of_phase(Phase::Paused)))),
        ("cancelled", drain(request(everything(), Mode::Remove, Wanted::Cancel), Some(of_phase(Phase::Cancelled)))),
        ("done", drain(None, Some(of_phase(Phase::Done)))),
        ("refused", drain(request(everything(), Mode::Remove, Wanted::Run), Some(refused))),
    ]
}

#[test]
fn drains_are_shown_as_before() {
    let mut made = Vec::new();
    for (name, drain) in shown() {
        made.extend(lines(&drain).into_iter().map(|line| example(format!("{name}:line"), line)));
        made.push(example(format!("{name}:json"), json(&drain).to_string()));
    }
    fixture::assert_examples("names/drain-shown.txt", &made);
}
