//! The proxy as a child process, with a configuration in the form that the platform writes.

use crate::{Cache, Journal, HANG_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// Path of the proxy executable, in the target folder of the current executable.
pub fn proxy_binary() -> PathBuf {
    let executable = std::env::current_exe().expect("the path of the current executable");
    let folder = executable.parent().expect("a folder");
    let folder = if folder.ends_with("deps") {
        folder.parent().expect("a folder")
    } else {
        folder
    };
    folder.join("meadowrill")
}

/// Interval at which the exit status of a child is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A loopback address that no other test uses: a free port alone may be assigned to another test before the program
/// binds it.
pub fn unique_loopback_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 64 + high % 64, low, NEXT.fetch_add(1, Relaxed))
}

/// Runs an operator command against the operator socket of a proxy; returns its output, or `None` if it fails.
pub fn run_operator_command(socket: &Path, arguments: &[&str]) -> Option<String> {
    let (first, rest) = arguments.split_first().expect("a command");
    let output = Command::new(proxy_binary())
        .arg(first)
        .arg(socket)
        .args(rest)
        .output()
        .unwrap();
    output
        .status
        .success()
        .then(|| String::from_utf8(output.stdout).unwrap())
}

/// How long the origin ignores repeats of an idempotency key.
pub const KEY_TTL: Duration = Duration::from_secs(3);

/// An endpoint of the endpoint list, in the form of the configuration.
pub fn member(id: &str, flavor: &str, address: SocketAddr, phase: &str) -> Value {
    let locality = if flavor == "std" { "east" } else { "main" };
    json!({"id": id, "host_port": address.to_string(), "locality": locality, "flavor": flavor, "cell": 1,
        "phase": phase, "size": 1, "up_since_ms": 0})
}

/// Addresses of a site: caches, parent, origin and journal service. The caches are in the same locality as the proxy.
#[derive(Clone, Copy)]
pub struct Site<'a> {
    pub caches: &'a [(&'a str, SocketAddr)],
    pub parent: SocketAddr,
    pub origin: SocketAddr,
    pub journal: SocketAddr,
}

/// A configuration in which nothing listens at the addresses of the parent and the origin.
pub fn config(caches: &[(&str, SocketAddr)], journal: SocketAddr) -> Value {
    let unreachable: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Site {
        caches,
        parent: unreachable,
        origin: unreachable,
        journal,
    }
    .config()
}

impl Site<'_> {
    /// The configuration of a proxy of this site.
    pub fn config(&self) -> Value {
        let mut members = vec![
            member("s-p", "parent", self.parent, "SERVING"),
            member("s-o", "origin", self.origin, "SERVING"),
        ];
        members.extend(
            self.caches
                .iter()
                .map(|(id, address)| member(id, "std", *address, "SERVING")),
        );
        let class = |name: &str, repeat: &str| {
            json!({"name": name, "repeat": repeat, "goal_time_s": 0.5, "deadline_s": 3.0, "aim_stretch": 2.0,
            "group": "all", "key_ttl_s": KEY_TTL.as_secs_f64(), "worth": 1.0})
        };
        json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "1f", "journal": self.journal.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": true, "members": members}}]},
        "settings": {
            "balancers": 1, "locality": 1, "zones": ["main", "east"], "host_types": ["std", "parent", "origin"],
            "classes": [class("map", "safe"), class("order", "unsafe"), class("book", "keyed")], "weight_kind": "off",
            "feedback": {"fields": ["cpu_share"], "source": "inline"},
            "guarantees": {"cold_from": 0.2, "warm_after_s": 10.0, "overload_factor": 3.0, "overload_for_s": 3.0},
            "limits": {"cancel": true, "conn_idle_s": 30.0, "connect_timeout_s": 0.4, "max_open": 20000,
                "retry_after": true, "max_retry_after_s": 1.0, "send_cap": 4},
            "specifics": {"origin_kind": 2, "second_tier_kind": 1, "says": "all", "pass_through_ok": false,
                "goes_through": [false, true, true], "max_age_s": [0.0, 0.0, 0.0], "stale_for_s": [0.0, 0.0, 0.0],
                "shares_fills": false, "purge_settles_s": 600.0, "upper_cold_from": 0.1,
                "parent_warms_in_s": 10.0, "parent_fall_multiple": 2.0, "zone_balancers": [0, 1]}}})
    }
}

/// A running proxy or relay process; killed on drop.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    /// Standard error, unless a thread reads it to its end.
    pub log: Option<BufReader<ChildStderr>>,
    /// The configuration file; for a relay, its settings file.
    pub config: tempfile::TempPath,
    /// The settings file, if settings were given.
    pub settings: Option<tempfile::TempPath>,
}

impl Program {
    /// The command that starts the proxy with this configuration, and the configuration file.
    pub fn command(config: &Value) -> (Command, tempfile::TempPath) {
        let mut command = Command::new(proxy_binary());
        let path = Program::add_configuration(&mut command, config);
        (command, path)
    }

    fn add_configuration(command: &mut Command, config: &Value) -> tempfile::TempPath {
        let path = temp_file(&config.to_string());
        command.env("BALANCER_CONFIG", &path).stderr(Stdio::piped());
        path
    }

    /// Starts a proxy and discards its log.
    pub fn start(config: &Value) -> Program {
        let mut program = Program::start_with_log(config);
        program.drain_log();
        program
    }

    /// Starts a proxy with a settings file and discards its log.
    pub fn with_settings(config: &Value, settings: &str) -> Program {
        let mut program = Program::with_settings_and_log(config, settings);
        program.drain_log();
        program
    }

    /// Starts a proxy with a settings file; its log is read up to its address.
    pub fn with_settings_and_log(config: &Value, settings: &str) -> Program {
        let mut command = Command::new(proxy_binary());
        Program::start_command_with_log(&mut command, config, settings)
    }

    /// Starts another build of the proxy, or the proxy under a tool.
    pub fn start_command(command: &mut Command, config: &Value, settings: &str) -> Program {
        let mut program = Program::start_command_with_log(command, config, settings);
        program.drain_log();
        program
    }

    fn start_command_with_log(command: &mut Command, config: &Value, settings: &str) -> Program {
        let file = temp_file(settings);
        let path = Program::add_configuration(command, config);
        command.arg("serve").arg("--settings").arg(&file);
        let mut program = Program::spawn_until_listening(command, path);
        program.settings = Some(file);
        program
    }

    /// Starts a relay, which has settings only, and discards its log.
    pub fn relay(settings: &str) -> Program {
        let mut program = Program::relay_with_log(settings);
        program.drain_log();
        program
    }

    /// Starts a relay; its log is read up to its address.
    pub fn relay_with_log(settings: &str) -> Program {
        let path = temp_file(settings);
        let mut command = Command::new(proxy_binary());
        command
            .arg("relay")
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::piped());
        Program::spawn_until_listening(&mut command, path)
    }

    /// Reads the log to its end, so that the process never blocks on it.
    fn drain_log(&mut self) {
        let mut log = self.log.take().unwrap();
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    }

    /// Starts a proxy; its log is read up to its address.
    pub fn start_with_log(config: &Value) -> Program {
        let (mut command, path) = Program::command(config);
        Program::spawn_until_listening(&mut command, path)
    }

    /// Spawns the process and reads its log up to its address.
    pub fn spawn_until_listening(command: &mut Command, path: tempfile::TempPath) -> Program {
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut before, mut line) = (String::new(), String::new());
        while !line.contains("listening") {
            before.push_str(&line);
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "exited before it listened: {before}"
            );
        }
        // The line has the text or the JSON form of the log.
        let json: Option<Value> = serde_json::from_str(&line).ok();
        let json_address = json.as_ref().and_then(|line| line["at"].as_str());
        let at = json_address
            .or_else(|| line.split("at: ").nth(1)?.split(',').next())
            .expect("an address");
        let address = at.parse().unwrap();
        Program {
            child,
            address,
            log: Some(log),
            config: path,
            settings: None,
        }
    }

    /// Starts a proxy with one cache and a journal service that sends no events.
    pub fn with_cache(cache: &Cache) -> (Program, Journal) {
        let journal = Journal::start();
        (
            Program::start(&config(&[("s-a", cache.address)], journal.address)),
            journal,
        )
    }

    /// The log of a proxy that fails to start; panics if it listens or exits successfully.
    pub fn startup_error(config: &Value) -> String {
        let (mut command, _path) = Program::command(config);
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut text, mut line) = (String::new(), String::new());
        while log.read_line(&mut line).unwrap() > 0 {
            text.push_str(&line);
            if line.contains("listening") {
                let _ = child.kill();
                let _ = child.wait();
                panic!("started despite its configuration: {text}");
            }
            line.clear();
        }
        assert!(
            !child.wait().unwrap().success(),
            "exited successfully: {text}"
        );
        text
    }

    /// Sends a signal, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Stops the process until [`Program::resume`]: it then finds everything that peers did meanwhile in one iteration
    /// of its event loop.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let is_stopped = || {
            std::fs::read_to_string(&stat)
                .unwrap()
                .rsplit(") ")
                .next()
                .unwrap()
                .starts_with('T')
        };
        crate::wait_until(HANG_TIMEOUT, "the process is stopped", is_stopped);
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Whether the process exits successfully within `timeout`.
    pub fn exits_within(&mut self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            if Instant::now() > end {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration by a rename, as platforms do, and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        replace(&self.config, text);
        self.signal("-HUP");
    }

    /// Replaces the settings file in the same way.
    pub fn reload_settings(&self, text: &str) {
        replace(self.settings.as_ref().expect("settings"), text);
        self.signal("-HUP");
    }

    /// The number of open file descriptors.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// Peak resident memory.
    pub fn peak_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Kills the process and waits for its exit, which also closes its connections.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

/// Creates a temporary file with this text.
fn temp_file(text: &str) -> tempfile::TempPath {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file.into_temp_path()
}

fn replace(path: &Path, text: &str) {
    let new_path = path.with_extension("new");
    std::fs::write(&new_path, text).unwrap();
    std::fs::rename(&new_path, path).unwrap();
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
