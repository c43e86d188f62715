//! Hosts the decision module on the simulator's wire: the loop, the instances, the mapping of ids.

mod codec;

use codec::{Address, Arrival, Batch, Deed, Line, Malformed};
use meadowrill_routing::control::Front;
use meadowrill_routing::door::{contained, micros, remark, settings, Indices};
use meadowrill_routing::interface::*;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// One front, with the small indices that its caches were given.
struct Instance {
    front: Front,
    caches: Indices<Address>,
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

fn ending(code: u16) -> Ending {
    match code {
        100 => Ending::Satisfied,
        302 => Ending::TurnedAway,
        303 => Ending::TimedOut,
        304 => Ending::Unconnected,
        305 => Ending::Broken,
        306 => Ending::Cancelled,
        307 => Ending::Moot,
        101 => Ending::Miss,
        // A word not known yet proves nothing: like an error it may have run.
        _ => Ending::Error,
    }
}

impl Instance {
    fn entries(&mut self, lines: &[Line]) -> Vec<Entry> {
        let entry = |l: &Line| Entry {
            peer: self.caches.of(&l.cache),
            stable: u64::from(u32::from_be_bytes(l.cache.0)) << 16 | u64::from(l.cache.1),
            machine: l.family_type,
            since: micros(l.online_since_s),
            zone: l.region_part,
            cell: l.bay,
            weight: f64::from(l.power_hint),
            standing: match l.status {
                0 => Standing::Ready,
                2 => Standing::Draining,
                _ => Standing::Gone,
            },
        };
        lines.iter().map(entry).collect()
    }

    fn event(&mut self, lists: &BTreeMap<u8, Vec<Line>>, arrival: Arrival) -> Result<Event, String> {
        Ok(match arrival {
            Arrival::PeersKnown { mode: 1, .. } => Event::Listed(Listing::Failed),
            Arrival::PeersKnown { mode, slot } => {
                let lines = lists.get(&slot).ok_or_else(|| format!("list {slot} was never introduced"))?;
                let entries = self.entries(lines);
                Event::Listed(if mode == 4 { Listing::Delta(entries) } else { Listing::Full(entries) })
            }
            Arrival::Inbound { id, slice, length_kb, asset, expires_s, lane, batch_id } => {
                Event::Asked(Lookup {
                    id,
                    object: asset,
                    part: slice as u32,
                    size_kb: f64::from(length_kb),
                    group: batch_id as u32,
                    kind: usize::from(lane),
                    expires: micros(expires_s),
                })
            }
            Arrival::First { id } => Event::Began { id },
            Arrival::Done(d) => Event::Ended(Outcome {
                id: d.id,
                send: d.go,
                peer: self.caches.of(&d.cache),
                ending: ending(d.disposition),
                took: micros(d.delay_seen_s),
                finished: d.finished,
                remark: remark(usize::from(d.note)),
                first_byte: (d.first_byte_s > 0.0).then(|| micros(d.first_byte_s)),
                size_kb: 0.0,
                report: reports(&d.health_info),
            }),
            Arrival::Expired { id } => Event::Left { id },
            Arrival::Ring { handle } => Event::Rang { token: handle },
            Arrival::Heard { author, octets } => Event::Heard { from: author, bytes: octets },
            Arrival::Probed { cache, disposition, delay_seen_s, health_info } => Event::Probed {
                peer: self.caches.of(&cache),
                ending: ending(disposition),
                took: micros(delay_seen_s),
                report: reports(&health_info),
            },
            Arrival::Invalidated { asset, batch_id, oldness_s } => Event::Purged {
                object: (asset != 0).then_some(asset),
                group: u32::from(batch_id),
                ago: micros(oldness_s),
            },
            // These four concern the host and are dealt with before.
            Arrival::At(_) | Arrival::Start { .. } | Arrival::Roster { .. } | Arrival::Halt => {
                return Err("a host's event reached an instance".into())
            }
        })
    }

    fn deed(&mut self, action: Action) -> Option<Deed> {
        Some(match action {
            Action::Send { id, peer, time_out, fill: None } => {
                Deed::Route { id, cache: *self.caches.name(peer), limit_s: seconds(time_out) }
            }
            Action::Send { id, peer, time_out, fill: Some(fill) } => Deed::Obtain {
                id,
                cache: *self.caches.name(peer),
                limit_s: seconds(time_out),
                supplier: *self.caches.name(fill.source),
                admit: fill.keep,
                oldness_s: seconds(fill.age),
                mode: u8::from(fill.join) | u8::from(fill.held_only) << 1 | u8::from(fill.renew) << 3,
            },
            Action::Nack { id, come_back } => Deed::OverloadReply { id, cool_down_s: seconds(come_back) },
            Action::Fail { id } => Deed::Surrender { id },
            Action::Cancel { id, send } => Deed::Revoke { id, go: send },
            Action::Ring { at, token } => Deed::Defer { alarm_time_s: seconds(at), handle: token },
            Action::Subscribe => Deed::Track(true),
            Action::Log(text) => Deed::Emit(text),
            Action::Forget { peer } => {
                self.caches.forget(peer);
                return None;
            }
            // Answers to connections of a host's own, of which this wire has none.
            Action::Write { .. } => return None,
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
                contained(|| Front::start(prng, settings, now, &mut actions)).map(|front| {
                    self.instances.insert(id, Instance { front, caches: Indices::default() });
                })
            } else {
                let unknown = || bad(format!("instance {id} was never introduced"));
                let instance = self.instances.get_mut(&id).ok_or_else(unknown)?;
                let event = instance.event(&self.lists, arrival).map_err(bad)?;
                contained(|| instance.front.hear(now, event, &mut actions))
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
                deeds.extend(actions.into_iter().filter_map(|action| instance.deed(action)));
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
            _ => input.read_exact(&mut length[1..]).map_err(|e| format!("frame {number}, offset 0: {e}"))?,
        }
        let length = u64::from(u32::from_le_bytes(length));
        frame.clear();
        let got = input.by_ref().take(length).read_to_end(&mut frame).map_err(|e| e.to_string())? as u64;
        if got < length {
            return Err(format!("frame {number}, offset {}: {length} bytes announced, {got} came", got + 4));
        }
        let place = |e: Malformed| format!("frame {number}, {e}");
        let batch = codec::read(&frame).map_err(place)?;
        let answer = batch.number;
        let deeds = host.play(batch).map_err(place)?;
        output.write_all(&codec::write(answer, &deeds)).map_err(|e| e.to_string())?;
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
