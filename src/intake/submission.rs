//! Submissions: their form, whether they can ever run, and jobs as they are accepted.

use crate::settings::Team;
use crate::types::{Duration, JobId, Resources, WallClock};
use crate::wire::Flavor;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Longest name of a class, team, image, type or zone that is taken.
const NAME_LIMIT: usize = 200;
/// Most machine types that a job may name.
const TYPES_LIMIT: usize = 64;

/// When the user of a gang may come back, in seconds, while not all controllers are upgraded.
pub(super) const GANGS_AFTER: u16 = 5;

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
    pub need: Resources,
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
    pub estimate: Duration,
    /// Progress after which a task saves by itself; 0: never.
    #[serde(rename = "q", default)]
    pub checkpoint: Duration,
    /// Time to save when stopped.
    #[serde(rename = "v", default)]
    pub save: Duration,
    /// Deadline after submission.
    #[serde(rename = "d", skip_serializing_if = "Option::is_none", default)]
    pub deadline: Option<Duration>,
    /// When it was submitted.
    #[serde(rename = "a")]
    pub at: WallClock,
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
pub fn parse_job(body: &[u8], at: WallClock) -> Result<JobRecord, Refusal> {
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
    let need = Resources {
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
        Some(_) => Some(Duration::from_millis(amount(&fields, "DueS", false)?)),
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
        estimate: Duration::from_millis(amount(&fields, "RuntimeS", service)?),
        checkpoint: Duration::from_millis(amount(&fields, "BookmarkS", true)?),
        save: Duration::from_millis(amount(&fields, "StashS", true)?),
        deadline,
        at,
    })
}

/// The room that a machine type offers.
pub fn capacity(flavor: &Flavor) -> Resources {
    let milli = |v: f64| (v.max(0.0) * 1000.0 + 1e-6).floor() as u64;
    Resources { cpus: milli(flavor.cpus), gpus: milli(flavor.gpus), memory: milli(flavor.memory_gb) }
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
