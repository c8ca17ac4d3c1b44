//! Moves a stream to another endpoint before its own one stops.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::events::EventSplitter;
use mastichaven_core::direct::handover::EventsDiffer;
use mastichaven_core::direct::handover::HANDOVER_LEAD;
use mastichaven_core::direct::handover::Overlap;
use mastichaven_core::direct::handover::search_start;
use mastichaven_platform::answer;
use tokio::time::timeout;

use super::BodySender;
use super::EndpointStream;
use super::Relay;
use super::Result;
use super::STREAM_IDLE_TIMEOUT;
use super::read_first_events;
use crate::direct::attempt::AttemptOutcome;
use crate::direct::attempt::send_to_endpoint;
use crate::direct::call::CallHistory;
use crate::direct::connection::ConnectionError;
use crate::direct::crashes::record_lost_attempt;
use crate::direct::selection::next_endpoint;
use crate::direct::selection::until_replaceable;

/// A stream that continues another one, with its next events; `None` at its end.
type Continued = (EndpointStream, Option<Bytes>);

impl Relay<'_> {
    /// The time until another endpoint is looked for; `None` if the stream needs none, or may not be resumed.
    pub(super) fn time_to_handover(&self, stream: &EndpointStream) -> Option<Duration> {
        let call = self.call;
        let has_attempts = self.history.sent_count < call.route.max_attempts;
        let is_resumable = call.route.retry_policy == RetryPolicy::Resumable && has_attempts;
        let stops_at = stream.response.stop.at().filter(|_| is_resumable)?;
        stream.splitter.last_id()?;
        Some(search_start(stops_at, call.deadline)?.since(self.state.now()))
    }

    /// Relays `stream` while another endpoint is looked for, until that has sent the next events. If the stream is
    /// lost before, it is resumed like any other.
    pub(super) async fn hand_over(
        &mut self,
        mut stream: EndpointStream,
        tx: &BodySender,
    ) -> Result<Continued> {
        let last_id = stream.splitter.last_id().cloned().unwrap_or_default();
        let overlap = RefCell::new(Overlap::new(last_id));
        let is_sent = Cell::new(false);
        let mut history = CallHistory {
            is_resumption: true,
            weights_until: stream.response.stop.at().map(|stops_at| stops_at + HANDOVER_LEAD),
            ..self.history.clone()
        };
        let continued = loop {
            let continued = {
                let mut attempt = pin!(self.continue_elsewhere(&overlap, &is_sent, &mut history));
                loop {
                    let idle_timeout =
                        STREAM_IDLE_TIMEOUT.min(self.call.deadline.since(self.state.now()));
                    let read = tokio::select! {
                        biased;
                        read = timeout(idle_timeout, stream.read_events()) => read,
                        continued = &mut attempt => break Ok(continued),
                    };
                    match read.unwrap_or(Err(ConnectionError::TimedOut)) {
                        Ok(Some(events)) => {
                            overlap.borrow_mut().record_relayed(&events);
                            self.relay(events, tx).await;
                        }
                        Ok(None) => return Ok((stream, None)),
                        Err(e) if is_sent.get() => {
                            let recorded = self.record_loss(&stream.response, e);
                            let continued = tokio::join!(recorded, attempt).1;
                            break continued.map(Some).ok_or(e);
                        }
                        Err(e) => break Err(e),
                    }
                }
            };
            match continued {
                // The attempt has failed, and the stream goes on.
                Ok(None) if history.sent_count < self.call.route.max_attempts => {
                    is_sent.set(false);
                }
                Ok(None) => {
                    self.history = CallHistory { weights_until: None, ..history };
                    return self.next_events(stream, tx).await;
                }
                Ok(Some(continued)) => break Ok(continued),
                Err(e) => break Err(e),
            }
        };
        self.history = CallHistory { weights_until: None, ..history };
        match continued {
            Ok(continued) => {
                self.record_handover(&stream, &continued.0, &overlap.borrow());
                Ok(continued)
            }
            Err(e) if is_sent.get() => {
                // The loss has been recorded.
                let splitter = stream.splitter.clone();
                drop(stream);
                self.resume(splitter).await.ok_or(e)
            }
            Err(e) => self.replace_lost(stream, e).await,
        }
    }

    /// Sends the request to another endpoint and reads the first events that were not relayed before; `None` if that
    /// endpoint fails. Waits for an endpoint that can take the request.
    async fn continue_elsewhere(
        &self,
        overlap: &RefCell<Overlap>,
        is_sent: &Cell<bool>,
        history: &mut CallHistory,
    ) -> Option<Continued> {
        let (state, call) = (self.state, self.call);
        until_replaceable(state, call, history, Duration::ZERO).await;
        history.retry_until = Some(state.now());
        let endpoint = next_endpoint(state, call, history).await.ok()?;
        let last_id = overlap.borrow_mut().begin();
        is_sent.set(true);
        let outcome =
            send_to_endpoint(state, call, endpoint, history, Some(last_id.as_str())).await;
        let AttemptOutcome::Responding(response) = outcome else {
            return None;
        };
        let splitter = EventSplitter::resumed_after(last_id);
        let mut other = EndpointStream { response: *response, splitter };
        let mut events = read_first_events(state, call, &mut other, history).await.ok()?;
        let first = events.clone().unwrap_or_default();
        let e = loop {
            match events {
                Some(sent) => match overlap.borrow_mut().skip_repeated(&sent) {
                    Ok(Some(rest)) => return Some((other, Some(with_weights_line(&first, rest)))),
                    Ok(None) => {}
                    Err(EventsDiffer) => break ConnectionError::Broken,
                },
                None if overlap.borrow().is_repeated() => return Some((other, None)),
                None => break ConnectionError::Broken,
            }
            let idle_timeout = STREAM_IDLE_TIMEOUT.min(call.deadline.since(state.now()));
            match timeout(idle_timeout, other.read_events()).await {
                Ok(Ok(next)) => events = next,
                Ok(Err(e)) => break e,
                Err(_) => break ConnectionError::TimedOut,
            }
        };
        record_lost_attempt(state, call, other.response.as_lost(), e, "handover").await;
        None
    }

    fn record_handover(&self, from: &EndpointStream, to: &EndpointStream, overlap: &Overlap) {
        let now = self.state.now();
        let stops_at = from.response.stop.at().unwrap_or(now);
        self.state.metrics.count("streams_handed_over");
        slog::info!(self.state.log, "stream handed over";
            "id" => self.call.head.id.as_deref().unwrap_or_default(),
            "route" => self.call.route.name.as_str(),
            "from" => from.response.record.id.as_str(), "to" => to.response.record.id.as_str(),
            "left_ms" => stops_at.since(now).as_millis() as u64,
            "silent_ms" => now.since(self.last_event_at.get()).as_millis() as u64,
            "repeated" => overlap.repeated());
    }
}

/// Adds the line by which the first of all events of an endpoint names its weights to the first of them that is relayed.
fn with_weights_line(first: &Bytes, rest: Bytes) -> Bytes {
    let line = answer::weights_line_of_first_event(first);
    let Some(line) = line.filter(|_| answer::weights_line_of_first_event(&rest).is_none()) else {
        return rest;
    };
    let mut events = BytesMut::with_capacity(line.len() + 1 + rest.len());
    events.extend_from_slice(line);
    events.extend_from_slice(b"\n");
    events.extend_from_slice(&rest);
    events.freeze()
}
