//! The connection to one parent: pings, updates, and when it is given up.

use std::cell::Cell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
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

/// How often a follower pings. The bound for endpoints that leave has to hold the age at which a parent is
/// left, a ping and a list from the store.
const PING_EVERY: Duration = Duration::from_millis(150);

/// Time without a message after which a parent is left: five pings.
const SILENT_AFTER: Duration = Duration::from_millis(750);

/// Time for a connection to a parent.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// How often a follower looks whether what it knows is too old.
const AGE_EVERY: Duration = Duration::from_millis(40);

/// How often a follower looks whether agents name another parent, and for how many times in a row they
/// have to name the same one.
const COMPARE_EVERY: Duration = Duration::from_millis(500);
const COMPARISONS: u32 = 4;

/// Follows `parent` until it is lost or agents name another one, which is no error.
///
/// Sets `is_proven` once the parent has shown that its knowledge is fresh.
pub(super) async fn try_follow(
    state: &Rc<State>,
    parent: IpAddr,
    is_proven: &Cell<bool>,
) -> Result<()> {
    let asked = state.now();
    let address = SocketAddr::new(parent, state.cfg.agent_port);
    let connected = timeout(CONNECT_WITHIN, TcpStream::connect(address)).await;
    let mut stream = connected.map_err(|_| ReplicationError::Silent)??;
    connection::set_socket_options(&stream)?;
    let hello = Hello::Follow { ip: state.cfg.ip, config_version: state.config_version() };
    peers::write(&mut stream, &hello).await?;
    let (mut read, write) = stream.into_split();
    tokio::select! {
        ended = send_pings(state, write) => ended,
        ended = receive(state, &mut read, parent, asked, is_proven) => ended,
        () = until_old(state, is_proven) => Err(ReplicationError::Old),
        () = until_another_is_named(state, parent) => Ok(()),
    }
}

async fn send_pings(state: &State, mut write: OwnedWriteHalf) -> Result<()> {
    loop {
        write.write_u64(state.now().as_micros()).await?;
        sleep(PING_EVERY).await;
    }
}

/// Waits until what a follower knows of the endpoints is too old to go on with its parent, which is proven to be
/// fresh at first.
async fn until_old(state: &State, is_proven: &Cell<bool>) {
    loop {
        sleep(AGE_EVERY).await;
        let limit = state.age_limits().detach_age(state.depth(), state.is_successor());
        let age = state.ages().endpoints;
        if is_proven.get() && age.is_none_or(|age| age >= limit) {
            return;
        }
    }
}

/// Waits until agents have named another parent for a while.
async fn until_another_is_named(state: &State, parent: IpAddr) {
    let mut last = None;
    let mut count = 0;
    while count < COMPARISONS {
        sleep(COMPARE_EVERY).await;
        let named = state.named_parent().filter(|named| *named != parent);
        count = if named.is_some() && named == last { count + 1 } else { 0 };
        last = named;
    }
}

/// Applies updates. Those before the first pong wait for it: only then are they known to be fresh.
///
/// What comes after the pong that answers what was asked at `asked` was sent after that moment.
async fn receive(
    state: &State,
    read: &mut OwnedReadHalf,
    parent: IpAddr,
    mut asked: Time,
    is_proven: &Cell<bool>,
) -> Result<()> {
    let mut early = Vec::new();
    loop {
        let message: Message = timeout(SILENT_AFTER, peers::read(read))
            .await
            .map_err(|_| ReplicationError::Silent)??;
        match message {
            Message::Update(update) => {
                let update = aged(update, state.now().since(asked));
                if is_proven.get() {
                    state.apply(update);
                } else {
                    early.push(update);
                }
            }
            Message::NotAvailable => return Err(ReplicationError::NotAvailable),
            Message::Pong { asked_us, ages, depth, successors } => {
                asked = Time::from_micros(asked_us);
                if !state.age_limits().are_fresh(&ages, state.now().since(asked)) {
                    return Err(ReplicationError::Old);
                }
                if depth > MAX_PARENT_DEPTH {
                    return Err(ReplicationError::NotAvailable);
                }
                if !is_proven.get() && !state.age_limits().may_join(&ages, state.now().since(asked))
                {
                    return Err(ReplicationError::Old);
                }
                state.parent.set(Some((parent, depth + 1)));
                *state.successors.borrow_mut() = successors;
                if !is_proven.get() {
                    state.begin_following(parent);
                    early.drain(..).for_each(|update| state.apply(update));
                }
                state.confirm(asked, &ages);
                is_proven.set(true);
            }
        }
    }
}

/// An update that may have been under way for `span`.
///
/// Where a version of weights was dated to when a late update of it came, requests would go to the older
/// one past its bound.
fn aged(update: Update, span: Duration) -> Update {
    match update {
        Update::Weights { model, version, age: Some(age) } => {
            Update::Weights { model, version, age: Some(age + span) }
        }
        other => other,
    }
}
