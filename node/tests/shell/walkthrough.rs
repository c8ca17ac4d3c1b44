//! The programs as processes, from certificates to a shutdown with a response in flight.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStderr;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::ids::Digest;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ListedHost;
use mastichaven_standins::Engine;
use mastichaven_standins::EngineProfile;
use mastichaven_standins::Origin;
use mastichaven_standins::Platform;
use mastichaven_standins::origin::random_weights;

use crate::ANY;

/// Bounds each step, with a wide margin for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// A running program under test; killed on drop.
struct Process {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(program: &str, settings: &Path) -> Process {
        let mut child = Command::new(program).arg(settings).stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        Process { child, log }
    }

    /// Reads the log up to the next line that contains `text`.
    fn read_log(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert_ne!(self.log.read_line(&mut line).unwrap(), 0, "ended before {text:?}");
        }
        line
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Waits for the exit code. The log is read meanwhile, so that the pipe cannot fill up and block
    /// the process.
    fn exit_code(mut self) -> Option<i32> {
        let mut rest = String::new();
        while self.log.read_line(&mut rest).unwrap() > 0 {
            rest.clear();
        }
        self.child.wait().unwrap().code()
    }
}

/// The address after `name: ` in a log line.
fn address_in(line: &str, name: &str) -> SocketAddr {
    let (_, rest) = line.split_once(&format!("{name}: ")).unwrap();
    rest.split([',', '\n', ' ']).next().unwrap().parse().unwrap()
}

fn ctl(arguments: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_mastichaven-ctl")).args(arguments).output();
    let output = output.unwrap();
    assert!(output.status.success(), "{arguments:?}: {output:?}");
}

fn settings(folder: &Path, host: &str, rest: &str, endpoint: &str) -> PathBuf {
    let certs = folder.display();
    let text = format!(
        "{rest}\n[place]\nhost = \"{host}\"\nzone = \"lagoa\"\nregion = \"sul\"\n\
         peers = \"{ANY}\"\noperators = \"{ANY}\"\n\
         [tls]\ncertificate = \"{certs}/{host}.pem\"\nkey = \"{certs}/{host}.key.pem\"\n\
         ca = \"{certs}/ca.pem\"\n{endpoint}"
    );
    let file = folder.join(format!("{host}.toml"));
    fs::write(&file, text).unwrap();
    file
}

fn publish(folder: &Path, platform: &Platform, manifest: Digest) {
    let config = folder.join("config");
    fs::create_dir_all(&config).unwrap();
    let files = [
        ("10-zones.toml", "[zone.lagoa]\nregion = \"sul\"\n".to_owned()),
        (
            "20-rest.toml",
            format!(
                "[customer.coop]\nkey_digest = \"{}\"\n[model.rota]\nserve = \"rota-1\"\n\
                 [version.rota-1]\nmodel = \"rota\"\nmanifest = \"{}\"\n\
                 [placement.rota]\nmodel = \"rota\"\nreplicas = 1\n\
                 [service.rota]\nkind = \"model\"\nmodel = \"rota\"\n\
                 [route.rota]\npath = \"/v1/chat/completions\"\nservice = \"rota\"\n",
                Digest::of(b"key").to_hex(),
                manifest.to_hex()
            ),
        ),
    ];
    for (name, text) in files {
        fs::write(config.join(name), text).unwrap();
    }
    ctl(&["check", config.to_str().unwrap()]);
    ctl(&["publish", "--platform", &platform.base(), config.to_str().unwrap()]);
}

fn listed(host: &str, role: HostRole, address: SocketAddr) -> ListedHost {
    let (zone, region) = ("lagoa".into(), "sul".into());
    ListedHost { name: host.into(), role, zone, region, address, leaving: false }
}

fn send_chat_request(callers: SocketAddr, tokens: usize) -> BufReader<TcpStream> {
    let body =
        format!("{{\"model\":\"rota\",\"stream\":true,\"max_tokens\":{tokens},\"messages\":[]}}");
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nmastichaven-key: key\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    BufReader::new(stream)
}

fn read_to(reader: &mut impl BufRead, text: &str) {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert_ne!(reader.read_line(&mut line).unwrap(), 0, "ended before {text:?}");
    }
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + STEP_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "never {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn is_ready(operators: SocketAddr) -> bool {
    let ready = minreq::get(format!("http://{operators}/ready")).with_timeout(30).send();
    ready.is_ok_and(|response| response.status_code == 200)
}

#[test]
fn shutdown_completes_response_in_flight() {
    // An operator stops an agent and an entry while a caller reads a response. Both must report not
    // ready at once, and the caller must still get the complete response.
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("walkthrough");
    let _ = fs::remove_dir_all(&folder);
    ctl(&["certs", "--out", folder.to_str().unwrap(), "entry:entry-1", "agent:agent-1"]);
    let platform = Platform::start(ANY).unwrap();
    let origin = Origin::start(ANY, 1e9).unwrap();
    let engine = Engine::start(ANY, EngineProfile::default(), 1).unwrap();
    let manifest = origin.put(&random_weights(1, 200_000), 64 << 10);

    let common = format!("platform = \"{}\"", platform.base());
    let file = settings(&folder, "entry-1", &format!("callers = \"{ANY}\"\n{common}"), "");
    let mut entry = Process::start(env!("CARGO_BIN_EXE_mastichaven-entry"), &file);
    let endpoint = format!("[endpoint]\nkind = \"engine\"\naddress = \"{}\"\n", engine.base());
    let rest = format!("origin = \"{}\"\n{common}", origin.base());
    let file = settings(&folder, "agent-1", &rest, &endpoint);
    let mut agent = Process::start(env!("CARGO_BIN_EXE_mastichaven-agent"), &file);
    let entry_log = entry.read_log("started");
    let agent_log = agent.read_log("started");
    platform.set_hosts(vec![
        listed("entry-1", HostRole::Entry, address_in(&entry_log, "peers")),
        listed("agent-1", HostRole::Agent, address_in(&agent_log, "peers")),
    ]);
    publish(&folder, &platform, manifest.digest());
    let callers = address_in(&entry_log, "callers");
    wait_until("answered", || {
        let mut status = String::new();
        send_chat_request(callers, 1).read_line(&mut status).unwrap();
        status.contains("200")
    });

    for process in [&mut entry, &mut agent] {
        process.signal("-USR1");
        let dump = process.read_log("state, dump: ");
        assert!(dump.contains("\"generation\"") && !dump.contains("PRIVATE"), "{dump}");
    }

    engine.set_faults(|faults| faults.freeze_after = Some(3));
    let mut answer = send_chat_request(callers, 6);
    read_to(&mut answer, "t2 ");
    let operators = [address_in(&entry_log, "operators"), address_in(&agent_log, "operators")];
    assert!(operators.iter().all(|address| is_ready(*address)));
    for process in [&entry, &agent] {
        process.signal("-TERM");
    }
    wait_until("not ready", || !operators.iter().any(|address| is_ready(*address)));
    entry.signal("-TERM");
    engine.set_faults(|faults| faults.freeze_after = None);
    for token in ["t3 ", "t4 ", "t5 ", "[DONE]"] {
        read_to(&mut answer, token);
    }
    assert_eq!(entry.exit_code(), Some(0));
    assert_eq!(agent.exit_code(), Some(0));
}
