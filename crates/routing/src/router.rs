//! All decisions of a front: which cache gets a lookup, from where it fills, what is kept, when another send
//! goes out, and when the front gives up.
//!
//! A host calls [`Router::new`] once and then [`Router::handle_event`] for each event, in order, with its clock; what
//! is to be done is pushed onto `out`, in order. The types are in `interface.rs`. Nothing is read but the
//! events and the settings, so the same events bring the same actions.
//!
//! Inside, the desk (lookups) and the peers (caches, parents, origin) are actors: each has an inbox, and one
//! loop ([`Router::pump`]) empties them. A send is a [`Bid`]: the desk plans it, the source's guard passes it,
//! then the cache's guard, and only that emits it ([`Peer::carry`]). All final answers leave by
//! [`Desk::give_up`].

use crate::interface::*;
use crate::room::{Memory, Room, Rules, Smooth};
use crate::state::{
    Ask, Bid, Card, CopyBound, Held, Kind, Note, Peers, Repeat, Role, Sent, Verdict,
};
use smallvec::SmallVec;
use std::collections::BTreeMap;

const SEC: Micros = 1_000_000;
/// Tail drop factor, and how long the estimate of a length and the sight of a part last (design page).
const NU: f64 = 0.875;
const LENGTH_LIFE: Micros = 300 * SEC;
const REPEAT_WINDOW: Micros = 10 * SEC;
/// From so many fronts a location on, a part met again at most so many back tells that many walk an object.
const WALK: u32 = 3;
/// Rank of all that is kept; only one is used.
const RANK: u8 = 1;
/// Weight of a new sample in smoothed figures, and in those that choose between parents, where no single send
/// is to turn the choice; and how fast an idle figure drifts to the average.
const SMOOTHING: f64 = 0.2;
const SOURCE_SMOOTHING: f64 = 0.05;
const DRIFT: f64 = 10.0 * SEC as f64;
/// How long a machine that left the list is remembered, and how many entries any memory of objects holds.
const GONE_LIFE: Micros = 3600 * SEC;
const MEMORY: usize = 50_000;
/// Extra sends earned by a first send, and how many can be saved up.
const EXTRA_EARNED: f64 = 0.2;
const EXTRA_SAVED: f64 = 20.0;
/// A peer that fails this share of what it gets is passed by, but for a few trials.
const FAILING: f64 = 0.15;
/// Below this share and so many times its usual time it only hangs: some answers never come, and what may
/// come again is waited for this part of its latency budget.
const FAILING_MOST: f64 = 0.5;
const QUICK: f64 = 2.0;
const PATIENCE: f64 = 0.6;
/// So many times as slow as the quickest of its like a cache drags, and what it has no place for goes on.
const DRAGS: f64 = 4.0;
/// A machine that so many sends in a row have not reached is held to be lost.
const LOST: u32 = 3;
/// Whatever is told to the fronts counts as told after so long, whether or not it arrived (protocol page).
const TOLD_BY: Micros = 7 * SEC;
/// Time between trials, whatever the traffic: a trial costs a lookup.
const TRIAL_REST: Micros = 2 * SEC;
/// Good answers in a row that are counted; each halves the time to the next trial.
const STREAK: u32 = 5;
/// What may be out at once through a gate, at first and at least; of fetches also this front's part of a
/// least for all. Below one it is a share of the time with one out: one each from many fronts is a jam.
const WINDOW: f64 = 16.0;
const WINDOW_LEAST: f64 = 0.1;
const FETCHES_LEAST: f64 = 8.0;
/// A step up for each that came in time, down for each late one, which first cuts to USED times the use. The
/// ratio sets the share of late ones at which a window stands still. Steps by answer need no samples: a front
/// of little traffic steps as its share of all. A late fill leaves a copy, a late fetch one for all.
const STEP_DOWN: f64 = 0.8;
const STEP_UP: f64 = 0.1;
const STEP_UP_FILLS: f64 = 0.4;
const STEP_UP_FETCHES: f64 = 0.8;
const USED: f64 = 1.1;
/// The longest rest between two through a window below one: one that is well again is to be found out.
const REST_MOST: Micros = 4 * SEC;
/// A log line about the same thing comes at most so often.
const SAY_REST: Micros = 5 * SEC;
/// Shares that came and went leave dust: it shuts no window of one for good, and owes no outcome.
const DUST: f64 = 1e-6;
/// Of lookups that take so many times their kind's mean (about the largest tenth, and the next fifth) at least this part of
/// the kind's answered share is answered, as far as the lean on size decides; what they are owed adds up to so many.
const LARGE: [f64; 2] = [2.0, 1.0];
const LEAN_MOST: f64 = 0.58;
const OWED_MOST: f64 = 12.0;
/// Parts of a window that are open to a lookup with the least and the most room in its latency budget.
const TIGHT: f64 = 0.5;
const EASY: f64 = 3.0;
/// From this part of the window on, a cache is asked first for what it holds.
const PRESSED: f64 = 0.5;
/// How fast a mean time that was seen without sizes gives way upwards, a sample; over how many one is taken that is
/// not to be low by chance, and how many have to be seen before.
const GIVE: f64 = 1.0005;
const MANY: f64 = 60.0;
const FEW: f64 = 6.0;
/// A peer that owes so many answers and gave none for so long is silent, later maybe started anew.
const OWED: u32 = 3;
const SILENT: Micros = SEC;
const LONG_SILENT: Micros = 4 * SEC;
/// A location's link bears so many times the transfers that fit at full pace before clients wait for it;
/// beyond that fills are let in by chance, as that stands to what is reported, and a report fades this fast.
const LINK_BEARS: f64 = 1.6;
const LINK_FADES: f64 = 2.0 * SEC as f64;
/// The least time before a part that is on its way to a cache is asked for again.
const WAIT_LEAST: Micros = SEC / 30;
/// Share of lookups that are taken to need a fill, until it was seen.
const FILLED: f64 = 0.3;
/// Part of a cold machine's allowance that this front uses, and of it the part that may go out at once.
const COLD_USE: f64 = 0.7;
const COLD_BURST: f64 = 0.3;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Rendezvous hashing over stable ids, without seed: fronts with the same list choose alike, and a list that
/// is late at one of them moves only the objects of the machines that differ.
fn draw(stable: u64, weight: f64, object: u64, part: u64) -> f64 {
    let h = mix(stable ^ mix(object ^ mix(part.wrapping_add(0x9e37_79b9_7f4a_7c15))));
    let unit = ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}

/// How much may be out at once: widened while what passes comes in time, cut while too much of it does not.
/// Against jams of any cause, in which all that is let in comes late and is asked for again.
#[derive(Clone, Copy, Debug, Default)]
struct Gate {
    out: f64,
    /// What has been out lately at the most: a window far above it would be cut in vain for long.
    usual: f64,
    window: f64,
    least: f64,
    step_up: f64,
    entered_at: Micros,
    left_at: Micros,
    said_at: Micros,
}

impl Gate {
    fn new(step_up: f64, least: f64) -> Gate {
        Gate {
            window: WINDOW,
            step_up,
            least: least.max(WINDOW_LEAST),
            ..Gate::default()
        }
    }

    fn pressed(&self, share: f64) -> bool {
        self.out + share > self.window * PRESSED
    }

    fn full(&self, now: Micros, ease: f64) -> bool {
        let open = self.window * ease;
        let span = (self.left_at - self.entered_at).max(0) as f64;
        let rest = (span * (1.0 / open - 1.0)).clamp(0.0, REST_MOST as f64);
        self.out > (open - 1.0).max(DUST) || now < self.left_at + rest as Micros
    }

    fn enter(&mut self, now: Micros, share: f64) {
        self.out += share;
        self.usual = self
            .out
            .max(self.usual + SMOOTHING * (self.out - self.usual));
        self.entered_at = if share > 0.0 { now } else { self.entered_at };
    }

    fn leave(&mut self, now: Micros, share: f64) {
        self.out = (self.out - share).max(0.0);
        self.left_at = if share > 0.0 { now } else { self.left_at };
    }

    /// True when it was cut to where it binds, for the log, and not said lately.
    fn judge(&mut self, now: Micros, time: f64, share: f64) -> bool {
        if time <= 1.0 {
            self.window += if self.pressed(share) {
                self.step_up * share
            } else {
                0.0
            };
            return false;
        }
        self.window = self.window.min(USED * self.usual.max(1.0));
        self.window = (self.window - STEP_DOWN * share * self.window.min(1.0)).max(self.least);
        let say = self.window < self.usual && now > self.said_at + SAY_REST;
        self.said_at = if say { now } else { self.said_at };
        say
    }
}

impl Kind {
    fn learn(&mut self, work: f64, told: bool) {
        self.recent += (work - self.recent) / self.seen;
        self.seen = (self.seen + 1.0).min(if told { 500.0 } else { 50.0 });
        // Times seen grow with a jam; taken at their word they would hide it. The lowest mean stands, and
        // gives way slowly.
        self.work = if told {
            self.recent
        } else {
            self.recent.min(self.work * GIVE)
        };
        // The lowest mean is soon one of very few, low by chance, and by as much cold machines would get more than they
        // bear: they are counted by another, without these. Could hurt where a jam is there from the start.
        self.counted += 1.0;
        self.mean += (work - self.mean) / self.counted.min(MANY);
        if told || self.counted >= FEW {
            self.load = if told {
                self.recent
            } else {
                self.mean.min(self.load * GIVE)
            };
        }
    }
}

struct Peer {
    ix: EndpointIndex,
    card: Card,
    /// When it came up: by the list, or as presumed from its silence since.
    since: Micros,
    listed_since: Micros,
    /// When it left the list.
    gone_at: Option<Micros>,
    gate: Gate,
    /// Work let in while cold that time has not worked off yet; none before the first question of a start.
    level: Option<f64>,
    level_at: Micros,
}

impl Peer {
    fn new(ix: EndpointIndex) -> Peer {
        let (card, gate) = (Card::new(), Gate::new(STEP_UP, 0.0));
        Peer {
            ix,
            card,
            gate,
            gone_at: None,
            since: 0,
            listed_since: 0,
            level: None,
            level_at: 0,
        }
    }

    fn read(&mut self, note: Note, room: &mut Room<Note>) {
        let (now, id) = (room.now, self.card.stable);
        match note {
            Note::Listed(entry) => self.listed(entry, room),
            Note::Unlisted => {
                self.card.open = false;
                self.gone_at = self.gone_at.or(Some(now));
            }
            // Bounds what machines long replaced take up. One that still owes an outcome stays.
            Note::Sweep => {
                if self.gate.out < DUST && self.gone_at.is_some_and(|at| at + GONE_LIFE < now) {
                    *self = Peer::new(self.ix);
                    room.out.push(Action::ReleaseEndpoint { endpoint: self.ix });
                }
            }
            Note::Lend(bid) => {
                // What a parent has no place for goes to the next in the hash order: an object that all walk
                // at once fills its two parents' links while the others' stand idle. Could hurt where all
                // parents are slow alike: each more that is tried is one more fetch at the origin.
                let full = self.card.role == Role::Parent && self.gate.full(now, bid.ease);
                if full || !self.admits(room, bid.fill_work, bid.fill_norm) {
                    return room.tell_desk(Note::Turned(bid, self.ix));
                }
                self.card.tried_at = now;
                room.tell(bid.cache, Note::Carry(bid));
            }
            Note::Carry(bid) => return self.carry(bid, room),
            Note::Done {
                verdict,
                lost,
                heard,
                time,
                pace,
                work,
            } => {
                if heard {
                    // Back after a long silence it may have started anew, unlisted yet: cold as well.
                    if self.card.owed >= OWED && now > self.card.owed_since + LONG_SILENT {
                        (self.since, self.level, self.level_at) = (now, None, now);
                    }
                    (self.card.owed, self.card.lost) = (0, 0);
                }
                self.gate.leave(now, 1.0);
                if time.is_some_and(|time| self.gate.judge(now, time, 1.0)) {
                    room.out.push(Action::Log(LogEvent::EndpointLimitCut {
                        stable_id: id,
                        limit: self.gate.window,
                    }));
                }
                self.judged(now, verdict);
                // Guards against pushing over what restarts before the list tells: a machine that nothing
                // reaches is held to be as cold as if it came up this moment.
                self.card.lost += u32::from(lost);
                if lost && self.card.lost >= LOST {
                    if now > self.since + SAY_REST {
                        room.out
                            .push(Action::Log(LogEvent::EndpointUnreachable { stable_id: id }));
                    }
                    self.since = now;
                    if self.card.lost == LOST {
                        (self.level, self.level_at) = (None, now);
                    }
                }
                if let Some(pace) = pace {
                    self.card.pace.add(now, pace, SMOOTHING);
                }
                self.card.carried.add(now, work, DRIFT);
            }
            Note::Lent(share) => return self.gate.enter(now, share),
            Note::Returned { share, time } => {
                self.gate.leave(now, share);
                if time.is_some_and(|time| self.gate.judge(now, time, share)) {
                    let window = self.gate.window;
                    room.out.push(Action::Log(LogEvent::ParentLimitCut {
                        stable_id: id,
                        limit: window,
                    }));
                }
            }
            Note::Gave {
                verdict,
                first_byte,
                took,
                work,
            } => {
                self.judged(now, verdict);
                let card = &mut self.card;
                for (time, figure) in [
                    (first_byte, &mut card.first_byte),
                    (took, &mut card.latency),
                ] {
                    if let Some(time) = time {
                        figure.add(now, time as f64, SOURCE_SMOOTHING);
                    }
                }
                self.card.carried.add(now, work, DRIFT);
            }
            // Guards a front that starts against paying again for what others know; its own sight overrules it soon.
            Note::Thought(failing, first_byte) if self.card.tried_at == 0 => {
                self.card.failing = Smooth::at(failing.clamp(0.0, 1.0));
                if let Some(time) = first_byte {
                    self.card.first_byte.add(now, time as f64, 1.0);
                }
            }
            Note::Thought(..) => return,
            Note::Posted(..) | Note::Sent(_) | Note::Turned(..) | Note::Crowded(_) => return,
        }
        self.post(room);
    }

    fn post(&mut self, room: &mut Room<Note>) {
        self.card.pressed = self.gate.pressed(1.0);
        room.tell_desk(Note::Posted(self.ix, self.card));
    }

    fn judged(&mut self, now: Micros, verdict: Verdict) {
        let card = &mut self.card;
        for (failed, share) in [
            (verdict.sure, &mut card.failing),
            (verdict.doubt, &mut card.doubt),
        ] {
            if let Some(failed) = failed {
                share.add(now, f64::from(failed), SMOOTHING / 2.0);
            }
        }
        if verdict.sure == Some(true) || verdict.doubt == Some(true) {
            card.streak = 0;
        } else if verdict.sure.is_some() {
            card.streak = (card.streak + 1).min(STREAK);
        }
    }

    fn listed(&mut self, entry: EndpointEntry, room: &Room<Note>) {
        let machine = f64::from(entry.machine_kind);
        let card = &mut self.card;
        card.role = if machine == room.rules.num("specifics.origin_kind", -1.0) {
            Role::Origin
        } else if machine == room.rules.num("specifics.second_tier_kind", -1.0) {
            Role::Parent
        } else if f64::from(entry.zone) == room.rules.num("locality", 0.0) {
            Role::Cache
        } else {
            Role::Foreign
        };
        if entry.started_at != self.listed_since {
            // What was seen of the process before says nothing of the new one.
            *card = Card {
                failing: Smooth::at(0.0),
                doubt: Smooth::at(0.0),
                pace: Smooth::at(1.0),
                ..*card
            };
            (self.since, self.listed_since) = (entry.started_at, entry.started_at);
            (self.level, self.level_at) = (None, room.now);
        }
        card.stable = entry.stable_id;
        card.zone = usize::from(entry.zone);
        card.weight = if room.rules.text("weight_kind") == "off" {
            1.0
        } else {
            entry.weight.max(0.01)
        };
        card.open = entry.status == EndpointStatus::Ready;
        self.gone_at = if entry.status == EndpointStatus::Removed {
            self.gone_at.or(Some(room.now))
        } else {
            None
        };
    }

    /// The only place from which sends go out. Guards rules 3 and 4 for the cache; [`Note::Lend`] has done
    /// so for the source.
    fn carry(&mut self, bid: Bid, room: &mut Room<Note>) {
        if self.gate.full(room.now, bid.ease) {
            return room.tell_desk(Note::Crowded(bid));
        }
        if !self.admits(room, bid.work, bid.norm) {
            return room.tell_desk(Note::Turned(bid, self.ix));
        }
        self.gate.enter(room.now, 1.0);
        self.card.tried_at = room.now;
        if self.card.owed == 0 {
            self.card.owed_since = room.now;
        }
        self.card.owed += 1;
        self.post(room);
        room.out.push(Action::StartAttempt {
            id: bid.lk,
            endpoint: self.ix,
            timeout: bid.timeout,
            fill: Some(bid.fill),
        });
        room.tell_desk(Note::Sent(bid));
    }

    /// Rules 3 and 4: nothing for what drains or is gone, and for a cold machine no more than this front's
    /// share of what it bears on the slowest ramp. The share of a front is what it brings to the others of
    /// the tier anyway, or its part of the machine's told size (one transfer where none is told): fronts
    /// that bring little take little, so all together stay under the limit without a word between them.
    fn admits(&mut self, room: &mut Room<Note>, work: f64, norm: f64) -> bool {
        let rules = &room.rules;
        if !self.card.open {
            return false;
        }
        let (from, warm, factor, fronts) = match self.card.role {
            Role::Cache | Role::Foreign => {
                let fronts = rules.item_num("specifics.zone_balancers", self.card.zone);
                (
                    "guarantees.cold_from",
                    "guarantees.warm_after_s",
                    "guarantees.overload_factor",
                    fronts,
                )
            }
            Role::Parent => {
                let names = ("specifics.upper_cold_from", "specifics.parent_warms_in_s");
                (
                    names.0,
                    names.1,
                    "specifics.parent_fall_multiple",
                    rules.num("balancers", 1.0),
                )
            }
            Role::Origin => return true,
        };
        let (from, warm, factor) = (
            rules.num(from, 0.05),
            rules.span(warm, 30.0),
            rules.num(factor, 2.0),
        );
        let up = (room.now - self.since).max(0);
        if self.since <= 0 || up >= warm {
            return true;
        }
        let share = from + (1.0 - from) * up as f64 / warm as f64;
        let part = self.card.weight * SEC as f64 / fronts.max(1.0);
        let norm = if rules.text("weight_kind") == "off" {
            norm.max(part)
        } else {
            part
        };
        let rate = factor * share * norm * COLD_USE / SEC as f64;
        let window = rate * rules.span("guarantees.overload_for_s", 1.0) as f64;
        // What may go out at once is one call at least: where a front's part is less, it waits the longer. All
        // start at a moment of their own, so that the calls of many fronts, and of such as start anew themselves, come
        // one by one: in a window their sum is this rate's share of the budget, and spreads less than by chance.
        let most = work.max(window * COLD_BURST);
        let level = self.level.unwrap_or_else(|| room.draw() * most)
            - rate * (room.now - self.level_at) as f64;
        let level = level.max(0.0);
        let fits = level + work <= most;
        self.level = Some(if fits { level + work } else { level });
        self.level_at = room.now;
        fits
    }
}

/// The lookups, and all that the instance remembers of objects and purges.
struct Desk {
    cards: Vec<Card>,
    kinds: Vec<Kind>,
    lookups: BTreeMap<u32, Held>,
    extra: f64,
    lengths: Memory<u64, u32>,
    asked: Memory<(u64, u32), bool>,
    purged: Memory<(Option<u64>, u32), Micros>,
    /// A purge was ever heard of; and since when more of them may have been kept back.
    purges: bool,
    behind: Option<Micros>,
    copies: CopyBound,
    /// The latest of the purges that were forgotten for want of room.
    dropped: Memory<(), Micros>,
    /// Share of sends that a source had to fill.
    filled: Smooth,
    /// Fills held to be out.
    fills: Gate,
    /// Those of them that the origin is held to have to answer.
    fetches: Gate,
    /// How full the location's link is reported to be, and where in a report that stands, if it is told.
    link: Smooth,
    link_at: Option<usize>,
}

impl Desk {
    fn read(&mut self, note: Note, room: &mut Room<Note>) {
        match note {
            Note::Posted(ix, card) => {
                while self.cards.len() <= ix {
                    self.cards.push(Card::new());
                }
                self.cards[ix] = card;
            }
            Note::Sent(bid) => self.sent(bid, room),
            // Another cache would only have to fill it: a jam is not passed on, but for what drags alone and
            // will not bear its part again for long.
            Note::Crowded(bid) if !self.passes_on(&bid, room) => self.give_up(bid.lk, room),
            Note::Turned(bid, by) | Note::Crowded(bid @ Bid { cache: by, .. }) => {
                if let Some(held) = self.lookups.get_mut(&bid.lk) {
                    held.turned.push(by);
                    self.plan(bid.lk, room);
                }
            }
            _ => {}
        }
    }

    fn asked(&mut self, mut lk: Request, room: &mut Room<Note>) {
        // The last is for kinds that the settings do not name, and takes nothing for granted.
        lk.class = lk.class.min(self.kinds.len() - 1);
        let (keep, again) = self.rank(&lk, room);
        if lk.size_kb > 0.0 {
            let work = self.own_work(&lk, room);
            self.kinds[lk.class].learn(work, true);
        }
        let held = Held {
            keep,
            again,
            asked_at: room.now,
            ..Held::new(lk)
        };
        self.lookups.insert(lk.id, held);
        self.extra = (self.extra + EXTRA_EARNED).min(EXTRA_SAVED);
        self.plan(lk.id, room);
    }

    /// The design's tail cut: 0 for what passes through unkept, else the rank.
    fn rank(&mut self, lk: &Request, room: &Room<Note>) -> (u8, bool) {
        let (now, rules) = (room.now, &room.rules);
        let seen = self.lengths.get(now, lk.object).unwrap_or(0);
        let highest = seen.max(lk.part);
        self.lengths.put(now, lk.object, highest);
        let again = self.asked.get(now, (lk.object, lk.part)).is_some();
        self.asked.put(now, (lk.object, lk.part), again);
        let tail = f64::from(lk.part) >= NU * f64::from(highest + 1);
        // Against herds too: each next part of a new object is the highest yet, and each front would pass it.
        let just =
            |back| self.asked.get(now, (lk.object, lk.part.wrapping_sub(back))) == Some(true);
        let fronts = || {
            rules.item_num(
                "specifics.zone_balancers",
                rules.num("locality", 0.0) as usize,
            )
        };
        let led =
            tail && lk.part > seen && (1..=WALK).any(just) && !rules.is("specifics.shares_fills");
        let led = led && fronts() >= f64::from(WALK);
        (if tail && !again && !led { 0 } else { RANK }, again)
    }

    /// What a lookup takes at a client's full pace: by its size, or by its kind's mean where none is told.
    fn own_work(&self, lk: &Request, room: &Room<Note>) -> f64 {
        let flow = room.rules.num("specifics.flow_kb_per_s", 0.0);
        if lk.size_kb > 0.0 && flow > 0.0 {
            return lk.size_kb / flow * SEC as f64;
        }
        self.kinds[lk.class].work
    }

    /// The latest purge of the object or its group, while old copies may lie about.
    fn purge(&self, lk: &Request, now: Micros) -> Option<Micros> {
        self.purged
            .get(now, (Some(lk.object), 0))
            .max(self.purged.get(now, (None, lk.group)))
    }

    /// Out of touch for longer than news may take, any object may have been purged between then and the last moment
    /// of which news would count as told. Only where there are purges: it costs each hit of an older copy.
    fn kept_back(&self, now: Micros) -> Option<Micros> {
        let untold = self
            .behind
            .filter(|since| self.purges && now > since + TOLD_BY)
            .map(|_| now - TOLD_BY);
        untold
            .max(self.copies.refused_before(now))
            .max(self.dropped.get(now, ()))
    }

    /// What a send that is written now has to have known of.
    fn binding(&self, lk: &Request, now: Micros) -> Option<Micros> {
        self.purge(lk, now)
            .max(self.copies.binds_from())
            .max(self.dropped.get(now, ()))
    }

    /// Rule 5: how old a copy may be, 0 for any that the kind allows.
    fn age(&self, lk: &Request, now: Micros, grace: Micros) -> Micros {
        let kind = &self.kinds[lk.class];
        let most = (kind.fresh > 0).then_some(kind.fresh + grace);
        // 0 would mean the default.
        let since = self
            .purge(lk, now)
            .max(self.kept_back(now))
            .map(|at| (now - at).max(1));
        since.into_iter().chain(most).min().unwrap_or(0)
    }

    fn average(&self, role: Role, figure: impl Fn(&Card) -> Option<f64>) -> Option<f64> {
        let of_role = self.cards.iter().filter(|c| c.role == role && c.open);
        let heard = of_role.filter_map(figure);
        let (sum, count) = heard.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }

    /// Not reached, or owing answers for so long that it may well be gone.
    fn silent(card: &Card, now: Micros) -> bool {
        card.lost >= LOST || (card.owed >= OWED && now > card.owed_since + SILENT)
    }

    /// Fails now and then, if at all.
    fn partly(&self, ix: EndpointIndex, now: Micros) -> bool {
        !Desk::silent(&self.cards[ix], now) && self.cards[ix].failing(now, DRIFT) < FAILING_MOST
    }

    /// Leaves some unanswered while what it does answer comes at the usual pace: no jam.
    fn hangs(&self, ix: EndpointIndex, now: Micros) -> bool {
        let card = &self.cards[ix];
        let some = card.doubt.drifted(now, 0.0, DRIFT) > FAILING / 4.0;
        some && card.pace.drifted(now, 1.0, DRIFT) < QUICK && self.partly(ix, now)
    }

    /// Passed by: fails or owes answers, whatever the cause, and is not on trial just now. A slow cache is
    /// not: its gate takes as much as it can do in time, and elsewhere the lookup would only be a miss.
    fn shunned(&self, ix: EndpointIndex, room: &Room<Note>) -> bool {
        let card = &self.cards[ix];
        // A peer that is well again is back after a few good answers, whatever it was before. Who hardly
        // fails stands out nowhere, so its like are not looked through for it: lists are long.
        let stands_out =
            || card.failing(room.now, DRIFT) > FAILING && self.stands_out(ix, room) > FAILING;
        room.now < card.tried_at + (TRIAL_REST >> card.streak)
            && (Desk::silent(card, room.now) || stands_out())
    }

    /// How much more it fails than its like. Failures that all share come from elsewhere, and with most of a
    /// location passed by the rest would be run over.
    fn stands_out(&self, ix: EndpointIndex, room: &Room<Note>) -> f64 {
        let rate = |c: &Card| c.failing(room.now, DRIFT);
        let others = self.cards.iter().enumerate();
        let others = others.filter(|(i, c)| *i != ix && c.role == self.cards[ix].role && c.open);
        let (sum, count) = others.fold((0.0, 0.0), |(sum, count), (_, c)| {
            (sum + rate(c), count + 1.0)
        });
        rate(&self.cards[ix]) - sum / f64::max(count, 1.0)
    }

    /// Whether another cache may take what this one has no place for: it is slower than its like at what it
    /// holds itself, so it is not a jam that all of the location share, and the next one has room.
    fn passes_on(&self, bid: &Bid, room: &Room<Note>) -> bool {
        let pace = |c: &Card| c.pace.drifted(room.now, 1.0, DRIFT);
        let like = self
            .cards
            .iter()
            .filter(|c| c.role == Role::Cache && c.open);
        let drags =
            pace(&self.cards[bid.cache]) > DRAGS * like.map(pace).fold(f64::INFINITY, f64::min);
        drags
            && self.lookups.get(&bid.lk).is_some_and(|held| {
                let all = self.order(held, Role::Cache, u64::from(held.lk.part));
                let next = all
                    .into_iter()
                    .find(|ix| *ix != bid.cache && !self.shunned(*ix, room));
                next.is_some_and(|ix| !self.cards[ix].pressed)
            })
    }

    /// Peers of a role that the lookup may still try, best first by the hash.
    fn order(&self, held: &Held, role: Role, part: u64) -> Peers {
        let spent = |ix: EndpointIndex| {
            held.turned.contains(&ix)
                || held.sends.iter().any(|s| {
                    (s.peer == ix && (s.out || s.cache_failed))
                        || (s.source == Some(ix) && s.source_failed)
                })
        };
        let fits = |ix: &EndpointIndex| {
            self.cards[*ix].role == role && self.cards[*ix].open && !spent(*ix)
        };
        let all = (0..self.cards.len()).filter(fits);
        let score = |ix: EndpointIndex| {
            let weight = if role == Role::Cache {
                self.cards[ix].weight
            } else {
                1.0
            };
            draw(self.cards[ix].stable, weight, held.lk.object, part)
        };
        let mut all: SmallVec<[(f64, EndpointIndex); 16]> = all.map(|ix| (score(ix), ix)).collect();
        all.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        all.into_iter().map(|(_, ix)| ix).collect()
    }

    /// The design's companion: of two parents by the object's hash the one with the lower figure.
    fn source(
        &self,
        held: &Held,
        origin: Option<EndpointIndex>,
        room: &Room<Note>,
    ) -> Option<EndpointIndex> {
        let all = self.order(held, Role::Parent, 0);
        let up: Peers = all
            .iter()
            .copied()
            .filter(|ix| !self.shunned(*ix, room))
            .take(2)
            .collect();
        let bytes = up
            .iter()
            .all(|ix| self.cards[*ix].first_byte.value.is_some());
        let figure = |c: &Card| if bytes { c.first_byte } else { c.latency };
        let average = self
            .average(Role::Parent, |c| figure(c).value)
            .unwrap_or(0.0);
        let seen = |ix: &EndpointIndex| figure(&self.cards[*ix]).drifted(room.now, average, DRIFT);
        up.iter()
            .copied()
            .min_by(|a, b| seen(a).total_cmp(&seen(b)))
            .or(origin)
            .or(all.first().copied())
    }

    /// Chooses cache and source for the next send of a lookup, or gives it up.
    fn plan(&mut self, id: u32, room: &mut Room<Note>) {
        let Some(held) = self.lookups.get(&id).filter(|h| !h.ended && !h.began) else {
            return;
        };
        let (lk, now) = (held.lk, room.now);
        let left = lk.deadline - now;
        let cap = room.rules.num("limits.send_cap", 4.0) as usize;
        if left <= 0 || held.half_closed || held.sends.len() >= cap || !self.may_send(held, room) {
            return self.give_up(id, room);
        }
        let direct = room.rules.is("specifics.pass_through_ok");
        let uncacheable = self.kinds[lk.class].uncacheable;
        let origin = self.order(held, Role::Origin, 0).first().copied();
        let straight = origin.filter(|_| uncacheable);
        let source = straight.or_else(|| self.source(held, origin, room));
        let caches = self.order(held, Role::Cache, u64::from(lk.part));
        let sound = caches.iter().copied().find(|ix| !self.shunned(*ix, room));
        // Most is a hit at what fails in part, and with half of a location passed by the rest is run over.
        let home = caches.first().copied().filter(|ix| self.partly(*ix, now));
        let sound = sound.map(|ix| home.filter(|_| self.cards[ix].pressed).unwrap_or(ix));
        let cache = match sound {
            Some(cache) if !(uncacheable && direct) => Some(cache),
            // Past the caches only where none is sound, or none would keep it anyway.
            _ if direct => source,
            _ => caches.first().copied(),
        };
        let Some(cache) = cache else {
            return self.give_up(id, room);
        };
        let kind = &self.kinds[lk.class];
        let grace = kind.grace;
        // A parent that names itself would fetch nothing.
        let behind = if self.cards[cache].role == Role::Parent {
            origin
        } else {
            source
        };
        let mut fill = Fill {
            source: behind.unwrap_or(cache),
            retention: if uncacheable { 0 } else { held.keep },
            max_age: self.age(&lk, now, 0),
            join: room.rules.is("specifics.shares_fills") && !uncacheable,
            revalidate: kind.fresh > 0,
            cached_only: false,
        };
        // Against a jam of fills: while many are out, the cache is first asked for what it holds, then the
        // parent, and only what is missing there waits for a place among the fetches behind. So a slow origin
        // shuts off neither hits nor parents. What is past its fresh time is better than nothing then.
        let missed = |ask: Ask| {
            held.sends
                .iter()
                .any(|s| s.peer == cache && !s.out && !s.waited && s.ask == ask)
        };
        let usual = self.filled.drifted(now, FILLED, DRIFT);
        let lacking = missed(Ask::Held) || self.cards[fill.source].role == Role::Origin;
        // What the origin runs only passes through, however long that takes.
        // In a lasting jam the rest would fill the windows and the largest never get in: those that are owed go in with
        // the first, but count as usual ones before a link that all share. Could hurt where those alone are the jam.
        let owed = self
            .large(&lk, room)
            .is_some_and(|at| kind.kept_back[at] > 0.0);
        let own = if uncacheable {
            EASY
        } else {
            self.ease(&lk, room)
        };
        let ease = if owed { EASY } else { own };
        // A fetch costs the origin much the same whatever the size.
        let fetches_full = self.fetches.full(now, ease.sqrt());
        // The link is shared with fronts that are not seen; reports tell of it before anything comes late.
        let link = self.link.drifted(now, 0.0, LINK_FADES) / LINK_BEARS;
        let fills_full = self.fills.full(now, ease)
            || room.draw() * link > if owed { own.max(1.0) } else { own };
        let ask = if uncacheable {
            Ask::Plain
        } else if self.cards[cache].role != Role::Cache {
            let parent = self.cards[cache].role == Role::Parent;
            if !fills_full && parent && !missed(Ask::Held) && self.fetches.pressed(1.0) {
                // Named as its own source, a parent gives what it holds and fetches nothing.
                fill.source = cache;
                Ask::Held
            } else if fills_full || fetches_full {
                return self.give_up(id, room);
            } else {
                Ask::Fetch
            }
        } else if !missed(Ask::Look) {
            let pressed = self.fills.pressed(usual) || self.fetches.pressed(usual) || link > 1.0;
            if pressed || (held.again && !fill.join) {
                Ask::Look
            } else {
                Ask::Plain
            }
        } else if fills_full || (lacking && fetches_full) {
            if grace == 0 || missed(Ask::Stale) {
                return self.give_up(id, room);
            }
            Ask::Stale
        } else if self.fetches.pressed(1.0) && !lacking {
            Ask::Held
        } else {
            Ask::Fetch
        };
        if matches!(ask, Ask::Look | Ask::Stale) {
            let grace = if ask == Ask::Stale { grace } else { 0 };
            (fill.source, fill.max_age) = (cache, self.age(&lk, now, grace));
        }
        fill.cached_only = ask == Ask::Held;
        let (share, fetch) = match ask {
            Ask::Look | Ask::Stale => (0.0, 0.0),
            // Not judged by the gates, so without a place: it would keep them shut while the origin is down.
            _ if uncacheable => (0.0, 0.0),
            Ask::Plain => (usual, usual),
            Ask::Held => (1.0, 0.0),
            Ask::Fetch => (1.0, 1.0),
        };
        // What may still come in time is asked for again, the next wait is longer, lest large ones starve.
        let part = PATIENCE * (held.sends.len() + 1) as f64 * self.budget(&lk, kind.work);
        let last = held.sends.len() + 1 >= cap || kind.repeat == Repeat::SideEffecting;
        let wait = if last || self.cards[cache].owed < OWED {
            left
        } else {
            left * 6 / 10
        };
        let hangs = !last && self.hangs(cache, now);
        let norm = |role| {
            self.average(role, |c| Some(c.carried.value(now, DRIFT)))
                .unwrap_or(0.0)
        };
        let bid = Bid {
            lk: id,
            cache,
            fill,
            ask,
            share,
            fetch,
            ease,
            timeout: if hangs {
                wait.min(part as Micros)
            } else {
                wait
            },
            work: kind.load,
            // All of it: emptied caches push a cold parent over before a share of misses seen has moved.
            fill_work: if lk.size_kb > 0.0 {
                self.own_work(&lk, room)
            } else {
                kind.load
            },
            norm: norm(self.cards[cache].role),
            fill_norm: norm(Role::Parent),
            purged: self.binding(&lk, now),
        };
        if fill.source == cache {
            room.tell(cache, Note::Carry(bid));
        } else {
            room.tell(fill.source, Note::Lend(bid));
        }
    }

    /// Rule 2, and never two sends at once.
    fn may_send(&self, held: &Held, room: &Room<Note>) -> bool {
        !held.sends.iter().any(|s| s.out) && self.may_repeat(held, held.sends.len(), room)
    }

    /// Whether another send may go out beside the first so many.
    fn may_repeat(&self, held: &Held, sends: usize, room: &Room<Note>) -> bool {
        let Some(first) = held.sends[..sends].iter().find(|s| s.may_have_run) else {
            return true;
        };
        let kind = &self.kinds[held.lk.class];
        match kind.repeat {
            Repeat::Idempotent => true,
            // Nearer groups than all would need a cache of the same group; the front does without.
            Repeat::Deduplicated => kind.group == "all" && room.now < first.at + kind.window,
            Repeat::SideEffecting => false,
        }
    }

    /// A send may be written now that its connection is up. That took its time: against a drain, a purge, the end of a
    /// window or of the client's wish told meanwhile, it is judged as if it were decided now, and called back where it
    /// would break a rule; what is not written never ran. Could hurt where purges are so many that no send is written
    /// in time; each that is called back counts towards the cap.
    fn connected(&mut self, id: u32, send: u8, room: &mut Room<Note>) {
        let Some(held) = self.lookups.get(&id) else {
            return;
        };
        let Some(sent) = held.sends.get(usize::from(send)).filter(|s| s.out) else {
            return;
        };
        let open = |ix: EndpointIndex| self.cards[ix].open;
        let good = !(held.ended || held.half_closed)
            && open(sent.peer)
            && sent.source.is_none_or(open)
            && self.binding(&held.lk, room.now) <= sent.purged
            && self.may_repeat(held, usize::from(send), room);
        room.out.push(if good {
            Action::WriteAttempt { id, attempt: send }
        } else {
            Action::CancelAttempt { id, attempt: send }
        });
        let held = self.lookups.get_mut(&id).into_iter();
        held.for_each(|held| held.sends[usize::from(send)].recalled = !good);
    }

    /// The client has ended its side: what is out may still find it listening, and what is not never goes out.
    fn half_closed(&mut self, id: u32, room: &mut Room<Note>) {
        let Some(held) = self.lookups.get_mut(&id) else {
            return;
        };
        held.half_closed = true;
        if held.sends.iter().all(|s| !s.out) {
            self.give_up(id, room);
        }
    }

    fn sent(&mut self, bid: Bid, room: &mut Room<Note>) {
        let Some(held) = self.lookups.get_mut(&bid.lk) else {
            return;
        };
        held.sends.push(Sent::new(&bid, room.now));
        if self.cards[bid.fill.source].role == Role::Parent && bid.fill.source != bid.cache {
            room.tell(bid.fill.source, Note::Lent(bid.share));
        }
        self.fills.enter(room.now, bid.share);
        self.fetches.enter(room.now, bid.fetch);
    }

    /// Ends a lookup: calls back what is still out of it, and forgets it once nothing is.
    fn close(&mut self, id: u32, room: &mut Room<Note>) {
        let Some(held) = self.lookups.get_mut(&id) else {
            return;
        };
        held.ended = true;
        let out = (0u8..).zip(&held.sends).filter(|(_, s)| s.out);
        if room.rules.is("limits.cancel") && !held.began {
            room.out.extend(
                out.clone()
                    .map(|(send, _)| Action::CancelAttempt { id, attempt: send }),
            );
        }
        if out.count() == 0 {
            self.lookups.remove(&id);
        }
    }

    /// The only place from which the front answers. At once, whatever time is left: the client does better
    /// elsewhere or later.
    fn give_up(&mut self, id: u32, room: &mut Room<Note>) {
        let Some(held) = self.lookups.get(&id).filter(|h| !h.ended) else {
            return;
        };
        let ran = held.sends.iter().any(|s| s.may_have_run);
        let kind = &self.kinds[held.lk.class];
        let all = kind.repeat == Repeat::Deduplicated && kind.group == "all";
        let harmless = !ran || kind.repeat == Repeat::Idempotent || all;
        let most = room.rules.span("limits.max_retry_after_s", 0.0);
        // Spread, lest all that a jam turned down come back together.
        let wait = SEC / 100 + (room.draw() * SEC as f64 / 2.0) as Micros;
        let retry_after = if room.rules.is("limits.retry_after") {
            most.min(wait)
        } else {
            0
        };
        let lk = held.lk;
        room.out.push(if harmless {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.counted(&lk, false, room);
        self.close(id, room);
    }

    fn ended(&mut self, o: AttemptEnd, room: &mut Room<Note>) {
        let hung = o.outcome == AttemptOutcome::TimedOut
            && o.attempt == 0
            && self.hangs(o.endpoint, room.now);
        let Some(held) = self.lookups.get_mut(&o.id) else {
            return;
        };
        let (lk, ended) = (held.lk, held.ended);
        let Some(send) = held.sends.get_mut(usize::from(o.attempt)).filter(|s| s.out) else {
            return;
        };
        send.out = false;
        send.may_have_run = o.outcome.may_have_run();
        let upstream = matches!(
            o.cache_status,
            CacheStatus::SourceRejected
                | CacheStatus::SourceUnreachable
                | CacheStatus::OriginFailed
        );
        let told = room.rules.text("specifics.says") == "all";
        // Who is at fault: the cache, the source, or either where nothing tells.
        let (at_cache, at_source, unclear) = match o.outcome {
            _ if upstream => (false, o.cache_status != CacheStatus::OriginFailed, false),
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset => (true, false, false),
            AttemptOutcome::Rejected if o.cache_status == CacheStatus::FillLimitReached => {
                (false, false, false)
            }
            AttemptOutcome::Error | AttemptOutcome::Rejected if told || send.source.is_none() => {
                (true, false, false)
            }
            AttemptOutcome::Error | AttemptOutcome::Rejected | AttemptOutcome::TimedOut => {
                (false, false, true)
            }
            _ => (false, false, false),
        };
        if self.cards[o.endpoint].role == Role::Cache {
            if let Some(link) = self.link_at.and_then(|at| o.load_report.get(at)) {
                self.link.add(room.now, *link, SMOOTHING);
            }
        }
        let satisfied = o.outcome == AttemptOutcome::Success;
        let verdict = |at: bool| Verdict {
            sure: (at || satisfied).then_some(at),
            doubt: (unclear || satisfied).then_some(unclear),
        };
        // In doubt the one that stands out is left alone next time, and the other tried again.
        let doubt = |ix: EndpointIndex| self.cards[ix].doubt.drifted(room.now, 0.0, DRIFT);
        let source_worse = send.source.is_some_and(|s| doubt(s) > doubt(o.endpoint));
        let recalled = send.recalled && o.outcome == AttemptOutcome::Superseded;
        send.waited = hung || recalled;
        send.cache_failed = !(satisfied || upstream || send.waited || (unclear && source_worse));
        send.source_failed =
            at_source || (unclear && source_worse) || o.outcome == AttemptOutcome::Miss;
        let (at, source_ix, share, fetch, ask) =
            (send.at, send.source, send.fill, send.fetch, send.ask);
        let look = matches!(ask, Ask::Look | Ask::Stale);
        // A miss that was asked for is no failure: it only tells where to ask next.
        let told_so = (look || ask == Ask::Held) && o.outcome == AttemptOutcome::Miss;
        send.cache_failed &= !told_so;
        send.source_failed &= !told_so;
        self.fills.leave(room.now, share);
        self.fetches.leave(room.now, fetch);
        // What is known to come from the cache itself: elsewhere fills are mixed in.
        let held =
            matches!(o.cache_status, CacheStatus::Hit | CacheStatus::Stale) || (look && satisfied);
        let filled = matches!(
            o.cache_status,
            CacheStatus::FilledFromParent | CacheStatus::FilledFromOrigin
        );
        let own = self.own_work(&lk, room);
        let uncacheable = self.kinds[lk.class].uncacheable;
        if o.size_kb > 0.0 && lk.size_kb <= 0.0 && !uncacheable {
            let work = self.own_work(
                &Request {
                    size_kb: o.size_kb,
                    ..lk
                },
                room,
            );
            self.kinds[lk.class].learn(work, true);
        } else if satisfied && lk.size_kb <= 0.0 && (held || !told || uncacheable) {
            self.kinds[lk.class].learn(o.elapsed as f64, false);
        }
        // A cache that drags what it holds itself says nothing of the fills.
        let drag = self.cards[o.endpoint]
            .pace
            .drifted(room.now, 1.0, DRIFT)
            .max(1.0);
        // Nor does a source that cannot be reached: it is passed by, links and other sources have room. Taken
        // for a jam, it shut the fills of all fronts at once. Could hurt where a jam shows as nothing else.
        let elsewhere = matches!(
            o.cache_status,
            CacheStatus::SourceUnreachable | CacheStatus::SourceRejected
        );
        let fills = share > 0.0 && !held && !uncacheable && !elsewhere;
        if let Some(time) = self.time(&lk, &o, own, drag).filter(|_| fills) {
            let late = time > 1.0;
            // Behind the parent or before it: by the notes, by the first byte, or by what was asked.
            let behind = match o.cache_status {
                CacheStatus::FilledFromOrigin | CacheStatus::OriginFailed => true,
                CacheStatus::FilledFromParent
                | CacheStatus::FillLimitReached
                | CacheStatus::SourceRejected
                | CacheStatus::SourceUnreachable => false,
                _ => ask == Ask::Fetch || (ask == Ask::Plain && !(told && satisfied)),
            };
            let at_link = satisfied
                && o.first_byte
                    .is_some_and(|b| b < self.kinds[lk.class].budget / 2);
            let fetches = (&mut self.fetches, true, behind && !(late && at_link), fetch);
            let fills = (&mut self.fills, false, !late || !behind || at_link, share);
            for (gate, is_fetch, concerned, share) in [fetches, fills] {
                if concerned && gate.judge(room.now, time, share) {
                    let limit = gate.window;
                    let cut = if is_fetch {
                        LogEvent::FetchLimitCut { limit }
                    } else {
                        LogEvent::FillLimitCut { limit }
                    };
                    room.out.push(Action::Log(cut));
                }
            }
        }
        if look && matches!(o.outcome, AttemptOutcome::Success | AttemptOutcome::Miss) {
            self.filled.add(room.now, f64::from(!satisfied), SMOOTHING);
        }
        if satisfied && told && !uncacheable && !look {
            self.filled.add(room.now, f64::from(filled), SMOOTHING);
        }
        // Fills wait for others; only what the cache held itself tells of its own pace.
        let own_pace = satisfied && held && !uncacheable;
        let time = self.time(&lk, &o, own, 1.0).filter(|_| own_pace);
        let pace = own_pace.then(|| (o.elapsed as f64 / (own + 0.02 * SEC as f64)).min(20.0));
        // A reset says that somebody is there; a process that has died refuses the next connection.
        let lost = o.outcome == AttemptOutcome::ConnectFailed;
        let heard = matches!(
            o.outcome,
            AttemptOutcome::Success
                | AttemptOutcome::Miss
                | AttemptOutcome::Error
                | AttemptOutcome::Rejected
        );
        let carried = if satisfied {
            self.kinds[lk.class].load
        } else {
            0.0
        };
        room.tell(
            o.endpoint,
            Note::Done {
                verdict: verdict(at_cache && !uncacheable),
                lost,
                heard,
                time,
                pace,
                work: carried,
            },
        );
        if let Some(ix) = source_ix.filter(|ix| self.cards[*ix].role == Role::Parent) {
            let refused = o.outcome == AttemptOutcome::TimedOut
                || o.cache_status == CacheStatus::SourceRejected;
            // What the origin had to fetch says nothing of the parent's own link.
            let own_link = o.cache_status == CacheStatus::FilledFromParent && !uncacheable;
            let passed = || o.elapsed as f64 / self.budget(&lk, own).max(1.0) / drag;
            let time = if refused {
                Some(f64::INFINITY)
            } else {
                own_link.then(passed)
            };
            room.tell(
                ix,
                Note::Returned {
                    share,
                    time: time.filter(|_| share > 0.0),
                },
            );
        }
        if let Some(ix) = source_ix {
            let part = if !told || filled { carried } else { 0.0 };
            // Sizes differ far more than parents do: only what goes beyond the object's own time tells.
            let took = (o.elapsed.max(room.now - at) - own as Micros).max(0);
            if !(told && satisfied && !filled) {
                let timed_out = o.outcome == AttemptOutcome::TimedOut;
                let first_byte = if timed_out { Some(took) } else { o.first_byte };
                // A quick failure is no quick answer.
                let took = (satisfied || timed_out).then_some(took);
                room.tell(
                    ix,
                    Note::Gave {
                        verdict: verdict(at_source),
                        first_byte,
                        took,
                        work: part,
                    },
                );
            }
        }
        let wait = ask == Ask::Look
            && o.outcome == AttemptOutcome::Miss
            && o.cache_status == CacheStatus::JoinedFill;
        if satisfied && !ended {
            self.counted(&lk, true, room);
        }
        if o.finished || ended {
            self.close(o.id, room);
        } else if wait && self.wait(&lk, own, room) {
            // Its ring brings it back.
        } else if told_so || recalled {
            self.plan(o.id, room);
        } else if !self
            .lookups
            .get(&o.id)
            .is_some_and(|h| h.sends.iter().any(|s| s.out))
        {
            self.again(o.id, room);
        }
    }

    /// Which of the two groups of large ones of its kind it is in, if any.
    fn large(&self, lk: &Request, room: &Room<Note>) -> Option<usize> {
        let times = self.own_work(lk, room) / self.kinds[lk.class].work.max(1.0);
        LARGE.iter().position(|least| times > *least)
    }

    /// A lookup has been answered or given up.
    fn counted(&mut self, lk: &Request, answered: bool, room: &Room<Note>) {
        let (large, answered) = (self.large(lk, room), f64::from(u8::from(answered)));
        let kind = &mut self.kinds[lk.class];
        kind.answered.add(room.now, answered, SMOOTHING / 10.0);
        if let Some(at) = large {
            let owed = kind.kept_back[at] + LEAN_MOST * kind.answered.drifted(room.now, 1.0, DRIFT)
                - answered;
            kind.kept_back[at] = owed.clamp(-OWED_MOST, OWED_MOST);
        }
    }

    /// How much more a lookup may be slowed down, within its latency budget, than a usual one of the kind
    /// with the least room. In a jam it is the large ones that would come late, and make others late.
    fn ease(&self, lk: &Request, room: &Room<Note>) -> f64 {
        let slack = |k: &Kind, work: f64| k.stretch + k.budget as f64 / work.max(1.0);
        let cached = self.kinds.iter().rev().skip(1).filter(|k| !k.uncacheable);
        let least = cached
            .map(|k| slack(k, k.work))
            .fold(f64::INFINITY, f64::min);
        let own = slack(&self.kinds[lk.class], self.own_work(lk, room));
        (own / least).clamp(TIGHT, EASY)
    }

    fn budget(&self, lk: &Request, own: f64) -> f64 {
        self.kinds[lk.class].budget as f64 + self.kinds[lk.class].stretch * own
    }

    /// How many times the latency budget, times the drag of its cache, an outcome took.
    fn time(&self, lk: &Request, o: &AttemptEnd, own: f64, drag: f64) -> Option<f64> {
        match o.outcome {
            AttemptOutcome::Success => {
                Some(o.elapsed as f64 / (drag * self.budget(lk, own)).max(1.0))
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Rejected => Some(f64::INFINITY),
            _ => None,
        }
    }

    /// Against herds of fills of hot new objects where fills cannot be joined: what is on its way is asked
    /// for again after a part of its sending time, as long as that leaves the time to send it in time.
    fn wait(&mut self, lk: &Request, own: f64, room: &mut Room<Note>) -> bool {
        let budget = self.budget(lk, own) as Micros;
        let Some(held) = self.lookups.get_mut(&lk.id) else {
            return false;
        };
        let at = room.now + held.sends.len() as Micros * (own as Micros / 4).max(WAIT_LEAST);
        let late = at + own as Micros > lk.deadline.min(held.asked_at + budget);
        held.waiting = !(late || held.half_closed || room.rules.is("specifics.shares_fills"));
        if held.waiting {
            held.sends.iter_mut().for_each(|s| s.waited = true);
            room.out.push(Action::SetTimer { at, timer: lk.id });
        }
        held.waiting
    }

    /// Extra sends are earned by first ones, so that retries cannot feed an overload. None is spent on what
    /// only the origin can do while the origin itself fails: eight sends each would hold it down.
    fn again(&mut self, id: u32, room: &mut Room<Note>) {
        let passes = self
            .lookups
            .get(&id)
            .is_some_and(|h| self.kinds[h.lk.class].uncacheable);
        let mut origins = (0..self.cards.len()).filter(|ix| self.cards[*ix].role == Role::Origin);
        let in_vain = passes && origins.any(|ix| self.cards[ix].open && self.shunned(ix, room));
        if self.extra < 1.0 || in_vain {
            return self.give_up(id, room);
        }
        self.extra -= 1.0;
        self.plan(id, room);
    }
}

/// One instance of the decisions.
pub struct Router {
    desk: Desk,
    peers: Vec<Peer>,
    room: Room<Note>,
}

impl Router {
    pub fn new(seed: u64, settings: Settings, now: Micros, out: &mut Vec<Action>) -> Router {
        let rules = Rules::new(settings);
        if rules.text("registry_mode") == "on_request" {
            out.push(Action::PollDiscovery);
        }
        let least = FETCHES_LEAST / rules.num("balancers", 1.0).max(1.0);
        let mut fields = rules.text("feedback.fields").split(',');
        let on_links = rules
            .text("specifics.report_x1")
            .contains("location's_link");
        let desk = Desk {
            cards: Vec::new(),
            kinds: (0..=rules.num("classes.count", 0.0) as usize)
                .map(|k| Kind::read(&rules, k))
                .collect(),
            lookups: BTreeMap::new(),
            extra: EXTRA_SAVED,
            lengths: Memory::new(LENGTH_LIFE, MEMORY),
            asked: Memory::new(REPEAT_WINDOW, MEMORY),
            // A second more than told: a fill that began before may still bring an old copy.
            purged: Memory::new(rules.span("specifics.purge_settles_s", 10.0) + SEC, MEMORY),
            purges: false,
            behind: None,
            copies: CopyBound::default(),
            dropped: Memory::new(rules.span("specifics.purge_settles_s", 10.0) + SEC, 1),
            filled: Smooth::at(FILLED),
            fills: Gate::new(STEP_UP_FILLS, 0.0),
            fetches: Gate::new(STEP_UP_FETCHES, least),
            link: Smooth::at(0.0),
            link_at: fields.position(|f| f == "x1").filter(|_| on_links),
        };
        Router {
            desk,
            peers: Vec::new(),
            room: Room::new(now, rules.all, seed),
        }
    }

    pub fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let (desk, room) = (&mut self.desk, &mut self.room);
        room.now = now;
        match event {
            Event::EndpointsUpdated(listing) => self.listed(listing),
            Event::RequestArrived(lk) => desk.asked(lk, room),
            Event::ResponseStarted { id } => desk
                .lookups
                .get_mut(&id)
                .into_iter()
                .for_each(|held| held.began = true),
            Event::AttemptEnded(outcome) => desk.ended(outcome, room),
            Event::ClientLeft { id } => desk.close(id, room),
            Event::ClientHalfClosed { id } => desk.half_closed(id, room),
            Event::AttemptConnected { id, attempt } => desk.connected(id, attempt, room),
            Event::TimerFired { timer: token } => {
                match desk
                    .lookups
                    .get_mut(&token)
                    .map(|h| std::mem::take(&mut h.waiting))
                {
                    Some(true) => desk.plan(token, room),
                    _ => room.out.push(Action::PollDiscovery),
                }
            }
            Event::Invalidated {
                object,
                group,
                age: ago,
            } => {
                let name = (object, if object.is_some() { 0 } else { group });
                let last = desk.purged.get(now, name).unwrap_or(Micros::MIN);
                let dropped = desk.purged.put(now, name, last.max(now - ago));
                if let Some(stamp) =
                    dropped.max(desk.dropped.get(now, ()).filter(|_| dropped.is_some()))
                {
                    desk.dropped.put(now, (), stamp);
                }
                desk.purges = true;
            }
            Event::DiscoveryLag { since } => desk.behind = since,
            Event::FreshnessBound {
                not_before,
                max_age: age,
            } => {
                desk.copies = CopyBound {
                    not_before,
                    age,
                    told: now,
                }
            }
            Event::SharedLength {
                object,
                highest_part: highest,
            } => {
                let known = desk.lengths.get(room.now, object).unwrap_or(0);
                desk.lengths.put(room.now, object, known.max(highest));
            }
            Event::SharedEstimate {
                endpoint: peer,
                failure_rate: failing,
                first_byte,
            } => {
                room.tell(peer, Note::Thought(failing, first_byte));
            }
            Event::HealthCheckEnded { .. } | Event::PeerMessage { .. } => {}
        }
        self.pump();
        out.append(&mut self.room.out);
    }

    /// The one loop that empties the inboxes.
    fn pump(&mut self) {
        while let Some((to, note)) = self.room.next() {
            let Some(ix) = to else {
                self.desk.read(note, &mut self.room);
                continue;
            };
            while self.peers.len() <= ix {
                self.peers.push(Peer::new(self.peers.len()));
            }
            self.peers[ix].read(note, &mut self.room);
        }
    }

    fn listed(&mut self, listing: EndpointUpdate) {
        let entries = match listing {
            EndpointUpdate::Snapshot(entries) => {
                for ix in
                    (0..self.peers.len()).filter(|ix| entries.iter().all(|e| e.endpoint != *ix))
                {
                    self.room.tell(ix, Note::Unlisted);
                }
                entries
            }
            EndpointUpdate::Delta(entries) => entries,
            EndpointUpdate::Unavailable => {
                if self.room.rules.text("registry_mode") == "on_request" {
                    self.room.out.push(Action::SetTimer {
                        at: self.room.now + SEC,
                        timer: 0,
                    });
                }
                return;
            }
        };
        for entry in entries {
            self.room.tell(entry.endpoint, Note::Listed(entry));
        }
        for ix in 0..self.peers.len() {
            self.room.tell(ix, Note::Sweep);
        }
    }
}
