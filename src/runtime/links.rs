//! Links between controllers: one connection to each other node, many requests on it.

use super::Message;
use crate::controller::{Input, Origin};
use crate::peers::{Frame, HEADER_BYTES};
use crate::settings::Seed;
use crate::units::Token;
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
    wrap: impl Fn(Frame) -> Option<Input>,
) {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from);
    let reader = async {
        while let Some(frame) = read(&mut from).await {
            if let Some(input) = wrap(frame)
                && tell.send(Message::Input(input)).await.is_err()
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
    if tell.send(Message::Linked(link, answers)).await.is_err() {
        return;
    }
    let request = |frame| match frame {
        Frame::Request(id, call) => Some(Input::User(Origin::Peer(link, id), call)),
        Frame::Leads(token, node) => Some(Input::Leads(node, Token(token))),
        Frame::Answer(..) => None,
    };
    carry(stream, &mut queue, &tell, request).await;
    let _ = tell.send(Message::Unlinked(link)).await;
}

/// Keeps a link to another node; frames sent while it is down are lost.
pub fn connect(seed: &Seed, tell: mpsc::Sender<Message>) -> mpsc::Sender<Frame> {
    let (frames, mut queue) = mpsc::channel::<Frame>(QUEUE);
    let (node, address) = (seed.node.clone(), seed.address);
    tokio::spawn(async move {
        loop {
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            if let Ok(Ok(stream)) = connected {
                let _ = stream.set_nodelay(true);
                while queue.try_recv().is_ok() {}
                let _ = tell.send(Message::Input(Input::Link(node.clone(), true))).await;
                let answer = |frame| match frame {
                    Frame::Answer(id, answer) => Some(Input::Forwarded(id, answer)),
                    Frame::Request(..) | Frame::Leads(..) => None,
                };
                carry(stream, &mut queue, &tell, answer).await;
                let _ = tell.send(Message::Input(Input::Link(node.clone(), false))).await;
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    });
    frames
}
