//! Experiment: time and traffic until every host has a complete version.
//!
//! Each host runs the weight threads, store and transport of the agent over loopback; only its link
//! is simulated, by a token bucket of this process. The figure to compare is time ÷ lower bound,
//! where the lower bound is the size of the model ÷ the rate of the link of one host.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use mastichaven_bench::fleet::Result;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::swarm::Counts;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_core::swarm::Strategy;
use mastichaven_core::wire::Sender;
use mastichaven_node::clock::Clock;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::origin::Origin as OriginClient;
use mastichaven_node::telemetry::Telemetry;
use mastichaven_node::tls::DevelopmentCa;
use mastichaven_node::tls::Role;
use mastichaven_node::transport::Transport;
use mastichaven_node::weights::PeerAddress;
use mastichaven_node::weights::Setup;
use mastichaven_node::weights::Store;
use mastichaven_node::weights::WantedVersions;
use mastichaven_node::weights::Weights;
use mastichaven_standins::Origin;
use mastichaven_standins::Platform;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

mod faults;
mod net;

use faults::Faults;
use net::HostLink;
use net::Net;
use net::Rates;
use net::location_of;

const ANY: &str = "127.0.0.1:0";
const MODEL_LEN: usize = 2 << 20;
const CHUNK_LEN: u32 = 16 << 10;
const HOST_BYTES_PER_SECOND: f64 = 256.0 * 1024.0;

/// The origin's link carries twice what one host's does, as in the users' window (four copies, two).
const ORIGIN_BYTES_PER_SECOND: f64 = 2.0 * HOST_BYTES_PER_SECOND;
const REGION_BYTES_PER_SECOND: f64 = 2.0 * HOST_BYTES_PER_SECOND;
const ORIGIN_COPIES: f64 = 1.3;
const STORE_LEN: u64 = 64 << 20;

/// A run that takes longer than this many lower bounds is stopped and reported as unfinished.
const MAX_LOWER_BOUNDS: f64 = 3.0;

/// Interval at which completion is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Size and limits of the version that is distributed before the measured one.
const WARM_UP_CHUNKS: usize = 96;
const WARM_UP_CHUNK_LEN: u32 = 64;
const WARM_UP_COPIES: f64 = 4.0;
const WARM_UP_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of a request in bytes, without the overhead of QUIC.
const REQUEST_LEN: u64 = 100;

const DEFAULT_HOST_COUNT: usize = 200;

/// Options of the `weights` command.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(options))]
pub struct Options {
    /// Number of hosts; may be given several times
    #[bpaf(argument("N"), many)]
    hosts: Vec<usize>,
    /// Run only the swarm, without the other ways
    swarm_only: bool,
    /// Leave out the run with faults
    no_faults: bool,
    /// Run only with faults
    faults_only: bool,
    /// Also write the figures to this file
    #[bpaf(argument("FILE"), optional)]
    json: Option<PathBuf>,
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
struct Figures {
    way: &'static str,
    hosts: usize,
    faults: bool,
    finished: usize,
    lower_bound_seconds: f64,
    seconds: f64,
    time_over_lower_bound: f64,
    first_host_over_lower_bound: f64,
    half_over_lower_bound: f64,
    nine_tenths_over_lower_bound: f64,
    origin_copies: f64,
    most_copies_into_a_region: f64,
    most_copies_out_of_a_region: f64,
    most_copies_into_a_zone: f64,
    control_messages_per_host_second: f64,
    control_bytes_per_host_second: f64,
    polls_per_host: f64,
    asks_per_host: f64,
    doubled: u64,
    corrupt: u64,
    failed: u64,
}

/// Runs the experiment for each number of hosts, prints the figures, and writes them to the file
/// that the options name.
pub fn run(options: &Options) -> Result<()> {
    let hosts =
        if options.hosts.is_empty() { vec![DEFAULT_HOST_COUNT] } else { options.hosts.clone() };
    let mut all = Vec::new();
    println!(
        "model {} KiB in {} chunks, host link {} KiB/s, origin and region links {} KiB/s",
        MODEL_LEN >> 10,
        MODEL_LEN / CHUNK_LEN as usize,
        HOST_BYTES_PER_SECOND / 1024.0,
        ORIGIN_BYTES_PER_SECOND / 1024.0
    );
    println!(
        "{:<8} {:>5} {:>6} {:>9} {:>9} {:>7} {:>7} {:>7} {:>8} {:>9}",
        "way",
        "hosts",
        "faults",
        "finished",
        "time/low",
        "origin",
        "region",
        "zone",
        "msg/h/s",
        "B/h/s"
    );
    for count in hosts {
        for (name, strategy, faults) in planned_runs(options) {
            let figures = measure_rollout(name, strategy, count, faults)?;
            print_row(&figures);
            all.push(figures);
        }
    }
    if let Some(file) = &options.json {
        let text = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
        fs::write(file, text + "\n").map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn planned_runs(options: &Options) -> Vec<(&'static str, Strategy, bool)> {
    let mut runs = Vec::new();
    if !options.swarm_only && !options.faults_only {
        runs.push(("origin", Strategy::Origin, false));
        runs.push(("chain", Strategy::Chain, false));
        runs.push(("trees", Strategy::Trees(2), false));
    }
    if !options.faults_only {
        runs.push(("swarm", Strategy::Swarm, false));
    }
    if !options.no_faults {
        runs.push(("swarm", Strategy::Swarm, true));
    }
    runs
}

fn print_row(f: &Figures) {
    println!(
        "{:<8} {:>5} {:>6} {:>4}/{:<4} {:>9.2} {:>7.2} {:>7.2} {:>7.2} {:>8.1} {:>9.0}",
        f.way,
        f.hosts,
        f.faults,
        f.finished,
        f.hosts,
        f.time_over_lower_bound,
        f.origin_copies,
        f.most_copies_into_a_region,
        f.most_copies_into_a_zone,
        f.control_messages_per_host_second,
        f.control_bytes_per_host_second
    );
}

struct Host {
    location: PeerLocation,
    transport: Transport,
    weights: Weights,
}

struct Run {
    net: Arc<Net>,
    origin: Origin,
    hosts: Vec<Host>,
    _platform: Platform,
}

fn name_of(n: usize) -> HostName {
    HostName::new(format!("host-{n:03}"))
}

fn start(strategy: Strategy, count: usize) -> Result<Run> {
    let io = |e: std::io::Error| e.to_string();
    let names: Vec<HostName> = (0..count).map(name_of).collect();
    let rates = Rates {
        host: HOST_BYTES_PER_SECOND,
        region: REGION_BYTES_PER_SECOND,
        origin: ORIGIN_BYTES_PER_SECOND,
    };
    let net = Net::new(&names, rates);
    let origin = Origin::start(ANY, rates.origin).map_err(io)?;
    let platform = Platform::start(ANY).map_err(io)?;
    let ca = DevelopmentCa::generate().map_err(|e| e.to_string())?;
    let clock = Clock::start();
    let mut hosts = Vec::new();
    for n in 0..count {
        hosts.push(start_host(n, strategy, &ca, &net, &origin, &platform, clock)?);
    }
    Ok(Run { net, origin, hosts, _platform: platform })
}

fn start_host(
    n: usize,
    strategy: Strategy,
    ca: &DevelopmentCa,
    net: &Arc<Net>,
    origin: &Origin,
    platform: &Platform,
    clock: Clock,
) -> Result<Host> {
    let (zone, region) = location_of(n);
    let location = PeerLocation {
        host: name_of(n),
        zone: format!("zone-{zone}").as_str().into(),
        region: format!("region-{region}").as_str().into(),
    };
    let material = ca.material(&location.host, Role::Agent).map_err(|e| e.to_string())?;
    let (tx, rx) = flume::bounded(1_024);
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let transport = Transport::start(address, &material, tx).map_err(|e| e.to_string())?;
    let from = Sender { host: location.host.clone(), ..Sender::default() };
    let weights = Weights::start(Setup {
        location: location.clone(),
        strategy,
        origin_region: Some("region-0".into()),
        transport: transport.clone(),
        store: Arc::new(Store::in_memory(STORE_LEN)),
        origin: OriginClient::new(origin.base_for(location.host.as_str())),
        platform: Arc::new(HttpStore::new(platform.base())),
        link: Arc::new(HostLink { net: net.clone(), host_index: n }),
        clock,
        telemetry: Telemetry::silent(),
        sender: Arc::new(move || from.clone()),
    });
    let server = weights.server();
    thread::spawn(move || {
        while let Ok(incoming) = rx.recv() {
            server.serve(incoming);
        }
    });
    Ok(Host { location, transport, weights })
}

/// Distributes one version to `count` hosts and measures it.
fn measure_rollout(
    name: &'static str,
    strategy: Strategy,
    count: usize,
    faults: bool,
) -> Result<Figures> {
    let run = start(strategy, count)?;
    let mut weights = vec![0; MODEL_LEN];
    ChaCha8Rng::seed_from_u64(1).fill(&mut weights[..]);
    let version = run.origin.put(&weights, CHUNK_LEN).digest();
    let peers: Vec<PeerAddress> = run
        .hosts
        .iter()
        .map(|host| PeerAddress {
            location: host.location.clone(),
            address: host.transport.local_addr(),
        })
        .collect();
    for host in &run.hosts {
        host.weights.set_peers(peers.clone());
    }
    let lower_bound = Duration::from_secs_f64(MODEL_LEN as f64 / HOST_BYTES_PER_SECOND);
    // When every host pulls from the origin, one copy per host leaves it. The other strategies have
    // to stay within the origin budget.
    let origin_copies = if strategy == Strategy::Origin { count as f64 } else { ORIGIN_COPIES };
    warm_up(&run, strategy);
    let baseline = Baseline {
        traffic: run.net.traffic(),
        sent: run.origin.sent_to(),
        counts: counts_of(&run),
    };
    let started = Instant::now();
    for host in &run.hosts {
        host.weights.set_wanted(WantedVersions { versions: vec![version], origin_copies });
    }
    let mut schedule = Faults::new(faults, count, lower_bound);
    let mut milestones = Milestones::default();
    let limit = lower_bound.mul_f64(MAX_LOWER_BOUNDS);
    let mut finished = 0;
    while started.elapsed() < limit {
        schedule.apply_due(started.elapsed(), &run);
        finished = count_complete_hosts(&run, version, &schedule.killed);
        milestones.record(finished, count, started.elapsed());
        if finished == count - schedule.killed.len() && schedule.is_finished() {
            break;
        }
        thread::sleep(POLL_INTERVAL);
    }
    let seconds = started.elapsed().as_secs_f64();
    let timing = Timing { finished, seconds, lower_bound: lower_bound.as_secs_f64(), milestones };
    Ok(figures_of(name, &run, faults, &baseline, &timing))
}

/// Distributes a tiny version first, so that the hosts are connected as after an earlier rollout.
/// In a fleet each host has a processor for its handshakes; here one machine does all of them.
fn warm_up(run: &Run, strategy: Strategy) {
    let mut weights = vec![0; WARM_UP_CHUNKS * WARM_UP_CHUNK_LEN as usize];
    ChaCha8Rng::seed_from_u64(2).fill(&mut weights[..]);
    let version = run.origin.put(&weights, WARM_UP_CHUNK_LEN).digest();
    let origin_copies =
        if strategy == Strategy::Origin { run.hosts.len() as f64 } else { WARM_UP_COPIES };
    for host in &run.hosts {
        host.weights.set_wanted(WantedVersions { versions: vec![version], origin_copies });
    }
    let started = Instant::now();
    while started.elapsed() < WARM_UP_TIMEOUT
        && count_complete_hosts(run, version, &[]) < run.hosts.len()
    {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Counters before the measured rollout.
struct Baseline {
    traffic: net::Traffic,
    sent: BTreeMap<String, u64>,
    counts: Vec<Counts>,
}

fn counts_of(run: &Run) -> Vec<Counts> {
    run.hosts.iter().map(|host| host.weights.progress().counts).collect()
}

/// Seconds until a share of the hosts was complete; 0 until then.
#[derive(Default)]
struct Milestones {
    first: f64,
    half: f64,
    nine_tenths: f64,
}

impl Milestones {
    fn record(&mut self, finished: usize, count: usize, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        for (at, needed) in [
            (&mut self.first, 1),
            (&mut self.half, count / 2),
            (&mut self.nine_tenths, count * 9 / 10),
        ] {
            if *at == 0.0 && finished >= needed.max(1) {
                *at = seconds;
            }
        }
    }
}

struct Timing {
    finished: usize,
    seconds: f64,
    lower_bound: f64,
    milestones: Milestones,
}

fn count_complete_hosts(run: &Run, version: Digest, killed: &[usize]) -> usize {
    let is_complete = |(n, host): &(usize, &Host)| {
        !killed.contains(n) && host.weights.store().is_complete(version)
    };
    run.hosts.iter().enumerate().filter(is_complete).count()
}

fn figures_of(
    way: &'static str,
    run: &Run,
    faults: bool,
    baseline: &Baseline,
    timing: &Timing,
) -> Figures {
    let traffic = run.net.traffic();
    let hosts = run.hosts.len();
    let copies = |bytes: u64| bytes as f64 / MODEL_LEN as f64;
    let increase = |now: &[u64], earlier: &[u64]| -> Vec<u64> {
        now.iter().zip(earlier).map(|(now, earlier)| now - earlier).collect()
    };
    let mut region_in = increase(&traffic.region_in, &baseline.traffic.region_in);
    let region_out = increase(&traffic.region_out, &baseline.traffic.region_out);
    let mut zone_in = increase(&traffic.zone_in, &baseline.traffic.zone_in);
    let mut from_origin = 0;
    for (host, bytes) in run.origin.sent_to() {
        let n = (0..hosts).find(|n| name_of(*n).as_str() == host).unwrap_or_default();
        let (zone, region) = location_of(n);
        let bytes = bytes - baseline.sent.get(&host).copied().unwrap_or_default();
        from_origin += bytes;
        zone_in[zone] += bytes;
        if region != 0 {
            region_in[region] += bytes;
        }
    }
    let counts = counts_of(run);
    let sum = |of: fn(&Counts) -> u64| -> u64 {
        counts.iter().map(of).sum::<u64>() - baseline.counts.iter().map(of).sum::<u64>()
    };
    let per_host = |value: u64| value as f64 / hosts as f64;
    let most = |bytes: Vec<u64>| bytes.into_iter().map(copies).fold(0.0, f64::max);
    let replies = traffic.control_messages - baseline.traffic.control_messages;
    let reply_bytes = traffic.control_bytes - baseline.traffic.control_bytes;
    // The links count only replies without a chunk; each request is one more message.
    let requests = sum(|c| c.polls) + sum(|c| c.requests);
    let bound = timing.lower_bound;
    Figures {
        way,
        hosts,
        faults,
        finished: timing.finished,
        lower_bound_seconds: bound,
        seconds: timing.seconds,
        time_over_lower_bound: timing.seconds / bound,
        first_host_over_lower_bound: timing.milestones.first / bound,
        half_over_lower_bound: timing.milestones.half / bound,
        nine_tenths_over_lower_bound: timing.milestones.nine_tenths / bound,
        origin_copies: copies(from_origin),
        most_copies_into_a_region: most(region_in),
        most_copies_out_of_a_region: most(region_out),
        most_copies_into_a_zone: most(zone_in),
        control_messages_per_host_second: per_host(replies + requests) / timing.seconds,
        control_bytes_per_host_second: per_host(reply_bytes + requests * REQUEST_LEN)
            / timing.seconds,
        polls_per_host: per_host(sum(|c| c.polls)),
        asks_per_host: per_host(sum(|c| c.requests)),
        doubled: sum(|c| c.duplicated),
        corrupt: sum(|c| c.corrupt),
        failed: sum(|c| c.failed),
    }
}
