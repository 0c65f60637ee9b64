//! Messages between the processes of cicadacrank.
//!
//! `proto/wire.proto` is the source. The Rust code in `src/generated` is
//! committed, so that a build needs no generator; after a change of the source,
//! run `cargo run -p cicadacrank-wire --example regenerate`.
//!
//! ```
//! use cicadacrank_wire::wire::Chunk;
//!
//! let chunk = Chunk { data: b"tea".to_vec() };
//! assert_eq!(chunk.data.len(), 3);
//! ```

pub use prost::Message;

/// Generated messages, clients and servers.
#[allow(missing_docs, clippy::all, clippy::use_self, clippy::missing_errors_doc)]
#[rustfmt::skip]
pub mod wire {
    include!("generated/cicadacrank.wire.rs");
}
