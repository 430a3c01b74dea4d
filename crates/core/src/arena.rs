//! Arenas that hold items under small keys, and names interned in them.

use std::collections::HashMap;
use std::marker::PhantomData;

use compact_str::CompactString;

use crate::key::Key;

/// Holds items under keys of one type.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    items: Vec<T>,
    key: PhantomData<K>,
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Self {
        Arena {
            items: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: Key, T> Arena<K, T> {
    /// Adds an item and returns its key.
    pub fn insert(&mut self, item: T) -> K {
        self.items.push(item);
        K::from_index(self.items.len() - 1)
    }

    /// Gets an item, if the key belongs to this arena.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&T> {
        self.items.get(key.index())
    }

    /// Gets an item to change it, if the key belongs to this arena.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.items.get_mut(key.index())
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the arena holds no item.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over keys and items in the order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.items
            .iter()
            .enumerate()
            .map(|(index, item)| (K::from_index(index), item))
    }
}

/// Interns names, so that the same name always gets the same key.
#[derive(Clone, Debug)]
pub struct Names<K> {
    keys: HashMap<CompactString, K>,
    names: Arena<K, CompactString>,
}

impl<K> Default for Names<K> {
    fn default() -> Self {
        Names {
            keys: HashMap::new(),
            names: Arena::default(),
        }
    }
}

impl<K: Key> Names<K> {
    /// Returns the key of a name and adds the name on first use.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.names.insert(CompactString::new(name));
        self.keys.insert(CompactString::new(name), key);
        key
    }

    /// Gets the key of a name that was interned before.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<K> {
        self.keys.get(name).copied()
    }

    /// Gets the name behind a key, or an empty text for a key of another arena.
    #[must_use]
    pub fn name(&self, key: K) -> &str {
        self.names.get(key).map_or("", CompactString::as_str)
    }

    /// Returns the number of names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether no name was interned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
