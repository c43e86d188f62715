//! A small ordered set in a single allocation. Each request inserts and removes a value, and a tree would allocate each
//! time.

/// Values in ascending order, without duplicates.
pub(crate) struct SortedVec<T>(Vec<T>);

impl<T> Default for SortedVec<T> {
    fn default() -> Self {
        SortedVec(Vec::new())
    }
}

impl<T: Ord> SortedVec<T> {
    pub(crate) fn insert(&mut self, value: T) {
        if let Err(at) = self.0.binary_search(&value) {
            self.0.insert(at, value);
        }
    }

    pub(crate) fn remove(&mut self, value: &T) -> Option<T> {
        self.0.binary_search(value).ok().map(|at| self.0.remove(at))
    }

    pub(crate) fn first(&self) -> Option<&T> {
        self.0.first()
    }

    /// The greatest value that is at most `value`.
    pub(crate) fn last_up_to(&self, value: &T) -> Option<&T> {
        self.0[..self.0.partition_point(|v| v <= value)].last()
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, T> {
        self.0.iter()
    }
}
