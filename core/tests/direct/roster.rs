//! The roster of endpoints.

mod choosing;
mod coverage;
mod listing;
mod resting;

use std::collections::HashMap;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint::Listed;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::roster::Need;
use mastichaven_core::direct::roster::Roster;
use mastichaven_core::direct::roster::Unavailable;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::RegionName;
use mastichaven_core::ids::Revision;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::ZoneName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 16;
const NEAR: Duration = Duration::from_millis(3);
/// Gives an entry every place that is shared by drawing.
const DRAW: f64 = 0.99;

fn now(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn roster() -> Roster {
    roster_on("entry-1")
}

fn roster_on(host: &str) -> Roster {
    let zones = [("lagoa", "south"), ("serra", "hills"), ("litoral", "coast")];
    let regions: HashMap<ZoneName, RegionName> =
        zones.iter().map(|(zone, region)| (ZoneName::new(zone), RegionName::new(region))).collect();
    Roster::new(HostName::new(host), ZoneName::new("lagoa"), regions)
}

fn address(n: u8) -> std::net::SocketAddr {
    ([10, 0, 0, n], 80).into()
}

fn listed(n: u8, zone: &str) -> Listed {
    Listed {
        id: format!("i-{n}").into(),
        revision: Revision(1),
        service: ServiceName::new("redator"),
        address: address(n),
        zone: ZoneName::new(zone),
        slots: SLOTS,
        is_draining: false,
        cold_for: Duration::ZERO,
        weights: vec![("m".into(), 1)],
        is_engine: true,
        born: 0,
    }
}

fn report(running: u32) -> LoadReport {
    report_to(1, running)
}

/// A report that as many entries share.
fn report_to(readers: u32, running: u32) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        accepts: true,
        ready_in: None,
        weights: vec![("m".into(), 1)],
        born: 0,
        entries: 8,
        readers,
        is_count_complete: true,
        relay: None,
        root: None,
    }
}

fn choose(roster: &mut Roster, at: Time) -> Result<EndpointKey, Unavailable> {
    choose_with(roster, at, &mut rng())
}

fn choose_with(
    roster: &mut Roster,
    at: Time,
    rng: &mut ChaCha8Rng,
) -> Result<EndpointKey, Unavailable> {
    choose_for(roster, false, at, rng)
}

fn choose_for(
    roster: &mut Roster,
    is_late: bool,
    at: Time,
    rng: &mut ChaCha8Rng,
) -> Result<EndpointKey, Unavailable> {
    let service = ServiceName::new("redator");
    let need = Need {
        service: &service,
        model: Some(("m", 1)),
        regions: [&[], &[]],
        tried: &[],
        cold_per_second: 36.0,
        is_late,
    };
    roster.choose(&need, at, rng)
}

fn chosen(roster: &mut Roster, at: Time) -> String {
    let key = choose(roster, at).expect("an endpoint");
    roster.get(key).expect("on the roster").id.to_string()
}

fn choose_and_send(roster: &mut Roster, at: Time, rng: &mut ChaCha8Rng) -> Result<(), Unavailable> {
    let key = choose_with(roster, at, rng)?;
    roster.sent(key, at);
    roster.left(key);
    Ok(())
}
