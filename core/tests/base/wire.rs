//! Tests of message framing.

use mastichaven_core::Code;
use mastichaven_core::ids::Generation;
use mastichaven_core::wire::LEN_BYTES;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::decode;
use mastichaven_core::wire::encode;
use mastichaven_core::wire::scan_len;

#[test]
fn decode_of_encoded_reply_round_trips() {
    let reply = Reply { generation: Generation(7), body: ReplyBody::Refused(Code::EndpointFull) };
    let buf = encode(&reply);
    let len = scan_len([buf[0], buf[1], buf[2], buf[3]]).unwrap();
    assert_eq!(len, buf.len() - LEN_BYTES);
    assert_eq!(decode::<Reply>(&buf[LEN_BYTES..]), Ok(reply));
}

#[test]
fn scan_len_over_limit_fails() {
    assert_eq!(scan_len([0xff; LEN_BYTES]), Err(Code::BadMessage));
}
