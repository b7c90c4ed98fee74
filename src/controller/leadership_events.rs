//! Reactions to changes of leadership: this node is elected, steps down, or learns of another leader.

use super::{ANNOUNCEMENT_INTERVAL, Controller};
use crate::effects::{Effect, StoreCaller};
use crate::leader::Leader;
use crate::leadership::{LeadershipEvent, StepDownReason};
use crate::types::{FencingToken, Timestamp, WallClock};
use crate::upgrade::{Format, UpgradeEvent};

impl Controller {
    pub(super) fn apply_leadership_events(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        events: Vec<LeadershipEvent>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            match event {
                LeadershipEvent::Request(id, request) => {
                    out.push(Effect::CallStore(StoreCaller::Leadership, id, request));
                }
                LeadershipEvent::Elected(token, format) => self.begin_leadership(now, wall, token, format, out),
                LeadershipEvent::SteppedDown(_) => {
                    if let Some(leader) = self.leader.take() {
                        leader.reject_pending_requests(out);
                    }
                }
                LeadershipEvent::LeaderChanged(None) => {}
                LeadershipEvent::LeaderChanged(Some(_)) => {
                    self.has_seen_leader = true;
                    self.retry_queued_requests(now, wall, out);
                }
            }
        }
    }

    fn begin_leadership(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        token: FencingToken,
        format: Format,
        out: &mut Vec<Effect>,
    ) {
        self.has_seen_leader = true;
        self.announced_at = Timestamp::ZERO;
        let mut leader = Leader::new(token, format, now, &self.settings);
        if let Some(table) = self.admission_view.inheritable(now) {
            leader.inherit_admission_table(now, table);
        }
        leader.start(now, wall, out);
        self.leader = Some(leader);
        self.retry_queued_requests(now, wall, out);
    }

    /// Steps down if the leader's state has seen a higher fencing token, has lost the leader key, or reaches no worker.
    pub(super) fn step_down_if_required(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let Some(reason) = self.leader.as_ref().and_then(Leader::step_down_reason) else { return };
        let mut events = Vec::new();
        if reason == StepDownReason::NoWorkerReachable {
            self.yielded_at = Some(now);
            self.leadership.yield_leadership(now, reason, &mut events);
        } else {
            self.leadership.step_down(now, reason, &mut events);
        }
        self.apply_leadership_events(now, WallClock::default(), events, out);
    }

    pub(super) fn apply_upgrade_events(&mut self, events: Vec<UpgradeEvent>, out: &mut Vec<Effect>) {
        for event in events {
            match event {
                UpgradeEvent::Request(id, request) => {
                    out.push(Effect::CallStore(StoreCaller::Upgrade, id, request));
                }
                UpgradeEvent::AllUpgraded => self.leadership.request_key_relocation(),
            }
        }
    }

    /// Announces this node as the leader to the other nodes, once per `ANNOUNCEMENT_INTERVAL`.
    pub(super) fn announce(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let Some(leader) = &self.leader else { return };
        if now.since(self.announced_at) >= ANNOUNCEMENT_INTERVAL {
            self.announced_at = now;
            out.push(Effect::AnnounceLeadership(leader.token()));
        }
    }
}
