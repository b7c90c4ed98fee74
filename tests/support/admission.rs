//! Users whose submissions are rejected by an admission table, the load that controllers measure, and a check that all
//! nodes decide alike.

use super::*;
use caperstile::types::JobId;
use caperstile_admission::{TableNumber, Utilization};

/// Time after the first submission at which a user gives up, in milliseconds.
const GIVE_UP_MS: u64 = 60_000;
/// Queueing delay of inputs at an overloaded controller.
const INPUT_DELAY: Duration = Duration::from_millis(800);

/// Decisions of the nodes by their admission tables. The same table must give the same decision for a job on every
/// node.
#[derive(Debug, Default)]
pub struct AdmissionDecisions {
    by_table: HashMap<(TableNumber, JobId), bool>,
    /// Number of rejections by each node.
    pub refused_by: BTreeMap<usize, u64>,
    /// Jobs that the same table both rejected and admitted.
    pub disagreements: Vec<String>,
}

/// Returns the job that an input submits; None if the node already knows the job, since it then responds with the job's
/// status.
pub(super) fn submission_of(controller: &Controller, input: &Input) -> Option<(RequestOrigin, JobId)> {
    let Input::User(origin, UserRequest::Submit(request)) = input else { return None };
    let job = request.job()?;
    let known =
        |term: &caperstile::leader::Leader| term.jobs().get(job).is_some() || term.jobs().terminal_state(job).is_some();
    (!controller.leader().is_some_and(known)).then_some((*origin, job))
}

impl AdmissionDecisions {
    /// Records a node's decision on a submission.
    pub(super) fn record_decision(
        &mut self,
        node: usize,
        table_number: Option<TableNumber>,
        submission: Option<(RequestOrigin, JobId)>,
        effects: &[Effect],
    ) {
        let Some((origin, job)) = submission else { return };
        let response = effects.iter().find_map(|effect| match effect {
            Effect::Respond(to, response) if *to == origin => Some(response.status),
            _ => None,
        });
        let admitted = response != Some(429);
        if !admitted {
            *self.refused_by.entry(node).or_default() += 1;
        }
        // A node that is in doubt about its leadership responds with 503 whatever its table decides.
        let Some(table_number) = table_number.filter(|_| response != Some(503)) else { return };
        let before = self.by_table.insert((table_number, job), admitted);
        if before.is_some_and(|before| before != admitted) {
            self.disagreements.push(format!("{job}: both rejected and admitted by table {table_number:?}"));
        }
    }
}

impl Simulation {
    /// Reports full utilization and queueing to a node once a second while the controllers are overloaded.
    pub(super) fn report_load(&mut self, node: usize) {
        if self.controllers.overloaded && self.now % 1000 < 50 {
            self.handle_input(node, Input::InputDelay(INPUT_DELAY));
            self.handle_input(node, Input::Utilization(Utilization(1.0)));
        }
    }

    /// Applies other admission settings to all controllers.
    pub fn set_admission_policy(&mut self, operators: &'static str) {
        self.site.operators = operators;
        for node in 0..self.site.nodes {
            let policy = settings(&self.site, node).admission;
            self.send_input(node, Input::AdmissionPolicyChanged(Box::new(policy)), 1);
        }
    }

    /// Handles a rejected submission: its user retries after the requested time, unless that is more than 60 s after
    /// the first try.
    pub(super) fn submission_rejected_by_table(&mut self, id: &str, request: UserRequest, retry_after_s: u16) {
        let retry_after = 1000 * u64::from(retry_after_s).max(1);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else { return };
        if retry_after > 30_000 {
            self.violations
                .push(format!("{now} long_retry: {id} must retry after {retry_after_s} s; the maximum is 30 s"));
        }
        job.rejections += 1;
        job.given_up = now + retry_after > job.submitted_at + GIVE_UP_MS;
        if !job.given_up {
            self.schedule(retry_after, Event::UserRequest(id.to_string(), request));
        }
    }
}
