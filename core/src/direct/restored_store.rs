//! What is known from before the store came back from a copy.
//!
//! The copy is some seconds old: it shows endpoints that have been removed since, and zones in service that have been
//! taken out. Operators and endpoints write again what was lost, but until then what was known holds.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::endpoint::EndpointRecord;
use super::leaving::EndpointProcess;
use super::leaving::LeavingProcesses;
use crate::ids::StorePosition;
use crate::ids::ZoneName;
use crate::time::Time;

/// Time for which what was known holds if nobody writes it again. Within it the records of endpoints that have ended
/// expire.
pub const GRACE_PERIOD: Duration = Duration::from_secs(10);

/// Facts of an earlier era that the store may not show any more.
#[derive(Debug, Default)]
pub(super) struct RestoredStore {
    /// Processes whose records were removed.
    removed: LeavingProcesses,
    /// The first list of the present era, and when it was received; `None` in the first era that is known.
    first_list: Option<(StorePosition, Time)>,
    /// Whether records were ignored as obsolete since then.
    has_ignored: bool,
    /// Zones out of service that the present era has not shown so, each with the time until which they stay so.
    evacuated: HashMap<ZoneName, Time>,
}

impl RestoredStore {
    /// Records that the record of a process was removed.
    pub(super) fn record_removed(&mut self, process: EndpointProcess, now: Time) {
        self.removed.record(process, now);
    }

    /// Records the endpoint list of an era that is later than the one known before.
    pub(super) fn begin_era(&mut self, as_of: StorePosition, now: Time) {
        self.first_list = Some((as_of, now));
    }

    /// Whether a record was written before the store came back from a copy, by a process that was removed since.
    fn is_obsolete(&self, record: &EndpointRecord, now: Time) -> bool {
        let Some((first, received_at)) = self.first_list else {
            return false;
        };
        record.revision <= first
            && !now.passed(received_at, GRACE_PERIOD)
            && self.removed.contains(EndpointProcess::of(record), now)
    }

    /// Removes obsolete records from a list, but for those of endpoints that `is_known`.
    pub(super) fn remove_obsolete(
        &mut self,
        records: &mut Vec<EndpointRecord>,
        is_known: impl Fn(&EndpointRecord) -> bool,
        now: Time,
    ) {
        let count = records.len();
        records.retain(|record| is_known(record) || !self.is_obsolete(record, now));
        self.has_ignored |= records.len() < count;
    }

    /// Whether the endpoints must be listed again, as records that were ignored may have been written again without a
    /// change.
    pub(super) fn take_relist_due(&mut self, now: Time) -> bool {
        let is_over = self.first_list.is_some_and(|(_, at)| now.passed(at, GRACE_PERIOD));
        is_over && std::mem::take(&mut self.has_ignored)
    }

    /// Keeps the zones out of service that a later era does not show as such.
    pub(super) fn retain_evacuated(&mut self, zones: impl Iterator<Item = ZoneName>, now: Time) {
        self.evacuated.extend(zones.map(|zone| (zone, now + GRACE_PERIOD)));
    }

    /// The zones that are out of service if the store shows `zones`.
    pub(super) fn with_retained(&mut self, zones: HashSet<ZoneName>) -> HashSet<ZoneName> {
        self.evacuated.retain(|zone, _| !zones.contains(zone));
        zones.into_iter().chain(self.evacuated.keys().cloned()).collect()
    }

    /// The zones that nobody has taken out of service again in time.
    pub(super) fn take_expired(&mut self, now: Time) -> Vec<ZoneName> {
        self.evacuated.extract_if(|_, until| now >= *until).map(|(zone, _)| zone).collect()
    }
}
