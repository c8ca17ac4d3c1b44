//! The whole path in one process: publish, spread weights, answer requests, a zone out and back.

use std::fs;
use std::path::Path;
use std::time::Duration;

use mastichaven_core::Config;
use mastichaven_core::Manifest;
use mastichaven_core::config::ZoneState;
use mastichaven_core::ids::Digest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Result;
use crate::fleet::wait_until;

const ZONES: [(&str, &str); 3] = [("lagoa", "sul"), ("serra", "sul"), ("litoral", "costa")];
const ENGINES_A_ZONE: usize = 3;
const MODEL_LEN: usize = 1 << 20;
const CHUNK_LEN: u32 = 64 << 10;
const STEP_LIMIT: Duration = Duration::from_secs(20);

/// Runs the demonstration; fails if a promise broke.
pub fn run(json_file: Option<&Path>) -> Result<()> {
    let layout =
        Layout { zones: ZONES.to_vec(), entries: 1, engines: ENGINES_A_ZONE, origin_rate: 4e6 };
    let mut fleet = Fleet::start(&layout)?;
    println!("started {} entries, {} agents", fleet.entries.len(), fleet.agents.len());
    let mut weights = vec![0; MODEL_LEN];
    ChaCha8Rng::seed_from_u64(1).fill(&mut weights[..]);
    let manifest = fleet.origin.put(&weights, CHUNK_LEN);
    let mut config = configuration(&manifest)?;
    fleet.publish(&config)?;
    let wanted = ZONES.len() * ENGINES_A_ZONE;
    let replicas_after = wait_until(STEP_LIMIT, || fleet.replicas(manifest.digest()) == wanted)
        .ok_or("the replicas were not there in time")?;
    let copies = fleet.origin.sent() as f64 / MODEL_LEN as f64;
    println!("{wanted} replicas after {replicas_after:?}, {copies:.2} copies from the origin");
    if wait_until(STEP_LIMIT, || ask_model(&fleet, 0).is_ok()).is_none() {
        return Err(format!("no entry answered: {:?}", ask_model(&fleet, 0)));
    }

    let mut answered = 0;
    for n in 0..30 {
        ask_model(&fleet, n)?;
        answered += 1;
    }
    book(&fleet, "pen-7")?;
    println!("answered {answered} model requests and one booking");

    config.zone.get_mut(&"serra".into()).ok_or("no zone serra")?.state = ZoneState::Out;
    fleet.publish(&config)?;
    std::thread::sleep(Duration::from_secs(2));
    let before = completed_in(&fleet, "serra");
    for n in 0..30 {
        ask_model(&fleet, n)?;
        answered += 1;
    }
    if completed_in(&fleet, "serra") != before {
        return Err("a zone that is out was given work".to_owned());
    }
    println!("zone serra out: 30 requests answered elsewhere");
    config.zone.get_mut(&"serra".into()).ok_or("no zone serra")?.state = ZoneState::In;
    fleet.publish(&config)?;
    wait_until(STEP_LIMIT, || {
        let _ = ask_model(&fleet, 1);
        completed_in(&fleet, "serra") > before
    })
    .ok_or("zone serra got no work after its return")?;
    println!("zone serra back: it answers again");
    let fell_over: u64 = fleet.engines.values().map(|engine| engine.counts().fell_over).sum();
    if fell_over > 0 {
        return Err(format!("{fell_over} engines were given more than they bear"));
    }
    for (_, entry) in std::mem::take(&mut fleet.entries) {
        entry.stop();
    }
    for (_, agent) in std::mem::take(&mut fleet.agents) {
        agent.stop();
    }
    let figures = json!({
        "replicas": wanted,
        "seconds_to_replicas": replicas_after.as_secs_f64(),
        "origin_copies": copies,
        "answered": answered,
    });
    println!("{figures:#}");
    if let Some(file) = json_file {
        fs::write(file, format!("{figures:#}\n")).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn configuration(manifest: &Manifest) -> Result<Config> {
    let text = format!(
        r#"
        [zone.lagoa]
        region = "sul"
        [zone.serra]
        region = "sul"
        [zone.litoral]
        region = "costa"
        [customer.coop]
        key_digest = "{key}"
        [model.rota]
        serve = "rota-1"
        [version.rota-1]
        model = "rota"
        manifest = "{manifest}"
        [placement.rota]
        model = "rota"
        replicas = 9
        [service.rota]
        kind = "model"
        model = "rota"
        [service.booking]
        kind = "plain"
        [route.rota]
        path = "/v1/chat/completions"
        service = "rota"
        [route.booking]
        path = "/book"
        service = "booking"
        "#,
        key = Digest::of(CUSTOMER_KEY.as_bytes()).to_hex(),
        manifest = manifest.digest().to_hex(),
    );
    toml::from_str(&text).map_err(|e| e.to_string())
}

fn completed_in(fleet: &Fleet, zone: &str) -> u64 {
    let prefix = format!("agent-{zone}-");
    let of_zone = fleet.engines.iter().filter(|(host, _)| host.as_str().starts_with(&prefix));
    of_zone.map(|(_, engine)| engine.counts().completed).sum()
}

fn ask_model(fleet: &Fleet, n: usize) -> Result<()> {
    let body = json!({"model": "rota", "stream": true, "max_tokens": 8,
        "messages": [{"role": "user", "content": format!("rota draft {n}")}]});
    let text = post(fleet, n, "/v1/chat/completions", body.to_string())?;
    if text.contains("t7 ") && text.ends_with("data: [DONE]\n\n") {
        Ok(())
    } else {
        Err(format!("an answer is not whole: {text:?}"))
    }
}

fn book(fleet: &Fleet, what: &str) -> Result<()> {
    post(fleet, 0, "/book", what.to_owned())?;
    match fleet.plain.runs().get(what) {
        Some(1) => Ok(()),
        other => Err(format!("the booking ran {other:?} times")),
    }
}

fn post(fleet: &Fleet, n: usize, path: &str, body: String) -> Result<String> {
    let (_, entry) = &fleet.entries[n % fleet.entries.len()];
    let response = minreq::post(format!("http://{}{path}", entry.callers_addr()))
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
