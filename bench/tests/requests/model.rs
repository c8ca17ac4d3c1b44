use std::thread;
use std::time::Duration;

use mastichaven_bench::fleet::CUSTOMER_KEY;
use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;
use mastichaven_bench::fleet::wait_until;
use mastichaven_standins::EngineProfile;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn fleet(per_token: Duration) -> Fleet {
    let profile = EngineProfile { per_token, ..EngineProfile::default() };
    let zones = vec![("lagoa", "sul")];
    let layout = Layout { zones, entries: 2, engines: 3, profile, ..Layout::default() };
    let fleet = Fleet::start(&layout).unwrap();
    fleet.serve_model(64 << 10, WAIT_TIMEOUT).unwrap();
    fleet
}

fn send_prompt(fleet: &Fleet, entry: usize, prompt: &str, tokens: usize) -> (u16, String, String) {
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

// An engine crashes in the middle of streams. The streams have to resume on another engine. A
// stream that ended early would give its caller half a response, and one resumed at the wrong
// position would repeat or lose tokens.
#[test]
fn stream_resumes_after_engine_crash() {
    let fleet = fleet(Duration::from_millis(15));
    thread::scope(|scope| {
        let readers: Vec<_> = (0..4)
            .map(|n| {
                scope.spawn({
                    let fleet = &fleet;
                    move || send_prompt(fleet, n, &format!("draft {n}"), 40)
                })
            })
            .collect();
        let busy = || fleet.engines.values().filter(|engine| engine.running() > 0).count();
        assert!(wait_until(WAIT_TIMEOUT, || busy() > 0).is_some());
        thread::sleep(Duration::from_millis(200));
        let crashing_engine = fleet.engines.values().find(|engine| engine.running() > 0).unwrap();
        crashing_engine.crash();
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

// One prompt crashes each engine that runs it, and its caller retries it through every entry.
// Without a quarantine all engines would be down for all callers. Prompts that ran on an engine at
// the same time must not be refused.
#[test]
fn poison_prompt_quarantined_and_others_served() {
    let fleet = fleet(Duration::from_millis(10));
    for engine in fleet.engines.values() {
        engine.set_faults(|faults| faults.poison = "poison".to_owned());
    }
    let starts = || fleet.engines.values().map(|engine| engine.counts().starts).sum::<u64>();
    let before = starts();
    thread::scope(|scope| {
        let other_callers: Vec<_> = (0..4)
            .map(|n| {
                let fleet = &fleet;
                scope.spawn(move || {
                    (0..10).all(|round| {
                        let answered =
                            || send_prompt(fleet, n, &format!("draft {n} {round}"), 10).0 == 200;
                        wait_until(WAIT_TIMEOUT, answered).is_some()
                    })
                })
            })
            .collect();
        let refused = |n: usize| send_prompt(&fleet, n, "poison", 4).1 == "114";
        let mut entry = 0;
        let time_to_quarantine = wait_until(WAIT_TIMEOUT, || {
            entry += 1;
            refused(entry)
        });
        assert!(time_to_quarantine.is_some(), "the poison prompt is not refused in time");
        assert!(
            wait_until(WAIT_TIMEOUT, || refused(0) && refused(1)).is_some(),
            "only one entry refuses the poison prompt"
        );
        assert!(other_callers.into_iter().all(|caller| caller.join().unwrap()));
    });
    let crashes = starts() - before;
    assert!((2..=4).contains(&crashes), "{crashes} crashes");
    fleet.stop();
}
