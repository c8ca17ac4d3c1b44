use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::ids::Attempt;
use mastichaven_core::run::Load;
use mastichaven_core::run::RunFrame;
use mastichaven_core::stream::EventCutter;
use mastichaven_core::stream::FrameOrder;
use mastichaven_core::stream::Taken;

fn data(attempt: u32, sequence: u32) -> RunFrame {
    RunFrame::Data { attempt: Attempt(attempt), sequence, bytes: Bytes::from("x") }
}

fn end(attempt: u32, frames: u32) -> RunFrame {
    RunFrame::End { attempt: Attempt(attempt), frames, load: Load::default() }
}

// Frames of an attempt that was given up come late, between those of the one that replaced it.
// Passed on, they would put another run's words into the caller's answer.
#[test]
fn take_crossed_and_late_frames() {
    let mut order = FrameOrder::new(Attempt(2));
    assert_eq!(order.take(data(1, 0)), Ok(Taken::Dropped));
    assert_eq!(order.take(data(2, 0)), Ok(Taken::Bytes(Bytes::from("x"))));
    assert_eq!(order.take(data(2, 0)), Ok(Taken::Dropped));
    assert_eq!(order.take(end(1, 7)), Ok(Taken::Dropped));
    assert_eq!(order.take(data(2, 2)), Err(Code::Truncated));
    assert_eq!(order.take(end(2, 3)), Err(Code::Truncated));
    assert_eq!(order.take(end(2, 1)), Ok(Taken::End));
}

// A stream breaks in the middle of an event, and goes on at another endpoint after the last whole
// one: the caller sees each token once.
#[test]
fn push_cuts_at_whole_events() {
    let mut cutter = EventCutter::default();
    let stream = b"data: a\n\ndata: b\n\ndata: c";
    let mut out = Vec::new();
    for byte in stream {
        out.extend(cutter.push(&[*byte]).unwrap().into_iter().flatten());
    }
    assert_eq!((cutter.tokens(), cutter.is_whole()), (2, false));
    cutter.restart_event();
    out.extend(cutter.push(b"data: c\n\ndata: [DONE]\n\n").unwrap().into_iter().flatten());
    assert_eq!(out, b"data: a\n\ndata: b\n\ndata: c\n\ndata: [DONE]\n\n");
    assert_eq!((cutter.tokens(), cutter.is_whole()), (3, true));
}
