//! Applies what endpoints say about themselves in the heads of their answers.

use http::HeaderMap;
use http::StatusCode;
use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::leaving::EndpointProcess;
use mastichaven_core::direct::notices::Notice;
use mastichaven_core::direct::request_limit::LimitStatement;
use mastichaven_platform::answer;
use mastichaven_platform::answer::AnswerKind;
use rand::RngExt;
use smol_str::SmolStr;

use super::state::State;

/// Maximum number of unknown headers whose names are remembered, so that each is logged once.
const MAX_UNKNOWN_HEADERS: usize = 64;

impl State {
    /// Applies what an answer to a request sent at `sent_at` says about its endpoint. An answer of another process
    /// says nothing about it.
    pub(super) fn apply_statements(
        &self,
        record: &EndpointRecord,
        endpoint: EndpointKey,
        kind: AnswerKind,
        (status, headers): (StatusCode, &HeaderMap),
        sent_at: Time,
    ) {
        self.log_unknown_headers(headers);
        let statements = answer::endpoint_statements(status, headers);
        let is_own = match kind {
            AnswerKind::Success | AnswerKind::NotRun | AnswerKind::Failed => true,
            AnswerKind::Misdirected => answer::is_from_endpoint(headers, &record.id),
            AnswerKind::Foreign => false,
        };
        if !is_own {
            return;
        }
        let now = self.now();
        if statements.is_leaving && self.endpoints.borrow_mut().record_leaving(endpoint, now) {
            self.log_leaving(&record.id, "answer");
            let process = EndpointProcess::of(record);
            if process.is_identified() {
                self.notify_collectors(Notice::Leaving(process));
            }
        }
        if kind == AnswerKind::Misdirected {
            return;
        }
        let limit = LimitStatement::of_answer(statements.request_limit, sent_at, now);
        if self.endpoints.borrow_mut().apply_limit(endpoint, limit) {
            self.record_limit_change(&record.id, limit.per_second, "answer");
            self.requests_due.notify_one();
        }
        if let Some(pause) = statements.pause {
            self.metrics.count("endpoint_pauses");
            let draw = self.with_rng(|rng| rng.random());
            if self.endpoints.borrow_mut().record_pause(endpoint, pause, draw, now) {
                slog::info!(self.log, "endpoint asks for a pause";
                    "endpoint" => record.id.as_str(), "pause_ms" => pause.as_millis() as u64);
            }
        }
    }

    /// Applies the notice that an endpoint is about to stop.
    pub(super) fn apply_leaving(&self, process: EndpointProcess, now: Time) {
        let left = self.endpoints.borrow_mut().record_leaving_process(process, now);
        if let Some(id) = left {
            self.log_leaving(&id, "agent");
        }
    }

    fn log_leaving(&self, id: &str, from: &str) {
        self.metrics.count("endpoints_leaving");
        slog::info!(self.log, "endpoint says that it leaves"; "endpoint" => id, "from" => from);
    }

    /// Logs each header with an unknown statement once.
    fn log_unknown_headers(&self, headers: &HeaderMap) {
        for name in answer::unknown_statements(headers) {
            self.metrics.count("endpoint_headers_unknown");
            let mut known = self.unknown_headers.borrow_mut();
            if known.len() < MAX_UNKNOWN_HEADERS && known.insert(SmolStr::new(name.as_str())) {
                slog::warn!(self.log, "endpoint sends an unknown header"; "name" => name.as_str());
            }
        }
    }
}
