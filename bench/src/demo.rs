//! The whole path in one process: publish, spread weights, answer requests, a zone out and back.
//!
//! Each step prints a line as it ends. A promise that breaks is printed, the demonstration goes on,
//! and its exit code is not zero.

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

/// The zone that is taken out and brought back.
const ZONE: &str = "serra";

/// How long things may take.
#[derive(Clone, Copy, Debug)]
pub struct DemoLimits {
    /// A step, before it counts as failed.
    pub step: Duration,
    /// From taking a zone out until it gets no new work.
    pub zone_out: Duration,
}

impl Default for DemoLimits {
    fn default() -> Self {
        DemoLimits { step: Duration::from_secs(20), zone_out: Duration::from_secs(3) }
    }
}

/// Rounds of one request an entry after which a zone without new work counts as out.
const QUIET_ROUNDS: usize = 3;

/// Model requests of each burst.
const BURST: usize = 60;

/// What the demonstration measured.
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

/// Runs the demonstration; fails if a promise broke.
pub fn run(limits: DemoLimits, json_file: Option<&Path>) -> Result<()> {
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
    demo.say(&format!(
        "started {} entries and {} agents in {} zones, with an origin whose link passes {:.0} \
         copies a second",
        demo.fleet.entries.len(),
        demo.fleet.agents.len(),
        layout.zones.len(),
        layout.origin_rate / MODEL_LEN as f64
    ));
    demo.spread(&config)?;
    demo.answer()?;
    demo.zone_out_and_back(&mut config)?;
    demo.check_engines();
    demo.finish(json_file)
}

impl Demo {
    fn say(&self, line: &str) {
        println!("{:6.2} s  {line}", self.started.elapsed().as_secs_f64());
    }

    fn broken(&mut self, promise: String) {
        self.say(&format!("BROKEN: {promise}"));
        self.figures.broken.push(promise);
    }

    fn spread(&mut self, config: &Config) -> Result<()> {
        self.fleet.publish(config)?;
        self.say("configuration published");
        let wanted = self.fleet.engines.len();
        let took = wait_until(self.limits.step, || self.fleet.replicas(self.weights) == wanted)
            .ok_or("the replicas were not there in time")?;
        self.figures.replicas = wanted;
        self.figures.seconds_to_replicas = took.as_secs_f64();
        self.figures.origin_copies = self.fleet.origin.sent() as f64 / MODEL_LEN as f64;
        self.say(&format!(
            "{wanted} replicas {:.2} s after publishing, {:.2} copies from the origin",
            self.figures.seconds_to_replicas, self.figures.origin_copies
        ));
        let limit = config.limits.origin_copies;
        if self.figures.origin_copies > limit {
            self.broken(format!("more than {limit} copies came from the origin"));
        }
        Ok(())
    }

    fn answer(&mut self) -> Result<()> {
        let ready = |n| ask_model(&self.fleet, n, self.weights).is_ok();
        let entries = self.fleet.entries.len();
        wait_until(self.limits.step, || (0..entries).all(ready))
            .ok_or_else(|| format!("{:?}", ask_model(&self.fleet, 0, self.weights)))?;
        self.burst();
        let answer = post(&self.fleet, 0, "/book", "pen-7".to_owned());
        self.figures.bookings_run = self.fleet.plain.runs().get("pen-7").copied().unwrap_or(0);
        if answer.is_err() || self.figures.bookings_run != 1 {
            let runs = self.figures.bookings_run;
            self.broken(format!("a booking ran {runs} times and was answered {answer:?}"));
        }
        self.say(&format!(
            "{} model requests and a booking answered",
            self.figures.requests_answered
        ));
        Ok(())
    }

    /// Sends requests through all entries in turn; each must be answered whole.
    fn burst(&mut self) {
        for n in 0..BURST {
            self.figures.requests_sent += 1;
            match ask_model(&self.fleet, n, self.weights) {
                Ok(()) => self.figures.requests_answered += 1,
                Err(why) => self.broken(format!("a request was not answered: {why}")),
            }
        }
    }

    fn zone_out_and_back(&mut self, config: &mut Config) -> Result<()> {
        set_zone(config, ZoneState::Out)?;
        self.fleet.publish(config)?;
        self.say(&format!("zone {ZONE} taken out"));
        let limit = self.limits.zone_out;
        match wait_until(self.limits.step, || self.is_zone_quiet()) {
            Some(took) if took <= limit => self.figures.seconds_until_zone_out = took.as_secs_f64(),
            Some(took) => self.broken(format!("a zone that is out got new work for {took:?}")),
            None => return Err("a zone that is out never stopped getting new work".to_owned()),
        }
        let before = self.fleet.completed_in(ZONE);
        let answered = self.figures.requests_answered;
        self.burst();
        self.figures.answers_while_zone_out = self.figures.requests_answered - answered;
        if self.fleet.completed_in(ZONE) != before {
            self.broken("a zone that is out was given new work".to_owned());
        }
        self.say(&format!(
            "no new work there after {:.2} s, {} requests answered by the other zones",
            self.figures.seconds_until_zone_out, self.figures.answers_while_zone_out
        ));
        set_zone(config, ZoneState::In)?;
        self.fleet.publish(config)?;
        let took = wait_until(self.limits.step, || {
            let answers = (0..self.fleet.entries.len())
                .filter(|n| ask_model(&self.fleet, *n, self.weights).is_ok())
                .count();
            answers > 0 && self.fleet.completed_in(ZONE) > before
        })
        .ok_or("the zone got no work after its return")?;
        self.figures.seconds_until_zone_back = took.as_secs_f64();
        self.say(&format!("zone {ZONE} back, it answers again after {:.2} s", took.as_secs_f64()));
        Ok(())
    }

    /// Sends a few requests through each entry, and says whether none of them ran in the zone.
    fn is_zone_quiet(&self) -> bool {
        let before = self.fleet.completed_in(ZONE);
        for n in 0..QUIET_ROUNDS * self.fleet.entries.len() {
            let _ = ask_model(&self.fleet, n, self.weights);
        }
        self.fleet.completed_in(ZONE) == before
    }

    fn check_engines(&mut self) {
        let fell_over: u64 = self.fleet.engines.values().map(|e| e.counts().fell_over).sum();
        if fell_over > 0 {
            self.broken(format!("engines fell over {fell_over} times under too much work"));
        }
    }

    fn finish(mut self, json_file: Option<&Path>) -> Result<()> {
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
        if let Some(file) = json_file {
            let json = serde_json::to_string_pretty(figures).expect("figures always encode");
            fs::write(file, json + "\n").map_err(|e| e.to_string())?;
        }
        if figures.broken.is_empty() { Ok(()) } else { Err(figures.broken.join("; ")) }
    }
}

fn set_zone(config: &mut Config, state: ZoneState) -> Result<()> {
    config.zone.get_mut(&ZONE.into()).ok_or("the zone is not configured")?.state = state;
    Ok(())
}

/// Asks for a streamed answer and checks that it is whole and all from `weights`.
fn ask_model(fleet: &Fleet, n: usize, weights: Digest) -> Result<()> {
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
            return Err(format!("a token came from other weights: {event}"));
        }
        tokens += 1;
    }
    if ended && tokens == TOKENS { Ok(()) } else { Err(format!("not whole: {text:?}")) }
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
