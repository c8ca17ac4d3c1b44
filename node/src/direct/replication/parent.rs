//! Connection to a parent: pings, updates and detection of a lost or stale parent.

use std::cell::Cell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::replication::AnnouncementAge;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::MAX_PARENT_DEPTH;
use mastichaven_core::direct::replication::Message;
use mastichaven_core::direct::replication::Update;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;
use tokio::time::timeout;

use super::ReplicationError;
use super::Result;
use crate::direct::connection;
use crate::direct::peers;
use crate::direct::state::State;

/// Interval between pings. The removal bound for endpoints must cover the age at which a follower
/// detaches, one ping and a list from the store.
const PING_INTERVAL: Duration = Duration::from_millis(150);

/// Time without a message after which a follower detaches: five pings.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(750);

/// Timeout for connecting to a parent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between checks of the age of the endpoint list.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between checks of the nominated parent, and the number of consecutive checks that must
/// find the same other one.
const NOMINATION_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const REQUIRED_NOMINATION_CHECKS: u32 = 4;

/// Follows `parent` until it is lost, or returns `Ok` when agents nominate another one.
///
/// Sets `is_established` once the parent has proven that its state is fresh.
pub(super) async fn try_follow(
    state: &Rc<State>,
    parent: IpAddr,
    is_established: &Cell<bool>,
) -> Result<()> {
    let pinged_at = state.now();
    let address = SocketAddr::new(parent, state.cfg.agent_port);
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = connected.map_err(|_| ReplicationError::TimedOut)??;
    connection::set_socket_options(&stream)?;
    let hello = Hello::Follow { ip: state.cfg.ip, config_version: state.config_version() };
    peers::write(&mut stream, &hello).await?;
    let (mut read, write) = stream.into_split();
    tokio::select! {
        result = send_pings(state, write) => result,
        result = receive(state, &mut read, parent, pinged_at, is_established) => result,
        () = until_stale(state, is_established) => Err(ReplicationError::Stale),
        () = until_other_nominated(state, parent) => Ok(()),
    }
}

async fn send_pings(state: &State, mut write: OwnedWriteHalf) -> Result<()> {
    loop {
        write.write_u64(state.now().as_micros()).await?;
        sleep(PING_INTERVAL).await;
    }
}

/// Waits until the endpoint list is too old to stay with the parent. The age counts only once
/// `is_established` is set.
async fn until_stale(state: &State, is_established: &Cell<bool>) {
    loop {
        sleep(AGE_CHECK_INTERVAL).await;
        let limit = state.age_limits().detach_age(state.depth(), state.is_successor());
        let age = state.ages().endpoints;
        if is_established.get() && age.is_none_or(|age| age >= limit) {
            return;
        }
    }
}

/// Waits until agents have consistently nominated another parent.
async fn until_other_nominated(state: &State, parent: IpAddr) {
    let mut last = None;
    let mut count = 0;
    while count < REQUIRED_NOMINATION_CHECKS {
        sleep(NOMINATION_CHECK_INTERVAL).await;
        let nominee = state.nominated_parent().filter(|nominee| *nominee != parent);
        count = if nominee.is_some() && nominee == last { count + 1 } else { 0 };
        last = nominee;
    }
}

/// Applies updates. Updates before the first pong are held back until it proves that they are
/// fresh.
///
/// `pinged_at` is when the last answered ping was sent. All messages that follow its pong were sent
/// after that time, which bounds their transit time.
async fn receive(
    state: &State,
    read: &mut OwnedReadHalf,
    parent: IpAddr,
    mut pinged_at: Time,
    is_established: &Cell<bool>,
) -> Result<()> {
    let mut pending = Vec::new();
    loop {
        let message: Message = timeout(MESSAGE_TIMEOUT, peers::read(read))
            .await
            .map_err(|_| ReplicationError::TimedOut)??;
        match message {
            Message::Update(update) => {
                if is_established.get() {
                    state.apply(add_transit_time(update, state.now().since(pinged_at)));
                } else {
                    pending.push((update, pinged_at));
                }
            }
            Message::NotAvailable => return Err(ReplicationError::NotAvailable),
            Message::Pong { request_sent_us, ages, depth, successors } => {
                pinged_at = Time::from_micros(request_sent_us);
                if !state.age_limits().are_fresh(&ages, state.now().since(pinged_at)) {
                    return Err(ReplicationError::Stale);
                }
                if depth > MAX_PARENT_DEPTH {
                    return Err(ReplicationError::NotAvailable);
                }
                if !is_established.get()
                    && !state.age_limits().may_join(&ages, state.now().since(pinged_at))
                {
                    return Err(ReplicationError::Stale);
                }
                state.parent.set(Some((parent, depth + 1)));
                *state.successors.borrow_mut() = successors;
                if !is_established.get() {
                    state.begin_following(parent);
                    for (update, sent_after) in pending.drain(..) {
                        let transit_time = state.now().since(sent_after);
                        state.apply(add_transit_time(update, transit_time));
                    }
                }
                state.confirm(pinged_at, &ages);
                is_established.set(true);
            }
        }
    }
}

/// Adds to the greatest age of an update the time that it may have been in transit.
///
/// If a version of weights were dated by the arrival of a delayed update, requests would be sent to
/// older versions past the bound.
fn add_transit_time(update: Update, transit_time: Duration) -> Update {
    match update {
        Update::Weights { model, version, age: Some(age) } => {
            let age = AnnouncementAge { max: age.max + transit_time, ..age };
            Update::Weights { model, version, age: Some(age) }
        }
        other => other,
    }
}
