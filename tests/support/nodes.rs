//! Controllers of the simulation: started, ended, cut off, fed with inputs, and their effects carried out.

use super::*;

impl Sim {
    pub fn start(&mut self, node: usize) {
        if self.nodes[node].is_some() {
            return;
        }
        self.epochs[node] += 1;
        self.born[node] = self.now;
        let incarnation = self.epochs[node] * 10 + node as u64 + self.chance(1000) * 100;
        self.nodes[node] = Some(Controller::new(settings(&self.site, node), incarnation));
        let epoch = self.epochs[node];
        self.after(1 + node as u64 * 7, Event::Tick(node, epoch));
        self.link(node, true, 30);
    }

    /// Starts the version in production as this node, which must not run.
    pub fn start_old(&mut self, node: usize) {
        assert!(self.nodes[node].is_none(), "it runs");
        self.epochs[node] += 1;
        let incarnation = self.epochs[node] * 10 + node as u64;
        self.old.insert(node, old_node::OldNode::new(node, incarnation));
        self.after(1, Event::OldTick(node, self.epochs[node]));
    }

    /// Ends the version in production; it comes back as this version.
    pub fn upgrade(&mut self, node: usize, after: u64) {
        self.old.remove(&node);
        self.epochs[node] += 1;
        self.after(after, Event::Start(node));
    }

    /// Tells a node and all others that can reach it that their links are up or down.
    pub(super) fn link(&mut self, node: usize, up: bool, delay: u64) {
        for other in (0..self.site.nodes).filter(|o| *o != node) {
            let apart = self.isolated.contains(&node) || self.isolated.contains(&other);
            if self.nodes[other].is_some() && !(up && apart) {
                self.input(node, Input::Link(name(other), up), delay);
                self.input(other, Input::Link(name(node), up), delay);
            }
        }
    }

    /// Cuts a node off from the state service and the other nodes; its workers and users reach it.
    pub fn isolate(&mut self, node: usize) {
        if self.isolated.insert(node) {
            self.state.refused_nodes.insert(node);
            self.link(node, false, 5);
        }
    }

    /// Cuts a zone off, with this node in it.
    pub fn cut_off(&mut self, zone: &str, node: usize) {
        if self.isolated.is_empty() {
            self.isolate(node);
            self.island = Some((zone.to_string(), node));
        }
    }

    /// Whether a node and a worker reach each other.
    pub(super) fn reaches(&self, node: usize, machine: u64) -> bool {
        let within = |(zone, inside): &(String, usize)| {
            let there = self.workers.get(&machine).is_some_and(|w| w.zone == *zone);
            there == (*inside == node)
        };
        !self.apart.contains(&node) && self.island.as_ref().is_none_or(within)
    }

    pub fn reconnect(&mut self) {
        self.island = None;
        for node in std::mem::take(&mut self.isolated) {
            self.state.refused_nodes.remove(&node);
            self.link(node, true, 30);
        }
    }

    /// A process that ends and is back after a moment.
    pub fn bounce(&mut self, node: usize, after: u64) {
        self.crash(node);
        self.bounce_back(node, after);
    }

    /// A process that ended is back after so long.
    pub fn bounce_back(&mut self, node: usize, after: u64) {
        self.after(after, Event::Start(node));
    }

    /// A machine that is out of reach for a moment.
    pub fn blink(&mut self, machine: u64, after: u64) {
        self.cut(machine);
        self.after(after, Event::Heal(machine));
    }

    /// A machine that hangs for so long. It may go on within its lease; if that is over, so are its tasks.
    pub fn hang(&mut self, machine: u64, ms: u64) {
        if let Some(w) = self.workers.get_mut(&machine)
            && !std::mem::replace(&mut w.hung, true)
        {
            self.after(ms, Event::GoOn(machine));
        }
    }

    /// A machine that hung goes on: what waits is executed.
    pub(super) fn go_on(&mut self, machine: u64) {
        if let Some(w) = self.workers.get_mut(&machine) {
            w.hung = false;
            for event in self.frozen.remove(&machine).unwrap_or_default() {
                self.after(1, event);
            }
        }
    }

    /// All troubles are over, whatever they were.
    pub fn mend(&mut self) {
        self.state.down = false;
        self.state.lost_answers = 0;
        self.outbound_lost.clear();
        self.late_writes = (0, false);
        self.state_slow = 0;
        self.kept_for_next = 0;
        self.cloud_down = false;
        self.state.writes_left = None;
        self.state.refused_nodes.clear();
        self.copies = (0, 0);
        self.repeats = (0, 0);
        self.apart.clear();
        self.island = None;
        self.reconnect();
        (0..self.site.nodes).for_each(|n| self.start(n));
        let machines: Vec<u64> = self.workers.keys().copied().collect();
        for m in machines {
            self.heal(m);
            self.go_on(m);
        }
        self.mended_at = Some(self.now);
    }

    /// A health check; the answer is in `healthy` a few milliseconds later.
    pub fn probe(&mut self, node: usize) {
        self.requests += 1;
        let id = self.requests * self.count() + node as u64;
        self.askers.insert(id, Asker::Probe { node });
        self.input(node, Input::Up(Origin::Http(id)), 1);
    }

    pub fn crash(&mut self, node: usize) {
        if self.nodes[node].take().is_none() {
            return;
        }
        for other in (0..self.site.nodes).filter(|o| *o != node) {
            self.input(other, Input::Link(name(node), false), 5);
        }
        // Whoever waits for it sees the connection break.
        let waiting: Vec<(u64, Asker)> = self.askers.iter().map(|(id, a)| (*id, a.clone())).collect();
        for (id, asker) in waiting {
            if id % self.count() == node as u64 {
                self.askers.remove(&id);
                self.failed(asker);
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let token = |n: &usize| self.nodes[*n].as_ref().and_then(|c| c.term()).map(|r| r.token());
        (0..self.site.nodes).filter(|n| token(n).is_some()).max_by_key(token)
    }

    pub(super) fn input(&mut self, node: usize, input: Input, delay: u64) {
        let epoch = self.epochs[node];
        self.after(delay, Event::Input(node, epoch, Box::new(input)));
    }

    /// What a node's own clock says: it starts with the process.
    pub fn clock(&self, node: usize) -> Time {
        Time::START + Duration(self.now - self.born[node])
    }

    pub(super) fn feed(&mut self, node: usize, input: Input) {
        let now = self.clock(node);
        let wall = Wall(1_700_000_000_000 + self.now);
        let Some(controller) = &mut self.nodes[node] else { return };
        let number = controller.admission_table(now).map(|table| table.number);
        let asked = admission::submission_of(controller, &input);
        let begin = std::time::Instant::now();
        let mut effects = controller.handle(now, wall, input);
        let took = begin.elapsed();
        if let Some(log) = &mut self.effect_log {
            log.record(self.now, node, &mut effects);
        }
        self.decisions.note(node, number, asked, &effects);
        self.spent = (self.spent.0 + took, self.spent.1.max(took));
        let epoch = self.epochs[node];
        let token = controller.term().map_or(0, |r| r.token().0);
        if token > self.led {
            (self.led, self.led_at) = (token, self.now);
            for (machine, report) in std::mem::take(&mut self.kept) {
                for to in 0..self.site.nodes {
                    let soon = self.chance(400);
                    self.copy_report(machine, to as u64, soon, &report);
                }
            }
        }
        for effect in effects {
            let delay = 1 + self.chance(4);
            match effect {
                Effect::Answer(Origin::Http(id), answer) => {
                    if let Some(asker) = self.askers.remove(&id) {
                        self.answered(asker, answer, delay);
                    }
                }
                Effect::Answer(Origin::Peer(link, id), answer) => {
                    let (to, its_epoch) = ((link % self.count()) as usize, link / self.count());
                    if self.isolated.contains(&node) || self.isolated.contains(&to) {
                        continue;
                    }
                    self.after(delay, Event::Input(to, its_epoch, Box::new(Input::Forwarded(id, answer))));
                }
                Effect::State(slot, id, call) => {
                    if let Some(late) = self.repeated() {
                        self.after(late, Event::StateRepeat(Box::new(call.clone())));
                    }
                    self.after(delay + self.state_slow, Event::State(node, epoch, slot, id, Box::new(call)));
                }
                Effect::Cloud(token, id, call) => {
                    self.after(50 + delay, Event::Cloud(node, epoch, token, id, Box::new(call)));
                }
                Effect::Command { token, machine, id, body, .. } => {
                    self.commands += 1;
                    let machine = machine.0;
                    if let Some(late) = self.repeated() {
                        self.after(late, Event::CommandRepeat(machine, Box::new(body.clone())));
                    }
                    self.after(delay, Event::Command { node, epoch, token, machine, id, body: Box::new(body) });
                    self.after(1500, Event::CommandTimeout { node, epoch, token, machine, id });
                }
                Effect::Announce(token) => {
                    for to in (0..self.site.nodes).filter(|n| *n != node) {
                        if self.nodes[to].is_some() && !self.isolated.contains(&node) && !self.isolated.contains(&to) {
                            self.input(to, Input::Leads(name(node), token), delay);
                        }
                    }
                }
                Effect::ReportRefused(to, report) => {
                    let target = (0..self.site.nodes).find(|n| name(*n) == to).expect("a known node");
                    if !self.isolated.contains(&node) && !self.isolated.contains(&target) {
                        self.input(target, Input::RefusedElsewhere(report), delay);
                    }
                }
                Effect::Publish(table) => {
                    for to in (0..self.site.nodes).filter(|n| *n != node) {
                        if self.nodes[to].is_some() && !self.isolated.contains(&node) && !self.isolated.contains(&to) {
                            self.input(to, Input::AdmissionTable(table.clone()), delay);
                        }
                    }
                }
                Effect::Forward(to, id, call) => {
                    let target = (0..self.site.nodes).find(|n| name(*n) == to).expect("a known node");
                    let link = epoch * self.count() + node as u64;
                    if self.isolated.contains(&node) || self.isolated.contains(&target) {
                        continue;
                    }
                    self.input(target, Input::User(Origin::Peer(link, id), call), delay);
                }
            }
        }
    }

    /// Whether a request is carried out once more, and how much later.
    pub(super) fn repeated(&mut self) -> Option<u64> {
        let (share, late) = self.repeats;
        (share > 0 && self.chance(100) < share).then(|| 20 + self.chance(late.max(1)))
    }
}
