//! The entries that follow this one, and what waits to be sent to each.

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

/// Messages that wait for one follower at most; one that is further behind connects again. A zone with
/// a hundred endpoints that all change twice fits.
const MAX_WAITING: usize = 512;

/// A message to a follower, encoded.
#[derive(Clone, Debug)]
pub(super) struct Frame {
    pub(super) bytes: Bytes,
    is_config: bool,
}

/// What waits to be sent to one follower.
#[derive(Debug)]
pub(super) struct Outbox {
    pub(super) ip: IpAddr,
    waiting: RefCell<VecDeque<Frame>>,
    pub(super) is_behind: Cell<bool>,
    pub(super) added: Notify,
}

impl Outbox {
    pub(super) fn new(ip: IpAddr) -> Outbox {
        Outbox {
            ip,
            waiting: RefCell::default(),
            is_behind: Cell::new(false),
            added: Notify::new(),
        }
    }

    /// A configuration takes the place of one that still waits: in a quick succession only the newest
    /// matters, and each may hold thousands of routes. It stays in that place, as a pong behind it
    /// promises it.
    fn push(&self, frame: Frame) {
        let mut waiting = self.waiting.borrow_mut();
        let older = waiting.iter().position(|other| frame.is_config && other.is_config);
        match older {
            Some(n) => waiting[n] = frame,
            None if waiting.len() < MAX_WAITING => waiting.push_back(frame),
            None => self.is_behind.set(true),
        }
        self.added.notify_one();
    }

    /// A message that could not be encoded counts as one too many: a pong must not promise it.
    pub(super) fn take(&self, frame: &io::Result<Frame>) {
        match frame {
            Ok(frame) => self.push(frame.clone()),
            Err(_) => self.is_behind.set(true),
        }
    }

    pub(super) fn take_all(&self) -> Vec<Frame> {
        self.waiting.borrow_mut().drain(..).collect()
    }
}

/// The entries that follow this one.
#[derive(Debug, Default)]
pub struct Publisher {
    pub(super) followers: RefCell<Vec<Rc<Outbox>>>,
}

impl Publisher {
    /// Sends an update to all followers.
    pub fn publish(&self, update: &Update) {
        let followers = self.followers.borrow();
        if followers.is_empty() {
            return;
        }
        let frame = frame_of(&Message::Update(update.clone()));
        followers.iter().for_each(|follower| follower.take(&frame));
    }

    /// The entries that have followed this one for longest.
    pub(super) fn successors(&self) -> Vec<IpAddr> {
        let followers = self.followers.borrow();
        followers.iter().take(MAX_SUCCESSORS).map(|follower| follower.ip).collect()
    }

    /// Entries that follow this one.
    pub fn len(&self) -> usize {
        self.followers.borrow().len()
    }

    /// Whether no entry follows this one.
    pub fn is_empty(&self) -> bool {
        self.followers.borrow().is_empty()
    }
}

/// The bytes of a message to a follower.
pub(super) fn frame_of(message: &Message) -> io::Result<Frame> {
    let is_config = matches!(message, Message::Update(Update::Config(_)));
    Ok(Frame { bytes: peers::frame(message)?.into(), is_config })
}
