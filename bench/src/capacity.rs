//! What an idle fleet costs as it grows: the slopes behind `docs/CAPACITY.md`.
//!
//! Fleets of three sizes run with agents added and with entries added. The slope between sizes is
//! what one more process costs; the start of the line is what the stand-ins and the bench itself
//! cost, and is left out.

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

/// Agents in each of three zones, beside one entry.
const AGENTS: [usize; 3] = [2, 4, 8];

/// Entries in each of three zones, beside two agents.
const ENTRIES: [usize; 3] = [1, 2, 4];

/// How long a fleet settles before it is measured.
const SETTLE: Duration = Duration::from_secs(4);

/// How long it is measured.
const WINDOW: Duration = Duration::from_secs(5);

/// Ticks a second of the times in `/proc`, the same on every Linux of today.
const TICKS: f64 = 100.0;

/// Bytes of a page.
const PAGE_LEN: f64 = 4_096.0;

/// A fleet that was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Agents.
    pub agents: usize,
    /// Platform reads a second.
    pub reads: f64,
    /// Platform writes a second.
    pub writes: f64,
    /// Watches answered a second.
    pub watches: f64,
    /// Bytes a second between the processes, as datagrams without their headers.
    pub peer_bytes: f64,
    /// Resident memory in bytes, stand-ins included.
    pub memory: f64,
    /// Bytes of one entry's state as dumped.
    pub entry_state: usize,
    /// Bytes of one agent's state as dumped.
    pub agent_state: usize,
    /// Share of a core by thread name.
    pub cores: BTreeMap<String, f64>,
}

/// What one more process costs, as the least-squares slope over the sizes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Slope {
    /// Platform reads a second.
    pub reads: f64,
    /// Platform writes a second.
    pub writes: f64,
    /// Watches a second.
    pub watches: f64,
    /// Bytes a second between the processes.
    pub peer_bytes: f64,
    /// Bytes of memory.
    pub memory: f64,
    /// Share of a core, threads of the stand-ins left out.
    pub cores: f64,
    /// Bytes that each entry's state grows by.
    pub entry_state: f64,
    /// Bytes that each agent's state grows by.
    pub agent_state: f64,
}

/// All figures.
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

/// Measures all sizes.
pub fn run(json: Option<&Path>) -> Result<()> {
    let by_agents: Vec<Size> = AGENTS.iter().map(|n| measure(1, *n)).collect::<Result<_>>()?;
    let by_entries: Vec<Size> = ENTRIES.iter().map(|n| measure(*n, 2)).collect::<Result<_>>()?;
    let agent = slope(&by_agents, |size| size.agents as f64);
    let entry = slope(&by_entries, |size| size.entries as f64);
    let capacity = Capacity { by_agents, by_entries, agent, entry };
    let text = serde_json::to_string_pretty(&capacity).map_err(|e| e.to_string())?;
    println!("{text}");
    match json {
        Some(file) => fs::write(file, text + "\n").map_err(|e| e.to_string()),
        None => Ok(()),
    }
}

fn measure(entries: usize, engines: usize) -> Result<Size> {
    let layout = Layout { entries, engines, ways: true, ..Layout::default() };
    let fleet = Fleet::start(&layout)?;
    fleet.publish(&configuration()?)?;
    thread::sleep(SETTLE);
    let (calls, cores, bytes) = (fleet.platform.calls(), thread_seconds(), peer_bytes(&fleet));
    let started = Instant::now();
    thread::sleep(WINDOW);
    let span = started.elapsed().as_secs_f64();
    let after = fleet.platform.calls();
    let spent = thread_seconds();
    let share = |(name, seconds): (&String, &f64)| {
        let before = cores.get(name).copied().unwrap_or(0.0);
        (name.clone(), (seconds - before).max(0.0) / span)
    };
    let entry = fleet.entries.values().next().ok_or("no entry")?.operators_addr();
    let agent = fleet.agents.values().next().ok_or("no agent")?.operators_addr();
    let size = Size {
        entries: fleet.entries.len(),
        agents: fleet.agents.len(),
        reads: (after.reads - calls.reads) as f64 / span,
        writes: (after.writes - calls.writes) as f64 / span,
        watches: (after.watches - calls.watches) as f64 / span,
        peer_bytes: (peer_bytes(&fleet) - bytes) / span,
        memory: memory(),
        entry_state: state_len(entry),
        agent_state: state_len(agent),
        cores: spent.iter().map(share).collect(),
    };
    println!("{} entries, {} agents measured", size.entries, size.agents);
    fleet.stop();
    Ok(size)
}

fn slope(sizes: &[Size], count: impl Fn(&Size) -> f64) -> Slope {
    let line = |value: &dyn Fn(&Size) -> f64| {
        let n = sizes.len() as f64;
        let mean_x = sizes.iter().map(&count).sum::<f64>() / n;
        let mean_y = sizes.iter().map(value).sum::<f64>() / n;
        let over = |size: &Size| (count(size) - mean_x) * (value(size) - mean_y);
        let under = |size: &Size| (count(size) - mean_x).powi(2);
        sizes.iter().map(over).sum::<f64>() / sizes.iter().map(under).sum::<f64>()
    };
    let own = |size: &Size| {
        let standin = |name: &str| name.starts_with("standin") || name == "datagrams";
        size.cores.iter().filter(|(name, _)| !standin(name)).map(|(_, share)| *share).sum()
    };
    Slope {
        reads: line(&|size| size.reads),
        writes: line(&|size| size.writes),
        watches: line(&|size| size.watches),
        peer_bytes: line(&|size| size.peer_bytes),
        memory: line(&|size| size.memory),
        cores: line(&own),
        entry_state: line(&|size| size.entry_state as f64),
        agent_state: line(&|size| size.agent_state as f64),
    }
}

/// Seconds of processor time by thread name.
fn thread_seconds() -> BTreeMap<String, f64> {
    let mut seconds = BTreeMap::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return seconds;
    };
    for task in tasks.flatten() {
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        if let Some((name, spent)) = scan_stat(&stat) {
            *seconds.entry(name).or_default() += spent;
        }
    }
    seconds
}

/// Name, and user and system time of one line of `stat`.
fn scan_stat(stat: &str) -> Option<(String, f64)> {
    const USER_AT: usize = 11;
    let (head, tail) = stat.rsplit_once(") ")?;
    let (_, name) = head.split_once('(')?;
    let times = tail.split(' ').skip(USER_AT).take(2);
    let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    Some((name.to_owned(), ticks / TICKS))
}

fn memory() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_LEN
}

fn peer_bytes(fleet: &Fleet) -> f64 {
    fleet.ways.values().map(|way| way.forwarded_bytes() as f64).sum()
}

fn state_len(operators: SocketAddr) -> usize {
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
