//! Outputs and states as lines of text that name no type of the code: the only place that maps one to the other.

use meadowrill_event_distribution::event::{Event, LogPosition, Purge, PurgeKey};
use meadowrill_event_distribution::output::{Counters, FeedStatus, Notice, SubscriberStatus};
use meadowrill_event_distribution::subscriber::CopyBound;
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

pub(crate) fn number<N: ToString>(value: Option<N>) -> String {
    value.map_or("-".into(), |value| value.to_string())
}

pub(crate) fn place(at: Option<LogPosition>) -> String {
    at.map_or("-".into(), |at| format!("{}/{}", at.epoch.0, at.position))
}

pub(crate) fn event(event: Event) -> String {
    let Event::Purge(Purge { key, stamp }) = event;
    match key {
        PurgeKey::Object(object) => format!("object {object} {stamp}"),
        PurgeKey::Group(group) => format!("group {group} {stamp}"),
    }
}

pub(crate) fn notice(notice: &Notice) -> String {
    match notice {
        Notice::Leased { relay, without } => format!("leased {relay} without {without}"),
        Notice::Lapsed { relay } => format!("lapsed {relay}"),
        Notice::Switched { from, to } => format!("switched {from} {to}"),
        Notice::SnapshotBegun { relay } => format!("snapshot begun {relay}"),
        Notice::SnapshotDone { purges, took, at } => {
            format!("snapshot done {purges} took {took} at {}", place(Some(*at)))
        }
        Notice::NewEpoch { at } => format!("epoch {}", place(Some(*at))),
        Notice::FloorRaised { floor } => format!("floor {floor}"),
        Notice::SubscriberLate { name } => format!("late {name}"),
    }
}

pub(crate) fn copy_bound(bound: CopyBound) -> String {
    format!(
        "copies from {} age {}",
        number(bound.not_before),
        number(bound.age)
    )
}

pub(crate) fn follower(status: &SubscriberStatus) -> String {
    format!(
        "follows {} at {} head {} lease {} fetching {} purges {} floor {} counts {}",
        status.relay,
        place(status.at),
        place(status.head),
        number(status.lease_left),
        status.fetching_snapshot,
        status.purges,
        number(status.floor),
        counts(&status.counters),
    )
}

pub(crate) fn feed(status: &FeedStatus) -> String {
    let late: Vec<String> = status
        .late
        .iter()
        .map(|one| {
            let (at, left) = (place(one.acknowledged), number(one.lease_left));
            format!("({} {at} {left} {})", one.name, one.heard_ago)
        })
        .collect();
    format!(
        "feeds {} leased {} head {} acknowledged {} done {} purges {} floor {} window {} late [{}] counts {}",
        status.subscribers,
        status.leased,
        place(Some(status.head)),
        place(Some(status.acknowledged)),
        place(status.done),
        status.purges,
        number(status.floor),
        status.window_bytes,
        late.join(" "),
        counts(&status.counters),
    )
}

fn counts(counters: &Counters) -> String {
    let Counters {
        sent,
        sent_bytes,
        received,
        received_bytes,
        events,
        batches,
        gaps,
        resent,
        snapshots,
        lapses,
        switches,
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
        *resent,
        *snapshots,
        *lapses,
        *switches,
        *busy,
    ];
    let all: Vec<String> = all
        .iter()
        .chain(rejected)
        .map(ToString::to_string)
        .collect();
    all.join(",")
}

/// Microseconds as text, from the start of a run.
pub(crate) fn milliseconds(span: Micros) -> String {
    format!("{:.3}", span as f64 / 1e3)
}
