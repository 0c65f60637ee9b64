//! Keys that outlive a configuration.

/// Key of a team, an owner or an endpoint, made from its name.
///
/// Keys into the rules' arenas change their meaning with each generation, and
/// admitted work outlives a generation; a digest of the name does neither.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(u64);

impl NameHash {
    /// Creates the key of this name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let mut bytes = [0; size_of::<u64>()];
        blake3::Hasher::new()
            .update(name.as_bytes())
            .finalize_xof()
            .fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}
