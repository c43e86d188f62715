//! What every host of the decisions needs at its door, whatever wire it speaks.

use crate::interface::{CacheStatus, EndpointIndex, Micros, Settings};
use std::collections::HashMap;
use std::hash::Hash;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Ids of machines to small indices and back; an index that the module forgets is given out again.
pub struct EndpointIndices<K> {
    index: HashMap<K, EndpointIndex>,
    names: Vec<K>,
    free: Vec<EndpointIndex>,
}

impl<K> Default for EndpointIndices<K> {
    fn default() -> Self {
        EndpointIndices {
            index: HashMap::new(),
            names: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> EndpointIndices<K> {
    pub fn of(&mut self, name: &K) -> EndpointIndex {
        if let Some(ix) = self.index.get(name) {
            return *ix;
        }
        let ix = self.free.pop().unwrap_or(self.names.len());
        if ix == self.names.len() {
            self.names.push(name.clone());
        } else {
            self.names[ix] = name.clone();
        }
        self.index.insert(name.clone(), ix);
        ix
    }

    pub fn known(&self, name: &K) -> Option<EndpointIndex> {
        self.index.get(name).copied()
    }

    pub fn name(&self, ix: EndpointIndex) -> &K {
        &self.names[ix]
    }

    pub fn forget(&mut self, ix: EndpointIndex) {
        self.index.remove(&self.names[ix]);
        self.free.push(ix);
    }
}

/// A stable number for an id that is a text (FNV-1a): the same at every front and over restarts.
pub fn stable_id(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// The module's plain map out of names and values.
pub fn settings<'a>(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> Settings {
    pairs
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect()
}

/// A cache's note on how it came by an answer, by its place in the platform's order, from 1.
pub fn cache_status(place: usize) -> CacheStatus {
    match place {
        1 => CacheStatus::Hit,
        2 => CacheStatus::FilledFromParent,
        3 => CacheStatus::FilledFromOrigin,
        4 => CacheStatus::JoinedFill,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRejected,
        7 => CacheStatus::SourceUnreachable,
        8 => CacheStatus::SourceMiss,
        9 => CacheStatus::FillLimitReached,
        10 => CacheStatus::OriginFailed,
        _ => CacheStatus::Unknown,
    }
}

/// Panics stop here: what was being handled ends, the others go on. What one said is returned.
pub fn catch_panic<T>(handle: impl FnOnce() -> T) -> Result<T, String> {
    catch_unwind(AssertUnwindSafe(handle)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        text.or_else(|| panic.downcast_ref::<&str>().copied())
            .unwrap_or("no message")
            .to_string()
    })
}
