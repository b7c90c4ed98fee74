//! What waits for machines, for admission.

use super::*;
use caperstile_admission::{Pair, PairBacklog};

/// Jobs of a class with an aim at finishing may wait for this part of its time; the rest is for running.
const WAIT_SHARE: f64 = 1.0 / 3.0;
/// How long jobs of other classes may wait.
const DEFAULT_WAIT: Duration = Duration(120_000);

impl Term {
    /// What waits of each team's classes whose jobs end by themselves. Services are left out: they wait for machines that boot.
    pub(super) fn backlog_by_pair(&self, now: Time) -> BTreeMap<Pair, PairBacklog> {
        let mut waiting: BTreeMap<(&str, &str), PairBacklog> = BTreeMap::new();
        for job in self.jobs.waiting().filter(|job| !job.record.service && job.durable && !job.cancelling) {
            if job.not_before > now {
                // It failed on several machines, and waits for that.
                continue;
            }
            let (team, class) = (job.record.team.as_str(), job.record.class.as_str());
            let none = || PairBacklog { waiting_tasks: 0, oldest: None, longest_wait: self.longest_wait(class) };
            let entry = waiting.entry((team, class)).or_insert_with(none);
            entry.waiting_tasks += u64::from(job.pending.len());
            if job.placed.is_empty() && job.done.is_empty() {
                entry.oldest = Some(entry.oldest.map_or(job.submitted, |oldest| oldest.min(job.submitted)));
            }
        }
        waiting.into_iter().map(|((team, class), backlog)| (Pair::new(team, class), backlog)).collect()
    }

    fn longest_wait(&self, class: &str) -> Duration {
        let of_class = self.settings.deployment.objectives.iter().filter(|o| o.kind == "finished" && o.class == class);
        let longest = of_class.filter_map(|o| o.within_s).reduce(f64::max);
        longest.map_or(DEFAULT_WAIT, |within| Duration::secs(within * WAIT_SHARE))
    }
}
