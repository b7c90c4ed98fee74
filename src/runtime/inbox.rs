//! What waits for the core, by class.

use super::{Message, http};
use crate::api::UserRequest;
use crate::effects::Input;
use crate::types::Timestamp;
use caperstile_admission::{Popped, RequestClass, RequestQueue, Shed};
use tokio::sync::mpsc;

/// What comes next.
pub enum NextMessage {
    /// To be fed to the core.
    Serve(Message),
    /// To be refused at once.
    Refuse(Message, Shed),
}

/// The class that a message waits in.
pub fn class_of(message: &Message) -> RequestClass {
    let of_call = |call: &UserRequest| match call {
        UserRequest::Submit(_) => RequestClass::Submission,
        UserRequest::Get(_) => RequestClass::Question,
        UserRequest::Cancel(_) => RequestClass::Cancellation,
    };
    match message {
        Message::Request(http::ApiRequest::User(call), _) | Message::Input(Input::User(_, call)) => of_call(call),
        Message::Request(http::ApiRequest::Heartbeat(_) | http::ApiRequest::HealthCheck, _) => RequestClass::Heartbeat,
        Message::Input(_) | Message::PeerLinkOpened(..) | Message::PeerTakesTables(_) | Message::PeerLinkClosed(_) => {
            RequestClass::Internal
        }
    }
}

/// Whether whoever asked has closed the connection.
fn requester_gone(message: &Message) -> bool {
    matches!(message, Message::Request(_, to) if to.is_closed())
}

/// The channel that connections send to, and what was taken from it but not served yet.
pub struct Inbox {
    channel: mpsc::Receiver<Message>,
    queue: RequestQueue<Message>,
}

impl Inbox {
    /// An inbox that holds so many requests of each class.
    pub fn new(channel: mpsc::Receiver<Message>, capacity: usize) -> Inbox {
        Inbox { channel, queue: RequestQueue::new(capacity) }
    }

    /// The next message; waits for one if there is none. `None` once nobody can send any more.
    pub async fn next(&mut self, now: Timestamp) -> Option<NextMessage> {
        while let Ok(message) = self.channel.try_recv() {
            if let Some(refused) = self.enqueue(now, message) {
                return Some(refused);
            }
        }
        if self.queue.is_empty() {
            return self.channel.recv().await.map(NextMessage::Serve);
        }
        self.queue.pop(now).map(|popped| match popped {
            Popped::Serve(message) if requester_gone(&message) => NextMessage::Refuse(message, Shed::Abandoned),
            Popped::Serve(message) => NextMessage::Serve(message),
            Popped::Shed(message, why) => NextMessage::Refuse(message, why),
        })
    }

    fn enqueue(&mut self, now: Timestamp, message: Message) -> Option<NextMessage> {
        let class = class_of(&message);
        let refused = self.queue.push(now, class, message).err()?;
        Some(NextMessage::Refuse(refused, Shed::Overload))
    }
}
