//! What users ask of the leader: submissions, questions, cancellations.

use super::*;

impl Term {
    /// A user asks.
    pub fn user(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        certain: bool,
        origin: Origin,
        call: &UserCall,
        out: &mut Vec<Effect>,
    ) {
        let answer = match call {
            UserCall::Submit(body) => self.submit(now, wall, certain, origin, body),
            UserCall::Get(id) => Some(self.get(certain, id)),
            UserCall::Cancel(id) => self.cancel(now, certain, origin, id),
        };
        if let Some(answer) = answer {
            out.push(Effect::Answer(origin, answer));
        }
        self.flush(now, out);
    }

    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        certain: bool,
        origin: Origin,
        body: &[u8],
    ) -> Option<Answer> {
        let parsed = intake::parse_job(body, wall);
        // A known id is answered with its state, whatever else the body says.
        let id = match &parsed {
            Ok(record) => Some(record.id),
            Err(_) => serde_json::from_slice::<serde_json::Value>(body)
                .ok()
                .and_then(|v| v.get("Ref").and_then(|r| r.as_str()).and_then(|r| r.parse().ok())),
        };
        if let Some(id) = id {
            let accepted = self.jobs.ended(id).is_some() || self.jobs.get(id).is_some_and(|j| j.durable);
            if accepted {
                return Some(self.get(certain, &id.to_string()));
            }
        }
        let mut record = match parsed {
            Ok(record) => record,
            Err(refusal) => return Some(refused(&refusal)),
        };
        if !certain {
            // An older answer could be wrong: another leader may have accepted it by now.
            return Some(unavailable("leadership is in doubt"));
        }
        let waiter = Waiter { origin, until: now + COMMIT_PATIENCE };
        if self.jobs.get(record.id).is_some() {
            self.accepting.entry(record.id).or_default().push(waiter);
            return None;
        }
        let teams = &self.settings.deployment.teams;
        if let Err(refusal) = intake::can_ever_run(&record, teams, self.inventory.flavors(), self.format.has_gangs()) {
            return Some(refused(&refusal));
        }
        // Types that the cloud does not have cannot matter, and need no room in the log.
        let inventory = &self.inventory;
        if let Some(types) = &mut record.types {
            types.sort_unstable();
            types.dedup();
            types.retain(|t| inventory.flavor(t).is_some());
        }
        if !self.records.fits(&Record::Job(record.clone())) {
            return Some(refused(&Refusal::Malformed("Reel", "the job's names are too long to be kept")));
        }
        let submission = Submission { job: record.id, team: &record.team, class: &record.class };
        if let Decision::Refuse { retry_after_s } = self.admission.decide(now, &submission, record.tasks) {
            return Some(too_many(retry_after_s));
        }
        let limit = self.settings.deployment.resources.open_jobs();
        if self.jobs.open() >= limit || self.records.backlog() >= BACKLOG_LIMIT + self.machines.len() {
            // Answered at once: the user is told when to come back.
            return Some(Answer { retry_after: 10, ..unavailable("too many jobs are open") });
        }
        self.accepting.entry(record.id).or_default().push(waiter);
        self.records.push(Record::Job(record.clone()));
        self.jobs.enter(record, now, true);
        None
    }

    pub(super) fn get(&self, certain: bool, id: &str) -> Answer {
        let not_found = || Answer { status: 404, retry_after: 0, body: json!({"error": "no such job"}).to_string() };
        let Ok(id) = id.parse::<JobId>() else { return not_found() };
        // A durable final state never changes; all else may be outdated if another node leads.
        if self.jobs.ended(id).is_none() && !certain {
            return unavailable("leadership is in doubt");
        }
        if self.jobs.get(id).is_some_and(|j| !j.durable) {
            return unavailable("not accepted yet");
        }
        match self.jobs.state(id) {
            Some(state) => Answer { status: 200, retry_after: 0, body: state.to_string() },
            None => not_found(),
        }
    }

    pub(super) fn cancel(&mut self, now: Timestamp, certain: bool, origin: Origin, id: &str) -> Option<Answer> {
        let Ok(job_id) = id.parse::<JobId>() else {
            return Some(Answer {
                status: 400,
                retry_after: 0,
                body: json!({"error": "the id has the wrong form", "field": "Ref"}).to_string(),
            });
        };
        if self.jobs.ended(job_id).is_some() {
            return Some(self.get(certain, id));
        }
        if !certain {
            return Some(unavailable("leadership is in doubt"));
        }
        let open = self.open();
        let mut stops = Vec::new();
        let Some(job) = self.jobs.get_mut(job_id) else { return Some(self.get(certain, id)) };
        if !job.durable {
            return Some(unavailable("not accepted yet"));
        }
        if !open && !job.ours {
            // A machine that has not seen this token may start its tasks by an earlier leader's word.
            return Some(unavailable("not all machines are fenced yet"));
        }
        let waiter = Waiter { origin, until: now + COMMIT_PATIENCE };
        self.cancelling.entry(job_id).or_default().push(waiter);
        // With all tasks done its state will be `done` as soon as that is durable.
        if !job.cancelling && job.done.len() < job.record.tasks {
            job.cancelling = true;
            stops.extend(job.placed.values().copied());
            self.plans.remove_job(job_id);
            self.records.push(Record::Cancelled(job_id));
        }
        // Stopped before the fact is written, not once it is known to be durable: if the answer to the commit is lost,
        // the next leader reads the fact and confirms it, while this one may go on renewing the leases. A leader
        // that never learnt that its commit was carried out let the tasks run on through an outage. If it was not
        // carried out, the tasks wait again.
        for placed in stops {
            self.stop(placed.machine, placed.key, 0.0);
        }
        None
    }
}

/// 429: refused by the admission table; come back after so many seconds.
pub(crate) fn too_many(retry_after: u16) -> Answer {
    Answer { status: 429, retry_after, body: json!({"error": "too many submissions of this class"}).to_string() }
}

fn refused(refusal: &Refusal) -> Answer {
    let (status, body) = match refusal {
        Refusal::Malformed(field, problem) => (400, json!({"error": problem, "field": field})),
        Refusal::Never(why) => (422, json!({"error": why})),
        Refusal::NotYet(why, seconds) => return Answer { retry_after: *seconds, ..unavailable(why) },
    };
    Answer { status, retry_after: 0, body: body.to_string() }
}
