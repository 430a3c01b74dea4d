//! Small `Copy` keys into arenas.

/// Defines a key type.
macro_rules! key {
    ($name:ident, $doc:literal) => {
        #[doc = $doc]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl Key for $name {
            fn from_index(index: usize) -> Self {
                $name(u32::try_from(index).expect("arena holds fewer than 2^32 items"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

/// Identifies a slot of an arena.
pub trait Key: Copy {
    /// Creates the key of a slot.
    ///
    /// # Panics
    ///
    /// Panics if the index does not fit into 32 bits.
    fn from_index(index: usize) -> Self;

    /// Gets the slot's index.
    fn index(self) -> usize;
}

key!(
    Server,
    "Identifies a backend server, or the first member of a replica group, on the request path."
);
