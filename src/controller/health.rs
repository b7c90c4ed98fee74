//! Readiness of this node for the load balancer, and reachability of the other nodes.

use super::Controller;
use crate::api::ApiResponse;
use crate::effects::Effect;
use crate::settings::Seed;
use crate::types::{Duration, Timestamp, WallClock};
use std::collections::BTreeSet;

/// A follower that has not reached the leader for this long reports itself as not ready.
const LEADER_UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Without a response from the state service for this long, the service is considered down or unreachable.
const STORE_UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A node that led within this time may still respond to the heartbeats of workers in a partitioned zone.
const RECENT_LEADER_WINDOW: Duration = Duration::from_secs(90);
/// Minimum interval between two times that a node yields the leadership. If no node reaches the workers, the machines
/// are gone, and further elections would not help.
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

    /// Whether this node reaches neither the state service nor any other node. Unlike in an outage of the state service
    /// alone, the other nodes most likely carry on without this one, and its state may be stale.
    pub(super) fn is_isolated(&self, now: Timestamp) -> bool {
        !self.settings.seeds.is_empty() && self.connected_peers.is_empty() && !self.store_is_reachable(now)
    }

    fn store_is_reachable(&self, now: Timestamp) -> bool {
        self.leadership.store_responded_within(now, STORE_UNREACHABLE_TIMEOUT)
    }

    /// Records whether the leader is reachable.
    ///
    /// A node that cannot reach the leader is unhealthy if the other nodes can. During an outage of the state service
    /// this is not known; since the load balancer takes long to mark a node as healthy again, the node then stays
    /// healthy.
    pub(super) fn record_leader_reachability(&mut self, now: Timestamp) {
        let is_linked = match self.leadership.leader() {
            Some(leader) => leader == self.settings.node || self.connected_peers.contains(leader),
            None => true,
        };
        if is_linked || !self.store_is_reachable(now) {
            self.leader_reachable_at = now;
        }
    }

    /// Whether this node may yield the leadership when it reaches no worker: another node is connected, and this
    /// node has not yielded within `YIELD_INTERVAL`.
    pub(super) fn may_yield(&self, now: Timestamp) -> bool {
        !self.connected_peers.is_empty() && self.yielded_at.is_none_or(|at| now.since(at) >= YIELD_INTERVAL)
    }

    /// The zones of those other nodes that led within `RECENT_LEADER_WINDOW`.
    pub(super) fn recent_leader_zones(&self, now: Timestamp) -> BTreeSet<String> {
        let led_recently = |seed: &&Seed| {
            let last_led_at = self.last_led_at.get(&seed.node);
            last_led_at.is_some_and(|at| now.since(*at) < RECENT_LEADER_WINDOW)
        };
        self.settings.seeds.iter().filter(led_recently).map(|seed| seed.area.clone()).collect()
    }

    /// Handles the establishment of the link to another node.
    pub(super) fn peer_connected(&mut self, now: Timestamp, wall: WallClock, node: String, out: &mut Vec<Effect>) {
        self.connected_peers.insert(node);
        // Resets the interval, so that the new peer learns at the next tick who leads.
        self.announced_at = Timestamp::ZERO;
        self.retry_queued_requests(now, wall, out);
    }

    /// Handles the loss of the link to another node.
    pub(super) fn peer_disconnected(&mut self, now: Timestamp, wall: WallClock, node: &str, out: &mut Vec<Effect>) {
        self.connected_peers.remove(node);
        if self.leadership.leader() == Some(node) {
            self.leadership.expect_vacancy(now);
        }
        self.retry_forwarded_requests(now, wall, node, out);
    }
}
