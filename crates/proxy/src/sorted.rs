//! Few values in order. Where one comes and goes with each lookup a tree would take and free memory each time.

pub(crate) struct Sorted<T>(Vec<T>);

impl<T> Default for Sorted<T> {
    fn default() -> Self {
        Sorted(Vec::new())
    }
}

impl<T: Ord> Sorted<T> {
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

    /// The greatest up to `value`.
    pub(crate) fn upto(&self, value: &T) -> Option<&T> {
        self.0[..self.0.partition_point(|v| v <= value)].last()
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, T> {
        self.0.iter()
    }
}
