//! The queue of messages for the core, ordered by request class.

use super::{Message, http};
use crate::api::UserRequest;
use crate::effects::Input;
use crate::types::Timestamp;
use caperstile_admission::{Popped, RequestClass, RequestQueue, ShedReason};
use tokio::sync::mpsc;

/// The outcome of taking the next message from the inbox.
pub enum NextMessage {
    /// The message is to be processed by the core.
    Serve(Message),
    /// The message is to be rejected without processing, for the given reason.
    Refuse(Message, ShedReason),
}

/// The request class that determines a message's precedence in the queue.
pub fn request_class(message: &Message) -> RequestClass {
    let user_request_class = |request: &UserRequest| match request {
        UserRequest::Submit(_) => RequestClass::Submission,
        UserRequest::Get(_) => RequestClass::Query,
        UserRequest::Cancel(_) => RequestClass::Cancellation,
    };
    match message {
        Message::Request(http::ApiRequest::User(request), _) | Message::Input(Input::User(_, request)) => {
            user_request_class(request)
        }
        Message::Request(http::ApiRequest::Heartbeat(_) | http::ApiRequest::HealthCheck, _) => RequestClass::Heartbeat,
        Message::Input(_)
        | Message::PeerLinkOpened(..)
        | Message::PeerAcceptsAdmissionTables(_)
        | Message::PeerLinkClosed(_) => RequestClass::Internal,
    }
}

/// Whether the client that sent this HTTP request has disconnected.
fn requester_disconnected(message: &Message) -> bool {
    matches!(message, Message::Request(_, response_sender) if response_sender.is_closed())
}

/// The channel on which connections send messages, and the queue of those that were received but not processed yet.
pub struct Inbox {
    channel: mpsc::Receiver<Message>,
    queue: RequestQueue<Message>,
}

impl Inbox {
    /// Creates an inbox that queues up to `capacity` requests of each class.
    pub fn new(channel: mpsc::Receiver<Message>, capacity: usize) -> Inbox {
        Inbox { channel, queue: RequestQueue::new(capacity) }
    }

    /// Returns the next message, waiting for one if none is queued. Returns `None` once all senders have been dropped.
    pub async fn next(&mut self, now: Timestamp) -> Option<NextMessage> {
        while let Ok(message) = self.channel.try_recv() {
            if let Some(rejected) = self.enqueue(now, message) {
                return Some(rejected);
            }
        }
        if self.queue.is_empty() {
            return self.channel.recv().await.map(NextMessage::Serve);
        }
        self.queue.pop(now).map(|popped| match popped {
            Popped::Serve(message) if requester_disconnected(&message) => {
                NextMessage::Refuse(message, ShedReason::Abandoned)
            }
            Popped::Serve(message) => NextMessage::Serve(message),
            Popped::Shed(message, reason) => NextMessage::Refuse(message, reason),
        })
    }

    fn enqueue(&mut self, now: Timestamp, message: Message) -> Option<NextMessage> {
        let class = request_class(&message);
        let rejected = self.queue.push(now, class, message).err()?;
        Some(NextMessage::Refuse(rejected, ShedReason::Overload))
    }
}
