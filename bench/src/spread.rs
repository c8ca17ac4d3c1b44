//! Experiment: time until an accepted configuration change is active in every process, with the
//! control code of the node over QUIC on loopback.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::ids::Generation;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::members::EndpointKind;
use mastichaven_core::members::Member;
use mastichaven_core::members::Serving;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::wire::RequestBody;
use mastichaven_core::wire::RequestMessage;
use mastichaven_core::wire::Sender;
use mastichaven_node::clock::Clock;
use mastichaven_node::control;
use mastichaven_node::control::Control;
use mastichaven_node::control::ControlNode;
use mastichaven_node::documents::Documents;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::platform_watch;
use mastichaven_node::process::new_incarnation;
use mastichaven_node::publish;
use mastichaven_node::publish::Base;
use mastichaven_node::publish::FileContents;
use mastichaven_node::publish::Options;
use mastichaven_node::telemetry::Telemetry;
use mastichaven_node::tls::DevelopmentCa;
use mastichaven_node::tls::Role;
use mastichaven_node::transport::Transport;
use mastichaven_standins::Platform;
use serde_json::Value;
use serde_json::json;

use crate::figures;

const ANY: &str = "127.0.0.1:0";
const ZONES: usize = 2;
const FILES: usize = 200;
const BURST_LEN: usize = 20;

/// Time that the processes have to discover each other, and time for which they are then measured
/// at rest.
const SETTLE_DURATION: Duration = Duration::from_secs(20);
const MEASURE_DURATION: Duration = Duration::from_secs(10);

/// Time after which a process that has not activated a change counts as infinitely late.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

struct Process {
    host: String,
    zone: String,
    role: HostRole,
    incarnation: Incarnation,
    documents: Documents,
    transport: Transport,
    clock: Clock,
    telemetry: Telemetry,
    control: Control,
    is_over: AtomicBool,
}

impl ControlNode for Process {
    fn member(&self) -> Member {
        Member {
            host: self.host.as_str().into(),
            role: self.role,
            zone: self.zone.as_str().into(),
            region: "sul".into(),
            address: self.transport.local_addr(),
            incarnation: self.incarnation,
            leaving: false,
            endpoint: EndpointKind::None,
            memory_mib: 0,
            serving: Serving::Nothing,
            load: Default::default(),
        }
    }

    fn make_request(&self, body: RequestBody) -> RequestMessage {
        let (host, incarnation) = (self.host.as_str().into(), self.incarnation);
        RequestMessage {
            from: Sender { host, incarnation, generation: self.documents.generation() },
            body,
        }
    }

    fn documents(&self) -> &Documents {
        &self.documents
    }

    fn transport(&self) -> &Transport {
        &self.transport
    }

    fn clock(&self) -> &Clock {
        &self.clock
    }

    fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    fn control(&self) -> &Control {
        &self.control
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }
}

fn start_processes(
    ca: &DevelopmentCa,
    platform: &Platform,
    count: usize,
) -> Result<Vec<Arc<Process>>, String> {
    let mut all = Vec::new();
    let mut listed = Vec::new();
    let mut seeds = Vec::new();
    for index in 0..count {
        let entry = index.is_multiple_of(4);
        let (role, kind) =
            if entry { (HostRole::Entry, Role::Entry) } else { (HostRole::Agent, Role::Agent) };
        let host = format!("host-{index}");
        let (tx, rx) = flume::bounded(256);
        let material = ca.material(&host.as_str().into(), kind).map_err(|e| e.to_string())?;
        let transport = Transport::start(ANY.parse().expect("an address"), &material, tx)
            .map_err(|e| e.to_string())?;
        if entry && seeds.len() < 3 {
            seeds.push(transport.local_addr());
        }
        let process = Arc::new(Process {
            zone: format!("zone-{}", index / 4 % ZONES),
            role,
            incarnation: new_incarnation(),
            documents: Documents::default(),
            clock: Clock::start(),
            telemetry: Telemetry::silent(),
            control: Control::new(seeds.clone()),
            is_over: AtomicBool::new(false),
            transport,
            host,
        });
        listed.push(ListedHost {
            name: process.host.as_str().into(),
            role,
            zone: process.zone.as_str().into(),
            region: "sul".into(),
            address: process.transport.local_addr(),
            leaving: false,
        });
        let handler = process.clone();
        thread::spawn(move || {
            for incoming in rx {
                handler.control.handle(incoming);
            }
        });
        control::start(&process);
        platform_watch::start(&process, Arc::new(HttpStore::new(platform.base())));
        all.push(process);
    }
    platform.set_hosts(listed);
    Ok(all)
}

fn file_contents(change: usize) -> FileContents {
    let mut texts = FileContents::new();
    for file in 0..FILES {
        let weight = if file == change % FILES { 2 + change } else { 1 };
        let key = format!("{:064x}", file + 1);
        let text = format!(
            "[customer.c{file}]\nkey_digest = \"{key}\"\nweight = {}\n# {change}\n",
            weight.min(1_000)
        );
        let text =
            if file == change % FILES { text } else { text.replace(&format!("# {change}\n"), "") };
        texts.insert(format!("{file:03}.toml").into(), text.into());
    }
    texts
}

fn publish_change(store: &HttpStore, number: usize) -> Result<Generation, String> {
    let options = Options::new(Base::Accepted);
    let accepted =
        publish::publish(store, &file_contents(number), &options).map_err(|e| e.to_string())?;
    Ok(accepted.generation)
}

/// Milliseconds until `generation` is active in each process; infinite after [`CHANGE_TIMEOUT`].
fn wait_until_active(all: &[Arc<Process>], generation: Generation) -> Vec<f64> {
    let started = Instant::now();
    let mut elapsed_ms = vec![None; all.len()];
    while elapsed_ms.contains(&None) && started.elapsed() < CHANGE_TIMEOUT {
        for (process, elapsed_ms) in all.iter().zip(&mut elapsed_ms) {
            if elapsed_ms.is_none() && process.documents.generation() >= generation {
                *elapsed_ms = Some(started.elapsed().as_secs_f64() * 1e3);
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    elapsed_ms.into_iter().map(|elapsed_ms| elapsed_ms.unwrap_or(f64::INFINITY)).collect()
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * share) as usize]
}

/// Processor time of this program in seconds, user and system, at 100 clock ticks a second.
fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(12) + ticks(13)) / 100.0
}

fn sent_bytes(all: &[Arc<Process>]) -> u64 {
    all.iter().map(|process| process.transport.traffic().sent).sum()
}

/// Runs the experiment with `count` processes.
pub fn run(count: usize, json: Option<&Path>) -> Result<(), String> {
    let ca = DevelopmentCa::generate().map_err(|e| e.to_string())?;
    let platform = Platform::start(ANY).map_err(|e| e.to_string())?;
    let all = start_processes(&ca, &platform, count)?;
    let store = HttpStore::new(platform.base());
    wait_until_active(&all, publish_change(&store, 0)?);
    thread::sleep(SETTLE_DURATION);
    let member_counts: Vec<usize> = all.iter().map(|p| p.control.members().len()).collect();
    let (cpu, bytes, calls) = (cpu_seconds(), sent_bytes(&all), platform_calls(&platform));
    thread::sleep(MEASURE_DURATION);
    let process_seconds = count as f64 * MEASURE_DURATION.as_secs_f64();
    let at_rest = json!({
        "bytes_a_second_sent": (sent_bytes(&all) - bytes) as f64 / process_seconds,
        "share_of_a_core": (cpu_seconds() - cpu) / process_seconds,
        "platform_calls_a_second":
            (platform_calls(&platform) - calls) as f64 / MEASURE_DURATION.as_secs_f64(),
    });
    let mut single = Vec::new();
    let bytes = sent_bytes(&all);
    for number in 1..=5 {
        single.extend(wait_until_active(&all, publish_change(&store, number)?));
        thread::sleep(Duration::from_millis(500));
    }
    let mut last = Generation(0);
    for number in 0..BURST_LEN {
        last = publish_change(&store, 10 + number)?;
    }
    let mut burst = wait_until_active(&all, last);
    let figures = json!({
        "processes": count,
        "zones": ZONES,
        "files": FILES,
        "members_known_lowest": member_counts.iter().min(),
        "at_rest": at_rest,
        "one_change_ms": summary(&mut single),
        "burst_of_20_ms_after_the_last": summary(&mut burst),
        "bytes_sent_a_process_a_change": (sent_bytes(&all) - bytes) as f64 / count as f64 / 25.0,
    });
    all.iter().for_each(|process| process.is_over.store(true, Ordering::Release));
    figures::print_and_write(&figures, json)
}

/// Reads, writes and watches that the platform has counted since its start.
fn platform_calls(platform: &Platform) -> u64 {
    let calls = platform.calls();
    calls.reads + calls.writes + calls.watches
}

fn summary(values: &mut [f64]) -> Value {
    json!({
        "p50": percentile(values, 0.5),
        "p99": percentile(values, 0.99),
        "highest": percentile(values, 1.0),
    })
}
