//! Processes of the program, each at an address of its own, with settings written for it.

use crate::events::relays::{
    events_settings, RelayAddress, RelayPlace, RelayProcess, FLEET, PUBLISHER,
};
use crate::relay::{Relays, FRONTS};
use crate::{name, unix};
use meadowrill_test_servers::journal::Speaking;
use meadowrill_test_servers::program::{member, Site};
use meadowrill_test_servers::service::{Directory, Service};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Where clients reach a front; each has an address of its own.
const DOOR: u16 = 10080;
/// Where fronts and relays hear datagrams.
const FLEET_PORT: u16 = 7100;
const BOXES: usize = 3;
/// By relays a purge is in force everywhere after so long.
const HEED_OF_EVENTS: Duration = Duration::from_millis(2_900);
/// Bytes of an answer: short enough to be kept for a second try.
const SIZE: usize = 1500;

#[derive(Clone, Debug)]
pub struct Plan {
    pub fronts: usize,
    /// Relays of events, one of which publishes; they are numbered behind the fronts.
    pub relays: usize,
    /// What else stands in `events { ... }` of all.
    pub events: String,
    pub zones: usize,
    pub period_ms: u64,
    pub contacts: usize,
    pub remember_s: u64,
    pub seed: u64,
    /// What else stands in `fleet { ... }`, as in `replica { ledger { } }`; `$N` is the front's number, `$DIR` a folder.
    pub shared: String,
    /// The program of some of the fronts, where they differ: an older build.
    pub older: Option<PathBuf>,
    /// Builds with a fault of this name, for trying the checkers.
    pub mutant: Option<String>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            fronts: 8,
            relays: 0,
            events: String::new(),
            zones: 2,
            period_ms: 200,
            contacts: 3,
            remember_s: 600,
            seed: 1,
            shared: String::new(),
            older: None,
            mutant: None,
        }
    }
}

fn relay_name(relay: usize) -> String {
    format!("relay-{relay}")
}

/// What was asked of all caches, how much of it they had to fetch, and what came to the parent and the origin.
#[derive(Clone, Copy, Debug, Default)]
pub struct Requests {
    pub caches: u64,
    pub fills: u64,
    pub parent: u64,
    pub origin: u64,
}

struct Front {
    child: Option<Child>,
    moved: bool,
    stopped: bool,
    /// When it was started last, since the Unix epoch.
    started: Duration,
}

pub struct Fleet {
    pub plan: Plan,
    pub relays: Relays,
    pub folder: tempfile::TempDir,
    subnet: [u8; 2],
    fronts: Vec<Front>,
    program: PathBuf,
    holder: PathBuf,
    boxes: Vec<Service>,
    parent: Service,
    pub origin: Service,
    /// One journal service for the first front, and one for all others.
    journals: [Speaking; 2],
    event_relays: Vec<RelayProcess>,
    /// What the relay that publishes follows.
    published: Speaking,
    /// First processes of names that another has by now.
    twins: Vec<Child>,
    /// Keeps the subnet this run's own, as no two hold one port at a time.
    _port: TcpListener,
}

/// How one front sees the fleet.
#[derive(Clone, Debug)]
pub struct Sight {
    pub digest: String,
    pub state: String,
    pub here: Vec<String>,
    pub states: BTreeMap<String, String>,
    pub starts: BTreeMap<String, u64>,
}

impl Fleet {
    /// `program` is the front, `holder` this rig's own tool, which ends what it started when it ends.
    pub fn new(plan: Plan, program: &Path, holder: &Path) -> io::Result<Fleet> {
        if plan.fronts == 0 || plan.fronts + plan.relays > FRONTS {
            return Err(io::Error::other(format!(
                "{} fronts: 1 to {FRONTS} go",
                plan.fronts
            )));
        }
        let port = TcpListener::bind("127.0.0.1:0")?;
        let subnet = port.local_addr()?.port().to_be_bytes();
        let directory = Directory::default();
        let machine = |workers, each, empty| {
            Service::start(
                workers,
                Duration::from_millis(each),
                SIZE,
                empty,
                &directory,
            )
        };
        let boxes: Vec<Service> = (0..BOXES).map(|_| machine(8, 2, true)).collect();
        let (parent, origin) = (machine(16, 3, true), machine(16, 3, false));
        if let Ok(mut directory) = directory.lock() {
            directory.extend([
                ("s-p".into(), parent.address),
                ("s-o".into(), origin.address),
            ]);
        }
        let mut fleet = Fleet {
            relays: Relays::start(plan.fronts + plan.relays, plan.seed)?,
            folder: tempfile::tempdir()?,
            subnet,
            fronts: (0..plan.fronts)
                .map(|_| Front {
                    child: None,
                    moved: false,
                    stopped: false,
                    started: Duration::ZERO,
                })
                .collect(),
            program: program.into(),
            holder: holder.into(),
            boxes,
            parent,
            origin,
            journals: [Speaking::start(), Speaking::start()],
            event_relays: Vec::new(),
            published: Speaking::start(),
            twins: Vec::new(),
            _port: port,
            plan,
        };
        fleet.add_relays();
        Ok(fleet)
    }

    fn add_relays(&mut self) {
        if self.plan.relays == 0 {
            return;
        }
        self.boxes
            .iter()
            .for_each(|cache| cache.heed_within(HEED_OF_EVENTS));
        let events = self.events_settings();
        for relay in 0..self.plan.relays {
            let member = self.plan.fronts + relay;
            let listen = SocketAddr::new(self.ip(member).into(), FLEET_PORT);
            self.relays.expect_at(member, listen);
            let zone = format!("zone-{}", self.zone(member));
            let process = RelayProcess::new(&RelayPlace {
                folder: self.folder.path(),
                name: &relay_name(relay),
                region: &zone,
                zone: &zone,
                listen,
                advertise: self.relays.address(member),
                events: &events,
                journal: (relay == PUBLISHER).then_some(self.published.address),
            });
            self.event_relays.push(process);
        }
    }

    /// The same for all members; empty without relays.
    fn events_settings(&self) -> String {
        let address = |relay: usize| RelayAddress {
            name: relay_name(relay),
            address: self.relays.address(self.plan.fronts + relay),
            region: format!("zone-{}", self.zone(self.plan.fronts + relay)),
            zone: format!("zone-{}", self.zone(self.plan.fronts + relay)),
            publishes: relay == PUBLISHER,
        };
        let all: Vec<RelayAddress> = (0..self.plan.relays).map(address).collect();
        if all.is_empty() {
            return String::new();
        }
        events_settings(&all, &self.plan.events)
    }

    /// The relay of that number among all members.
    fn event_relay(&mut self, member: usize) -> Option<&mut RelayProcess> {
        member
            .checked_sub(self.plan.fronts)
            .and_then(|relay| self.event_relays.get_mut(relay))
    }

    /// Fronts and relays.
    pub fn members(&self) -> usize {
        self.plan.fronts + self.plan.relays
    }

    fn ip(&self, front: usize) -> Ipv4Addr {
        // Ports from the kernel are 32768 and up, so no other run has the half below.
        let is_moved = self.fronts.get(front).is_some_and(|front| front.moved);
        let moved = if is_moved { 0x80 } else { 0 };
        Ipv4Addr::new(
            127,
            self.subnet[0] ^ moved,
            self.subnet[1],
            (front + 1) as u8,
        )
    }

    /// Where clients reach it.
    pub fn door(&self, front: usize) -> SocketAddr {
        SocketAddr::new(self.ip(front).into(), DOOR)
    }

    pub fn zone(&self, member: usize) -> usize {
        // The first relay stands in the first zone.
        let number = member.checked_sub(self.plan.fronts).unwrap_or(member);
        number % self.plan.zones.max(1)
    }

    fn socket(&self, front: usize) -> PathBuf {
        self.folder.path().join(format!("{front}.sock"))
    }

    pub fn log(&self, front: usize) -> PathBuf {
        self.folder.path().join(format!("{front}.log"))
    }

    fn settings(&self, front: usize) -> String {
        let plan = &self.plan;
        let contacts: String = (0..plan.contacts.min(plan.fronts))
            .map(|n| format!("  contact: \"{}\"\n", self.relays.address(n)))
            .collect();
        format!(
            "log {{ form: JSON }}\noperators {{ socket: \"{}\" }}\nfleet {{\n  name: \"{FLEET}\"\n  listen: \"{}:{FLEET_PORT}\"\n  \
             advertise: \"{}\"\n{contacts}  zone: \"zone-{}\"\n{}  period_ms: {}\n  remember_s: {}\n  \
             bytes_per_s: {}\n{}\n}}\n",
            self.socket(front).display(),
            self.ip(front),
            self.relays.address(front),
            self.zone(front),
            self.subscription(front),
            plan.period_ms,
            plan.remember_s,
            // As many for each period as the usual settings give.
            4_000_000 / plan.period_ms.max(1),
            if self.is_older(front) { String::new() } else { plan.shared.clone() }
                .replace("$N", &front.to_string())
                .replace("$DIR", &self.folder.path().display().to_string()),
        )
    }

    /// Where this front's purges come from.
    fn subscription(&self, front: usize) -> String {
        if self.event_relays.is_empty() || self.is_older(front) {
            return String::new();
        }
        format!(
            "  region: \"zone-{}\"\n{}",
            self.zone(front),
            self.events_settings()
        )
    }

    /// Every second front is of an earlier build, where there is one, which may not know settings of today.
    pub fn is_older(&self, front: usize) -> bool {
        self.plan.older.is_some() && front % 2 == 1
    }

    /// The front's configuration, as the platform writes it.
    fn config(&self, front: usize) -> String {
        let names = ["s-a", "s-b", "s-c"];
        let caches: Vec<(&str, SocketAddr)> = names
            .into_iter()
            .zip(self.boxes.iter().map(|b| b.address))
            .collect();
        let site = Site {
            caches: &caches,
            parent: self.parent.address,
            origin: self.origin.address,
            journal: self.journals[usize::from(front > 0)].address,
        };
        let mut config = site.config();
        config["name"] = name(front).into();
        config["listen"] = self.door(front).to_string().into();
        config["limits"]["sockets"] = 256.into();
        config["settings"]["balancers"] = self.plan.fronts.into();
        config["settings"]["specifics"]["zone_balancers"] = vec![0, self.plan.fronts].into();
        config.to_string()
    }

    pub fn start(&mut self, front: usize) -> io::Result<()> {
        let (program, holder) = (self.program.clone(), self.holder.clone());
        let mutant = self.plan.mutant.clone();
        if let Some(relay) = self.event_relay(front) {
            return relay.start(&program, &holder, mutant.as_deref());
        }
        if self.fronts[front].child.is_some() {
            return Ok(());
        }
        let program = self
            .plan
            .older
            .as_ref()
            .filter(|_| self.is_older(front))
            .unwrap_or(&self.program);
        let folder = self.folder.path();
        let (config, own) = (
            folder.join(format!("{front}.json")),
            folder.join(format!("{front}.textproto")),
        );
        std::fs::write(&config, self.config(front))?;
        std::fs::write(&own, self.settings(front))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log(front))?;
        let mut command = Command::new(&self.holder);
        command
            .arg("hold")
            .arg(std::process::id().to_string())
            .arg(program);
        command
            .args(["serve", "--settings"])
            .arg(&own)
            .env("BALANCER_CONFIG", &config);
        if let Some(mutant) = &self.plan.mutant {
            command.env("MEADOWRILL_MUTANT", mutant);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let began = unix();
        let child = command.spawn()?;
        let front = &mut self.fronts[front];
        (front.child, front.stopped, front.started) = (Some(child), false, began);
        Ok(())
    }

    /// The journal service of the first front (or that of all others as well) tells of something.
    pub fn tell(&self, event: &Value, all: bool) {
        let journals = &self.journals[..if all { 2 } else { 1 }];
        journals
            .iter()
            .for_each(|journal| journal.tell(event.clone()));
    }

    /// An object is purged now, as the first front alone is told; the relay that publishes alone, where there is one.
    pub fn purge(&self, item: &str, all: bool) {
        let stamp = meadowrill_test_servers::now_ms();
        self.boxes.iter().for_each(|b| b.purged(item, stamp));
        let event = json!({"expire": {"name": item, "stamp": stamp as u64}});
        if self.event_relays.is_empty() {
            return self.tell(&event, all);
        }
        self.published.tell(event);
    }

    pub fn requests(&self) -> Requests {
        Requests {
            caches: self.boxes.iter().map(Service::answered).sum(),
            fills: self.boxes.iter().map(Service::fills).sum(),
            parent: self.parent.answered(),
            origin: self.origin.answered(),
        }
    }

    /// Whether this front holds a lease of a relay, as it says itself; none where it does not answer.
    pub fn leased(&self, front: usize) -> Option<bool> {
        let told: Value = serde_json::from_str(&self.word(front, "fleet events json")?).ok()?;
        Some(told["lease_left_us"].is_i64())
    }

    pub fn old_let_through(&self) -> u64 {
        self.boxes.iter().map(Service::old_let_through).sum()
    }

    /// One of the caches drains, as the first front alone is told.
    pub fn drain(&self, cache: usize, all: bool) {
        let id = ["s-a", "s-b", "s-c"][cache % BOXES];
        let machine = member(id, "std", self.boxes[cache % BOXES].address, "DRAINING");
        self.tell(
            &json!({"hosts": {"complete": false, "members": [machine]}}),
            all,
        );
    }

    /// What that cache has answered so far.
    pub fn answered(&self, cache: usize) -> u64 {
        self.boxes[cache % BOXES].answered()
    }

    /// What a front's operators' socket answers to a word.
    pub fn word(&self, front: usize, word: &str) -> Option<String> {
        let ask = || -> io::Result<String> {
            let mut stream = UnixStream::connect(self.socket(front))?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            stream.write_all(format!("{word}\n").as_bytes())?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        ask().ok().filter(|_| self.runs(front))
    }

    /// A second process of that name, elsewhere; from here on it is the one that is asked.
    pub fn twin(&mut self, front: usize) -> io::Result<()> {
        let former = self.fronts[front].child.take();
        self.twins.extend(former);
        self.move_on(front);
        self.start(front)
    }

    /// Another address for its next start.
    pub fn move_on(&mut self, front: usize) {
        self.fronts[front].moved = !self.fronts[front].moved;
    }

    fn signal(&self, front: usize, signal: Signal) {
        if let Some(relay) = front.checked_sub(self.plan.fronts) {
            return self.event_relays[relay].signal(signal);
        }
        let child = self.fronts[front].child.as_ref();
        if let Some(pid) = child.and_then(|child| Pid::from_raw(child.id() as i32)) {
            // One that has ended meanwhile is what was wanted, or is seen by the checkers.
            let _ = kill_process(pid, signal);
        }
    }

    pub fn kill(&mut self, front: usize) {
        if let Some(relay) = self.event_relay(front) {
            return relay.kill();
        }
        self.signal(front, Signal::KILL);
        if let Some(mut child) = self.fronts[front].child.take() {
            let _ = child.wait();
        }
    }

    /// SIGTERM; true once it has ended by itself.
    pub fn terminate(&mut self, front: usize, most: Duration) -> bool {
        self.signal(front, Signal::TERM);
        let end = Instant::now() + most;
        while Instant::now() < end {
            let Some(child) = &mut self.fronts[front].child else {
                return true;
            };
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.fronts[front].child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill(front);
        false
    }

    pub fn stop(&mut self, front: usize) {
        self.signal(front, Signal::STOP);
        self.fronts
            .get_mut(front)
            .into_iter()
            .for_each(|front| front.stopped = true);
    }

    pub fn go_on(&mut self, front: usize) {
        self.signal(front, Signal::CONT);
        self.fronts
            .get_mut(front)
            .into_iter()
            .for_each(|front| front.stopped = false);
    }

    /// Started and not stopped.
    pub fn runs(&self, front: usize) -> bool {
        self.fronts[front].child.is_some() && !self.fronts[front].stopped
    }

    pub fn started(&self, front: usize) -> Duration {
        self.fronts[front].started
    }

    /// Those that ended without being told to.
    pub fn crashed(&mut self) -> Vec<usize> {
        let gone = |f: &mut Front| {
            f.child
                .as_mut()
                .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
        };
        (0..self.fronts.len())
            .filter(|n| gone(&mut self.fronts[*n]))
            .collect()
    }

    pub fn sight(&self, front: usize) -> Option<Sight> {
        let seen: Value = serde_json::from_str(&self.word(front, "fleet json")?).ok()?;
        let members = seen["members"].as_array()?;
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let here = |m: &&Value| {
            ["alive", "joining", "suspected"].contains(&m["state"].as_str().unwrap_or(""))
        };
        Some(Sight {
            digest: text(&seen["digest"]),
            state: text(&seen["state"]),
            here: members
                .iter()
                .filter(here)
                .map(|m| text(&m["name"]))
                .collect(),
            states: members
                .iter()
                .map(|m| (text(&m["name"]), text(&m["state"])))
                .collect(),
            starts: members
                .iter()
                .map(|m| (text(&m["name"]), m["start"].as_u64().unwrap_or(0)))
                .collect(),
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.fronts.len()).for_each(|front| self.kill(front));
        for twin in &mut self.twins {
            let _ = twin.kill();
            let _ = twin.wait();
        }
    }
}
