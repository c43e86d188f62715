//! A slab: a container that assigns small, reusable indices to its values. It grows to the maximum number of values
//! that were stored at the same time.

/// Null index, for linked lists over slab indices.
pub const NONE: u32 = u32::MAX;

/// Values identified by indices. A freed index is reused.
pub struct Slab<T> {
    values: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab {
            values: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Creates an empty slab with memory for `capacity` values.
    pub fn with_capacity(capacity: usize) -> Slab<T> {
        Slab {
            values: Vec::with_capacity(capacity),
            free: Vec::with_capacity(capacity),
        }
    }

    /// Stores a value and returns its index.
    pub fn insert(&mut self, value: T) -> u32 {
        let index = self.free.pop().unwrap_or(self.values.len() as u32);
        match self.values.get_mut(index as usize) {
            Some(slot) => *slot = Some(value),
            None => self.values.push(Some(value)),
        }
        index
    }

    /// Removes the value at `index`, if there is one, and frees the index.
    pub fn remove(&mut self, index: u32) -> Option<T> {
        let value = self.values.get_mut(index as usize)?.take();
        if value.is_some() {
            self.free.push(index);
        }
        value
    }

    /// Returns the value at `index`.
    pub fn get(&self, index: u32) -> Option<&T> {
        self.values.get(index as usize)?.as_ref()
    }

    /// Returns a mutable reference to the value at `index`.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut T> {
        self.values.get_mut(index as usize)?.as_mut()
    }

    /// Returns all values with their indices, in the order of the indices.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        (0u32..)
            .zip(&self.values)
            .filter_map(|(index, value)| value.as_ref().map(|v| (index, v)))
    }

    /// Applies `change` to each value.
    pub fn for_each_mut(&mut self, change: impl FnMut(&mut T)) {
        self.values.iter_mut().flatten().for_each(change);
    }

    /// Returns the number of stored values.
    pub fn len(&self) -> usize {
        self.values.len() - self.free.len()
    }

    /// Returns whether no value is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of allocated bytes, whether used or not.
    pub fn memory_bytes(&self) -> usize {
        self.values.capacity() * size_of::<Option<T>>() + self.free.capacity() * size_of::<u32>()
    }
}
