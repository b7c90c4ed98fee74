//! Users whose submissions are refused by an admission table, load as controllers measure it, and a check that nodes agree.

use super::*;
use caperstile::types::JobId;
use caperstile_admission::{TableNumber, Utilization};

/// Users give up this long after their first try.
const GIVE_UP_MS: u64 = 60_000;
/// What inputs wait for at an overloaded controller.
const QUEUEING: Duration = Duration::from_millis(800);

/// What nodes decided by their tables: the same table must give the same answer for a job on every node.
#[derive(Debug, Default)]
pub struct AdmissionDecisions {
    by_table: HashMap<(TableNumber, JobId), bool>,
    /// Refusals by node.
    pub refused_by: BTreeMap<usize, u64>,
    /// Jobs that were answered differently by the same table.
    pub disagreements: Vec<String>,
}

/// The job that an input submits, if the node does not know it yet. A known one is answered with its state.
pub(super) fn submission_of(controller: &Controller, input: &Input) -> Option<(RequestOrigin, JobId)> {
    let Input::User(origin, UserRequest::Submit(body)) = input else { return None };
    let body: Value = serde_json::from_slice(body).ok()?;
    let job: JobId = body["Ref"].as_str()?.parse().ok()?;
    let known =
        |term: &caperstile::leader::Leader| term.jobs().get(job).is_some() || term.jobs().terminal_state(job).is_some();
    (!controller.leader().is_some_and(known)).then_some((*origin, job))
}

impl AdmissionDecisions {
    /// Notes what a node did with a submission.
    pub(super) fn note(
        &mut self,
        node: usize,
        number: Option<TableNumber>,
        asked: Option<(RequestOrigin, JobId)>,
        effects: &[Effect],
    ) {
        let Some((origin, job)) = asked else { return };
        let answer = effects.iter().find_map(|effect| match effect {
            Effect::Respond(to, answer) if *to == origin => Some(answer.status),
            _ => None,
        });
        let admitted = answer != Some(429);
        if !admitted {
            *self.refused_by.entry(node).or_default() += 1;
        }
        // A node in doubt answers 503, whatever its table says.
        let Some(number) = number.filter(|_| answer != Some(503)) else { return };
        let before = self.by_table.insert((number, job), admitted);
        if before.is_some_and(|before| before != admitted) {
            self.disagreements.push(format!("{job} by {number:?}: refused and admitted"));
        }
    }
}

impl Simulation {
    /// Tells a node how busy it is, once a second, while the controllers are overloaded.
    pub(super) fn report_load(&mut self, node: usize) {
        if self.controllers.overloaded && self.now % 1000 < 50 {
            self.handle_input(node, Input::InputDelay(QUEUEING));
            self.handle_input(node, Input::Utilization(Utilization(1.0)));
        }
    }

    /// Other settings of admission come into force at all controllers.
    pub fn set_admission_policy(&mut self, operators: &'static str) {
        self.site.operators = operators;
        for node in 0..self.site.nodes {
            let policy = settings(&self.site, node).admission;
            self.send_input(node, Input::AdmissionPolicyChanged(Box::new(policy)), 1);
        }
    }

    /// A user whose submission was refused comes back when told to, unless a minute is over.
    pub(super) fn refused_by_table(&mut self, id: &str, call: UserRequest, retry_after_s: u16) {
        let retry_after = 1000 * u64::from(retry_after_s).max(1);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else { return };
        if retry_after > 30_000 {
            self.violations.push(format!("{now} {id} is to come back after {retry_after_s} s"));
        }
        job.rejections += 1;
        job.given_up = now + retry_after > job.submitted_at + GIVE_UP_MS;
        if !job.given_up {
            self.schedule(retry_after, Event::UserRequest(id.to_string(), call));
        }
    }
}
