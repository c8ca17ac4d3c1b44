use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Code;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::RequestId;
use mastichaven_core::run::VoidRequest;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use mastichaven_core::wire::RequestMessage;
use mastichaven_core::wire::Sender;
use mastichaven_node::tls::DevelopmentCa;
use mastichaven_node::tls::Role;
use mastichaven_node::transport::Transport;
use mastichaven_standins::datagrams::DatagramDoor;

const PATIENCE: Duration = Duration::from_secs(30);

/// Two processes; the second answers each ask after `delay`.
struct Pair {
    asker: Transport,
    way: DatagramDoor,
    ask: RequestMessage,
}

fn pair(delay: Duration) -> Pair {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let ca = DevelopmentCa::generate().unwrap();
    let start = |host: &str, role, tx| {
        Transport::start(any, &ca.material(&host.into(), role).unwrap(), tx).unwrap()
    };
    let asker = start("asker", Role::Entry, flume::bounded(1).0);
    let (tx, rx) = flume::bounded(16);
    let answerer = start("answerer", Role::Agent, tx);
    let way = DatagramDoor::open("127.0.0.1:0").unwrap();
    way.lead_to(answerer.local_addr());
    thread::spawn(move || {
        let _answerer = answerer;
        for incoming in rx {
            thread::sleep(delay);
            let body = ReplyBody::Refused(Code::Busy);
            let _ = incoming.replies.send(Reply { generation: Default::default(), body });
        }
    });
    let from = Sender { host: "asker".into(), ..Sender::default() };
    // Control has connections of its own, on which each ask has a short timeout instead.
    let void = VoidRequest { request: RequestId::default(), incarnation: Incarnation::default() };
    Pair { asker, way, ask: RequestMessage { from, body: RequestBody::Void(void) } }
}

// Something between two processes forgets the connection that is open between them: what is sent
// on it vanishes and neither end is told, while a new connection works. The ask that meets this is
// told that its peer was lost, much sooner than the connection's own timeout would tell, and the
// next one is answered. Waits are bounded loosely, for busy machines.
#[test]
fn call_on_a_connection_that_fell_silent() {
    let pair = pair(Duration::ZERO);
    assert!(pair.asker.ask_one(pair.way.address(), &pair.ask, PATIENCE).is_ok());
    pair.way.forget_connections();
    let begun = Instant::now();
    let lost = pair.asker.ask_one(pair.way.address(), &pair.ask, PATIENCE);
    println!("told after {:?}", begun.elapsed());
    assert_eq!(lost.unwrap_err(), Code::PeerLost);
    assert!(pair.asker.ask_one(pair.way.address(), &pair.ask, PATIENCE).is_ok());
}

// A peer that takes its time is no silent connection: to give it up would run its work twice.
#[test]
fn call_on_a_connection_whose_peer_is_slow() {
    let pair = pair(Duration::from_secs(4));
    let address = pair.way.address();
    assert!(pair.asker.ask_one(address, &pair.ask, PATIENCE).is_ok());
}
