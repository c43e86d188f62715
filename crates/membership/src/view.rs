//! One proxy's view of the fleet: the membership state machine (docs/membership.md).
//!
//! A host calls [`View::receive`] for each datagram or message of a stream and [`View::handle_timeout`] when
//! [`View::next_timeout`] is due, and carries out the [`Action`]s that they append. The modules, in the order in which
//! a failure passes through them:
//!
//! - `timers`, `schedule`, `probing`, `relaying`: whom to probe when, direct probes, indirect probes for others;
//! - `suspicion`, `refutation`, `name_conflict`: failure claims about others, and about this proxy;
//! - `receive`, `merge`: dispatch of received messages, and which claims replace what is known;
//! - `dissemination`, `anti_entropy`, `inventory`, `transfer`: rumors, and the comparison of whole views;
//! - `maintenance`, `tombstones`, `departure`: periodic work, forgotten members, leaving;
//! - `send`, `budget`, `recipients`: encoding, rate limiting and the choice of recipients;
//! - `own`, `member`, `status`, `event`: this proxy, the others, what a host can read, and what it is given.
//!
//! Invariants across modules: the rings and the digest hold exactly the present members, this proxy among them; all
//! randomness comes from one generator with a given seed, so the same inputs give the same outputs.

mod anti_entropy;
mod budget;
mod departure;
mod dissemination;
mod event;
mod inventory;
mod maintenance;
mod member;
mod merge;
mod name_conflict;
mod own;
mod probing;
mod receive;
mod recipients;
mod refutation;
mod relaying;
mod schedule;
mod send;
mod status;
mod suspicion;
mod timers;
mod tombstones;
mod transfer;

pub use event::{Action, Change, ClaimSource, Counters, MemberIdentity};
pub use member::{Member, Suspicion};

use crate::digest::Digest;
use crate::hash::{stable_hash, SEED_SALT};
use crate::health::Health;
use crate::rings::Rings;
use crate::rumors::Rumors;
use crate::settings::FleetSettings;
use crate::Micros;
use budget::SendBudget;
use departure::Departure;
use maintenance::MaintenanceTimer;
use own::OwnMember;
use probing::Probe;
use relaying::RelayedProbe;
use schedule::ProbeSchedule;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tombstones::Tombstones;

/// The membership state machine of one proxy.
#[derive(Clone, Debug)]
pub struct View {
    settings: FleetSettings,
    fleet_id: u64,
    own: OwnMember,
    members: BTreeMap<String, Member>,
    rings: Rings,
    /// Summary of all present members, this proxy among them.
    digest: Digest,
    health: Health,
    rumors: Rumors,
    /// Probes of this proxy without a response yet, by sequence number.
    probes: BTreeMap<u64, Probe>,
    /// Probes sent at the request of other proxies, by this proxy's sequence number.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    schedule: ProbeSchedule,
    maintenance: MaintenanceTimer,
    /// When rumors are to be pushed to random members, if any are urgent.
    push_at: Option<Micros>,
    tombstones: Tombstones,
    /// Addresses to which a stream failed, and until when streams to them are avoided.
    failed_streams: BTreeMap<SocketAddr, Micros>,
    /// The last sequence number of a probe, own or relayed.
    last_sequence: u64,
    /// Nonces of other processes with this proxy's name whose start this proxy has superseded.
    superseded_nonces: Vec<u64>,
    departure: Option<Departure>,
    /// Another live process has this proxy's name: this one sends nothing more.
    withdrawn: bool,
    /// The view has agreed with that of another proxy.
    joined: bool,
    budget: SendBudget,
    membership_changed_at: Micros,
    /// The latest time that the host passed in.
    now: Micros,
    rng: fastrand::Rng,
    send_buffer: Vec<u8>,
    body_updates: u64,
    /// Counts since the view was made.
    pub counters: Counters,
}

impl View {
    /// A view that knows only itself. `seed` determines all of its random choices.
    pub fn new(settings: FleetSettings, identity: MemberIdentity, now: Micros, seed: u64) -> View {
        let mut rng = fastrand::Rng::with_seed(seed ^ stable_hash(&identity.name, SEED_SALT));
        let own = OwnMember::new(identity, &settings, rng.u64(1..));
        // Proxies that start together spread their probe periods.
        let first_probe_at = now + rng.i64(0..settings.probe_period);
        let mut rings = Rings::new(settings.observers);
        rings.insert(&own.name);
        let mut view = View {
            fleet_id: settings.fleet_id(),
            own,
            members: BTreeMap::new(),
            rings,
            digest: Digest::default(),
            health: Health::new(settings.local_health),
            rumors: Rumors::default(),
            probes: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            schedule: ProbeSchedule::new(now, first_probe_at),
            maintenance: MaintenanceTimer::new(now),
            push_at: None,
            tombstones: Tombstones::new(settings.max_members),
            failed_streams: BTreeMap::new(),
            last_sequence: 0,
            superseded_nonces: Vec::new(),
            departure: None,
            withdrawn: false,
            joined: false,
            budget: SendBudget::new(settings.bytes_per_second, now),
            membership_changed_at: now,
            now,
            rng,
            send_buffer: Vec::new(),
            body_updates: 0,
            counters: Counters::default(),
            settings,
        };
        view.toggle_own_digest();
        view.publish_own_body();
        view
    }

    /// Whether a known member is not alive; false for unknown names and for this proxy.
    fn is_unhealthy(&self, name: &str) -> bool {
        self.members
            .get(name)
            .is_some_and(|member| !member.is_alive())
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Adds a present member's claim and revision to the digest, or removes them if they are in it: to be called
    /// before and after each change of either.
    fn toggle_digest(&mut self, name: &str) {
        if let Some(member) = self
            .members
            .get(name)
            .filter(|member| member.claim.state.is_present())
        {
            self.digest.toggle(name, &member.claim, member.revision);
        }
    }

    /// The same for this proxy, whatever its state.
    fn toggle_own_digest(&mut self) {
        self.digest
            .toggle(&self.own.name, &self.own.claim, self.own.revision);
    }
}
