//! Experiment: an accepted change in force in every process, by the real control code over QUIC.

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
const BURST: usize = 20;

/// How long the processes get to know each other, and how long they are left alone.
const SETTLE: Duration = Duration::from_secs(20);
const QUIET: Duration = Duration::from_secs(10);

/// A change must be in force everywhere within this.
const LIMIT: Duration = Duration::from_secs(10);

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
    over: AtomicBool,
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
        self.over.load(Ordering::Acquire)
    }
}

fn start(
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
            over: AtomicBool::new(false),
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
        let asked = process.clone();
        thread::spawn(move || {
            for incoming in rx {
                asked.control.handle(incoming);
            }
        });
        control::start(&process);
        platform_watch::start(&process, Arc::new(HttpStore::new(platform.base())));
        all.push(process);
    }
    platform.set_hosts(listed);
    Ok(all)
}

fn texts(change: usize) -> FileContents {
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

fn change(store: &HttpStore, number: usize) -> Result<Generation, String> {
    let options = Options::new(Base::Accepted);
    let accepted = publish::publish(store, &texts(number), &options).map_err(|e| e.to_string())?;
    Ok(accepted.generation)
}

/// Milliseconds until each process has `generation` in force.
fn wait(all: &[Arc<Process>], generation: Generation) -> Vec<f64> {
    let begun = Instant::now();
    let mut took = vec![None; all.len()];
    while took.contains(&None) && begun.elapsed() < LIMIT {
        for (process, took) in all.iter().zip(&mut took) {
            if took.is_none() && process.documents.generation() >= generation {
                *took = Some(begun.elapsed().as_secs_f64() * 1e3);
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    took.into_iter().map(|took| took.unwrap_or(f64::INFINITY)).collect()
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * share) as usize]
}

/// Seconds of processor time of this whole program.
fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(12) + ticks(13)) / 100.0
}

fn sent(all: &[Arc<Process>]) -> u64 {
    all.iter().map(|process| process.transport.traffic().sent).sum()
}

/// Runs it with `count` processes.
pub fn run(count: usize, json: Option<&Path>) -> Result<(), String> {
    let ca = DevelopmentCa::generate().map_err(|e| e.to_string())?;
    let platform = Platform::start(ANY).map_err(|e| e.to_string())?;
    let all = start(&ca, &platform, count)?;
    let store = HttpStore::new(platform.base());
    wait(&all, change(&store, 0)?);
    thread::sleep(SETTLE);
    let known: Vec<usize> = all.iter().map(|p| p.control.members().len()).collect();
    let (cpu, bytes, called) = (cpu_seconds(), sent(&all), calls(&platform));
    thread::sleep(QUIET);
    let per = count as f64 * QUIET.as_secs_f64();
    let rest = json!({
        "bytes_a_second_sent": (sent(&all) - bytes) as f64 / per,
        "share_of_a_core": (cpu_seconds() - cpu) / per,
        "platform_calls_a_second": (calls(&platform) - called) as f64 / QUIET.as_secs_f64(),
    });
    let mut single = Vec::new();
    let bytes = sent(&all);
    for number in 1..=5 {
        single.extend(wait(&all, change(&store, number)?));
        thread::sleep(Duration::from_millis(500));
    }
    let mut last = Generation(0);
    for number in 0..BURST {
        last = change(&store, 10 + number)?;
    }
    let mut burst = wait(&all, last);
    let figures = json!({
        "processes": count,
        "zones": ZONES,
        "files": FILES,
        "members_known_lowest": known.iter().min(),
        "at_rest": rest,
        "one_change_ms": summary(&mut single),
        "burst_of_20_ms_after_the_last": summary(&mut burst),
        "bytes_sent_a_process_a_change": (sent(&all) - bytes) as f64 / count as f64 / 25.0,
    });
    all.iter().for_each(|process| process.over.store(true, Ordering::Release));
    figures::print_and_write(&figures, json)
}

/// Reads, writes and watches counted so far.
fn calls(platform: &Platform) -> u64 {
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
