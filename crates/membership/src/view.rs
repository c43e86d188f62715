//! One proxy's view of the fleet: the membership state machine (docs/membership.md).
//!
//! A host calls [`View::receive`] for each datagram or stream message and [`View::handle_timeout`] when
//! [`View::next_timeout`] is due, and executes the [`Action`]s that these calls append. The modules, in the order in
//! which they handle the failure of a member:
//!
//! - `timers`, `schedule`, `probing`, `relaying`: timers, the probe schedule, direct probes, and indirect probes on
//!   behalf of other proxies;
//! - `suspicion`, `refutation`, `name_conflict`: failure claims about other members and about this proxy, and other
//!   processes with this proxy's name;
//! - `receive`, `merge`: dispatch of received messages, and merging of claims into the view;
//! - `dissemination`, `anti_entropy`, `inventory`, `transfer`: rumors, and the comparison of complete views;
//! - `maintenance`, `tombstones`, `departure`: periodic work, forgotten members, leaving;
//! - `send`, `budget`, `recipients`: encoding, rate limiting and the choice of recipients;
//! - `own`, `member`, `status`, `event`: this proxy, the other members, the state that a host can read, and the inputs
//!   and outputs.
//!
//! Invariants across modules: the rings and the digest contain exactly the present members, including this proxy; all
//! randomness comes from one generator with a given seed, so the same inputs produce the same outputs.

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
    /// Summary of all present members, including this proxy.
    digest: Digest,
    health: Health,
    rumors: Rumors,
    /// Probes sent by this proxy that have no response yet, by sequence number.
    probes: BTreeMap<u64, Probe>,
    /// Probes sent at the request of other proxies, by the sequence number that this proxy assigned.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    schedule: ProbeSchedule,
    maintenance: MaintenanceTimer,
    /// When to push rumors to random members, if any are urgent.
    push_at: Option<Micros>,
    tombstones: Tombstones,
    /// Addresses to which a stream failed, and when streams to them may be used again.
    failed_streams: BTreeMap<SocketAddr, Micros>,
    /// The last sequence number that this proxy assigned to a direct or relayed probe.
    last_sequence: u64,
    /// Nonces of the other processes with this proxy's name whose starts this proxy has superseded.
    superseded_nonces: Vec<u64>,
    departure: Option<Departure>,
    /// Whether this proxy has stopped sending because another live process has its name.
    withdrawn: bool,
    /// Whether this view has been equal to the view of another proxy at least once.
    joined: bool,
    budget: SendBudget,
    membership_changed_at: Micros,
    /// The latest time that the host passed to this view.
    now: Micros,
    rng: fastrand::Rng,
    send_buffer: Vec<u8>,
    body_updates: u64,
    /// Counters since the view was created.
    pub counters: Counters,
}

impl View {
    /// Creates a view that contains only this proxy. `seed` determines all of its random choices.
    pub fn new(settings: FleetSettings, identity: MemberIdentity, now: Micros, seed: u64) -> View {
        let mut rng = fastrand::Rng::with_seed(seed ^ stable_hash(&identity.name, SEED_SALT));
        let own = OwnMember::new(identity, &settings, rng.u64(1..));
        // A random offset spreads the probes of proxies that start at the same time.
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

    /// Adds the claim and revision of a present member to the digest, or removes them if the digest contains them.
    /// Must be called before and after each change of either.
    fn toggle_digest(&mut self, name: &str) {
        if let Some(member) = self
            .members
            .get(name)
            .filter(|member| member.claim.state.is_present())
        {
            self.digest.toggle(name, &member.claim, member.revision);
        }
    }

    /// Does the same for this proxy, regardless of its state.
    fn toggle_own_digest(&mut self) {
        self.digest
            .toggle(&self.own.name, &self.own.claim, self.own.revision);
    }
}
