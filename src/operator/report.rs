//! What operators are shown of drains: lines for people, JSON for programs.

use super::request::Shown;
use caperstile_disruption::records::{Phase, Selector};
use serde_json::{Value, json};

/// A drain in a few lines.
pub(crate) fn lines(shown: &Shown) -> Vec<String> {
    let Some(status) = &shown.status else {
        return vec![format!("{}: asked for, not taken by a leader yet", shown.name)];
    };
    let phase = match status.phase {
        Phase::Running => "running",
        Phase::Paused => "paused",
        Phase::Cancelled => "cancelled",
        Phase::Done => "done",
        Phase::Refused => "refused",
    };
    let mut lines = vec![match &status.refusal {
        Some(reason) => format!("{}: refused: {reason}", shown.name),
        None => format!(
            "{}: {phase}, {} of {} machines emptied, {} being emptied",
            shown.name, status.emptied, status.total, status.emptying
        ),
    }];
    lines.extend(status.notes.iter().map(|note| format!("  note: {note}")));
    lines.extend(status.waits_for.iter().map(|reason| format!("  waits: {reason}")));
    lines
}

/// A drain for programs.
pub(crate) fn json(shown: &Shown) -> Value {
    let machines = shown.request.as_ref().map(|request| match &request.selector {
        Selector::Machines(ids) => json!(ids.iter().map(ToString::to_string).collect::<Vec<_>>()),
        Selector::Matching(filter) => json!(filter),
    });
    json!({
        "name": shown.name,
        "machines": machines,
        "mode": shown.request.as_ref().map(|request| request.mode),
        "wanted": shown.request.as_ref().map(|request| request.wanted),
        "status": shown.status,
    })
}

#[cfg(test)]
mod tests;
