//! The only place with sockets, clocks and tokio: feeds inputs to the core and carries effects out.

mod clients;
mod http;
mod inbox;
mod links;
mod load;
mod outputs;
mod reload;

pub(crate) use clients::StoreClient;

use crate::api::ApiResponse;
use crate::controller::Controller;
use crate::effects::{Input, RequestOrigin};
use crate::peers::Frame;
use crate::settings::Settings;
use crate::types::{Duration as CoreDuration, Timestamp, WallClock};
use inbox::Inbox;
use load::{IdleMeter, Load, Probe};
use log::info;
use outputs::Outputs;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};

/// Calls to the state service that may wait for the core with their answers.
const URGENT_QUEUE: usize = 512;
/// The core has its turn after at most so many tasks of connections: it looks first at what is urgent.
const CORE_EVERY: u32 = 16;
/// After so many messages the core gives connections a turn, even if more wait for it.
const MESSAGES_IN_A_ROW: u32 = 64;
/// How often time passes for the core.
const TICK: Duration = Duration::from_millis(50);
/// An input that comes so long after the last tick takes the next one along: waking up costs more than a tick does.
const TICK_ALONG: CoreDuration = CoreDuration::from_millis(40);

/// The core is told how long an input took if it took at least this long.
const SLOW_INPUT: Duration = Duration::from_millis(20);

/// What tasks tell the core's loop.
#[derive(Debug)]
enum Message {
    /// A request over HTTP and where its answer goes.
    Request(http::Asked, oneshot::Sender<ApiResponse>),
    /// Anything else.
    Input(Input),
    /// A peer's link was opened: where its answers go.
    Linked(u64, mpsc::Sender<Frame>),
    /// The peer on this link takes admission tables.
    TakesTables(u64),
    /// A peer's link was closed.
    Unlinked(u64),
}

/// Runs a node until the process is killed.
pub fn run(settings: Settings, operators: Option<PathBuf>) -> std::io::Result<()> {
    let idle = IdleMeter::new();
    let (parked, unparked) = (idle.clone(), idle.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .event_interval(CORE_EVERY)
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
    first: mpsc::Receiver<Message>,
    inbox: Inbox,
    outputs: Outputs,
    requests: u64,
    tick: tokio::time::Interval,
    ticked: Timestamp,
    /// Inputs about this node itself, which go before all others.
    own: Vec<Input>,
    in_a_row: u32,
    load: Load,
    probe: Probe,
    idle: IdleMeter,
}

impl Node {
    async fn start(settings: Settings, operators: Option<PathBuf>, idle: IdleMeter) -> std::io::Result<Node> {
        let limits = &settings.deployment.resources;
        let (tell, inbox) = mpsc::channel::<Message>(limits.inputs_waiting());
        let api = tokio::net::TcpListener::bind(settings.api_addr).await?;
        let peer = tokio::net::TcpListener::bind(settings.peer_bind).await?;
        info!("node {} listens on {} and for peers on {}", settings.node, settings.api_addr, settings.peer_bind);
        info!(
            "limits that follow from the settings: connections={} commands_at_once={} open_jobs={} inputs_waiting={}",
            limits.connections(),
            limits.commands_at_once(),
            limits.open_jobs(),
            limits.inputs_waiting()
        );
        http::serve(api, tell.clone(), limits.connections());
        links::listen(peer, tell.clone());
        let link = |seed| links::connect(&settings.node, seed, tell.clone());
        let links = settings.seeds.iter().map(|seed| (seed.node.clone(), link(seed))).collect();
        let (urgent, first) = mpsc::channel::<Message>(URGENT_QUEUE);
        let clients = clients::Clients::new(&settings, tell.clone(), urgent)?;
        if let Some(file) = operators {
            reload::follow(file, settings.clone(), tell.clone());
        }
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        Ok(Node {
            start: Instant::now(),
            first,
            inbox: Inbox::new(inbox, limits.inputs_waiting()),
            outputs: Outputs::new(settings.node.clone(), clients, links, tell),
            requests: 0,
            tick,
            ticked: Timestamp::START,
            own: Vec::new(),
            in_a_row: 0,
            load: Load::new(TICK),
            probe: Probe::new(),
            idle,
            controller: Controller::new(settings, SmallRng::from_os_rng().random()),
        })
    }

    async fn serve(mut self) -> std::io::Result<()> {
        loop {
            let Some(message) = self.next_message().await else { return Ok(()) };
            if let Some(input) = self.input_of(message) {
                self.take(input);
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
            if let Some(input) = self.own.pop() {
                return Some(Message::Input(input));
            }
            self.in_a_row += 1;
            if self.in_a_row >= MESSAGES_IN_A_ROW {
                self.in_a_row = 0;
                tokio::task::yield_now().await;
            }
            let now = self.now();
            tokio::select! {
                biased;
                message = self.first.recv() => return message,
                _ = self.tick.tick() => return Some(Message::Input(Input::Tick)),
                popped = self.inbox.next(now) => match popped? {
                    inbox::Next::Serve(message) => return Some(message),
                    inbox::Next::Refuse(message, why) => {
                        self.load.shed();
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
                self.requests += 1;
                let origin = RequestOrigin::Http(self.requests);
                self.outputs.expect_answer(self.requests, to);
                Some(match asked {
                    http::Asked::User(call) => Input::User(origin, call),
                    http::Asked::Heartbeat(report) => Input::Heartbeat(origin, report),
                    http::Asked::Up => Input::HealthCheck(origin),
                })
            }
            Message::Input(input) => Some(input),
            Message::Linked(link, to) => {
                self.outputs.linked(link, to);
                None
            }
            Message::TakesTables(link) => {
                self.outputs.takes_tables(link);
                None
            }
            Message::Unlinked(link) => {
                self.outputs.unlinked(link);
                None
            }
        }
    }

    /// Feeds the core with an input and carries its effects out.
    fn take(&mut self, input: Input) {
        let now = self.now();
        self.load.took(now, &input);
        if matches!(input, Input::Tick) {
            self.ticked = now;
            self.own.extend(self.probe.look().map(Input::InputDelay));
            self.own.extend(self.idle.sample().map(Input::Utilization));
        } else if now.since(self.ticked) >= TICK_ALONG {
            self.tick.reset();
            self.own.push(Input::Tick);
        }
        let wall =
            WallClock::from_millis(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64));
        let kind = load::InputKind::of(&input);
        let began = Instant::now();
        let effects = self.controller.handle(now, wall, input);
        let took = began.elapsed();
        self.load.spent(kind, took);
        if took >= SLOW_INPUT {
            self.own.push(Input::SlowInput(CoreDuration::from_millis(took.as_millis() as u64)));
        }
        for effect in effects {
            self.load.does(&effect);
            self.outputs.carry_out(effect);
        }
    }
}
