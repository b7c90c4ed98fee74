//! Users of the simulation: what they submit, ask and cancel, and what they may be told.

use super::*;

impl Sim {
    /// Submits a job; `change` sets fields of a two-task batch job.
    pub fn submit(&mut self, id: &str, change: &[(&str, Value)]) {
        let spec = self.enter(id, change);
        self.after(0, Event::User(id.to_string(), UserRequest::Submit(spec.to_string().into_bytes())));
        self.after(1000, Event::Poll(id.to_string()));
        if self.close_looks {
            // Some ask before they were told that it is accepted: what is told then must last as well.
            for node in 0..self.site.nodes {
                let soon = 2 + self.chance(200);
                self.after(soon, Event::Look(node, id.to_string(), UserRequest::Get(id.to_string())));
            }
        }
    }

    /// A job that the stand-in of an old leader has accepted; its user asks for it from now on.
    pub(super) fn accepted_elsewhere(&mut self, id: &str) {
        self.enter(id, &[("Pieces", json!(1)), ("Cores", json!(1.0)), ("RuntimeS", json!(2.0))]);
        if let Some(job) = self.jobs.get_mut(id) {
            (job.accepted, job.accepted_at) = (true, self.now);
        }
        self.after(1000, Event::Poll(id.to_string()));
    }

    /// Notes a job as its user knows it, and says how it is described.
    pub(super) fn enter(&mut self, id: &str, change: &[(&str, Value)]) -> Value {
        let mut spec = json!({"Ref": id, "Lane": "render", "Crew": "crew", "Shape": "batch", "Rank": "standard", "Pieces": 2,
            "Cores": 2.0, "Cards": 0.0, "MemoryGb": 4.0, "Reel": "img-1", "ImageGb": 1.0, "Together": false,
            "Spread": false, "Loaners": false, "RuntimeS": 10.0, "BookmarkS": 0.0, "StashS": 0.0});
        for (name, value) in change {
            spec[*name] = value.clone();
        }
        let job = UserJob {
            spec: spec.clone(),
            told: String::new(),
            accepted: false,
            over_at: None,
            cancelled_at: None,
            cancelling: false,
            cancel_status: 0,
            submit_status: 0,
            answered_at: 0,
            begun: None,
            accepted_at: 0,
            submitted_at: self.now,
            refused: 0,
            given_up: false,
            cancel_asked_at: None,
        };
        self.jobs.insert(id.to_string(), job);
        spec
    }

    /// Submits a known job once more, as a late retry does.
    pub fn repeat(&mut self, id: &str) {
        let body = self.jobs[id].spec.to_string().into_bytes();
        self.after(0, Event::User(id.to_string(), UserRequest::Submit(body)));
    }

    pub fn cancel(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelling = true;
            job.cancel_asked_at.get_or_insert(self.now);
        }
        self.note_cancelled(id);
        self.after(0, Event::User(id.to_string(), UserRequest::Cancel(id.to_string())));
    }

    pub(super) fn ask(&mut self, job: String, call: UserRequest) {
        let up: Vec<usize> = (0..self.site.nodes).filter(|n| self.nodes[*n].is_some()).collect();
        if up.is_empty() {
            return self.after(1000, Event::User(job, call));
        }
        let node = up[self.chance(up.len() as u64) as usize];
        self.ask_at(node, job, call);
    }

    /// Asks this node.
    pub fn ask_at(&mut self, node: usize, job: String, call: UserRequest) {
        self.requests += 1;
        let id = self.requests * self.count() + node as u64;
        let asked = self.now;
        self.askers.insert(id, Asker::User { job, call: call.clone(), asked });
        self.input(node, Input::User(RequestOrigin::Http(id), call), 2);
    }

    pub(super) fn failed(&mut self, asker: Asker) {
        match asker {
            Asker::User { call: UserRequest::Get(_), .. } => {}
            Asker::User { job, call, .. } => self.after(1000, Event::User(job, call)),
            Asker::Worker { machine, number, .. } => self.worker_failed(machine, number),
            Asker::Probe { node } => {
                self.healthy.insert(node, false);
            }
        }
    }

    pub(super) fn answered(&mut self, asker: Asker, answer: ApiResponse, delay: u64) {
        match asker {
            Asker::Worker { machine, number, session, sent } => {
                let answer = Box::new(answer);
                self.after(delay, Event::WorkerAnswer { machine, number, session, sent, answer });
            }
            Asker::User { job, call, asked } => self.user_told(&job, call, asked, &answer),
            Asker::Probe { node } => {
                self.healthy.insert(node, answer.status == 200);
            }
        }
    }

    pub(super) fn user_told(&mut self, id: &str, call: UserRequest, asked: u64, answer: &ApiResponse) {
        let now = self.now;
        self.slowest = self.slowest.max(now - asked);
        let finished = self.all_finished(id);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if matches!(call, UserRequest::Get(_)) && matches!(answer.status, 200 | 404) {
            job.answered_at = now;
        }
        match call {
            UserRequest::Submit(_) => job.submit_status = answer.status,
            UserRequest::Cancel(_) => job.cancel_status = answer.status,
            UserRequest::Get(_) => {}
        }
        if matches!(answer.status, 503 | 429) {
            self.refused.0 += u64::from(matches!(call, UserRequest::Cancel(_)));
            self.refused.1 += u64::from(matches!(call, UserRequest::Get(_)));
            if answer.status == 429 {
                return self.refused_by_table(id, call, answer.retry_after);
            }
            if !matches!(call, UserRequest::Get(_)) {
                self.after(1000, Event::User(id.to_string(), call));
            }
            return;
        }
        if answer.status == 404 {
            if job.accepted && asked <= job.accepted_at {
                // It was under way when another node accepted the job.
            } else if job.accepted {
                self.broken.push(format!("{now} forgotten: {id}"));
            } else {
                job.told = "404".into();
            }
            return;
        }
        if !matches!(answer.status, 200 | 201) {
            if job.accepted {
                self.broken.push(format!("{now} forgotten: {id} is answered {} on a repeat", answer.status));
            }
            job.told = answer.status.to_string();
            return;
        }
        let mut news = !job.accepted;
        if !std::mem::replace(&mut job.accepted, true) {
            job.accepted_at = now;
        }
        let body: Value = serde_json::from_str(&answer.body).expect("an answer is JSON");
        let status = body["Status"].as_str().expect("a status").to_string();
        // An answer that was under way when the user was told the final state is no step back.
        if job.over_at.is_some_and(|at| asked <= at) {
            return;
        }
        let over = matches!(job.told.as_str(), "done" | "aborted");
        if over && status != job.told {
            self.broken.push(format!("{now} went_back: {id} {} then {status}", job.told));
        }
        if status == "aborted" {
            if !job.cancelling {
                self.broken.push(format!("{now} went_back: {id} was never cancelled"));
            }
            job.cancelled_at.get_or_insert(now);
        }
        if status == "done" && !finished {
            self.broken.push(format!("{now} not_done: {id}"));
        }
        if matches!(status.as_str(), "done" | "aborted") {
            news |= job.over_at.is_none();
            job.over_at.get_or_insert(now);
        }
        job.told = status;
        if news && self.close_looks {
            self.look_closely(id);
        }
    }

    /// Users ask at all nodes within milliseconds, again and again, and repeat the submission; some cancel at once.
    pub(super) fn look_closely(&mut self, id: &str) {
        let submission = UserRequest::Submit(self.jobs[id].spec.to_string().into_bytes());
        for node in 0..self.site.nodes {
            for gap in [1, 4, 15, 60] {
                let soon = gap + self.chance(gap);
                self.after(soon, Event::Look(node, id.to_string(), UserRequest::Get(id.to_string())));
            }
            let soon = 1 + self.chance(30);
            self.after(soon, Event::Look(node, id.to_string(), submission.clone()));
        }
        if self.jobs[id].over_at.is_none() && self.chance(4) == 0 {
            self.cancel(id);
        }
    }

    pub(super) fn all_finished(&self, id: &str) -> bool {
        let tasks = self.jobs.get(id).map_or(0, |j| j.spec["Pieces"].as_u64().unwrap_or(0));
        (0..tasks).all(|i| self.finished.contains(&format!("{id}/{i}")))
    }
}
