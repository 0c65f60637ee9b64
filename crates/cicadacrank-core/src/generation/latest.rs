//! The newest generation that a process has seen.

use super::Generation;

/// The newest generation seen, with its value.
///
/// Reads of the platform may be stale and peers may lag, so generations may
/// arrive in any order and more than once. Only a higher generation replaces
/// the current one.
#[derive(Clone, Debug)]
pub struct Latest<T> {
    held: Option<(Generation, T)>,
}

impl<T> Latest<T> {
    /// Creates an empty instance.
    #[must_use]
    pub const fn new() -> Self {
        Self { held: None }
    }

    /// Stores the value if its generation is newer, and returns whether it was
    /// stored.
    pub fn adopt(&mut self, generation: Generation, value: T) -> bool {
        let newer = self.is_newer(generation);
        if newer {
            self.held = Some((generation, value));
        }
        newer
    }

    /// Returns whether the generation is newer than the stored one.
    ///
    /// Used before a value is fetched or parsed, to skip one that would be
    /// ignored.
    #[must_use]
    pub fn is_newer(&self, generation: Generation) -> bool {
        self.generation().is_none_or(|held| held < generation)
    }

    /// Returns the stored generation, or `None` if there is none yet.
    #[must_use]
    pub fn generation(&self) -> Option<Generation> {
        self.held.as_ref().map(|(generation, _)| *generation)
    }

    /// Returns the stored value, or `None` if there is none yet.
    #[must_use]
    pub fn get(&self) -> Option<&T> {
        self.held.as_ref().map(|(_, value)| value)
    }
}

impl<T> Default for Latest<T> {
    fn default() -> Self {
        Self::new()
    }
}
