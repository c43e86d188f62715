//! A snapshot under way. Its parts may come in any order: each is applied as it comes, and what is still missing before it
//! is asked for again.

use crate::event::LogPosition;
use crate::purges::Cursor;
use crate::Micros;
use std::collections::BTreeMap;

/// Parts that may be ahead of one that is missing.
const EARLY_MOST: usize = 32;

/// How far one part reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Reach {
    /// Where the next part goes on; none after the last one.
    pub next: Option<Cursor>,
    /// The sender waits for a request before it sends that.
    pub is_paused: bool,
}

/// What one more part has made of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It was known, or is too far ahead to be of use.
    None,
    /// It is of use once those before it are here.
    Early,
    /// The next parts are under way.
    Going,
    /// The next parts have to be asked for.
    Paused,
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Fetch {
    pub began: Micros,
    /// Everything up to here has come.
    pub cursor: Option<Cursor>,
    /// The least position of those who wrote the parts: the log goes on from there.
    pub at: LogPosition,
    /// The largest position of those: what came may hold events up to here.
    pub reached: LogPosition,
    pub purges: u64,
    /// Parts that came before those that they go on from, by where they begin.
    early: BTreeMap<Cursor, Reach>,
}

impl Fetch {
    pub(crate) fn new(began: Micros, at: LogPosition) -> Fetch {
        Fetch {
            began,
            cursor: None,
            at,
            reached: at,
            purges: 0,
            early: BTreeMap::new(),
        }
    }

    /// A part that begins behind `after`. Where this makes progress, what it holds is to be applied.
    pub(crate) fn take(&mut self, after: Option<Cursor>, reach: Reach) -> Progress {
        if after == self.cursor {
            return self.advance(reach);
        }
        match after {
            Some(after) if Some(after) > self.cursor => self.keep_early(after, reach),
            _ => Progress::None,
        }
    }

    fn keep_early(&mut self, after: Cursor, reach: Reach) -> Progress {
        if self.early.contains_key(&after) || self.early.len() >= EARLY_MOST {
            return Progress::None;
        }
        self.early.insert(after, reach);
        Progress::Early
    }

    /// Goes on over all that is here already.
    fn advance(&mut self, mut reach: Reach) -> Progress {
        while let Some(next) = reach.next {
            self.cursor = Some(next);
            match self.early.remove(&next) {
                Some(early) => reach = early,
                None => break,
            }
        }
        // Another relay may cut the parts in other places.
        let cursor = self.cursor;
        self.early.retain(|after, _| Some(*after) > cursor);
        match reach {
            Reach { next: None, .. } => Progress::Done,
            Reach {
                is_paused: true, ..
            } => Progress::Paused,
            Reach { .. } => Progress::Going,
        }
    }
}
