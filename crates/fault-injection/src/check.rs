//! Checks of a fleet, based only on what its proxies report and log, not on their internals.

use crate::fleet::Fleet;
use crate::proxy_name;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Groups of proxies that can reach each other.
pub type Groups = Vec<Vec<usize>>;

/// Why the views have not settled, or none if they have: all running proxies of a group hold the same view, which
/// contains exactly these proxies.
pub fn unsettled(fleet: &Fleet, groups: &Groups) -> Option<String> {
    for group in groups {
        let mut digests = BTreeSet::new();
        let running: Vec<usize> = group
            .iter()
            .copied()
            .filter(|n| fleet.is_running(*n))
            .collect();
        for proxy in &running {
            let Some(view) = fleet.fleet_view(*proxy) else {
                return Some(format!("proxy {proxy} does not answer"));
            };
            if view.state != "alive" {
                return Some(format!("proxy {proxy} is {}", view.state));
            }
            let present: BTreeSet<String> = view.present.iter().cloned().collect();
            let expected: BTreeSet<String> = running
                .iter()
                .filter(|n| *n != proxy)
                .map(|n| proxy_name(*n))
                .collect();
            if present != expected {
                let unexpected: Vec<_> = present.difference(&expected).collect();
                let missing: Vec<_> = expected.difference(&present).collect();
                return Some(format!(
                    "view of proxy {proxy}: {unexpected:?} unexpected, {missing:?} missing"
                ));
            }
            if view
                .states
                .values()
                .any(|s| s == "suspected" || s == "joining")
            {
                return Some(format!("proxy {proxy} holds members suspected or joining"));
            }
            digests.insert(view.digest);
        }
        if digests.len() > 1 {
            return Some(format!(
                "{} digests among {} proxies",
                digests.len(),
                running.len()
            ));
        }
    }
    None
}

/// One log line of a proxy. For a change of a member it holds the states before and after; otherwise `to` is the
/// message.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// Time by the clock of this machine, since the Unix epoch.
    pub at: Duration,
    /// Number of the proxy that logged the line.
    pub observer: usize,
    pub member: String,
    pub from: String,
    pub to: String,
    pub text: String,
}

/// Parses the time stamp of a log line into the time since the Unix epoch.
fn parse_log_time(text: &str) -> Option<Duration> {
    let at = humantime::parse_rfc3339_weak(text).ok()?;
    at.duration_since(std::time::UNIX_EPOCH).ok()
}

/// Log lines of all proxies, ordered by time.
pub fn log_entries(fleet: &Fleet) -> Vec<LogEntry> {
    let mut all = Vec::new();
    for observer in 0..fleet.options.proxies {
        let text = std::fs::read_to_string(fleet.log_path(observer)).unwrap_or_default();
        for line in text.lines() {
            let Ok(line) = serde_json::from_str::<Value>(line) else {
                continue;
            };
            let field = |key: &str| line[key].as_str().unwrap_or_default().to_string();
            let Some(at) = parse_log_time(&field("ts")) else {
                continue;
            };
            let msg = field("msg");
            let (member, from, to) = (field("who"), field("from"), field("to"));
            let reported_by = field("by");
            let text = if msg == "member" {
                format!(
                    "changes {member} from {from} to {to} ({}, reported by {reported_by:?})",
                    field("why")
                )
            } else {
                line.to_string()
            };
            let to = if msg == "member" { to } else { msg };
            all.push(LogEntry {
                at,
                observer,
                member,
                from,
                to,
                text,
            });
        }
    }
    all.sort_by_key(|entry| entry.at);
    all
}

/// Reports since then of the death of proxies other than the excepted ones.
pub fn false_death_reports(
    entries: &[LogEntry],
    since: Duration,
    except: &BTreeSet<usize>,
) -> Vec<LogEntry> {
    let except: BTreeSet<String> = except.iter().map(|n| proxy_name(*n)).collect();
    let is_false = |entry: &&LogEntry| {
        entry.at >= since && entry.to == "dead" && !except.contains(&entry.member)
    };
    entries.iter().filter(is_false).cloned().collect()
}

/// Time from `since` until each proxy first considered the member dead; proxies that never did are absent.
pub fn death_detection_times(
    entries: &[LogEntry],
    member: usize,
    since: Duration,
) -> BTreeMap<usize, Duration> {
    let member = proxy_name(member);
    let mut first_reports = BTreeMap::new();
    for entry in entries
        .iter()
        .filter(|entry| entry.at >= since && entry.to == "dead" && entry.member == member)
    {
        first_reports
            .entry(entry.observer)
            .or_insert(entry.at - since);
    }
    first_reports
}

/// Number of changes of any member's state in any view since then.
pub fn state_change_count(entries: &[LogEntry], since: Duration) -> usize {
    entries
        .iter()
        .filter(|entry| entry.at >= since && !entry.member.is_empty() && !entry.from.is_empty())
        .count()
}

/// State of the shared records that a proxy reports; none if it does not answer.
fn shared_state(fleet: &Fleet, proxy: usize) -> Option<Value> {
    serde_json::from_str(&fleet.operator_query(proxy, "fleet state json")?).ok()
}

/// Why the running proxies of the current build differ in their shared state, or none if they agree. With
/// `urgent_only`, only the records that do not change with each request are compared.
pub fn shared_state_difference(fleet: &Fleet, urgent_only: bool) -> Option<String> {
    let mut digests = BTreeMap::new();
    for proxy in (0..fleet.options.proxies).filter(|n| fleet.is_running(*n) && !fleet.is_older(*n))
    {
        let Some(status) = shared_state(fleet, proxy) else {
            return Some(format!("proxy {proxy} does not answer"));
        };
        let digest = if urgent_only {
            format!("{} {}", status["roots"][0], status["roots"][1])
        } else {
            status["digest"].to_string()
        };
        digests.insert(digest, proxy);
    }
    (digests.len() != 1).then(|| format!("{} digests: {digests:?}", digests.len()))
}

/// Which running proxy of the current build cannot vote on effects yet, or none.
pub fn unable_to_vote(fleet: &Fleet) -> Option<String> {
    for proxy in (0..fleet.options.proxies).filter(|n| fleet.is_running(*n) && !fleet.is_older(*n))
    {
        if shared_state(fleet, proxy).is_none_or(|status| status["vouches"] != true) {
            return Some(format!("proxy {proxy} cannot vote on effects yet"));
        }
    }
    None
}
