//! Formats outputs and states as lines of text. The text contains no names of types, so renames in the code do not
//! change it; this module is the only place that maps one to the other.

use meadowrill_event_distribution::counters::Counters;
use meadowrill_event_distribution::event::{Event, LogPosition, Purge, PurgeKey};
use meadowrill_event_distribution::output::Notice;
use meadowrill_event_distribution::status::{DistributorStatus, SubscriberStatus};
use meadowrill_event_distribution::subscriber::FreshnessBound;
use meadowrill_event_distribution::Micros;

/// FNV-1a, 64 bit.
pub(crate) struct Digest(u64);

impl Digest {
    pub(crate) fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    pub(crate) fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub(crate) fn hex(&self) -> String {
        format!("{:016x}", self.0)
    }
}

pub(crate) fn or_dash<N: ToString>(value: Option<N>) -> String {
    value.map_or("-".into(), |value| value.to_string())
}

pub(crate) fn position(position: Option<LogPosition>) -> String {
    position.map_or("-".into(), |position| {
        format!("{}/{}", position.epoch.0, position.position)
    })
}

pub(crate) fn event(event: Event) -> String {
    let Event::Purge(Purge { key, timestamp }) = event;
    match key {
        PurgeKey::Object(object) => format!("object {object} {timestamp}"),
        PurgeKey::Group(group) => format!("group {group} {timestamp}"),
    }
}

pub(crate) fn notice(notice: &Notice) -> String {
    match notice {
        Notice::LeaseAcquired {
            relay,
            time_without_lease,
        } => format!("leased {relay} without {time_without_lease}"),
        Notice::LeaseExpired { relay } => format!("lapsed {relay}"),
        Notice::RelayChanged { from, to } => format!("switched {from} {to}"),
        Notice::SnapshotStarted { relay } => format!("snapshot begun {relay}"),
        Notice::SnapshotCompleted {
            purges,
            took,
            position: at,
        } => {
            format!(
                "snapshot done {purges} took {took} at {}",
                position(Some(*at))
            )
        }
        Notice::EpochStarted { position: at } => format!("epoch {}", position(Some(*at))),
        Notice::PurgeFloorRaised { floor } => format!("floor {floor}"),
        Notice::SubscriberLeaseExpired { name } => format!("late {name}"),
    }
}

pub(crate) fn freshness_bound(bound: FreshnessBound) -> String {
    format!(
        "copies from {} age {}",
        or_dash(bound.not_before),
        or_dash(bound.max_age)
    )
}

pub(crate) fn subscriber_status(status: &SubscriberStatus) -> String {
    format!(
        "follows {} at {} head {} lease {} fetching {} purges {} floor {} counts {}",
        status.relay,
        position(status.position),
        position(status.relay_head),
        or_dash(status.lease_remaining),
        status.fetching_snapshot,
        status.purges,
        or_dash(status.purge_floor),
        counters_text(&status.counters),
    )
}

pub(crate) fn distributor_status(status: &DistributorStatus) -> String {
    let lagging: Vec<String> = status
        .lagging
        .iter()
        .map(|subscriber| {
            let (acknowledged, lease_remaining) = (
                position(subscriber.acknowledged),
                or_dash(subscriber.lease_remaining),
            );
            format!(
                "({} {acknowledged} {lease_remaining} {})",
                subscriber.name, subscriber.since_heartbeat
            )
        })
        .collect();
    format!(
        "feeds {} leased {} head {} acknowledged {} done {} purges {} floor {} window {} late [{}] counts {}",
        status.subscribers,
        status.leases,
        position(Some(status.head)),
        position(Some(status.acknowledged)),
        position(status.in_force),
        status.purges,
        or_dash(status.purge_floor),
        status.window_bytes,
        lagging.join(" "),
        counters_text(&status.counters),
    )
}

fn counters_text(counters: &Counters) -> String {
    let Counters {
        sent,
        sent_bytes,
        received,
        received_bytes,
        events,
        batches,
        gaps,
        resend_requests,
        snapshots,
        expired_leases,
        relay_changes,
        busy,
        rejected,
    } = counters;
    let all = [
        *sent,
        *sent_bytes,
        *received,
        *received_bytes,
        *events,
        *batches,
        *gaps,
        *resend_requests,
        *snapshots,
        *expired_leases,
        *relay_changes,
        *busy,
    ];
    let all: Vec<String> = all
        .iter()
        .chain(rejected)
        .map(ToString::to_string)
        .collect();
    all.join(",")
}

/// Formats a time since the start of a run, in milliseconds with three decimal places.
pub(crate) fn milliseconds(span: Micros) -> String {
    format!("{:.3}", span as f64 / 1e3)
}
