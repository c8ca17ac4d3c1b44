use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::ids::Attempt;
use mastichaven_core::run::Load;
use mastichaven_core::run::RunFrame;
use mastichaven_core::stream::EventSplitter;
use mastichaven_core::stream::FrameContent;
use mastichaven_core::stream::FrameSequencer;

fn data(attempt: u32, sequence: u32) -> RunFrame {
    RunFrame::Data { attempt: Attempt(attempt), sequence, bytes: Bytes::from("x") }
}

fn end(attempt: u32, frames: u32) -> RunFrame {
    RunFrame::End { attempt: Attempt(attempt), frames, load: Load::default() }
}

// Late frames of an abandoned attempt arrive between those of its replacement. Accepted, they would
// mix two runs in one response.
#[test]
fn accept_frames_of_other_attempts() {
    let mut sequencer = FrameSequencer::new(Attempt(2));
    assert_eq!(sequencer.accept(data(1, 0)), Ok(FrameContent::Dropped));
    assert_eq!(sequencer.accept(data(2, 0)), Ok(FrameContent::Bytes(Bytes::from("x"))));
    assert_eq!(sequencer.accept(data(2, 0)), Ok(FrameContent::Dropped));
    assert_eq!(sequencer.accept(end(1, 7)), Ok(FrameContent::Dropped));
    assert_eq!(sequencer.accept(data(2, 2)), Err(Code::Truncated));
    assert_eq!(sequencer.accept(end(2, 3)), Err(Code::Truncated));
    assert_eq!(sequencer.accept(end(2, 1)), Ok(FrameContent::End));
}

// A stream breaks in the middle of an event and resumes at another endpoint after the last complete
// event: the caller gets each token once.
#[test]
fn push_partial_events() {
    let mut splitter = EventSplitter::default();
    let stream = b"data: a\n\ndata: b\n\ndata: c";
    let mut out = Vec::new();
    for byte in stream {
        out.extend(splitter.push(&[*byte]).unwrap().into_iter().flatten());
    }
    assert_eq!((splitter.tokens(), splitter.is_complete()), (2, false));
    splitter.discard_partial_event();
    out.extend(splitter.push(b"data: c\n\ndata: [DONE]\n\n").unwrap().into_iter().flatten());
    assert_eq!(out, b"data: a\n\ndata: b\n\ndata: c\n\ndata: [DONE]\n\n");
    assert_eq!((splitter.tokens(), splitter.is_complete()), (3, true));
}
