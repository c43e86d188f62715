//! Reports on the fleet's membership: a table, the same as JSON, and metrics.

use super::collector::{label, unlabelled, Metric, MetricSnapshot};
use crate::clock::seconds;
use crate::net::peers::Peers;
use meadowrill_membership::claim::MemberState;
use meadowrill_membership::view::{Member, View};
use meadowrill_routing::interface::Micros;
use serde_json::json;
use std::fmt::Write;

/// The state of a member as shown to operators. An alive member of which only the name is known is shown as joining.
fn state_name(member: &Member) -> &'static str {
    match member.claim.state {
        MemberState::Alive if member.revision == 0 => "joining",
        state => state.name(),
    }
}

fn own_state_name(view: &View) -> &'static str {
    match view.own().0.state {
        _ if view.is_withdrawn() => "gave-way",
        MemberState::Alive if !view.has_joined() => "joining",
        state => state.name(),
    }
}

fn reported_by(member: &Member) -> String {
    match &member.suspicion {
        Some(suspicion) => suspicion
            .accusers
            .iter()
            .cloned()
            .collect::<Vec<_>>()
            .join(","),
        None => member.declared_dead_by.clone(),
    }
}

pub(crate) fn table(view: &View, now: Micros) -> String {
    let mut text = String::new();
    let settled = view.settled_since().map_or("no".to_string(), |at| {
        format!("{} s", (now - at) / 1_000_000)
    });
    let (own, body) = view.own();
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "digest {:016x}  here {}  settled {settled}  own health {}",
        view.digest(),
        view.present_count(),
        view.health_score()
    );
    let header = [
        "who", "state", "since_s", "by", "rtt_ms", "zone", "weight", "version", "address", "start",
    ];
    let mut rows = vec![header.map(str::to_string)];
    rows.push([
        format!("{} (this)", view.name()),
        own_state_name(view).into(),
        ((now - own.start as Micros) / 1_000_000).to_string(),
        String::new(),
        String::new(),
        body.zone.clone(),
        body.weight.to_string(),
        body.version.clone(),
        body.address.clone(),
        own.start.to_string(),
    ]);
    for (name, member) in view.members() {
        rows.push([
            name.to_string(),
            state_name(member).into(),
            ((now - member.state_since) / 1_000_000).to_string(),
            reported_by(member),
            member
                .round_trip
                .map_or(String::new(), |us| format!("{:.1}", us / 1000.0)),
            member.body.zone.clone(),
            member.body.weight.to_string(),
            member.body.version.clone(),
            member.body.address.clone(),
            member.claim.start.to_string(),
        ]);
    }
    let widths: Vec<usize> = (0..header.len())
        .map(|at| rows.iter().map(|row| row[at].len()).max().unwrap_or(0))
        .collect();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

pub(crate) fn json(view: &View, now: Micros) -> String {
    let (own, body) = view.own();
    let members: Vec<_> = view
        .members()
        .map(|(name, m)| {
            json!({
                "name": name, "state": state_name(m), "since_us": now - m.state_since, "by": reported_by(m),
                "round_trip_us": m.round_trip, "zone": m.body.zone, "weight": m.body.weight,
                "version": m.body.version, "address": m.body.address, "start": m.claim.start,
                "incarnation": m.claim.incarnation, "rev": m.revision,
            })
        })
        .collect();
    let all = json!({
        "name": view.name(), "state": own_state_name(view), "start": own.start, "incarnation": own.incarnation,
        "zone": body.zone, "version": body.version, "address": body.address,
        "digest": format!("{:016x}", view.digest()), "here": view.present_count(),
        "settled_us": view.settled_since().map(|at| now - at), "health": view.health_score(), "members": members,
    });
    format!("{all}\n")
}

/// Metrics of the view and of the transport of its messages.
pub(crate) fn metrics(peers: &Peers) -> MetricSnapshot {
    let mut counters = membership_counters(peers);
    counters.extend(transport_counters(peers));
    MetricSnapshot {
        counters,
        gauges: gauges(peers.view()),
    }
}

fn membership_counters(peers: &Peers) -> Vec<Metric<u64>> {
    let counts = &peers.view().counters;
    let counters = [
        ("probes", "Probes sent", counts.probes),
        (
            "failures",
            "Probes that nobody answered",
            counts.failed_probes,
        ),
        (
            "suspicions",
            "Suspicions by this front's own probes",
            counts.suspicions,
        ),
        (
            "refutations",
            "Times that this front spoke up for itself",
            counts.refutations,
        ),
        (
            "deaths",
            "Deaths called by this front",
            counts.deaths_declared,
        ),
    ];
    counters
        .map(|(name, help, count)| (name, help, unlabelled(count)))
        .to_vec()
}

fn transport_counters(peers: &Peers) -> Vec<Metric<u64>> {
    let (counts, streams) = (&peers.view().counters, &peers.streams);
    let dropped = counts.dropped.iter();
    let dropped = dropped
        .map(|(reason, n)| (label("why", reason.name()), *n))
        .collect();
    let sent_bytes = counts.bytes_sent_by_kind.iter();
    let sent_bytes = sent_bytes
        .map(|(what, n)| (label("for", what), *n))
        .collect();
    let unlabelled_counter = |name, help, count| (name, help, unlabelled(count));
    vec![
        unlabelled_counter(
            "datagrams_heard",
            "Datagrams heard",
            counts.messages_received,
        ),
        unlabelled_counter("bytes_heard", "Bytes heard", counts.bytes_received),
        unlabelled_counter("datagrams_sent", "Datagrams sent", counts.datagrams_sent),
        (
            "bytes_sent",
            "Bytes sent, by what they were sent for",
            sent_bytes,
        ),
        unlabelled_counter(
            "held_back",
            "Parts of an exchange that waited for bytes a second",
            counts.deferred,
        ),
        unlabelled_counter(
            "unsent",
            "Datagrams that the kernel did not take",
            peers.datagrams.unsent,
        ),
        unlabelled_counter(
            "chunks_sent",
            "Parts of an exchange sent over streams",
            counts.chunks_sent,
        ),
        unlabelled_counter(
            "streams_opened",
            "Streams opened to other fronts",
            streams.opened,
        ),
        unlabelled_counter(
            "streams_lost",
            "Streams that ended with something unsent",
            streams.lost,
        ),
        unlabelled_counter(
            "streams_full",
            "Parts and streams for which there was no room",
            streams.full,
        ),
        ("dropped", "Datagrams and records dropped", dropped),
    ]
}

fn gauges(view: &View) -> Vec<Metric<f64>> {
    let in_state = |name: &str| {
        view.members()
            .filter(|(_, m)| state_name(m) == name)
            .count() as f64
    };
    let states = ["alive", "joining", "suspected", "dead", "left"];
    let settled_since = view.settled_since();
    vec![
        (
            "members",
            "Members by state",
            states.map(|s| (label("state", s), in_state(s))).to_vec(),
        ),
        (
            "health",
            "How far this front doubts its own eyes",
            unlabelled(f64::from(view.health_score())),
        ),
        (
            "settled_since_seconds",
            "Unix time at which the view last changed, 0 while it is not settled",
            unlabelled(settled_since.map_or(0.0, seconds)),
        ),
    ]
}
