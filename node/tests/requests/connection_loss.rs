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
use mastichaven_standins::udp_proxy::UdpProxy;

const ASK_TIMEOUT: Duration = Duration::from_secs(30);

/// A client and a server process, connected through a proxy. The server answers each request after
/// a delay.
struct Link {
    client: Transport,
    proxy: UdpProxy,
    request: RequestMessage,
}

fn connect(delay: Duration) -> Link {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let ca = DevelopmentCa::generate().unwrap();
    let start = |host: &str, role, tx| {
        Transport::start(any, &ca.material(&host.into(), role).unwrap(), tx).unwrap()
    };
    let client = start("asker", Role::Entry, flume::bounded(1).0);
    let (tx, rx) = flume::bounded(16);
    let server = start("answerer", Role::Agent, tx);
    let proxy = UdpProxy::open("127.0.0.1:0").unwrap();
    proxy.set_target(server.local_addr());
    thread::spawn(move || {
        let _server = server;
        for incoming in rx {
            thread::sleep(delay);
            let body = ReplyBody::Refused(Code::Busy);
            let _ = incoming.replies.send(Reply { generation: Default::default(), body });
        }
    });
    let from = Sender { host: "asker".into(), ..Sender::default() };
    // Not a control request: those use connections of their own, with a short timeout per request
    // instead.
    let void = VoidRequest { request: RequestId::default(), incarnation: Incarnation::default() };
    Link { client, proxy, request: RequestMessage { from, body: RequestBody::Void(void) } }
}

// A middlebox loses the state of an open connection: its packets are dropped without notice to
// either end, while new connections work. A request on it must fail with `PeerLost` well before the
// idle timeout of the connection, and the next request must succeed. The timeouts are loose for
// busy machines.
#[test]
fn call_unary_on_silent_connection() {
    let link = connect(Duration::ZERO);
    assert!(link.client.call_unary(link.proxy.address(), &link.request, ASK_TIMEOUT).is_ok());
    link.proxy.blackhole_connections();
    let sent_at = Instant::now();
    let lost = link.client.call_unary(link.proxy.address(), &link.request, ASK_TIMEOUT);
    println!("failed after {:?}", sent_at.elapsed());
    assert_eq!(lost.unwrap_err(), Code::PeerLost);
    assert!(link.client.call_unary(link.proxy.address(), &link.request, ASK_TIMEOUT).is_ok());
}

// A slow peer must not be treated as a lost connection, because a retry would run the request
// twice.
#[test]
fn call_unary_to_slow_peer() {
    let link = connect(Duration::from_secs(4));
    let address = link.proxy.address();
    assert!(link.client.call_unary(address, &link.request, ASK_TIMEOUT).is_ok());
}
