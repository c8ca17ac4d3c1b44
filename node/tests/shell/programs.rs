//! The programs' command lines and exit codes.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const ENTRY: &str = env!("CARGO_BIN_EXE_mastichaven-entry");
const AGENT: &str = env!("CARGO_BIN_EXE_mastichaven-agent");
const CTL: &str = env!("CARGO_BIN_EXE_mastichaven-ctl");

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().unwrap()
}

fn create_temp_folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn exit_code_reflects_arguments() {
    for program in [ENTRY, AGENT, CTL] {
        for shown in ["--help", "--version"] {
            let output = run(program, &[shown]);
            assert_eq!(output.status.code(), Some(0), "{program} {shown}");
            assert!(!output.stdout.is_empty());
        }
        let output = run(program, &["--nonsense"]);
        assert_eq!(output.status.code(), Some(2), "{program} --nonsense");
        assert!(!output.stderr.is_empty());
    }
}

#[test]
fn invalid_settings_exit_code_and_message() {
    // A settings file has a mistake. The exit code tells the supervisor not to restart, and the
    // message gives the operator file, line, code and key.
    let file = create_temp_folder("refused").join("agent.toml");
    fs::write(&file, "origin = 1\n").unwrap();
    let output = run(AGENT, &[file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(3));
    let shown = String::from_utf8(output.stderr).unwrap();
    assert!(shown.contains("agent.toml:1: E203 origin: invalid type"), "{shown}");
}

#[test]
fn certs_writes_owner_only_keys() {
    let folder = create_temp_folder("certs");
    let out = folder.to_str().unwrap();
    let output = run(CTL, &["certs", "--out", out, "entry:entry-1", "agent:agent-1"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let mut names: Vec<String> = fs::read_dir(&folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    let expected = ["agent-1.key.pem", "agent-1.pem", "ca.pem", "entry-1.key.pem", "entry-1.pem"];
    assert_eq!(names, expected);
    let mode = fs::metadata(folder.join("entry-1.key.pem")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let output = run(CTL, &["certs", "--out", out, "captain:host-1"]);
    assert_eq!(output.status.code(), Some(3));
}
