//! End-to-end demonstration in one process: publishes a configuration, distributes weights, serves
//! requests, and takes a zone out of service and back.
//!
//! Each step prints a line when it ends. A broken promise is printed and the demonstration
//! continues, but it exits with a non-zero code.

use std::fs;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Config;
use mastichaven_core::config::ZoneState;
use mastichaven_core::ids::Digest;
use mastichaven_standins::origin::random_weights;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Result;
use crate::fleet::wait_until;

const MODEL_LEN: usize = 4 << 20;
const CHUNK_LEN: u32 = 64 << 10;
const TOKENS: usize = 8;

/// The zone that is taken out of service and brought back.
const ZONE: &str = "serra";

/// Time limits of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoLimits {
    /// Timeout of each step; the demonstration fails when it expires.
    pub step_timeout: Duration,
    /// Longest time a zone that was taken out of service may still receive new requests; exceeding
    /// it breaks a promise.
    pub max_zone_drain: Duration,
}

impl Default for DemoLimits {
    fn default() -> Self {
        DemoLimits { step_timeout: Duration::from_secs(20), max_zone_drain: Duration::from_secs(3) }
    }
}

/// Requests sent through each entry to check that a zone receives no new work.
const REQUESTS_PER_ENTRY: usize = 3;

/// Model requests in each burst.
const BURST_REQUESTS: usize = 60;

/// The measurements that `--json` writes.
#[derive(Debug, Default, Serialize)]
struct Figures {
    replicas: usize,
    seconds_to_replicas: f64,
    origin_copies: f64,
    requests_sent: u64,
    requests_answered: u64,
    bookings_run: u32,
    seconds_until_zone_out: f64,
    answers_while_zone_out: u64,
    seconds_until_zone_back: f64,
    seconds_in_all: f64,
    broken: Vec<String>,
}

struct Demo {
    fleet: Fleet,
    weights: Digest,
    started: Instant,
    limits: DemoLimits,
    figures: Figures,
}

/// Runs the demonstration and writes the figures to `json_path`. Returns an error if a step fails or
/// a promise was broken.
pub fn run(limits: DemoLimits, json_path: Option<&Path>) -> Result<()> {
    let layout = Layout::default();
    let weights = random_weights(1, MODEL_LEN);
    let mut demo = Demo {
        fleet: Fleet::start(&layout)?,
        weights: Digest::of(&weights),
        started: Instant::now(),
        limits,
        figures: Figures::default(),
    };
    let manifest = demo.fleet.origin.put(&weights, CHUNK_LEN);
    let mut config = demo.fleet.configuration(&manifest)?;
    demo.print_step(&format!(
        "started {} entries and {} agents in {} zones, with an origin whose link passes {:.0} \
         copies a second",
        demo.fleet.entries.len(),
        demo.fleet.agents.len(),
        layout.zones.len(),
        layout.origin_rate / MODEL_LEN as f64
    ));
    demo.distribute_weights(&config)?;
    demo.serve_requests()?;
    demo.cycle_zone(&mut config)?;
    demo.check_engine_overload();
    demo.finish(json_path)
}

impl Demo {
    fn print_step(&self, line: &str) {
        println!("{:6.2} s  {line}", self.started.elapsed().as_secs_f64());
    }

    fn record_breach(&mut self, breach: String) {
        self.print_step(&format!("BROKEN: {breach}"));
        self.figures.broken.push(breach);
    }

    fn distribute_weights(&mut self, config: &Config) -> Result<()> {
        self.fleet.publish(config)?;
        self.print_step("configuration published");
        let replicas = self.fleet.engines.len();
        let took =
            wait_until(self.limits.step_timeout, || self.fleet.replicas(self.weights) == replicas)
                .ok_or("not all replicas were loaded within the step timeout")?;
        self.figures.replicas = replicas;
        self.figures.seconds_to_replicas = took.as_secs_f64();
        self.figures.origin_copies = self.fleet.origin.sent() as f64 / MODEL_LEN as f64;
        self.print_step(&format!(
            "{replicas} replicas {:.2} s after publishing, {:.2} copies from the origin",
            self.figures.seconds_to_replicas, self.figures.origin_copies
        ));
        let limit = config.limits.origin_copies;
        if self.figures.origin_copies > limit {
            self.record_breach(format!("more than {limit} copies came from the origin"));
        }
        Ok(())
    }

    fn serve_requests(&mut self) -> Result<()> {
        let is_served = |n| request_completion(&self.fleet, n, self.weights).is_ok();
        let entries = self.fleet.entries.len();
        wait_until(self.limits.step_timeout, || (0..entries).all(is_served))
            .ok_or_else(|| format!("{:?}", request_completion(&self.fleet, 0, self.weights)))?;
        self.send_burst();
        let reply = post(&self.fleet, 0, "/book", "pen-7".to_owned());
        self.figures.bookings_run = self.fleet.plain.runs().get("pen-7").copied().unwrap_or(0);
        if reply.is_err() || self.figures.bookings_run != 1 {
            let runs = self.figures.bookings_run;
            self.record_breach(format!("a booking ran {runs} times; reply: {reply:?}"));
        }
        self.print_step(&format!(
            "{} model requests and a booking answered",
            self.figures.requests_answered
        ));
        Ok(())
    }

    /// Sends requests through the entries in round-robin order; each must get a complete reply.
    fn send_burst(&mut self) {
        for n in 0..BURST_REQUESTS {
            self.figures.requests_sent += 1;
            match request_completion(&self.fleet, n, self.weights) {
                Ok(()) => self.figures.requests_answered += 1,
                Err(error) => self.record_breach(format!("a request failed: {error}")),
            }
        }
    }

    fn cycle_zone(&mut self, config: &mut Config) -> Result<()> {
        set_zone_state(config, ZoneState::Out)?;
        self.fleet.publish(config)?;
        self.print_step(&format!("zone {ZONE} taken out"));
        let limit = self.limits.max_zone_drain;
        match wait_until(self.limits.step_timeout, || self.is_zone_drained()) {
            Some(took) if took <= limit => self.figures.seconds_until_zone_out = took.as_secs_f64(),
            Some(took) => {
                self.record_breach(format!("a zone out of service got work for {took:?}"))
            }
            None => return Err("a zone out of service never stopped receiving requests".to_owned()),
        }
        let completed_before = self.fleet.completed_in(ZONE);
        let answered_before = self.figures.requests_answered;
        self.send_burst();
        self.figures.answers_while_zone_out = self.figures.requests_answered - answered_before;
        if self.fleet.completed_in(ZONE) != completed_before {
            self.record_breach("a zone out of service received new requests".to_owned());
        }
        self.print_step(&format!(
            "no new work there after {:.2} s, {} requests answered by the other zones",
            self.figures.seconds_until_zone_out, self.figures.answers_while_zone_out
        ));
        set_zone_state(config, ZoneState::In)?;
        self.fleet.publish(config)?;
        let took = wait_until(self.limits.step_timeout, || {
            let replies = (0..self.fleet.entries.len())
                .filter(|n| request_completion(&self.fleet, *n, self.weights).is_ok())
                .count();
            replies > 0 && self.fleet.completed_in(ZONE) > completed_before
        })
        .ok_or("the zone received no requests after it came back into service")?;
        self.figures.seconds_until_zone_back = took.as_secs_f64();
        self.print_step(&format!(
            "zone {ZONE} back, it answers again after {:.2} s",
            took.as_secs_f64()
        ));
        Ok(())
    }

    /// Sends a few requests through each entry and returns whether none of them ran in [`ZONE`].
    fn is_zone_drained(&self) -> bool {
        let completed_before = self.fleet.completed_in(ZONE);
        for n in 0..REQUESTS_PER_ENTRY * self.fleet.entries.len() {
            let _ = request_completion(&self.fleet, n, self.weights);
        }
        self.fleet.completed_in(ZONE) == completed_before
    }

    fn check_engine_overload(&mut self) {
        let fell_over: u64 = self.fleet.engines.values().map(|e| e.counts().fell_over).sum();
        if fell_over > 0 {
            self.record_breach(format!("engines failed {fell_over} times from overload"));
        }
    }

    fn finish(mut self, json_path: Option<&Path>) -> Result<()> {
        let started = self.started;
        self.fleet.stop();
        println!("{:6.2} s  all processes stopped", started.elapsed().as_secs_f64());
        self.figures.seconds_in_all = started.elapsed().as_secs_f64();
        let figures = &self.figures;
        println!();
        println!("replicas              {}", figures.replicas);
        println!("time to replicas      {:.2} s", figures.seconds_to_replicas);
        println!("copies from origin    {:.2}", figures.origin_copies);
        println!("requests answered     {}/{}", figures.requests_answered, figures.requests_sent);
        println!("zone out of service   {:.2} s", figures.seconds_until_zone_out);
        println!("  answered meanwhile  {}", figures.answers_while_zone_out);
        println!("zone back in service  {:.2} s", figures.seconds_until_zone_back);
        println!("promises broken       {}", figures.broken.len());
        if let Some(file) = json_path {
            let json = serde_json::to_string_pretty(figures).expect("figures serialize to JSON");
            fs::write(file, json + "\n").map_err(|e| e.to_string())?;
        }
        if figures.broken.is_empty() { Ok(()) } else { Err(figures.broken.join("; ")) }
    }
}

fn set_zone_state(config: &mut Config, state: ZoneState) -> Result<()> {
    config.zone.get_mut(&ZONE.into()).ok_or("the zone is not configured")?.state = state;
    Ok(())
}

/// Sends a streaming completion request through the `n`th entry and checks that the reply is complete
/// and that `weights` produced every token.
fn request_completion(fleet: &Fleet, n: usize, weights: Digest) -> Result<()> {
    let body = json!({"model": "rota", "stream": true, "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": format!("rota draft {n}")}]});
    let text = post(fleet, n, "/v1/chat/completions", body.to_string())?;
    let mut tokens = 0;
    let mut ended = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).map_err(|e| e.to_string())?;
        if event["weights"] != weights.to_hex() {
            return Err(format!("a token was produced by other weights: {event}"));
        }
        tokens += 1;
    }
    if ended && tokens == TOKENS { Ok(()) } else { Err(format!("incomplete reply: {text:?}")) }
}

fn post(fleet: &Fleet, n: usize, path: &str, body: String) -> Result<String> {
    let response = minreq::post(format!("http://{}{path}", fleet.callers_addr(n)))
        .with_header("mastichaven-key", CUSTOMER_KEY)
        .with_header("content-type", "application/json")
        .with_body(body)
        .with_timeout(10)
        .send()
        .map_err(|e| e.to_string())?;
    let text = response.as_str().map_err(|e| e.to_string())?.to_owned();
    if response.status_code == 200 {
        Ok(text)
    } else {
        Err(format!("{}: {text}", response.status_code))
    }
}
