//! Hosts the decision module on the simulator's wire: the loop, the instances, the mapping of ids.

#![allow(
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

mod codec;

use codec::{Address, Arrival, Batch, Deed, Line, Malformed};
use meadowrill_routing::host::{cache_status, catch_panic, micros, settings, EndpointIndices};
use meadowrill_routing::interface::*;
use meadowrill_routing::router::Router;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// One front, with the small indices that its caches were given.
struct Instance {
    front: Router,
    caches: EndpointIndices<Address>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u8, Vec<Line>>,
}

fn seconds(t: Micros) -> f64 {
    t as f64 / 1e6
}

fn reports(values: &[f32]) -> Vec<f64> {
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
        // A word not known yet proves nothing: like an error it may have run.
        _ => AttemptOutcome::Error,
    }
}

/// The wording of a log event on the simulator's wire.
fn log_line(event: LogEvent) -> String {
    match event {
        LogEvent::EndpointLimitCut { stable_id, limit } => {
            format!("concurrency limit of endpoint {stable_id:012x} cut to {limit:.0}")
        }
        LogEvent::ParentLimitCut { stable_id, limit } => {
            format!("concurrency limit of parent {stable_id:012x} cut to {limit:.1}")
        }
        LogEvent::FillLimitCut { limit } => format!("limit on fills cut to {limit:.0}"),
        LogEvent::FetchLimitCut { limit } => format!("limit on fetches cut to {limit:.0}"),
        LogEvent::EndpointUnreachable { stable_id } => {
            format!("endpoint {stable_id:012x} unreachable, treated as warming up")
        }
    }
}

impl Instance {
    fn entries(&mut self, lines: &[Line]) -> Vec<EndpointEntry> {
        let entry = |l: &Line| EndpointEntry {
            endpoint: self.caches.get_or_insert(&l.cache),
            stable_id: u64::from(u32::from_be_bytes(l.cache.0)) << 16 | u64::from(l.cache.1),
            endpoint_kind: l.family_type,
            started_at: micros(l.online_since_s),
            zone: l.region_part,
            cell: l.bay,
            weight: f64::from(l.power_hint),
            status: match l.status {
                0 => EndpointStatus::Ready,
                2 => EndpointStatus::Draining,
                _ => EndpointStatus::Removed,
            },
        };
        lines.iter().map(entry).collect()
    }

    fn event(
        &mut self,
        lists: &BTreeMap<u8, Vec<Line>>,
        arrival: Arrival,
    ) -> Result<Event, String> {
        Ok(match arrival {
            Arrival::PeersKnown { mode: 1, .. } => {
                Event::EndpointsUpdated(EndpointUpdate::Unavailable)
            }
            Arrival::PeersKnown { mode, slot } => {
                let lines = lists
                    .get(&slot)
                    .ok_or_else(|| format!("list {slot} was never introduced"))?;
                let entries = self.entries(lines);
                Event::EndpointsUpdated(if mode == 4 {
                    EndpointUpdate::Delta(entries)
                } else {
                    EndpointUpdate::Snapshot(entries)
                })
            }
            Arrival::Inbound {
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
            }),
            Arrival::First { id } => Event::ResponseStarted { id },
            Arrival::Done(d) => Event::AttemptEnded(AttemptEnd {
                id: d.id,
                attempt: d.go,
                endpoint: self.caches.get_or_insert(&d.cache),
                outcome: outcome(d.disposition),
                elapsed: micros(d.delay_seen_s),
                finished: d.finished,
                cache_status: cache_status(usize::from(d.note)),
                first_byte: (d.first_byte_s > 0.0).then(|| micros(d.first_byte_s)),
                size_kb: 0.0,
                load_report: reports(&d.health_info),
            }),
            Arrival::Expired { id } => Event::ClientLeft { id },
            Arrival::Ring { handle } => Event::TimerFired { timer: handle },
            Arrival::Heard { author, octets } => Event::PeerMessage {
                from: author,
                bytes: octets,
            },
            Arrival::Probed {
                cache,
                disposition,
                delay_seen_s,
                health_info,
            } => Event::HealthCheckEnded {
                endpoint: self.caches.get_or_insert(&cache),
                outcome: outcome(disposition),
                elapsed: micros(delay_seen_s),
                load_report: reports(&health_info),
            },
            Arrival::Invalidated {
                asset,
                batch_id,
                oldness_s,
            } => Event::Invalidated {
                object: (asset != 0).then_some(asset),
                group: u32::from(batch_id),
                age: micros(oldness_s),
            },
            // These four concern the host and are dealt with before.
            Arrival::At(_) | Arrival::Start { .. } | Arrival::Roster { .. } | Arrival::Halt => {
                return Err("a host's event reached an instance".into())
            }
        })
    }

    fn deed(&mut self, action: Action) -> Option<Deed> {
        Some(match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                fill: None,
            } => Deed::Route {
                id,
                cache: *self.caches.name(endpoint),
                limit_s: seconds(timeout),
            },
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                fill: Some(fill),
            } => Deed::Obtain {
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
            Action::Reject { id, retry_after } => Deed::OverloadReply {
                id,
                cool_down_s: seconds(retry_after),
            },
            Action::Fail { id } => Deed::Surrender { id },
            Action::CancelAttempt { id, attempt: send } => Deed::Revoke { id, go: send },
            Action::SetTimer { at, timer: token } => Deed::Defer {
                alarm_time_s: seconds(at),
                handle: token,
            },
            Action::PollDiscovery => Deed::Track(true),
            Action::Log(event) => Deed::Emit(log_line(event)),
            Action::ReleaseEndpoint { endpoint: peer } => {
                self.caches.release(peer);
                return None;
            }
            // Answers to connections of a host's own, of which this wire has none.
            Action::WriteAttempt { .. } => return None,
        })
    }
}

impl Host {
    /// Plays one batch and returns the reply's records.
    fn play(&mut self, batch: Batch) -> Result<Vec<Deed>, Malformed> {
        let now = micros(batch.clock);
        let mut deeds = Vec::new();
        let (mut at, mut speaking) = (None, None);
        for (offset, arrival) in batch.records {
            let bad = |what: String| Malformed { offset, what };
            let id = match (arrival, at) {
                (Arrival::At(id), _) => {
                    at = Some(id);
                    continue;
                }
                (Arrival::Roster { slot, hosts }, _) => {
                    self.lists.insert(slot, hosts);
                    continue;
                }
                (_, None) => return Err(bad("record without an instance".into())),
                (Arrival::Halt, Some(id)) => {
                    self.instances.remove(&id);
                    continue;
                }
                (arrival, Some(id)) => (id, arrival),
            };
            let (id, arrival) = id;
            let mut actions = Vec::new();
            let played = if let Arrival::Start { prng, env } = arrival {
                let settings = settings(env.lines().filter_map(|l| l.split_once('=')));
                catch_panic(|| Router::new(prng, &settings, &mut actions)).map(|front| {
                    self.instances.insert(
                        id,
                        Instance {
                            front,
                            caches: EndpointIndices::default(),
                        },
                    );
                })
            } else {
                let unknown = || bad(format!("instance {id} was never introduced"));
                let instance = self.instances.get_mut(&id).ok_or_else(unknown)?;
                let event = instance.event(&self.lists, arrival).map_err(bad)?;
                catch_panic(|| instance.front.handle_event(now, event, &mut actions))
            };
            if (played.is_err() || !actions.is_empty()) && speaking != Some(id) {
                speaking = Some(id);
                deeds.push(Deed::Speaking(id));
            }
            if let Err(text) = played {
                deeds.push(Deed::GiveIn(format!("decision code: {text}")));
                return Ok(deeds);
            }
            if let Some(instance) = self.instances.get_mut(&id) {
                deeds.extend(
                    actions
                        .into_iter()
                        .filter_map(|action| instance.deed(action)),
                );
            }
        }
        Ok(deeds)
    }
}

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
        let got = input
            .by_ref()
            .take(length)
            .read_to_end(&mut frame)
            .map_err(|e| e.to_string())? as u64;
        if got < length {
            return Err(format!(
                "frame {number}, offset {}: {length} bytes announced, {got} came",
                got + 4
            ));
        }
        let place = |e: Malformed| format!("frame {number}, {e}");
        let batch = codec::read(&frame).map_err(place)?;
        let answer = batch.number;
        let deeds = host.play(batch).map_err(place)?;
        output
            .write_all(&codec::write(answer, &deeds))
            .map_err(|e| e.to_string())?;
        output.flush().map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    match run(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("meadowrill-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
