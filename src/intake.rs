//! What users ask for: validation of jobs, the job book, and the answers.

use crate::gang::Gang;
use crate::records::{FINALS_LIMIT, RANGES_LIMIT, Record};
use crate::settings::Team;
use crate::units::{JobId, MachineId, Ranges, Room, Span, TaskAttempt, TaskId, Time, Wall};
use crate::wire::Flavor;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Longest name of a class, team, image, type or zone that is taken.
const NAME_LIMIT: usize = 200;
/// Most machine types that a job may name.
const TYPES_LIMIT: usize = 64;

/// When the user of a gang may come back, in seconds, while not all controllers are upgraded.
const GANGS_AFTER: u16 = 5;

/// A job as it was accepted; short names keep the durable log small.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Id.
    #[serde(rename = "i")]
    pub id: JobId,
    /// Class.
    #[serde(rename = "l")]
    pub class: String,
    /// Team.
    #[serde(rename = "t")]
    pub team: String,
    /// Whether its tasks run until it is cancelled.
    #[serde(rename = "k")]
    pub service: bool,
    /// 0 (`prod`) to 3 (`low`).
    #[serde(rename = "r")]
    pub rank: u8,
    /// All tasks run at the same time or none does. The previous version would read such a job as one of independent tasks, so it is
    /// accepted only under `Format::Two`.
    #[serde(rename = "y", default, skip_serializing_if = "std::ops::Not::not")]
    pub gang: bool,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// What each task takes.
    #[serde(rename = "c")]
    pub need: Room,
    /// Image.
    #[serde(rename = "m")]
    pub image: String,
    /// Size of the image in thousandths of a GB.
    #[serde(rename = "g")]
    pub image_mb: u64,
    /// Allowed machine types.
    #[serde(rename = "b", skip_serializing_if = "Option::is_none", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "z", skip_serializing_if = "Option::is_none", default)]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "o", default)]
    pub together: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "s", default)]
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "p", default)]
    pub spot: bool,
    /// The owner's estimate.
    #[serde(rename = "e")]
    pub estimate: Span,
    /// Progress after which a task saves by itself; 0: never.
    #[serde(rename = "q", default)]
    pub checkpoint: Span,
    /// Time to save when stopped.
    #[serde(rename = "v", default)]
    pub save: Span,
    /// Deadline after submission.
    #[serde(rename = "d", skip_serializing_if = "Option::is_none", default)]
    pub deadline: Option<Span>,
    /// When it was submitted.
    #[serde(rename = "a")]
    pub at: Wall,
}

impl JobRecord {
    /// Most tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { u32::MAX }
    }
    /// Whether a machine of this type, zone and kind is allowed.
    pub fn allows(&self, kind: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self.types.as_ref().is_none_or(|types| types.iter().any(|t| t == kind))
    }
}

/// Why a submission is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// 400: a field is missing or wrong.
    Malformed(&'static str, &'static str),
    /// 422: can never run.
    Never(String),
    /// 503: not now; when to come back, in seconds.
    NotYet(&'static str, u16),
}

fn bad(field: &'static str, problem: &'static str) -> Refusal {
    Refusal::Malformed(field, problem)
}

type Fields = Map<String, Value>;

fn text(fields: &Fields, name: &'static str) -> Result<String, Refusal> {
    match fields.get(name) {
        Some(Value::String(s)) if s.is_empty() => Err(bad(name, "is empty")),
        Some(Value::String(s)) if s.len() > NAME_LIMIT => Err(bad(name, "is too long")),
        Some(Value::String(s)) => Ok(s.clone()),
        Some(Value::Null) | None => Err(bad(name, "is missing")),
        Some(_) => Err(bad(name, "is not a string")),
    }
}

fn flag(fields: &Fields, name: &'static str) -> Result<bool, Refusal> {
    match fields.get(name) {
        Some(Value::Bool(b)) => Ok(*b),
        Some(Value::Null) | None => Err(bad(name, "is missing")),
        Some(_) => Err(bad(name, "is not true or false")),
    }
}

/// An amount in thousandths, rounded up.
fn amount(fields: &Fields, name: &'static str, zero: bool) -> Result<u64, Refusal> {
    let value = match fields.get(name) {
        Some(Value::Number(n)) => n.as_f64().ok_or(bad(name, "is not a number"))?,
        Some(Value::Null) | None => return Err(bad(name, "is missing")),
        Some(_) => return Err(bad(name, "is not a number")),
    };
    if !(0.0..=1e9).contains(&value) {
        return Err(bad(name, "is out of range"));
    }
    let milli = (value * 1000.0 - 1e-6).ceil().max(0.0) as u64;
    if milli == 0 && !(zero && value == 0.0) {
        return Err(bad(name, "must be more than 0"));
    }
    Ok(milli)
}

fn word(fields: &Fields, name: &'static str, words: &[&str]) -> Result<usize, Refusal> {
    let value = text(fields, name)?;
    words.iter().position(|w| *w == value).ok_or(bad(name, "is not a known word"))
}

/// Checks the form of a submission.
pub fn parse_job(body: &[u8], at: Wall) -> Result<JobRecord, Refusal> {
    let value: Value = serde_json::from_slice(body).map_err(|_| bad("", "the body is not JSON"))?;
    let Value::Object(fields) = value else { return Err(bad("", "the body is not an object")) };
    let id = text(&fields, "Ref")?.parse().map_err(|_| bad("Ref", "has the wrong form"))?;
    let class = text(&fields, "Lane")?;
    let team = text(&fields, "Crew")?;
    let shape = word(&fields, "Shape", &["batch", "standing", "group"])?;
    let (service, gang) = (shape == 1, shape == 2);
    let rank = word(&fields, "Rank", &["prod", "urgent", "standard", "low"])? as u8;
    let tasks = match fields.get("Pieces") {
        Some(Value::Number(n)) => match n.as_u64() {
            Some(n) if (1..=100_000).contains(&n) => n as u32,
            _ => return Err(bad("Pieces", "is not a count from 1 to 100000")),
        },
        Some(Value::Null) | None => return Err(bad("Pieces", "is missing")),
        Some(_) => return Err(bad("Pieces", "is not a number")),
    };
    let need = Room {
        cpus: amount(&fields, "Cores", false)?,
        gpus: amount(&fields, "Cards", true)?,
        memory: amount(&fields, "MemoryGb", false)?,
    };
    let types = match fields.get("Builds") {
        None | Some(Value::Null) => None,
        Some(Value::Array(items)) => {
            let names: Option<Vec<String>> = items.iter().map(|i| i.as_str().map(str::to_string)).collect();
            let names = names.ok_or(bad("Builds", "is not a list of names"))?;
            if names.len() > TYPES_LIMIT || names.iter().any(|n| n.len() > NAME_LIMIT) {
                return Err(bad("Builds", "is too long"));
            }
            Some(names)
        }
        Some(_) => return Err(bad("Builds", "is not a list of names")),
    };
    let zone = match fields.get("Yard") {
        None | Some(Value::Null) => None,
        Some(_) => Some(text(&fields, "Yard")?),
    };
    let deadline = match fields.get("DueS") {
        None | Some(Value::Null) => None,
        Some(_) => Some(Span(amount(&fields, "DueS", false)?)),
    };
    Ok(JobRecord {
        id,
        class,
        team,
        service,
        rank,
        gang,
        tasks,
        need,
        image: text(&fields, "Reel")?,
        image_mb: amount(&fields, "ImageGb", true)?,
        types,
        zone,
        together: flag(&fields, "Together")?,
        spread: flag(&fields, "Spread")?,
        spot: flag(&fields, "Loaners")?,
        estimate: Span(amount(&fields, "RuntimeS", service)?),
        checkpoint: Span(amount(&fields, "BookmarkS", true)?),
        save: Span(amount(&fields, "StashS", true)?),
        deadline,
        at,
    })
}

/// The room that a machine type offers.
pub fn capacity(flavor: &Flavor) -> Room {
    let milli = |v: f64| (v.max(0.0) * 1000.0 + 1e-6).floor() as u64;
    Room { cpus: milli(flavor.cpus), gpus: milli(flavor.gpus), memory: milli(flavor.memory_gb) }
}

/// Checks whether a job can ever run; `gangs`: whether gangs are taken by now.
pub fn can_ever_run(job: &JobRecord, teams: &[Team], flavors: Option<&[Flavor]>, gangs: bool) -> Result<(), Refusal> {
    let Some(team) = teams.iter().find(|t| t.name == job.team) else {
        return Err(Refusal::Never(format!("unknown team `{}`", job.team)));
    };
    let times = if job.service || job.gang { u64::from(job.tasks) } else { 1 };
    for (name, max, need) in [("cpus_max", team.cpus_max, job.need.cpus), ("gpus_max", team.gpus_max, job.need.gpus)] {
        if max > 0.0 && need.saturating_mul(times) > (max * 1000.0 + 1e-6) as u64 {
            return Err(Refusal::Never(format!("needs more than {name} of team `{}`", job.team)));
        }
    }
    let Some(flavors) = flavors else { return Err(Refusal::NotYet("machine types are not known yet", 1)) };
    let fits = flavors.iter().any(|f| {
        job.need.fits(&capacity(f))
            && job.types.as_ref().is_none_or(|types| types.contains(&f.name))
            && job.zone.as_ref().is_none_or(|zone| f.zones.contains(zone))
            && (!job.spread || job.tasks < 2 || (job.zone.is_none() && !job.together))
    });
    match (fits, job.gang && !gangs) {
        (false, _) => Err(Refusal::Never("a task fits no allowed machine type".into())),
        (true, true) => Err(Refusal::NotYet("gangs are taken once all controllers are upgraded", GANGS_AFTER)),
        (true, false) => Ok(()),
    }
}

/// Where a task is, or may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placed {
    /// Machine.
    pub machine: MachineId,
    /// The attempt.
    pub key: TaskAttempt,
    /// Whether it is reported to run.
    pub running: bool,
}

/// A job that is not over.
#[derive(Debug)]
pub struct Job {
    /// What was accepted.
    pub record: Rc<JobRecord>,
    /// Order among jobs of the same rank.
    pub seq: u64,
    /// Its rank, or a better one when nothing of it has begun for long, until something has.
    pub urgency: u8,
    /// When it was submitted, by this process's clock.
    pub submitted: Time,
    /// Whether its acceptance is durable.
    pub durable: bool,
    /// Whether it was accepted under this leader's token.
    pub ours: bool,
    /// Tasks that are on no machine and not done.
    pub pending: Ranges,
    /// Tasks whose finish was reported, durable or not.
    pub done: Ranges,
    /// Tasks whose finish is durable.
    pub durably_done: Ranges,
    /// Tasks on machines.
    pub placed: BTreeMap<u32, Placed>,
    /// A cancellation is on its way to be durable.
    pub cancelling: bool,
    /// Machines on which its tasks failed.
    pub failed_on: Vec<MachineId>,
    /// Failures in a row, over all tasks.
    pub failures: u32,
    /// No task is started before, because of failures.
    pub not_before: Time,
    /// When planning looked for machines for it last.
    pub looked: Time,
    /// Its life as a gang, if it is one.
    pub gang: Option<Gang>,
}

impl Job {
    /// When the job should be complete.
    pub fn deadline(&self) -> Time {
        self.record.deadline.map_or(Time::NEVER, |d| self.submitted + d)
    }
    /// Whether it has a better rank than its own.
    pub fn promoted(&self) -> bool {
        self.urgency != self.record.rank
    }
    /// How many tasks run, as users see it: of a gang all or none.
    fn running(&self) -> usize {
        let running = self.placed.values().filter(|p| p.running).count();
        match &self.gang {
            Some(gang) if !gang.runs() || running < self.record.tasks as usize => 0,
            _ => running,
        }
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Final {
    /// All tasks are done; how many there were.
    Done(u32),
    /// Cancelled.
    Cancelled,
}

/// All jobs: those that are not over in full, the others as their final state only.
#[derive(Debug, Default)]
pub struct JobBook {
    live: BTreeMap<JobId, Job>,
    finals: HashMap<JobId, Final>,
    /// Jobs with tasks that are on no machine, most important first; others may be among them until
    /// `settle_waiting`.
    waiting: BTreeSet<(u8, u64, JobId)>,
    /// Gangs that are not over.
    gangs: BTreeSet<JobId>,
}

/// What became of a durable fact.
#[derive(Debug, PartialEq, Eq)]
pub enum Applied {
    /// Nothing that anyone waits for.
    Nothing,
    /// The job is accepted.
    Accepted(JobId),
    /// The job is over; what was left of it on machines.
    Over(JobId, Vec<Placed>),
}

impl JobBook {
    /// A job that is not over.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.live.get(&id)
    }
    /// A job that is not over.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.live.get_mut(&id)
    }
    /// All jobs that are not over.
    pub fn live(&self) -> impl Iterator<Item = &Job> {
        self.live.values()
    }
    /// How many jobs are not over.
    pub fn open(&self) -> usize {
        self.live.len()
    }
    /// How a job ended, if it did.
    pub fn ended(&self, id: JobId) -> Option<Final> {
        self.finals.get(&id).copied()
    }
    /// Jobs that are over.
    pub fn finals(&self) -> usize {
        self.finals.len()
    }

    /// Jobs with tasks that are on no machine, most important first.
    pub fn waiting(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter().filter_map(|(.., id)| self.live.get(id)).filter(|j| !j.pending.is_empty())
    }

    /// Gangs that are not over.
    pub fn gangs(&self) -> impl Iterator<Item = &Job> {
        self.gangs.iter().filter_map(|id| self.live.get(id))
    }

    /// Forgets as waiting what does not wait any more.
    pub fn settle_waiting(&mut self) {
        let live = &self.live;
        self.waiting.retain(|(.., id)| live.get(id).is_some_and(|j| !j.pending.is_empty()));
    }

    /// A task is on no machine any more: it waits again, unless it is done.
    pub fn waits_again(&mut self, task: TaskId) {
        if let Some(job) = self.live.get_mut(&task.job)
            && !job.done.contains(task.index)
        {
            job.pending.insert(task.index);
            self.waiting.insert((job.urgency, job.seq, task.job));
        }
    }

    /// Gives a job another rank among those that wait.
    pub fn promote(&mut self, id: JobId, urgency: u8) {
        if let Some(job) = self.live.get_mut(&id) {
            self.waiting.remove(&(job.urgency, job.seq, id));
            job.urgency = urgency;
            self.waiting.insert((urgency, job.seq, id));
        }
    }

    /// Enters a job whose acceptance is not durable yet.
    pub fn enter(&mut self, record: JobRecord, now: Time, ours: bool) {
        // Among equals, short tasks go first, but nothing waits for ever: it is as if a job had come
        // later by half of what its tasks take.
        let seq = now.0 + record.estimate.0 / 2;
        self.waiting.insert((record.rank, seq, record.id));
        let job = Job {
            seq,
            urgency: record.rank,
            submitted: now,
            durable: false,
            ours,
            pending: Ranges::upto(record.tasks),
            done: Ranges::default(),
            durably_done: Ranges::default(),
            placed: BTreeMap::new(),
            cancelling: false,
            failed_on: Vec::new(),
            failures: 0,
            not_before: Time(0),
            looked: Time(0),
            gang: record.gang.then(Gang::default),
            record: Rc::new(record),
        };
        if job.gang.is_some() {
            self.gangs.insert(job.record.id);
        }
        self.live.insert(job.record.id, job);
    }

    /// Applies a durable fact, in the order of the log; the same when it is read back as when it
    /// has just been written, so that leaders agree.
    pub fn apply(&mut self, record: &Record, now: Time, wall: Wall) -> Applied {
        match record {
            Record::Job(job) => {
                if self.finals.contains_key(&job.id) {
                    return Applied::Nothing;
                }
                if !self.live.contains_key(&job.id) {
                    self.enter(job.clone(), wall.instant(now, job.at), false);
                }
                if let Some(entry) = self.live.get_mut(&job.id) {
                    entry.durable = true;
                }
                Applied::Accepted(job.id)
            }
            Record::Done(id, tasks) => {
                let Some(job) = self.live.get_mut(id) else { return Applied::Nothing };
                for index in tasks.iter().filter(|i| *i < job.record.tasks) {
                    job.done.insert(index);
                    job.pending.remove(index);
                    // A set, not a sum: a fact that is read twice must not make a job look done.
                    job.durably_done.insert(index);
                }
                if job.durably_done.len() < job.record.tasks {
                    return Applied::Nothing;
                }
                let tasks = job.record.tasks;
                self.end(*id, Final::Done(tasks))
            }
            Record::Cancelled(id) if self.live.contains_key(id) => self.end(*id, Final::Cancelled),
            Record::Finals(done, cancelled) => {
                let mut id = 0;
                for (step, tasks) in done {
                    id += step;
                    self.finals.insert(JobId(id), Final::Done(*tasks));
                }
                id = 0;
                for step in cancelled {
                    id += step;
                    self.finals.insert(JobId(id), Final::Cancelled);
                }
                Applied::Nothing
            }
            _ => Applied::Nothing,
        }
    }

    fn end(&mut self, id: JobId, how: Final) -> Applied {
        let left = self.live.remove(&id).map(|job| job.placed.into_values().collect()).unwrap_or_default();
        self.gangs.remove(&id);
        self.finals.insert(id, how);
        Applied::Over(id, left)
    }

    /// All durable facts, for a snapshot.
    pub fn facts(&self) -> Vec<Record> {
        let mut facts = Vec::new();
        let mut done: Vec<(u64, u32)> = Vec::new();
        let mut cancelled: Vec<u64> = Vec::new();
        for (id, how) in &self.finals {
            match how {
                Final::Done(tasks) => done.push((id.0, *tasks)),
                Final::Cancelled => cancelled.push(id.0),
            }
        }
        done.sort_unstable();
        cancelled.sort_unstable();
        for part in done.chunks(FINALS_LIMIT) {
            let mut last = 0;
            facts.push(Record::Finals(
                part.iter().map(|(id, n)| (id - std::mem::replace(&mut last, *id), *n)).collect(),
                vec![],
            ));
        }
        for part in cancelled.chunks(FINALS_LIMIT) {
            let mut last = 0;
            facts.push(Record::Finals(vec![], part.iter().map(|id| id - std::mem::replace(&mut last, *id)).collect()));
        }
        for job in self.live.values().filter(|j| j.durable) {
            facts.push(Record::Job((*job.record).clone()));
            for part in job.durably_done.split(RANGES_LIMIT) {
                facts.push(Record::Done(job.record.id, part));
            }
        }
        facts
    }

    /// A job's state as users see it; `None` for a job that was never accepted.
    pub fn state(&self, id: JobId) -> Option<Value> {
        let reference = id.to_string();
        if let Some(how) = self.finals.get(&id) {
            return Some(match how {
                Final::Done(n) => json!({"Ref": reference, "Status": "done", "done": n, "running": 0}),
                Final::Cancelled => json!({"Ref": reference, "Status": "aborted", "done": 0, "running": 0}),
            });
        }
        let job = self.live.get(&id)?;
        let running = job.running();
        let status = if running > 0 { "running" } else { "queued" };
        Some(json!({"Ref": reference, "Status": status, "done": job.durably_done.len(), "running": running}))
    }
}

#[cfg(test)]
pub(crate) mod tests;
