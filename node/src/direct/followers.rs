//! The followers of this entry, with a send queue for each.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;

use bytes::Bytes;
use mastichaven_core::direct::replication::MAX_SUCCESSORS;
use mastichaven_core::direct::replication::Message;
use mastichaven_core::direct::replication::Update;
use tokio::sync::Notify;

use super::peers;

/// Maximum length of a follower's queue; a follower that exceeds it has to reconnect. It fits a
/// zone of a hundred endpoints that all change twice.
const MAX_QUEUED_FRAMES: usize = 512;

/// An encoded message to a follower.
#[derive(Clone, Debug)]
pub(super) struct Frame {
    pub(super) bytes: Bytes,
    is_config: bool,
}

/// Queue of messages to one follower.
#[derive(Debug)]
pub(super) struct Outbox {
    pub(super) ip: IpAddr,
    queue: RefCell<VecDeque<Frame>>,
    pub(super) has_overflowed: Cell<bool>,
    pub(super) frame_added: Notify,
}

impl Outbox {
    pub(super) fn new(ip: IpAddr) -> Outbox {
        Outbox {
            ip,
            queue: RefCell::default(),
            has_overflowed: Cell::new(false),
            frame_added: Notify::new(),
        }
    }

    /// Appends a frame. A configuration replaces one that is still queued: only the newest matters,
    /// and each may hold thousands of routes. It keeps the position of the old one, because a
    /// queued pong proves that everything before it was sent.
    fn push(&self, frame: Frame) {
        let mut queue = self.queue.borrow_mut();
        let older = queue.iter().position(|other| frame.is_config && other.is_config);
        match older {
            Some(n) => queue[n] = frame,
            None if queue.len() < MAX_QUEUED_FRAMES => queue.push_back(frame),
            None => self.has_overflowed.set(true),
        }
        self.frame_added.notify_one();
    }

    /// Appends an encoded message. A message that could not be encoded counts as an overflow,
    /// because a later pong would claim that it was sent.
    pub(super) fn push_encoded(&self, frame: &io::Result<Frame>) {
        match frame {
            Ok(frame) => self.push(frame.clone()),
            Err(_) => self.has_overflowed.set(true),
        }
    }

    pub(super) fn drain(&self) -> Vec<Frame> {
        self.queue.borrow_mut().drain(..).collect()
    }
}

/// The followers of this entry, longest first.
#[derive(Debug, Default)]
pub struct Publisher {
    pub(super) followers: RefCell<Vec<Rc<Outbox>>>,
}

impl Publisher {
    /// Queues an update for all followers.
    pub fn publish(&self, update: &Update) {
        let followers = self.followers.borrow();
        if followers.is_empty() {
            return;
        }
        let frame = encode_frame(&Message::Update(update.clone()));
        followers.iter().for_each(|follower| follower.push_encoded(&frame));
    }

    /// The longest-connected followers, which watch the store if this entry is lost.
    pub(super) fn successors(&self) -> Vec<IpAddr> {
        let followers = self.followers.borrow();
        followers.iter().take(MAX_SUCCESSORS).map(|follower| follower.ip).collect()
    }

    /// Number of followers.
    pub fn len(&self) -> usize {
        self.followers.borrow().len()
    }

    /// Whether this entry has no followers.
    pub fn is_empty(&self) -> bool {
        self.followers.borrow().is_empty()
    }
}

/// Encodes a message to a follower.
pub(super) fn encode_frame(message: &Message) -> io::Result<Frame> {
    let is_config = matches!(message, Message::Update(Update::Config(_)));
    Ok(Frame { bytes: peers::encode(message)?.into(), is_config })
}
