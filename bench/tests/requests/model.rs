use std::thread;
use std::time::Duration;

use mastichaven_bench::fleet::CUSTOMER_KEY;
use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;
use mastichaven_bench::fleet::wait_until;
use mastichaven_standins::EngineProfile;

const LIMIT: Duration = Duration::from_secs(60);

fn fleet(per_token: Duration) -> Fleet {
    let profile = EngineProfile { per_token, ..EngineProfile::default() };
    let zones = vec![("lagoa", "sul")];
    let layout = Layout { zones, entries: 2, engines: 3, profile, ..Layout::default() };
    let fleet = Fleet::start(&layout).unwrap();
    fleet.serve_model(64 << 10, LIMIT).unwrap();
    fleet
}

fn ask(fleet: &Fleet, entry: usize, prompt: &str, tokens: usize) -> (u16, String, String) {
    let body = format!(
        "{{\"model\":\"rota\",\"stream\":true,\"max_tokens\":{tokens},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"{prompt}\"}}]}}"
    );
    let response =
        minreq::post(format!("http://{}/v1/chat/completions", fleet.callers_addr(entry)))
            .with_header("mastichaven-key", CUSTOMER_KEY)
            .with_body(body)
            .with_timeout(60)
            .send()
            .unwrap();
    let code = response.header("mastichaven-code").unwrap_or_default().to_string();
    let text = response.as_str().unwrap().to_owned();
    (response.status_code, code, text)
}

// Engines crash in the middle of streams. The caller of one that was broken off would read half a
// draft; one that is resumed in the wrong place would read a token twice or miss one.
#[test]
fn stream_resumes_when_its_engine_crashes() {
    let fleet = fleet(Duration::from_millis(15));
    thread::scope(|scope| {
        let readers: Vec<_> = (0..4)
            .map(|n| {
                scope.spawn({
                    let fleet = &fleet;
                    move || ask(fleet, n, &format!("draft {n}"), 40)
                })
            })
            .collect();
        let busy = || fleet.engines.values().filter(|engine| engine.running() > 0).count();
        assert!(wait_until(LIMIT, || busy() > 0).is_some());
        thread::sleep(Duration::from_millis(200));
        let victim = fleet.engines.values().find(|engine| engine.running() > 0).unwrap();
        victim.crash();
        for reader in readers {
            let (status, _, text) = reader.join().unwrap();
            assert_eq!(status, 200, "{text}");
            for token in 0..40 {
                let token = format!("\"t{token} \"");
                assert_eq!(text.matches(&token).count(), 1, "{token} in {text}");
            }
            assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        }
    });
    fleet.stop();
}

// One prompt crashes each engine that runs it, and its caller sends it through every entry again.
// Without an end to that, all engines would be down for everybody; and the prompts that happened
// to run beside it must not be refused for its sake.
#[test]
fn poison_is_quarantined_and_innocents_are_not() {
    let fleet = fleet(Duration::from_millis(10));
    for engine in fleet.engines.values() {
        engine.set_faults(|faults| faults.poison = "poison".to_owned());
    }
    let starts = || fleet.engines.values().map(|engine| engine.counts().starts).sum::<u64>();
    let before = starts();
    thread::scope(|scope| {
        let innocents: Vec<_> = (0..4)
            .map(|n| {
                let fleet = &fleet;
                scope.spawn(move || {
                    (0..10).all(|round| {
                        let answered = || ask(fleet, n, &format!("draft {n} {round}"), 10).0 == 200;
                        wait_until(LIMIT, answered).is_some()
                    })
                })
            })
            .collect();
        let refused = |n: usize| ask(&fleet, n, "poison", 4).1 == "114";
        let mut entry = 0;
        let quarantined = wait_until(LIMIT, || {
            entry += 1;
            refused(entry)
        });
        assert!(quarantined.is_some(), "the poison is never refused");
        assert!(wait_until(LIMIT, || refused(0) && refused(1)).is_some(), "by one entry only");
        assert!(innocents.into_iter().all(|innocent| innocent.join().unwrap()));
    });
    let crashes = starts() - before;
    assert!((2..=4).contains(&crashes), "{crashes} crashes");
    fleet.stop();
}
