//! Runs routers for the simulator. The program reads frames from standard input and writes replies to standard output.
//! Each simulated proxy is an instance with a router of its own.

#![allow(
    clippy::too_many_lines,
    reason = "some functions match all record types"
)]

mod codec;

use codec::{Address, Batch, InputRecord, Malformed, ReplyRecord, RosterEntry};
use meadowrill_routing::host::{cache_status, catch_panic, micros, settings, EndpointIndices};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// The router of one simulated proxy, with the indices assigned to its caches.
struct Instance {
    router: Router,
    caches: EndpointIndices<Address>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    /// The received rosters by slot.
    rosters: BTreeMap<u8, Vec<RosterEntry>>,
}

fn seconds(t: Micros) -> f64 {
    t as f64 / 1e6
}

fn load_report(values: &[f32]) -> Vec<f64> {
    values.iter().map(|v| f64::from(*v)).collect()
}

fn outcome(code: u16) -> AttemptOutcome {
    match code {
        100 => AttemptOutcome::Success,
        302 => AttemptOutcome::Rejected,
        303 => AttemptOutcome::TimedOut,
        304 => AttemptOutcome::ConnectFailed,
        305 => AttemptOutcome::ConnectionReset,
        306 => AttemptOutcome::Cancelled,
        307 => AttemptOutcome::Superseded,
        101 => AttemptOutcome::Miss,
        // An unknown code is treated as an error: the request may have run.
        _ => AttemptOutcome::Error,
    }
}

/// The text of a log event in the simulator's protocol.
fn log_line(event: LogEvent) -> String {
    match event {
        LogEvent::EndpointLimitReduced { stable_id, limit } => {
            format!("concurrency limit of endpoint {stable_id:012x} cut to {limit:.0}")
        }
        LogEvent::ParentLimitReduced { stable_id, limit } => {
            format!("concurrency limit of parent {stable_id:012x} cut to {limit:.1}")
        }
        LogEvent::FillLimitReduced { limit } => format!("limit on fills cut to {limit:.0}"),
        LogEvent::FetchLimitReduced { limit } => format!("limit on fetches cut to {limit:.0}"),
        LogEvent::EndpointUnreachable { stable_id } => {
            format!("endpoint {stable_id:012x} unreachable, treated as warming up")
        }
    }
}

impl Instance {
    fn endpoint_entries(&mut self, roster: &[RosterEntry]) -> Vec<EndpointEntry> {
        let endpoint_entry = |entry: &RosterEntry| EndpointEntry {
            address: 0,
            endpoint: self.caches.get_or_insert(&entry.cache),
            stable_id: u64::from(u32::from_be_bytes(entry.cache.0)) << 16
                | u64::from(entry.cache.1),
            endpoint_kind: entry.family_type,
            started_at: micros(entry.online_since_s),
            zone: entry.region_part,
            cell: entry.bay,
            weight: f64::from(entry.power_hint),
            status: match entry.status {
                0 => EndpointStatus::Ready,
                2 => EndpointStatus::Draining,
                _ => EndpointStatus::Removed,
            },
        };
        roster.iter().map(endpoint_entry).collect()
    }

    fn event(
        &mut self,
        rosters: &BTreeMap<u8, Vec<RosterEntry>>,
        record: InputRecord,
    ) -> Result<Event, String> {
        Ok(match record {
            InputRecord::PeersKnown { mode: 1, .. } => {
                Event::EndpointsUpdated(EndpointUpdate::Unavailable)
            }
            InputRecord::PeersKnown { mode, slot } => {
                let roster = rosters
                    .get(&slot)
                    .ok_or_else(|| format!("no roster was received for slot {slot}"))?;
                let entries = self.endpoint_entries(roster);
                Event::EndpointsUpdated(if mode == 4 {
                    EndpointUpdate::Delta(entries)
                } else {
                    EndpointUpdate::Snapshot(entries)
                })
            }
            InputRecord::Inbound {
                id,
                slice,
                length_kb,
                asset,
                expires_s,
                lane,
                batch_id,
            } => Event::RequestArrived(Request {
                id,
                object: asset,
                part: slice as u32,
                size_kb: f64::from(length_kb),
                group: batch_id as u32,
                class: usize::from(lane),
                deadline: micros(expires_s),
                effect: 0,
            }),
            InputRecord::First { id } => Event::ResponseStarted { id },
            InputRecord::Done(d) => Event::AttemptEnded(AttemptEnd {
                id: d.id,
                attempt: d.go,
                endpoint: self.caches.get_or_insert(&d.cache),
                outcome: outcome(d.disposition),
                elapsed: micros(d.delay_seen_s),
                finished: d.finished,
                cache_status: cache_status(usize::from(d.note)),
                first_byte: (d.first_byte_s > 0.0).then(|| micros(d.first_byte_s)),
                size_kb: 0.0,
                load_report: load_report(&d.health_info),
            }),
            InputRecord::Expired { id } => Event::ClientLeft { id },
            InputRecord::Ring { handle } => Event::TimerFired { timer: handle },
            InputRecord::Heard { author, octets } => Event::PeerMessage {
                from: author,
                bytes: octets,
            },
            InputRecord::Probed {
                cache,
                disposition,
                delay_seen_s,
                health_info,
            } => Event::HealthCheckEnded {
                endpoint: self.caches.get_or_insert(&cache),
                outcome: outcome(disposition),
                elapsed: micros(delay_seen_s),
                load_report: load_report(&health_info),
            },
            InputRecord::Invalidated {
                asset,
                batch_id,
                oldness_s,
            } => Event::Invalidated {
                object: (asset != 0).then_some(asset),
                group: u32::from(batch_id),
                age: micros(oldness_s),
            },
            // The host handles these four record types itself.
            InputRecord::At(_)
            | InputRecord::Start { .. }
            | InputRecord::Roster { .. }
            | InputRecord::Halt => {
                return Err("a record for the host was passed to an instance".into())
            }
        })
    }

    fn reply_record(&mut self, action: Action) -> Option<ReplyRecord> {
        Some(match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                fill: None,
            } => ReplyRecord::Route {
                id,
                cache: *self.caches.name(endpoint),
                limit_s: seconds(timeout),
            },
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                fill: Some(fill),
            } => ReplyRecord::Obtain {
                id,
                cache: *self.caches.name(endpoint),
                limit_s: seconds(timeout),
                supplier: *self.caches.name(fill.source),
                admit: fill.retention,
                oldness_s: seconds(fill.max_age),
                mode: u8::from(fill.join)
                    | u8::from(fill.cached_only) << 1
                    | u8::from(fill.revalidate) << 3,
            },
            Action::Reject { id, retry_after } => ReplyRecord::OverloadReply {
                id,
                cool_down_s: seconds(retry_after),
            },
            Action::Fail { id } => ReplyRecord::Surrender { id },
            Action::CancelAttempt { id, attempt } => ReplyRecord::Revoke { id, go: attempt },
            Action::SetTimer { at, timer } => ReplyRecord::Defer {
                alarm_time_s: seconds(at),
                handle: timer,
            },
            Action::PollDiscovery => ReplyRecord::Track(true),
            Action::Log(event) => ReplyRecord::Emit(log_line(event)),
            Action::ReleaseEndpoint { endpoint } => {
                self.caches.release(endpoint);
                return None;
            }
            // Only a host that manages its own connections has to write attempts. The simulator manages them here.
            Action::WriteAttempt { .. } => return None,
        })
    }
}

impl Host {
    /// Handles all records of a batch. Returns the records of the reply.
    fn handle_batch(&mut self, batch: Batch) -> Result<Vec<ReplyRecord>, Malformed> {
        let now = micros(batch.clock);
        let mut replies = Vec::new();
        let (mut addressed_id, mut speaking_id) = (None, None);
        for (offset, record) in batch.records {
            let malformed = |reason: String| Malformed { offset, reason };
            let addressed = match (record, addressed_id) {
                (InputRecord::At(id), _) => {
                    addressed_id = Some(id);
                    continue;
                }
                (InputRecord::Roster { slot, hosts }, _) => {
                    self.rosters.insert(slot, hosts);
                    continue;
                }
                (_, None) => return Err(malformed("no At record precedes this record".into())),
                (InputRecord::Halt, Some(id)) => {
                    self.instances.remove(&id);
                    continue;
                }
                (record, Some(id)) => (id, record),
            };
            let (id, record) = addressed;
            let mut actions = Vec::new();
            let result = if let InputRecord::Start { prng, env } = record {
                let settings = settings(env.lines().filter_map(|l| l.split_once('=')));
                catch_panic(|| Router::new(prng, &settings, &mut actions)).map(|router| {
                    self.instances.insert(
                        id,
                        Instance {
                            router,
                            caches: EndpointIndices::default(),
                        },
                    );
                })
            } else {
                let unknown = || malformed(format!("instance {id} was never started"));
                let instance = self.instances.get_mut(&id).ok_or_else(unknown)?;
                let event = instance.event(&self.rosters, record).map_err(malformed)?;
                catch_panic(|| instance.router.handle_event(now, event, &mut actions))
            };
            if (result.is_err() || !actions.is_empty()) && speaking_id != Some(id) {
                speaking_id = Some(id);
                replies.push(ReplyRecord::Speaking(id));
            }
            if let Err(text) = result {
                replies.push(ReplyRecord::GiveIn(format!("decision code: {text}")));
                return Ok(replies);
            }
            if let Some(instance) = self.instances.get_mut(&id) {
                replies.extend(
                    actions
                        .into_iter()
                        .filter_map(|action| instance.reply_record(action)),
                );
            }
        }
        Ok(replies)
    }
}

/// Replies to the frames of `input` until it ends.
fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut frame = Vec::new();
    for number in 0u64.. {
        let mut length = [0; 4];
        match input.read(&mut length[..1]).map_err(|e| e.to_string())? {
            0 => break,
            _ => input
                .read_exact(&mut length[1..])
                .map_err(|e| format!("frame {number}, offset 0: {e}"))?,
        }
        let length = u64::from(u32::from_le_bytes(length));
        frame.clear();
        let received = input
            .by_ref()
            .take(length)
            .read_to_end(&mut frame)
            .map_err(|e| e.to_string())? as u64;
        if received < length {
            return Err(format!(
                "frame {number}, offset {}: {length} bytes expected, {received} received",
                received + 4
            ));
        }
        let in_frame = |e: Malformed| format!("frame {number}, {e}");
        let batch = codec::read(&frame).map_err(in_frame)?;
        let batch_number = batch.number;
        let replies = host.handle_batch(batch).map_err(in_frame)?;
        output
            .write_all(&codec::write(batch_number, &replies))
            .map_err(|e| e.to_string())?;
        output.flush().map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    match run(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("meadowrill-adapter: {reason}");
            ExitCode::FAILURE
        }
    }
}
