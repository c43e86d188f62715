//! A bounded ring buffer, one for each direction of a connection, counted against the memory of the front.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// What a ring keeps of its memory in any case; of more, what is not used is given back, lest idle connections sit on what a burst took.
const KEPT: usize = 4096;

/// Bytes that all rings of the front hold at the moment.
#[derive(Clone, Debug, Default)]
pub struct Tally(Rc<Cell<usize>>);

impl Tally {
    pub fn bytes(&self) -> usize {
        self.0.get()
    }
}

#[derive(Debug, PartialEq, Eq)]
pub struct Full;

pub struct Ring {
    bytes: VecDeque<u8>,
    most: usize,
    tally: Tally,
    counted: usize,
}

impl Ring {
    pub fn new(most: usize, tally: &Tally) -> Ring {
        Ring { bytes: VecDeque::new(), most, tally: tally.clone(), counted: 0 }
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn room(&self) -> usize {
        self.most - self.bytes.len()
    }

    /// All of it or nothing.
    pub fn put(&mut self, bytes: &[u8]) -> Result<(), Full> {
        if bytes.len() > self.room() {
            return Err(Full);
        }
        let wanted = self.bytes.len() + bytes.len();
        if wanted > self.bytes.capacity() {
            // Doubled, but never past the bound: many rings that each wait for the end of a longest frame
            // would together hold twice what the bound allows for.
            let most = wanted.next_power_of_two().min(self.most);
            self.bytes.reserve_exact(most - self.bytes.len());
        }
        self.bytes.extend(bytes);
        self.count();
        Ok(())
    }

    /// All that is held, in one piece for the codecs.
    pub fn whole(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    pub fn slices(&self) -> [IoSlice<'_>; 2] {
        let (first, second) = self.bytes.as_slices();
        [IoSlice::new(first), IoSlice::new(second)]
    }

    pub fn drop_front(&mut self, n: usize) {
        self.bytes.drain(..n);
        if self.bytes.capacity() > KEPT.max(4 * self.bytes.len()) {
            self.bytes.shrink_to(2 * self.bytes.len());
        }
        self.count();
    }

    pub fn clear(&mut self) {
        self.drop_front(self.bytes.len());
    }

    fn count(&mut self) {
        let now = self.bytes.capacity();
        self.tally.0.set(self.tally.0.get() + now - self.counted);
        self.counted = now;
    }
}

impl Drop for Ring {
    fn drop(&mut self) {
        self.tally.0.set(self.tally.0.get() - self.counted);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keeps_order_round_the_corner_and_its_bound() {
        let mut ring = Ring::new(10, &Tally::default());
        ring.put(b"abcdefgh").unwrap();
        ring.drop_front(6);
        ring.put(b"ijklmnop").unwrap();
        assert_eq!(ring.put(b"q"), Err(Full));
        assert_eq!((ring.len(), ring.room()), (10, 0));
        let joined: Vec<u8> = ring.slices().iter().flat_map(|s| s.to_vec()).collect();
        assert_eq!(joined, b"ghijklmnop");
        assert_eq!(ring.whole(), b"ghijklmnop");
    }

    #[test]
    fn grows_by_doubling_but_not_past_its_bound() {
        let tally = Tally::default();
        let mut ring = Ring::new(150_000, &tally);
        ring.put(&[7; 70_000]).unwrap();
        assert!((70_000..150_000).contains(&tally.bytes()));
        ring.put(&[7; 70_000]).unwrap();
        assert_eq!(tally.bytes(), 150_000);
    }

    #[test]
    fn what_it_holds_is_counted_and_given_back() {
        let tally = Tally::default();
        let mut ring = Ring::new(1 << 20, &tally);
        ring.put(&[7; 100_000]).unwrap();
        assert!(tally.bytes() >= 100_000);
        ring.drop_front(90_000);
        assert!(tally.bytes() <= 40_000);
        ring.drop_front(10_000);
        assert!(tally.bytes() <= KEPT);
        ring.put(&[7; 5000]).unwrap();
        drop(ring);
        assert_eq!(tally.bytes(), 0);
    }
}
