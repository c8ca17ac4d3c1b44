//! Tests of the endpoint table.

mod ejection;
mod leaving;
mod pace;
mod pauses;
mod selection;
mod subset;
mod updates;

use std::collections::HashMap;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::endpoint_table::Requirements;
use mastichaven_core::direct::endpoint_table::Unavailable;
use mastichaven_core::direct::priority::Reservation;
use mastichaven_core::direct::work::RequestWork;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::RegionName;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::StorePosition;
use mastichaven_core::ids::ZoneName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 16;
pub(super) const ROUND_TRIP: Duration = Duration::from_millis(3);
/// Draw that grants an entry every place for which it decides.
const DRAW: f64 = 0.99;

pub(super) fn now(ms: u64) -> Time {
    Time::from_millis(ms)
}

pub(super) fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn table() -> EndpointTable {
    table_on("entry-1")
}

pub(super) fn table_on(host: &str) -> EndpointTable {
    let zones = [("lagoa", "south"), ("serra", "hills"), ("litoral", "coast")];
    let regions: HashMap<ZoneName, RegionName> =
        zones.iter().map(|(zone, region)| (ZoneName::new(zone), RegionName::new(region))).collect();
    EndpointTable::new(HostName::new(host), ZoneName::new("lagoa"), regions)
}

pub(super) fn address(n: u8) -> std::net::SocketAddr {
    ([10, 0, 0, n], 80).into()
}

pub(super) fn record(n: u8, zone: &str) -> EndpointRecord {
    EndpointRecord {
        id: format!("i-{n}").into(),
        revision: StorePosition::new(0, 1),
        service: ServiceName::new("redator"),
        address: address(n),
        zone: ZoneName::new(zone),
        slots: SLOTS,
        is_draining: false,
        cold_remaining: Duration::ZERO,
        weights: vec![("m".into(), 1)],
        is_engine: true,
        started_ms: 0,
    }
}

fn report(running: u32) -> LoadReport {
    report_shared_by(1, running)
}

/// Report of an endpoint whose free places `readers` entries share.
pub(super) fn report_shared_by(readers: u32, running: u32) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        is_accepting: true,
        ready_in: None,
        weights: vec![("m".into(), 1)],
        started_ms: 0,
        entries: 8,
        readers,
        is_count_complete: true,
        relay: None,
        root: None,
    }
}

fn choose(table: &mut EndpointTable, at: Time) -> Result<EndpointKey, Unavailable> {
    choose_with(table, at, &mut rng())
}

fn choose_with(
    table: &mut EndpointTable,
    at: Time,
    rng: &mut ChaCha8Rng,
) -> Result<EndpointKey, Unavailable> {
    choose_for(table, false, at, rng)
}

fn choose_for(
    table: &mut EndpointTable,
    is_late: bool,
    at: Time,
    rng: &mut ChaCha8Rng,
) -> Result<EndpointKey, Unavailable> {
    choose_work(table, is_late, None, at, rng)
}

fn choose_work(
    table: &mut EndpointTable,
    is_late: bool,
    work: Option<RequestWork>,
    at: Time,
    rng: &mut ChaCha8Rng,
) -> Result<EndpointKey, Unavailable> {
    let service = ServiceName::new("redator");
    let requirements = Requirements {
        service: &service,
        model: Some(("m", 1)),
        regions: [&[], &[]],
        tried: &[],
        cold_per_second: 36.0,
        is_late,
        reservation: Reservation::NONE,
        yields_turns: false,
        work,
    };
    table.choose(&requirements, at, rng)
}

fn chosen_id(table: &mut EndpointTable, at: Time) -> String {
    let key = choose(table, at).expect("an endpoint");
    table.get(key).expect("in the table").id.to_string()
}

fn choose_and_send(
    table: &mut EndpointTable,
    at: Time,
    rng: &mut ChaCha8Rng,
) -> Result<(), Unavailable> {
    let key = choose_with(table, at, rng)?;
    table.record_sent(key, at);
    table.record_finished(key);
    Ok(())
}
