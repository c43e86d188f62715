//! Relays as processes of the program: settings, starts and ends, and what they tell of themselves.

use super::layout::{region_name, region_of, relay_name, zone_name, zone_of};
use crate::relay::Fault;
use crate::relay::LinkRelays as DatagramProxies;
use meadowrill_test_servers::journal::Speaking;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Where relays hear datagrams; each has an address of its own.
const PORT: u16 = 7100;
/// The relay that publishes.
pub const PUBLISHER: usize = 0;
/// The stand-in journal service numbers its events from here on.
const JOURNAL_BEGINS_AFTER: u64 = 1;
const ANSWER_MOST: Duration = Duration::from_secs(2);
pub const FLEET: &str = "rig";

/// A relay as others have to know it.
#[derive(Clone, Debug)]
pub struct RelayAddress {
    pub name: String,
    pub address: SocketAddr,
    pub region: String,
    pub zone: String,
    pub publishes: bool,
}

/// The lines of `fleet { events { ... } }`, the same for all members of a fleet.
pub fn events_settings(relays: &[RelayAddress], more: &str) -> String {
    let mut text = String::from("  events {\n");
    for relay in relays {
        // Writing to a text cannot fail.
        let _ = writeln!(
            text,
            "    relay {{ name: \"{}\" address: \"{}\" region: \"{}\" zone: \"{}\" publishes: {} }}",
            relay.name, relay.address, relay.region, relay.zone, relay.publishes
        );
    }
    if !more.is_empty() {
        let _ = writeln!(text, "    {more}");
    }
    text + "  }\n"
}

/// One relay process: what it is started with, and the child while it runs.
pub struct RelayProcess {
    name: String,
    settings: String,
    folder: PathBuf,
    child: Option<Child>,
}

/// What the settings of one relay say.
pub struct RelayPlace<'a> {
    pub folder: &'a Path,
    pub name: &'a str,
    pub region: &'a str,
    pub zone: &'a str,
    pub listen: SocketAddr,
    pub advertise: SocketAddr,
    /// The lines of `events { ... }`.
    pub events: &'a str,
    /// The journal service, for the relay that publishes.
    pub journal: Option<SocketAddr>,
}

impl RelayPlace<'_> {
    fn settings(&self) -> String {
        let publish = self.journal.map_or(String::new(), |journal| {
            format!(" publish {{ journal: \"{journal}\" after: {JOURNAL_BEGINS_AFTER} }}")
        });
        format!(
            "log {{ form: JSON }}\noperators {{ socket: \"{}\" }}\nfleet {{\n  name: \"{FLEET}\"\n  listen: \"{}\"\n  \
             advertise: \"{}\"\n  region: \"{}\"\n  zone: \"{}\"\n{}  relay {{ name: \"{}\"{publish} }}\n}}\n",
            self.folder.join(format!("{}.sock", self.name)).display(),
            self.listen,
            self.advertise,
            self.region,
            self.zone,
            self.events,
            self.name,
        )
    }
}

impl RelayProcess {
    pub fn new(place: &RelayPlace) -> RelayProcess {
        RelayProcess {
            name: place.name.into(),
            settings: place.settings(),
            folder: place.folder.into(),
            child: None,
        }
    }

    fn path(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}.{suffix}", self.name))
    }

    pub fn log(&self) -> PathBuf {
        self.path("log")
    }

    /// `holder` ends the process when this one ends.
    pub fn start(&mut self, program: &Path, holder: &Path, mutant: Option<&str>) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let settings = self.path("textproto");
        std::fs::write(&settings, &self.settings)?;
        let log = File::options().create(true).append(true).open(self.log())?;
        let mut command = Command::new(holder);
        command
            .arg("hold")
            .arg(std::process::id().to_string())
            .arg(program);
        command.args(["relay", "--settings"]).arg(settings);
        if let Some(mutant) = mutant {
            command.env("MEADOWRILL_MUTANT", mutant);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid().and_then(|pid| Pid::from_raw(pid as i32)) {
            // One that has ended meanwhile is what was wanted, or is seen by the checks.
            let _ = kill_process(pid, signal);
        }
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// It ended without being told to.
    pub fn crashed(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn status(&self) -> Option<RelayStatus> {
        let text = ask(&self.path("sock"), "fleet events json").ok()?;
        serde_json::from_str(&text)
            .ok()
            .as_ref()
            .and_then(RelayStatus::read)
    }

    pub fn usage(&self) -> Option<ProcessUsage> {
        ProcessUsage::of(self.pid()?)
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the operators' socket answers to a line.
pub fn ask(socket: &Path, line: &str) -> io::Result<String> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(ANSWER_MOST))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Processor time and memory of a process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    pub processor_micros: u64,
    pub resident_bytes: u64,
}

/// Fields of `/proc/PID/stat` behind the program's name: time in user and in system mode, in clock ticks.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

impl ProcessUsage {
    pub fn of(pid: u32) -> Option<ProcessUsage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = |field: usize| {
            fields
                .get(field)
                .and_then(|ticks| ticks.parse::<u64>().ok())
        };
        let micros_per_tick = 1_000_000 / rustix::param::clock_ticks_per_second();
        let memory = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let pages: u64 = memory.split(' ').nth(1)?.parse().ok()?;
        Some(ProcessUsage {
            processor_micros: (ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?) * micros_per_tick,
            resident_bytes: pages * rustix::param::page_size() as u64,
        })
    }
}

/// A point in the log of one epoch, as a relay tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ToldPosition {
    pub epoch: u64,
    pub position: u64,
}

impl ToldPosition {
    fn read(value: &Value) -> Option<ToldPosition> {
        Some(ToldPosition {
            epoch: value["epoch"].as_u64()?,
            position: value["position"].as_u64()?,
        })
    }
}

/// What the checks and the figures need of `fleet events json`.
#[derive(Clone, Debug, Default)]
pub struct RelayStatus {
    pub head: ToldPosition,
    pub done: Option<ToldPosition>,
    pub subscribers: u64,
    pub leased: u64,
    /// Purges that it holds.
    pub purges: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub sent: u64,
    pub received: u64,
}

impl RelayStatus {
    fn read(told: &Value) -> Option<RelayStatus> {
        let counter = |name: &str| told["counters"][name].as_u64().unwrap_or(0);
        Some(RelayStatus {
            head: ToldPosition::read(&told["head"])?,
            done: ToldPosition::read(&told["done"]),
            subscribers: told["subscribers"].as_u64()?,
            leased: told["leased"].as_u64()?,
            purges: told["purges"].as_u64()?,
            sent_bytes: counter("sent_bytes"),
            received_bytes: counter("received_bytes"),
            sent: counter("sent"),
            received: counter("received"),
        })
    }
}

/// What all relays of a run are started with.
pub struct RelayTools {
    pub program: PathBuf,
    pub holder: PathBuf,
    pub mutant: Option<String>,
}

/// All relays of a run, with datagram proxies between them that can be cut, and the journal service that one follows.
pub struct RelayFleet {
    pub journal: Speaking,
    proxies: DatagramProxies,
    processes: Vec<RelayProcess>,
    listen: Vec<SocketAddr>,
    folder: tempfile::TempDir,
    tools: RelayTools,
    /// Keeps the subnet this run's own, as no two hold one port at a time.
    _port: TcpListener,
}

impl RelayFleet {
    /// Started by [`RelayFleet::start`]. `more` stands in `events { ... }` of each.
    pub fn new(many: usize, seed: u64, more: &str, tools: RelayTools) -> io::Result<RelayFleet> {
        let port = TcpListener::bind("127.0.0.1:0")?;
        let [high, low] = port.local_addr()?.port().to_be_bytes();
        let journal = Speaking::start();
        let proxies = DatagramProxies::start(many, seed)?;
        let folder = tempfile::tempdir()?;
        let address = |relay: usize| RelayAddress {
            name: relay_name(relay),
            address: proxies.address(relay),
            region: region_name(region_of(relay)),
            zone: zone_name(zone_of(relay)),
            publishes: relay == PUBLISHER,
        };
        let all: Vec<RelayAddress> = (0..many).map(address).collect();
        let events = events_settings(&all, more);
        // The proxies know who sends by the last octet.
        let listen_at = |relay: usize| Ipv4Addr::new(127, high, low, (relay + 1) as u8);
        let listen: Vec<SocketAddr> = (0..many)
            .map(|relay| SocketAddr::new(listen_at(relay).into(), PORT))
            .collect();
        let process = |(number, relay): (usize, &RelayAddress)| {
            proxies.set_listen_address(number, listen[number]);
            RelayProcess::new(&RelayPlace {
                folder: folder.path(),
                name: &relay.name,
                region: &relay.region,
                zone: &relay.zone,
                listen: listen[number],
                advertise: relay.address,
                events: &events,
                journal: (number == PUBLISHER).then_some(journal.address),
            })
        };
        let processes = all.iter().enumerate().map(process).collect();
        Ok(RelayFleet {
            journal,
            proxies,
            processes,
            listen,
            folder,
            tools,
            _port: port,
        })
    }

    /// Where subscribers reach them: not through the proxies, whose work would be counted with theirs.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.listen
    }

    pub fn many(&self) -> usize {
        self.processes.len()
    }

    pub fn start(&mut self, relay: usize) -> io::Result<()> {
        let tools = &self.tools;
        self.processes[relay].start(&tools.program, &tools.holder, tools.mutant.as_deref())
    }

    pub fn kill(&mut self, relay: usize) {
        self.processes[relay].kill();
    }

    pub fn crashed(&mut self) -> Vec<usize> {
        (0..self.many())
            .filter(|relay| self.processes[*relay].crashed())
            .collect()
    }

    pub fn status(&self, relay: usize) -> Option<RelayStatus> {
        self.processes[relay].status()
    }

    /// Of the relay that publishes.
    pub fn publisher_socket(&self) -> PathBuf {
        self.processes[PUBLISHER].path("sock")
    }

    pub fn usage(&self, relay: usize) -> Option<ProcessUsage> {
        self.processes[relay].usage()
    }

    /// Nothing passes between these relays and all others.
    pub fn cut_off(&self, inside: &[usize]) {
        let outside: Vec<usize> = (0..self.many())
            .filter(|relay| !inside.contains(relay))
            .collect();
        for near in inside {
            for far in &outside {
                let cut = Fault {
                    cut: true,
                    ..Fault::default()
                };
                self.proxies.set(*near, *far, cut.clone());
                self.proxies.set(*far, *near, cut);
            }
        }
    }

    /// All links between relays lose this share of their datagrams.
    pub fn lose(&self, share: f64) {
        for from in 0..self.many() {
            for to in (0..self.many()).filter(|to| *to != from) {
                self.proxies.set(
                    from,
                    to,
                    Fault {
                        loss: share,
                        ..Fault::default()
                    },
                );
            }
        }
    }

    pub fn heal(&self) {
        self.proxies.heal();
    }

    /// Logs of all, for a failed run.
    pub fn keep_logs(&self, to: &Path) -> io::Result<()> {
        std::fs::create_dir_all(to)?;
        for process in &self.processes {
            let name = process.log();
            if let (true, Some(file)) = (name.exists(), name.file_name()) {
                std::fs::copy(&name, to.join(file))?;
            }
        }
        Ok(())
    }

    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

/// How many purges the publisher says are done; none while it does not answer.
///
/// A publisher that was started anew numbers from 0 what it did not find at other relays: what it found is the
/// difference of the purges that it holds and those that it numbered, as long as none has expired.
pub fn told_done(socket: &Path) -> Option<usize> {
    let text = ask(socket, "fleet events json").ok()?;
    let told: Value = serde_json::from_str(&text).ok()?;
    let status = RelayStatus::read(&told)?;
    let done = status
        .done
        .filter(|done| done.epoch == status.head.epoch && done.position > 0)?;
    let found = status.purges.checked_sub(status.head.position)?;
    usize::try_from(found + done.position).ok()
}
