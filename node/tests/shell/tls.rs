//! Mutual TLS: which peers may connect, and which requests their role permits.

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

/// Bounds the wait for a rejection, with a wide margin.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

const INCOMING_QUEUE_LEN: usize = 8;

fn material(ca: &DevelopmentCa, host: &str, role: Role, days: i64) -> Material {
    let issued = ca.issue(&host.into(), role, days).unwrap();
    Material::from_pem(&issued.certificate, &issued.key, &ca.pem()).unwrap()
}

fn start_transport(material: &Material) -> Transport {
    let (tx, rx) = flume::bounded(INCOMING_QUEUE_LEN);
    let transport = Transport::start(ANY.parse().unwrap(), material, tx).unwrap();
    thread::spawn(move || {
        for incoming in rx {
            let body = ReplyBody::Relay(RelayReply::Unavailable);
            let _ = incoming.replies.send(Reply { generation: Default::default(), body });
        }
    });
    transport
}

fn send_request(
    transport: &Transport,
    to: SocketAddr,
    host: &str,
    body: RequestBody,
) -> Result<Reply, Code> {
    let from = Sender { host: host.into(), ..Sender::default() };
    transport.call_unary(to, &RequestMessage { from, body }, REPLY_TIMEOUT)
}

fn relay_request() -> RequestBody {
    RequestBody::Relay(RelayRequest::Get("config/accepted".into()))
}

fn is_wrong_role(reply: Result<Reply, Code>) -> bool {
    matches!(reply, Ok(Reply { body: ReplyBody::Refused(Code::WrongRole), .. }))
}

#[test]
fn call_unary_between_fleet_peers_succeeds() {
    let ca = DevelopmentCa::generate().unwrap();
    let server = start_transport(&material(&ca, "entry-1", Role::Entry, 1));
    let client = start_transport(&material(&ca, "entry-2", Role::Entry, 1));
    let reply = send_request(&client, server.local_addr(), "entry-2", relay_request()).unwrap();
    assert_eq!(reply.body, ReplyBody::Relay(RelayReply::Unavailable));
}

#[test]
fn certificate_of_other_authority_is_rejected_by_both_sides() {
    // A process has certificates of another authority. The fleet accepts no request from it and sends
    // it none.
    let ca = DevelopmentCa::generate().unwrap();
    let server = start_transport(&material(&ca, "entry-1", Role::Entry, 1));
    let other_ca = DevelopmentCa::generate().unwrap();
    let client = start_transport(&material(&other_ca, "entry-2", Role::Entry, 1));
    assert!(send_request(&client, server.local_addr(), "entry-2", relay_request()).is_err());
    assert!(send_request(&server, client.local_addr(), "entry-1", relay_request()).is_err());
}

#[test]
fn foreign_client_certificate_is_rejected() {
    // The process trusts the fleet's public authority certificate but has a certificate of another
    // authority. The fleet must still reject it.
    let ca = DevelopmentCa::generate().unwrap();
    let server = start_transport(&material(&ca, "entry-1", Role::Entry, 1));
    let other_ca = DevelopmentCa::generate().unwrap();
    let issued = other_ca.issue(&"entry-2".into(), Role::Entry, 1).unwrap();
    let foreign = Material::from_pem(&issued.certificate, &issued.key, &ca.pem()).unwrap();
    let client = start_transport(&foreign);
    assert!(send_request(&client, server.local_addr(), "entry-2", relay_request()).is_err());
}

#[test]
fn expired_certificate_is_rejected() {
    // A host returns after a long outage with an expired certificate.
    let ca = DevelopmentCa::generate().unwrap();
    let server = start_transport(&material(&ca, "entry-1", Role::Entry, 1));
    let client = start_transport(&material(&ca, "entry-2", Role::Entry, -1));
    assert!(send_request(&client, server.local_addr(), "entry-2", relay_request()).is_err());
    assert!(send_request(&server, client.local_addr(), "entry-1", relay_request()).is_err());
}

#[test]
fn request_of_wrong_role_is_rejected() {
    // An attacker with an agent's certificate sends platform calls to an entry, which must reject
    // them.
    let ca = DevelopmentCa::generate().unwrap();
    let server = start_transport(&material(&ca, "entry-1", Role::Entry, 1));
    let agent = start_transport(&material(&ca, "agent-1", Role::Agent, 1));
    assert!(is_wrong_role(send_request(&agent, server.local_addr(), "agent-1", relay_request())));
    let tool = start_transport(&material(&ca, "desk", Role::Ctl, 1));
    assert!(is_wrong_role(send_request(&tool, server.local_addr(), "desk", relay_request())));
    let probe = RequestBody::Members(MembersRequest::Probe);
    assert!(!is_wrong_role(send_request(&agent, server.local_addr(), "agent-1", probe)));
}

#[test]
fn request_with_other_host_name_is_rejected() {
    // An attacker sends the name of another host to take over its membership or its requests.
    let ca = DevelopmentCa::generate().unwrap();
    let server = start_transport(&material(&ca, "entry-1", Role::Entry, 1));
    let client = start_transport(&material(&ca, "entry-2", Role::Entry, 1));
    assert!(is_wrong_role(send_request(&client, server.local_addr(), "entry-3", relay_request())));
}

#[test]
fn reply_of_wrong_role_is_rejected() {
    // An attacker on an endpoint host has its address gossiped as that of an entry. If an entry
    // accepted its reply in place of the platform's, a claimed booking would appear unclaimed and run
    // again.
    let ca = DevelopmentCa::generate().unwrap();
    let entry = start_transport(&material(&ca, "entry-1", Role::Entry, 1));
    let agent = start_transport(&material(&ca, "agent-1", Role::Agent, 1));
    let reply = send_request(&entry, agent.local_addr(), "entry-1", relay_request());
    assert_eq!(reply, Err(Code::WrongRole));
}
