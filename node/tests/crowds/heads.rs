use bytes::Bytes;

use super::crowd::Message;
use super::crowd::Target;
use super::crowd::filler;
use super::crowd::head_start;
use super::fixture::Resources;

const RESOURCES: Resources = Resources { descriptors: 1_000, memory_mb: 64 };
const CLIENTS: usize = 300;

/// Length of a head without an end: many times what a head may have.
const UNENDED_LEN: usize = 380_000;
const LONG_LEN: usize = 1 << 20;

/// Number of requests that a client sends without reading the answers.
const REQUESTS_AHEAD: usize = 4_000;

fn unended_header(len: usize) -> Vec<Bytes> {
    let start = format!("{}x-padding: ", head_start("/lookup/a"));
    vec![start.into(), filler(len)]
}

// Guards against heads without an end that fill the memory for as long as their connections stay open.
#[test]
fn heads_without_end_are_bounded() {
    let mut target = Target::start("heads-without-end", RESOURCES);
    let message = Message::without_end(unended_header(UNENDED_LEN), "\r\n\r\n".into());
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against many headers, each of usual length, that together are a head without an end.
#[test]
fn heads_without_end_are_bounded_many_headers() {
    let mut target = Target::start("heads-many-headers", RESOURCES);
    let lines = "x-p: 0123456789\r\n".repeat(UNENDED_LEN / 17);
    let parts = vec![head_start("/lookup/a").into(), lines.into()];
    let message = Message::without_end(parts, "\r\n".into());
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against request targets without an end.
#[test]
fn heads_without_end_are_bounded_target() {
    let mut target = Target::start("heads-target", RESOURCES);
    let message = Message::without_end(vec!["GET /".into(), filler(UNENDED_LEN)], "\r\n".into());
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against empty lines before a request, which a parser skips without an end.
#[test]
fn heads_without_end_are_bounded_empty_lines() {
    let mut target = Target::start("heads-empty-lines", RESOURCES);
    let lines = "\r\n".repeat(UNENDED_LEN / 2);
    let message = Message::without_end(vec![lines.into()], head_start("/lookup/a").into());
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against heads that are read on though they are over the limit.
#[test]
fn heads_over_limit_are_bounded() {
    let mut target = Target::start("heads-over-limit", RESOURCES);
    let mut parts = unended_header(LONG_LEN);
    parts.push("\r\n\r\n".into());
    target.assert_withstands(target.entry.callers, CLIENTS, &Message::whole(parts));
}

// Guards against heads just short of the limit that stay open.
#[test]
fn heads_within_limit_are_bounded() {
    let mut target = Target::start("heads-within-limit", RESOURCES);
    let message = Message::without_end(unended_header(15_000), "\r\n\r\n".into());
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against requests that are read ahead, and against answers that are buffered, while a client reads nothing.
#[test]
fn requests_sent_ahead_are_bounded() {
    let mut target = Target::start("requests-ahead", RESOURCES);
    let request = format!("{}content-length: 0\r\n\r\n", head_start("/lookup/a"));
    let message = Message::whole(vec![request.repeat(REQUESTS_AHEAD).into()]);
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}
