//! Who may connect to a process, and what it may ask.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::members::MembersRequest;
use mastichaven_core::relay::RelayReply;
use mastichaven_core::relay::RelayRequest;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use mastichaven_core::wire::RequestMessage;
use mastichaven_core::wire::Sender;
use mastichaven_node::tls::DevelopmentCa;
use mastichaven_node::tls::Material;
use mastichaven_node::tls::Role;
use mastichaven_node::transport::Transport;

use crate::ANY;

/// How long a refusal may take; far longer than it does.
const LIMIT: Duration = Duration::from_secs(30);

const RELAY_RING: usize = 8;

fn material(ca: &DevelopmentCa, host: &str, role: Role, days: i64) -> Material {
    let issued = ca.issue(&host.into(), role, days).unwrap();
    Material::from_pem(&issued.certificate, &issued.key, &ca.pem()).unwrap()
}

fn transport(material: &Material) -> Transport {
    let (tx, rx) = flume::bounded(RELAY_RING);
    let transport = Transport::start(ANY.parse().unwrap(), material, tx).unwrap();
    thread::spawn(move || {
        for incoming in rx {
            let body = ReplyBody::Relay(RelayReply::Unavailable);
            let _ = incoming.replies.send(Reply { generation: Default::default(), body });
        }
    });
    transport
}

fn ask(
    transport: &Transport,
    to: SocketAddr,
    host: &str,
    body: RequestBody,
) -> Result<Reply, Code> {
    let from = Sender { host: host.into(), ..Sender::default() };
    transport.ask_one(to, &RequestMessage { from, body }, LIMIT)
}

fn relay() -> RequestBody {
    RequestBody::Relay(RelayRequest::Get("config/accepted".into()))
}

fn refused(reply: Result<Reply, Code>) -> bool {
    matches!(reply, Ok(Reply { body: ReplyBody::Refused(Code::WrongRole), .. }))
}

#[test]
fn peer_of_the_fleet_is_answered() {
    let ca = DevelopmentCa::generate().unwrap();
    let server = transport(&material(&ca, "entry-1", Role::Entry, 1));
    let client = transport(&material(&ca, "entry-2", Role::Entry, 1));
    let reply = ask(&client, server.local_addr(), "entry-2", relay()).unwrap();
    assert_eq!(reply.body, ReplyBody::Relay(RelayReply::Unavailable));
}

#[test]
fn peer_of_another_authority_is_refused_on_both_sides() {
    // Somebody runs a process with certificates of his own making. Neither can it ask anything of
    // the fleet, nor does the fleet send it a request.
    let ca = DevelopmentCa::generate().unwrap();
    let server = transport(&material(&ca, "entry-1", Role::Entry, 1));
    let stranger = DevelopmentCa::generate().unwrap();
    let client = transport(&material(&stranger, "entry-2", Role::Entry, 1));
    assert!(ask(&client, server.local_addr(), "entry-2", relay()).is_err());
    assert!(ask(&server, client.local_addr(), "entry-1", relay()).is_err());
}

#[test]
fn peer_with_authority_of_fleet_but_foreign_certificate_is_refused() {
    // The stranger has got hold of the fleet's public authority, so that it accepts the fleet. The
    // fleet still does not accept it.
    let ca = DevelopmentCa::generate().unwrap();
    let server = transport(&material(&ca, "entry-1", Role::Entry, 1));
    let stranger = DevelopmentCa::generate().unwrap();
    let issued = stranger.issue(&"entry-2".into(), Role::Entry, 1).unwrap();
    let foreign = Material::from_pem(&issued.certificate, &issued.key, &ca.pem()).unwrap();
    let client = transport(&foreign);
    assert!(ask(&client, server.local_addr(), "entry-2", relay()).is_err());
}

#[test]
fn expired_certificate_is_refused() {
    // A host that was set aside long ago is switched on again. Its certificate has expired.
    let ca = DevelopmentCa::generate().unwrap();
    let server = transport(&material(&ca, "entry-1", Role::Entry, 1));
    let client = transport(&material(&ca, "entry-2", Role::Entry, -1));
    assert!(ask(&client, server.local_addr(), "entry-2", relay()).is_err());
    assert!(ask(&server, client.local_addr(), "entry-1", relay()).is_err());
}

#[test]
fn wrong_role_is_refused() {
    // An endpoint host is broken into. With its agent's certificate the intruder asks an entry to
    // write to the platform, and gets nothing but a refusal.
    let ca = DevelopmentCa::generate().unwrap();
    let server = transport(&material(&ca, "entry-1", Role::Entry, 1));
    let agent = transport(&material(&ca, "agent-1", Role::Agent, 1));
    assert!(refused(ask(&agent, server.local_addr(), "agent-1", relay())));
    let tool = transport(&material(&ca, "desk", Role::Ctl, 1));
    assert!(refused(ask(&tool, server.local_addr(), "desk", relay())));
    let probe = RequestBody::Members(MembersRequest::Probe);
    assert!(!refused(ask(&agent, server.local_addr(), "agent-1", probe)));
}

#[test]
fn name_of_another_host_is_refused() {
    // The intruder claims to be another host, to have its membership or its requests taken over.
    let ca = DevelopmentCa::generate().unwrap();
    let server = transport(&material(&ca, "entry-1", Role::Entry, 1));
    let client = transport(&material(&ca, "entry-2", Role::Entry, 1));
    assert!(refused(ask(&client, server.local_addr(), "entry-3", relay())));
}

#[test]
fn answer_of_wrong_role_is_not_taken() {
    // The intruder on an endpoint host has its address passed off as an entry's. If an entry took its
    // word for the platform's, it would believe that a booking was never claimed, and run it again.
    let ca = DevelopmentCa::generate().unwrap();
    let entry = transport(&material(&ca, "entry-1", Role::Entry, 1));
    let agent = transport(&material(&ca, "agent-1", Role::Agent, 1));
    let reply = ask(&entry, agent.local_addr(), "entry-1", relay());
    assert_eq!(reply, Err(Code::WrongRole));
}
