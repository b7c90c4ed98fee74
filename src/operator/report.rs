//! Output of `caperstile drain`: lines for people and JSON for programs.

use super::drain_requests::DrainSummary;
use caperstile_disruption::records::{DrainPhase, MachineSelector};
use serde_json::{Value, json};

/// Describes a drain in a few lines of text.
pub(crate) fn lines(summary: &DrainSummary) -> Vec<String> {
    let Some(status) = &summary.status else {
        return vec![format!("{}: asked for, not taken by a leader yet", summary.name)];
    };
    let phase = match status.phase {
        DrainPhase::Running => "running",
        DrainPhase::Paused => "paused",
        DrainPhase::Cancelled => "cancelled",
        DrainPhase::Done => "done",
        DrainPhase::Refused => "refused",
    };
    let mut lines = vec![match &status.refusal {
        Some(reason) => format!("{}: refused: {reason}", summary.name),
        None => format!(
            "{}: {phase}, {} of {} machines emptied, {} being emptied",
            summary.name, status.drained, status.machine_count, status.draining
        ),
    }];
    lines.extend(status.notes.iter().map(|note| format!("  note: {note}")));
    lines.extend(status.wait_reasons.iter().map(|reason| format!("  waits: {reason}")));
    lines
}

/// Describes a drain as JSON.
pub(crate) fn json(summary: &DrainSummary) -> Value {
    let machines = summary.request.as_ref().map(|request| match &request.selector {
        MachineSelector::Machines(ids) => json!(ids.iter().map(ToString::to_string).collect::<Vec<_>>()),
        MachineSelector::Matching(filter) => json!(filter),
    });
    json!({
        "name": summary.name,
        "machines": machines,
        "mode": summary.request.as_ref().map(|request| request.mode),
        "wanted": summary.request.as_ref().map(|request| request.desired_state),
        "status": summary.status,
    })
}

#[cfg(test)]
mod tests;
