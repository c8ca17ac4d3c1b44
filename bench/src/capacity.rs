//! Measures the resource use of idle fleets; `docs/CAPACITY.md` is based on its slopes.
//!
//! Fleets of three sizes run with agents added and with entries added. The slope of the fitted line
//! is the cost of one more process. The intercept is the cost of the stand-ins and the bench itself
//! and is left out.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Config;
use mastichaven_core::ids::Digest;
use serde::Serialize;

use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Result;

/// Model agents in each of three zones that have one entry each.
const AGENTS_PER_ZONE: [usize; 3] = [2, 4, 8];

/// Entries in each of three zones that have two model agents each.
const ENTRIES_PER_ZONE: [usize; 3] = [1, 2, 4];

/// Delay from the start of a fleet to its measurement.
const SETTLE_DELAY: Duration = Duration::from_secs(4);

const MEASUREMENT_WINDOW: Duration = Duration::from_secs(5);

/// Unit of the times in `/proc`: `USER_HZ`, which is 100 on every current Linux.
const TICKS_PER_SECOND: f64 = 100.0;

const PAGE_BYTES: f64 = 4_096.0;

/// Measurements of one fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Size {
    /// Entries in all zones.
    pub entries: usize,
    /// Agents in all zones, the agent of the plain service included.
    pub agents: usize,
    /// Platform reads per second.
    pub reads: f64,
    /// Platform writes per second.
    pub writes: f64,
    /// Watch calls answered per second.
    pub watches: f64,
    /// Datagram payload between the processes in bytes per second, without headers.
    pub peer_bytes: f64,
    /// Resident memory in bytes, stand-ins included.
    pub memory: f64,
    /// Bytes of one entry's dump.
    pub entry_state: usize,
    /// Bytes of one agent's dump.
    pub agent_state: usize,
    /// Processor time per second, as a share of one core, by thread name.
    pub cores: BTreeMap<String, f64>,
}

/// Cost of one more process: the least-squares slopes over the sizes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Slope {
    /// Platform reads per second.
    pub reads: f64,
    /// Platform writes per second.
    pub writes: f64,
    /// Watch calls answered per second.
    pub watches: f64,
    /// Datagram payload between the processes in bytes per second.
    pub peer_bytes: f64,
    /// Resident memory in bytes.
    pub memory: f64,
    /// Share of one core, without the threads of the stand-ins.
    pub cores: f64,
    /// Bytes added to one entry's dump.
    pub entry_state: f64,
    /// Bytes added to one agent's dump.
    pub agent_state: f64,
}

/// Figures of all fleets and the slopes fitted to them.
#[derive(Clone, Debug, Serialize)]
pub struct Capacity {
    /// Fleets with agents added.
    pub by_agents: Vec<Size>,
    /// Fleets with entries added.
    pub by_entries: Vec<Size>,
    /// Cost of one more agent.
    pub agent: Slope,
    /// Cost of one more entry.
    pub entry: Slope,
}

/// Measures fleets of all sizes, prints the figures and writes them to `json` if given.
pub fn run(json: Option<&Path>) -> Result<()> {
    let by_agents: Vec<Size> =
        AGENTS_PER_ZONE.iter().map(|n| measure_fleet(1, *n)).collect::<Result<_>>()?;
    let by_entries: Vec<Size> =
        ENTRIES_PER_ZONE.iter().map(|n| measure_fleet(*n, 2)).collect::<Result<_>>()?;
    let agent = fit_slope(&by_agents, |size| size.agents as f64);
    let entry = fit_slope(&by_entries, |size| size.entries as f64);
    let capacity = Capacity { by_agents, by_entries, agent, entry };
    let text = serde_json::to_string_pretty(&capacity).map_err(|e| e.to_string())?;
    println!("{text}");
    match json {
        Some(file) => fs::write(file, text + "\n").map_err(|e| e.to_string()),
        None => Ok(()),
    }
}

fn measure_fleet(entries: usize, engines: usize) -> Result<Size> {
    let layout = Layout { entries, engines, peer_proxies: true, ..Layout::default() };
    let fleet = Fleet::start(&layout)?;
    fleet.publish(&configuration()?)?;
    thread::sleep(SETTLE_DELAY);
    let (calls_before, cpu_before, bytes_before) =
        (fleet.platform.calls(), thread_cpu_seconds(), peer_bytes(&fleet));
    let started = Instant::now();
    thread::sleep(MEASUREMENT_WINDOW);
    let elapsed = started.elapsed().as_secs_f64();
    let calls_after = fleet.platform.calls();
    let cpu_after = thread_cpu_seconds();
    let core_share = |(name, seconds): (&String, &f64)| {
        let before = cpu_before.get(name).copied().unwrap_or(0.0);
        (name.clone(), (seconds - before).max(0.0) / elapsed)
    };
    let entry = fleet.entries.values().next().ok_or("no entry")?.operators_addr();
    let agent = fleet.agents.values().next().ok_or("no agent")?.operators_addr();
    let size = Size {
        entries: fleet.entries.len(),
        agents: fleet.agents.len(),
        reads: (calls_after.reads - calls_before.reads) as f64 / elapsed,
        writes: (calls_after.writes - calls_before.writes) as f64 / elapsed,
        watches: (calls_after.watches - calls_before.watches) as f64 / elapsed,
        peer_bytes: (peer_bytes(&fleet) - bytes_before) / elapsed,
        memory: resident_memory(),
        entry_state: dump_len(entry),
        agent_state: dump_len(agent),
        cores: cpu_after.iter().map(core_share).collect(),
    };
    println!("{} entries, {} agents measured", size.entries, size.agents);
    fleet.stop();
    Ok(size)
}

fn fit_slope(sizes: &[Size], count: impl Fn(&Size) -> f64) -> Slope {
    let slope_of = |value: &dyn Fn(&Size) -> f64| {
        let n = sizes.len() as f64;
        let mean_x = sizes.iter().map(&count).sum::<f64>() / n;
        let mean_y = sizes.iter().map(value).sum::<f64>() / n;
        let covariance_term = |size: &Size| (count(size) - mean_x) * (value(size) - mean_y);
        let variance_term = |size: &Size| (count(size) - mean_x).powi(2);
        sizes.iter().map(covariance_term).sum::<f64>()
            / sizes.iter().map(variance_term).sum::<f64>()
    };
    let fleet_cores = |size: &Size| {
        let is_standin = |name: &str| name.starts_with("standin") || name == "datagrams";
        size.cores.iter().filter(|(name, _)| !is_standin(name)).map(|(_, share)| *share).sum()
    };
    Slope {
        reads: slope_of(&|size| size.reads),
        writes: slope_of(&|size| size.writes),
        watches: slope_of(&|size| size.watches),
        peer_bytes: slope_of(&|size| size.peer_bytes),
        memory: slope_of(&|size| size.memory),
        cores: slope_of(&fleet_cores),
        entry_state: slope_of(&|size| size.entry_state as f64),
        agent_state: slope_of(&|size| size.agent_state as f64),
    }
}

/// Processor time in seconds by thread name.
fn thread_cpu_seconds() -> BTreeMap<String, f64> {
    let mut seconds = BTreeMap::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return seconds;
    };
    for task in tasks.flatten() {
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        if let Some((name, spent)) = parse_task_stat(&stat) {
            *seconds.entry(name).or_default() += spent;
        }
    }
    seconds
}

/// Parses the thread name and the sum of user and system time in seconds from a `stat` file.
fn parse_task_stat(stat: &str) -> Option<(String, f64)> {
    const USER_TIME_FIELD: usize = 11;
    let (prefix, fields) = stat.rsplit_once(") ")?;
    let (_, name) = prefix.split_once('(')?;
    let times = fields.split(' ').skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    Some((name.to_owned(), ticks / TICKS_PER_SECOND))
}

fn resident_memory() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn peer_bytes(fleet: &Fleet) -> f64 {
    fleet.peer_proxies.values().map(|proxy| proxy.forwarded_bytes() as f64).sum()
}

fn dump_len(operators: SocketAddr) -> usize {
    let dump = minreq::get(format!("http://{operators}/dump")).with_timeout(5).send();
    dump.map_or(0, |dump| dump.as_bytes().len())
}

fn configuration() -> Result<Config> {
    let text = format!(
        r#"
        [zone.lagoa]
        region = "sul"
        [zone.serra]
        region = "sul"
        [zone.litoral]
        region = "costa"
        [customer.coop]
        key_digest = "{}"
        [service.booking]
        kind = "plain"
        [route.booking]
        path = "/book"
        service = "booking"
        "#,
        Digest::of(CUSTOMER_KEY.as_bytes()).to_hex()
    );
    toml::from_str(&text).map_err(|e| e.to_string())
}
