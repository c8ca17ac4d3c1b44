//! A simulated fleet of engines and entries, without a network.

use std::cell::Cell;
use std::collections::VecDeque;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::endpoint_table::Requirements;
use mastichaven_core::direct::endpoint_table::Unavailable;
use mastichaven_core::direct::priority::AdmissionStats;
use mastichaven_core::direct::priority::PriorityClass;
use mastichaven_core::direct::wait_queue::WaitQueue;
use mastichaven_core::ids::CustomerName;
use mastichaven_core::ids::ServiceName;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::endpoint_table::ROUND_TRIP;
use crate::endpoint_table::address;
use crate::endpoint_table::now;
use crate::endpoint_table::record;
use crate::endpoint_table::report_shared_by;
use crate::endpoint_table::rng;
use crate::endpoint_table::table_on;

pub const SLOTS: u32 = 12;
const TICK_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 100;
pub const OBJECTIVE: Duration = Duration::from_millis(400);
/// Waits of calls of the highest level and of others.
const WAITS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(50)];
/// Time in which an engine runs a request, in milliseconds.
const RUN_MS: Range<u64> = 500..1_500;

/// Callers of one level.
pub struct Callers {
    /// Entries that they call, in turn at random.
    pub entries: Range<usize>,
    pub level: u8,
    pub customer: Option<&'static str>,
    /// Requests per second, as a multiple of the capacity of all engines.
    pub load: f64,
}

pub struct Fleet {
    pub entries: usize,
    pub engines: u8,
    pub levels: u8,
    /// Time from the state that a report describes until it arrives.
    pub report_delay_ms: u64,
    /// Entry that starts anew, without counts and reports, and when.
    pub restart: Option<(usize, u64)>,
}

/// Requests of one group of callers, by the second of their arrival.
#[derive(Clone, Debug, Default)]
pub struct Served {
    pub requested: Vec<u32>,
    /// Those that began at an engine within the objective.
    pub in_time: Vec<u32>,
}

impl Served {
    /// Share of the requests that arrived in `seconds` and were served in time.
    pub fn share(&self, seconds: Range<usize>) -> f64 {
        let requested: u32 = self.requested[seconds.clone()].iter().sum();
        let in_time: u32 = self.in_time[seconds].iter().sum();
        f64::from(in_time) / f64::from(requested.max(1))
    }
}

pub struct Outcome {
    pub groups: Vec<Served>,
    /// Share of the slots in use from the second second on.
    pub slots_in_use: f64,
    /// Endpoint chosen for each call, in order.
    pub chosen: Vec<u8>,
}

impl Outcome {
    /// Share of all requests of `seconds` that were served in time.
    pub fn mean(&self, seconds: Range<usize>) -> f64 {
        let sum = |of: fn(&Served) -> &Vec<u32>| -> u32 {
            self.groups.iter().flat_map(|group| &of(group)[seconds.clone()]).sum()
        };
        f64::from(sum(|group| &group.in_time)) / f64::from(sum(|group| &group.requested).max(1))
    }
}

#[derive(Clone)]
struct Request {
    group: usize,
    class: PriorityClass,
    customer: Option<CustomerName>,
    arrived_at: Time,
    has_waited: Rc<Cell<bool>>,
}

struct Job {
    entry: usize,
    /// Endpoint in the table of the entry, and the number of starts of the entry by then.
    place: (EndpointKey, u32),
    request: Request,
    urgency: u8,
}

#[derive(Default)]
struct Engine {
    running: Vec<(Time, Job)>,
    queue: Vec<Job>,
}

struct Entry {
    table: EndpointTable,
    stats: AdmissionStats,
    waiting: WaitQueue<Request>,
    starts: u32,
}

impl Entry {
    fn start(fleet: &Fleet, n: usize, starts: u32, at: Time) -> Entry {
        let mut table = table_on(&format!("entry-{n}"));
        table.set_entries(fleet.entries as u32);
        for engine in 0..fleet.engines {
            let mut record = record(engine, "lagoa");
            record.slots = SLOTS;
            table.upsert(record, at);
        }
        Entry { table, stats: AdmissionStats::default(), waiting: WaitQueue::default(), starts }
    }

    /// Chooses an engine for a request at `at`; `None` while all are full for it.
    fn choose(
        &mut self,
        request: &Request,
        at: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<(EndpointKey, u8)> {
        let admission = self.stats.admission(request.class, request.customer.as_ref(), at);
        let service = ServiceName::new("redator");
        let requirements = Requirements {
            service: &service,
            model: Some(("m", 1)),
            regions: [&[], &[]],
            tried: &[],
            cold_per_second: 0.0,
            is_late: false,
            reservation: admission.reservation,
            yields_turns: admission.yields_turns,
            work: None,
        };
        let chosen = self.table.choose(&requirements, at, rng);
        assert!(matches!(chosen, Ok(_) | Err(Unavailable::Full)), "{chosen:?}");
        let key = chosen.ok()?;
        self.table.record_sent(key, at);
        self.stats.record_admission(request.class, request.customer.as_ref(), at);
        let level = if admission.is_exempt { 0 } else { request.class.level };
        Some((key, PriorityClass { level, ..request.class }.urgency().unwrap_or(5)))
    }
}

/// Runs the fleet under the load of `callers` for `seconds`.
pub fn run(fleet: &Fleet, callers: &[Callers], seconds: usize) -> Outcome {
    let mut rng = rng();
    let mut entries: Vec<Entry> =
        (0..fleet.entries).map(|n| Entry::start(fleet, n, 0, now(0))).collect();
    let mut engines: Vec<Engine> = (0..fleet.engines).map(|_| Engine::default()).collect();
    let mut reports: VecDeque<(u64, u8, u32, u32)> = VecDeque::new();
    let served = Served { requested: vec![0; seconds], in_time: vec![0; seconds] };
    let mut groups = vec![served; callers.len()];
    let mut chosen = Vec::new();
    let capacity = f64::from(fleet.engines) * f64::from(SLOTS) * 1_000.0
        / (RUN_MS.start + RUN_MS.end) as f64
        * 2.0;
    let (mut busy, mut ticks) = (0, 0);
    for ms in (0..seconds as u64 * 1_000).step_by(TICK_MS as usize) {
        let at = now(ms);
        if let Some((n, _)) = fleet.restart.filter(|(_, restart_ms)| *restart_ms == ms) {
            entries[n] = Entry::start(fleet, n, entries[n].starts + 1, at);
        }
        for (n, engine) in engines.iter_mut().enumerate() {
            let finished: Vec<(Time, Job)> =
                engine.running.extract_if(.., |job| job.0 <= at).collect();
            for (_, job) in finished {
                let entry = &mut entries[job.entry];
                if job.place.1 == entry.starts {
                    entry.table.record_finished(job.place.0);
                }
            }
            engine.queue.sort_by_key(|job| (job.urgency, job.request.arrived_at));
            while engine.running.len() < SLOTS as usize && !engine.queue.is_empty() {
                let job = engine.queue.remove(0);
                let second = (job.request.arrived_at.as_millis() / 1_000) as usize;
                let is_in_time = !at.passed(job.request.arrived_at, OBJECTIVE);
                groups[job.request.group].in_time[second] += u32::from(is_in_time);
                let run = Duration::from_millis(rng.random_range(RUN_MS));
                engine.running.push((at + run, job));
            }
            if ms >= 1_000 {
                busy += engine.running.len();
                ticks += 1;
            }
            if (ms + n as u64 * TICK_MS).is_multiple_of(REPORT_INTERVAL_MS) {
                let (running, waiting) = (engine.running.len() as u32, engine.queue.len() as u32);
                reports.push_back((ms + fleet.report_delay_ms, n as u8, running, waiting));
            }
        }
        while reports.front().is_some_and(|report| report.0 <= ms) {
            let (_, n, running, waiting) = reports.pop_front().expect("a report");
            let mut report = report_shared_by(fleet.entries as u32, running);
            report.waiting = waiting;
            for entry in &mut entries {
                let draw = rng.random();
                entry.table.apply_report(address(n), &report, at, ROUND_TRIP, draw, at);
            }
        }
        for (group, callers) in callers.iter().enumerate() {
            let expected = callers.load * capacity * TICK_MS as f64 / 1_000.0;
            let count = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
            for _ in 0..count {
                let n = rng.random_range(callers.entries.clone());
                groups[group].requested[(ms / 1_000) as usize] += 1;
                let class = PriorityClass { level: callers.level, levels: fleet.levels };
                let customer = callers.customer.map(CustomerName::new);
                let request =
                    Request { group, class, customer, arrived_at: at, has_waited: Rc::default() };
                let entry = &mut entries[n];
                entry.stats.record_request(class, request.customer.as_ref(), at);
                let admission = entry.stats.admission(class, request.customer.as_ref(), at);
                entry.waiting.insert(admission.level, at + OBJECTIVE, request);
            }
        }
        for (n, entry) in entries.iter_mut().enumerate() {
            let mut next = entry.waiting.first().map(|(key, request)| (key, request.clone()));
            while let Some((key, request)) = next {
                if let Some((place, urgency)) = entry.choose(&request, at, &mut rng) {
                    entry.waiting.remove(key);
                    let id = &entry.table.get(place).expect("listed").id;
                    let engine: u8 = id.trim_start_matches("i-").parse().expect("a number");
                    chosen.push(engine);
                    let place = (place, entry.starts);
                    engines[usize::from(engine)].queue.push(Job {
                        entry: n,
                        place,
                        request,
                        urgency,
                    });
                } else {
                    let customer = request.customer.as_ref();
                    let admission = entry.stats.admission(request.class, customer, at);
                    if !request.has_waited.replace(true) {
                        entry.stats.record_wait(request.class, &admission, at);
                    }
                    let is_highest = request.class.has_levels() && admission.level == 0;
                    if at.passed(request.arrived_at, WAITS[usize::from(!is_highest)]) {
                        entry.waiting.remove(key);
                    }
                }
                next = entry.waiting.next_after(key).map(|(key, request)| (key, request.clone()));
            }
        }
    }
    let slots = ticks as f64 * f64::from(SLOTS);
    Outcome { groups, slots_in_use: busy as f64 / slots, chosen }
}
