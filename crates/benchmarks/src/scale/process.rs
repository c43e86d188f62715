//! A proxy as a process of the program, with a list of caches that all have the address of one test server.

use meadowrill_test_servers::journal::PublishingJournal;
use meadowrill_test_servers::load::{Counts, RunningLoad};
use meadowrill_test_servers::program::{member, proxy_binary, Site};
use meadowrill_test_servers::service::{Directory, Service};
use meadowrill_test_servers::Program;
use serde_json::Value;
use std::fs;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

const WORKERS: usize = 64;
/// Microseconds of one tick of `/proc/PID/stat`.
const TICK_US: f64 = 1e4;
/// A process counts as idle once it uses at most one tick of processor time in this interval.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of intervals after which waiting for an idle process ends.
const MAX_IDLE_INTERVALS: u32 = 100;

/// How a proxy is started.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProxySetup {
    pub caches: usize,
    pub sockets: usize,
    pub body_bytes: usize,
}

impl Default for ProxySetup {
    fn default() -> ProxySetup {
        ProxySetup {
            caches: 3,
            sockets: 4096,
            body_bytes: 2_000,
        }
    }
}

/// A running proxy and the test servers that it is connected to.
pub(super) struct ProxyProcess {
    pub program: Program,
    pub journal: PublishingJournal,
    socket: PathBuf,
    _folder: tempfile::TempDir,
    _service: Service,
}

/// Members of a list of `count` caches, at an address where no server needs to listen.
pub(super) fn list_members(count: usize) -> Vec<Value> {
    let unused_address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    (0..count)
        .map(|n| member(&format!("s-{n:08x}"), "std", unused_address, "SERVING"))
        .collect()
}

impl ProxyProcess {
    pub(super) fn start(setup: ProxySetup) -> ProxyProcess {
        ProxyProcess::start_with(setup, PublishingJournal::start())
    }

    /// Starts a proxy with a journal service that may have a backlog.
    pub(super) fn start_with(setup: ProxySetup, journal: PublishingJournal) -> ProxyProcess {
        let directory = Directory::default();
        let service = Service::start(WORKERS, Duration::ZERO, setup.body_bytes, false, &directory);
        let names: Vec<String> = (0..setup.caches).map(|n| format!("s-{n:08x}")).collect();
        let caches: Vec<_> = names
            .iter()
            .map(|name| (name.as_str(), service.address))
            .collect();
        let (parent, origin) = (service.address, service.address);
        let mut config = Site {
            caches: &caches,
            parent,
            origin,
            journal: journal.address,
        }
        .config();
        config["limits"]["sockets"] = setup.sockets.into();
        let folder = tempfile::tempdir().expect("temporary folder");
        let socket = folder.path().join("operators");
        let settings = format!("operators {{ socket: \"{}\" }}", socket.display());
        let mut command = Command::new(proxy_binary().with_file_name("counted"));
        let program = Program::start_command(&mut command, &config, &settings);
        ProxyProcess {
            program,
            journal,
            socket,
            _folder: folder,
            _service: service,
        }
    }

    fn read_proc_file(&self, file: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{file}", self.program.child.id())).unwrap_or_default()
    }

    /// Processor time of all threads of the process so far, in microseconds.
    pub(super) fn cpu_us(&self) -> f64 {
        let stat = self.read_proc_file("stat");
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|n| n.parse::<f64>().ok());
        ticks.sum::<f64>() * TICK_US
    }

    pub(super) fn resident_bytes(&self) -> f64 {
        let status = self.read_proc_file("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|value| value.trim().trim_end_matches(" kB").parse::<f64>().ok())
            .map_or(f64::NAN, |kb| kb * 1e3)
    }

    /// The response of the operator socket to a command.
    pub(super) fn operator_command(&self, command: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = UnixStream::connect(&self.socket) {
            let written = stream.write_all(format!("{command}\n").as_bytes());
            let _ = written.and_then(|()| stream.read_to_string(&mut text).map(drop));
        }
        text
    }

    /// A counter of the event loop.
    pub(super) fn counter(&self, name: &str) -> f64 {
        let text = self.operator_command("counts");
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|n| n.trim().parse().ok()).unwrap_or(f64::NAN)
    }

    /// Waits until the process is idle and returns its processor time so far in microseconds. Not a number if the
    /// process does not become idle.
    pub(super) fn cpu_us_when_idle(&self) -> f64 {
        let mut previous = self.cpu_us();
        for _ in 0..MAX_IDLE_INTERVALS {
            sleep(IDLE_INTERVAL);
            let now = self.cpu_us();
            if now - previous <= TICK_US {
                return now;
            }
            previous = now;
        }
        f64::NAN
    }

    /// Measures the costs per hit for `span` while a load runs.
    pub(super) fn measure_hits(&self, run: &RunningLoad, span: Duration) -> Hits {
        let satisfied = || Counts::value(&run.counts.successful) as f64;
        let (cpu, connections, hits) = (self.cpu_us(), self.counter("connections"), satisfied());
        sleep(span);
        let (cpu, connections) = (
            self.cpu_us() - cpu,
            self.counter("connections") - connections,
        );
        let hits = (satisfied() - hits).max(1.0);
        Hits {
            cpu_us: cpu / hits,
            connection_calls: connections / hits,
            per_second: hits / span.as_secs_f64(),
        }
    }
}

/// The costs per hit and the rate of hits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hits {
    pub cpu_us: f64,
    /// System calls for connections.
    pub connection_calls: f64,
    pub per_second: f64,
}
