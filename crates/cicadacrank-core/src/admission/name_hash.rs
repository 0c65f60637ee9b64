//! Keys that stay valid across rule generations.

/// Key of a team, an owner, an endpoint, a pool or a data centre: a 64-bit hash
/// of its name.
///
/// Admitted work can outlive a generation of the rules, and an index into the
/// rules may refer to another item in the next generation. A hash of the name
/// stays the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(u64);

impl NameHash {
    /// Creates the key of a name.
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
