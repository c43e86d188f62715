//! Values under small indices that are given out again: as long as the most that were held at one time.

pub const NONE: u32 = u32::MAX;

pub struct Slab<T> {
    values: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab { values: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// With room for so many from the start.
    pub fn with(most: usize) -> Slab<T> {
        Slab { values: Vec::with_capacity(most), free: Vec::with_capacity(most) }
    }

    pub fn put(&mut self, value: T) -> u32 {
        let at = self.free.pop().unwrap_or(self.values.len() as u32);
        match self.values.get_mut(at as usize) {
            Some(place) => *place = Some(value),
            None => self.values.push(Some(value)),
        }
        at
    }

    pub fn take(&mut self, at: u32) -> Option<T> {
        let value = self.values.get_mut(at as usize)?.take();
        if value.is_some() {
            self.free.push(at);
        }
        value
    }

    pub fn get(&self, at: u32) -> Option<&T> {
        self.values.get(at as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, at: u32) -> Option<&mut T> {
        self.values.get_mut(at as usize)?.as_mut()
    }

    /// All that is held, by index.
    pub fn held(&self) -> impl Iterator<Item = (u32, &T)> {
        (0u32..).zip(&self.values).filter_map(|(at, value)| value.as_ref().map(|v| (at, v)))
    }

    pub fn each(&mut self, change: impl FnMut(&mut T)) {
        self.values.iter_mut().flatten().for_each(change);
    }

    pub fn len(&self) -> usize {
        self.values.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes held, used or not.
    pub fn bytes(&self) -> usize {
        self.values.capacity() * size_of::<Option<T>>() + self.free.capacity() * size_of::<u32>()
    }
}
