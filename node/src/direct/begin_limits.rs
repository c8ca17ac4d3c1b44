//! The version of the weights that an attempt rests on, until when requests may begin on it, and answers from versions
//! that may not answer any more.

use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::handover;
use mastichaven_core::direct::versions::Announcement;
use mastichaven_core::direct::versions::VersionLimits;
use mastichaven_platform::answer;

use super::attempt::AttemptResponse;
use super::call::Call;
use super::state::State;

/// Fraction of the weights bound after which requests are no longer sent to an older version. The
/// rest covers time in the endpoint's queue, which is long under overload: a request starts to run
/// only when it leaves the queue.
const OLD_WEIGHTS_FRACTION: f64 = 0.82;

/// Time before the bound on older weights at which requests must have begun on them. Endpoints count the time that
/// they are given from the arrival of the request, so this covers its way there. The delay of the entry's own tasks is
/// added to it.
const BEGIN_MARGIN: Duration = Duration::from_millis(250);

/// Minimum time in which a request that is sent to an older version must begin. With less, it would mostly use up an
/// attempt.
const MIN_BEGIN_TIME: Duration = Duration::from_millis(300);

/// What an entry knows of the weights of an endpoint and of the version that replaces them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct WeightsBasis {
    /// The version that the endpoint is taken to hold; 0 if there is none.
    pub(super) version: u64,
    /// Time since the next version was announced at the latest; `None` if there is none.
    pub(super) outdated_for: Option<Duration>,
    /// How much longer that may be.
    pub(super) uncertainty: Duration,
    /// When requests must have begun on the version; `None` if there is no newer one.
    pub(super) begin_by: Option<Time>,
}

impl WeightsBasis {
    /// The version that must run the request. Without a newer one there is no limit in time, so an endpoint that holds
    /// an older version than it reports must refuse. With a newer one, the endpoint may have loaded it meanwhile.
    pub(super) fn expected_version(&self) -> Option<u64> {
        Some(self.version).filter(|version| *version > 0 && self.begin_by.is_none())
    }

    /// [`WeightsBasis::outdated_for`] in milliseconds, for log lines; -1 if there is no newer version.
    pub(super) fn outdated_ms(&self) -> i64 {
        self.outdated_for.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
    }
}

impl State {
    /// What is known of the weights on which the endpoint of `record` would answer `call`.
    pub(super) fn weights_basis(
        &self,
        call: &Call,
        record: &EndpointRecord,
        now: Time,
    ) -> WeightsBasis {
        let held = call.head.model.as_deref().filter(|_| record.is_engine).and_then(|model| {
            let held = record.weights.iter().find(|(name, _)| name == model);
            held.map(|(model, version)| (model, *version))
        });
        held.map_or_else(WeightsBasis::default, |(model, version)| WeightsBasis {
            version,
            outdated_for: self.outdated_for(model, version, now),
            uncertainty: self
                .successor(model, version)
                .map_or(Duration::ZERO, Announcement::uncertainty),
            begin_by: self.begin_by(model, version),
        })
    }

    /// Limits in time for requests on older weights.
    pub(super) fn version_limits(&self) -> VersionLimits {
        let bound = Duration::from_millis(self.cfg.bounds.weights_ms);
        VersionLimits {
            send_for: bound.mul_f64(OLD_WEIGHTS_FRACTION),
            begin_within: bound.saturating_sub(BEGIN_MARGIN + self.loop_lag.borrow().max()),
            min_begin_time: MIN_BEGIN_TIME,
        }
    }

    /// The oldest version of `model` whose bound is not before `time`.
    pub(super) fn oldest_version_until(&self, model: &str, time: Time) -> u64 {
        let limits = self.version_limits();
        let versions = self.versions.borrow();
        versions
            .get(model)
            .map_or(0, |versions| handover::oldest_without_bound_before(versions, &limits, time))
    }

    fn begin_by(&self, model: &str, version: u64) -> Option<Time> {
        self.versions.borrow().get(model)?.begin_by(version, &self.version_limits())
    }

    fn successor(&self, model: &str, version: u64) -> Option<Announcement> {
        self.versions.borrow().get(model)?.successor(version)
    }

    fn outdated_for(&self, model: &str, version: u64, now: Time) -> Option<Duration> {
        Some(now.since(self.successor(model, version)?.latest()))
    }

    /// Logs a request that has begun on a version which may not have served it any more. `events` are the first of
    /// its answer if that is a stream.
    pub(super) fn check_answering_version(
        &self,
        call: &Call,
        response: &AttemptResponse,
        events: Option<&Bytes>,
    ) {
        let now = self.now();
        let in_events = events.and_then(|events| answer::weights_of_first_event(events));
        let answering = in_events.or_else(|| answer::weights_of_head(response.response.headers()));
        let (Some(version), Some(model)) = (answering, call.head.model.as_deref()) else {
            return;
        };
        let bound = Duration::from_millis(self.cfg.bounds.weights_ms);
        let outdated_for = self.outdated_for(model, version, now);
        let Some(late) = outdated_for.and_then(|age| age.checked_sub(bound)) else {
            return;
        };
        let basis = self.weights_basis(call, &response.record, now);
        self.metrics.count("begun_on_outdated_weights");
        slog::warn!(self.log, "request began on outdated weights";
            "id" => call.head.id.as_deref().unwrap_or_default(),
            "endpoint" => response.record.id.as_str(), "weights" => version,
            "expected" => basis.version, "outdated_ms" => basis.outdated_ms(),
            "uncertainty_ms" => basis.uncertainty.as_millis() as u64,
            "late_ms" => late.as_millis() as u64,
            "sent_ms" => now.since(response.sent_at).as_millis() as u64,
            "report_age_ms" => self.report_age_ms(response.place.endpoint));
    }
}
