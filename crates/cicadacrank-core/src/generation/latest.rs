//! Keeps the newest generation that a process has seen.

use super::Generation;

/// The newest generation seen, with what belongs to it.
///
/// Reads of the platform may be stale and peers may lag, so a value arrives in
/// any order and more than once. Only a higher generation replaces a lower.
#[derive(Clone, Debug)]
pub struct Latest<T> {
    held: Option<(Generation, T)>,
}

impl<T> Latest<T> {
    /// Creates a value that has seen nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self { held: None }
    }

    /// Takes a value over if its generation is newer, and returns whether it
    /// did.
    pub fn adopt(&mut self, generation: Generation, value: T) -> bool {
        let newer = self.is_newer(generation);
        if newer {
            self.held = Some((generation, value));
        }
        newer
    }

    /// Returns whether a generation is newer than the one held.
    ///
    /// Asked before a value is fetched or parsed.
    #[must_use]
    pub fn is_newer(&self, generation: Generation) -> bool {
        self.generation().is_none_or(|held| held < generation)
    }

    /// Returns the generation held.
    #[must_use]
    pub fn generation(&self) -> Option<Generation> {
        self.held.as_ref().map(|(generation, _)| *generation)
    }

    /// Returns the value held.
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
