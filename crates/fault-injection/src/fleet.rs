//! Fleets of proxy and relay processes, each with its own loopback address and generated settings files.

use crate::events::relays::{
    events_settings, RelayAddress, RelayConfig, RelayProcess, FLEET, PUBLISHER,
};
use crate::relay::{LinkRelays, MAX_MEMBERS};
use crate::{proxy_name, unix_time};
use meadowrill_test_servers::journal::PublishingJournal;
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

/// Port on which each proxy accepts clients at its own address.
const CLIENT_PORT: u16 = 10080;
/// Port on which proxies and relays receive datagrams.
const FLEET_PORT: u16 = 7100;
const CACHE_COUNT: usize = 3;
/// Time after which a purge that relays distribute is in force at every proxy.
const RELAYED_PURGE_DEADLINE: Duration = Duration::from_millis(2_900);
/// Body size of each response, small enough for the ledger to keep it for repeated requests.
const RESPONSE_BODY_BYTES: usize = 1500;

/// Size, timing and settings of a fleet under test.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub proxies: usize,
    /// Number of event relays, one of them the publisher. Their member numbers follow those of the proxies.
    pub relays: usize,
    /// Additional settings in `events { ... }` of all members.
    pub events_settings: String,
    pub zones: usize,
    pub period_ms: u64,
    pub contacts: usize,
    pub remember_s: u64,
    pub seed: u64,
    /// Additional settings in `fleet { ... }` of each proxy, such as `replica { ledger { } }`. `$N` is replaced by the
    /// proxy's number and `$DIR` by the folder of the fleet.
    pub fleet_settings: String,
    /// Program of an earlier version, which every second proxy runs if it is set.
    pub older_program: Option<PathBuf>,
    /// Name of the mutant that builds with the feature `mutants` activate, to test the checks.
    pub mutant: Option<String>,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            proxies: 8,
            relays: 0,
            events_settings: String::new(),
            zones: 2,
            period_ms: 200,
            contacts: 3,
            remember_s: 600,
            seed: 1,
            fleet_settings: String::new(),
            older_program: None,
            mutant: None,
        }
    }
}

fn relay_name(relay: usize) -> String {
    format!("relay-{relay}")
}

/// Requests that all caches, the parent and the origin have answered so far, and the fills of the caches.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    pub caches: u64,
    pub fills: u64,
    pub parent: u64,
    pub origin: u64,
}

struct ProxyProcess {
    child: Option<Child>,
    on_alternate_address: bool,
    paused: bool,
    /// Time of the latest start, since the Unix epoch.
    started_at: Duration,
}

/// Proxies, event relays and the caches, parent, origin and journal services that they use.
pub struct Fleet {
    pub options: FleetOptions,
    pub links: LinkRelays,
    pub folder: tempfile::TempDir,
    subnet: [u8; 2],
    proxies: Vec<ProxyProcess>,
    program: PathBuf,
    rig_program: PathBuf,
    caches: Vec<Service>,
    parent: Service,
    pub origin: Service,
    /// One journal service for the first proxy and one for all other proxies.
    journals: [PublishingJournal; 2],
    event_relays: Vec<RelayProcess>,
    /// Journal service that the publishing relay follows.
    publisher_journal: PublishingJournal,
    /// Earlier processes of names for which a second process has been started.
    superseded: Vec<Child>,
    /// Reserves the subnet for this run: its octets are the number of this port, which only one run can hold.
    _subnet_port: TcpListener,
}

/// View of the fleet that one proxy reports.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// Digest of all member states, equal in equal views.
    pub digest: String,
    /// State of the reporting proxy itself.
    pub state: String,
    /// Names of the members that are alive, joining or suspected.
    pub present: Vec<String>,
    pub states: BTreeMap<String, String>,
    pub start_times: BTreeMap<String, u64>,
}

impl Fleet {
    /// Prepares a fleet without starting its processes. `rig_program` is the `meadowrill-rig` executable, whose
    /// sub-command `hold` ends the processes when this one ends.
    pub fn new(options: FleetOptions, program: &Path, rig_program: &Path) -> io::Result<Fleet> {
        if options.proxies == 0 || options.proxies + options.relays > MAX_MEMBERS {
            return Err(io::Error::other(format!(
                "{} proxies and {} relays: a fleet has at least 1 proxy and at most {MAX_MEMBERS} members",
                options.proxies, options.relays
            )));
        }
        let subnet_port = TcpListener::bind("127.0.0.1:0")?;
        let subnet = subnet_port.local_addr()?.port().to_be_bytes();
        let directory = Directory::default();
        let start_service = |workers, each, empty| {
            Service::start(
                workers,
                Duration::from_millis(each),
                RESPONSE_BODY_BYTES,
                empty,
                &directory,
            )
        };
        let caches: Vec<Service> = (0..CACHE_COUNT)
            .map(|_| start_service(8, 2, true))
            .collect();
        let (parent, origin) = (start_service(16, 3, true), start_service(16, 3, false));
        if let Ok(mut directory) = directory.lock() {
            directory.extend([
                ("s-p".into(), parent.address),
                ("s-o".into(), origin.address),
            ]);
        }
        let mut fleet = Fleet {
            links: LinkRelays::start(options.proxies + options.relays, options.seed)?,
            folder: tempfile::tempdir()?,
            subnet,
            proxies: (0..options.proxies)
                .map(|_| ProxyProcess {
                    child: None,
                    on_alternate_address: false,
                    paused: false,
                    started_at: Duration::ZERO,
                })
                .collect(),
            program: program.into(),
            rig_program: rig_program.into(),
            caches,
            parent,
            origin,
            journals: [PublishingJournal::start(), PublishingJournal::start()],
            event_relays: Vec::new(),
            publisher_journal: PublishingJournal::start(),
            superseded: Vec::new(),
            _subnet_port: subnet_port,
            options,
        };
        fleet.add_relays();
        Ok(fleet)
    }

    fn add_relays(&mut self) {
        if self.options.relays == 0 {
            return;
        }
        self.caches
            .iter()
            .for_each(|cache| cache.set_purge_grace(RELAYED_PURGE_DEADLINE));
        let events = self.events_settings();
        for relay in 0..self.options.relays {
            let member = self.options.proxies + relay;
            let listen = SocketAddr::new(self.ip(member).into(), FLEET_PORT);
            self.links.set_listen_address(member, listen);
            let zone = format!("zone-{}", self.zone_of(member));
            let process = RelayProcess::new(&RelayConfig {
                folder: self.folder.path(),
                name: &relay_name(relay),
                region: &zone,
                zone: &zone,
                listen,
                advertise: self.links.address(member),
                events: &events,
                journal: (relay == PUBLISHER).then_some(self.publisher_journal.address),
            });
            self.event_relays.push(process);
        }
    }

    /// The `events { ... }` lines, the same for all members; empty without relays.
    fn events_settings(&self) -> String {
        let address = |relay: usize| RelayAddress {
            name: relay_name(relay),
            address: self.links.address(self.options.proxies + relay),
            region: format!("zone-{}", self.zone_of(self.options.proxies + relay)),
            zone: format!("zone-{}", self.zone_of(self.options.proxies + relay)),
            publishes: relay == PUBLISHER,
        };
        let addresses: Vec<RelayAddress> = (0..self.options.relays).map(address).collect();
        if addresses.is_empty() {
            return String::new();
        }
        events_settings(&addresses, &self.options.events_settings)
    }

    /// The relay with this member number; none if it is the number of a proxy.
    fn event_relay(&mut self, member: usize) -> Option<&mut RelayProcess> {
        member
            .checked_sub(self.options.proxies)
            .and_then(|relay| self.event_relays.get_mut(relay))
    }

    /// Number of proxies and relays.
    pub fn members(&self) -> usize {
        self.options.proxies + self.options.relays
    }

    fn ip(&self, proxy: usize) -> Ipv4Addr {
        // The kernel assigns ports from 32768 on, so no other run uses the lower half of the subnets.
        let is_alternate = self
            .proxies
            .get(proxy)
            .is_some_and(|proxy| proxy.on_alternate_address);
        let alternate_bit = if is_alternate { 0x80 } else { 0 };
        Ipv4Addr::new(
            127,
            self.subnet[0] ^ alternate_bit,
            self.subnet[1],
            (proxy + 1) as u8,
        )
    }

    /// Address at which the proxy accepts clients.
    pub fn client_address(&self, proxy: usize) -> SocketAddr {
        SocketAddr::new(self.ip(proxy).into(), CLIENT_PORT)
    }

    /// Number of the zone to which a proxy or relay belongs.
    pub fn zone_of(&self, member: usize) -> usize {
        // The first relay belongs to the first zone, whatever the number of proxies is.
        let number = member.checked_sub(self.options.proxies).unwrap_or(member);
        number % self.options.zones.max(1)
    }

    fn operator_socket(&self, proxy: usize) -> PathBuf {
        self.folder.path().join(format!("{proxy}.sock"))
    }

    /// Log file of the proxy, which all its starts append to.
    pub fn log_path(&self, proxy: usize) -> PathBuf {
        self.folder.path().join(format!("{proxy}.log"))
    }

    fn settings_text(&self, proxy: usize) -> String {
        let options = &self.options;
        let contacts: String = (0..options.contacts.min(options.proxies))
            .map(|n| format!("  contact: \"{}\"\n", self.links.address(n)))
            .collect();
        format!(
            "log {{ form: JSON }}\noperators {{ socket: \"{}\" }}\nfleet {{\n  name: \"{FLEET}\"\n  listen: \"{}:{FLEET_PORT}\"\n  \
             advertise: \"{}\"\n{contacts}  zone: \"zone-{}\"\n{}  period_ms: {}\n  remember_s: {}\n  \
             bytes_per_s: {}\n{}\n}}\n",
            self.operator_socket(proxy).display(),
            self.ip(proxy),
            self.links.address(proxy),
            self.zone_of(proxy),
            self.events_subscription(proxy),
            options.period_ms,
            options.remember_s,
            // The same number of bytes per period as with the default settings.
            4_000_000 / options.period_ms.max(1),
            if self.is_older(proxy) { String::new() } else { options.fleet_settings.clone() }
                .replace("$N", &proxy.to_string())
                .replace("$DIR", &self.folder.path().display().to_string()),
        )
    }

    /// Settings with which the proxy subscribes to events; empty without relays and for an older build.
    fn events_subscription(&self, proxy: usize) -> String {
        if self.event_relays.is_empty() || self.is_older(proxy) {
            return String::new();
        }
        format!(
            "  region: \"zone-{}\"\n{}",
            self.zone_of(proxy),
            self.events_settings()
        )
    }

    /// Whether the proxy runs the older build, if there is one: every second proxy does. It may lack current settings.
    pub fn is_older(&self, proxy: usize) -> bool {
        self.options.older_program.is_some() && proxy % 2 == 1
    }

    /// The proxy's configuration file, as the platform writes it.
    fn platform_config(&self, proxy: usize) -> String {
        let names = ["s-a", "s-b", "s-c"];
        let caches: Vec<(&str, SocketAddr)> = names
            .into_iter()
            .zip(self.caches.iter().map(|cache| cache.address))
            .collect();
        let site = Site {
            caches: &caches,
            parent: self.parent.address,
            origin: self.origin.address,
            journal: self.journals[usize::from(proxy > 0)].address,
        };
        let mut config = site.config();
        config["name"] = proxy_name(proxy).into();
        config["listen"] = self.client_address(proxy).to_string().into();
        config["limits"]["sockets"] = 256.into();
        config["settings"]["balancers"] = self.options.proxies.into();
        config["settings"]["specifics"]["zone_balancers"] = vec![0, self.options.proxies].into();
        config.to_string()
    }

    /// Starts the process of a proxy or relay; a running one is left as it is.
    ///
    /// # Errors
    ///
    /// If its files cannot be written or its process cannot be started.
    pub fn start(&mut self, proxy: usize) -> io::Result<()> {
        let (program, rig_program) = (self.program.clone(), self.rig_program.clone());
        let mutant = self.options.mutant.clone();
        if let Some(relay) = self.event_relay(proxy) {
            return relay.start(&program, &rig_program, mutant.as_deref());
        }
        if self.proxies[proxy].child.is_some() {
            return Ok(());
        }
        let program = self
            .options
            .older_program
            .as_ref()
            .filter(|_| self.is_older(proxy))
            .unwrap_or(&self.program);
        let folder = self.folder.path();
        let (config_path, settings_path) = (
            folder.join(format!("{proxy}.json")),
            folder.join(format!("{proxy}.textproto")),
        );
        std::fs::write(&config_path, self.platform_config(proxy))?;
        std::fs::write(&settings_path, self.settings_text(proxy))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(proxy))?;
        let mut command = Command::new(&self.rig_program);
        command
            .arg("hold")
            .arg(std::process::id().to_string())
            .arg(program);
        command
            .args(["serve", "--settings"])
            .arg(&settings_path)
            .env("BALANCER_CONFIG", &config_path);
        if let Some(mutant) = &self.options.mutant {
            command.env("MEADOWRILL_MUTANT", mutant);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let started_at = unix_time();
        let child = command.spawn()?;
        let proxy = &mut self.proxies[proxy];
        (proxy.child, proxy.paused, proxy.started_at) = (Some(child), false, started_at);
        Ok(())
    }

    /// Publishes an event in the journal of the first proxy and, with `to_all`, in that of all other proxies.
    pub fn publish_event(&self, event: &Value, to_all: bool) {
        let journals = &self.journals[..if to_all { 2 } else { 1 }];
        journals
            .iter()
            .for_each(|journal| journal.publish(event.clone()));
    }

    /// Publishes a purge of an object: through the publishing relay alone if there are relays, otherwise to the first
    /// proxy or, with `to_all`, to all proxies.
    pub fn purge(&self, item: &str, to_all: bool) {
        let stamp = meadowrill_test_servers::now_ms();
        self.caches
            .iter()
            .for_each(|cache| cache.record_purge(item, stamp));
        let event = json!({"expire": {"name": item, "stamp": stamp as u64}});
        if self.event_relays.is_empty() {
            return self.publish_event(&event, to_all);
        }
        self.publisher_journal.publish(event);
    }

    /// Requests and fills since the start of the fleet.
    pub fn request_counts(&self) -> RequestCounts {
        RequestCounts {
            caches: self.caches.iter().map(Service::responses).sum(),
            fills: self.caches.iter().map(Service::fills).sum(),
            parent: self.parent.responses(),
            origin: self.origin.responses(),
        }
    }

    /// Whether the proxy reports that it holds a lease from a relay; none if it does not answer.
    pub fn holds_lease(&self, proxy: usize) -> Option<bool> {
        let status: Value =
            serde_json::from_str(&self.operator_query(proxy, "fleet events json")?).ok()?;
        Some(status["lease_left_us"].is_i64())
    }

    /// Requests to caches that accepted a copy from before a purge after the time limit for that purge.
    pub fn stale_copies_allowed(&self) -> u64 {
        self.caches
            .iter()
            .map(Service::outdated_copies_allowed)
            .sum()
    }

    /// Announces that a cache is draining, to the first proxy alone or, with `to_all`, to all proxies.
    pub fn drain_cache(&self, cache: usize, to_all: bool) {
        let id = ["s-a", "s-b", "s-c"][cache % CACHE_COUNT];
        let draining = member(
            id,
            "std",
            self.caches[cache % CACHE_COUNT].address,
            "DRAINING",
        );
        self.publish_event(
            &json!({"hosts": {"complete": false, "members": [draining]}}),
            to_all,
        );
    }

    /// Number of requests that the cache has answered so far.
    pub fn cache_requests(&self, cache: usize) -> u64 {
        self.caches[cache % CACHE_COUNT].responses()
    }

    /// Answer of the proxy's operator socket to a query; none if it fails or the proxy is not running.
    pub fn operator_query(&self, proxy: usize, query: &str) -> Option<String> {
        let query_socket = || -> io::Result<String> {
            let mut stream = UnixStream::connect(self.operator_socket(proxy))?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            stream.write_all(format!("{query}\n").as_bytes())?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        query_socket().ok().filter(|_| self.is_running(proxy))
    }

    /// Starts a second process of the same name at the other address; later calls refer to the new process.
    ///
    /// # Errors
    ///
    /// As for [`Fleet::start`].
    pub fn start_duplicate(&mut self, proxy: usize) -> io::Result<()> {
        let previous = self.proxies[proxy].child.take();
        self.superseded.extend(previous);
        self.switch_address(proxy);
        self.start(proxy)
    }

    /// Changes the address at which the proxy listens after its next start.
    pub fn switch_address(&mut self, proxy: usize) {
        self.proxies[proxy].on_alternate_address = !self.proxies[proxy].on_alternate_address;
    }

    fn signal(&self, proxy: usize, signal: Signal) {
        if let Some(relay) = proxy.checked_sub(self.options.proxies) {
            return self.event_relays[relay].signal(signal);
        }
        let child = self.proxies[proxy].child.as_ref();
        if let Some(pid) = child.and_then(|child| Pid::from_raw(child.id() as i32)) {
            // Sending fails only to a process that has ended: that was intended, or the checks find it.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGKILL and waits for the process to end.
    pub fn kill(&mut self, proxy: usize) {
        if let Some(relay) = self.event_relay(proxy) {
            return relay.kill();
        }
        self.signal(proxy, Signal::KILL);
        if let Some(mut child) = self.proxies[proxy].child.take() {
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM. Returns whether the process ended within the time limit; otherwise it is killed.
    pub fn terminate(&mut self, proxy: usize, timeout: Duration) -> bool {
        self.signal(proxy, Signal::TERM);
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            let Some(child) = &mut self.proxies[proxy].child else {
                return true;
            };
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.proxies[proxy].child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill(proxy);
        false
    }

    /// Sends SIGSTOP.
    pub fn pause(&mut self, proxy: usize) {
        self.signal(proxy, Signal::STOP);
        self.proxies
            .get_mut(proxy)
            .into_iter()
            .for_each(|proxy| proxy.paused = true);
    }

    /// Sends SIGCONT.
    pub fn resume(&mut self, proxy: usize) {
        self.signal(proxy, Signal::CONT);
        self.proxies
            .get_mut(proxy)
            .into_iter()
            .for_each(|proxy| proxy.paused = false);
    }

    /// Whether the proxy has been started and is not paused.
    pub fn is_running(&self, proxy: usize) -> bool {
        self.proxies[proxy].child.is_some() && !self.proxies[proxy].paused
    }

    /// Time of the latest start, since the Unix epoch.
    pub fn started_at(&self, proxy: usize) -> Duration {
        self.proxies[proxy].started_at
    }

    /// Proxies whose process ended without being killed or terminated.
    pub fn crashed(&mut self) -> Vec<usize> {
        let has_exited = |f: &mut ProxyProcess| {
            f.child
                .as_mut()
                .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
        };
        (0..self.proxies.len())
            .filter(|n| has_exited(&mut self.proxies[*n]))
            .collect()
    }

    /// The proxy's view of the fleet; none if it does not answer.
    pub fn fleet_view(&self, proxy: usize) -> Option<FleetView> {
        let status: Value =
            serde_json::from_str(&self.operator_query(proxy, "fleet json")?).ok()?;
        let members = status["members"].as_array()?;
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let is_present = |m: &&Value| {
            ["alive", "joining", "suspected"].contains(&m["state"].as_str().unwrap_or(""))
        };
        Some(FleetView {
            digest: text(&status["digest"]),
            state: text(&status["state"]),
            present: members
                .iter()
                .filter(is_present)
                .map(|m| text(&m["name"]))
                .collect(),
            states: members
                .iter()
                .map(|m| (text(&m["name"]), text(&m["state"])))
                .collect(),
            start_times: members
                .iter()
                .map(|m| (text(&m["name"]), m["start"].as_u64().unwrap_or(0)))
                .collect(),
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.proxies.len()).for_each(|proxy| self.kill(proxy));
        for process in &mut self.superseded {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
