//! Links between controllers: each node keeps one TCP connection to every other node, over which requests are
//! multiplexed.

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

/// Maximum number of frames that are queued for a link.
const LINK_QUEUE_FRAMES: usize = 512;
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Queued frames are written together until they reach this many bytes.
const WRITE_BATCH_BYTES: usize = 16 * 1024;

async fn read_frame(from: &mut BufReader<OwnedReadHalf>) -> Option<Frame> {
    let mut header_bytes = [0u8; HEADER_BYTES];
    from.read_exact(&mut header_bytes).await.ok()?;
    let header = Frame::header(&header_bytes).ok()?;
    let mut body = vec![0; header.length.get() as usize];
    from.read_exact(&mut body).await.ok()?;
    Frame::decode(&header, body).ok()
}

/// Writes a frame together with those that are queued behind it: a packet with several frames costs hardly more than
/// one with a single frame.
async fn write_frames(to: &mut OwnedWriteHalf, first: Frame, queue: &mut mpsc::Receiver<Frame>) -> bool {
    let mut bytes = first.encode();
    while bytes.len() < WRITE_BATCH_BYTES
        && let Ok(frame) = queue.try_recv()
    {
        bytes.extend(frame.encode());
    }
    matches!(tokio::time::timeout(WRITE_TIMEOUT, to.write_all(&bytes)).await, Ok(Ok(())))
}

/// Accepts links from other nodes.
pub fn listen(listener: tokio::net::TcpListener, messages: mpsc::Sender<Message>) {
    static LINKS: AtomicU64 = AtomicU64::new(0);
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let link = LINKS.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve_link(stream, link, messages.clone()));
        }
    });
}

/// Relays frames in both directions until either side closes the link: frames from `queue` are written to the peer, and
/// received frames are converted by `wrap` and sent to `messages`.
async fn relay_frames(
    stream: TcpStream,
    queue: &mut mpsc::Receiver<Frame>,
    messages: &mpsc::Sender<Message>,
    wrap: impl Fn(Frame) -> Option<Message>,
) {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from);
    let reader = async {
        while let Some(frame) = read_frame(&mut from).await {
            if let Some(message) = wrap(frame)
                && messages.send(message).await.is_err()
            {
                return;
            }
        }
    };
    let writer = async {
        while let Some(frame) = queue.recv().await {
            if !write_frames(&mut to, frame, queue).await {
                return;
            }
        }
    };
    tokio::select! {
        () = reader => {}
        () = writer => {}
    }
}

async fn serve_link(stream: TcpStream, link: u64, messages: mpsc::Sender<Message>) {
    let _ = stream.set_nodelay(true);
    let (responses, mut queue) = mpsc::channel::<Frame>(LINK_QUEUE_FRAMES);
    if messages.send(Message::PeerLinkOpened(link, responses)).await.is_err() {
        return;
    }
    let request_message = |frame: Frame| match frame {
        frame if frame.is_hello() => Some(Message::PeerAcceptsAdmissionTables(link)),
        Frame::Request(id, request) => Some(Message::Input(Input::User(RequestOrigin::Peer(link, id), request))),
        Frame::LeaderAnnouncement(token, node) => {
            Some(Message::Input(Input::LeaderAnnounced(node, FencingToken(token))))
        }
        Frame::RefusedDemand(bytes) => decode_demand_report(&bytes),
        Frame::Response(..) | Frame::AdmissionTable(_) => None,
    };
    relay_frames(stream, &mut queue, &messages, request_message).await;
    let _ = messages.send(Message::PeerLinkClosed(link)).await;
}

/// Decodes the admission table in a frame; `None` if it cannot be decoded, for example because a later version encoded
/// it.
fn decode_admission_table(bytes: &[u8]) -> Option<Message> {
    let table = ok_or_log(AdmissionTable::decode(bytes))?;
    Some(Message::Input(Input::AdmissionTableReceived(Box::new(table))))
}

/// Decodes the report of refused submissions in a frame; `None` if it cannot be decoded.
fn decode_demand_report(bytes: &[u8]) -> Option<Message> {
    let report = ok_or_log(DemandReport::decode(bytes))?;
    Some(Message::Input(Input::RefusedDemandReceived(Box::new(report))))
}

fn ok_or_log<T>(decoded: Result<T, DecodeError>) -> Option<T> {
    decoded.inspect_err(|e| debug!("peer frame ignored: {e}")).ok()
}

/// Keeps a link to another node established and returns the queue of its frames. Frames that are sent while the link is
/// down are lost.
pub fn connect(local_node: &str, seed: &Seed, messages: mpsc::Sender<Message>) -> mpsc::Sender<Frame> {
    let (frames, mut queue) = mpsc::channel::<Frame>(LINK_QUEUE_FRAMES);
    let (local_node, node, address) = (local_node.to_string(), seed.node.clone(), seed.address);
    let weak_frames = frames.downgrade();
    tokio::spawn(async move {
        loop {
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            if let Ok(Ok(stream)) = connected {
                let _ = stream.set_nodelay(true);
                while queue.try_recv().is_ok() {}
                if let Some(frames) = weak_frames.upgrade() {
                    // The queue has just been emptied, so that it has capacity for the greeting.
                    let _ = frames.try_send(Frame::hello(&local_node));
                }
                let _ = messages.send(Message::Input(Input::PeerLinkChanged(node.clone(), true))).await;
                let response_message = |frame| match frame {
                    Frame::Response(id, response) => Some(Message::Input(Input::ForwardResponse(id, response))),
                    Frame::AdmissionTable(bytes) => decode_admission_table(&bytes),
                    Frame::Request(..) | Frame::LeaderAnnouncement(..) | Frame::RefusedDemand(_) => None,
                };
                relay_frames(stream, &mut queue, &messages, response_message).await;
                let _ = messages.send(Message::Input(Input::PeerLinkChanged(node.clone(), false))).await;
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    });
    frames
}
