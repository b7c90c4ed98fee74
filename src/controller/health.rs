//! Whether this node can take requests, and which other nodes it reaches.

use super::Controller;
use crate::api::ApiResponse;
use crate::effects::Effect;
use crate::settings::Seed;
use crate::types::{Duration, Timestamp, WallClock};
use std::collections::BTreeSet;

/// A follower that cannot reach the leader for so long cannot take requests.
const LEADER_UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Without an answer of the key-value store for so long, it is down or out of reach.
const STORE_UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A node that led so recently may still answer the workers of a zone that is cut off.
const RECENT_LEADER_WINDOW: Duration = Duration::from_secs(90);
/// A node yields the leadership no more often: if no node reaches the workers, they are gone.
const YIELD_INTERVAL: Duration = Duration::from_secs(60);

impl Controller {
    /// The response to the load balancer's probe.
    pub(super) fn health(&self, now: Timestamp) -> ApiResponse {
        let leader_reachable = now.since(self.leader_reachable_at) < LEADER_UNREACHABLE_TIMEOUT;
        if self.has_seen_leader && !self.is_isolated(now) && leader_reachable {
            ApiResponse::empty(200)
        } else {
            ApiResponse::unavailable("not ready")
        }
    }

    /// Whether this node has neither the key-value store nor any other node: unlike in an outage, others most likely go on without
    /// it, and what it knows may be outdated.
    pub(super) fn is_isolated(&self, now: Timestamp) -> bool {
        !self.settings.seeds.is_empty() && self.connected_peers.is_empty() && !self.store_answers(now)
    }

    fn store_answers(&self, now: Timestamp) -> bool {
        self.leadership.store_responded_within(now, STORE_UNREACHABLE_TIMEOUT)
    }

    /// Notes whether the leader can be reached.
    ///
    /// A node that cannot reach a leader which others reach is not healthy. In an outage of the store nothing is known of the
    /// leader, and being marked healthy again is slow: the node stays healthy.
    pub(super) fn note_leader_reachability(&mut self, now: Timestamp) {
        let linked = match self.leadership.leader() {
            Some(leader) => leader == self.settings.node || self.connected_peers.contains(leader),
            None => true,
        };
        if linked || !self.store_answers(now) {
            self.leader_reachable_at = now;
        }
    }

    /// Whether this node may yield the leadership if it finds that it reaches no worker.
    pub(super) fn may_yield(&self, now: Timestamp) -> bool {
        !self.connected_peers.is_empty() && self.yielded_at.is_none_or(|at| now.since(at) >= YIELD_INTERVAL)
    }

    /// Zones of the other nodes that led not long ago.
    pub(super) fn recent_leader_zones(&self, now: Timestamp) -> BTreeSet<String> {
        let led_recently = |seed: &&Seed| {
            let last_led_at = self.last_led_at.get(&seed.node);
            last_led_at.is_some_and(|at| now.since(*at) < RECENT_LEADER_WINDOW)
        };
        self.settings.seeds.iter().filter(led_recently).map(|seed| seed.area.clone()).collect()
    }

    /// The link to another node is up.
    pub(super) fn peer_connected(&mut self, now: Timestamp, wall: WallClock, node: String, out: &mut Vec<Effect>) {
        self.connected_peers.insert(node);
        // It is told at once who leads.
        self.announced_at = Timestamp::ZERO;
        self.retry_queued_requests(now, wall, out);
    }

    /// The link to another node is down.
    pub(super) fn peer_disconnected(&mut self, now: Timestamp, wall: WallClock, node: &str, out: &mut Vec<Effect>) {
        self.connected_peers.remove(node);
        if self.leadership.leader() == Some(node) {
            self.leadership.expect_vacancy(now);
        }
        self.retry_forwarded_requests(now, wall, node, out);
    }
}
