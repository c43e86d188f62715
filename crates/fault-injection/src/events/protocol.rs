//! What the driver and a process of hollow subscribers say to each other: a JSON text a line, over standard input and
//! output.

use super::check::{Findings, Timeline};
use super::faults::RelaySet;
use super::layout::{region_name, region_of, relay_name, zone_name, zone_of};
use super::relays::PUBLISHER;
use meadowrill_event_distribution::settings::{DistributionSettings, RelayAddress, MILLISECOND};
use meadowrill_event_distribution::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Broken on purpose, to see that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
pub enum Sabotage {
    /// One purge in a thousand is acknowledged and never applied.
    ForgetsPurges,
    /// Purges are applied three seconds after they are acknowledged.
    AppliesLate,
    /// A lease that has lapsed is still believed in.
    LeaseNeverEnds,
    /// Copies of any age are served without a lease.
    CopiesUnbounded,
}

/// What one process holds, and whom that follows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupPlan {
    /// Number of the first subscriber, and how many there are.
    pub first: usize,
    pub many: usize,
    pub seed: u64,
    pub clock_offset: Micros,
    /// Name of the fleet, and the addresses of its relays in the order of their numbers.
    pub fleet: u64,
    pub relays: Vec<SocketAddr>,
    pub sabotage: Option<Sabotage>,
}

impl GroupPlan {
    pub fn events_plan(&self) -> DistributionSettings {
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

/// Subscribers go by their numbers, of which a process passes over those that it does not hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Each ends without a word and begins anew, at another port.
    Restart { subscribers: Vec<usize> },
    /// Each does nothing for so long, as under SIGSTOP.
    Stop {
        subscribers: Vec<usize>,
        span_ms: i64,
    },
    /// Each goes on, but reads nothing.
    StopReading { subscribers: Vec<usize> },
    /// Each is cut off from these relays, in both directions.
    CutOff {
        subscribers: Vec<usize>,
        relays: RelaySet,
    },
    /// All lose this share of their datagrams, in both directions.
    Lose { share: f64 },
    /// All faults end, but for stops that are not over.
    Heal,
    /// Answered by [`Reply::Report`].
    Report { purges: usize },
    /// Answered by [`Reply::Checked`]. Recording ends with it.
    Check {
        timeline: Timeline,
        marks: Vec<Micros>,
    },
}

impl Command {
    pub fn stop(subscribers: Vec<usize>, span: Micros) -> Command {
        Command::Stop {
            subscribers,
            span_ms: span / MILLISECOND,
        }
    }
}

/// Datagrams through the sockets of hollow subscribers.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
}

impl Traffic {
    pub fn add(&mut self, other: Traffic) {
        self.sent += other.sent;
        self.sent_bytes += other.sent_bytes;
        self.received += other.received;
        self.received_bytes += other.received_bytes;
    }
}

/// How a process and its subscribers stand.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupReport {
    pub subscribers: usize,
    pub leased: usize,
    /// Those that have applied all of the first so many purges, as the command asked.
    pub complete: usize,
    pub traffic: Traffic,
    pub processor_micros: u64,
    /// Of the process, and of what is recorded in it, which no subscriber in earnest has.
    pub resident_bytes: u64,
    pub record_bytes: u64,
    /// Resident before the first subscriber was made.
    pub resident_at_first: u64,
    pub gaps: u64,
    pub snapshots: u64,
    pub lapses: u64,
    pub switches: u64,
    pub rejected: u64,
    /// Datagrams that the kernel did not take.
    pub unsent: u64,
}

impl GroupReport {
    pub fn add(&mut self, other: &GroupReport) {
        self.subscribers += other.subscribers;
        self.leased += other.leased;
        self.complete += other.complete;
        self.traffic.add(other.traffic);
        self.processor_micros += other.processor_micros;
        self.resident_bytes += other.resident_bytes;
        self.record_bytes += other.record_bytes;
        self.resident_at_first += other.resident_at_first;
        self.gaps += other.gaps;
        self.snapshots += other.snapshots;
        self.lapses += other.lapses;
        self.switches += other.switches;
        self.rejected += other.rejected;
        self.unsent += other.unsent;
    }
}

/// How subscribers came back after a mark of the driver, up to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// Subscribers that were without a lease at some moment.
    pub without_lease: u64,
    /// Until the last one of them had a lease again, after the mark.
    pub leased_after: Micros,
}

impl Return {
    pub fn add(&mut self, other: &Return) {
        self.without_lease += other.without_lease;
        self.leased_after = self.leased_after.max(other.leased_after);
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    Report(GroupReport),
    Checked {
        findings: Findings,
        returns: Vec<Return>,
    },
}
