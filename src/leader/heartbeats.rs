//! What workers report and answer, and what comes of it.

use super::*;

impl Leader {
    /// A worker reports.
    pub fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        origin: RequestOrigin,
        report: &Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        if report.fencing_token > self.token.0 {
            self.step_down_reason = Some(StepDownReason::HigherFencingToken);
            out.push(Effect::Respond(origin, ApiResponse::unavailable("a newer leader exists")));
            return;
        }
        let Ok(id) = report.machine.parse::<MachineId>() else {
            let response = ApiResponse::field_error(400, "the machine's name has the wrong form", "Host");
            out.push(Effect::Respond(origin, response));
            return;
        };
        if self.cloud.is_gone(id) {
            // A late message of a machine that is no more.
            out.push(Effect::Respond(origin, ApiResponse::unavailable("this machine was returned")));
            return;
        }
        self.machines.entry(id).or_insert_with(|| {
            let record = MachineRecord {
                id,
                endpoint: report.endpoint.clone(),
                machine_type: report.machine_type.clone(),
                zone: report.zone.clone(),
                spot: report.spot,
                rented_at: wall,
            };
            info!("up machine={id} type={} zone={} spot={}", report.machine_type, report.zone, report.spot);
            Machine::new(record, Resources::default(), Registration::NotRequested, now)
        });
        if let Some(rented) = self.cloud.instance_up(id)
            && let Some(machine) = self.machines.get_mut(&id)
        {
            machine.known_since = rented;
            machine.record.rented_at = wall.at_timestamp(now, rented);
        }
        let others = !self.settings.seeds.is_empty();
        if !self.machines.get_mut(&id).is_some_and(|m| m.accept_heartbeat(now, report, others)) {
            let response = ApiResponse::field_error(409, "a newer report has come", "Tally");
            out.push(Effect::Respond(origin, response));
            return;
        }
        let showed = self.apply_worker_message(now, id, report);
        self.note_worker_reached(now, id);
        self.register_machine(lease_valid, id);
        if self.machines.get(&id).is_some_and(|m| !m.fenced && m.last_answered_heartbeat.0.0 > 0) {
            // The answer to a worker's first report tells it our token, and it reports that at once; only where it does
            // not a command asks.
            self.command_dispatch.waiting.insert(id);
        }
        self.schedule_if_due(now, wall, lease_valid, out);
        if showed {
            // What is planned next here goes with the answer.
            self.start_next_tasks(now, id);
        }
        if let Some(machine) = self.machines.get_mut(&id) {
            let keep = self.settings.deployment.workers.copies_over();
            let orders = match machine.fenced {
                true => machine.heartbeat_commands(now, keep),
                // The answer renews the lease, whatever runs there. What is cancelled must not run on by that: each new
                // leader of a chain renewed it once, and the machine was out of reach before the next report.
                false => workers::kills(report, &|job| self.jobs.terminal_state(job).is_some()),
            };
            machine.last_answer_at = now;
            machine.last_answered_heartbeat = machine.last_heartbeat;
            let response = HeartbeatResponse { fencing_token: self.token.0, commands: orders };
            out.push(Effect::Respond(origin, ApiResponse::json(200, &response)));
        }
        self.flush(now, out);
    }

    /// Enrols a machine that is new. Only one that has seen this token is surely there: the report of a
    /// machine that an earlier leader returned may come late.
    pub(super) fn register_machine(&mut self, lease_valid: bool, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id)
            && lease_valid
            && machine.fenced
            && machine.registration == Registration::NotRequested
            && !self.cloud.is_releasing(id)
        {
            machine.registration = Registration::Pending;
            self.log.append(LogRecord::MachineRegistered(machine.record.clone()));
        }
    }

    /// A worker answered a direct command, or did not.
    #[allow(clippy::too_many_arguments)]
    pub fn handle_command_response(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        id: MachineId,
        command: u64,
        reply: &ServiceResponse,
        out: &mut Vec<Effect>,
    ) {
        // 200: executed. 409: nothing executed, and nothing will be. Else it may come to be late.
        let answered = matches!(reply.status, 200 | 409);
        self.command_dispatch.in_flight = self.command_dispatch.in_flight.saturating_sub(1);
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.command_finished(now, command, answered);
            self.planning.changed_machines.insert(id);
        }
        if answered && let Some(report) = reply.parse::<Heartbeat>() {
            if report.fencing_token > self.token.0 {
                self.step_down_reason = Some(StepDownReason::HigherFencingToken);
                return;
            }
            if report.machine == id.to_string() {
                self.apply_worker_message(now, id, &report);
            }
        }
        self.note_worker_reached(now, id);
        self.register_machine(lease_valid, id);
        if answered {
            // Orders may have come in the meantime, or it is not fenced yet.
            self.command_dispatch.waiting.insert(id);
        }
        self.schedule_if_due(now, wall, lease_valid, out);
        self.flush(now, out);
    }

    /// Takes a worker's message; true if it showed something.
    pub(super) fn apply_worker_message(&mut self, now: Timestamp, id: MachineId, report: &Heartbeat) -> bool {
        let token = self.token;
        let Some(machine) = self.machines.get_mut(&id) else { return false };
        let had_notice = machine.reclaim_at.is_some();
        let mut events = Vec::new();
        machine.apply_message(now, report, token, &mut events);
        self.planning.changed_machines.insert(id);
        if !had_notice && machine.reclaim_at.is_some() {
            info!("spot notice machine={id} seconds={:?}", report.reclaim_in_s);
            self.reclaimed_machines.insert(id);
            self.planning.replan_needed = true;
        }
        let showed = !events.is_empty();
        self.planning.replan_needed |= showed;
        self.apply_machine_events(now, id, events);
        showed
    }

    pub(crate) fn apply_machine_events(&mut self, now: Timestamp, id: MachineId, events: Vec<workers::MachineEvent>) {
        for event in events {
            match event {
                workers::MachineEvent::Fenced => {
                    info!("fenced machine={id} token={}", self.token);
                    if self.fencing.unfenced.remove(&id) {
                        self.fencing.last_fenced_at = now;
                    }
                }
                workers::MachineEvent::ImageCached(image) => self.log.append(LogRecord::ImageCached(id, image)),
                workers::MachineEvent::AttemptFound { id: attempt, has_ended } => {
                    self.adopt_attempt(now, id, attempt, has_ended)
                }
                workers::MachineEvent::AttemptRunning(key) => self.attempt_running(now, key),
                workers::MachineEvent::AttemptLost(task) => {
                    debug!("lost {task} machine={id}");
                    self.remove_placement(id, task);
                    if let Some(gang) = self.jobs.get_mut(task.job).and_then(|job| job.gang.as_mut()) {
                        gang.task_lost(now);
                    }
                }
                workers::MachineEvent::AttemptExited(exit) => self.attempt_exited(now, id, exit),
            }
        }
    }
}
