//! Who observes whom: on each of some rings, ordered by hashing names, each member observes the next. All with the
//! same view agree, each member has as many observers as there are rings, and one that comes or goes changes only its
//! neighbours (Rapid, 2018).

use std::collections::BTreeSet;
use std::ops::Bound;

/// How far it is looked past sick ones on one ring.
const FURTHER: usize = 8;
/// And past the last of those: where one is gone its neighbours may be, and each step of a chain costs a period.
const AHEAD: usize = 2;

/// The same at every front, and over versions.
pub fn hash(name: &str, ring: u64) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64 ^ ring.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for b in name.bytes() {
        h = (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

#[derive(Clone, Debug, Default)]
pub struct Rings {
    rings: Vec<BTreeSet<(u64, String)>>,
}

impl Rings {
    pub fn new(count: usize) -> Rings {
        Rings { rings: vec![BTreeSet::new(); count] }
    }

    pub fn put(&mut self, name: &str) {
        for (at, ring) in (0u64..).zip(&mut self.rings) {
            ring.insert((hash(name, at), name.to_string()));
        }
    }

    pub fn take(&mut self, name: &str) {
        for (at, ring) in (0u64..).zip(&mut self.rings) {
            ring.remove(&(hash(name, at), name.to_string()));
        }
    }

    /// Whom this one observes: each named once, never itself. Past one that is `sick` it looks on to the next as well,
    /// so that when most go at once nobody is left whose observers are all gone with it.
    pub fn observed_by(&self, name: &str, sick: impl Fn(&str) -> bool) -> Vec<&str> {
        let mut all = Vec::with_capacity(self.rings.len());
        for (at, ring) in (0u64..).zip(&self.rings) {
            let key = (hash(name, at), name.to_string());
            let after = ring.range((Bound::Excluded(&key), Bound::Unbounded));
            walk(after.chain(ring.range(..&key)), &sick, &mut all);
        }
        all
    }

    /// Who observes this one, by the same rule.
    pub fn observers_of(&self, name: &str, sick: impl Fn(&str) -> bool) -> Vec<&str> {
        let mut all = Vec::with_capacity(self.rings.len());
        for (at, ring) in (0u64..).zip(&self.rings) {
            let key = (hash(name, at), name.to_string());
            let before = ring.range(..&key).rev();
            let after = ring.range((Bound::Excluded(&key), Bound::Unbounded)).rev();
            walk(before.chain(after), &sick, &mut all);
        }
        all
    }
}

fn walk<'a>(
    ring: impl Iterator<Item = &'a (u64, String)>,
    sick: impl Fn(&str) -> bool,
    all: &mut Vec<&'a str>,
) {
    let mut ahead = 0;
    for (_, next) in ring.take(FURTHER) {
        if !all.contains(&next.as_str()) {
            all.push(next);
        }
        if sick(next) {
            ahead = AHEAD;
        } else if ahead == 0 {
            break;
        } else {
            ahead -= 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn observers_are_many_and_change_little() {
        let mut rings = Rings::new(4);
        (0..200).for_each(|n| rings.put(&format!("f{n}")));
        let pairs = |rings: &Rings| -> Vec<(String, String)> {
            let of = |n: i32| {
                rings
                    .observed_by(&format!("f{n}"), |_| false)
                    .into_iter()
                    .map(move |o| (format!("f{n}"), o.into()))
            };
            (0..200).flat_map(of).collect()
        };
        let before = pairs(&rings);
        assert!(before.len() > 780, "{}", before.len());
        for (by, of) in &before {
            assert!(rings.observers_of(of, |_| false).contains(&by.as_str()));
        }
        rings.take("f17");
        let after = pairs(&rings);
        let changed = before.iter().filter(|pair| !after.contains(pair)).count();
        assert!(changed <= 8, "{changed}");
    }
}
