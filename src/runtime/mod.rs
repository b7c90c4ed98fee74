//! The only place with sockets, clocks and tokio: feeds inputs to the core and carries effects out.

mod clients;
mod http;
mod links;
mod load;
mod reload;

pub(crate) use clients::StateClient;

use crate::controller::{Controller, Effect, Input, Origin};
use crate::peers::{Answer, Frame};
use crate::settings::Settings;
use crate::units::{Duration as Milliseconds, Time, Wall};
use log::{debug, info};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};

/// Calls to the state service that may wait for the core with their answers.
const URGENT_QUEUE: usize = 512;
/// The core has its turn after at most so many tasks of connections: it looks first at what is urgent.
const CORE_EVERY: u32 = 16;
/// How often time passes for the core.
const TICK: Duration = Duration::from_millis(50);
/// An input that comes so long after the last tick takes the next one along: waking up costs more than a tick does.
const TICK_ALONG: Milliseconds = Milliseconds(40);

/// What tasks tell the core's loop.
#[derive(Debug)]
enum Message {
    /// A request over HTTP and where its answer goes.
    Request(http::Asked, oneshot::Sender<Answer>),
    /// Anything else.
    Input(Input),
    /// A peer's link was opened: where its answers go.
    Linked(u64, mpsc::Sender<Frame>),
    /// A peer's link was closed.
    Unlinked(u64),
}

/// Runs a node until the process is killed.
pub fn run(settings: Settings, operators: Option<PathBuf>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().event_interval(CORE_EVERY).build()?;
    runtime.block_on(serve(settings, operators))
}

async fn serve(settings: Settings, operators: Option<PathBuf>) -> std::io::Result<()> {
    let limits = &settings.deployment.resources;
    let (tell, mut inbox) = mpsc::channel::<Message>(limits.inputs_waiting());
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
    http::serve(api, tell.clone(), settings.deployment.resources.connections());
    links::listen(peer, tell.clone());
    let mut links: HashMap<String, mpsc::Sender<Frame>> = HashMap::new();
    for seed in &settings.seeds {
        links.insert(seed.node.clone(), links::connect(seed, tell.clone()));
    }
    let (urgent, mut first) = mpsc::channel::<Message>(URGENT_QUEUE);
    let clients = clients::Clients::new(&settings, tell.clone(), urgent)?;
    if let Some(file) = operators {
        reload::follow(file, settings.clone(), tell.clone());
    }
    let start = Instant::now();
    let node = settings.node.clone();
    let mut controller = Controller::new(settings, SmallRng::from_os_rng().random());
    let mut waiting: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
    let mut incoming: HashMap<u64, mpsc::Sender<Frame>> = HashMap::new();
    let mut requests = 0u64;
    let mut load = load::Load::new(TICK);
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticked = Time::START;
    let mut along = false;
    let mut probe = load::Probe::new();
    let mut behind = None;
    loop {
        let message = if let Some(by) = behind.take() {
            Some(Message::Input(Input::Behind(by)))
        } else if std::mem::take(&mut along) {
            Some(Message::Input(Input::Tick))
        } else {
            tokio::select! {
                biased;
                message = first.recv() => message,
                _ = tick.tick() => Some(Message::Input(Input::Tick)),
                message = inbox.recv() => message,
            }
        };
        let input = match message {
            Some(Message::Request(asked, to)) => {
                requests += 1;
                waiting.insert(requests, to);
                let origin = Origin::Http(requests);
                match asked {
                    http::Asked::User(call) => Input::User(origin, call),
                    http::Asked::Report(report) => Input::Report(origin, report),
                    http::Asked::Up => Input::Up(origin),
                }
            }
            Some(Message::Input(input)) => input,
            Some(Message::Linked(link, to)) => {
                incoming.insert(link, to);
                continue;
            }
            Some(Message::Unlinked(link)) => {
                incoming.remove(&link);
                continue;
            }
            None => return Ok(()),
        };
        let now = Time::START + Milliseconds(start.elapsed().as_millis() as u64);
        load.took(now, &input);
        if matches!(input, Input::Tick) {
            ticked = now;
            behind = probe.look();
        } else if now.since(ticked) >= TICK_ALONG {
            tick.reset();
            along = true;
        }
        let wall = Wall(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64));
        for effect in controller.handle(now, wall, input) {
            load.does(&effect);
            match effect {
                Effect::Answer(Origin::Http(id), answer) => {
                    if let Some(to) = waiting.remove(&id) {
                        // A user who has hung up wants no answer.
                        let _ = to.send(answer);
                    }
                }
                Effect::Answer(Origin::Peer(link, id), answer) => {
                    if let Some(to) = incoming.get(&link)
                        && to.try_send(Frame::Answer(id, answer)).is_err()
                    {
                        // A peer that does not read loses its link, and with it all that waits there.
                        incoming.remove(&link);
                    }
                }
                Effect::State(slot, id, call) => clients.state(slot, id, call),
                Effect::Cloud(token, id, call) => clients.cloud(token, id, call),
                Effect::Command { token, machine, endpoint, id, body } => {
                    clients.command(token, machine, &endpoint, id, &body);
                }
                Effect::Announce(token) => {
                    for to in links.values() {
                        // A link that is full or down hears of it another time.
                        let _ = to.try_send(Frame::Leads(token.0, node.clone()));
                    }
                }
                Effect::Forward(node, id, call) => {
                    let sent = links.get(&node).is_some_and(|to| to.try_send(Frame::Request(id, call)).is_ok());
                    if !sent {
                        debug!("cannot forward to {node}");
                        let answer = Answer { status: 503, retry_after: 1, body: "{}".into() };
                        let _ = tell.try_send(Message::Input(Input::Forwarded(id, answer)));
                    }
                }
            }
        }
    }
}
