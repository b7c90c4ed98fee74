//! The only place with sockets, clocks and tokio: feeds inputs to the core and carries effects out.

mod clients;
mod http;
mod idle_meter;
mod inbox;
mod input_delay;
mod links;
mod load_report;
mod outputs;
mod reload;

pub(crate) use clients::StoreClient;

use crate::api::ApiResponse;
use crate::controller::Controller;
use crate::effects::{Input, RequestOrigin};
use crate::peers::Frame;
use crate::settings::Settings;
use crate::types::{Duration as CoreDuration, Timestamp, WallClock};
use idle_meter::IdleMeter;
use inbox::Inbox;
use input_delay::InputDelayProbe;
use load_report::{InputKind, LoadReport};
use log::info;
use outputs::Outputs;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};

/// Calls to the state service that may wait for the core with their answers.
const STORE_RESPONSE_QUEUE: usize = 512;
/// The core has its turn after at most so many tasks of connections: it looks first at what is urgent.
const CORE_TURN_INTERVAL_TASKS: u32 = 16;
/// After so many messages the core gives connections a turn, even if more wait for it.
const MAX_MESSAGES_IN_A_ROW: u32 = 64;
/// How often time passes for the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// An input that comes so long after the last tick takes the next one along: waking up costs more than a tick does.
const EARLY_TICK_AGE: CoreDuration = CoreDuration::from_millis(40);

/// The core is told how long an input took if it took at least this long.
const SLOW_INPUT_THRESHOLD: Duration = Duration::from_millis(20);

/// What tasks tell the core's loop.
#[derive(Debug)]
enum Message {
    /// A request over HTTP and where its answer goes.
    Request(http::ApiRequest, oneshot::Sender<ApiResponse>),
    /// Anything else.
    Input(Input),
    /// A peer's link was opened: where its answers go.
    PeerLinkOpened(u64, mpsc::Sender<Frame>),
    /// The peer on this link takes admission tables.
    PeerTakesTables(u64),
    /// A peer's link was closed.
    PeerLinkClosed(u64),
}

/// Runs a node until the process is killed.
pub fn run(settings: Settings, operators: Option<PathBuf>) -> std::io::Result<()> {
    let idle = IdleMeter::new();
    let (parked, unparked) = (idle.clone(), idle.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .event_interval(CORE_TURN_INTERVAL_TASKS)
        .on_thread_park(move || parked.park())
        .on_thread_unpark(move || unparked.unpark())
        .build()?;
    runtime.block_on(async { Node::start(settings, operators, idle).await?.serve().await })
}

/// A running node: the core, what comes in and what goes out.
struct Node {
    controller: Controller,
    start: Instant,
    /// Answers of the state service.
    store_responses: mpsc::Receiver<Message>,
    inbox: Inbox,
    outputs: Outputs,
    /// Requests over HTTP so far; numbers them.
    request_counter: u64,
    tick: tokio::time::Interval,
    last_tick_at: Timestamp,
    /// Inputs about this node itself, which go before all others.
    own_inputs: Vec<Input>,
    messages_in_a_row: u32,
    load: LoadReport,
    input_delay: InputDelayProbe,
    idle: IdleMeter,
}

impl Node {
    async fn start(settings: Settings, operators: Option<PathBuf>, idle: IdleMeter) -> std::io::Result<Node> {
        let limits = &settings.deployment.resources;
        let (tell, inbox) = mpsc::channel::<Message>(limits.max_queued_inputs());
        let api = tokio::net::TcpListener::bind(settings.api_addr).await?;
        let peer = tokio::net::TcpListener::bind(settings.peer_bind).await?;
        info!("node listening node={} api_addr={} peer_bind={}", settings.node, settings.api_addr, settings.peer_bind);
        info!(
            "limits derived connections={} commands_at_once={} open_jobs={} inputs_waiting={}",
            limits.max_connections(),
            limits.max_concurrent_commands(),
            limits.max_open_jobs(),
            limits.max_queued_inputs()
        );
        http::serve(api, tell.clone(), limits.max_connections());
        links::listen(peer, tell.clone());
        let link = |seed| links::connect(&settings.node, seed, tell.clone());
        let links = settings.seeds.iter().map(|seed| (seed.node.clone(), link(seed))).collect();
        let (urgent, store_responses) = mpsc::channel::<Message>(STORE_RESPONSE_QUEUE);
        let clients = clients::Clients::new(&settings, tell.clone(), urgent)?;
        if let Some(file) = operators {
            reload::follow(file, settings.clone(), tell.clone());
        }
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        Ok(Node {
            start: Instant::now(),
            store_responses,
            inbox: Inbox::new(inbox, limits.max_queued_inputs()),
            outputs: Outputs::new(settings.node.clone(), clients, links, tell),
            request_counter: 0,
            tick,
            last_tick_at: Timestamp::START,
            own_inputs: Vec::new(),
            messages_in_a_row: 0,
            load: LoadReport::new(TICK_INTERVAL),
            input_delay: InputDelayProbe::new(),
            idle,
            controller: Controller::new(settings, SmallRng::from_os_rng().random()),
        })
    }

    async fn serve(mut self) -> std::io::Result<()> {
        loop {
            let Some(message) = self.next_message().await else { return Ok(()) };
            if let Some(input) = self.input_of(message) {
                self.handle_input(input);
            }
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::START + CoreDuration::from_millis(self.start.elapsed().as_millis() as u64)
    }

    /// What is to be done next: first what is about the node itself, then answers of the state service, time, and what waits by its
    /// class.
    async fn next_message(&mut self) -> Option<Message> {
        loop {
            if let Some(input) = self.own_inputs.pop() {
                return Some(Message::Input(input));
            }
            self.messages_in_a_row += 1;
            if self.messages_in_a_row >= MAX_MESSAGES_IN_A_ROW {
                self.messages_in_a_row = 0;
                tokio::task::yield_now().await;
            }
            let now = self.now();
            tokio::select! {
                biased;
                message = self.store_responses.recv() => return message,
                _ = self.tick.tick() => return Some(Message::Input(Input::Tick)),
                popped = self.inbox.next(now) => match popped? {
                    inbox::NextMessage::Serve(message) => return Some(message),
                    inbox::NextMessage::Refuse(message, why) => {
                        self.load.count_shed();
                        self.outputs.refuse(message, why);
                    }
                },
            }
        }
    }

    /// The core's input that a message stands for, if it is not about links alone.
    fn input_of(&mut self, message: Message) -> Option<Input> {
        match message {
            Message::Request(asked, to) => {
                self.request_counter += 1;
                let origin = RequestOrigin::Http(self.request_counter);
                self.outputs.expect_answer(self.request_counter, to);
                Some(match asked {
                    http::ApiRequest::User(call) => Input::User(origin, call),
                    http::ApiRequest::Heartbeat(report) => Input::Heartbeat(origin, report),
                    http::ApiRequest::HealthCheck => Input::HealthCheck(origin),
                })
            }
            Message::Input(input) => Some(input),
            Message::PeerLinkOpened(link, to) => {
                self.outputs.linked(link, to);
                None
            }
            Message::PeerTakesTables(link) => {
                self.outputs.takes_tables(link);
                None
            }
            Message::PeerLinkClosed(link) => {
                self.outputs.unlinked(link);
                None
            }
        }
    }

    /// Feeds the core with an input and carries its effects out.
    fn handle_input(&mut self, input: Input) {
        let now = self.now();
        self.load.count_input(now, &input);
        if matches!(input, Input::Tick) {
            self.last_tick_at = now;
            self.own_inputs.extend(self.input_delay.sample().map(Input::InputDelay));
            self.own_inputs.extend(self.idle.sample().map(Input::Utilization));
        } else if now.since(self.last_tick_at) >= EARLY_TICK_AGE {
            self.tick.reset();
            self.own_inputs.push(Input::Tick);
        }
        let wall =
            WallClock::from_millis(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64));
        let kind = InputKind::of(&input);
        let began = Instant::now();
        let effects = self.controller.handle(now, wall, input);
        let took = began.elapsed();
        self.load.count_time(kind, took);
        if took >= SLOW_INPUT_THRESHOLD {
            self.own_inputs.push(Input::SlowInput(CoreDuration::from_millis(took.as_millis() as u64)));
        }
        for effect in effects {
            self.load.count_effect(&effect);
            self.outputs.carry_out(effect);
        }
    }
}
