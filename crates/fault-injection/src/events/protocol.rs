//! Messages between the driver and a process of simulated subscribers: one JSON text a line, over standard input and
//! output.

use super::check::{Findings, Timeline};
use super::faults::RelaySet;
use super::layout::{region_name, region_of, relay_name, zone_name, zone_of};
use super::relays::PUBLISHER;
use meadowrill_event_distribution::settings::{DistributionSettings, RelayAddress, MILLISECOND};
use meadowrill_event_distribution::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Deliberate faults of subscribers, which the checks have to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
pub enum Sabotage {
    /// One purge in a thousand is acknowledged and never applied.
    ForgetsPurges,
    /// Purges are applied three seconds after they are acknowledged.
    AppliesLate,
    /// An expired lease is still treated as valid.
    LeaseNeverEnds,
    /// Copies of any age are served without a lease.
    CopiesUnbounded,
}

/// The subscribers of one process, and the relays that they may follow.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupPlan {
    /// Number of the first subscriber.
    pub first: usize,
    /// Number of subscribers.
    #[serde(rename = "many")]
    pub count: usize,
    /// Seed of the subscribers and of their datagram losses.
    pub seed: u64,
    /// Offset of the driver's clock.
    pub clock_offset: Micros,
    /// Hash of the fleet's name, as in every message of the fleet.
    pub fleet: u64,
    /// Addresses of the relays, in the order of their numbers.
    pub relays: Vec<SocketAddr>,
    /// The deliberate fault of all subscribers, if any.
    pub sabotage: Option<Sabotage>,
}

impl GroupPlan {
    /// The settings of the subscribers.
    pub fn distribution_settings(&self) -> DistributionSettings {
        let relay = |(number, address): (usize, &SocketAddr)| RelayAddress {
            name: relay_name(number),
            address: *address,
            region: region_name(region_of(number)),
            zone: zone_name(zone_of(number)),
            publishes: number == PUBLISHER,
        };
        DistributionSettings::new(
            self.fleet,
            self.relays.iter().enumerate().map(relay).collect(),
        )
    }
}

/// A command of the driver. Subscribers are named by their numbers; a process ignores numbers of other processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Each subscriber ends without notice to its relay and starts again, at another port.
    Restart { subscribers: Vec<usize> },
    /// Each subscriber does nothing for this span, as under SIGSTOP.
    Stop {
        subscribers: Vec<usize>,
        span_ms: i64,
    },
    /// Each subscriber continues, but reads no datagrams.
    StopReading { subscribers: Vec<usize> },
    /// Each subscriber is partitioned from these relays, in both directions.
    CutOff {
        subscribers: Vec<usize>,
        relays: RelaySet,
    },
    /// All subscribers lose this share of their datagrams, in both directions.
    Lose { share: f64 },
    /// Ends all faults, except stops that still last.
    Heal,
    /// Requests the counters and the number of subscribers that have applied the first `purges` purges. Answered by
    /// [`Reply::Report`].
    Report { purges: usize },
    /// Checks the records against the timeline. Answered by [`Reply::Checked`].
    Check {
        timeline: Timeline,
        /// When each step of the scenario began.
        #[serde(rename = "marks")]
        step_starts: Vec<Micros>,
    },
}

impl Command {
    /// A [`Command::Stop`] for this span.
    pub fn stop(subscribers: Vec<usize>, span: Micros) -> Command {
        Command::Stop {
            subscribers,
            span_ms: span / MILLISECOND,
        }
    }
}

/// Datagrams and bytes through the sockets of simulated subscribers.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// Datagrams sent, including those that an injected fault dropped.
    pub sent: u64,
    /// Their bytes, without headers.
    pub sent_bytes: u64,
    /// Datagrams received, without those that an injected fault dropped.
    pub received: u64,
    /// Their bytes, without headers.
    pub received_bytes: u64,
}

impl Traffic {
    /// Adds the counts of another socket or process.
    pub fn add(&mut self, other: Traffic) {
        self.sent += other.sent;
        self.sent_bytes += other.sent_bytes;
        self.received += other.received;
        self.received_bytes += other.received_bytes;
    }
}

/// Counters and memory of a process, and the state of its subscribers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupReport {
    /// Number of subscribers.
    pub subscribers: usize,
    /// Subscribers that hold a lease.
    pub leased: usize,
    /// Subscribers that have applied all of the first purges that the command named.
    pub complete: usize,
    /// Datagrams of all subscribers.
    pub traffic: Traffic,
    /// Processor time of the process.
    pub processor_micros: u64,
    /// Resident memory of the process.
    pub resident_bytes: u64,
    /// The part of it that the records take, which a subscriber in production does not have.
    pub record_bytes: u64,
    /// Resident memory before the first subscriber was created.
    #[serde(rename = "resident_at_first")]
    pub initial_resident_bytes: u64,
    /// Batches that arrived after a gap.
    pub gaps: u64,
    /// Snapshots that subscribers began to fetch.
    pub snapshots: u64,
    /// Leases that expired without a renewal.
    #[serde(rename = "lapses")]
    pub expired_leases: u64,
    /// Changes to another relay.
    #[serde(rename = "switches")]
    pub relay_changes: u64,
    /// Datagrams that subscribers rejected.
    pub rejected: u64,
    /// Datagrams that the kernel did not accept.
    pub unsent: u64,
}

impl GroupReport {
    /// Adds the report of another process.
    pub fn add(&mut self, other: &GroupReport) {
        self.subscribers += other.subscribers;
        self.leased += other.leased;
        self.complete += other.complete;
        self.traffic.add(other.traffic);
        self.processor_micros += other.processor_micros;
        self.resident_bytes += other.resident_bytes;
        self.record_bytes += other.record_bytes;
        self.initial_resident_bytes += other.initial_resident_bytes;
        self.gaps += other.gaps;
        self.snapshots += other.snapshots;
        self.expired_leases += other.expired_leases;
        self.relay_changes += other.relay_changes;
        self.rejected += other.rejected;
        self.unsent += other.unsent;
    }
}

/// How subscribers recovered their leases after a step of the scenario, up to the next step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecovery {
    /// Subscribers that were without a lease at some moment.
    pub without_lease: u64,
    /// From the start of the step until the last one of them had a lease again.
    pub leased_after: Micros,
}

impl LeaseRecovery {
    /// Adds the recovery of the subscribers of another process.
    pub fn add(&mut self, other: &LeaseRecovery) {
        self.without_lease += other.without_lease;
        self.leased_after = self.leased_after.max(other.leased_after);
    }
}

/// An answer to a command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Answers [`Command::Report`].
    Report(GroupReport),
    /// Answers [`Command::Check`].
    Checked {
        findings: Findings,
        /// For each step of the scenario.
        #[serde(rename = "returns")]
        recoveries: Vec<LeaseRecovery>,
    },
}
