//! One front as a process of the program, with a list of so many caches that all stand for one stand-in.

use meadowrill_test_servers::journal::Speaking;
use meadowrill_test_servers::load::{Counts, Running};
use meadowrill_test_servers::program::{binary, member, Site};
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
/// How long a process has to use no processor time before it counts as idle.
const IDLE: Duration = Duration::from_millis(400);
/// The longest that it is waited for.
const PATIENCE: u32 = 100;

/// How a front is started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    pub caches: usize,
    pub sockets: usize,
    pub body_bytes: usize,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            caches: 3,
            sockets: 4096,
            body_bytes: 2_000,
        }
    }
}

/// A running front and what it talks to.
pub(super) struct Front {
    pub program: Program,
    pub journal: Speaking,
    socket: PathBuf,
    _folder: tempfile::TempDir,
    _service: Service,
}

/// Members of a list of so many caches, at an address that nothing has to listen at.
pub(super) fn listed(count: usize) -> Vec<Value> {
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    (0..count)
        .map(|n| member(&format!("s-{n:08x}"), "std", nowhere, "SERVING"))
        .collect()
}

impl Front {
    pub(super) fn start(setup: Setup) -> Front {
        Front::start_with(setup, Speaking::start())
    }

    /// With a journal service that may have a backlog.
    pub(super) fn start_with(setup: Setup, journal: Speaking) -> Front {
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
        let folder = tempfile::tempdir().expect("a folder");
        let socket = folder.path().join("operators");
        let settings = format!("operators {{ socket: \"{}\" }}", socket.display());
        let mut command = Command::new(binary().with_file_name("counted"));
        let program = Program::commanded(&mut command, &config, &settings);
        Front {
            program,
            journal,
            socket,
            _folder: folder,
            _service: service,
        }
    }

    fn proc(&self, file: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{file}", self.program.child.id())).unwrap_or_default()
    }

    /// Processor time of the process so far, in microseconds; of its threads together.
    pub(super) fn cpu_us(&self) -> f64 {
        let stat = self.proc("stat");
        let after = stat.rsplit(')').next().unwrap_or_default();
        let ticks = after
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|n| n.parse::<f64>().ok());
        ticks.sum::<f64>() * TICK_US
    }

    /// Resident bytes.
    pub(super) fn resident(&self) -> f64 {
        let status = self.proc("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok())
            .map_or(f64::NAN, |kb| kb * 1e3)
    }

    /// What the operators' socket answers to a word.
    pub(super) fn word(&self, word: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = UnixStream::connect(&self.socket) {
            let asked = stream.write_all(format!("{word}\n").as_bytes());
            let _ = asked.and_then(|()| stream.read_to_string(&mut text).map(drop));
        }
        text
    }

    /// A count of the loop.
    pub(super) fn count(&self, name: &str) -> f64 {
        let text = self.word("counts");
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|n| n.trim().parse().ok()).unwrap_or(f64::NAN)
    }

    /// Processor time once nothing more is done, in microseconds.
    pub(super) fn cpu_when_idle(&self) -> f64 {
        let mut spent = self.cpu_us();
        for _ in 0..PATIENCE {
            sleep(IDLE);
            let now = self.cpu_us();
            if now - spent <= TICK_US {
                return now;
            }
            spent = now;
        }
        f64::NAN
    }

    /// Processor microseconds and new connections a hit while a load runs so long.
    pub(super) fn hits(&self, run: &Running, span: Duration) -> Hits {
        let done = || Counts::of(&run.counts.satisfied) as f64;
        let (cpu, connections, hits) = (self.cpu_us(), self.count("connections"), done());
        sleep(span);
        let (cpu, connections) = (self.cpu_us() - cpu, self.count("connections") - connections);
        let hits = (done() - hits).max(1.0);
        Hits {
            cpu_us: cpu / hits,
            connection_calls: connections / hits,
            per_second: hits / span.as_secs_f64(),
        }
    }
}

/// What a hit cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hits {
    pub cpu_us: f64,
    /// System calls for connections.
    pub connection_calls: f64,
    pub per_second: f64,
}
