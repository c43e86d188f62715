//! Effects that may have run: who may have one, and what a second try of the same key is told.
//!
//! A front that is asked for a keyed lookup claims its key before any send: the claim goes to the owners of the key, some
//! fronts chosen by hashing over all that are known, also those held to be dead; more than half of them have to hold it
//! with no other in the way. Two claims of one key can't both have that, on whichever sides of a split, as each two
//! majorities share an owner and an owner holds one open claim at most. A claim ends by its holder's word alone: surely
//! not run, ran with this outcome, or lost. What nobody ended may have run.
//!
//! An owner that started anew knows nothing of what it held; it does not vouch for a key until it has compared with all
//! other owners of it, whatever became of them (see `replica`). Owners that take others to own the key than the asker does refuse, so that a view which is late
//! decides nothing.

use crate::kind::Kind;
use crate::kinds::{self, Claim, Ran};
use crate::map::{Map, Took};
use crate::mutant;
use crate::plan::{self, Unwritten};
use crate::record::Key;
use crate::wire::{Ask, Record, Reply};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use crate::record::entry;

/// Asked again after so much of the time that writing may take, where no answer came.
const AGAIN: Micros = 5;
const AGAIN_LEAST: Micros = 10_000;
/// Two that asked at the same moment try again after a time drawn up to this.
const CLASH: Micros = 15_000;
/// A claim whose holder is past its own limit by so much is not waited for.
const GRACE: Micros = 100_000;
/// What a send may take beyond its time to arrive, and clocks differ, before an origin forgets the first one.
const MARGIN: Micros = 500_000;
/// Before a client's time is over, its answer goes out.
const LAST: Micros = 20_000;
/// How long a client that is refused is told to stay away: claims and views have settled by then.
const COME_BACK: Micros = 200_000;
/// Lookups that are asked about at one time.
const ASKED_MOST: usize = 20_000;

/// What an owner says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    Granted,
    /// Another claim is in the way.
    Held,
    /// It takes others to own this key.
    Differs,
    /// It does not know enough yet to vouch.
    NotYet,
    Full,
}

impl Verdict {
    const ALL: [Verdict; 5] =
        [Verdict::Granted, Verdict::Held, Verdict::Differs, Verdict::NotYet, Verdict::Full];

    fn of(number: u32) -> Option<Verdict> {
        Verdict::ALL.get(number as usize).copied()
    }
}

/// The terms of a lookup that is asked about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// When its client stops waiting.
    pub expires: Micros,
    /// Its latency budget.
    pub budget: Micros,
    /// How long the origin drops repeats of its key; 0 where it does not.
    pub window: Micros,
}

/// What the host is to do about a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// It may be sent, until then at the latest.
    /// `again`: an earlier claim may have run, so to refuse it would be untrue.
    Go { token: u64, until: Micros, again: bool },
    /// It has run; this was the answer.
    Answer { token: u64, current: bool, body: Vec<u8> },
    /// It may have run, and nobody knows more.
    Fail { token: u64 },
    /// Nothing of it ran here or by a claim that is known.
    Refuse { token: u64, come_back: Micros },
}

/// How a lookup that was let go ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    NotRun,
    MayHaveRun,
    Ran { current: bool, body: Vec<u8> },
}

/// Who there is, as the ledger needs to know.
#[derive(Clone, Debug, Default)]
pub struct Electors {
    /// By name; for those that are there the start of their process.
    pub all: BTreeMap<String, Option<u64>>,
    /// This front has agreed with another on who there is, or has none to agree with: till then it may be one of many that
    /// it knows nothing of.
    pub joined: bool,
    /// Those that this front has compared its claims with since its start.
    pub compared: BTreeSet<String>,
}

impl Electors {
    /// Those that decide on a key, the same at all with the same electors.
    pub fn owners(&self, key: &[u8], copies: usize) -> Vec<String> {
        let key = xxh3_64_with_seed(key, 1);
        let mut drawn: Vec<(u64, &String)> =
            self.all.keys().map(|name| (xxh3_64_with_seed(name.as_bytes(), key), name)).collect();
        drawn.sort_unstable_by(|a, b| b.cmp(a));
        drawn.into_iter().take(copies).map(|(_, name)| name.clone()).collect()
    }

    /// The process that holds a claim is there; a later one of its name knows nothing of it.
    fn here(&self, claim: &Claim) -> bool {
        self.all.get(&claim.holder).copied().flatten().is_some_and(|start| start <= claim.start)
    }
}

/// What the claims of a key say together. The strongest stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Stand {
    Free,
    /// Its outcome is to be waited for.
    Open {
        first: Micros,
    },
    /// It may have run, and nobody will say more.
    Lost {
        first: Micros,
    },
    Done {
        current: bool,
        body: Option<Vec<u8>>,
    },
}

/// All claims of a key but one.
fn claims<'a>(
    map: &'a Map,
    prefix: &'a [u8],
    but: Option<&'a Key>,
) -> impl Iterator<Item = (&'a Key, Ran, Claim)> {
    let all = map.with_prefix(Kind::Effect, prefix).filter(move |(key, _)| Some(*key) != but);
    all.filter_map(|(key, entry)| kinds::read_effect(entry).map(|(ran, claim)| (key, ran, claim)))
}

pub fn stand(map: &Map, prefix: &[u8], but: Option<&Key>, electors: &Electors, now: Micros) -> Stand {
    let mut stand = Stand::Free;
    for (_, ran, claim) in claims(map, prefix, but) {
        let first = claim.first as Micros;
        let over = !electors.here(&claim) || now > claim.ends as Micros + GRACE;
        let next = match ran {
            Ran::Not => continue,
            Ran::Done => return Stand::Done { current: claim.current, body: claim.body },
            Ran::Asked | Ran::May if !over => Stand::Open { first },
            Ran::Asked | Ran::May | Ran::Lost => Stand::Lost { first },
        };
        // The earliest counts for the origin's window, and what is still waited for before what is not.
        stand = match (stand, next) {
            (Stand::Free, next) => next,
            (Stand::Open { first: a }, Stand::Open { first: b } | Stand::Lost { first: b }) => {
                Stand::Open { first: a.min(b) }
            }
            (Stand::Lost { first: a }, Stand::Open { first: b }) => Stand::Open { first: a.min(b) },
            (Stand::Lost { first: a }, Stand::Lost { first: b }) => Stand::Lost { first: a.min(b) },
            (done, _) => done,
        };
    }
    stand
}

#[derive(Clone, Debug)]
enum Phase {
    /// Owners are asked; so far these have said so, and no longer than that.
    Writing { said: BTreeMap<String, Verdict>, until: Micros, again: Micros },
    /// Two asked at once: again then.
    Clashed { at: Micros },
    /// Another's outcome is waited for.
    Waiting,
    /// It was let go.
    Out,
}

#[derive(Clone, Debug)]
struct Asked {
    token: u64,
    prefix: Vec<u8>,
    id: (u64, u64),
    key: Option<Key>,
    claim: Claim,
    owners: Vec<String>,
    terms: Terms,
    /// How long its claim may take to be written, and until when that is: from when it came, or another's was waited for.
    write: Micros,
    write_until: Micros,
    phase: Phase,
    /// Takes over from a claim whose holder is gone.
    over: Option<Micros>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub asked: u64,
    pub granted: u64,
    pub unwritten: u64,
    pub waited: u64,
    pub answered: u64,
    pub failed: u64,
    pub refused: u64,
    pub taken_over: u64,
    pub clashes: u64,
}

/// A message for an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Letter {
    pub to: String,
    pub ask: Ask,
}

#[derive(Clone, Debug)]
pub struct Ledger {
    plan: plan::Ledger,
    me: String,
    start: u64,
    holder: u64,
    number: u64,
    asked: BTreeMap<u64, Asked>,
    /// Which of them an answer is for.
    tokens: BTreeMap<u64, u64>,
    rng: fastrand::Rng,
    pub counts: Counts,
}

/// What a step has to go by.
pub struct Ground<'a> {
    pub now: Micros,
    pub map: &'a mut Map,
    pub electors: &'a Electors,
}

/// What a step brings about beside words: letters, and records that were changed, to be pushed on.
#[derive(Debug, Default)]
pub struct Out {
    pub words: Vec<Word>,
    pub letters: Vec<Letter>,
    pub changed: Vec<Key>,
}

impl Ledger {
    pub fn new(plan: plan::Ledger, me: &str, start: u64, seed: u64) -> Ledger {
        Ledger {
            plan,
            me: me.into(),
            start,
            holder: xxh3_64_with_seed(me.as_bytes(), start),
            number: 0,
            asked: BTreeMap::new(),
            tokens: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            counts: Counts::default(),
        }
    }

    pub fn open(&self) -> usize {
        self.asked.len()
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Micros> {
        let due = |asked: &Asked| match &asked.phase {
            Phase::Writing { until, again, .. } => Some(*until.min(again)),
            Phase::Clashed { at } => Some(*at),
            Phase::Waiting => Some(asked.terms.expires - LAST),
            Phase::Out => None,
        };
        self.asked.values().filter_map(due).min()
    }

    // As the front that was asked.

    /// A lookup with a key: a word about it comes at once or later.
    pub fn ask(&mut self, token: u64, key: &[u8], terms: Terms, on: &mut Ground, out: &mut Out) {
        self.counts.asked += 1;
        if self.asked.len() >= ASKED_MOST {
            self.counts.refused += 1;
            return out.words.push(Word::Refuse { token, come_back: COME_BACK });
        }
        let write = (terms.budget as f64 * self.plan.write_part) as Micros;
        let asked = Asked {
            token,
            prefix: kinds::effect_prefix(key),
            id: (0, 0),
            key: None,
            claim: Claim::default(),
            owners: Vec::new(),
            terms,
            write,
            write_until: 0,
            phase: Phase::Waiting,
            over: None,
        };
        self.asked.insert(token, asked);
        self.look(token, on, out);
    }

    /// What the claims that are known say of this lookup.
    fn look(&mut self, token: u64, on: &mut Ground, out: &mut Out) {
        let Some(asked) = self.asked.get_mut(&token) else { return };
        match stand(on.map, &asked.prefix, asked.key.as_ref(), on.electors, on.now) {
            Stand::Free => self.claim(token, None, on, out),
            Stand::Done { current, body } => {
                // What was too long to keep is known to have run, and nothing more.
                let word = match body {
                    Some(body) => Word::Answer { token, current, body },
                    None => Word::Fail { token },
                };
                self.over(word, out);
            }
            Stand::Lost { first } => {
                let until = first + asked.terms.window - MARGIN;
                if asked.terms.window > 0 && on.now + MARGIN < until {
                    // The origin still drops repeats of it: to ask again brings the first one's outcome, or the first run.
                    self.claim(token, Some(first), on, out);
                } else {
                    self.over(Word::Fail { token }, out);
                }
            }
            Stand::Open { .. } => {
                if !matches!(asked.phase, Phase::Waiting) {
                    self.counts.waited += 1;
                }
                asked.phase = Phase::Waiting;
                if on.now >= asked.terms.expires - LAST {
                    self.over(Word::Fail { token }, out);
                }
            }
        }
    }

    fn over(&mut self, word: Word, out: &mut Out) {
        let (token, count) = match &word {
            Word::Go { .. } => return,
            Word::Answer { token, .. } => (token, &mut self.counts.answered),
            Word::Fail { token } => (token, &mut self.counts.failed),
            Word::Refuse { token, .. } => (token, &mut self.counts.refused),
        };
        *count += 1;
        if let Some(asked) = self.asked.remove(token) {
            self.tokens.remove(&asked.id.1);
        }
        out.words.push(word);
    }

    /// Asks the owners of the key.
    fn claim(&mut self, token: u64, over: Option<Micros>, on: &mut Ground, out: &mut Out) {
        let (keep, copies) = (self.plan.keep, self.plan.copies);
        let Some(asked) = self.asked.get_mut(&token) else { return };
        if matches!(asked.phase, Phase::Waiting) {
            asked.write_until = (on.now + asked.write).min(asked.terms.expires - LAST);
        }
        if on.now >= asked.write_until {
            return self.unwritten(token, on, out);
        }
        self.number += 1;
        self.tokens.remove(&asked.id.1);
        asked.id = (self.holder, self.number);
        asked.over = over;
        asked.owners = on.electors.owners(&asked.prefix, copies);
        asked.claim = Claim {
            holder: self.me.clone(),
            start: self.start,
            first: over.unwrap_or(on.now) as u64,
            ends: asked.terms.expires as u64,
            body: None,
            current: false,
        };
        let effect = &asked.prefix[1..];
        let (key, entry) = kinds::effect(effect, asked.id, Ran::Asked, &asked.claim, on.now + keep);
        if !matches!(on.map.merge(key.clone(), entry, on.now), Took::New(_)) {
            // No room to remember it.
            asked.key = None;
            return self.unwritten(token, on, out);
        }
        asked.key = Some(key.clone());
        self.tokens.insert(asked.id.1, token);
        let (said, until) = (BTreeMap::new(), asked.write_until);
        asked.phase = Phase::Writing { said, until, again: on.now };
        out.changed.push(key);
        self.write(token, on, out);
    }

    /// Sends the claim to owners that have not agreed yet, and to this front itself where it is one.
    fn write(&mut self, token: u64, on: &mut Ground, out: &mut Out) {
        let Some(asked) = self.asked.get_mut(&token) else { return };
        let Phase::Writing { said, until, again } = &mut asked.phase else { return };
        *again = on.now + ((*until - on.now) / AGAIN).max(AGAIN_LEAST);
        let ask = Ask {
            number: asked.id.1,
            claim: asked.key.as_ref().and_then(|key| on.map.record(key)),
            owners: asked.owners.clone(),
            take_over: asked.over.map_or(0, |first| (first + asked.terms.window) as u64),
        };
        let open: Vec<String> =
            asked.owners.iter().filter(|o| said.get(*o) != Some(&Verdict::Granted)).cloned().collect();
        for to in open {
            if to != self.me {
                out.letters.push(Letter { to, ask: ask.clone() });
                continue;
            }
            let (verdict, _) = self.judge(&ask, on);
            let me = self.me.clone();
            self.said(token, &me, verdict, on, out);
        }
    }

    /// An owner's answer.
    pub fn reply(&mut self, from: &str, reply: Reply, on: &mut Ground, out: &mut Out) {
        for record in reply.claims {
            take(record, on, out);
        }
        let token = self.tokens.get(&reply.number).copied();
        if let (Some(token), Some(verdict)) = (token, Verdict::of(reply.verdict)) {
            self.said(token, from, verdict, on, out);
        }
    }

    fn said(&mut self, token: u64, from: &str, verdict: Verdict, on: &mut Ground, out: &mut Out) {
        let Some(asked) = self.asked.get_mut(&token) else { return };
        let Phase::Writing { said, .. } = &mut asked.phase else { return };
        if !asked.owners.iter().any(|o| o == from) {
            return;
        }
        // What was granted stays so: the owner holds it.
        let former = said.get(from).copied();
        if former != Some(Verdict::Granted) {
            said.insert(from.into(), verdict);
        }
        let many = |verdict| said.values().filter(|v| **v == verdict).count();
        let needed = if mutant("one-copy") { 1 } else { asked.owners.len() / 2 + 1 };
        let enough = on.electors.all.len() >= self.plan.fronts_least;
        if many(Verdict::Granted) >= needed && enough {
            return self.go(token, on, out);
        }
        let held = many(Verdict::Held);
        let known = stand(on.map, &asked.prefix, asked.key.as_ref(), on.electors, on.now);
        if matches!(known, Stand::Done { .. }) {
            // One owner's word is enough to know that it ran.
            self.release(token, on, out);
            return self.look(token, on, out);
        }
        if held > asked.owners.len() - needed {
            // Another is in the way at so many that this one can't have it.
            self.release(token, on, out);
            let Some(asked) = self.asked.get_mut(&token) else { return };
            if stand(on.map, &asked.prefix, asked.key.as_ref(), on.electors, on.now) == Stand::Free {
                // Both asked at once, and the other has given way too.
                asked.phase = Phase::Clashed { at: on.now + self.rng.i64(1..CLASH) };
                self.counts.clashes += 1;
            } else {
                self.look(token, on, out);
            }
        }
    }

    fn go(&mut self, token: u64, on: &mut Ground, out: &mut Out) {
        let keep = self.plan.keep;
        let Some(asked) = self.asked.get_mut(&token) else { return };
        asked.phase = Phase::Out;
        self.counts.granted += 1;
        let until = match asked.over {
            Some(first) => {
                self.counts.taken_over += 1;
                asked.terms.expires.min(first + asked.terms.window - MARGIN)
            }
            None => asked.terms.expires,
        };
        mark(asked, Ran::May, on.now + keep, on, out);
        let again = asked.over.is_some();
        out.words.push(Word::Go { token, until, again });
    }

    /// Too few owners agreed in time.
    fn unwritten(&mut self, token: u64, on: &mut Ground, out: &mut Out) {
        self.counts.unwritten += 1;
        match self.plan.unwritten {
            // A claim that takes over is not sent on a guess: there is one that may have run.
            Unwritten::Serve if self.asked.get(&token).is_some_and(|a| a.over.is_none()) => {
                self.go(token, on, out);
            }
            _ => {
                let over = self.asked.get(&token).is_some_and(|a| a.over.is_some());
                self.release(token, on, out);
                let word =
                    if over { Word::Fail { token } } else { Word::Refuse { token, come_back: COME_BACK } };
                self.over(word, out);
            }
        }
    }

    /// Nothing was sent by this claim, nor will be.
    fn release(&mut self, token: u64, on: &mut Ground, out: &mut Out) {
        let keep = self.plan.keep;
        let Some(asked) = self.asked.get_mut(&token) else { return };
        mark(asked, Ran::Not, on.now + keep, on, out);
        self.tokens.remove(&asked.id.1);
    }

    /// A lookup that was let go has been answered.
    pub fn end(&mut self, token: u64, end: End, on: &mut Ground, out: &mut Out) {
        let Some(mut asked) = self.asked.remove(&token) else { return };
        self.tokens.remove(&asked.id.1);
        let ran = match end {
            End::NotRun => Ran::Not,
            End::MayHaveRun => Ran::Lost,
            End::Ran { current, body } => {
                let kept = body.len() <= self.plan.body_most;
                (asked.claim.body, asked.claim.current) = (kept.then_some(body), current);
                Ran::Done
            }
        };
        let ran = if mutant("forgets-outcome") { Ran::Not } else { ran };
        mark(&mut asked, ran, on.now + self.plan.keep, on, out);
    }

    /// A lookup that waits, or whose claim is being written, is no longer wanted. True if nothing of it was sent.
    pub fn left(&mut self, token: u64, on: &mut Ground, out: &mut Out) -> bool {
        let out_already = self.asked.get(&token).is_none_or(|a| matches!(a.phase, Phase::Out));
        if out_already {
            return false;
        }
        self.release(token, on, out);
        self.asked.remove(&token);
        true
    }

    /// Time has passed, others' claims have changed, or who is there.
    pub fn tick(&mut self, on: &mut Ground, out: &mut Out) {
        let due: Vec<u64> =
            self.asked.values().filter(|a| !matches!(a.phase, Phase::Out)).map(|a| a.token).collect();
        for token in due {
            let Some(asked) = self.asked.get(&token) else { continue };
            match &asked.phase {
                Phase::Writing { until, .. } if on.now >= *until => self.unwritten(token, on, out),
                Phase::Writing { again, .. } if on.now >= *again => {
                    // Who owns the key may have changed: then it is claimed anew, as nothing was sent yet.
                    if on.electors.owners(&asked.prefix, self.plan.copies) != asked.owners {
                        self.release(token, on, out);
                        self.look(token, on, out);
                    } else {
                        self.write(token, on, out);
                    }
                }
                Phase::Clashed { at } if on.now >= *at => self.look(token, on, out),
                Phase::Waiting => self.look(token, on, out),
                _ => {}
            }
        }
    }

    // As an owner.

    /// Whether this front holds the asker's claim from here on; and what is in the way.
    pub fn judge(&mut self, ask: &Ask, on: &mut Ground) -> (Verdict, Vec<Record>) {
        let Some(record) = ask.claim.clone().filter(|r| r.kind == Kind::Effect as u32) else {
            return (Verdict::Differs, Vec::new());
        };
        let key = Key::of(&record);
        let prefix_length = key.name.first().map_or(0, |n| usize::from(*n) + 1).min(key.name.len());
        let prefix = key.name[..prefix_length].to_vec();
        if !mutant("any-owner") && on.electors.owners(&prefix, self.plan.copies) != ask.owners {
            return (Verdict::Differs, Vec::new());
        }
        // What it held before its start it may have agreed on with any other owner of this key, and with that one alone.
        let unknown = |owner: &&String| **owner != self.me && !on.electors.compared.contains(*owner);
        let alone = !on.electors.joined;
        if (alone || ask.owners.iter().any(|owner| unknown(&owner))) && !mutant("vouches-at-once") {
            return (Verdict::NotYet, Vec::new());
        }
        let Some((_, asker)) = kinds::read_effect(&entry(&record)) else {
            return (Verdict::Differs, Vec::new());
        };
        let mut in_way = Vec::new();
        for (other, ran, claim) in claims(on.map, &prefix, Some(&key)) {
            let gone = !on.electors.here(&claim) || on.now > claim.ends as Micros + GRACE;
            // The origin still drops its repeats for as long as the asker will send.
            let over = ask.take_over > 0 && claim.first >= asker.first;
            let free = match ran {
                Ran::Not => true,
                Ran::Done => false,
                Ran::Lost => over,
                Ran::Asked | Ran::May => gone && over,
            };
            if !free {
                in_way.extend(on.map.record(other));
            }
        }
        if !in_way.is_empty() && !mutant("grants-all") {
            return (Verdict::Held, in_way);
        }
        if on.map.get(&key).is_none() && !on.map.room(Kind::Effect) {
            return (Verdict::Full, Vec::new());
        }
        match on.map.merge(key, entry(&record), on.now) {
            Took::New(_) | Took::Known => (Verdict::Granted, Vec::new()),
            Took::Refused => (Verdict::Full, Vec::new()),
        }
    }

    /// One key's story: each claim of it, oldest first.
    pub fn story(map: &Map, key: &[u8]) -> Vec<(Ran, Claim)> {
        let prefix = kinds::effect_prefix(key);
        let mut all: Vec<_> = claims(map, &prefix, None).map(|(_, ran, claim)| (ran, claim)).collect();
        all.sort_by_key(|(_, claim)| claim.first);
        all
    }

    /// Fronts that the ends of this front's claims are told directly.
    pub fn owners(&self, key: &Key, electors: &Electors) -> BTreeSet<String> {
        let length = key.name.first().map_or(0, |n| usize::from(*n) + 1).min(key.name.len());
        electors.owners(&key.name[..length], self.plan.copies).into_iter().filter(|o| *o != self.me).collect()
    }
}

/// A record that another holds.
fn take(record: Record, on: &mut Ground, out: &mut Out) {
    let key = Key::of(&record);
    if matches!(on.map.merge(key.clone(), entry(&record), on.now), Took::New(_)) {
        out.changed.push(key);
    }
}

/// This front's own claim has come so far.
fn mark(asked: &mut Asked, ran: Ran, until: Micros, on: &mut Ground, out: &mut Out) {
    let Some(key) = asked.key.clone() else { return };
    let (_, entry) = kinds::effect(&asked.prefix[1..], asked.id, ran, &asked.claim, until);
    if matches!(on.map.merge(key.clone(), entry, on.now), Took::New(_)) {
        out.changed.push(key);
    }
    if !ran.open() {
        asked.key = None;
    }
}
