//! The I/O layer of a node and the only module with sockets, clocks and tokio: it feeds inputs to the core and executes
//! the core's effects.

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

/// Maximum number of responses of the state service that are queued for the core.
const STORE_RESPONSE_QUEUE: usize = 512;
/// Number of tasks that tokio polls before it checks for I/O events and timers again. A low value lets the core's loop,
/// which picks the most urgent message first, run soon after messages arrive.
const EVENT_INTERVAL_TASKS: u32 = 16;
/// After this many consecutive messages the core's loop yields to the connections' tasks, even if more messages are
/// queued.
const MAX_CONSECUTIVE_MESSAGES: u32 = 64;
/// Interval of the core's `Input::Tick`.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// If the last tick is at least this old when another input arrives, the next tick is processed right after it: a
/// separate wake-up costs more than a tick.
const EARLY_TICK_AGE: CoreDuration = CoreDuration::from_millis(40);

/// The core is informed of the processing time of an input that takes at least this long.
const SLOW_INPUT_THRESHOLD: Duration = Duration::from_millis(20);

/// A message from a connection's or client's task to the core's loop.
#[derive(Debug)]
enum Message {
    /// A request that arrived over HTTP, and the channel for its response.
    Request(http::ApiRequest, oneshot::Sender<ApiResponse>),
    /// Any other input for the core.
    Input(Input),
    /// A peer has opened the link with this number; the channel carries frames to it.
    PeerLinkOpened(u64, mpsc::Sender<Frame>),
    /// The peer on this link accepts admission tables, which older versions do not.
    PeerAcceptsAdmissionTables(u64),
    /// The link with this number was closed.
    PeerLinkClosed(u64),
}

/// Runs a node until the process is killed.
pub fn run(settings: Settings, operators: Option<PathBuf>) -> std::io::Result<()> {
    let idle = IdleMeter::new();
    let (parked, unparked) = (idle.clone(), idle.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .event_interval(EVENT_INTERVAL_TASKS)
        .on_thread_park(move || parked.park())
        .on_thread_unpark(move || unparked.unpark())
        .build()?;
    runtime.block_on(async { Node::start(settings, operators, idle).await?.serve().await })
}

/// A running node: the core, the queues of its inputs and the executor of its effects.
struct Node {
    controller: Controller,
    start: Instant,
    /// Responses of the state service, which are processed before other messages.
    store_responses: mpsc::Receiver<Message>,
    inbox: Inbox,
    outputs: Outputs,
    /// Number of HTTP requests received so far; the source of their numbers.
    request_counter: u64,
    tick: tokio::time::Interval,
    last_tick_at: Timestamp,
    /// Inputs that this loop itself generates (load measurements, early ticks); they are processed before all others.
    internal_inputs: Vec<Input>,
    consecutive_messages: u32,
    load: LoadReport,
    input_delay: InputDelayProbe,
    idle: IdleMeter,
}

impl Node {
    async fn start(settings: Settings, operators: Option<PathBuf>, idle: IdleMeter) -> std::io::Result<Node> {
        let limits = &settings.deployment.resources;
        let (messages, inbox) = mpsc::channel::<Message>(limits.max_queued_inputs());
        let api_listener = tokio::net::TcpListener::bind(settings.api_addr).await?;
        let peer_listener = tokio::net::TcpListener::bind(settings.peer_bind).await?;
        info!("node listening node={} api_addr={} peer_bind={}", settings.node, settings.api_addr, settings.peer_bind);
        info!(
            "limits derived connections={} commands_at_once={} open_jobs={} inputs_waiting={}",
            limits.max_connections(),
            limits.max_concurrent_commands(),
            limits.max_open_jobs(),
            limits.max_queued_inputs()
        );
        http::serve(api_listener, messages.clone(), limits.max_connections());
        links::listen(peer_listener, messages.clone());
        let link = |seed| links::connect(&settings.node, seed, messages.clone());
        let links = settings.seeds.iter().map(|seed| (seed.node.clone(), link(seed))).collect();
        let (store_response_sender, store_responses) = mpsc::channel::<Message>(STORE_RESPONSE_QUEUE);
        let clients = clients::Clients::new(&settings, messages.clone(), store_response_sender)?;
        if let Some(file) = operators {
            reload::watch(file, settings.clone(), messages.clone());
        }
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        Ok(Node {
            start: Instant::now(),
            store_responses,
            inbox: Inbox::new(inbox, limits.max_queued_inputs()),
            outputs: Outputs::new(settings.node.clone(), clients, links, messages),
            request_counter: 0,
            tick,
            last_tick_at: Timestamp::START,
            internal_inputs: Vec::new(),
            consecutive_messages: 0,
            load: LoadReport::new(TICK_INTERVAL),
            input_delay: InputDelayProbe::new(),
            idle,
            controller: Controller::new(settings, SmallRng::from_os_rng().random()),
        })
    }

    async fn serve(mut self) -> std::io::Result<()> {
        loop {
            let Some(message) = self.next_message().await else { return Ok(()) };
            if let Some(input) = self.input_for_message(message) {
                self.handle_input(input);
            }
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::START + CoreDuration::from_millis(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the next message to process. The order of precedence is: internal inputs, responses of the state
    /// service, ticks, and then the queued messages in the order of their request class.
    async fn next_message(&mut self) -> Option<Message> {
        loop {
            if let Some(input) = self.internal_inputs.pop() {
                return Some(Message::Input(input));
            }
            self.consecutive_messages += 1;
            if self.consecutive_messages >= MAX_CONSECUTIVE_MESSAGES {
                self.consecutive_messages = 0;
                tokio::task::yield_now().await;
            }
            let now = self.now();
            tokio::select! {
                biased;
                message = self.store_responses.recv() => return message,
                _ = self.tick.tick() => return Some(Message::Input(Input::Tick)),
                popped = self.inbox.next(now) => match popped? {
                    inbox::NextMessage::Serve(message) => return Some(message),
                    inbox::NextMessage::Refuse(message, reason) => {
                        self.load.count_shed();
                        self.outputs.refuse(message, reason);
                    }
                },
            }
        }
    }

    /// Converts a message to the core's input. Messages about links are handled here and return `None`.
    fn input_for_message(&mut self, message: Message) -> Option<Input> {
        match message {
            Message::Request(request, response_sender) => {
                self.request_counter += 1;
                let origin = RequestOrigin::Http(self.request_counter);
                self.outputs.add_pending_request(self.request_counter, response_sender);
                Some(match request {
                    http::ApiRequest::User(request) => Input::User(origin, request),
                    http::ApiRequest::Heartbeat(heartbeat) => Input::Heartbeat(origin, heartbeat),
                    http::ApiRequest::HealthCheck => Input::HealthCheck(origin),
                })
            }
            Message::Input(input) => Some(input),
            Message::PeerLinkOpened(link, response_sender) => {
                self.outputs.add_incoming_link(link, response_sender);
                None
            }
            Message::PeerAcceptsAdmissionTables(link) => {
                self.outputs.enable_admission_tables(link);
                None
            }
            Message::PeerLinkClosed(link) => {
                self.outputs.remove_incoming_link(link);
                None
            }
        }
    }

    /// Feeds an input to the core, executes the resulting effects and measures the time that the core takes.
    fn handle_input(&mut self, input: Input) {
        let now = self.now();
        self.load.count_input(now, &input);
        if matches!(input, Input::Tick) {
            self.last_tick_at = now;
            self.internal_inputs.extend(self.input_delay.sample().map(Input::InputDelay));
            self.internal_inputs.extend(self.idle.sample().map(Input::Utilization));
        } else if now.since(self.last_tick_at) >= EARLY_TICK_AGE {
            self.tick.reset();
            self.internal_inputs.push(Input::Tick);
        }
        let wall =
            WallClock::from_millis(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64));
        let kind = InputKind::of(&input);
        let started_at = Instant::now();
        let effects = self.controller.handle(now, wall, input);
        let elapsed = started_at.elapsed();
        self.load.count_time(kind, elapsed);
        if elapsed >= SLOW_INPUT_THRESHOLD {
            self.internal_inputs.push(Input::SlowInput(CoreDuration::from_millis(elapsed.as_millis() as u64)));
        }
        for effect in effects {
            self.load.count_effect(&effect);
            self.outputs.execute(effect);
        }
    }
}
