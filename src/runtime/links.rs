//! Links between controllers: one connection to each other node, many requests on it.

use super::Message;
use crate::effects::{Input, RequestOrigin};
use crate::peers::{Frame, HEADER_BYTES};
use crate::settings::Seed;
use crate::types::FencingToken;
use caperstile_admission::{AdmissionTable, DecodeError, DemandReport};
use log::debug;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

/// Frames that may wait for a link.
const QUEUE: usize = 512;
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames that wait are written together up to so many bytes.
const TOGETHER: usize = 16 * 1024;

async fn read(from: &mut BufReader<OwnedReadHalf>) -> Option<Frame> {
    let mut head = [0u8; HEADER_BYTES];
    from.read_exact(&mut head).await.ok()?;
    let header = Frame::header(&head).ok()?;
    let mut body = vec![0; header.length.get() as usize];
    from.read_exact(&mut body).await.ok()?;
    Frame::decode(&header, body).ok()
}

/// Writes a frame together with those that wait behind it: a packet for several costs hardly more than for one.
async fn write(to: &mut OwnedWriteHalf, first: Frame, queue: &mut mpsc::Receiver<Frame>) -> bool {
    let mut bytes = first.encode();
    while bytes.len() < TOGETHER
        && let Ok(frame) = queue.try_recv()
    {
        bytes.extend(frame.encode());
    }
    matches!(tokio::time::timeout(WRITE_TIMEOUT, to.write_all(&bytes)).await, Ok(Ok(())))
}

/// Takes other nodes' links.
pub fn listen(listener: tokio::net::TcpListener, tell: mpsc::Sender<Message>) {
    static LINKS: AtomicU64 = AtomicU64::new(0);
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let link = LINKS.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(stream, link, tell.clone()));
        }
    });
}

/// Carries frames both ways until either side ends: `queue` out, and what comes in to `tell`.
async fn carry(
    stream: TcpStream,
    queue: &mut mpsc::Receiver<Frame>,
    tell: &mpsc::Sender<Message>,
    wrap: impl Fn(Frame) -> Option<Message>,
) {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from);
    let reader = async {
        while let Some(frame) = read(&mut from).await {
            if let Some(message) = wrap(frame)
                && tell.send(message).await.is_err()
            {
                return;
            }
        }
    };
    let writer = async {
        while let Some(frame) = queue.recv().await {
            if !write(&mut to, frame, queue).await {
                return;
            }
        }
    };
    tokio::select! {
        () = reader => {}
        () = writer => {}
    }
}

async fn serve(stream: TcpStream, link: u64, tell: mpsc::Sender<Message>) {
    let _ = stream.set_nodelay(true);
    let (answers, mut queue) = mpsc::channel::<Frame>(QUEUE);
    if tell.send(Message::PeerLinkOpened(link, answers)).await.is_err() {
        return;
    }
    let request = |frame: Frame| match frame {
        hello if hello.is_hello() => Some(Message::PeerTakesTables(link)),
        Frame::Request(id, call) => Some(Message::Input(Input::User(RequestOrigin::Peer(link, id), call))),
        Frame::LeaderAnnouncement(token, node) => {
            Some(Message::Input(Input::LeaderAnnounced(node, FencingToken(token))))
        }
        Frame::RefusedDemand(bytes) => demand_report(&bytes),
        Frame::Response(..) | Frame::AdmissionTable(_) => None,
    };
    carry(stream, &mut queue, &tell, request).await;
    let _ = tell.send(Message::PeerLinkClosed(link)).await;
}

/// The admission table that a frame carries; `None` for one that cannot be read, as of a later version.
fn table(bytes: &[u8]) -> Option<Message> {
    let table = readable(AdmissionTable::decode(bytes))?;
    Some(Message::Input(Input::AdmissionTableReceived(Box::new(table))))
}

/// The report of refused submissions that a frame carries.
fn demand_report(bytes: &[u8]) -> Option<Message> {
    let report = readable(DemandReport::decode(bytes))?;
    Some(Message::Input(Input::RefusedDemandReceived(Box::new(report))))
}

fn readable<T>(decoded: Result<T, DecodeError>) -> Option<T> {
    decoded.inspect_err(|e| debug!("passed over: {e}")).ok()
}

/// Keeps a link to another node; frames sent while it is down are lost.
pub fn connect(me: &str, seed: &Seed, tell: mpsc::Sender<Message>) -> mpsc::Sender<Frame> {
    let (frames, mut queue) = mpsc::channel::<Frame>(QUEUE);
    let (me, node, address) = (me.to_string(), seed.node.clone(), seed.address);
    let greet = frames.downgrade();
    tokio::spawn(async move {
        loop {
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            if let Ok(Ok(stream)) = connected {
                let _ = stream.set_nodelay(true);
                while queue.try_recv().is_ok() {}
                if let Some(frames) = greet.upgrade() {
                    // The queue was emptied just now, so that there is room.
                    let _ = frames.try_send(Frame::hello(&me));
                }
                let _ = tell.send(Message::Input(Input::PeerLinkChanged(node.clone(), true))).await;
                let answer = |frame| match frame {
                    Frame::Response(id, answer) => Some(Message::Input(Input::ForwardResponse(id, answer))),
                    Frame::AdmissionTable(bytes) => table(&bytes),
                    Frame::Request(..) | Frame::LeaderAnnouncement(..) | Frame::RefusedDemand(_) => None,
                };
                carry(stream, &mut queue, &tell, answer).await;
                let _ = tell.send(Message::Input(Input::PeerLinkChanged(node.clone(), false))).await;
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    });
    frames
}
