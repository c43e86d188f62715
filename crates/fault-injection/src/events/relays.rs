//! Relays as processes of the program: settings, start and stop, status and resource usage.

use super::layout::{region_name, region_of, relay_name, zone_name, zone_of};
use crate::relay::Fault;
use crate::relay::LinkRelays as NetworkEmulator;
use meadowrill_test_servers::journal::PublishingJournal;
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

/// The port on which relays receive datagrams; each relay has its own address.
const RELAY_PORT: u16 = 7100;
/// The number of the relay that publishes.
pub const PUBLISHER: usize = 0;
/// The test journal service numbers its events after this position.
const JOURNAL_START_POSITION: u64 = 1;
/// How long an answer of an operator socket may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The name of the fleet.
pub const FLEET: &str = "rig";

/// A relay in the settings of the fleet's members.
#[derive(Clone, Debug)]
pub struct RelayAddress {
    /// Its name in the fleet.
    pub name: String,
    /// Where other members reach it.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is the publisher.
    pub publishes: bool,
}

/// The lines of `fleet { events { ... } }`, the same for all members of a fleet. `extra_settings` are appended.
pub fn events_settings(relays: &[RelayAddress], extra_settings: &str) -> String {
    let mut text = String::from("  events {\n");
    for relay in relays {
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "    relay {{ name: \"{}\" address: \"{}\" region: \"{}\" zone: \"{}\" publishes: {} }}",
            relay.name, relay.address, relay.region, relay.zone, relay.publishes
        );
    }
    if !extra_settings.is_empty() {
        let _ = writeln!(text, "    {extra_settings}");
    }
    text + "  }\n"
}

/// One relay process: its settings, and the child while it runs.
pub struct RelayProcess {
    name: String,
    settings: String,
    folder: PathBuf,
    child: Option<Child>,
}

/// The values from which the settings file of one relay is written.
pub struct RelayConfig<'a> {
    /// Where its settings file, log and operator socket are.
    pub folder: &'a Path,
    /// Its name in the fleet, and the stem of its file names.
    pub name: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Where it receives datagrams.
    pub listen: SocketAddr,
    /// Where other members reach it.
    pub advertise: SocketAddr,
    /// The lines of `events { ... }`.
    pub events: &'a str,
    /// The journal service, for the relay that publishes.
    pub journal: Option<SocketAddr>,
}

impl RelayConfig<'_> {
    fn settings(&self) -> String {
        let publish = self.journal.map_or(String::new(), |journal| {
            format!(" publish {{ journal: \"{journal}\" after: {JOURNAL_START_POSITION} }}")
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
    /// A process that is not started yet.
    pub fn new(config: &RelayConfig) -> RelayProcess {
        RelayProcess {
            name: config.name.into(),
            settings: config.settings(),
            folder: config.folder.into(),
            child: None,
        }
    }

    fn path(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}.{suffix}", self.name))
    }

    /// The path of its log.
    pub fn log(&self) -> PathBuf {
        self.path("log")
    }

    /// Starts the process, unless it is running. `tool` is this crate's own program; its sub-command `hold` ends the
    /// relay when this process ends.
    pub fn start(&mut self, program: &Path, tool: &Path, mutant: Option<&str>) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let settings = self.path("textproto");
        std::fs::write(&settings, &self.settings)?;
        let log = File::options().create(true).append(true).open(self.log())?;
        let mut command = Command::new(tool);
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

    /// Sends the signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid().and_then(|pid| Pid::from_raw(pid as i32)) {
            // An error means that the process has ended: this was the intent, or the checks report the crash.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Whether the process has ended without a call of [`RelayProcess::kill`].
    pub fn crashed(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Its status, if it answers.
    pub fn status(&self) -> Option<RelayStatus> {
        let text = query_operator_socket(&self.path("sock"), "fleet events json").ok()?;
        serde_json::from_str(&text)
            .ok()
            .as_ref()
            .and_then(RelayStatus::read)
    }

    /// Its resource usage, if it is running.
    pub fn usage(&self) -> Option<ProcessUsage> {
        ProcessUsage::of(self.pid()?)
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends one command line to an operator socket and returns the answer.
pub fn query_operator_socket(socket: &Path, line: &str) -> io::Result<String> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Processor time of a process since its start, and its memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time in user and system mode.
    pub processor_micros: u64,
    /// Resident memory.
    pub resident_bytes: u64,
}

/// Index of a field of `/proc/PID/stat`, counted after the program's name: time in user mode, in clock ticks.
const USER_TICKS: usize = 11;
/// Index of the field after it: time in system mode, in clock ticks.
const SYSTEM_TICKS: usize = 12;

impl ProcessUsage {
    /// Reads `/proc`; `None` if the process has ended.
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

/// A position in the event log of one epoch, as a relay reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportedPosition {
    /// The run of the publisher.
    pub epoch: u64,
    /// Events of that epoch before this position.
    pub position: u64,
}

impl ReportedPosition {
    fn read(value: &Value) -> Option<ReportedPosition> {
        Some(ReportedPosition {
            epoch: value["epoch"].as_u64()?,
            position: value["position"].as_u64()?,
        })
    }
}

/// The fields of `fleet events json` that checks and figures use.
#[derive(Clone, Debug, Default)]
pub struct RelayStatus {
    /// The end of the relay's log.
    pub head: ReportedPosition,
    /// Events before this position are in force everywhere.
    pub done: Option<ReportedPosition>,
    /// Number of its subscribers.
    pub subscribers: u64,
    /// Subscribers that hold a lease.
    pub leased: u64,
    /// Purges that it holds.
    pub purges: u64,
    /// Bytes sent, without headers.
    pub sent_bytes: u64,
    /// Bytes received, without headers.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams received.
    pub received: u64,
}

impl RelayStatus {
    fn read(report: &Value) -> Option<RelayStatus> {
        let counter = |name: &str| report["counters"][name].as_u64().unwrap_or(0);
        Some(RelayStatus {
            head: ReportedPosition::read(&report["head"])?,
            done: ReportedPosition::read(&report["done"]),
            subscribers: report["subscribers"].as_u64()?,
            leased: report["leased"].as_u64()?,
            purges: report["purges"].as_u64()?,
            sent_bytes: counter("sent_bytes"),
            received_bytes: counter("received_bytes"),
            sent: counter("sent"),
            received: counter("received"),
        })
    }
}

/// How all relays of a run are started.
pub struct LaunchOptions {
    /// The program that runs as a relay.
    pub program: PathBuf,
    /// This crate's own program, which ends the relays when the driver ends.
    pub tool: PathBuf,
    /// The mutant that relays play, in builds with the feature `mutants`.
    pub mutant: Option<String>,
}

/// All relays of a run, the emulated network between them, and the test journal service that the publisher follows.
pub struct RelayFleet {
    /// The test journal service.
    pub journal: PublishingJournal,
    network: NetworkEmulator,
    processes: Vec<RelayProcess>,
    listen: Vec<SocketAddr>,
    folder: tempfile::TempDir,
    launch: LaunchOptions,
    /// Reserves the subnet of the run, which is derived from this port: no two runs can hold the same port at a time.
    _port: TcpListener,
}

impl RelayFleet {
    /// A fleet of relays that are started by [`RelayFleet::start`]. `extra_settings` are added to `events { ... }` of
    /// each relay.
    pub fn new(
        count: usize,
        seed: u64,
        extra_settings: &str,
        launch: LaunchOptions,
    ) -> io::Result<RelayFleet> {
        let port = TcpListener::bind("127.0.0.1:0")?;
        let [high, low] = port.local_addr()?.port().to_be_bytes();
        let journal = PublishingJournal::start();
        let network = NetworkEmulator::start(count, seed)?;
        let folder = tempfile::tempdir()?;
        let address = |relay: usize| RelayAddress {
            name: relay_name(relay),
            address: network.address(relay),
            region: region_name(region_of(relay)),
            zone: zone_name(zone_of(relay)),
            publishes: relay == PUBLISHER,
        };
        let all: Vec<RelayAddress> = (0..count).map(address).collect();
        let events = events_settings(&all, extra_settings);
        // The network emulator identifies the sender by the last octet of the address.
        let listen_at = |relay: usize| Ipv4Addr::new(127, high, low, (relay + 1) as u8);
        let listen: Vec<SocketAddr> = (0..count)
            .map(|relay| SocketAddr::new(listen_at(relay).into(), RELAY_PORT))
            .collect();
        let process = |(number, relay): (usize, &RelayAddress)| {
            network.set_listen_address(number, listen[number]);
            RelayProcess::new(&RelayConfig {
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
            network,
            processes,
            listen,
            folder,
            launch,
            _port: port,
        })
    }

    /// Where subscribers reach the relays. They bypass the network emulator, whose work would be counted as that of the
    /// relays otherwise.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.listen
    }

    /// The number of relays.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Starts a relay, unless it is running.
    pub fn start(&mut self, relay: usize) -> io::Result<()> {
        let launch = &self.launch;
        self.processes[relay].start(&launch.program, &launch.tool, launch.mutant.as_deref())
    }

    /// Kills a relay, and waits for its end.
    pub fn kill(&mut self, relay: usize) {
        self.processes[relay].kill();
    }

    /// The relays that have ended without being killed.
    pub fn crashed(&mut self) -> Vec<usize> {
        (0..self.count())
            .filter(|relay| self.processes[*relay].crashed())
            .collect()
    }

    /// The status of a relay, if it answers.
    pub fn status(&self, relay: usize) -> Option<RelayStatus> {
        self.processes[relay].status()
    }

    /// The operator socket of the publisher.
    pub fn publisher_socket(&self) -> PathBuf {
        self.processes[PUBLISHER].path("sock")
    }

    /// The resource usage of a relay, if it is running.
    pub fn usage(&self, relay: usize) -> Option<ProcessUsage> {
        self.processes[relay].usage()
    }

    /// Partitions these relays from all others.
    pub fn partition(&self, inside: &[usize]) {
        let outside: Vec<usize> = (0..self.count())
            .filter(|relay| !inside.contains(relay))
            .collect();
        for near in inside {
            for far in &outside {
                let cut = Fault {
                    cut: true,
                    ..Fault::default()
                };
                self.network.set(*near, *far, cut.clone());
                self.network.set(*far, *near, cut);
            }
        }
    }

    /// Makes all links between relays lose this share of their datagrams.
    pub fn set_loss(&self, share: f64) {
        for from in 0..self.count() {
            for to in (0..self.count()).filter(|to| *to != from) {
                self.network.set(
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

    /// Ends all faults of the network.
    pub fn heal(&self) {
        self.network.heal();
    }

    /// Copies the logs of all relays into this directory.
    pub fn copy_logs(&self, directory: &Path) -> io::Result<()> {
        std::fs::create_dir_all(directory)?;
        for process in &self.processes {
            let name = process.log();
            if let (true, Some(file)) = (name.exists(), name.file_name()) {
                std::fs::copy(&name, directory.join(file))?;
            }
        }
        Ok(())
    }

    /// Where settings, logs and operator sockets of the relays are.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

/// Asks the publisher how many purges are done. `None` while it does not answer, and until an event of its current
/// epoch is done.
///
/// A restarted publisher numbers from 0 the purges that it did not find at other relays. The number of purges that it
/// did find is the difference between the purges that it holds and those that it numbered, as long as none has expired.
pub fn query_done_purges(socket: &Path) -> Option<usize> {
    let text = query_operator_socket(socket, "fleet events json").ok()?;
    let report: Value = serde_json::from_str(&text).ok()?;
    let status = RelayStatus::read(&report)?;
    let done = status
        .done
        .filter(|done| done.epoch == status.head.epoch && done.position > 0)?;
    let recovered = status.purges.checked_sub(status.head.position)?;
    usize::try_from(recovered + done.position).ok()
}
